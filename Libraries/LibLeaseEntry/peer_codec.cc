#include "LibLeaseEntry/peer_codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>

namespace json = boost::json;

namespace mustardbank {

namespace {

constexpr std::string_view kMemberPrefix = "member/";
constexpr std::string_view kShardPrefix = "shard/";
constexpr std::string_view kShardCountPrefix = "shard_count/";
// Of one row of learned queues. The platform takes 64 KiB, in base64.
constexpr std::size_t kMostLearnedBytes = 45'000;
// What a queue takes in that row beside its name, at most.
constexpr std::size_t kLearnedQueueBytes = 160;

// Decodes a JSON object with `read`, which throws if a field is missing or of
// another type. Empty if that happens or `text` is not an object.
template <typename T, typename Read>
std::optional<T> Decode(std::string_view text, Read read) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object())
    return std::nullopt;
  try {
    return read(value.get_object());
  } catch (const boost::system::system_error&) {
    return std::nullopt;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string Text(const json::object& object, std::string_view key) {
  return std::string(object.at(key).as_string());
}

template <typename Number>
Number Integer(const json::object& object, std::string_view key) {
  return object.at(key).to_number<Number>();
}

Duration Span(const json::object& object, std::string_view key) {
  return std::chrono::microseconds(Integer<std::int64_t>(object, key));
}

// Keeps rows short.
double Rounded(double value) {
  return std::round(value * 1000) / 1000;
}

std::int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

void AddLoad(const OwnerLoad& load, json::object& object) {
  object["free"] = load.free_millicores;
  object["capacity"] = load.capacity_millicores;
  object["queued"] = load.queued_millicores;
}

OwnerLoad ToLoad(const json::object& object) {
  return {.free_millicores = Integer<std::int64_t>(object, "free"),
          .capacity_millicores = Integer<std::int64_t>(object, "capacity"),
          .queued_millicores = Integer<std::int64_t>(object, "queued")};
}

json::object ToJson(const ShardStatus& status) {
  json::object object{{"dc", status.shard.data_center},
                      {"index", status.shard.index},
                      {"version", status.version}};
  if (!status.successor.empty()) {
    object["successor"] = status.successor;
    object["released"] = status.is_released;
    object["busy"] = json::value_from(status.busy);
  }
  return object;
}

ShardStatus ToShardStatus(const json::object& object) {
  ShardStatus status{
      .shard = {.data_center = Text(object, "dc"),
                .index = Integer<std::uint32_t>(object, "index")},
      .version = Integer<std::uint64_t>(object, "version")};
  if (object.contains("successor")) {
    status.successor = Text(object, "successor");
    status.is_released = object.at("released").as_bool();
    status.busy = json::value_to<std::vector<std::string>>(object.at("busy"));
  }
  return status;
}

json::array ToJson(const EvacuationTable& evacuations) {
  json::array array;
  for (const auto& [data_center, evacuation] : evacuations)
    array.push_back(json::object{{"dc", data_center},
                                 {"version", evacuation.version},
                                 {"requested", evacuation.is_requested}});
  return array;
}

EvacuationTable ToEvacuations(const json::array& array) {
  EvacuationTable evacuations;
  for (const json::value& value : array) {
    if (evacuations.size() == Evacuations::kMostEntries)
      break;
    const json::object& object = value.as_object();
    evacuations[Text(object, "dc")] = {
        .version = Integer<std::uint64_t>(object, "version"),
        .is_requested = object.at("requested").as_bool()};
  }
  return evacuations;
}

json::object ToJson(const TaskGroup& group) {
  json::object object{{"count", group.count},
                      {"millicores", group.each.millicores},
                      {"memory_mb", group.each.memory_mb},
                      {"accelerators", group.each.accelerators},
                      {"declared_us", ToMicroseconds(group.declared_run_time)}};
  if (!group.after.empty())
    object["after"] = json::value_from(group.after);
  if (!group.required_label.empty())
    object["required_label"] = group.required_label;
  if (!group.preferred_rack.empty())
    object["preferred_rack"] = group.preferred_rack;
  if (group.most_per_worker > 0)
    object["most_per_worker"] = group.most_per_worker;
  return object;
}

json::object ToJson(const WorkerEntry& entry) {
  json::object object{{"id", entry.id},
                      {"service", entry.service},
                      {"endpoint", entry.endpoint.ToString()},
                      {"dc", entry.data_center},
                      {"millicores", entry.capacity.millicores},
                      {"memory_mb", entry.capacity.memory_mb},
                      {"accelerators", entry.capacity.accelerators},
                      {"labels", json::value_from(entry.labels)},
                      {"leaving", entry.leaving},
                      {"incarnation", entry.incarnation}};
  if (!entry.cold.IsOver())
    object["cold_us"] = ToMicroseconds(entry.cold.remaining);
  return object;
}

WorkerEntry ToWorkerEntry(const json::object& object) {
  return {
      .id = Text(object, "id"),
      .service = Text(object, "service"),
      .endpoint = Endpoint::Parse(Text(object, "endpoint")).value(),
      .data_center = Text(object, "dc"),
      .capacity = {.millicores = Integer<std::int64_t>(object, "millicores"),
                   .memory_mb = Integer<std::int64_t>(object, "memory_mb"),
                   .accelerators =
                       Integer<std::int64_t>(object, "accelerators")},
      .labels = json::value_to<std::vector<std::string>>(object.at("labels")),
      .leaving = object.at("leaving").as_bool(),
      .incarnation = Integer<std::uint64_t>(object, "incarnation"),
      .cold = {object.contains("cold_us") ? Span(object, "cold_us")
                                          : Duration{}}};
}

TaskGroup ToTaskGroup(const json::object& object) {
  TaskGroup group{
      .count = Integer<std::uint32_t>(object, "count"),
      .each = {.millicores = Integer<std::int64_t>(object, "millicores"),
               .memory_mb = Integer<std::int64_t>(object, "memory_mb"),
               .accelerators = Integer<std::int64_t>(object, "accelerators")},
      .declared_run_time = Span(object, "declared_us")};
  if (object.contains("after"))
    group.after =
        json::value_to<std::vector<std::uint32_t>>(object.at("after"));
  if (object.contains("required_label"))
    group.required_label = Text(object, "required_label");
  if (object.contains("preferred_rack"))
    group.preferred_rack = Text(object, "preferred_rack");
  if (object.contains("most_per_worker"))
    group.most_per_worker = Integer<std::uint32_t>(object, "most_per_worker");
  return group;
}

// Earlier builds take an answer with an unknown cause for an owner that failed,
// and would not try another one.
JobCause NameForEarlierBuilds(JobCause cause) {
  return cause == JobCause::kEvacuated ? JobCause::kHandedOver : cause;
}

std::optional<std::string> KeyAfter(const StoreRow& row,
                                    std::string_view prefix) {
  if (!row.key.starts_with(prefix))
    return std::nullopt;
  return row.key.substr(prefix.size());
}

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  json::array shards;
  for (const ShardStatus& status : heartbeat.shards)
    shards.push_back(ToJson(status));
  json::object object{{"name", heartbeat.name},
                      {"incarnation", heartbeat.incarnation},
                      {"interval_us", ToMicroseconds(heartbeat.interval)},
                      {"leaving", heartbeat.leaving},
                      {"configuration", heartbeat.configuration_version},
                      {"shards", std::move(shards)},
                      {"store_version", heartbeat.store_version},
                      {"silent", json::value_from(heartbeat.silent_owners)},
                      // Read by builds that list all VMs they hear.
                      {"hears", json::array()}};
  if (!heartbeat.evacuations.empty())
    object["evacuations"] = ToJson(heartbeat.evacuations);
  AddLoad(heartbeat.load, object);
  return json::serialize(object);
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view text) {
  return Decode<Heartbeat>(text, [](const json::object& object) {
    Heartbeat heartbeat{
        .name = Text(object, "name"),
        .incarnation = Integer<std::uint64_t>(object, "incarnation"),
        .leaving = object.at("leaving").as_bool(),
        .configuration_version =
            Integer<std::uint64_t>(object, "configuration"),
        .load = ToLoad(object),
    };
    // Heartbeats of earlier builds lack these.
    if (object.contains("silent")) {
      heartbeat.interval = Span(object, "interval_us");
      heartbeat.store_version = Integer<std::uint64_t>(object, "store_version");
      heartbeat.silent_owners =
          json::value_to<std::vector<std::string>>(object.at("silent"));
    }
    for (const json::value& shard : object.at("shards").as_array())
      heartbeat.shards.push_back(ToShardStatus(shard.as_object()));
    if (object.contains("evacuations"))
      heartbeat.evacuations =
          ToEvacuations(object.at("evacuations").as_array());
    return heartbeat;
  });
}

std::string EncodeJobRequest(const JobRequest& job, Time now) {
  json::array groups;
  for (const TaskGroup& group : job.groups)
    groups.push_back(ToJson(group));
  return json::serialize(
      json::object{{"id", job.id},
                   {"home", job.home},
                   {"payload", job.payload},
                   {"groups", std::move(groups)},
                   {"queue", job.policy.name},
                   {"service", job.policy.service},
                   {"priority", job.policy.priority},
                   {"attempts", job.policy.attempts},
                   {"stretch", job.policy.stretch},
                   {"target_us", ToMicroseconds(job.policy.target_latency)},
                   {"age_us", ToMicroseconds(now - job.arrived)},
                   {"left_us", ToMicroseconds(job.deadline - now)}});
}

std::optional<JobRequest> DecodeJobRequest(std::string_view text, Time now) {
  return Decode<JobRequest>(text, [now](const json::object& object) {
    JobRequest job{
        .id = Text(object, "id"),
        .payload = Text(object, "payload"),
        .policy = {.name = Text(object, "queue"),
                   .service = Text(object, "service"),
                   .priority = Integer<std::uint32_t>(object, "priority"),
                   .attempts = Integer<std::uint32_t>(object, "attempts"),
                   .stretch = Integer<double>(object, "stretch"),
                   .target_latency = Span(object, "target_us")},
        .arrived = now - Span(object, "age_us"),
        .deadline = now + Span(object, "left_us"),
        .home = Text(object, "home")};
    for (const json::value& group : object.at("groups").as_array())
      job.groups.push_back(ToTaskGroup(group.as_object()));
    return job;
  });
}

std::string EncodeJobAnswer(const JobAnswer& answer) {
  const JobResult& result = answer.result;
  json::object object{
      {"outcome", kJobOutcomeNames[result.outcome]},
      {"cause", kJobCauseNames[NameForEarlierBuilds(result.cause)]},
      {"retry_after_us", ToMicroseconds(result.retry_after)}};
  if (result.cause == JobCause::kEvacuated)
    object["evacuated"] = true;
  if (answer.load)
    AddLoad(*answer.load, object);
  return json::serialize(object);
}

std::optional<JobAnswer> DecodeJobAnswer(std::string_view text) {
  return Decode<JobAnswer>(text, [](const json::object& object) {
    // `value` throws for an unknown name.
    JobAnswer answer{
        .result = {
            .outcome = kJobOutcomeNames.Find(Text(object, "outcome")).value(),
            .cause = kJobCauseNames.Find(Text(object, "cause")).value(),
            .retry_after = Span(object, "retry_after_us")}};
    if (object.contains("evacuated"))
      answer.result.cause = JobCause::kEvacuated;
    if (object.contains("free"))
      answer.load = ToLoad(object);
    return answer;
  });
}

std::string EncodeWorkerList(const SharedWorkerList& list, Time now) {
  json::array shards;
  for (const ShardId& shard : list.shards)
    shards.push_back(
        json::object{{"dc", shard.data_center}, {"index", shard.index}});
  json::array workers;
  for (const WorkerEntry& entry : list.workers)
    workers.push_back(ToJson(entry));
  return json::serialize(
      json::object{{"age_us", ToMicroseconds(now - list.read_at)},
                   {"shards", std::move(shards)},
                   {"workers", std::move(workers)}});
}

std::optional<SharedWorkerList> DecodeWorkerList(std::string_view text,
                                                 Time now) {
  return Decode<SharedWorkerList>(text, [now](const json::object& object) {
    SharedWorkerList list{.read_at = now - Span(object, "age_us")};
    for (const json::value& shard : object.at("shards").as_array())
      list.shards.push_back(
          {.data_center = Text(shard.as_object(), "dc"),
           .index = Integer<std::uint32_t>(shard.as_object(), "index")});
    for (const json::value& worker : object.at("workers").as_array())
      list.workers.push_back(ToWorkerEntry(worker.as_object()));
    return list;
  });
}

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
    const auto& [run_times, timeouts] = queue->second;
    object[queue->first] = {
        {"run_time",
         {run_times.samples, Rounded(run_times.log_run_time),
          Rounded(run_times.log_error)}},
        {"timeout",
         {timeouts.samples, Rounded(timeouts.mean_timeout),
          Rounded(timeouts.mean_expected), Rounded(timeouts.variance_expected),
          Rounded(timeouts.covariance), Rounded(timeouts.deviation)}}};
  }
  return {.table = kLearnedTable,
          .key = data_center,
          .value = json::serialize(object)};
}

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
    }
    return queues;
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
    return MemberRecord{
        .name = *name,
        .data_center = Text(object, "data_center"),
        .endpoint = Endpoint::Parse(Text(object, "endpoint")).value(),
        .incarnation = Integer<std::uint64_t>(object, "incarnation"),
        .power = Integer<double>(object, "power")};
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
  if (error != std::errc() || rest != end)
    return std::nullopt;
  return Decode<ShardRecord>(row.value, [&](const json::object& object) {
    return ShardRecord{
        .shard = shard,
        .owner = Text(object, "owner"),
        .owner_incarnation = Integer<std::uint64_t>(object, "incarnation"),
        .version = row.version};
  });
}

std::optional<ShardCountRecord> DecodeShardCount(const StoreRow& row) {
  const auto data_center = KeyAfter(row, kShardCountPrefix);
  if (!data_center)
    return std::nullopt;
  return Decode<ShardCountRecord>(row.value, [&](const json::object& object) {
    return ShardCountRecord{.data_center = *data_center,
                            .count = Integer<std::uint32_t>(object, "count")};
  });
}

}  // namespace mustardbank
