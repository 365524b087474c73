#include "LibLeaseEntry/datagram_socket.h"

#include <boost/asio/buffer.hpp>

#include "LibFiber/fiber_errors.h"

namespace asio = boost::asio;
using asio::ip::udp;

namespace mustardbank {

boost::system::error_code DatagramSocket::Open(Endpoint endpoint) {
  boost::system::error_code error;
  socket_.open(udp::v4(), error);
  if (!error)
    socket_.bind({asio::ip::address_v4(endpoint.ip), endpoint.port}, error);
  if (!error)
    socket_.non_blocking(true, error);
  if (!error)
    Receive();
  return error;
}

boost::system::error_code DatagramSocket::Send(Endpoint to,
                                               std::string_view bytes) {
  boost::system::error_code error;
  socket_.send_to(asio::buffer(bytes.data(), bytes.size()),
                  {asio::ip::address_v4(to.ip), to.port}, 0, error);
  return error;
}

void DatagramSocket::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [this](boost::system::error_code error, std::size_t bytes) {
        if (error == asio::error::operation_aborted)
          return;
        // Other errors are ignored: they report that an earlier datagram was
        // sent to a port on which no process listens.
        if (!error)
          RunGuarded("datagram", [&] {
            receiver_(std::string_view(buffer_).substr(0, bytes));
          });
        Receive();
      });
}

}  // namespace mustardbank
