#include "LibEntry/platform_loop.h"

#include <glog/logging.h>

#include <boost/leaf/handle_errors.hpp>

#include "LibDispatch/membership.h"
#include "LibPlatform/tables.h"

namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

constexpr std::chrono::milliseconds kRegistrationPollInterval{2000};
constexpr std::chrono::milliseconds kWriteRetryInterval{500};
constexpr std::uint64_t kEntryVmRowTtlMs = 24ULL * 3600 * 1000;
constexpr int kBindAttempts = 2;

// Returns the value of a platform call, or logs its error and returns nothing.
template <typename T>
std::optional<T> ToOptional(PlatformResult<T>&& result) {
  if (result)
    return std::move(*result);
  VLOG(1) << "platform: " << kPlatformFailureNames[result.error().failure]
          << ": " << result.error().reason;
  return std::nullopt;
}

}  // namespace

PlatformLoop::PlatformLoop(const Settings& settings,
                           FiberThread& thread,
                           EventQueue& events)
    : settings_(settings),
      thread_(thread),
      events_(events),
      client_(thread.io(), settings.platform, settings.data_center) {}

std::uint64_t PlatformLoop::RegisteredIncarnation(Endpoint endpoint) {
  const auto row =
      ToOptional(client_.ReadRow(kEntryVmTable, endpoint.ToString()));
  if (!row || !*row)
    return 0;
  const auto entry = EntryVmRow::Parse((*row)->value);
  return entry ? entry->incarnation : 0;
}

template <typename Function>
void PlatformLoop::PollEvery(std::chrono::milliseconds interval,
                             Function function) {
  FiberThread::SpawnHere([interval, function] {
    while (true) {
      function();
      SleepFiber(interval);
    }
  });
}

void PlatformLoop::Start() {
  const std::chrono::milliseconds poll(settings_.timing.platform_poll_ms);
  PollEvery(poll, [this] { PollConfiguration(); });
  PollEvery(poll, [this] { PollInventory(); });
  PollEvery(kRegistrationPollInterval, [this] { PollRegistrations(); });
  PollEvery(kWriteRetryInterval, [this] { WritePending(); });
}

void PlatformLoop::PollConfiguration() {
  const auto row = ToOptional(client_.ReadRow(
      kConfigurationTable, kConfigurationKey, configuration_row_version_));
  if (!row || !*row || (*row)->version == 0)
    return;
  const Row& read = **row;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(configuration,
                        Configuration::Parse(read.value, "configuration"));
        events_.Push(ConfigurationRead{
            .configuration = std::move(configuration), .text = read.value});
        return {};
      },
      [](const ConfigError& error) {
        LOG(ERROR) << "rejected the configuration on the platform: "
                   << error.ToString();
      },
      [] {
        LOG(ERROR) << "could not parse the configuration on the platform";
      });
  configuration_row_version_ = read.version;
}

void PlatformLoop::PollInventory() {
  auto inventory = ToOptional(client_.ReadInventory(inventory_version_));
  if (!inventory || !*inventory)
    return;
  inventory_version_ = (*inventory)->version;
  events_.Push(InventoryRead{.changes = std::move(**inventory)});
}

void PlatformLoop::PollRegistrations() {
  RegistrationsRead event;
  const auto vms =
      ToOptional(client_.ReadTable(kEntryVmTable, vm_table_version_));
  if (vms && *vms) {
    vm_table_version_ = (*vms)->version;
    for (const Row& row : (*vms)->rows) {
      const auto endpoint = Endpoint::Parse(row.key);
      const auto entry = EntryVmRow::Parse(row.value);
      if (!endpoint || !entry)
        continue;
      wire::VmIdentity& identity = event.vms.emplace_back();
      identity.set_name(entry->name);
      identity.set_data_center(entry->data_center);
      identity.set_ip(endpoint->ip);
      identity.set_port(endpoint->port);
      identity.set_incarnation(entry->incarnation);
    }
  }
  const auto successions = ToOptional(
      client_.ReadTable(kSuccessionTable, succession_table_version_));
  if (successions && *successions) {
    succession_table_version_ = (*successions)->version;
    for (const Row& row : (*successions)->rows) {
      const auto home = ParseHomeKey(row.key);
      const auto succession = SuccessionRow::Parse(row.value);
      if (home && succession)
        event.successions.push_back(Membership::MakeSuccession(
            *home, succession->successor, succession->hand_overs));
    }
  }
  if (!event.vms.empty() || !event.successions.empty())
    events_.Push(std::move(event));
}

