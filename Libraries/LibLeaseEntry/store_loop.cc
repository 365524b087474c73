#include "LibLeaseEntry/store_loop.h"

#include <algorithm>
#include <utility>

#include "LibCore/digest.h"
#include "LibFiber/fiber_errors.h"
#include "LibFiber/fiber_thread.h"
#include "LibLease/worker_list_sharing.h"
#include "platform/registry_codec.h"

namespace mustardbank {

namespace {

using std::chrono::milliseconds;

// A write takes 10 ms, and up to 600 ms when the store is slow.
constexpr milliseconds kCallTimeout{1000};
// Enough for the answer of a healthy store.
constexpr milliseconds kMinTimeout{50};
// The end of a store outage is only noticed by retrying.
constexpr milliseconds kRetryDelay{250};
// The store answers a request for changes after this time if there is none, so
// that a dead connection is noticed by the missing answer. A change of
// configuration must take effect within 2 s; a dead connection may add 3 s.
constexpr milliseconds kOperatorWait{2000};
constexpr milliseconds kSharedWait{4000};
constexpr milliseconds kAnswerSlack{800};
// Times between reads of the registrations, as shares of the time after which a
// worker that leaves must get no more tasks. An owner that was sent no list for
// the longer one reads it itself.
constexpr double kReadShare = 0.5;
constexpr double kSharedReadShare = 0.7;
// Claims come in large numbers after a loss of many VMs. Waiting between reads
// of their changes, by a millisecond for each VM, takes fewer calls.
constexpr milliseconds kChangesDelayPerVm{1};
constexpr milliseconds kLongestChangesDelay{300};
constexpr milliseconds kShareTimeout{300};
// Queues change slowly, and calls to the store are paid for.
constexpr milliseconds kLearnedInterval{10'000};
constexpr milliseconds kRecallInterval{60'000};
// A suspected task starts again when its lease has lapsed, 0.9 s after a crash,
// and each change of the table is a call of every VM.
constexpr milliseconds kCrashesInterval{200};
// VMs of a data centre that count its workers at the first start, and the time
// after which one more does.
constexpr std::int64_t kWorkerCounters = 2;
constexpr std::int64_t kCountingPatienceS = 2;
constexpr milliseconds kWorkersRetry{200};
// Operators make few mistakes at a time; more are reported again.
constexpr std::size_t kMostReportedRows = 64;
constexpr milliseconds kIdlePoll{50};
// As many workers as one small VM can easily manage.
constexpr std::uint32_t kWorkersPerShard = 24;
// The number of workers must not change for this long before it sets the number
// of shards. When a deployment first starts, its workers register over 1.5 s,
// one of their heartbeat intervals.
constexpr Duration kStableCountPeriod = std::chrono::milliseconds(1900);
// Probes are repeated at shorter intervals for as long as they are needed.
constexpr Duration kProbingTime = std::chrono::milliseconds(1500);

}  // namespace

StoreLoop::StoreLoop(boost::asio::io_context& io,
                     Endpoint store,
                     MemberRecord self,
                     Duration drain_time,
                     LeaseControl& control,
                     CommandSender& commands)
    : store_(io, store),
      peers_(io, {}),
      self_(std::move(self)),
      workers_interval_(
          FromMilliseconds(kReadShare * ToMilliseconds(drain_time))),
      shared_workers_timeout_(
          FromMilliseconds(kSharedReadShare * ToMilliseconds(drain_time))),
      control_(control),
      commands_(commands),
      availability_({}, static_cast<std::uint32_t>(FastDigest(self_.name))) {}

void StoreLoop::Start() {
  started_at_ = BootClock::now();
  RunLoop("operator_table", [this] { FollowOperatorTable(); });
  RunLoop("shared_table", [this] { FollowSharedTable(); });
  RunLoop("workers", [this] { ReadWorkers(); });
  RunLoop("store_probe", [this] { ProbeStore(); });
  RunLoop("recall", [this] { RecallLearned(); });
  RunLoop("learned", [this] { KeepLearned(); });
  RunLoop("crashes", [this] { KeepCrashes(); });
}

void StoreLoop::RunLoop(std::string_view name, std::function<void()> loop) {
  fibers_.Run([name, loop = std::move(loop)] {
    while (!RunGuarded(name, loop))
      SleepFiber(kRetryDelay);
  });
}

template <typename T>
void StoreLoop::DidCall(const platform::StoreResult<T>& result) {
  if (result)
    DidAnswer();
  else
    DidFail(result.error());
}

void StoreLoop::DidAnswer() {
  const Time now = BootClock::now();
  const Duration silence = now - availability_.answered_at();
  const StoreAvailability::Change change = availability_.DidAnswer(now);
  if (change.abandons_calls)
    AbandonCalls();
  if (!change.was_regained)
    return;
  control_.ownership().DidRegainStore(now);
  control_.log()
      .Write(LogEvent::kStoreRegained, now, LogBudget::kState)
      .Add(LogField::kAgeMs, silence);
}

void StoreLoop::DidFail(const StoreError& error) {
  if (error.failure == StoreFailure::kConflict ||
      error.failure == StoreFailure::kHistoryGone) {
    DidAnswer();
    return;
  }
  const Time now = BootClock::now();
  if (!availability_.DidFail(now).was_lost)
    return;
  control_.ownership().DidLoseStore();
  control_.log()
      .Write(LogEvent::kStoreLost, now, LogBudget::kState)
      .Add(LogField::kCause, kStoreFailureNames[error.failure])
      .Add(LogField::kReason, error.reason)
      .Add(LogField::kAgeMs, now - availability_.answered_at());
}

void StoreLoop::AwaitStore() {
  while (availability_.is_lost())
    SleepFiber(kIdlePoll);
}

void StoreLoop::ProbeStore() {
  while (true) {
    if (availability_.TakeProbe(control_.ownership().peers().size() + 1,
                                BootClock::now()))
      fibers_.Run([this] { ProbeOnce(); });
    SleepFiber(kIdlePoll);
  }
}

void StoreLoop::ProbeOnce() {
  RunGuarded("store_probe", [this] {
    DidCall(store_.ReadChanges(kSharedTable, shared_version_, milliseconds(0),
                               kCallTimeout));
  });
  availability_.DidEndProbe();
}

void StoreLoop::DidHearOfStore() {
  if (availability_.DidHearOfReturn(BootClock::now()).abandons_calls)
    AbandonCalls();
}

std::optional<platform::StoreResult<RowPage>> StoreLoop::CallUnlessAbandoned(
    std::function<platform::StoreResult<RowPage>()> call) {
  const auto pending = std::make_shared<PendingCall>();
  pending_calls_.insert(pending);
  fibers_.Run([pending, call = std::move(call)] {
    RunGuarded("store_call", [&] { pending->result = call(); });
    pending->signal.Raise();
  });
  pending->signal.Wait();
  pending_calls_.erase(pending);
  return pending->result;
}

void StoreLoop::AbandonCalls() {
  for (const auto& pending : pending_calls_)
    pending->signal.Raise();
}

template <typename Apply>
void StoreLoop::Follow(const std::string& table,
                       milliseconds wait,
                       Apply apply) {
  std::uint64_t version = 0;
  bool has_read = false;
  PageOrigin origin;
  while (true) {
    AwaitStore();
    origin.is_full = !has_read;
    origin.requested = BootClock::now();
    const auto answer = CallUnlessAbandoned([=, this] {
      return has_read
                 ? store_.ReadChanges(table, version, wait, wait + kAnswerSlack)
                 : store_.Read(table, kCallTimeout);
    });
    if (!answer) {
      SleepFiber(kIdlePoll);
      continue;
    }
    const platform::StoreResult<RowPage>& page = *answer;
    DidCall(page);
    if (!page) {
      // The store no longer has the changes since `version`: the whole table is
      // read again. The delay also applies here, so that a store which keeps
      // losing its history is not called in a tight loop.
      if (page.error().failure == StoreFailure::kHistoryGone)
        has_read = false;
      SleepFiber(kRetryDelay);
      continue;
    }
    has_read = true;
    version = page->version;
    apply(*page, origin);
    origin.previous = BootClock::now();
    if (table == kSharedTable) {
      shared_version_ = version;
      control_.ownership().DidReadStoreThrough(version);
    }
    if (table == kSharedTable && !is_announced_)
      fibers_.Run([this] { AnnounceMember(); });
    control_.Pump(BootClock::now());
    if (table == kSharedTable)
      SleepFiber(ChangesDelay());
  }
}

milliseconds StoreLoop::ChangesDelay() const {
  return std::min(kChangesDelayPerVm *
                      static_cast<int>(control_.ownership().peers().size()),
                  kLongestChangesDelay);
}

void StoreLoop::FollowOperatorTable() {
  Follow(platform::kOperatorTable, kOperatorWait,
         [this](const RowPage& page, const PageOrigin& origin) {
           ApplyOperatorPage(page, origin, "feed");
         });
}

void StoreLoop::ApplyOperatorPage(const RowPage& page,
                                  const PageOrigin& origin,
                                  std::string_view via) {
  ApplyEvacuationRows(page, origin, via, BootClock::now());
  for (const StoreRow& row : page.rows)
    ApplyOperatorRow(row, via);
}

void StoreLoop::ApplyEvacuationRows(const RowPage& page,
                                    const PageOrigin& origin,
                                    std::string_view via,
                                    Time now) {
  EvacuationTable table;
  for (const StoreRow& row : page.rows) {
    if (!platform::IsEvacuationKey(row.key))
      continue;
    const auto decoded = platform::DecodeEvacuation(row);
    if ((!decoded || decoded->is_value_unreadable) &&
        std::exchange(reported_rows_[row.key], row.version) != row.version)
      control_.log()
          .Write(LogEvent::kEvacuationUnreadable, now, LogBudget::kState)
          .Add(LogField::kVersion, row.version)
          .Add(LogField::kReason,
               decoded ? "the value is not an object; evacuated nevertheless"
                       : decoded.error().reason + ": " + row.key);
    if (!decoded)
      continue;
    if (origin.is_full)
      table[decoded->data_center] = decoded->evacuation;
    else
      control_.ApplyEvacuation(decoded->data_center, decoded->evacuation, via,
                               origin.previous, now);
  }
  if (reported_rows_.size() > kMostReportedRows)
    reported_rows_.clear();
  if (origin.is_full)
    control_.ReplaceEvacuations(table, page.version, via, origin.requested,
                                now);
}

void StoreLoop::ApplyOperatorRow(const StoreRow& row, std::string_view via) {
  if (row.key != platform::kConfigurationKey || row.deleted)
    return;
  const Time now = BootClock::now();
  auto configuration = platform::DecodeConfiguration(row);
  if (configuration) {
    control_.SetConfiguration(std::move(*configuration), via, now);
    return;
  }
  control_.log()
      .Write(LogEvent::kConfigurationUnreadable, now, LogBudget::kState)
      .Add(LogField::kVersion, row.version)
      .Add(LogField::kReason, configuration.error().reason);
}

void StoreLoop::DidLearnVersion(std::uint64_t version) {
  if (version > control_.configuration().version)
    BeginReadOperatorTable();
}

void StoreLoop::BeginReadOperatorTable() {
  if (is_reading_operator_)
    return;
  is_reading_operator_ = true;
  fibers_.Run([this] {
    RunGuarded("operator_table", [this] { ReadOperatorTable(); });
    is_reading_operator_ = false;
  });
}

void StoreLoop::ReadOperatorTable() {
  // Repeated if the process was paused during the read: its answer may be older
  // than the pause.
  do {
    AwaitStore();
    const Time requested = BootClock::now();
    platform::StoreResult<RowPage> page =
        store_.Read(platform::kOperatorTable, kCallTimeout);
    DidCall(page);
    if (page) {
      ApplyOperatorPage(*page, {.is_full = true, .requested = requested},
                        "read_again");
      control_.Pump(BootClock::now());
    } else {
      SleepFiber(kRetryDelay);
    }
  } while (control_.AwaitsOperatorTable());
}

bool StoreLoop::RecallRow(const StoreRow& row) {
  if (HoldsLearnedClasses(row)) {
    const auto classes = DecodeLearnedClasses(row);
    if (classes)
      control_.dispatcher().Recall(*classes);
    if (classes && row.key == LearnedClassesKey(self_.data_center))
      stored_classes_ = *classes;
    return classes.has_value();
  }
  const auto queues = DecodeLearnedQueues(row);
  if (queues)
    control_.dispatcher().Recall(*queues, BootClock::now());
  return queues.has_value();
}

void StoreLoop::RecallLearned() {
  while (true) {
    AwaitStore();
    const platform::StoreResult<RowPage> page =
        store_.Read(kLearnedTable, kCallTimeout);
    DidCall(page);
    if (!page) {
      SleepFiber(kRetryDelay);
      continue;
    }
    for (const StoreRow& row : page->rows) {
      if (RecallRow(row))
        continue;
      control_.log()
          .Write(LogEvent::kStoreRowUnreadable, BootClock::now(),
                 LogBudget::kState)
          .Add(LogField::kReason, row.key);
    }
    recalled_at_ = BootClock::now();
    return;
  }
}

void StoreLoop::KeepLearned() {
  while (true) {
    SleepFiber(kLearnedInterval);
    const LeaseDispatcher& dispatcher = control_.dispatcher();
    // A VM that is to own workers later needs what is learned until then.
    if (!availability_.is_lost() && dispatcher.workers().empty() &&
        BootClock::now() - recalled_at_ >= kRecallInterval)
      RecallLearned();
    const LearnedQueues queues = dispatcher.Learned();
    if (availability_.is_lost() || queues.empty() ||
        !IsListReader(control_.ownership(), BootClock::now()))
      continue;
    DidCall(store_.Change(EncodeLearnedQueues(self_.data_center, queues),
                          kCallTimeout));
    const LearnedClasses classes = dispatcher.LearnedWorkers();
    // An empty row replaces one that no longer holds.
    if (classes == stored_classes_)
      continue;
    const auto written = store_.Change(
        EncodeLearnedClasses(self_.data_center, classes), kCallTimeout);
    DidCall(written);
    if (written)
      stored_classes_ = classes;
  }
}

void StoreLoop::KeepCrashes() {
  while (true) {
    SleepFiber(kCrashesInterval);
    AwaitStore();
    CrashHistory& crashes = control_.dispatcher().crashes();
    const Time now = BootClock::now();
    crashes.Expire(control_.ownership().OwnsAny() &&
                       IsListReader(control_.ownership(), now),
                   now);
    const auto changes =
        crashes.TakeChanges(platform::RowStoreClient::kMostChanges);
    if (changes.empty())
      continue;
    std::vector<RowChange> rows;
    rows.reserve(changes.size());
    for (const CrashHistory::Change& change : changes)
      rows.push_back(EncodeCrash(change));
    const auto written = store_.Change(rows, kCallTimeout);
    DidCall(written);
    if (written)
      continue;
    // Changes that the store can't read would hold up all later ones.
    if (written.error().failure == StoreFailure::kMalformed)
      control_.log()
          .Write(LogEvent::kStoreRowUnreadable, BootClock::now(),
                 LogBudget::kState)
          .Add(LogField::kCount, changes.size())
          .Add(LogField::kReason, "crashes: " + written.error().reason);
    else
      crashes.ReturnChanges(changes);
    SleepFiber(kRetryDelay);
  }
}

void StoreLoop::ApplyCrashRow(const StoreRow& row) {
  CrashHistory& crashes = control_.dispatcher().crashes();
  const Time now = BootClock::now();
  const auto record = DecodeCrash(row);
  if (!record)
    control_.log()
        .Write(LogEvent::kStoreRowUnreadable, now, LogBudget::kState)
        .Add(LogField::kReason, row.key);
  else if (row.deleted)
    crashes.Unlearn(record->task, record->incarnation);
  else
    crashes.Learn(*record, now);
}

void StoreLoop::AnnounceMember() {
  if (is_announcing_)
    return;
  is_announcing_ = true;
  while (!is_announced_ && !is_leaving_) {
    AwaitStore();
    const auto written =
        store_.Change(EncodeMember(self_, member_version_), kCallTimeout);
    DidCall(written);
    if (written) {
      member_version_ = *written;
      is_announced_ = true;
    } else {
      // On a conflict, the feed delivers the current record and its version.
      SleepFiber(kRetryDelay);
    }
  }
  is_announcing_ = false;
}

void StoreLoop::ApplyOwnRow(const StoreRow& row) {
  if (row.version <= member_version_)
    return;
  member_version_ = row.deleted ? 0 : row.version;
  const auto member = DecodeMember(row);
  is_announced_ =
      !row.deleted && member && member->incarnation == self_.incarnation;
  if (!is_announced_)
    fibers_.Run([this] { AnnounceMember(); });
}

void StoreLoop::RemoveMember(Time latest) {
  is_leaving_ = true;
  RowChange change = EncodeMember(self_, member_version_);
  change.is_removal = true;
  const auto left =
      std::chrono::duration_cast<milliseconds>(latest - BootClock::now());
  const auto written =
      store_.Change(change, std::clamp(left, kMinTimeout, kCallTimeout));
  DidCall(written);
}

void StoreLoop::FollowSharedTable() {
  Follow(kSharedTable, kSharedWait,
         [this](const RowPage& page, const PageOrigin& /*origin*/) {
           for (const StoreRow& row : page.rows)
             ApplySharedRow(row);
         });
}

void StoreLoop::ApplySharedRow(const StoreRow& row) {
  const Time now = BootClock::now();
  if (HoldsCrash(row)) {
    ApplyCrashRow(row);
  } else if (MemberNameOf(row) == self_.name) {
    ApplyOwnRow(row);
  } else if (row.deleted) {
    control_.ownership().DidDropMember(MemberNameOf(row));
  } else if (const auto member = DecodeMember(row)) {
    control_.ownership().DidReadMember(*member, now);
  } else if (const auto shard = DecodeShard(row)) {
    control_.ownership().DidReadShard(*shard, now);
  } else if (const auto count = DecodeShardCount(row)) {
    control_.ownership().SetShardCount(count->data_center, count->count);
  } else {
    control_.log()
        .Write(LogEvent::kStoreRowUnreadable, now, LogBudget::kState)
        .Add(LogField::kReason, row.key);
  }
}

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
          HttpRequest{.method = "POST",
                      .target = std::string(kPeerWorkerList),
                      .headers = {{"Content-Type", std::string(kJsonType)}},
                      .body = EncodeWorkerList(
                          {.read_at = control_.workers_read_at(),
                           .shards = receiver.shards,
                           .workers = control_.WorkersOf(receiver.shards)},
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
  auto list = DecodeWorkerList(request.body, now);
  if (!list) {
    control_.log()
        .Write(LogEvent::kRequestMalformed, now)
        .Add(LogField::kReason, "malformed list of workers from a peer");
    return {.status = 400};
  }
  // Probes need the workers of other data centres, too.
  if (IsProbing(now))
    return {};
  is_list_partial_ = true;
  control_.SetWorkersOfShards(list->shards, std::move(list->workers),
                              list->read_at, now);
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
    if (known != cache_.end() && known->second.version == row.version) {
      cache.insert(*known);
    } else {
      const auto entry = platform::DecodeWorker(row);
      const bool was_unreadable = known != cache_.end() && !known->second.entry;
      if (!entry && !was_unreadable) {
        control_.log()
            .Write(LogEvent::kStoreRowUnreadable, now, LogBudget::kState)
            .Add(LogField::kWorker, row.key)
            .Add(LogField::kReason, entry.error().reason);
      }
      cache[row.key] = {row.version,
                        entry ? std::optional(*entry) : std::nullopt};
    }
    if (const auto& entry = cache[row.key].entry)
      workers.push_back(*entry);
  }
  cache_ = std::move(cache);
  is_list_partial_ = false;
  control_.SetWorkers(std::move(workers), now);
  control_.Pump(now);
  InitializeShardCounts(now);
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

void StoreLoop::Claim(ClaimShard&& claim) {
  fibers_.Run([this, claim = std::move(claim)] {
    const auto written = store_.Change(
        EncodeShardClaim(claim, self_.name, self_.incarnation), kCallTimeout);
    DidCall(written);
    const Time now = BootClock::now();
    if (!written) {
      control_.log()
          .Write(LogEvent::kShardClaimFailed, now, LogBudget::kState)
          .Add(LogField::kShard, claim.shard.ToString())
          .Add(LogField::kCause, kStoreFailureNames[written.error().failure])
          .Add(LogField::kReason, written.error().reason);
    }
    control_.ownership().DidClaim(
        claim, written ? std::optional(*written) : std::nullopt, now);
    control_.Pump(now);
  });
}

void StoreLoop::Probe(ProbeDataCenter&& probe) {
  probed_at_ = BootClock::now();
  fibers_.Run([this, probe = std::move(probe)] {
    bool reached = false;
    // A copy, since the list may be replaced while the fiber waits.
    const std::vector<Endpoint> endpoints =
        ChooseProbedWorkers(control_.workers(), probe.data_center, self_.name);
    for (const Endpoint endpoint : endpoints) {
      reached = commands_.CanConnect(endpoint);
      if (reached)
        break;
    }
    const Time now = BootClock::now();
    control_.ownership().DidProbe(probe.data_center, reached, now);
    control_.Pump(now);
  });
}

}  // namespace mustardbank
