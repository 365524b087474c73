#include "LibPeer/peer_link.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <boost/leaf/error.hpp>
#include <chrono>
#include <map>
#include <mutex>

#include "LibWire/peer.grpc.pb.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

constexpr std::chrono::milliseconds kDeliveryTimeout{1000};
constexpr int kInitialReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 500;

Endpoint SenderOf(const wire::Envelope& envelope) {
  return Endpoint{.ip = envelope.sender().ip(),
                  .port = static_cast<std::uint16_t>(envelope.sender().port())};
}

}  // namespace

class PeerLink::Impl final : public wire::Peer::CallbackService {
 public:
  Impl(DidReceive did_receive, DidDeliver did_deliver)
      : did_receive_(std::move(did_receive)),
        did_deliver_(std::move(did_deliver)) {}

  ~Impl() override {
    if (server_)
      server_->Shutdown(std::chrono::system_clock::now());
  }

  grpc::ServerUnaryReactor* Deliver(
      grpc::CallbackServerContext* context,
      const wire::Envelope* envelope,
      wire::Acknowledgement* acknowledgement) override {
    acknowledgement->set_incarnation(incarnation_);
    acknowledgement->set_known(RecordIncarnation(
        SenderOf(*envelope), envelope->sender().incarnation()));
    did_receive_(wire::Envelope(*envelope));
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  leaf::result<Endpoint> Listen(Endpoint endpoint) {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(endpoint.ToString(),
                             grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    if (!server_ || port == 0)
      return leaf::new_error(PeerListenError{.endpoint = endpoint});
    endpoint.port = static_cast<std::uint16_t>(port);
    return endpoint;
  }

  void Send(Endpoint peer, wire::Envelope envelope) {
    struct Call {
      grpc::ClientContext context;
      wire::Envelope envelope;
      wire::Acknowledgement acknowledgement;
    };
    auto call = std::make_unique<Call>();
    call->envelope = std::move(envelope);
    call->context.set_deadline(std::chrono::system_clock::now() +
                               kDeliveryTimeout);
    Call* raw = call.release();
    StubOf(peer).async()->Deliver(
        &raw->context, &raw->envelope, &raw->acknowledgement,
        [this, raw, peer](const grpc::Status& status) {
          const std::unique_ptr<Call> owned(raw);
          did_deliver_(PeerDelivery{
              .peer = peer,
              .reached = status.ok(),
              .acknowledgement = std::move(owned->acknowledgement),
              .forwarded_request = owned->envelope.has_forward()
                                       ? owned->envelope.forward().request()
                                       : 0});
        });
  }

  void SetIncarnation(std::uint64_t incarnation) { incarnation_ = incarnation; }

 private:
  // Records the incarnation of a sender, and returns the newest incarnation
  // that has sent an envelope from its address.
  std::uint64_t RecordIncarnation(Endpoint endpoint,
                                  std::uint64_t incarnation) {
    const std::lock_guard lock(mutex_);
    std::uint64_t& newest = newest_incarnations_[endpoint];
    newest = std::max(newest, incarnation);
    return newest;
  }

  wire::Peer::Stub& StubOf(Endpoint peer) {
    const std::lock_guard lock(mutex_);
    std::unique_ptr<wire::Peer::Stub>& stub = stubs_[peer];
    if (!stub) {
      grpc::ChannelArguments arguments;
      arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                       kInitialReconnectBackoffMs);
      arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                       kInitialReconnectBackoffMs);
      arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                       kMaxReconnectBackoffMs);
      arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
      stub = wire::Peer::NewStub(grpc::CreateCustomChannel(
          peer.ToString(), grpc::InsecureChannelCredentials(), arguments));
    }
    return *stub;
  }

  const DidReceive did_receive_;
  const DidDeliver did_deliver_;
  std::atomic<std::uint64_t> incarnation_{0};
  std::mutex mutex_;
  std::map<Endpoint, std::uint64_t> newest_incarnations_;
  std::map<Endpoint, std::unique_ptr<wire::Peer::Stub>> stubs_;
  std::unique_ptr<grpc::Server> server_;
};

PeerLink::PeerLink(DidReceive did_receive, DidDeliver did_deliver)
    : impl_(std::make_unique<Impl>(std::move(did_receive),
                                   std::move(did_deliver))) {}

PeerLink::~PeerLink() = default;

leaf::result<Endpoint> PeerLink::Listen(Endpoint endpoint) {
  return impl_->Listen(endpoint);
}

void PeerLink::SetIncarnation(std::uint64_t incarnation) {
  impl_->SetIncarnation(incarnation);
}

void PeerLink::Send(Endpoint peer, wire::Envelope envelope) {
  impl_->Send(peer, std::move(envelope));
}

}  // namespace mustardbank
