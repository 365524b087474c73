// Registrations of workers: which VM reads them, and to whom it sends them.
#include <algorithm>
#include <utility>

#include "LibFiber/fiber_errors.h"
#include "LibFiber/fiber_thread.h"
#include "LibLease/worker_list_sharing.h"
#include "LibLeaseEntry/store_loop.h"
#include "platform/registry_codec.h"

namespace mustardbank {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShareTimeout{300};
// VMs of a data centre that count its workers at the first start, and the time
// after which one more does.
constexpr std::int64_t kWorkerCounters = 2;
constexpr std::int64_t kCountingPatienceS = 2;
constexpr milliseconds kWorkersRetry{200};
// As many workers as one small VM can easily manage.
constexpr std::uint32_t kWorkersPerShard = 24;
// The number of workers must not change for this long before it sets the number
// of shards. When a deployment first starts, its workers register over 1.5 s,
// one of their heartbeat intervals.
constexpr Duration kStableCountPeriod = std::chrono::milliseconds(1900);
// Probes are repeated at shorter intervals for as long as they are needed.
constexpr Duration kProbingTime = std::chrono::milliseconds(1500);

}  // namespace

bool StoreLoop::NeedsWorkers(Time now) const {
  if (control_.NeedsFreshWorkerList())
    return true;
  const Ownership& ownership = control_.ownership();
  const Duration age = now - control_.workers_read_at();
  if (is_list_partial_ && IsProbing(now))
    return true;
  if (IsProbing(now) || IsCountingWorkers(now))
    return age >= workers_interval_;
  return ownership.OwnsAny() &&
         age >= (IsListReader(ownership, now) ? workers_interval_
                                              : shared_workers_timeout_);
}

bool StoreLoop::IsProbing(Time now) const {
  return probed_at_ && now - *probed_at_ < kProbingTime;
}

// Until a record sets the number of shards, workers have to be counted. A few
// VMs of a data centre are enough; others join in if these fail to do it.
bool StoreLoop::IsCountingWorkers(Time now) const {
  if (control_.ownership().ShardCount(self_.data_center) > 0)
    return false;
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::seconds>(now - started_at_);
  return control_.ownership().RankInDataCenter() <
         kWorkerCounters + elapsed.count() / kCountingPatienceS;
}

void StoreLoop::ReadWorkers() {
  while (true) {
    if (availability_.is_lost() || !NeedsWorkers(BootClock::now())) {
      SleepFiber(kIdlePoll);
      continue;
    }
    if (ReadWorkersOnce())
      ShareWorkers();
    else
      SleepFiber(kWorkersRetry);
  }
}

void StoreLoop::ShareWorkers() {
  const Time now = BootClock::now();
  for (ListReceiver& receiver : ListReceivers(control_.ownership(), now)) {
    fibers_.Run([this, receiver = std::move(receiver)] {
      const Time sent = BootClock::now();
      const HttpResult<HttpResponse> response = peers_.Exchange(
          receiver.endpoint,
          HttpRequest{
              .method = "POST",
              .target = std::string(kPeerWorkerList),
              .headers = {{"Content-Type", std::string(kJsonType)}},
              .body = EncodeWorkerList(
                  {.list = control_.WorkersOf(receiver.shards),
                   .shards = receiver.shards,
                   .echo = control_.ownership().NewestStampOf(receiver.name)},
                  sent)},
          kShareTimeout);
      if (response && response->status == 200)
        return;
      peers_.Forget(receiver.endpoint);
      control_.log()
          .Write(LogEvent::kWorkersNotShared, sent)
          .Add(LogField::kPeer, receiver.name)
          .Add(LogField::kReason,
               response ? "status " + std::to_string(response->status)
                        : response.error().reason);
    });
  }
}

