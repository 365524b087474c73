#include "stand_ins/link_proxy.h"

#include <boost/asio/write.hpp>

#include "LibFiber/await.h"

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using mustardbank::Await;
using mustardbank::FiberThread;
using mustardbank::IoResult;

namespace review {

namespace {

constexpr std::uint32_t kLoopback = 0x7F000001;

}  // namespace

LinkProxy::LinkProxy(FiberThread& thread)
    : thread_(thread),
      acceptor_(thread.io(), {asio::ip::address_v4(kLoopback), 0}),
      datagrams_(thread.io()),
      endpoint_{.ip = kLoopback, .port = acceptor_.local_endpoint().port()} {
  datagrams_.open(udp::v4());
  datagrams_.bind({asio::ip::address_v4(kLoopback), endpoint_.port});
  datagrams_.non_blocking(true);
  ReceiveDatagram();
  FiberThread::SpawnHere([this] { Accept(); });
}

int LinkProxy::SilenceOpenChannels() {
  int silenced = 0;
  for (const auto& channel : channels_) {
    silenced += channel->is_over ? 0 : 1;
    channel->is_silent = true;
  }
  return silenced;
}

void LinkProxy::Accept() {
  while (true) {
    auto channel = std::make_shared<Channel>(thread_.io());
    const IoResult accepted = Await([&](auto handler) {
      acceptor_.async_accept(channel->from, std::move(handler));
    });
    if (accepted.error)
      return;
    channels_.push_back(channel);
    FiberThread::SpawnHere([this, channel] {
      const IoResult connected = Await([&](auto handler) {
        channel->to.async_connect(
            {asio::ip::address_v4(target_.ip), target_.port},
            std::move(handler));
      });
      boost::system::error_code ignored;
      if (connected.error) {
        channel->is_over = true;
        channel->from.close(ignored);
        return;
      }
      channel->from.set_option(tcp::no_delay(true), ignored);
      channel->to.set_option(tcp::no_delay(true), ignored);
      FiberThread::SpawnHere([this, channel] { Forward(channel, true); });
      Forward(channel, false);
    });
  }
}

void LinkProxy::Forward(const std::shared_ptr<Channel>& channel, bool there) {
  tcp::socket& from = there ? channel->from : channel->to;
  tcp::socket& to = there ? channel->to : channel->from;
  std::array<char, 16'384> buffer;
  boost::system::error_code ignored;
  while (true) {
    const IoResult read = Await([&](auto handler) {
      from.async_read_some(asio::buffer(buffer), std::move(handler));
    });
    if (read.error) {
      channel->is_over = true;
      // On a silent channel its end is not heard either.
      if (!channel->is_silent)
        to.shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    if (channel->is_silent)
      continue;
    const IoResult written = Await([&](auto handler) {
      asio::async_write(to, asio::buffer(buffer.data(), read.bytes),
                        std::move(handler));
    });
    if (written.error)
      return;
  }
}

void LinkProxy::ReceiveDatagram() {
  datagrams_.async_receive_from(
      asio::buffer(datagram_), sender_,
      [this](boost::system::error_code error, std::size_t bytes) {
        boost::system::error_code ignored;
        if (!error && target_.port != 0)
          datagrams_.send_to(asio::buffer(datagram_.data(), bytes),
                             {asio::ip::address_v4(target_.ip), target_.port},
                             0, ignored);
        ReceiveDatagram();
      });
}

}  // namespace review
