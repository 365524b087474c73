// The control state of a lease entry VM. Passes events to the ownership and the
// dispatcher, and the actions that they decide on to sinks. Not thread-safe:
// all calls come from the VM's one fiber thread.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/digest.h"
#include "LibCore/event_log.h"
#include "LibLease/lease_configuration.h"
#include "LibLease/lease_dispatcher.h"
#include "LibLease/ownership.h"
#include "LibLeaseEntry/peer_codec.h"
#include "LibSchedule/evacuations.h"
#include "LibSchedule/router.h"

namespace mustardbank {

class LeaseControl {
 public:
  // Functions that carry out the actions.
  struct Sinks {
    std::function<void(StartCommand&&)> start;
    std::function<void(StopCommand&&)> stop;
    std::function<void(RenewCommand&&)> renew;
    std::function<void(FinishJob&&)> finish;
    std::function<void(ClaimShard&&)> claim;
    std::function<void(ProbeDataCenter&&)> probe;
    // Reads the operator's table in full, as its state may have changed.
    std::function<void()> read_operator_table = [] {};
    std::function<void()> peer_regained_store = [] {};
  };

  LeaseControl(Ownership::Self self, LeaseTiming timing, EventLog& log)
      : self_(self),
        log_(log),
        ownership_(std::move(self), ownership_timing_, log),
        dispatcher_(timing, log),
        router_(FastDigest(self_.name)) {
    dispatcher_.HoldStarts(true);
  }

  void SetSinks(Sinks sinks) { sinks_ = std::move(sinks); }

  // Events. The caller calls `Pump` after a batch of them; `Tick` and `Leave`
  // do so themselves.
  // Returns whether the list was taken: not if one read later is known, since
  // an answer of the store may be late.
  bool SetWorkers(WorkerList list, Time now);
  // Takes the workers of all shards that this VM owns, which another VM read.
  // Returns whether it did: not if shards are missing, if a list read later is
  // known, or if the age of the list has no bound.
  bool SetWorkersOfShards(SharedWorkerList shared, Time now);
  // Takes a registration that was read by itself, of a worker in the list.
  // Ignored if the list was read from a later version of the store.
  void UpdateWorker(WorkerEntry entry, std::uint64_t store_version, Time now);
  // The workers of the shards, as in the list known.
  WorkerList WorkersOf(const std::vector<ShardId>& shards) const;
  void SetConfiguration(LeaseConfiguration configuration,
                        std::string_view via,
                        Time now);
  // Evacuations, from the operator's table. No task is started until the table
  // is known. `read_began`: when the read of the full table was requested;
  // `acknowledged_after`: the store acknowledged the row later than this.
  void ApplyEvacuation(const std::string& data_center,
                       Evacuation evacuation,
                       std::string_view via,
                       Time acknowledged_after,
                       Time now);
  void ReplaceEvacuations(const EvacuationTable& rows,
                          std::uint64_t version,
                          std::string_view via,
                          Time read_began,
                          Time now);
  // Whether starts are held until the operator's table is read.
  bool AwaitsOperatorTable() const {
    return !evacuations_.is_known() || reread_since_;
  }
  const Evacuations& evacuations() const { return evacuations_; }
  // Whether all data centres that have shards are evacuated.
  bool IsAllEvacuated() const;
  // Known entry VMs whose last heartbeat lacks an evacuation in force.
  std::size_t UnconfirmedPeers() const;
  // Runs of this owner in a data centre.
  std::size_t RunsIn(const std::string& data_center) const;
  // Whether this VM owns a shard of a data centre that is not evacuated.
  bool OwnsUsableShard() const;

  void DidReceiveHeartbeat(const Heartbeat& heartbeat, Time now);
  Heartbeat MakeHeartbeat(Duration interval, Time now) const;
  // Whether a job request with this echo of a stamp of this VM was certainly
  // sent a short time ago. Earlier builds send no echo, and are trusted.
  bool MayStartRequest(const std::optional<ClockStamp>& echo, Time now) const;
  void Submit(JobRequest job, Time now);
  void Tick(Time now);
  void Leave(Time now);
  // Whether a start command may still be sent. The process may have been
  // paused, or the worker's data centre evacuated, since it was issued.
  bool MaySend(const StartCommand& command, Time now);
  // Passes all actions decided on since the last call to the sinks.
  void Pump(Time now);

  Ownership& ownership() { return ownership_; }
  const Ownership& ownership() const { return ownership_; }
  LeaseDispatcher& dispatcher() { return dispatcher_; }
  const LeaseDispatcher& dispatcher() const { return dispatcher_; }
  Router& router() { return router_; }
  EventLog& log() { return log_; }
  const LeaseConfiguration& configuration() const { return configuration_; }
  const std::vector<WorkerEntry>& workers() const { return list_.workers; }
  const Ownership::Self& self() const { return self_; }
  const OwnershipTiming& ownership_timing() const { return ownership_timing_; }
  Time workers_read_at() const { return list_.read_at; }
  // Whether a shard was claimed after the list of workers was read, or this
  // process was paused since.
  bool NeedsFreshWorkerList() const;

  // VMs that own workers with known capacity and accept jobs.
  std::vector<RouterCandidate> Owners(Time now) const;

 private:
  // Whether the list was read before the one known.
  bool IsOutdated(const WorkerList& list) const;
  void ReplaceWorkers(WorkerList list, Time now);
  void IndexWorkers();
  void SyncWorkers(Time now);
  void SyncWorker(const WorkerEntry& entry, Time now);
  // Whether nothing may start since the list of workers is older than a pause
  // of this process: a worker may have begun to leave meanwhile.
  bool AwaitsListAfterPause(Time now) const;
  bool IsListFresh(const ShardId& shard, Time now) const;
  void RemoveMissingWorkers(Time now);
  void UpdateBusyWorkers();
  void DrainQueue(Time now);
  void CancelJobsOfUnreachableHomes(Time now);
  void DropFencedShards(Time now);
  // Holds starts after a pause of the process, during which evacuations may
  // have been requested.
  void DetectPause(Time now);
  // Holds starts while the operator's table or the list of workers is older
  // than a pause of this process.
  void HoldStartsWhileStale(Time now);
  void DidChangeEvacuations(const std::vector<std::string>& changed,
                            std::string_view via,
                            Time acknowledged_after,
                            Time now);

  const Ownership::Self self_;
  const OwnershipTiming ownership_timing_;
  EventLog& log_;
  Ownership ownership_;
  LeaseDispatcher dispatcher_;
  Router router_;
  Sinks sinks_;
  LeaseConfiguration configuration_;
  Evacuations evacuations_;
  // By data centre, until when jobs that have started may start more tasks.
  std::map<std::string, Time> last_starts_until_;
  std::optional<Time> active_at_;     // of the last event
  std::optional<Time> reread_since_;  // when the process noticed a pause
  WorkerList list_;
  // Indexes into `list_.workers`.
  std::map<std::string, std::size_t, std::less<>> worker_index_;  // by id
  std::map<ShardId, std::vector<std::size_t>> workers_by_shard_;
  std::uint64_t indexed_shard_counts_ = 0;  // Ownership::shard_count_changes
  // Workers of the dispatcher that the list lacks.
  std::map<std::string, Time> missing_since_;
  // When each home (the entry VM that answers a job's caller) last sent a job.
  std::map<std::string, Time> last_job_from_home_;
  Time synced_at_{};
  // When it was first seen that successors have claimed all shards of this VM.
  std::optional<Time> draining_since_;
  // Workers are not released yet, since tasks of started jobs wait for
  // capacity.
  bool awaits_capacity_ = false;
};

}  // namespace mustardbank