HttpResponse StoreLoop::ServeWorkerList(const HttpRequest& request) {
  const Time now = BootClock::now();
  auto shared = DecodeWorkerList(request.body, now);
  if (!shared) {
    control_.log()
        .Write(LogEvent::kRequestMalformed, now)
        .Add(LogField::kReason, "malformed list of workers from a peer");
    return {.status = 400};
  }
  // Probes need the workers of other data centres, too.
  if (IsProbing(now))
    return {};
  if (shared->unusable > 0)
    control_.log()
        .Write(LogEvent::kRequestMalformed, now)
        .Add(LogField::kCount, shared->unusable)
        .Add(LogField::kReason, "entries of a list of workers from a peer");
  if (control_.SetWorkersOfShards(std::move(*shared), now))
    is_list_partial_ = true;
  control_.Pump(now);
  return {};
}

bool StoreLoop::ReadWorkersOnce() {
  platform::StoreResult<RowPage> page =
      store_.Read(platform::kWorkerTable, kCallTimeout);
  DidCall(page);
  if (!page)
    return false;
  const Time now = BootClock::now();
  std::map<std::string, CachedWorker> cache;
  std::vector<WorkerEntry> workers;
  for (const StoreRow& row : page->rows) {
    const auto known = cache_.find(row.key);
    const bool is_cached =
        known != cache_.end() && known->second.version == row.version;
    CachedWorker cached =
        is_cached ? known->second
                  : CachedWorker{row.version, DecodeRegistration(row, now)};
    if (cached.entry)
      workers.push_back(*cached.entry);
    cache[row.key] = std::move(cached);
  }
  cache_ = std::move(cache);
  if (control_.SetWorkers({.workers = std::move(workers),
                           .store_version = page->version,
                           .read_at = page->requested},
                          now))
    is_list_partial_ = false;
  control_.Pump(now);
  InitializeShardCounts(now);
  return true;
}

std::optional<WorkerEntry> StoreLoop::DecodeRegistration(const StoreRow& row,
                                                         Time now) {
  auto entry = platform::DecodeWorker(row);
  if (entry)
    return std::move(*entry);
  const auto known = cache_.find(row.key);
  const bool was_reported = known != cache_.end() && !known->second.entry;
  if (!was_reported) {
    control_.log()
        .Write(LogEvent::kStoreRowUnreadable, now, LogBudget::kState)
        .Add(LogField::kWorker, row.key)
        .Add(LogField::kReason, entry.error().reason);
  }
  return std::nullopt;
}

void StoreLoop::LookUpRegistrations() {
  while (true) {
    SleepFiber(kIdlePoll);
    if (availability_.is_lost())
      continue;
    for (const std::string& worker :
         control_.dispatcher().TakeLookups(BootClock::now())) {
      if (!LookUpRegistration(worker))
        break;
    }
  }
}

bool StoreLoop::LookUpRegistration(const std::string& worker) {
  const platform::StoreResult<RowPage> page =
      store_.ReadRow(platform::kWorkerTable, worker, kCallTimeout);
  DidCall(page);
  if (!page)
    return false;
  const Time now = BootClock::now();
  for (const StoreRow& row : page->rows) {
    if (auto entry = DecodeRegistration(row, now))
      control_.UpdateWorker(std::move(*entry), page->version, now);
  }
  control_.Pump(now);
  return true;
}

void StoreLoop::InitializeShardCounts(Time now) {
  std::map<std::string, std::uint32_t> workers;
  for (const WorkerEntry& entry : control_.workers())
    ++workers[entry.data_center];
  for (const auto& [data_center, count] : workers) {
    if (control_.ownership().ShardCount(data_center) > 0)
      continue;
    WorkerCount& counted = worker_counts_[data_center];
    if (counted.workers != count) {
      counted = {.workers = count, .since = now};
      continue;
    }
    if (now - counted.since < kStableCountPeriod)
      continue;
    // FIXME: The number of shards stays the same when a data centre grows to
    // several times its workers. To change it, owners would have to claim the
    // shards again, for higher fencing tokens.
    const ShardCountRecord record{
        .data_center = data_center,
        .count = (count + kWorkersPerShard - 1) / kWorkersPerShard};
    const auto written = store_.Change(EncodeShardCount(record), kCallTimeout);
    DidCall(written);
  }
}

}  // namespace mustardbank
