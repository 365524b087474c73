// UDP socket for datagrams between entry VMs.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "LibCore/endpoint.h"

namespace mustardbank {

class DatagramSocket {
 public:
  using Receiver = std::function<void(std::string_view)>;

  DatagramSocket(boost::asio::io_context& io, Receiver receiver)
      : socket_(io), receiver_(std::move(receiver)) {}

  boost::system::error_code Open(Endpoint endpoint);
  // Never blocks: a datagram that the kernel can't take at once is dropped, and
  // the error returned.
  boost::system::error_code Send(Endpoint to, std::string_view bytes);

 private:
  static constexpr std::size_t kMaxBytes = 65'507;  // of a UDP payload (IPv4)

  void Receive();

  boost::asio::ip::udp::socket socket_;
  const Receiver receiver_;
  boost::asio::ip::udp::endpoint sender_;
  std::string buffer_ = std::string(kMaxBytes, '\0');
};

}  // namespace mustardbank
