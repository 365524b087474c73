// Calls to the store, the tables that the loops follow, and what is written
// there. The registrations of workers are in store_loop_workers.cc, what is
// kept for later processes in store_loop_learned.cc.
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

// Enough for the answer of a healthy store.
constexpr milliseconds kMinTimeout{50};
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
// However short that time is: the store serves a limited number of calls.
constexpr milliseconds kLeastReadInterval{100};
// Claims come in large numbers after a loss of many VMs. Waiting between reads
// of their changes, by a millisecond for each VM, takes fewer calls.
constexpr milliseconds kChangesDelayPerVm{1};
constexpr milliseconds kLongestChangesDelay{300};
// Operators make few mistakes at a time; more are reported again.
constexpr std::size_t kMostReportedRows = 64;

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
      control_(control),
      commands_(commands),
      availability_({}, static_cast<std::uint32_t>(FastDigest(self_.name))) {
  SetDrainTime(drain_time);
}

void StoreLoop::SetDrainTime(Duration drain_time) {
  const auto share_of = [drain_time](double share) {
    return std::max<Duration>(
        kLeastReadInterval,
        FromMilliseconds(share * ToMilliseconds(drain_time)));
  };
  workers_interval_ = share_of(kReadShare);
  shared_workers_timeout_ = share_of(kSharedReadShare);
}

void StoreLoop::Start() {
  started_at_ = BootClock::now();
  RunLoop("operator_table", [this] { FollowOperatorTable(); });
  RunLoop("shared_table", [this] { FollowSharedTable(); });
  RunLoop("workers", [this] { ReadWorkers(); });
  RunLoop("registrations", [this] { LookUpRegistrations(); });
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
  // The store answers; one call that it does not take is no outage.
  if (error.failure == StoreFailure::kConflict ||
      error.failure == StoreFailure::kHistoryGone ||
      error.failure == StoreFailure::kRejected) {
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
    control_.ReplaceEvacuations(table, page.version, via, page.requested, now);
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
    platform::StoreResult<RowPage> page =
        store_.Read(platform::kOperatorTable, kCallTimeout);
    DidCall(page);
    if (page) {
      ApplyOperatorPage(*page, {.is_full = true}, "read_again");
      control_.Pump(BootClock::now());
    } else {
      SleepFiber(kRetryDelay);
    }
  } while (control_.AwaitsOperatorTable());
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
