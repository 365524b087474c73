#include "LibLeaseEntry/lease_control.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace mustardbank {

namespace {

// A worker that is missing from the list for this long is removed.
// Registrations that expired during an outage of the store are renewed within
// 2 s of its end.
constexpr Duration kMissingWorkerTimeout = std::chrono::milliseconds(2500);
// After a claim, the list of workers is read again. If the store fails
// meanwhile, the old list is used after this time.
constexpr Duration kFreshListTimeout = std::chrono::milliseconds(1500);
// How long jobs that have started may still start their other tasks while this
// VM hands over all its workers. Most tasks end, and free their capacity,
// within 60 to 300 ms. The successor can't use the workers meanwhile.
constexpr Duration kCapacityWait = std::chrono::milliseconds(300);
// How soon changes in ownership reach the dispatcher. Heartbeats and records in
// the store change which workers this VM may send commands to.
constexpr Duration kSyncInterval = std::chrono::milliseconds(50);
// How long jobs that have started may start their other tasks in a data centre
// after its evacuation was requested: most waiting tasks get the capacity that
// ends of the job's own runs free within 60 to 300 ms, and their work is not
// discarded.
constexpr Duration kLastStarts = std::chrono::milliseconds(300);
// Nothing may start 5 s after the acknowledgement of the request. A row that
// may be older than this when it arrives allows no last starts. In steady state
// the feed answers at least each 2.8 s, and shows the row at once.
constexpr Duration kLongestNotice = std::chrono::milliseconds(3500);
// Events come at least each 50 ms. After a longer gap the process was paused,
// and the operator's table may have changed without its notice.
constexpr Duration kLongestGap = std::chrono::seconds(1);
// For how long starts are held at most until the operator's table and the list
// of workers were read
// after a pause. A slow store answers within 600 ms, and peers that know a
// newer table send heartbeats within 500 ms.
constexpr Duration kLongestHold = std::chrono::milliseconds(700);

}  // namespace

bool LeaseControl::SetWorkers(WorkerList list, Time now) {
  ownership_.NoticePause(now);
  if (IsOutdated(list))
    return false;
  ReplaceWorkers(std::move(list), now);
  return true;
}

bool LeaseControl::SetWorkersOfShards(SharedWorkerList shared, Time now) {
  ownership_.NoticePause(now);
  // The list may have been sent before the pause.
  if (AwaitsListAfterPause(now))
    return false;
  const std::vector<ShardId> owned = ownership_.OwnedShards();
  const bool is_complete =
      std::all_of(owned.begin(), owned.end(), [&](const ShardId& shard) {
        return std::find(shared.shards.begin(), shared.shards.end(), shard) !=
               shared.shards.end();
      });
  const std::optional<Duration> age =
      GreatestAge(shared.echo, self_.incarnation, now);
  if (!is_complete || age == Duration::max())
    return false;
  // Without an echo, the way of the list counts as no time.
  if (age)
    shared.list.read_at -= *age;
  if (IsOutdated(shared.list))
    return false;
  ReplaceWorkers(std::move(shared.list), now);
  return true;
}

bool LeaseControl::IsOutdated(const WorkerList& list) const {
  if (list.store_version != 0 && list_.store_version != 0)
    return list.store_version < list_.store_version;
  return list.read_at < list_.read_at;
}

void LeaseControl::UpdateWorker(WorkerEntry entry,
                                std::uint64_t store_version,
                                Time now) {
  const auto it = worker_index_.find(entry.id);
  if (it == worker_index_.end() || store_version < list_.store_version)
    return;
  WorkerEntry& known = list_.workers[it->second];
  const bool has_moved = known.data_center != entry.data_center;
  known = std::move(entry);
  if (has_moved)
    IndexWorkers();
  SyncWorkers(now);
}

WorkerList LeaseControl::WorkersOf(const std::vector<ShardId>& shards) const {
  WorkerList list{.store_version = list_.store_version,
                  .read_at = list_.read_at};
  for (const ShardId& shard : shards) {
    const auto it = workers_by_shard_.find(shard);
    if (it == workers_by_shard_.end())
      continue;
    for (const std::size_t index : it->second)
      list.workers.push_back(list_.workers[index]);
  }
  return list;
}

