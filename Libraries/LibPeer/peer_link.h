// gRPC link between entry VMs: sends envelopes to peers and receives theirs.
#pragma once

#include <boost/leaf/result.hpp>
#include <functional>
#include <memory>
#include <string>

#include "LibCore/endpoint.h"
#include "LibWire/peer.pb.h"

namespace mustardbank {

// The listener for peers could not be opened.
struct PeerListenError {
  Endpoint endpoint;
};

struct PeerDelivery {
  Endpoint peer;
  bool reached = false;
  wire::Acknowledgement acknowledgement;
  std::uint64_t forwarded_request = 0;  // 0: the envelope was not a forward
};

class PeerLink {
 public:
  using DidReceive = std::function<void(wire::Envelope&&)>;
  using DidDeliver = std::function<void(PeerDelivery&&)>;

  // The callbacks are called on threads of the gRPC library.
  PeerLink(DidReceive did_receive, DidDeliver did_deliver);
  ~PeerLink();

  // Returns the endpoint with the bound port. The port is not shared with other
  // processes (SO_REUSEPORT is off), so that only one incarnation answers at
  // it.
  boost::leaf::result<Endpoint> Listen(Endpoint endpoint);
  // Sets the incarnation that this VM reports in its acknowledgements.
  void SetIncarnation(std::uint64_t incarnation);

  void Send(Endpoint peer, wire::Envelope envelope);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mustardbank
