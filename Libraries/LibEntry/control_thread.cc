#include "LibEntry/control_thread.h"

#include <glog/logging.h>

#include <utility>

#include "LibDispatch/dispatcher.h"

namespace mustardbank {

namespace {

constexpr std::chrono::milliseconds kIdleTick{50};
constexpr std::chrono::milliseconds kBusyTick{5};

// Logs state changes that matter to operators.
class StateChangeLogger {
 public:
  void LogChanges(const DispatchState& state) {
    if (state.phase != phase_) {
      phase_ = state.phase;
      LOG(INFO) << "phase: " << kPhaseNames[phase_];
    }
    if (state.configuration.version != configuration_version_) {
      configuration_version_ = state.configuration.version;
      LOG(INFO) << "configuration in force: version " << configuration_version_;
    }
    if (state.incarnation() != incarnation_) {
      incarnation_ = state.incarnation();
      LOG(INFO) << "incarnation: " << incarnation_;
    }
    const std::uint64_t quarantines = state.counters[Counter::kQuarantines];
    if (quarantines != quarantines_) {
      quarantines_ = quarantines;
      LOG(WARNING) << "quarantines of workers since the start: " << quarantines;
    }
  }

 private:
  Phase phase_ = Phase::kJoining;
  std::uint64_t configuration_version_ = 0;
  std::uint64_t incarnation_ = 0;
  std::uint64_t quarantines_ = 0;
};

template <PlacementPolicy Policy>
class PolicyControlThread final : public ControlThread {
 public:
  PolicyControlThread(DispatchOptions options,
                      EventQueue& events,
                      ActionSinks sinks)
      : dispatcher_(std::move(options)),
        events_(events),
        sinks_(std::move(sinks)),
        replies_(sinks_.traffic.size()),
        starts_(sinks_.traffic.size()) {}

  ~PolicyControlThread() override {
    stopping_ = true;
    if (thread_.joinable())
      thread_.join();
  }

  void Start() override {
    thread_ = std::thread([this] { Run(); });
  }

 private:
  void Run() {
    std::vector<Event> batch;
    while (!stopping_) {
      const bool is_idle = dispatcher_.state().jobs.empty() &&
                           dispatcher_.state().forwards.empty();
      events_.TakeAll(batch, is_idle ? kIdleTick : kBusyTick);
      const ClockReading clock = ClockReading::Now();
      for (Event& event : batch)
        dispatcher_.Handle(std::move(event), clock.boot);
      dispatcher_.Tick(clock);
      for (Action& action : dispatcher_.TakeActions())
        std::visit([this](auto& concrete) { Execute(concrete); }, action);
      Flush();
      for (const Inspection& inspection : TakeInspections())
        inspection(dispatcher_.state());
      change_logger_.LogChanges(dispatcher_.state());
    }
  }

  void Execute(ReplyToCaller& action) {
    replies_[TrafficThread::IndexOf(action.request)].push_back(
        std::move(action));
  }
  void Execute(StartTask& action) {
    const std::size_t index =
        std::hash<std::string>{}(action.worker) % starts_.size();
    starts_[index].push_back(std::move(action));
  }
  void Execute(SendToPeer& action) {
    sinks_.send_to_peer(action.peer, std::move(action.envelope));
  }
  void Execute(BindKeys& action) { sinks_.bind_keys(std::move(action)); }
  void Execute(ReleaseKey& action) { sinks_.release_key(std::move(action)); }
  void Execute(PublishIdentity& action) {
    sinks_.publish_identity(std::move(action));
  }
  void Execute(PublishSuccession& action) {
    sinks_.publish_succession(std::move(action));
  }
  void Execute(LeaveFinished& /*action*/) { sinks_.leave_finished(); }

  void Flush() {
    for (std::size_t i = 0; i < sinks_.traffic.size(); ++i) {
      if (replies_[i].empty() && starts_[i].empty())
        continue;
      sinks_.traffic[i]->Deliver(std::exchange(replies_[i], {}),
                                 std::exchange(starts_[i], {}));
    }
  }

  Dispatcher<Policy> dispatcher_;
  EventQueue& events_;
  ActionSinks sinks_;
  std::vector<std::vector<ReplyToCaller>> replies_;
  std::vector<std::vector<StartTask>> starts_;
  StateChangeLogger change_logger_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace

std::unique_ptr<ControlThread> ControlThread::Create(Placement placement,
                                                     DispatchOptions options,
                                                     EventQueue& events,
                                                     ActionSinks sinks) {
  switch (placement) {
    case Placement::kHomeLending:
      return std::make_unique<PolicyControlThread<HomeLendingPlacement>>(
          std::move(options), events, std::move(sinks));
    case Placement::kLeastLoaded:
      return std::make_unique<PolicyControlThread<LeastLoadedPlacement>>(
          std::move(options), events, std::move(sinks));
    case Placement::kRandom:
      return std::make_unique<PolicyControlThread<RandomPlacement>>(
          std::move(options), events, std::move(sinks));
  }
  return nullptr;
}

void ControlThread::Inspect(Inspection inspection) {
  const std::lock_guard lock(mutex_);
  inspections_.push_back(std::move(inspection));
}

std::vector<ControlThread::Inspection> ControlThread::TakeInspections() {
  const std::lock_guard lock(mutex_);
  return std::exchange(inspections_, {});
}

}  // namespace mustardbank