void LeaseControl::ReplaceWorkers(WorkerList list, Time now) {
  // The time of a shared list is a lower bound, and earlier builds send no
  // version.
  list.read_at = std::max(list.read_at, list_.read_at);
  list.store_version = std::max(list.store_version, list_.store_version);
  const bool has_changed = list.workers != list_.workers;
  list_ = std::move(list);
  if (has_changed)
    IndexWorkers();
  RemoveMissingWorkers(now);
  SyncWorkers(now);
}

void LeaseControl::IndexWorkers() {
  indexed_shard_counts_ = ownership_.shard_count_changes();
  worker_index_.clear();
  workers_by_shard_.clear();
  for (std::size_t i = 0; i < list_.workers.size(); ++i) {
    const WorkerEntry& entry = list_.workers[i];
    worker_index_[entry.id] = i;
    workers_by_shard_[ownership_.ShardOf(entry.id, entry.data_center)]
        .push_back(i);
  }
}

void LeaseControl::RemoveMissingWorkers(Time now) {
  std::vector<std::string> expired;
  for (const auto& [id, worker] : dispatcher_.workers()) {
    if (worker_index_.contains(id)) {
      missing_since_.erase(id);
      continue;
    }
    const Time since = missing_since_.try_emplace(id, now).first->second;
    if (now - since >= kMissingWorkerTimeout)
      expired.push_back(id);
  }
  for (const std::string& id : expired)
    dispatcher_.Unlist(id, now);
}

void LeaseControl::SyncWorkers(Time now) {
  synced_at_ = now;
  if (indexed_shard_counts_ != ownership_.shard_count_changes())
    IndexWorkers();
  for (const auto& [shard, indexes] : workers_by_shard_) {
    if (!ownership_.Owns(shard))
      continue;
    for (const std::size_t index : indexes)
      SyncWorker(list_.workers[index], now);
  }
  std::vector<std::string> lost;
  for (const auto& [id, worker] : dispatcher_.workers()) {
    if (worker_index_.contains(id) &&
        !ownership_.Owns(ownership_.ShardOf(id, worker.entry.data_center)))
      lost.push_back(id);
  }
  for (const std::string& id : lost)
    dispatcher_.Disown(id, now);
}

void LeaseControl::SyncWorker(const WorkerEntry& entry, Time now) {
  const auto token = ownership_.TokenFor(entry.id, entry.data_center, now);
  const auto known = dispatcher_.workers().find(entry.id);
  const bool is_known = known != dispatcher_.workers().end();
  const ShardId shard = ownership_.ShardOf(entry.id, entry.data_center);
  if (!token)
    return;
  if (!is_known && !IsListFresh(shard, now))
    return;
  if (!is_known || known->second.entry != entry ||
      known->second.fencing_token != *token)
    dispatcher_.Own(entry, *token, now);
  else
    dispatcher_.Confirm(entry, now);
  if (ownership_.IsReleasing(shard) && !awaits_capacity_)
    dispatcher_.Release(entry.id);
}

// A list read before the claim is not used: a worker may have begun to leave
// since.
bool LeaseControl::IsListFresh(const ShardId& shard, Time now) const {
  const Time claimed = ownership_.ClaimedAt(shard);
  return list_.read_at >= claimed || now - claimed > kFreshListTimeout;
}

bool LeaseControl::AwaitsListAfterPause(Time now) const {
  const Time resumed_at = ownership_.resumed_at();
  return resumed_at > list_.read_at && ownership_.has_store() &&
         now - resumed_at < kLongestHold;
}

bool LeaseControl::NeedsFreshWorkerList() const {
  if (ownership_.OwnsAny() && ownership_.resumed_at() > list_.read_at)
    return true;
  return std::any_of(workers_by_shard_.begin(), workers_by_shard_.end(),
                     [this](const auto& entry) {
                       return ownership_.Owns(entry.first) &&
                              ownership_.ClaimedAt(entry.first) > list_.read_at;
                     });
}

