#include "LibEntry/entry_process.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <condition_variable>
#include <mutex>
#include <random>
#include <vector>

#include "LibEntry/caller_api.h"
#include "LibEntry/control_thread.h"
#include "LibEntry/entry_error.h"
#include "LibEntry/operator_api.h"
#include "LibEntry/platform_loop.h"
#include "LibEntry/traffic_thread.h"
#include "LibFiber/fiber_thread.h"
#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_server.h"
#include "LibPeer/peer_link.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

constexpr std::size_t kEventQueueCapacity = 100'000;
constexpr int kIdlePollsBeforeExit = 20;
constexpr int kMaxPollsBeforeExit = 200;
constexpr std::chrono::milliseconds kPollInterval{10};
constexpr int kIncarnationRandomBits = 16;

// The high bits are the wall time, so that a process which replaces another at
// the same address has the greater incarnation.
std::uint64_t NewIncarnation() {
  const auto wall =
      static_cast<std::uint64_t>(ClockReading::Now().wall.count());
  const std::uint64_t salt =
      std::random_device{}() & ((1U << kIncarnationRandomBits) - 1);
  return wall << kIncarnationRandomBits | salt;
}

wire::VmIdentity MakeIdentity(const Settings& settings,
                              Endpoint peers,
                              std::uint64_t incarnation) {
  wire::VmIdentity identity;
  identity.set_name(settings.name);
  identity.set_data_center(settings.data_center);
  identity.set_ip(peers.ip);
  identity.set_port(peers.port);
  identity.set_incarnation(incarnation);
  return identity;
}

}  // namespace

class EntryProcess::Impl {
 public:
  explicit Impl(Settings settings)
      : settings_(std::move(settings)),
        events_(kEventQueueCapacity),
        platform_(settings_, service_thread_, events_),
        peers_([this](wire::Envelope&& envelope) { DidReceive(envelope); },
               [this](PeerDelivery&& delivery) { DidDeliver(delivery); }) {
    for (std::uint32_t i = 0; i < settings_.limits.traffic_threads; ++i) {
      traffic_.push_back(
          std::make_unique<TrafficThread>(i, settings_.data_center, events_));
    }
  }

  leaf::result<void> Start() {
    BOOST_LEAF_ASSIGN(endpoints_.peers, peers_.Listen(settings_.peers));
    const wire::VmIdentity identity = MakeIdentity(
        settings_, endpoints_.peers, ChooseIncarnation(endpoints_.peers));
    peers_.SetIncarnation(identity.incarnation());
    StartControl(identity);
    platform_.Publish(PublishIdentity{.identity = identity});
    service_thread_.Post([this] { platform_.Start(); });
    BOOST_LEAF_CHECK(ListenForOperators());
    return ListenForCallers();
  }

  const EntryEndpoints& endpoints() const { return endpoints_; }

  void Drain() {
    callers_->Drain();
    events_.Push(DrainRequested{});
  }

  void WaitUntilDrained() {
    std::unique_lock lock(mutex_);
    leave_finished_.wait_for(
        lock, std::chrono::milliseconds(settings_.limits.drain_ms),
        [this] { return has_left_; });
    LOG_IF(WARNING, !has_left_) << "drain limit reached with unfinished work";
    lock.unlock();
    // Responses may still be in transit, and requests that were sent before the
    // load balancer removed this VM may not have been read yet.
    // The wait counts polls instead of time, so that a pause of the process
    // does not shorten it.
    int idle_polls = 0;
    for (int i = 0;
         i < kMaxPollsBeforeExit && idle_polls < kIdlePollsBeforeExit; ++i) {
      std::this_thread::sleep_for(kPollInterval);
      idle_polls = callers_->requests_in_progress() > 0 ? 0 : idle_polls + 1;
    }
  }

 private:
  // Returns an incarnation greater than the one registered at `endpoint`.
  std::uint64_t ChooseIncarnation(Endpoint endpoint) {
    const std::uint64_t registered = RunInFiber(service_thread_, [&] {
      return platform_.RegisteredIncarnation(endpoint);
    });
    return std::max(NewIncarnation(), registered + 1);
  }

