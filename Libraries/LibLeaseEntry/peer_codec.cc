#include "LibLeaseEntry/peer_codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <charconv>
#include <cmath>
#include <stdexcept>

#include "LibLeaseEntry/message_json.h"
#include "LibSchedule/job_limits.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

constexpr Duration kMostHeartbeatInterval = std::chrono::seconds(60);
constexpr Duration kMostColdTime = std::chrono::minutes(10);
// For the clock of a VM, and for the time that a message takes.
constexpr Duration kMostOverdue = std::chrono::hours(1);

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

std::int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

std::int64_t ToMicroseconds(Time time) {
  return ToMicroseconds(time.time_since_epoch());
}

// A time of the clock of a VM.
Time ClockTimeIn(const json::object& object, std::string_view key) {
  return Time(SpanIn(object, key, {}, std::chrono::milliseconds(kMostClockMs)));
}

json::object ToJson(const ClockStamp& stamp) {
  return {{"incarnation", stamp.incarnation},
          {"clock_us", ToMicroseconds(stamp.at)}};
}

// Empty if the sender's build sends none.
std::optional<ClockStamp> StampIn(const json::object& object,
                                  std::string_view key) {
  if (!object.contains(key))
    return std::nullopt;
  const json::object& stamp = object.at(key).as_object();
  return ClockStamp{.incarnation = Integer<std::uint64_t>(stamp, "incarnation"),
                    .at = ClockTimeIn(stamp, "clock_us")};
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

// Empty if the entry names no worker to use. Earlier builds pass on entries of
// other writers.
std::optional<WorkerEntry> ReadWorkerEntry(const json::value& value) {
  try {
    WorkerEntry entry = ToWorkerEntry(value.as_object());
    return FaultOf(entry).empty() ? std::optional(std::move(entry))
                                  : std::nullopt;
  } catch (const std::exception&) {
    return std::nullopt;
  }
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

json::object ToJson(const CrashRecord& record) {
  return {{"role", kCrashRoleNames[record.role]},
          {"certain", record.is_certain}};
}

// Completes a record that has the fields of its key.
void ReadCrash(const json::object& object, CrashRecord& record) {
  record.role = kCrashRoleNames.Find(Text(object, "role")).value();
  record.is_certain = object.at("certain").as_bool();
}

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
  if (heartbeat.sent_at)
    object["clock_us"] = ToMicroseconds(*heartbeat.sent_at);
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
    if (object.contains("clock_us"))
      heartbeat.sent_at = ClockTimeIn(object, "clock_us");
    return heartbeat;
  });
}

std::string EncodeJobRequest(const ForwardedJob& forwarded, Time now) {
  const JobRequest& job = forwarded.job;
  json::array groups;
  for (const TaskGroup& group : job.groups)
    groups.push_back(ToJson(group));
  json::object object{{"id", job.id},
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
                      {"left_us", ToMicroseconds(job.deadline - now)}};
  if (forwarded.echo)
    object["echo"] = ToJson(*forwarded.echo);
  return json::serialize(object);
}

std::optional<ForwardedJob> DecodeJobRequest(std::string_view text, Time now) {
  return Decode<ForwardedJob>(text, [now](const json::object& object) {
    ForwardedJob forwarded;
    JobRequest& job = forwarded.job;
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
    forwarded.echo = StampIn(object, "echo");
    return forwarded;
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
  if (answer.stamp)
    object["stamp"] = ToJson(*answer.stamp);
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
    answer.stamp = StampIn(object, "stamp");
    return answer;
  });
}

std::string EncodeWorkerList(const SharedWorkerList& shared, Time now) {
  json::array shards;
  for (const ShardId& shard : shared.shards)
    shards.push_back(
        json::object{{"dc", shard.data_center}, {"index", shard.index}});
  json::array workers;
  for (const WorkerEntry& entry : shared.list.workers)
    workers.push_back(ToJson(entry));
  json::object object{{"age_us", ToMicroseconds(now - shared.list.read_at)},
                      {"shards", std::move(shards)},
                      {"workers", std::move(workers)}};
  if (shared.list.store_version != 0)
    object["store_version"] = shared.list.store_version;
  if (shared.echo)
    object["echo"] = ToJson(*shared.echo);
  return json::serialize(object);
}

std::optional<SharedWorkerList> DecodeWorkerList(std::string_view text,
                                                 Time now) {
  return Decode<SharedWorkerList>(text, [now](const json::object& object) {
    SharedWorkerList shared;
    shared.list.read_at = now - SpanIn(object, "age_us", {}, kMostOverdue);
    for (const json::value& shard : object.at("shards").as_array())
      shared.shards.push_back(ToShardId(shard.as_object()));
    // One that can't be used must not hide the others.
    for (const json::value& worker : object.at("workers").as_array()) {
      if (auto entry = ReadWorkerEntry(worker))
        shared.list.workers.push_back(std::move(*entry));
      else
        ++shared.unusable;
    }
    if (object.contains("store_version"))
      shared.list.store_version =
          Integer<std::uint64_t>(object, "store_version");
    shared.echo = StampIn(object, "echo");
    return shared;
  });
}

}  // namespace mustardbank
