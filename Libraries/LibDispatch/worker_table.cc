#include "LibDispatch/worker_table.h"

#include <algorithm>

namespace mustardbank {

namespace {

// Workers whose run times exceed the expected ones by more than this factor are
// chosen last.
constexpr double kSlowFactor = 2.5;
constexpr std::size_t kMaxPools = 64;

}  // namespace

std::uint32_t Worker::allotment(bool lends_slots) const {
  if (!lends_slots)
    return vm.slots;
  if (!is_home_here)
    return borrowed;
  return vm.slots - std::min(vm.slots, lent_total);
}

std::uint32_t WorkerTable::EnsurePool(const std::string& data_center,
                                      bool accelerator) {
  for (std::uint32_t i = 0; i < pools_.size(); ++i) {
    if (pools_[i].data_center == data_center &&
        pools_[i].accelerator == accelerator) {
      return i;
    }
  }
  // FIXME: All pools beyond kMaxPools share the last bit of the mask.
  if (pools_.size() == kMaxPools)
    return kMaxPools - 1;
  pools_.push_back(
      Pool{.data_center = data_center, .accelerator = accelerator});
  return static_cast<std::uint32_t>(pools_.size() - 1);
}

void WorkerTable::ApplyInventory(const Inventory& inventory, Time now) {
  for (const auto& [name, vm] : inventory.vms) {
    if (vm.role != VmRole::kWorker)
      continue;
    const auto [it, is_new] =
        by_name_.try_emplace(name, static_cast<WorkerIndex>(workers_.size()));
    if (is_new) {
      workers_.emplace_back();
      indexed_.emplace_back();
      workers_.back().pool = EnsurePool(vm.data_center, vm.accelerators > 0);
    }
    Update(it->second, now,
           [&record = vm](Worker& worker) { worker.vm = record; });
  }
}

PoolMask WorkerTable::MaskOf(const std::vector<std::string>& places,
                             bool accelerator) const {
  PoolMask mask = 0;
  for (std::uint32_t i = 0; i < pools_.size(); ++i) {
    const bool is_place =
        std::ranges::find(places, pools_[i].data_center) != places.end();
    if (is_place && (!accelerator || pools_[i].accelerator))
      mask |= PoolMask{1} << i;
  }
  return mask;
}

std::uint32_t WorkerTable::FreeSlots(WorkerIndex index, Time now) const {
  const Worker& worker = workers_[index];
  if (!accepts_work_(worker.vm.state) || worker.barred_until > now)
    return 0;
  std::uint32_t allotted = worker.allotment(lends_slots_);
  if (worker.on_trial)
    allotted = std::min(allotted, 1U);
  const std::uint32_t taken = worker.running + worker.foreign;
  return allotted - std::min(allotted, taken);
}

void WorkerTable::Index(WorkerIndex index, Time now) {
  const Worker& worker = workers_[index];
  Pool& pool = pools_[worker.pool];
  Indexed& indexed = indexed_[index];
  indexed.free = FreeSlots(index, now);
  const bool is_fit = accepts_work_(worker.vm.state) && !worker.on_trial &&
                      worker.barred_until <= now;
  indexed.allotted = is_fit ? worker.allotment(lends_slots_) : 0;
  indexed.home_free = worker.is_home_here ? indexed.free : 0;
  std::uint32_t rank = worker.running;
  if (lends_slots_ && !worker.is_home_here)
    rank += kBorrowedRank;
  if (worker.slowness > kSlowFactor || worker.on_trial)
    rank += kSlowRank;
  indexed.entry = FreeEntry{.rank = rank, .worker = index};
  pool.home_free += indexed.home_free;
  pool.free_slots += indexed.free;
  pool.allotted += indexed.allotted;
  if (indexed.free > 0)
    pool.free.insert(indexed.entry);
  if (worker.barred_until > now)
    barred_.emplace(worker.barred_until, index);
}

void WorkerTable::Unindex(WorkerIndex index) {
  Pool& pool = pools_[workers_[index].pool];
  Indexed& indexed = indexed_[index];
  pool.free_slots -= indexed.free;
  pool.home_free -= indexed.home_free;
  pool.allotted -= indexed.allotted;
  if (indexed.free > 0)
    pool.free.erase(indexed.entry);
  indexed.free = 0;
  indexed.home_free = 0;
  indexed.allotted = 0;
}

void WorkerTable::ReindexUnbarred(Time now) {
  while (!barred_.empty() && barred_.begin()->first <= now) {
    const WorkerIndex index = barred_.begin()->second;
    barred_.erase(barred_.begin());
    Update(index, now, [](Worker&) {});
  }
}

std::uint32_t WorkerTable::FreeInPools(PoolMask mask) const {
  std::uint32_t slots = 0;
  for (std::uint32_t i = 0; i < pools_.size(); ++i)
    slots += Contains(mask, i) ? pools_[i].free_slots : 0;
  return slots;
}

std::uint32_t WorkerTable::AllottedInPools(PoolMask mask) const {
  std::uint32_t slots = 0;
  for (std::uint32_t i = 0; i < pools_.size(); ++i)
    slots += Contains(mask, i) ? pools_[i].allotted : 0;
  return slots;
}

std::int64_t WorkerTable::Find(std::string_view name) const {
  const auto it = by_name_.find(std::string(name));
  return it == by_name_.end() ? -1 : std::int64_t{it->second};
}

}  // namespace mustardbank
