#include "LibLeaseEntry/store_records.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <utility>

#include "LibLeaseEntry/message_json.h"
#include "LibSchedule/job_limits.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

constexpr std::string_view kMemberPrefix = "member/";
constexpr std::string_view kShardPrefix = "shard/";
constexpr std::string_view kCrashPrefix = "crash/";
constexpr std::string_view kShardCountPrefix = "shard_count/";
// Of one row of learned queues. The platform takes 64 KiB, in base64.
constexpr std::size_t kMostLearnedBytes = 45'000;
// What a queue takes in that row beside its name, at most.
constexpr std::size_t kLearnedQueueBytes = 220;
constexpr std::string_view kClassesPrefix = "worker_classes/";
// Of one row of classes of workers: some 200 classes.
constexpr std::size_t kMostClassesBytes = 10'000;
// What a class takes in that row beside its name, at most.
constexpr std::size_t kLearnedClassBytes = 36;

// Keeps rows short.
double Rounded(double value) {
  return std::round(value * 1000) / 1000;
}

std::optional<std::string> KeyAfter(const StoreRow& row,
                                    std::string_view prefix) {
  if (!row.key.starts_with(prefix))
    return std::nullopt;
  return row.key.substr(prefix.size());
}

}  // namespace

std::string MemberKey(const std::string& name) {
  return std::string(kMemberPrefix) + name;
}

std::string ShardKey(const ShardId& shard) {
  return std::string(kShardPrefix) + shard.ToString();
}

std::string ShardCountKey(const std::string& data_center) {
  return std::string(kShardCountPrefix) + data_center;
}

RowChange EncodeMember(const MemberRecord& member,
                       std::uint64_t expected_version) {
  return {.table = kSharedTable,
          .key = MemberKey(member.name),
          .value = json::serialize(
              json::object{{"data_center", member.data_center},
                           {"endpoint", member.endpoint.ToString()},
                           {"incarnation", member.incarnation},
                           {"power", member.power}}),
          .is_conditional = true,
          .expected_version = expected_version};
}

RowChange EncodeShardClaim(const ClaimShard& claim,
                           const std::string& owner,
                           std::uint64_t incarnation) {
  return {.table = kSharedTable,
          .key = ShardKey(claim.shard),
          .value = json::serialize(
              json::object{{"owner", owner}, {"incarnation", incarnation}}),
          .is_conditional = true,
          .expected_version = claim.expected_version};
}

RowChange EncodeShardCount(const ShardCountRecord& record) {
  return {.table = kSharedTable,
          .key = ShardCountKey(record.data_center),
          .value = json::serialize(json::object{{"count", record.count}}),
          .is_conditional = true,
          .expected_version = 0};
}

RowChange EncodeLearnedQueues(const std::string& data_center,
                              const LearnedQueues& queues) {
  std::vector<const LearnedQueues::value_type*> known;
  for (const auto& queue : queues)
    known.push_back(&queue);
  std::stable_sort(
      known.begin(), known.end(), [](const auto* a, const auto* b) {
        return a->second.run_times.samples > b->second.run_times.samples;
      });
  json::object object;
  std::size_t bytes = 0;
  for (const auto* queue : known) {
    bytes += queue->first.size() + kLearnedQueueBytes;
    if (bytes > kMostLearnedBytes)
      break;
    const auto& [run_times, timeouts, demand] = queue->second;
    object[queue->first] = {
        {"run_time",
         {run_times.samples, Rounded(run_times.log_run_time),
          Rounded(run_times.log_error)}},
        {"timeout",
         {timeouts.samples, Rounded(timeouts.mean_timeout),
          Rounded(timeouts.mean_expected), Rounded(timeouts.variance_expected),
          Rounded(timeouts.covariance), Rounded(timeouts.deviation)}},
        // A load of 0.0004 is rounded to 0; so small a queue needs no share.
        {"demand",
         {Rounded(demand.load), Rounded(demand.peak_millicores),
          Rounded(demand.run_ms), Rounded(demand.seconds)}}};
  }
  return {.table = kLearnedTable,
          .key = data_center,
          .value = json::serialize(object)};
}

namespace {

// An unreadable demand leaves the other statistics of the row in use.
QueueDemand ReadDemand(const json::value& value) {
  const json::array* numbers = value.if_array();
  if (!numbers || numbers->size() < 4 ||
      !std::all_of(numbers->begin(), numbers->end(),
                   [](const json::value& v) { return v.is_number(); }))
    return QueueDemand::Unreadable();
  const auto number = [&](std::size_t index) {
    return numbers->at(index).to_number<double>();
  };
  return {.load = number(0),
          .peak_millicores = number(1),
          .run_ms = number(2),
          .seconds = number(3)};
}

}  // namespace

std::optional<LearnedQueues> DecodeLearnedQueues(const StoreRow& row) {
  return Decode<LearnedQueues>(row.value, [](const json::object& object) {
    LearnedQueues queues;
    for (const auto& [name, value] : object) {
      const json::array& run_time = value.at("run_time").as_array();
      const json::array& timeout = value.at("timeout").as_array();
      const auto number = [](const json::array& numbers, std::size_t index) {
        return numbers.at(index).to_number<double>();
      };
      queues[name] = {
          .run_times = {.log_run_time = number(run_time, 1),
                        .log_error = number(run_time, 2),
                        .samples = run_time.at(0).to_number<std::uint32_t>()},
          .timeouts = {.mean_timeout = number(timeout, 1),
                       .mean_expected = number(timeout, 2),
                       .variance_expected = number(timeout, 3),
                       .covariance = number(timeout, 4),
                       .deviation = number(timeout, 5),
                       .samples = timeout.at(0).to_number<std::uint32_t>()}};
      // Builds without shares write no demand.
      if (const json::value* demand = value.as_object().if_contains("demand"))
        queues[name].demand = ReadDemand(*demand);
    }
    return queues;
  });
}

