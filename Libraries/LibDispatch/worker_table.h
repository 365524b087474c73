// The workers, with their health and the number of their slots that this VM may
// use. Free workers are indexed, so that finding one takes O(log workers).
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibConfig/inventory.h"
#include "LibCore/boot_clock.h"
#include "LibCore/endpoint.h"

namespace mustardbank {

using WorkerIndex = std::uint32_t;

// A set of pools, as a bit mask. A pool contains the workers of one data centre
// that have accelerators, or those that have none.
using PoolMask = std::uint64_t;

// Slots of a worker that its home has lent to a peer.
struct Loan {
  std::uint32_t slots = 0;
  Time changed_at;
};

struct Worker {
  VmRecord vm;
  Endpoint home;  // entry VM that allots its slots
  bool is_home_here = false;
  std::uint32_t pool = 0;
  std::uint32_t running = 0;   // attempts of this VM in progress
  std::uint32_t borrowed = 0;  // slots lent to this VM by its home
  std::uint32_t foreign = 0;   // slots others use, inferred from busy refusals
  std::map<Endpoint, Loan> lent;
  std::uint32_t lent_total = 0;
  Time borrowed_idle_since;

  // Health.
  std::uint32_t failures = 0;  // consecutive, each of another job
  std::uint64_t last_failed_job = 0;
  std::uint32_t quarantine_round = 0;
  Time barred_until;      // no work before this time
  bool on_trial = false;  // one task at a time until one succeeds
  double slowness = 1.0;  // observed run time divided by expected one

  // Slots that this VM may use in total, including those in use.
  std::uint32_t allotment(bool lends_slots) const;
};

class WorkerTable {
 public:
  using AcceptsWork = bool (*)(VmState);

  // Without lending, every VM may use all slots of all workers.
  WorkerTable(bool lends_slots, AcceptsWork accepts_work)
      : lends_slots_(lends_slots), accepts_work_(accepts_work) {}

  // Updates the table from the platform's list of VMs.
  void ApplyInventory(const Inventory& inventory, Time now);

  // The mask of the pools of `places`. Unknown data centres add nothing.
  PoolMask MaskOf(const std::vector<std::string>& places,
                  bool accelerator) const;
  static bool Contains(PoolMask mask, std::uint32_t pool) {
    return (mask >> pool & 1) != 0;
  }

  // Modifies a worker by `change` and updates the indexes.
  template <typename Change>
  void Update(WorkerIndex index, Time now, Change&& change) {
    Unindex(index);
    change(workers_[index]);
    Index(index, now);
  }

  // Adds workers to the indexes again once they are no longer barred.
  void ReindexUnbarred(Time now);

  std::uint32_t FreeSlots(WorkerIndex index, Time now) const;
  std::uint32_t FreeInPools(PoolMask mask) const;
  // Free slots of a pool's workers whose home is this VM.
  std::uint32_t HomeFreeInPool(std::uint32_t pool) const {
    return pools_[pool].home_free;
  }
  // Slots allotted to this VM in these pools, free or not.
  std::uint32_t AllottedInPools(PoolMask mask) const;

  // Free workers of a pool, most suitable first.
  struct FreeEntry {
    std::uint32_t rank;  // slow flag, borrowed flag and load
    WorkerIndex worker;
    auto operator<=>(const FreeEntry&) const = default;
  };
  // Flags in a rank, above the bits of the load.
  static constexpr std::uint32_t kBorrowedRank = 1U << 15;
  static constexpr std::uint32_t kSlowRank = 1U << 16;

  const std::set<FreeEntry>& FreeWorkers(std::uint32_t pool) const {
    return pools_[pool].free;
  }
  std::uint32_t pool_count() const {
    return static_cast<std::uint32_t>(pools_.size());
  }
  const std::string& DataCenterOf(std::uint32_t pool) const {
    return pools_[pool].data_center;
  }
  bool HasAccelerators(std::uint32_t pool) const {
    return pools_[pool].accelerator;
  }

  const Worker& operator[](WorkerIndex index) const { return workers_[index]; }
  std::size_t size() const { return workers_.size(); }
  // The index of a worker, or -1.
  std::int64_t Find(std::string_view name) const;
  bool lends_slots() const { return lends_slots_; }

 private:
  struct Pool {
    std::string data_center;
    bool accelerator = false;
    std::set<FreeEntry> free;
    std::uint32_t free_slots = 0;
    std::uint32_t home_free = 0;
    std::uint32_t allotted = 0;
  };
  struct Indexed {
    FreeEntry entry{};
    std::uint32_t free = 0;
    std::uint32_t home_free = 0;
    std::uint32_t allotted = 0;
  };

  std::uint32_t EnsurePool(const std::string& data_center, bool accelerator);
  void Index(WorkerIndex index, Time now);
  void Unindex(WorkerIndex index);

  const bool lends_slots_;
  const AcceptsWork accepts_work_;
  std::vector<Worker> workers_;
  std::vector<Indexed> indexed_;
  std::unordered_map<std::string, WorkerIndex> by_name_;
  std::vector<Pool> pools_;
  std::multimap<Time, WorkerIndex> barred_;
};

}  // namespace mustardbank
