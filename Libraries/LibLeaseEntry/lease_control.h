// The control state of a lease entry VM, on its one fiber thread: feeds events
// to ownership and dispatcher, and carries their actions out.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/event_log.h"
#include "LibLease/lease_configuration.h"
#include "LibLease/lease_dispatcher.h"
#include "LibLease/ownership.h"
#include "LibLease/router.h"

namespace mustardbank {

class LeaseControl {
 public:
  struct Sinks {
    std::function<void(StartCommand&&)> start;
    std::function<void(StopCommand&&)> stop;
    std::function<void(RenewCommand&&)> renew;
    std::function<void(FinishJob&&)> finish;
    std::function<void(ClaimShard&&)> claim;
    std::function<void(ProbeDataCenter&&)> probe;
  };

  LeaseControl(Ownership::Self self, LeaseTiming timing, EventLog& log)
      : self_(self),
        log_(log),
        ownership_(std::move(self), ownership_timing_, log),
        dispatcher_(timing, log) {}

  void SetSinks(Sinks sinks) { sinks_ = std::move(sinks); }

  // Events. After each, `Pump` carries out what follows.
  void SetWorkers(std::vector<WorkerEntry> workers, Time now);
  void SetConfiguration(LeaseConfiguration configuration,
                        std::string_view via,
                        Time now);
  void Submit(JobRequest job, Time now);
  void Tick(Time now);
  void Leave(Time now);
  void Pump(Time now);

  Ownership& ownership() { return ownership_; }
  const Ownership& ownership() const { return ownership_; }
  LeaseDispatcher& dispatcher() { return dispatcher_; }
  const LeaseDispatcher& dispatcher() const { return dispatcher_; }
  Router& router() { return router_; }
  EventLog& log() { return log_; }
  const LeaseConfiguration& configuration() const { return configuration_; }
  const std::vector<WorkerEntry>& workers() const { return workers_; }
  const Ownership::Self& self() const { return self_; }
  const OwnershipTiming& ownership_timing() const { return ownership_timing_; }
  Time workers_read_at() const { return workers_read_at_; }
  // A shard was claimed after the list of workers was read.
  bool NeedsFreshWorkers() const;

  // Owners that a job can be sent to.
  std::vector<RouterCandidate> Owners(Time now) const;

 private:
  void SyncWorkers(Time now);
  void SyncWorker(const WorkerEntry& entry, Time now);
  bool IsListFresh(const ShardId& shard, Time now) const;
  void UnlistMissing(Time now);
  void SyncBusy();
  void EndQueue(Time now);
  void CancelJobsOfSilentHomes(Time now);
  void LoseFencedShards(Time now);

  const Ownership::Self self_;
  const OwnershipTiming ownership_timing_;
  EventLog& log_;
  Ownership ownership_;
  LeaseDispatcher dispatcher_;
  Router router_;
  Sinks sinks_;
  LeaseConfiguration configuration_;
  std::vector<WorkerEntry> workers_;
  Time workers_read_at_{};
  std::map<std::string, Time> missing_since_;  // workers that are not listed
  std::map<std::string, Time> home_heard_;     // by jobs they sent
  Time synced_at_{};
  // Since all shards have been claimed by their successors.
  std::optional<Time> queue_ends_since_;
  // Tasks of started jobs wait for room: the workers are not released yet.
  bool awaits_room_ = false;
};

}  // namespace mustardbank
