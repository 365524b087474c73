#include "LibLeaseEntry/lease_entry.h"

#include <unistd.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <random>
#include <utility>

#include "LibEntry/entry_error.h"
#include "LibFiber/fiber_errors.h"
#include "LibFiber/fiber_thread.h"
#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_server.h"
#include "LibLeaseEntry/command_sender.h"
#include "LibLeaseEntry/datagram_socket.h"
#include "LibLeaseEntry/job_service.h"
#include "LibLeaseEntry/lease_control.h"
#include "LibLeaseEntry/lease_metrics.h"
#include "LibLeaseEntry/log_writer.h"
#include "LibLeaseEntry/peer_codec.h"
#include "LibLeaseEntry/store_loop.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

using std::chrono::milliseconds;

// Ticks detect expired deadlines, unresponsive workers and stragglers. Those of
// a VM that runs no jobs on workers of its own have less to do.
constexpr milliseconds kBusyTick{10};
constexpr milliseconds kIdleTick{50};
// Heartbeats are due at multiples of 150 ms.
constexpr Duration kHeartbeatCheck = milliseconds(50);
// The load balancer removes a VM after two failed probes, a second apart.
// Callers that it directed to the VM before may still be connecting.
constexpr milliseconds kMinLeaveTime{2600};
// Part of the grace period that is kept for the exit of the process itself.
constexpr milliseconds kExitMargin{400};
constexpr int kIncarnationRandomBits = 8;
// Share of the longest lease that is requested; the rest allows for the time
// that a command takes to the worker.
constexpr double kLeaseShare = 0.9;
// Part of the time in which a smaller capacity must be respected that is kept
// for start commands on their way, and for clocks that run 2% slow.
constexpr milliseconds kCapacityMargin{300};
constexpr std::size_t kCallerConnections = 2000;
constexpr std::size_t kPeerConnections = 1000;
constexpr std::size_t kOperatorConnections = 32;
constexpr std::size_t kBodyBytes = 512 * 1024;
constexpr milliseconds kHeaderTimeout{3000};
constexpr milliseconds kIdleTimeout{60'000};

std::uint64_t NewIncarnation() {
  const auto wall =
      static_cast<std::uint64_t>(ClockReading::Now().wall.count());
  return wall << kIncarnationRandomBits |
         (std::random_device{}() & ((1U << kIncarnationRandomBits) - 1));
}

LeaseTiming TimingOf(const LeaseSettings& settings) {
  LeaseTiming timing;
  timing.lease =
      FromMilliseconds(kLeaseShare * ToMilliseconds(settings.longest_lease));
  timing.capacity = {.validity = settings.capacity_notice +
                                 settings.worker_heartbeat - kCapacityMargin,
                     .share = settings.unconfirmed_capacity_share};
  return timing;
}

}  // namespace