void LeaseControl::SetConfiguration(LeaseConfiguration configuration,
                                    std::string_view via,
                                    Time now) {
  // Versions only rise, and an older one may arrive late.
  if (configuration.version <= configuration_.version)
    return;
  configuration_ = std::move(configuration);
  log_.Write(LogEvent::kConfigurationInForce, now, LogBudget::kState)
      .Add(LogField::kVersion, configuration_.version)
      .Add(LogField::kVia, via)
      .Add(LogField::kCount, configuration_.routes.size());
}

void LeaseControl::ApplyEvacuation(const std::string& data_center,
                                   Evacuation evacuation,
                                   std::string_view via,
                                   Time acknowledged_after,
                                   Time now) {
  DetectPause(now);
  DidChangeEvacuations(evacuations_.Apply(data_center, evacuation, now), via,
                       acknowledged_after, now);
}

void LeaseControl::ReplaceEvacuations(const EvacuationTable& rows,
                                      std::uint64_t version,
                                      std::string_view via,
                                      Time read_began,
                                      Time now) {
  DetectPause(now);
  const std::vector<std::string> changed =
      evacuations_.ReplaceAll(rows, version, now);
  // The rows may be old: a full read shows no time of the request.
  DidChangeEvacuations(changed, via, Time::min(), now);
  // An answer to a read from before the pause may be as old as the pause.
  if (reread_since_ && read_began >= *reread_since_) {
    log_.Write(LogEvent::kStartsResumed, now, LogBudget::kState)
        .Add(LogField::kElapsedMs, now - *reread_since_)
        .Add(LogField::kVia, via);
    reread_since_.reset();
  }
  HoldStartsWhileStale(now);
}

void LeaseControl::DidChangeEvacuations(const std::vector<std::string>& changed,
                                        std::string_view via,
                                        Time acknowledged_after,
                                        Time now) {
  for (const std::string& data_center : changed) {
    const bool is_requested = evacuations_.IsEvacuated(data_center);
    if (!is_requested) {
      last_starts_until_.erase(data_center);
    } else {
      const bool is_recent = !AwaitsOperatorTable() &&
                             acknowledged_after != Time::min() &&
                             now - acknowledged_after <= kLongestNotice;
      last_starts_until_[data_center] = is_recent ? now + kLastStarts : now;
    }
    const EvacuationTable table = evacuations_.table();
    log_.Write(is_requested ? LogEvent::kEvacuationRequested
                            : LogEvent::kEvacuationWithdrawn,
               now, LogBudget::kState)
        .Add(LogField::kDataCenter, data_center)
        .Add(LogField::kVersion, table.at(data_center).version)
        .Add(LogField::kVia, via)
        .Add(LogField::kCount, RunsIn(data_center));
  }
  if (!changed.empty())
    dispatcher_.SetEvacuated(last_starts_until_, now);
}

std::size_t LeaseControl::RunsIn(const std::string& data_center) const {
  std::size_t runs = 0;
  for (const auto& [id, worker] : dispatcher_.workers())
    runs += worker.entry.data_center == data_center ? worker.runs.size() : 0;
  return runs;
}

std::size_t LeaseControl::UnconfirmedPeers() const {
  const auto& peers = ownership_.peers();
  return static_cast<std::size_t>(
      std::count_if(peers.begin(), peers.end(), [this](const auto& entry) {
        return !evacuations_.IsConfirmedBy(
            entry.second.last_heartbeat.evacuations);
      }));
}

bool LeaseControl::IsAllEvacuated() const {
  const auto& shard_counts = ownership_.shard_counts();
  return !shard_counts.empty() &&
         std::all_of(shard_counts.begin(), shard_counts.end(),
                     [this](const auto& entry) {
                       return evacuations_.IsEvacuated(entry.first);
                     });
}

bool LeaseControl::OwnsUsableShard() const {
  const std::vector<ShardId> owned = ownership_.OwnedShards();
  return std::any_of(owned.begin(), owned.end(), [this](const ShardId& shard) {
    return !evacuations_.IsEvacuated(shard.data_center);
  });
}