RowChange EncodeLearnedClasses(const std::string& data_center,
                               const LearnedClasses& classes) {
  std::vector<const LearnedClasses::value_type*> known;
  for (const auto& entry : classes)
    known.push_back(&entry);
  std::stable_sort(known.begin(), known.end(),
                   [](const auto* a, const auto* b) {
                     return a->second.workers > b->second.workers;
                   });
  json::object object;
  std::size_t bytes = 0;
  for (const auto* entry : known) {
    // Escapes can make a name six times as long.
    const std::size_t needed = 6 * entry->first.size() + kLearnedClassBytes;
    if (bytes + needed > kMostClassesBytes)
      continue;
    bytes += needed;
    const ClassStatistics& statistics = entry->second;
    object[entry->first] = {statistics.workers,
                            Rounded(statistics.mean_log_factor),
                            Rounded(statistics.deviation)};
  }
  return {.table = kLearnedTable,
          .key = LearnedClassesKey(data_center),
          .value = json::serialize(json::object{{"classes", object}})};
}

std::string LearnedClassesKey(const std::string& data_center) {
  return std::string(kClassesPrefix) + data_center;
}

bool HoldsLearnedClasses(const StoreRow& row) {
  return row.key.starts_with(kClassesPrefix);
}

std::optional<LearnedClasses> DecodeLearnedClasses(const StoreRow& row) {
  return Decode<LearnedClasses>(row.value, [](const json::object& object) {
    LearnedClasses classes;
    for (const auto& [name, value] : object.at("classes").as_object()) {
      const json::array& numbers = value.as_array();
      classes[name] = {.mean_log_factor = numbers.at(1).to_number<double>(),
                       .deviation = numbers.at(2).to_number<double>(),
                       .workers = numbers.at(0).to_number<std::uint32_t>()};
    }
    return classes;
  });
}

RowChange EncodeCrash(const CrashHistory::Change& change) {
  return {.table = kSharedTable,
          .key = std::string(kCrashPrefix) +
                 CrashKey(change.record.task, change.record.incarnation),
          .value = json::serialize(ToJson(change.record)),
          .is_removal = change.is_removal};
}

bool HoldsCrash(const StoreRow& row) {
  return row.key.starts_with(kCrashPrefix);
}

std::optional<CrashRecord> DecodeCrash(const StoreRow& row) {
  const auto key = KeyAfter(row, kCrashPrefix);
  auto record = key ? ParseCrashKey(*key) : std::nullopt;
  if (!record || record->task.size() > kMostIdBytes || row.deleted)
    return record;
  return Decode<CrashRecord>(row.value, [&](const json::object& object) {
    ReadCrash(object, *record);
    return *record;
  });
}

std::string MemberNameOf(const StoreRow& row) {
  return KeyAfter(row, kMemberPrefix).value_or("");
}

std::optional<MemberRecord> DecodeMember(const StoreRow& row) {
  const auto name = KeyAfter(row, kMemberPrefix);
  if (!name)
    return std::nullopt;
  return Decode<MemberRecord>(row.value, [&](const json::object& object) {
    MemberRecord member;
    member.name = *name;
    member.data_center = Text(object, "data_center");
    member.endpoint = Endpoint::Parse(Text(object, "endpoint")).value();
    member.incarnation = Integer<std::uint64_t>(object, "incarnation");
    member.power = Integer<double>(object, "power");
    Require(member.power >= 0 && member.power <= kMostPower);
    return member;
  });
}

std::optional<ShardRecord> DecodeShard(const StoreRow& row) {
  const auto name = KeyAfter(row, kShardPrefix);
  const std::size_t slash = name ? name->rfind('/') : std::string::npos;
  if (slash == std::string::npos)
    return std::nullopt;
  ShardId shard{.data_center = name->substr(0, slash)};
  const char* const end = name->data() + name->size();
  const auto [rest, error] =
      std::from_chars(name->data() + slash + 1, end, shard.index);
  if (error != std::errc() || rest != end || shard.index >= kMostShards)
    return std::nullopt;
  return Decode<ShardRecord>(row.value, [&](const json::object& object) {
    ShardRecord record{.shard = shard, .version = row.version};
    record.owner = Text(object, "owner");
    record.owner_incarnation = Integer<std::uint64_t>(object, "incarnation");
    return record;
  });
}

std::optional<ShardCountRecord> DecodeShardCount(const StoreRow& row) {
  const auto data_center = KeyAfter(row, kShardCountPrefix);
  if (!data_center)
    return std::nullopt;
  return Decode<ShardCountRecord>(row.value, [&](const json::object& object) {
    ShardCountRecord record;
    record.data_center = *data_center;
    record.count = IntegerIn<std::uint32_t>(object, "count", 1, kMostShards);
    return record;
  });
}

}  // namespace mustardbank