class LeaseEntry::Impl {
 public:
  explicit Impl(LeaseSettings settings)
      : settings_(std::move(settings)),
        incarnation_(NewIncarnation()),
        log_(settings_.name,
             {.lines_per_second = settings_.log_lines_per_second}),
        log_writer_(log_, STDOUT_FILENO),
        control_({.name = settings_.name,
                  .data_center = settings_.data_center,
                  .incarnation = incarnation_,
                  .power = settings_.cores},
                 TimingOf(settings_),
                 log_),
        commands_(thread_.io(), control_),
        jobs_(thread_.io(), control_),
        datagrams_(thread_.io(),
                   [this](std::string_view bytes) { DidReceive(bytes); }),
        callers_({.connections = kCallerConnections,
                  .body_bytes = kBodyBytes,
                  .request_timeout = kHeaderTimeout,
                  .idle_timeout = kIdleTimeout},
                 [this](HttpRequest&& request, CallerWatch& caller) {
                   return jobs_.ServeCaller(std::move(request), caller);
                 }),
        peers_({.connections = kPeerConnections,
                .body_bytes = kBodyBytes,
                .request_timeout = kHeaderTimeout,
                .idle_timeout = kIdleTimeout},
               [this](HttpRequest&& request, CallerWatch& caller) {
                 return request.target == kPeerWorkerList
                            ? store_->ServeWorkerList(request)
                            : jobs_.ServePeer(std::move(request), caller);
               }),
        readiness_({.connections = kOperatorConnections, .body_bytes = 1024},
                   [this](HttpRequest&& /*request*/) {
                     return HttpResponse{.status = IsReady() ? 200U : 503U};
                   }),
        metrics_(
            {.connections = kOperatorConnections, .body_bytes = 1024},
            [this](HttpRequest&& /*request*/) {
              return HttpResponse{
                  .content_type = "text/plain; version=0.0.4; charset=utf-8",
                  .body = WriteLeaseMetrics(control_, jobs_, commands_, *store_,
                                            BootClock::now())};
            }) {
    control_.dispatcher().set_limits_queues(settings_.queue_shares);
    control_.SetSinks(
        {.start =
             [this](StartCommand&& command) {
               commands_.Start(std::move(command));
             },
         .stop =
             [this](StopCommand&& command) {
               commands_.Stop(std::move(command));
             },
         .renew =
             [this](RenewCommand&& command) {
               commands_.Renew(std::move(command));
             },
         .finish = [this](FinishJob&& job) { jobs_.DidFinish(std::move(job)); },
         .claim =
             [this](ClaimShard&& claim) { store_->Claim(std::move(claim)); },
         .probe =
             [this](ProbeDataCenter&& probe) {
               store_->Probe(std::move(probe));
             },
         .read_operator_table = [this] { store_->BeginReadOperatorTable(); },
         .peer_regained_store = [this] { store_->DidHearOfStore(); }});
  }

  leaf::result<void> Start() {
    BOOST_LEAF_ASSIGN(endpoints_.peers,
                      peers_.Listen({&thread_}, settings_.peers));
    BOOST_LEAF_ASSIGN(endpoints_.metrics,
                      metrics_.Listen({&thread_}, settings_.metrics));
    BOOST_LEAF_ASSIGN(endpoints_.readiness,
                      readiness_.Listen({&thread_}, settings_.readiness));
    BOOST_LEAF_ASSIGN(endpoints_.callers,
                      callers_.Listen({&thread_}, settings_.callers));
    control_.ownership().set_endpoint(endpoints_.peers);
    store_ = std::make_unique<StoreLoop>(
        thread_.io(), settings_.store,
        MemberRecord{.name = settings_.name,
                     .data_center = settings_.data_center,
                     .endpoint = endpoints_.peers,
                     .incarnation = incarnation_,
                     .power = settings_.cores},
        settings_.drain_time, control_, commands_);
    const boost::system::error_code error =
        RunInFiber(thread_, [this] { return Begin(); });
    if (error)
      return leaf::new_error(StartError{"can't receive datagrams on " +
                                        endpoints_.peers.ToString() + ": " +
                                        error.message()});
    return {};
  }

  const LeaseEntryEndpoints& endpoints() const { return endpoints_; }

  void Leave() {
    const Time began = BootClock::now();
    const Time end =
        began + RunInFiber(thread_, [this] { return settings_.grace_period; }) -
        kExitMargin;
    thread_.Post([this, end] { BeginLeave(end); });
    AwaitFinish(began + kMinLeaveTime, end);
    RunInFiber(thread_, [this, end] {
      store_->RemoveMember(end + kExitMargin / 2);
      return true;
    });
    // Callers may have sent jobs over open connections in the meantime.
    AwaitFinish(began, end);
    RunInFiber(thread_, [this] {
      log_.Write(LogEvent::kStopped, BootClock::now(), LogBudget::kState)
          .Add(LogField::kCount, jobs_.live_jobs());
      log_writer_.Flush();
      return true;
    });
  }

