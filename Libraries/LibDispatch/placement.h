// Policies that choose the worker for the next task.
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <tuple>

#include "LibDispatch/worker_table.h"

namespace mustardbank {

using RandomEngine = std::mt19937_64;

template <typename T>
concept PlacementPolicy = requires(const WorkerTable& workers,
                                   PoolMask mask,
                                   std::string_view data_center,
                                   Time now,
                                   RandomEngine& random) {
  { T::kLendsSlots } -> std::convertible_to<bool>;
  {
    T::Pick(workers, mask, data_center, now, random)
    } -> std::same_as<std::optional<WorkerIndex>>;
};

// Chooses the least loaded free worker that this VM knows of. Slow workers come
// last, own slots before borrowed ones, and workers in the data centre of this
// VM before others.
struct LeastLoadedPlacement {
  static constexpr bool kLendsSlots = false;

  static std::optional<WorkerIndex> Pick(const WorkerTable& workers,
                                         PoolMask mask,
                                         std::string_view data_center,
                                         Time /*now*/,
                                         RandomEngine& /*random*/) {
    // Whether the worker is slow, its slots are borrowed, and it is in another
    // data centre; then its rank and index. The least candidate is chosen.
    using Candidate = std::tuple<bool, bool, bool, std::uint32_t, WorkerIndex>;
    std::optional<Candidate> best;
    for (std::uint32_t pool = 0; pool < workers.pool_count(); ++pool) {
      if (!WorkerTable::Contains(mask, pool) ||
          workers.FreeWorkers(pool).empty()) {
        continue;
      }
      const WorkerTable::FreeEntry& entry = *workers.FreeWorkers(pool).begin();
      const Candidate candidate(entry.rank >= WorkerTable::kSlowRank,
                                (entry.rank & WorkerTable::kBorrowedRank) != 0,
                                workers.DataCenterOf(pool) != data_center,
                                entry.rank, entry.worker);
      if (!best || candidate < *best)
        best = candidate;
    }
    if (!best)
      return std::nullopt;
    return std::get<4>(*best);
  }
};

// Like LeastLoadedPlacement, but the slots of a worker are allotted by its home
// and lent between entry VMs.
struct HomeLendingPlacement : LeastLoadedPlacement {
  static constexpr bool kLendsSlots = true;
};

// Chooses a random worker that has a free slot as far as this VM knows.
struct RandomPlacement {
  static constexpr bool kLendsSlots = false;

  static std::optional<WorkerIndex> Pick(const WorkerTable& workers,
                                         PoolMask mask,
                                         std::string_view data_center,
                                         Time now,
                                         RandomEngine& random) {
    constexpr int kMaxTries = 64;
    for (int i = 0; i < kMaxTries && workers.size() > 0; ++i) {
      const auto index = static_cast<WorkerIndex>(random() % workers.size());
      if (WorkerTable::Contains(mask, workers[index].pool) &&
          workers.FreeSlots(index, now) > 0) {
        return index;
      }
    }
    return LeastLoadedPlacement::Pick(workers, mask, data_center, now, random);
  }
};

}  // namespace mustardbank
