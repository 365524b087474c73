// Follows the platform's store: configuration, records of the entry VMs,
// registrations of workers; and writes this VM's record and its claims.
#pragma once

#include <map>
#include <set>
#include <string>

#include "LibFiber/fiber_pool.h"
#include "LibLeaseEntry/command_sender.h"
#include "LibLeaseEntry/lease_control.h"
#include "LibLeaseEntry/peer_codec.h"
#include "platform/row_store_client.h"

namespace mustardbank {

class StoreLoop {
 public:
  StoreLoop(boost::asio::io_context& io,
            Endpoint store,
            MemberRecord self,
            LeaseControl& control,
            CommandSender& orders);

  // Starts the loops; only on the thread of `io`.
  void Start();

  void Claim(ClaimShard&& claim);
  void Probe(ProbeDataCenter&& probe);
  // Takes this VM's record away; waits for the answer until `latest`.
  void RemoveMember(Time latest);
  // A peer has a newer configuration than this VM.
  void DidHearOfVersion(std::uint64_t version);

  std::uint64_t calls() const { return store_.calls(); }

 private:
  void FollowOperator();
  void FollowShared();
  void ReadWorkers();
  bool ReadWorkersOnce();
  bool NeedsWorkers(Time now) const;
  // Writes this VM's record until it stands.
  void AnnounceMember();
  void ApplyOwnRow(const StoreRow& row);
  // Sets the number of shards of data centres that have none yet.
  void CountShards(Time now);
  void ReadOperatorNow();

  // Reads a table, then follows its changes, handing rows to `apply`.
  template <typename Apply>
  void Follow(const std::string& table,
              std::chrono::milliseconds wait,
              Apply apply);
  void ApplyOperatorRow(const StoreRow& row, std::string_view via);
  void ApplySharedRow(const StoreRow& row);
  // Notes whether the store answers.
  template <typename T>
  void DidCall(const platform::StoreResult<T>& result);
  void DidAnswer();
  void DidFail(const StoreError& error);

  platform::RowStoreClient store_;
  const MemberRecord self_;
  LeaseControl& control_;
  CommandSender& orders_;
  FiberPool fibers_;
  int failures_ = 0;  // in a row
  bool is_lost_ = false;
  Time answered_at_{};
  bool is_reading_operator_ = false;
  std::uint64_t member_version_ = 0;  // of this VM's record; 0: there is none
  bool is_announced_ = false;         // that record is of this life
  bool is_announcing_ = false;
  bool is_leaving_ = false;
  struct CachedWorker {
    std::uint64_t version = 0;
    std::optional<WorkerEntry> entry;
  };
  std::map<std::string, CachedWorker> cache_;
  // Workers of data centres without shards, and since when there are so many.
  struct WorkerCount {
    std::uint32_t workers = 0;
    Time since;
  };
  std::map<std::string, WorkerCount> uncounted_;
  bool probe_wanted_ = false;
};

}  // namespace mustardbank