  void StartControl(const wire::VmIdentity& identity) {
    ActionSinks sinks;
    for (const auto& traffic : traffic_)
      sinks.traffic.push_back(traffic.get());
    sinks.send_to_peer = [this](Endpoint peer, wire::Envelope&& envelope) {
      peers_.Send(peer, std::move(envelope));
    };
    sinks.bind_keys = [this](BindKeys&& keys) {
      platform_.Bind(std::move(keys));
    };
    sinks.release_key = [this](ReleaseKey&& key) {
      platform_.Release(std::move(key));
    };
    sinks.publish_identity = [this](PublishIdentity&& action) {
      peers_.SetIncarnation(action.identity.incarnation());
      platform_.Publish(std::move(action));
    };
    sinks.publish_succession = [this](PublishSuccession&& action) {
      platform_.Publish(std::move(action));
    };
    sinks.leave_finished = [this] {
      const std::lock_guard lock(mutex_);
      has_left_ = true;
      leave_finished_.notify_all();
    };
    control_ = ControlThread::Create(
        settings_.placement,
        DispatchOptions{.self = identity,
                        .job_id_key = settings_.job_id_key,
                        .peer_seeds = settings_.peer_seeds,
                        .limits = settings_.limits,
                        .timing = settings_.timing,
                        .seed = identity.incarnation()},
        events_, std::move(sinks));
    control_->Start();
  }

  leaf::result<void> ListenForOperators() {
    operators_ = std::make_unique<HttpServer>(
        HttpServerLimits{.connections = 64, .body_bytes = 64 * 1024},
        [this](HttpRequest&& request) {
          return ServeOperator(*control_, service_thread_, request,
                               [this] { Drain(); });
        });
    BOOST_LEAF_ASSIGN(
        endpoints_.operators,
        operators_->Listen({&service_thread_}, settings_.operators));
    return {};
  }

  leaf::result<void> ListenForCallers() {
    const HttpServerLimits limits{
        .connections = settings_.limits.caller_connections,
        .body_bytes = settings_.limits.body_bytes,
        .request_timeout =
            std::chrono::milliseconds(settings_.limits.header_timeout_ms)};
    callers_ =
        std::make_unique<HttpServer>(limits, [this](HttpRequest&& request) {
          return ServeCaller(TrafficOfThisThread(), std::move(request));
        });
    std::vector<FiberThread*> threads;
    for (const auto& traffic : traffic_)
      threads.push_back(&traffic->thread());
    BOOST_LEAF_ASSIGN(endpoints_.callers,
                      callers_->Listen(threads, settings_.callers));
    return {};
  }

  TrafficThread& TrafficOfThisThread() {
    for (const auto& traffic : traffic_) {
      if (traffic->thread().IsCurrent())
        return *traffic;
    }
    LOG(FATAL) << "a caller's request is handled outside the traffic threads";
    __builtin_unreachable();
  }

  void DidReceive(wire::Envelope& envelope) {
    events_.Push(PeerMessage{.envelope = std::move(envelope)});
  }

  void DidDeliver(const PeerDelivery& delivery) {
    events_.Push(
        PeerContact{.peer = delivery.peer,
                    .reached = delivery.reached,
                    .incarnation = delivery.acknowledgement.incarnation(),
                    .known_incarnation = delivery.acknowledgement.known(),
                    .forwarded_request = delivery.forwarded_request});
  }

  const Settings settings_;
  EntryEndpoints endpoints_;
  EventQueue events_;
  FiberThread service_thread_;  // runs platform_ and operators_
  std::vector<std::unique_ptr<TrafficThread>> traffic_;
  PlatformLoop platform_;
  PeerLink peers_;
  std::unique_ptr<ControlThread> control_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> operators_;
  std::mutex mutex_;
  std::condition_variable leave_finished_;
  bool has_left_ = false;
};

EntryProcess::EntryProcess(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

EntryProcess::~EntryProcess() = default;

leaf::result<std::unique_ptr<EntryProcess>> EntryProcess::Start(
    Settings settings) {
  auto impl = std::make_unique<Impl>(std::move(settings));
  return leaf::try_handle_some(
      [&]() -> leaf::result<std::unique_ptr<EntryProcess>> {
        BOOST_LEAF_CHECK(impl->Start());
        return std::unique_ptr<EntryProcess>(new EntryProcess(std::move(impl)));
      },
      [](const ListenError& error)
          -> leaf::result<std::unique_ptr<EntryProcess>> {
        return leaf::new_error(StartError{"can't listen on " +
                                          error.endpoint.ToString() + ": " +
                                          error.reason});
      },
      [](const PeerListenError& error)
          -> leaf::result<std::unique_ptr<EntryProcess>> {
        return leaf::new_error(StartError{"can't listen for peers on " +
                                          error.endpoint.ToString()});
      });
}

const EntryEndpoints& EntryProcess::endpoints() const {
  return impl_->endpoints();
}

void EntryProcess::Drain() {
  impl_->Drain();
}

void EntryProcess::WaitUntilDrained() {
  impl_->WaitUntilDrained();
}

}  // namespace mustardbank
