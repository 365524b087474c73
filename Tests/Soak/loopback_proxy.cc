#include "Soak/loopback_proxy.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "LibFiber/await.h"
#include "LibFiber/run_in_fiber.h"

namespace asio = boost::asio;
using asio::ip::tcp;

namespace mustardbank {

namespace {

constexpr std::chrono::milliseconds kDelay{100};
constexpr std::uint32_t kLoopback = 0x7F000001;

void Reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct LoopbackProxy::Listener {
  tcp::acceptor acceptor;
};

struct LoopbackProxy::Connection {
  explicit Connection(asio::io_context& io) : client(io), server(io) {}

  tcp::socket client;
  tcp::socket server;
};

LoopbackProxy::LoopbackProxy(FiberThread& thread, Endpoint target)
    : thread_(thread), target_(target) {
  listener_ = std::make_unique<Listener>(Listener{
      tcp::acceptor(thread.io(), {asio::ip::address_v4(kLoopback), 0})});
  endpoint_ = {.ip = kLoopback,
               .port = listener_->acceptor.local_endpoint().port()};
  thread_.Spawn([this] { Accept(); });
}

LoopbackProxy::~LoopbackProxy() = default;

void LoopbackProxy::Accept() {
  while (true) {
    auto connection = std::make_shared<Connection>(thread_.io());
    const IoResult accepted = Await([&](auto handler) {
      listener_->acceptor.async_accept(connection->client, std::move(handler));
    });
    if (accepted.error)
      return;
    if (fault_ == ProxyFault::kReset) {
      Reset(connection->client);
      continue;
    }
    FiberThread::SpawnHere([this, connection] {
      const IoResult connected = Await([&](auto handler) {
        connection->server.async_connect(
            {asio::ip::address_v4(target_.ip), target_.port},
            std::move(handler));
      });
      if (connected.error) {
        Reset(connection->client);
        return;
      }
      FiberThread::SpawnHere(
          [this, connection] { Forward(connection, /*to_server=*/true); });
      Forward(connection, /*to_server=*/false);
    });
  }
}

void LoopbackProxy::Forward(const std::shared_ptr<Connection>& connection,
                            bool to_server) {
  tcp::socket& from = to_server ? connection->client : connection->server;
  tcp::socket& to = to_server ? connection->server : connection->client;
  std::array<char, 16 * 1024> buffer;
  while (true) {
    const IoResult read = Await([&](auto handler) {
      from.async_read_some(asio::buffer(buffer), std::move(handler));
    });
    const ProxyFault fault = fault_;
    if (fault == ProxyFault::kReset) {
      Reset(connection->client);
      Reset(connection->server);
      return;
    }
    const bool is_dropped =
        fault == ProxyFault::kSilent ||
        fault == (to_server ? ProxyFault::kCutThere : ProxyFault::kCutBack);
    if (read.error) {
      // While bytes are dropped, the end of the stream is dropped too, so that
      // the other side keeps waiting.
      if (!is_dropped) {
        boost::system::error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
      }
      return;
    }
    if (is_dropped)
      continue;
    if (fault == ProxyFault::kDelay)
      SleepFiber(kDelay);
    const IoResult written = Await([&](auto handler) {
      asio::async_write(to, asio::buffer(buffer.data(), read.bytes),
                        std::move(handler));
    });
    if (written.error)
      return;
  }
}

}  // namespace mustardbank
