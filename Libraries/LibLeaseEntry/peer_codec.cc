#include "LibLeaseEntry/peer_codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <charconv>
#include <cmath>
#include <stdexcept>

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
constexpr Duration kMostHeartbeatInterval = std::chrono::seconds(60);
constexpr Duration kMostColdTime = std::chrono::minutes(10);
// For the clock of a VM, and for the time that a message takes.
constexpr Duration kMostOverdue = std::chrono::hours(1);
// Of a data centre: twenty thousand workers.
constexpr std::uint32_t kMostShards = 1000;
constexpr double kMostPower = 100'000;  // cores of a VM
constexpr std::string_view kClassesPrefix = "worker_classes/";
// Of one row of classes of workers: some 200 classes.
constexpr std::size_t kMostClassesBytes = 10'000;
// What a class takes in that row beside its name, at most.
constexpr std::size_t kLearnedClassBytes = 36;

// Decodes a JSON object with `read`, which throws if a field is missing or of
// another type. Empty if that happens or `text` is not an object.
//
// `read` sets one member after another: GCC 12 destroys members of an aggregate
// twice if a later initializer throws, which corrupted the heap.
template <typename T, typename Read>
std::optional<T> Decode(std::string_view text, Read read) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object())
    return std::nullopt;
  try {
    return read(value.get_object());
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

void Require(bool is_valid) {
  if (!is_valid)
    throw std::out_of_range("value out of range");
}

template <typename Number>
Number IntegerIn(const json::object& object,
                 std::string_view key,
                 Number least,
                 Number most) {
  const Number value = Integer<Number>(object, key);
  Require(value >= least && value <= most);
  return value;
}

// Checked before the conversion, which overflows beyond 292 years.
Duration SpanIn(const json::object& object,
                std::string_view key,
                Duration least,
                Duration most) {
  using std::chrono::microseconds;
  return microseconds(IntegerIn(
      object, key, std::chrono::duration_cast<microseconds>(least).count(),
      std::chrono::duration_cast<microseconds>(most).count()));
}

Resources ResourcesIn(const json::object& object) {
  const auto amount = [&](std::string_view key) {
    return IntegerIn<std::int64_t>(object, key, 0, kMostResource);
  };
  return {.millicores = amount("millicores"),
          .memory_mb = amount("memory_mb"),
          .accelerators = amount("accelerators")};
}

// Ids end up in the headers of commands, and the names of tasks begin with the
// id of their job and a dot.
std::string IdIn(const json::object& object, std::string_view key) {
  std::string id = Text(object, key);
  Require(!id.empty() && id.size() <= kMostIdBytes &&
          std::none_of(id.begin(), id.end(),
                       [](unsigned char c) { return std::iscntrl(c) != 0; }));
  return id;
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

// Clamped: a heartbeat also says that its sender lives. Free capacity may be
// negative, when a worker's registration shrinks.
OwnerLoad ToLoad(const json::object& object) {
  const auto amount = [&](std::string_view key, std::int64_t least) {
    return std::clamp(Integer<std::int64_t>(object, key), least,
                      kMostLoadMillicores);
  };
  return {.free_millicores = amount("free", -kMostLoadMillicores),
          .capacity_millicores = amount("capacity", 0),
          .queued_millicores = amount("queued", 0)};
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

ShardId ToShardId(const json::object& object) {
  ShardId shard;
  shard.data_center = Text(object, "dc");
  shard.index = IntegerIn<std::uint32_t>(object, "index", 0, kMostShards - 1);
  return shard;
}

ShardStatus ToShardStatus(const json::object& object) {
  ShardStatus status;
  status.shard = ToShardId(object);
  status.version = Integer<std::uint64_t>(object, "version");
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

json::object ToJson(const CrashRecord& record) {
  return {{"role", kCrashRoleNames[record.role]},
          {"certain", record.is_certain}};
}

// Completes a record that has the fields of its key.
void ReadCrash(const json::object& object, CrashRecord& record) {
  record.role = kCrashRoleNames.Find(Text(object, "role")).value();
  record.is_certain = object.at("certain").as_bool();
}

json::array ToJson(const std::vector<CrashRecord>& crashes) {
  json::array array;
  for (const CrashRecord& record : crashes) {
    json::object object = ToJson(record);
    object["key"] = CrashKey(record.task, record.incarnation);
    array.push_back(std::move(object));
  }
  return array;
}

std::vector<CrashRecord> ToCrashes(const json::array& array) {
  std::vector<CrashRecord> crashes;
  for (const json::value& value : array) {
    if (crashes.size() == Heartbeat::kMostCrashes)
      break;
    CrashRecord record = ParseCrashKey(Text(value.as_object(), "key")).value();
    Require(record.task.size() <= kMostIdBytes);
    ReadCrash(value.as_object(), record);
    crashes.push_back(std::move(record));
  }
  return crashes;
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
  if (entry.registered.ms != 0)
    object["clock_ms"] = entry.registered.ms;
  return object;
}

WorkerEntry ToWorkerEntry(const json::object& object) {
  WorkerEntry entry;
  entry.id = IdIn(object, "id");
  entry.service = Text(object, "service");
  entry.endpoint = Endpoint::Parse(Text(object, "endpoint")).value();
  entry.data_center = Text(object, "dc");
  entry.capacity = ResourcesIn(object);
  entry.labels = json::value_to<std::vector<std::string>>(object.at("labels"));
  entry.leaving = object.at("leaving").as_bool();
  entry.incarnation = Integer<std::uint64_t>(object, "incarnation");
  if (object.contains("cold_us"))
    entry.cold.remaining = SpanIn(object, "cold_us", {}, kMostColdTime);
  // Earlier builds send none.
  if (object.contains("clock_ms"))
    entry.registered.ms =
        IntegerIn<std::int64_t>(object, "clock_ms", 0, kMostClockMs);
  return entry;
}

// `index` is that of the group in its job.
TaskGroup ToTaskGroup(const json::object& object, std::size_t index) {
  TaskGroup group;
  group.count = IntegerIn<std::uint32_t>(object, "count", 1, kMostTasks);
  group.each = ResourcesIn(object);
  group.declared_run_time = SpanIn(object, "declared_us", {}, kMostRunTime);
  if (object.contains("after"))
    group.after =
        json::value_to<std::vector<std::uint32_t>>(object.at("after"));
  // Only earlier groups, so that there is no cycle.
  Require(std::all_of(group.after.begin(), group.after.end(),
                      [&](std::uint32_t earlier) { return earlier < index; }));
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
  switch (cause) {
    case JobCause::kEvacuated:
      return JobCause::kHandedOver;
    case JobCause::kCrashesWorkers:
      return JobCause::kTaskFailed;
    case JobCause::kCrashLimit:
      return JobCause::kNoRoom;
    default:
      return cause;
  }
}

std::optional<std::string> KeyAfter(const StoreRow& row,
                                    std::string_view prefix) {
  if (!row.key.starts_with(prefix))
    return std::nullopt;
  return row.key.substr(prefix.size());
}

json::object ToJson(const Introduction& introduction) {
  return {{"data_center", introduction.data_center},
          {"endpoint", introduction.endpoint.ToString()},
          {"power", introduction.power}};
}

Introduction ToIntroduction(const json::object& object) {
  const auto power = object.at("power").to_number<double>();
  Require(power >= 0 && power <= kMostPower);
  return {.data_center = Text(object, "data_center"),
          .endpoint = Endpoint::Parse(Text(object, "endpoint")).value(),
          .power = power};
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
  if (!heartbeat.has_store)
    object["store_lost"] = true;
  if (heartbeat.introduction)
    object["introduction"] = ToJson(*heartbeat.introduction);
  if (!heartbeat.evacuations.empty())
    object["evacuations"] = ToJson(heartbeat.evacuations);
  if (!heartbeat.crashes.empty())
    object["crashes"] = ToJson(heartbeat.crashes);
  AddLoad(heartbeat.load, object);
  return json::serialize(object);
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view text) {
  return Decode<Heartbeat>(text, [](const json::object& object) {
    Heartbeat heartbeat;
    heartbeat.name = Text(object, "name");
    heartbeat.incarnation = Integer<std::uint64_t>(object, "incarnation");
    heartbeat.leaving = object.at("leaving").as_bool();
    heartbeat.configuration_version =
        Integer<std::uint64_t>(object, "configuration");
    heartbeat.load = ToLoad(object);
    // Heartbeats of earlier builds lack these.
    if (object.contains("silent")) {
      heartbeat.interval =
          SpanIn(object, "interval_us", {}, kMostHeartbeatInterval);
      heartbeat.store_version = Integer<std::uint64_t>(object, "store_version");
      heartbeat.silent_owners =
          json::value_to<std::vector<std::string>>(object.at("silent"));
    }
    for (const json::value& shard : object.at("shards").as_array())
      heartbeat.shards.push_back(ToShardStatus(shard.as_object()));
    heartbeat.has_store = !object.contains("store_lost");
    if (object.contains("introduction"))
      heartbeat.introduction =
          ToIntroduction(object.at("introduction").as_object());
    if (object.contains("evacuations"))
      heartbeat.evacuations =
          ToEvacuations(object.at("evacuations").as_array());
    if (object.contains("crashes"))
      heartbeat.crashes = ToCrashes(object.at("crashes").as_array());
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
    JobRequest job;
    job.id = IdIn(object, "id");
    job.payload = Text(object, "payload");
    job.policy.name = Text(object, "queue");
    job.policy.service = Text(object, "service");
    job.policy.priority = Integer<std::uint32_t>(object, "priority");
    job.policy.attempts = Integer<std::uint32_t>(object, "attempts");
    job.policy.stretch = Integer<double>(object, "stretch");
    job.policy.target_latency = SpanIn(object, "target_us", {}, kMostRunTime);
    job.arrived = now - SpanIn(object, "age_us", {}, kMostRunTime);
    job.deadline = now + SpanIn(object, "left_us", -kMostOverdue, kMostRunTime);
    job.home = IdIn(object, "home");
    Require(job.id.find_first_of("./") == std::string::npos);
    Require(job.policy.attempts > 0);
    Require(job.policy.stretch >= 0 && job.policy.stretch <= kMostStretch);
    std::uint64_t tasks = 0;
    for (const json::value& group : object.at("groups").as_array()) {
      job.groups.push_back(ToTaskGroup(group.as_object(), job.groups.size()));
      tasks += job.groups.back().count;
    }
    Require(tasks > 0 && tasks <= kMostTasks);
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
            .retry_after =
                SpanIn(object, "retry_after_us", {}, kMostRetryDelay)}};
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
    SharedWorkerList list;
    list.read_at = now - SpanIn(object, "age_us", {}, kMostOverdue);
    for (const json::value& shard : object.at("shards").as_array())
      list.shards.push_back(ToShardId(shard.as_object()));
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