  void Reload(const LeaseSettings& settings) {
    thread_.Post([this, settings] {
      const Time now = BootClock::now();
      log_.SetLinesPerSecond(settings.log_lines_per_second);
      log_.Write(LogEvent::kReloaded, now, LogBudget::kState);
      LogWarnings(settings, now);
      settings_.grace_period = settings.grace_period;
      control_.dispatcher().SetTiming(TimingOf(settings));
      store_->SetDrainTime(settings.drain_time);
    });
  }

 private:
  // Waits until no work is in progress, at least until `earliest` and at most
  // until `latest`.
  void AwaitFinish(Time earliest, Time latest) {
    while (BootClock::now() < latest) {
      const bool has_finished =
          RunInFiber(thread_, [this] { return HasFinished(); });
      if (has_finished && BootClock::now() >= earliest)
        return;
      std::this_thread::sleep_for(kBusyTick);
    }
  }

  boost::system::error_code Begin() {
    SetLogOffset();
    FiberErrors::SetReporter(
        [this](std::string_view place, std::string_view reason) {
          log_.Write(LogEvent::kUnexpectedError, BootClock::now())
              .Add(LogField::kCause, place)
              .Add(LogField::kReason, reason);
        });
    log_.Write(LogEvent::kStarted, BootClock::now(), LogBudget::kState)
        .Add(LogField::kVersion, incarnation_)
        .Add(LogField::kReason,
             "callers " + endpoints_.callers.ToString() + " readiness " +
                 endpoints_.readiness.ToString() + " peers " +
                 endpoints_.peers.ToString() + " metrics " +
                 endpoints_.metrics.ToString());
    LogWarnings(settings_, BootClock::now());
    const boost::system::error_code error = datagrams_.Open(endpoints_.peers);
    if (error)
      return error;
    store_->Start();
    FiberThread::SpawnHere([this] { RunTicks(); });
    return {};
  }

  void LogWarnings(const LeaseSettings& settings, Time now) {
    for (const ConfigFault& warning : settings.warnings)
      log_.Write(LogEvent::kSettingReplaced, now, LogBudget::kState)
          .Add(LogField::kReason, warning.ToString());
  }

  void SetLogOffset() {
    const ClockReading clock = ClockReading::Now();
    log_.SetWallOffset(clock.wall - std::chrono::duration_cast<milliseconds>(
                                        clock.boot.time_since_epoch()));
  }

  void RunTicks() {
    while (true) {
      SleepFiber(control_.dispatcher().job_count() > 0 ? kBusyTick : kIdleTick);
      const Time now = BootClock::now();
      // Each step by itself: one that fails must not silence the others.
      RunGuarded("tick", [&] { control_.Tick(now); });
      RunGuarded("jobs", [&] { jobs_.Tick(now); });
      RunGuarded("heartbeats", [&] { SendHeartbeats(now); });
      RunGuarded("log", [&] {
        SetLogOffset();
        log_writer_.Flush();
      });
    }
  }

  void SendHeartbeats(Time now) {
    const Ownership& ownership = control_.ownership();
    if (const std::uint64_t changes =
            ownership.hand_over_steps() + control_.evacuations().changes();
        std::exchange(urgent_changes_, changes) != changes)
      heartbeats_.SendAllNow();
    else if (now - heartbeats_checked_ < kHeartbeatCheck)
      return;
    heartbeats_checked_ = now;
    for (const std::string& name : control_.ownership().TakeIntroduced())
      heartbeats_.SendNow(name);
    const std::set<std::string> homes = control_.dispatcher().Homes();
    // By interval, and whether it introduces this VM.
    std::map<std::pair<Duration, bool>, std::string> encoded;
    for (const auto& [name, peer] : ownership.peers()) {
      const Duration interval = ownership.HeartbeatIntervalTo(
          peer, homes.contains(name) || jobs_.HasJobAt(name), now);
      if (!heartbeats_.TakeDue(name, interval, now))
        continue;
      std::string& bytes = encoded[{interval, peer.IsUnheard()}];
      if (bytes.empty())
        bytes = EncodeHeartbeat(MakeHeartbeat(interval, peer.IsUnheard(), now));
      // An unsent datagram needs no more handling than one lost on the network.
      if (datagrams_.Send(peer.record.endpoint, bytes))
        ++datagrams_unsent_;
    }
  }

