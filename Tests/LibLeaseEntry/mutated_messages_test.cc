// Malformed messages at every decoder: none may end the process, and no absurd
// value may reach the control state. An owner once would have reserved memory
// for 4 billion tasks for one malformed number.
#include <CppUTest/TestHarness.h>

#include <boost/leaf/handle_errors.hpp>
#include <functional>

#include "LibConfig/lease_settings.h"
#include "LibFiber/run_in_fiber.h"
#include "LibHttp/http_server.h"
#include "LibLeaseEntry/lease_control.h"
#include "LibLeaseEntry/peer_codec.h"
#include "LibLeaseEntry/store_records.h"
#include "message_mutator.h"
#include "platform/caller_protocol.h"
#include "platform/registry_codec.h"
#include "platform/row_store_client.h"
#include "platform/worker_protocol.h"

namespace mustardbank {

using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t kMostMillicores = 1'000'000'000'000;

bool IsWithin(Duration duration, Duration least, Duration most) {
  return duration >= least && duration <= most;
}

bool IsSane(const OwnerLoad& load) {
  const auto is_sane = [](std::int64_t millicores) {
    return millicores >= -kMostMillicores && millicores <= kMostMillicores;
  };
  return is_sane(load.free_millicores) && load.capacity_millicores >= 0 &&
         is_sane(load.capacity_millicores) && load.queued_millicores >= 0 &&
         is_sane(load.queued_millicores);
}

bool IsSane(const Resources& resources) {
  for (const std::int64_t amount :
       {resources.millicores, resources.memory_mb, resources.accelerators}) {
    if (amount < 0 || amount > 1'000'000'000)
      return false;
  }
  return true;
}

bool IsSane(const std::vector<TaskGroup>& groups) {
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < groups.size(); ++i) {
    const TaskGroup& group = groups[i];
    tasks += group.count;
    if (group.count == 0 || !IsSane(group.each) ||
        !IsWithin(group.declared_run_time, {}, hours(24)))
      return false;
    for (const std::uint32_t earlier : group.after) {
      if (earlier >= i)
        return false;
    }
  }
  return tasks > 0 && tasks <= 100'000;
}

bool IsSane(const QueuePolicy& policy) {
  return policy.attempts >= 1 && policy.stretch >= 0 && policy.stretch <= 100 &&
         IsWithin(policy.target_latency, {}, hours(24)) &&
         IsWithin(policy.timeout, {}, hours(24));
}

bool IsSane(const WorkerEntry& entry) {
  return IsSane(entry.capacity) && !entry.id.empty() &&
         entry.id.size() < 1000 &&
         entry.id.find_first_of("\r\n") == std::string::npos;
}

JobRequest MakeJob(Time now) {
  return {.id = "00000000000000ab",
          .payload = "spec",
          .groups = {{.count = 4,
                      .each = {.millicores = 8000, .memory_mb = 100},
                      .declared_run_time = milliseconds(100)},
                     {.count = 2,
                      .each = {.millicores = 4000},
                      .after = {0},
                      .required_label = "gpu",
                      .preferred_rack = "rack",
                      .most_per_worker = 2}},
          .policy = {.name = "tiles",
                     .service = "guide",
                     .attempts = 2,
                     .stretch = 1.6,
                     .target_latency = milliseconds(60)},
          .arrived = now - milliseconds(3),
          .deadline = now + milliseconds(1500),
          .home = "home"};
}

WorkerEntry MakeWorker(const std::string& id) {
  return {.id = id,
          .service = "guide",
          .endpoint = {.ip = 1, .port = 1},
          .data_center = "rif",
          .capacity = {.millicores = 64'000, .memory_mb = 1000},
          .labels = {"gpu", "rack"},
          .incarnation = 1'700'000'000'000};
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(MutatedMessages) {
  EventLog log{"test"};
  LeaseControl control{
      {.name = "self", .data_center = "rif", .incarnation = 5}, {}, log};
  Time now{std::chrono::seconds(100'000)};
  std::vector<StartCommand> starts;
  std::vector<RenewCommand> renewals;

  void setup() override {
    control.SetSinks(
        {.start = [this](StartCommand&& command) { starts.push_back(command); },
         .stop = [](StopCommand&&) {},
         .renew =
             [this](RenewCommand&& command) { renewals.push_back(command); },
         .finish = [](FinishJob&&) {},
         .claim =
             [this](ClaimShard&& claim) {
               control.ownership().DidClaim(claim, 12, now);
             },
         .probe = [](ProbeDataCenter&&) {},
         .read_operator_table = [] {}});
    // Nothing starts before the operator's table is known.
    control.ReplaceEvacuations({}, 1, "feed", now, now);
    control.ownership().SetShardCount("rif", 1);
    control.ownership().DidReadMember({.name = "peer",
                                       .data_center = "rif",
                                       .endpoint = {.ip = 1, .port = 1},
                                       .incarnation = 3},
                                      now);
    control.Tick(now);
    now += milliseconds(700);
    control.Tick(now);
    control.SetWorkers(
        {.workers = {MakeWorker("a"), MakeWorker("b")}, .read_at = now}, now);
    AnswerRenewals();
  }

  void AnswerRenewals() {
    control.Tick(now);
    for (const RenewCommand& renewal : std::exchange(renewals, {}))
      control.dispatcher().DidRenew(
          renewal, CommandAnswer::kAccepted,
          {.incarnation = 1'700'000'000'000, .clock_ms = 1000}, now);
    control.Pump(now);
  }

  // Calls `check` with messages derived from `recorded`; it returns whether
  // what the decoder let through makes sense.
  void ForMutations(const std::string& recorded, std::uint64_t seed,
                    const std::function<bool(const std::string&)>& check) {
    CHECK_TEXT(check(recorded), "the recorded message itself");
    MessageMutator mutator(seed);
    for (int i = 0; i < MutationCount(); ++i) {
      const std::string message = mutator.Mutate(recorded);
      try {
        if (check(message))
          continue;
      } catch (const std::exception& error) {
        FAIL((std::string(error.what()) + ": " + message.substr(0, 800))
                 .c_str());
      }
      FAIL(("absurd value of " + message.substr(0, 800)).c_str());
    }
  }
};

TEST(MutatedMessages, heartbeats) {
  const std::string recorded = EncodeHeartbeat(
      {.name = "peer",
       .incarnation = 3,
       .interval = milliseconds(150),
       .configuration_version = 4,
       .load = {.free_millicores = 5000, .capacity_millicores = 64'000},
       .shards = {{.shard = {.data_center = "rif", .index = 1},
                   .version = 10,
                   .successor = "self",
                   .is_released = true,
                   .busy = {"a"}}},
       .store_version = 12,
       .silent_owners = {"other"},
       .introduction = Introduction{.data_center = "rif",
                                    .endpoint = {.ip = 1, .port = 1},
                                    .power = 0.25},
       .crashes = {{.task = "00000000000000ab.0.0.1", .incarnation = 17}}});
  ForMutations(recorded, 1, [&](const std::string& message) {
    const auto heartbeat = DecodeHeartbeat(message);
    if (!heartbeat)
      return true;
    control.DidReceiveHeartbeat(*heartbeat, now);
    control.router().Choose(control.Owners(now), 1000, {});
    return IsSane(heartbeat->load) &&
           IsWithin(heartbeat->interval, {}, std::chrono::seconds(60));
  });
}

TEST(MutatedMessages, jobs_of_peers) {
  ForMutations(
      EncodeJobRequest({.job = MakeJob(now), .echo = ClockStamp{5, now}}, now),
      2, [&](const std::string& message) {
        auto forwarded = DecodeJobRequest(message, now);
        if (!forwarded)
          return true;
        control.MayStartRequest(forwarded->echo, now);
        JobRequest* job = &forwarded->job;
        const bool is_sane =
            IsSane(job->groups) && IsSane(job->policy) && !job->id.empty() &&
            job->id.find('.') == std::string::npos &&
            IsWithin(now - job->arrived, {}, hours(24)) &&
            IsWithin(job->deadline - now, -hours(24), hours(25));
        const std::string id = job->id;
        if (is_sane) {
          control.Submit(std::move(*job), now);
          control.Pump(now);
          control.dispatcher().Cancel(id, JobCause::kCancelled, now);
          for (const StartCommand& start : std::exchange(starts, {}))
            control.dispatcher().DidStart(start, CommandAnswer::kSuperseded, 0,
                                          now);
          AnswerRenewals();
        }
        return is_sane;
      });
}

TEST(MutatedMessages, answers_of_owners) {
  const std::string recorded = EncodeJobAnswer(
      {.result = {.outcome = JobOutcome::kRefused,
                  .cause = JobCause::kNoRoom,
                  .retry_after = milliseconds(250)},
       .load = OwnerLoad{.free_millicores = 1, .capacity_millicores = 64'000}});
  ForMutations(recorded, 3, [&](const std::string& message) {
    const auto answer = DecodeJobAnswer(message);
    if (!answer)
      return true;
    platform::EncodeResult(answer->result);
    return IsWithin(answer->result.retry_after, {}, hours(1)) &&
           (!answer->load || IsSane(*answer->load));
  });
}

TEST(MutatedMessages, lists_of_workers) {
  const std::string recorded =
      EncodeWorkerList({.list = {.workers = {MakeWorker("a"), MakeWorker("b")},
                                 .store_version = 7,
                                 .read_at = now - milliseconds(20)},
                        .shards = {{.data_center = "rif", .index = 0}},
                        .echo = ClockStamp{.incarnation = 5, .at = now}},
                       now);
  ForMutations(recorded, 4, [&](const std::string& message) {
    const auto shared = DecodeWorkerList(message, now);
    if (!shared)
      return true;
    control.SetWorkersOfShards(*shared, now);
    const WorkerList& list = shared->list;
    return IsWithin(now - list.read_at, {}, hours(1)) &&
           std::all_of(list.workers.begin(), list.workers.end(),
                       [](const auto& entry) { return IsSane(entry); });
  });
}

TEST(MutatedMessages, rows_of_members_shards_and_counts) {
  const RowChange member = EncodeMember({.name = "peer",
                                         .data_center = "rif",
                                         .endpoint = {.ip = 1, .port = 1},
                                         .incarnation = 3,
                                         .power = 0.5},
                                        0);
  const ShardId shard{.data_center = "rif", .index = 0};
  const RowChange claim = EncodeShardClaim({.shard = shard}, "peer", 3);
  const RowChange count = EncodeShardCount({.data_center = "rif", .count = 2});
  ForMutations(member.value, 5, [&](const std::string& message) {
    const auto decoded = DecodeMember({.key = member.key, .value = message});
    if (decoded)
      control.ownership().DidReadMember(*decoded, now);
    return !decoded || (decoded->power >= 0 && decoded->power <= 1e6);
  });
  std::uint64_t version = 20;
  ForMutations(claim.value, 6, [&](const std::string& message) {
    const auto decoded =
        DecodeShard({.key = claim.key, .value = message, .version = ++version});
    if (decoded)
      control.ownership().DidReadShard(*decoded, now);
    return true;
  });
  ForMutations(ShardKey(shard), 7, [&](const std::string& key) {
    const auto decoded = DecodeShard({.key = key, .value = claim.value});
    return !decoded || decoded->shard.index < 100'000;
  });
  ForMutations(count.value, 8, [&](const std::string& message) {
    const auto decoded = DecodeShardCount({.key = count.key, .value = message});
    const bool is_sane =
        !decoded || (decoded->count > 0 && decoded->count <= 100'000);
    return is_sane;
  });
}

TEST(MutatedMessages, rows_of_crashes) {
  const RowChange crash = EncodeCrash(
      {.record = {.task = "00000000000000ab.0.0.1", .incarnation = 17}});
  ForMutations(crash.value, 15, [&](const std::string& message) {
    const auto decoded = DecodeCrash({.key = crash.key, .value = message});
    if (decoded)
      control.dispatcher().crashes().Learn(*decoded, now);
    return true;
  });
  ForMutations(crash.key, 16, [&](const std::string& key) {
    const auto decoded = DecodeCrash({.key = key, .value = crash.value});
    if (decoded)
      control.dispatcher().crashes().Learn(*decoded, now);
    return !decoded || !decoded->task.empty();
  });
  CHECK(control.dispatcher().crashes().size() <= CrashHistory::kMostRecords);
}

TEST(MutatedMessages, rows_of_learned_queues) {
  const LearnedQueues queues{
      {"tiles",
       {.run_times = {.log_run_time = 4.1, .log_error = -0.25, .samples = 812},
        .timeouts = {.mean_timeout = 1970.5,
                     .mean_expected = 61.25,
                     .variance_expected = 400,
                     .covariance = 1600,
                     .deviation = 55.5,
                     .samples = 120}}}};
  const RowChange row = EncodeLearnedQueues("rif", queues);
  ForMutations(row.value, 9, [&](const std::string& message) {
    const auto decoded = DecodeLearnedQueues({.key = "rif", .value = message});
    if (!decoded)
      return true;
    DurationEstimator durations;
    CallerTimeouts timeouts;
    for (const auto& [queue, statistics] : *decoded) {
      durations.Recall(queue, statistics.run_times);
      timeouts.Recall(queue, statistics.timeouts);
      durations.DidRun(queue, milliseconds(90), milliseconds(100));
      timeouts.DidArrive(queue, milliseconds(60), milliseconds(1900));
      for (const Duration declared : {Duration{}, Duration(hours(24))}) {
        const Duration expected = durations.Expect(queue, declared);
        if (!IsWithin(expected, Duration(1), hours(25)) ||
            !IsWithin(timeouts.AgeOf(queue, expected, milliseconds(100)), {},
                      hours(25)))
          return false;
      }
    }
    return true;
  });
}

TEST(MutatedMessages, configurations_of_the_operator) {
  const std::string recorded =
      R"({"version":3,"limits":{"maxBodyBytes":65536},"routes":[)"
      R"({"name":"tiles","host":"Tiles.example","pathPrefix":"/t/",)"
      R"("service":"guide","priority":1,"attempts":2,"stretch":1.6,)"
      R"("targetLatencyMs":60,"timeoutMs":1500,"advice":null}]})";
  ForMutations(recorded, 10, [&](const std::string& message) {
    const auto configuration = platform::DecodeConfiguration(
        {.key = platform::kConfigurationKey, .value = message});
    if (!configuration)
      return true;
    configuration->Find("tiles.example:80", "/t/00000000000000ab");
    return std::all_of(
        configuration->routes.begin(), configuration->routes.end(),
        [](const QueueRoute& route) { return IsSane(route.policy); });
  });
}

TEST(MutatedMessages, registrations_of_workers) {
  const std::string recorded =
      R"({"service":"guide","address":"10.0.0.1:80","zone":"rif",)"
      R"("state":"draining","capacity":{"cpu":16000,"memMb":64000,"gpu":1},)"
      R"("labels":["gpu","rack"],"born":1700000000000})";
  ForMutations(recorded, 11, [&](const std::string& message) {
    const auto entry = platform::DecodeWorker({.key = "a", .value = message});
    return !entry || IsSane(*entry);
  });
  ForMutations("worker-17.rif", 12, [&](const std::string& key) {
    const auto entry = platform::DecodeWorker({.key = key, .value = recorded});
    return !entry || IsSane(*entry);
  });
}

TEST(MutatedMessages, reports_of_workers) {
  control.Submit(MakeJob(now), now);
  control.Pump(now);
  CHECK_EQUAL(4, starts.size());
  const StartCommand start = starts[0];
  const std::string recorded =
      R"({"clockMs":1000,"born":1700000000000,"running":[[")" + start.run.task +
      R"(",1,"",40],["00000000000000cd.0.0.1",2,"",10]],)"
      R"("capacity":{"cpu":64000,"memMb":1000,"gpu":0},"ended":[)"
      R"([7,"00000000000000cd.0.0.0",1,"done",""]]})";
  ForMutations(recorded, 13, [&](const std::string& message) {
    const platform::RenewReply reply =
        platform::DecodeRenewReply(HttpResponse{.body = message});
    control.dispatcher().DidRenew({.target = start.target, .number = 1},
                                  reply.answer, reply.report, now);
    control.Pump(now);
    const platform::CommandReply command =
        platform::DecodeCommandReply(HttpResponse{.body = message});
    platform::DecodeCommandReply(HttpResponse{.status = 409, .body = message});
    for (const RunningTask& task : reply.report.running) {
      if (task.percent < 0 || task.percent > 100)
        return false;
    }
    if (reply.report.capacity && !IsSane(*reply.report.capacity))
      return false;
    return IsWithin(milliseconds(reply.report.clock_ms), {},
                    hours(1'000'000)) &&
           IsWithin(milliseconds(command.clock_ms), {}, hours(1'000'000));
  });
}

// The number of a run beyond 32 bits was cut off, and became another run's.
TEST(MutatedMessages, run_numbers_are_not_cut_off) {
  const platform::RenewReply reply = platform::DecodeRenewReply(HttpResponse{
      .body =
          R"({"clockMs":1,"running":[["a.0.0.0",4294967297,"",4]],"ended":[]})"});
  CHECK(reply.answer == CommandAnswer::kMalformed);
}

TEST(MutatedMessages, jobs_and_headers_of_callers) {
  const std::string recorded =
      R"({"spec":"work","bestEffort":true,"steps":[{"count":4,"cpu":8000,)"
      R"("memMb":100,"estimateMs":90},{"count":2,"cpu":4000,"after":[0],)"
      R"("requires":"gpu","affinity":"rack","maxPerServer":2,"gang":false}]})";
  ForMutations(recorded, 14, [&](const std::string& message) {
    const auto job = platform::DecodeJob(message);
    return !job || IsSane(job->groups);
  });
  ForMutations("1500", 15, [&](const std::string& value) {
    const auto timeout = platform::CallerTimeout(
        {.headers = {{"X-Mustardbank-Deadline-Ms", value}}});
    return !timeout || IsWithin(*timeout, {}, hours(24));
  });
}

TEST(MutatedMessages, settings) {
  const std::string recorded =
      R"({"name":"a","data_center":"rif","callers":"127.0.0.1:1",)"
      R"("readiness":"127.0.0.1:2","ip":"127.0.0.1","peer_port":3,)"
      R"("metrics_port":4,"store":"127.0.0.1:5","drain_ms":2000,)"
      R"("processors":{"share":0.5,"speed":1}})";
  ForMutations(recorded, 16, [&](const std::string& message) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
          BOOST_LEAF_AUTO(document, JsonDocument::Parse(message, "settings"));
          BOOST_LEAF_AUTO(settings, LeaseSettings::Read(document));
          return settings.cores > 0 && settings.cores < 2e6 &&
                 IsWithin(settings.drain_time, milliseconds(1),
                          std::chrono::minutes(10));
        },
        [] { return true; });
  });
}

// The store's answers, by the client that reads them page by page. A page that
// repeats its rows made it read for ever.
TEST(MutatedMessages, answers_of_the_store) {
  FiberThread& thread = *new FiberThread;
  static std::string body;
  HttpServer& server = *new HttpServer(
      HttpServerLimits{},
      [](HttpRequest&& /*request*/) { return HttpResponse{.body = body}; });
  const Endpoint endpoint = boost::leaf::try_handle_all(
      [&] { return server.Listen({&thread}, {.ip = 0x7F000001}); },
      [] { return Endpoint{}; });
  const std::string recorded =
      R"({"rowVersion":7,"hasMore":false,"rows":[{"table":"op","key":"config",)"
      R"("rowVersion":5,"value":"e30=","deleted":false}]})";
  const auto read = [&] {
    return RunInFiber(thread, [&] {
      platform::RowStoreClient client(thread.io(), endpoint);
      const auto page = client.Read("op", milliseconds(1000));
      client.ReadChanges("op", 1, milliseconds(0), milliseconds(1000));
      return page ? page->rows.size() : 0;
    });
  };
  MessageMutator mutator(17);
  for (int i = 0; i < MutationCount() / 10; ++i) {
    body = mutator.Mutate(recorded);
    CHECK(read() <= 1000);
  }
  body = R"({"rowVersion":7,"hasMore":true,"rows":[{"key":"config"}]})";
  CHECK(read() <= 1000);
}

}  // namespace mustardbank