void LeaseControl::DidReceiveHeartbeat(const Heartbeat& heartbeat, Time now) {
  DetectPause(now);
  const auto peer = ownership_.peers().find(heartbeat.name);
  if (peer != ownership_.peers().end() && heartbeat.has_store &&
      !peer->second.last_heartbeat.has_store)
    sinks_.peer_regained_store();
  ownership_.DidReceiveHeartbeat(heartbeat, now);
  router_.DidReport(heartbeat.name);
  for (const CrashRecord& record : heartbeat.crashes)
    dispatcher_.crashes().Learn(record, now);
  const bool was_awaited = AwaitsOperatorTable();
  DidChangeEvacuations(evacuations_.Merge(heartbeat.evacuations, now),
                       heartbeat.name, Time::min(), now);
  if (was_awaited)
    HoldStartsWhileStale(now);
}

Heartbeat LeaseControl::MakeHeartbeat(Duration interval, Time now) const {
  Heartbeat heartbeat = ownership_.MakeHeartbeat(
      dispatcher_.Load(now), configuration_.version, interval, now);
  heartbeat.evacuations = evacuations_.Shared(now);
  heartbeat.crashes = dispatcher_.crashes().Unstored(Heartbeat::kMostCrashes);
  return heartbeat;
}

void LeaseControl::HoldStartsWhileStale(Time now) {
  dispatcher_.HoldStarts(AwaitsOperatorTable() || AwaitsListAfterPause(now));
}

void LeaseControl::DetectPause(Time now) {
  ownership_.NoticePause(now);
  const bool was_paused = active_at_ && now - *active_at_ > kLongestGap;
  active_at_ = now;
  if (was_paused) {
    reread_since_ = now;
    log_.Write(LogEvent::kStartsHeld, now, LogBudget::kState)
        .Add(LogField::kReason, "the process was paused");
    sinks_.read_operator_table();
  } else if (reread_since_ && now - *reread_since_ >= kLongestHold) {
    // The store does not answer: the last state stays in force.
    log_.Write(LogEvent::kStartsResumed, now, LogBudget::kState)
        .Add(LogField::kElapsedMs, now - *reread_since_)
        .Add(LogField::kCause, "no answer");
    reread_since_.reset();
  }
  HoldStartsWhileStale(now);
}

bool LeaseControl::MayStartRequest(const std::optional<ClockStamp>& echo,
                                   Time now) const {
  const std::optional<Duration> age = GreatestAge(echo, self_.incarnation, now);
  return !age || *age <= ownership_timing_.longest_request_age;
}

void LeaseControl::Submit(JobRequest job, Time now) {
  DetectPause(now);
  last_job_from_home_[job.home] = now;
  dispatcher_.Submit(std::move(job), now);
  if (draining_since_)
    dispatcher_.RefuseQueued(JobCause::kHandedOver, now);
}

void LeaseControl::UpdateBusyWorkers() {
  std::map<ShardId, std::vector<std::string>> busy;
  for (const ShardId& shard : ownership_.ReleasingShards())
    busy[shard];
  for (const auto& [id, worker] : dispatcher_.workers()) {
    const ShardId shard = ownership_.ShardOf(id, worker.entry.data_center);
    const auto it = busy.find(shard);
    if (it != busy.end() && (!worker.releasing || !worker.IsIdle()))
      it->second.push_back(id);
  }
  for (auto& [shard, workers] : busy)
    ownership_.SetBusy(shard, std::move(workers));
}

// Once successors have claimed all shards, refuses jobs that have not started a
// task. Other jobs may start their remaining tasks for up to kCapacityWait.
void LeaseControl::DrainQueue(Time now) {
  if (ownership_.ReleasingShards().empty() || ownership_.MayStartTasks()) {
    draining_since_.reset();
    awaits_capacity_ = false;
    return;
  }
  if (!draining_since_)
    draining_since_ = now;
  dispatcher_.RefuseQueued(JobCause::kHandedOver, now);
  if (now - *draining_since_ >= kCapacityWait)
    dispatcher_.CancelQueued(JobCause::kHandedOver, now);
  awaits_capacity_ = dispatcher_.queued_jobs() > 0;
}