void PlatformLoop::WritePending() {
  // Called by several fibers; only one of them sends, so that writes arrive in
  // order.
  if (is_writing_)
    return;
  is_writing_ = true;
  while (!pending_.empty() &&
         ToOptional(client_.Transact({pending_.front()}))) {
    pending_.pop_front();
  }
  is_writing_ = false;
}

void PlatformLoop::WriteBindings(const BindKeys& keys) {
  std::vector<Write> writes;
  for (const KeyBinding& binding : keys.bindings) {
    writes.push_back(Write{.kind = WriteKind::kPutIfAbsent,
                           .table = std::string(kIdempotencyKeyTable),
                           .key = IdempotencyRowKey(binding.team, binding.key),
                           .value = binding.job_id,
                           .ttl_ms = settings_.limits.key_kept_ms});
  }
  KeysBound bound{.batch = keys.batch, .bindings = keys.bindings};
  // A write whose response was lost may have taken effect; repeating it returns
  // the job ids that are bound.
  for (int i = 0; i < kBindAttempts && !bound.succeeded; ++i) {
    const auto rows = ToOptional(client_.Transact(writes));
    if (!rows || rows->size() != bound.bindings.size())
      continue;
    for (std::size_t k = 0; k < rows->size(); ++k) {
      bound.bindings[k].job_id = (*rows)[k].value;
      bound.bindings[k].row_version = (*rows)[k].version;
    }
    bound.succeeded = true;
  }
  events_.Push(std::move(bound));
}

void PlatformLoop::Bind(BindKeys&& keys) {
  thread_.Post([this, keys = std::move(keys)]() mutable {
    fibers_.Run([this, keys = std::move(keys)] { WriteBindings(keys); });
  });
}

void PlatformLoop::Release(ReleaseKey&& key) {
  const KeyBinding& binding = key.binding;
  thread_.Post(
      [this, write = Write{.kind = WriteKind::kDelete,
                           .table = std::string(kIdempotencyKeyTable),
                           .key = IdempotencyRowKey(binding.team, binding.key),
                           .expected_version = binding.row_version}] {
        // On failure the key stays bound until the caller's next attempt
        // releases it.
        fibers_.Run([this, write] { ToOptional(client_.Transact({write})); });
      });
}

void PlatformLoop::Publish(PublishIdentity&& action) {
  const wire::VmIdentity& identity = action.identity;
  const EntryVmRow row{.name = identity.name(),
                       .data_center = identity.data_center(),
                       .incarnation = identity.incarnation()};
  const Endpoint endpoint = Membership::EndpointOf(identity);
  thread_.Post([this, write = Write{.kind = WriteKind::kPut,
                                    .table = std::string(kEntryVmTable),
                                    .key = endpoint.ToString(),
                                    .value = row.ToJson(),
                                    .ttl_ms = kEntryVmRowTtlMs}] {
    pending_.push_back(write);
  });
}

void PlatformLoop::Publish(PublishSuccession&& action) {
  const SuccessionRow row{
      .successor = Membership::SuccessorOf(action.succession),
      .hand_overs = action.succession.hand_overs()};
  const HomeId home = Membership::HomeIdOf(action.succession);
  thread_.Post(
      [this, write = Write{.kind = WriteKind::kPut,
                           .table = std::string(kSuccessionTable),
                           .key = HomeKey(home),
                           .value = row.ToText(),
                           .ttl_ms = settings_.limits.answer_kept_ms}] {
        pending_.push_back(write);
        fibers_.Run([this] { WritePending(); });
      });
}

}  // namespace mustardbank
