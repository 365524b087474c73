// gRPC between entry VMs: delivers envelopes to peers and takes theirs.
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
  std::uint64_t forwarded_request = 0;  // 0: the envelope was no forward
};

class PeerLink {
 public:
  using DidReceive = std::function<void(wire::Envelope&&)>;
  using DidDeliver = std::function<void(PeerDelivery&&)>;

  // The callbacks are called on threads of gRPC.
  PeerLink(DidReceive did_receive, DidDeliver did_deliver);
  ~PeerLink();

  // Returns the endpoint with the port bound. The port is never shared with
  // another process, so that one incarnation answers at it.
  boost::leaf::result<Endpoint> Listen(Endpoint endpoint);
  // The incarnation that acknowledgements name.
  void SetIncarnation(std::uint64_t incarnation);

  void Send(Endpoint peer, wire::Envelope envelope);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mustardbank