void LeaseControl::CancelJobsOfUnreachableHomes(Time now) {
  for (const std::string& home : dispatcher_.Homes()) {
    if (home == self_.name)
      continue;
    Time last_contact = last_job_from_home_[home];
    const auto it = ownership_.peers().find(home);
    if (it != ownership_.peers().end())
      last_contact = std::max(last_contact, it->second.last_sent_at);
    if (now - last_contact > ownership_timing_.home_timeout)
      dispatcher_.CancelJobsOf(home, now);
  }
}

void LeaseControl::DropFencedShards(Time now) {
  bool has_lost = false;
  for (const std::string& id : dispatcher_.TakeFenced()) {
    const auto it = worker_index_.find(id);
    if (it == worker_index_.end())
      continue;
    ownership_.DidLoseShard(
        ownership_.ShardOf(id, list_.workers[it->second].data_center), now);
    has_lost = true;
  }
  if (has_lost)
    SyncWorkers(now);
}

void LeaseControl::Tick(Time now) {
  DetectPause(now);
  ownership_.Tick(now);
  // The successor must see the busy workers as they are at the release, so they
  // are updated on each tick while a shard is being released.
  if (now - synced_at_ >= kSyncInterval ||
      !ownership_.ReleasingShards().empty()) {
    DrainQueue(now);
    SyncWorkers(now);
    if (!awaits_capacity_)
      UpdateBusyWorkers();
  }
  CancelJobsOfUnreachableHomes(now);
  dispatcher_.Tick(now);
  Pump(now);
}

void LeaseControl::Leave(Time now) {
  ownership_.Leave(now);
  Pump(now);
}

bool LeaseControl::MaySend(const StartCommand& command, Time now) {
  DetectPause(now);
  return dispatcher_.MaySend(command, now);
}

void LeaseControl::Pump(Time now) {
  DetectPause(now);
  DropFencedShards(now);
  for (LeaseAction& action : dispatcher_.TakeActions(now)) {
    if (auto* start = std::get_if<StartCommand>(&action))
      sinks_.start(std::move(*start));
    else if (auto* stop = std::get_if<StopCommand>(&action))
      sinks_.stop(std::move(*stop));
    else if (auto* renew = std::get_if<RenewCommand>(&action))
      sinks_.renew(std::move(*renew));
    else if (auto* finish = std::get_if<FinishJob>(&action))
      sinks_.finish(std::move(*finish));
  }
  for (ClaimShard& claim : ownership_.TakeClaims())
    sinks_.claim(std::move(claim));
  for (ProbeDataCenter& probe : ownership_.TakeProbes())
    sinks_.probe(std::move(probe));
}

std::vector<RouterCandidate> LeaseControl::Owners(Time now) const {
  std::vector<RouterCandidate> owners;
  const auto is_near = [this](const std::vector<ShardStatus>& shards) {
    return std::any_of(shards.begin(), shards.end(),
                       [this](const auto& status) {
                         return status.shard.data_center == self_.data_center;
                       });
  };
  // Its last report of free capacity may be older than an evacuation.
  const auto accepts = [this](const std::vector<ShardStatus>& shards) {
    return std::any_of(
        shards.begin(), shards.end(), [this](const auto& status) {
          return !status.is_released &&
                 !evacuations_.IsEvacuated(status.shard.data_center);
        });
  };
  if (ownership_.MayStartTasks()) {
    const OwnerLoad load = dispatcher_.Load(now);
    if (load.capacity_millicores > 0)
      owners.push_back({.name = self_.name,
                        .is_self = true,
                        .is_near = ownership_.OwnsIn(self_.data_center),
                        .is_leaving = ownership_.is_leaving(),
                        .load = load});
  }
  for (const auto& [name, peer] : ownership_.peers()) {
    if (ownership_.IsReachable(peer, now) &&
        accepts(peer.last_heartbeat.shards) &&
        peer.last_heartbeat.load.capacity_millicores > 0)
      owners.push_back({.name = name,
                        .is_near = is_near(peer.last_heartbeat.shards),
                        .is_leaving = peer.last_heartbeat.leaving,
                        .load = peer.last_heartbeat.load});
  }
  return owners;
}

}  // namespace mustardbank