  Heartbeat MakeHeartbeat(Duration interval, bool introduces, Time now) const {
    Heartbeat heartbeat = control_.MakeHeartbeat(interval, now);
    if (introduces)
      heartbeat.introduction = control_.ownership().MakeIntroduction();
    return heartbeat;
  }

  void DidReceive(std::string_view bytes) {
    const Time now = BootClock::now();
    const auto heartbeat = DecodeHeartbeat(bytes);
    if (!heartbeat) {
      log_.Write(LogEvent::kRequestMalformed, now)
          .Add(LogField::kReason, "malformed heartbeat from a peer");
      return;
    }
    control_.DidReceiveHeartbeat(*heartbeat, now);
    control_.Pump(now);
    store_->DidLearnVersion(heartbeat->configuration_version);
  }

  bool IsReady() const {
    return !control_.ownership().is_leaving() &&
           control_.configuration().version > 0 &&
           (control_.IsAllEvacuated() ||
            !control_.Owners(BootClock::now()).empty());
  }

  void BeginLeave(Time exit) {
    const Time now = BootClock::now();
    log_.Write(LogEvent::kStopping, now, LogBudget::kState)
        .Add(LogField::kCount, jobs_.live_jobs());
    callers_.Drain();
    jobs_.Leave(exit);
    control_.Leave(now);
    heartbeats_.SendAllNow();
    heartbeats_checked_ = Time();
  }

  bool HasFinished() const {
    return jobs_.live_jobs() == 0 && control_.dispatcher().job_count() == 0 &&
           callers_.requests_in_progress() == 0 &&
           peers_.requests_in_progress() == 0 &&
           (control_.ownership().HasLeft() || !HasSuccessors());
  }

  bool HasSuccessors() const {
    const Time now = BootClock::now();
    for (const auto& [name, peer] : control_.ownership().peers()) {
      if (control_.ownership().IsAlive(peer, now))
        return true;
    }
    return false;
  }

  LeaseSettings settings_;
  const std::uint64_t incarnation_;
  LeaseEntryEndpoints endpoints_;
  FiberThread thread_;
  EventLog log_;
  LogWriter log_writer_;
  LeaseControl control_;
  CommandSender commands_;
  JobService jobs_;
  DatagramSocket datagrams_;
  HttpServer callers_;
  HttpServer peers_;
  HttpServer readiness_;
  HttpServer metrics_;
  std::unique_ptr<StoreLoop> store_;
  HeartbeatSchedule heartbeats_;
  Time heartbeats_checked_;
  std::uint64_t datagrams_unsent_ = 0;
  // Changes that peers are told of at once.
  std::uint64_t urgent_changes_ = 0;
};

LeaseEntry::LeaseEntry(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

LeaseEntry::~LeaseEntry() = default;

leaf::result<std::unique_ptr<LeaseEntry>> LeaseEntry::Start(
    LeaseSettings settings) {
  auto impl = std::make_unique<Impl>(std::move(settings));
  return leaf::try_handle_some(
      [&]() -> leaf::result<std::unique_ptr<LeaseEntry>> {
        BOOST_LEAF_CHECK(impl->Start());
        return std::unique_ptr<LeaseEntry>(new LeaseEntry(std::move(impl)));
      },
      [](const ListenError& error)
          -> leaf::result<std::unique_ptr<LeaseEntry>> {
        return leaf::new_error(StartError{"can't listen on " +
                                          error.endpoint.ToString() + ": " +
                                          error.reason});
      });
}

const LeaseEntryEndpoints& LeaseEntry::endpoints() const {
  return impl_->endpoints();
}

void LeaseEntry::Leave() {
  impl_->Leave();
}

void LeaseEntry::Reload(const LeaseSettings& settings) {
  impl_->Reload(settings);
}

}  // namespace mustardbank
