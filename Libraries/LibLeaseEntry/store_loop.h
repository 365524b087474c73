// Keeps the control state up to date with the platform's store: configuration,
// records of the entry VMs and registrations of workers. Writes this VM's
// record and its claims of shards.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "LibFiber/await.h"
#include "LibFiber/fiber_pool.h"
#include "LibHttp/connection_pool.h"
#include "LibLease/store_availability.h"
#include "LibLeaseEntry/command_sender.h"
#include "LibLeaseEntry/lease_control.h"
#include "LibLeaseEntry/peer_codec.h"
#include "LibLeaseEntry/store_records.h"
#include "platform/row_store_client.h"

namespace mustardbank {

// The path at which entry VMs receive lists of workers.
inline constexpr std::string_view kPeerWorkerList = "/v1/worker-list";

class StoreLoop {
 public:
  StoreLoop(boost::asio::io_context& io,
            Endpoint store,
            MemberRecord self,
            Duration drain_time,
            LeaseControl& control,
            CommandSender& commands);

  // Starts the loops. Must be called on the thread of `io`.
  void Start();
  // Sets the time from the registration that a worker leaves until it gets no
  // more tasks.
  void SetDrainTime(Duration drain_time);

  void Claim(ClaimShard&& claim);
  void Probe(ProbeDataCenter&& probe);
  // Removes this VM's record, waiting for the answer until `latest`.
  void RemoveMember(Time latest);
  // Handles the configuration version of a peer; reads the configuration if it
  // is newer than this VM's.
  void DidLearnVersion(std::uint64_t version);
  // A peer reaches the store again.
  void DidHearOfStore();
  // Reads the operator's table in full, at least until starts are no longer
  // held for it.
  void BeginReadOperatorTable();

  // Handles a list of workers that another VM read.
  HttpResponse ServeWorkerList(const HttpRequest& request);

  std::uint64_t calls() const { return store_.calls(); }

 private:
  // A write takes 10 ms, and up to 600 ms when the store is slow.
  static constexpr std::chrono::milliseconds kCallTimeout{1000};
  static constexpr std::chrono::milliseconds kRetryDelay{250};
  static constexpr std::chrono::milliseconds kIdlePoll{50};

  // Starts a loop in a fiber, and again after an exception.
  void RunLoop(std::string_view name, std::function<void()> loop);
  void FollowOperatorTable();
  void FollowSharedTable();
  void ReadWorkers();
  bool ReadWorkersOnce();
  // Looks up the registrations of workers that have restarted, between reads of
  // the whole list.
  void LookUpRegistrations();
  // Returns whether the store answered.
  bool LookUpRegistration(const std::string& worker);
  // Empty if the row names no worker to use.
  std::optional<WorkerEntry> DecodeRegistration(const StoreRow& row, Time now);
  // Sends the workers just read to the owners that expect them.
  void ShareWorkers();
  bool NeedsWorkers(Time now) const;
  bool IsCountingWorkers(Time now) const;
  bool IsProbing(Time now) const;
  // Reads what other processes learned about queues and workers.
  void RecallLearned();
  // Whether the row could be read.
  bool RecallRow(const StoreRow& row);
  // Writes what the processes of the data centre learn, now and then.
  void KeepLearned();
  // Stores which tasks are suspected of crashes, for other VMs and for
  // processes that start later.
  void KeepCrashes();
  void ApplyCrashRow(const StoreRow& row);
  // Writes this VM's record, retrying until the store has it.
  void AnnounceMember();
  void ApplyOwnRow(const StoreRow& row);
  // Writes the number of shards of each data centre that has no such record
  // yet.
  void InitializeShardCounts(Time now);
  void ReadOperatorTable();

  // Suspends the fiber while the store counts as lost.
  void AwaitStore();
  // Probes the store while calls fail. The other loops wait meanwhile.
  void ProbeStore();
  void ProbeOnce();
  // Performs a call in another fiber. Returns nothing if the call is abandoned,
  // since it may wait for an answer that never comes.
  std::optional<platform::StoreResult<RowPage>> CallUnlessAbandoned(
      std::function<platform::StoreResult<RowPage>()> call);
  void AbandonCalls();

  // What a page of a table holds: all rows, or those changed since the last
  // one.
  struct PageOrigin {
    bool is_full = false;
    // When the page before was received. Changes of a feed are later.
    Time previous = Time::min();
  };
  // Reads a table, then follows its changes; calls `apply` for each page.
  template <typename Apply>
  void Follow(const std::string& table,
              std::chrono::milliseconds wait,
              Apply apply);
  void ApplyOperatorPage(const RowPage& page,
                         const PageOrigin& origin,
                         std::string_view via);
  void ApplyEvacuationRows(const RowPage& page,
                           const PageOrigin& origin,
                           std::string_view via,
                           Time now);
  void ApplyOperatorRow(const StoreRow& row, std::string_view via);
  void ApplySharedRow(const StoreRow& row);
  std::chrono::milliseconds ChangesDelay() const;
  // Tracks from the results of calls whether the store answers.
  template <typename T>
  void DidCall(const platform::StoreResult<T>& result) {
    if (result)
      DidAnswer();
    else
      DidFail(result.error());
  }
  void DidAnswer();
  void DidFail(const StoreError& error);

  platform::RowStoreClient store_;
  ConnectionPool peers_;
  const MemberRecord self_;
  Duration workers_interval_{};
  Duration shared_workers_timeout_{};
  LeaseControl& control_;
  CommandSender& commands_;
  FiberPool fibers_;
  StoreAvailability availability_;
  // Shared with the fiber that performs the call, which may end later.
  struct PendingCall {
    FiberSignal signal;
    std::optional<platform::StoreResult<RowPage>> result;
  };
  std::set<std::shared_ptr<PendingCall>> pending_calls_;
  std::uint64_t shared_version_ = 0;  // of the shared table, as last read
  Time started_at_{};
  Time recalled_at_{};
  // As the store holds them for this data centre.
  LearnedClasses stored_classes_;
  bool is_reading_operator_ = false;
  // Versions of evacuation rows that were reported as unreadable, by key.
  std::map<std::string, std::uint64_t> reported_rows_;
  std::uint64_t member_version_ = 0;  // of this VM's record; 0: none exists
  bool is_announced_ = false;         // the record names this incarnation
  bool is_announcing_ = false;
  bool is_leaving_ = false;
  struct CachedWorker {
    std::uint64_t version = 0;
    std::optional<WorkerEntry> entry;
  };
  std::map<std::string, CachedWorker> cache_;
  // Number of workers in data centres without shards, and since when it has not
  // changed.
  struct WorkerCount {
    std::uint32_t workers = 0;
    Time since;
  };
  std::map<std::string, WorkerCount> worker_counts_;
  std::optional<Time> probed_at_;
  // The list has only the workers of this VM's shards.
  bool is_list_partial_ = false;
};

}  // namespace mustardbank
