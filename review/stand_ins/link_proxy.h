// The link from one entry VM to another: forwards the channels and datagrams
// that arrive on its address to the target. The channels that are open can go
// silent for good, while new ones work.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <vector>

#include "LibCore/endpoint.h"
#include "LibFiber/fiber_thread.h"

namespace review {

class LinkProxy {
 public:
  // Call on `thread`. The target can be set later.
  explicit LinkProxy(mustardbank::FiberThread& thread);

  mustardbank::Endpoint endpoint() const { return endpoint_; }
  void SetTarget(mustardbank::Endpoint target) { target_ = target; }
  // Call on `thread`. Returns the number of channels.
  int SilenceOpenChannels();

 private:
  struct Channel {
    explicit Channel(boost::asio::io_context& io) : from(io), to(io) {}

    boost::asio::ip::tcp::socket from;
    boost::asio::ip::tcp::socket to;
    bool is_silent = false;
    bool is_over = false;
  };

  void Accept();
  void Forward(const std::shared_ptr<Channel>& channel, bool there);
  void ReceiveDatagram();

  mustardbank::FiberThread& thread_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::udp::socket datagrams_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65'536> datagram_;
  mustardbank::Endpoint endpoint_;
  mustardbank::Endpoint target_;
  std::vector<std::shared_ptr<Channel>> channels_;
};

}  // namespace review
