// Tests of lease entry processes that run against a stand-in of the users'
// platform.
#include <CppUTest/TestHarness.h>

#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>

#include "Harness/lease_deployment.h"

namespace mustardbank {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kReady{10'000};
constexpr milliseconds kCallerTimeout{5000};

std::string IdOf(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", number);
  return text;
}

// Returns which of two entries owns the workers of the only shard.
int OwnerOf(const LeaseDeployment& deployment) {
  return deployment.Scrape(0).find("mustardbank_workers_owned 0") ==
                 std::string::npos
             ? 0
             : 1;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(LeaseProcess) {
  LeaseDeployment deployment{{}};

  void setup() override {
    CHECK(deployment.WaitUntilReady(kReady));
  }
  void teardown() override {
    for (const std::string& line : deployment.Violations())
      FAIL(line.c_str());
  }

  HttpRequest Post(const std::string& path, const std::string& body) {
    return {.method = "POST",
            .target = path,
            .headers = {{"Host", "host"}},
            .body = body};
  }
};

TEST(LeaseProcess, job_is_answered_by_any_entry) {
  for (int entry = 0; entry < deployment.entry_count(); ++entry) {
    const CallerAnswer answer =
        deployment.Submit(entry, IdOf(entry), 3, 20'000, 50, kCallerTimeout);
    CHECK_EQUAL(200, answer.status);
    CHECK_EQUAL(std::string(R"({"state":"succeeded"})"), answer.body);
    CHECK_EQUAL(3, deployment.StartsOf(IdOf(entry)));
  }
}

// Guards against a job that runs twice: its request was held up by a partition,
// and its caller has submitted it elsewhere.
TEST(LeaseProcess, job_request_that_was_held_up_is_not_started) {
  namespace json = boost::json;
  const auto send = [this](int id, const json::value& echo) {
    json::object request{
        {"id", IdOf(id)},
        {"home", "entry9"},
        {"payload", "1000 50"},
        {"groups", json::array{json::object{{"count", 1},
                                            {"millicores", 1000},
                                            {"memory_mb", 16},
                                            {"accelerators", 0},
                                            {"declared_us", 50'000}}}},
        {"queue", "tiles"},
        {"service", "guide"},
        {"priority", 0},
        {"attempts", 1},
        {"stretch", 1.6},
        {"target_us", 60'000},
        {"age_us", 0},
        {"left_us", 500'000}};
    if (!echo.is_null())
      request["echo"] = echo;
    const CallerAnswer answer = deployment.CallAsPeer(
        1, Post("/v1/leased-jobs", json::serialize(request)), kCallerTimeout);
    return json::parse(answer.body).as_object();
  };
  // Earlier builds return no stamp and are served.
  const json::object served = send(1, nullptr);
  CHECK_EQUAL(1, deployment.StartsOf(IdOf(1)));

  json::object echo = served.at("stamp").as_object();
  const std::int64_t clock_us = echo.at("clock_us").as_int64();
  echo["clock_us"] = clock_us - 2'900'000;
  json::object refused = send(2, echo);
  CHECK_EQUAL(std::string("stale_request"),
              std::string(refused.at("cause").as_string()));
  // Sent to an earlier process of the VM.
  echo["incarnation"] = 1;
  echo["clock_us"] = clock_us;
  CHECK_EQUAL(std::string("stale_request"),
              std::string(send(3, echo).at("cause").as_string()));
  CHECK_EQUAL(0, deployment.StartsOf(IdOf(2)) + deployment.StartsOf(IdOf(3)));
  // The home sends it again with the clock of the refusal.
  const json::object again = send(2, refused.at("stamp"));
  CHECK_EQUAL(std::string("succeeded"),
              std::string(again.at("outcome").as_string()));
  CHECK_EQUAL(1, deployment.StartsOf(IdOf(2)));
}

TEST(LeaseProcess, task_that_fails_is_tried_as_often_as_allowed) {
  const CallerAnswer answer =
      deployment.Submit(0, IdOf(1), 1, 20'000, 20, kCallerTimeout, "fail");
  CHECK_EQUAL(200, answer.status);
  CHECK_EQUAL(std::string(R"({"state":"failed"})"), answer.body);
  CHECK_EQUAL(2, deployment.StartsOf(IdOf(1)));
}

TEST(LeaseProcess, job_that_never_fits_is_refused_at_once) {
  const CallerAnswer answer =
      deployment.Submit(0, IdOf(1), 1, 100'000, 20, kCallerTimeout);
  CHECK_EQUAL(503, answer.status);
  CHECK(!answer.retry_after.empty());
  CHECK_EQUAL(0, deployment.StartsOf(IdOf(1)));
}

TEST(LeaseProcess, malformed_bodies_do_not_affect_other_requests) {
  const std::string path = "/jobs/" + IdOf(1);
  for (
      const std::string& body :
      {std::string("{"), std::string("[]"), std::string(R"({"spec":"x"})"),
       std::string(R"({"spec":"x","bestEffort":true,"steps":[]})"),
       std::string(R"({"spec":"x","bestEffort":true,"steps":[{"count":-1}]})"),
       std::string(
           R"({"spec":"x","bestEffort":true,"steps":[{"count":1,"after":[0]}]})"),
       std::string(R"({"spec":1,"bestEffort":true,"steps":[{"count":1}]})")}) {
    const CallerAnswer answer =
        deployment.Call(0, Post(path, body), kCallerTimeout);
    CHECK_EQUAL(400, answer.status);
  }
  CHECK_EQUAL(
      400, deployment.Call(0, Post("/jobs/xyz", "{}"), kCallerTimeout).status);
  CHECK_EQUAL(413, deployment
                       .Call(0, Post(path, std::string(1024 * 1024, 'x')),
                             kCallerTimeout)
                       .status);
  CHECK_EQUAL(
      200, deployment.Submit(0, IdOf(2), 1, 20'000, 20, kCallerTimeout).status);
}

// Every field of a job that asks for what is not offered: refused at once, with
// a time to come back, and never half run.
TEST(LeaseProcess, unsupported_jobs_are_refused_and_not_run) {
  std::vector<std::string> bodies{
      R"({"spec":"1 1","steps":[{"count":1,"cpu":1}]})"};
  for (const std::string field :
       {R"("gang":true)", R"("sameRack":true)", R"("longRunning":true)",
        R"("image":"a")", R"("targetMs":50)", R"("fills":true)",
        R"("mayMiss":1)"})
    bodies.push_back(R"({"spec":"1 1","bestEffort":true,"steps":[{"count":2,)" +
                     field + "}]}");
  for (const std::string field :
       {R"("repeatCount":2)", R"("startAtMs":5)", R"("longRunning":true)"})
    bodies.push_back(R"({"spec":"1 1","bestEffort":true,)" + field +
                     R"(,"steps":[{"count":1}]})");
  for (const std::string& body : bodies) {
    const CallerAnswer answer =
        deployment.Call(0, Post("/jobs/" + IdOf(1), body), kCallerTimeout);
    CHECK_EQUAL(503, answer.status);
    CHECK(!answer.retry_after.empty());
  }
  CHECK_EQUAL(0, deployment.StartsOf(IdOf(1)));
}

// A data centre is evacuated, then all: its entry VMs serve their callers by
// the workers of others, and then refuse truthfully and at once.
TEST(LeaseProcess, evacuated_data_centers_get_no_tasks) {
  int next = 100;
  const auto submit = [&] {
    return deployment.Submit(0, IdOf(next++), 2, 20'000, 20, kCallerTimeout);
  };
  // The project's own target for a change to be in force everywhere.
  constexpr milliseconds kInForce{1000};
  deployment.Admin({{"evacuate", "rif"}});
  std::this_thread::sleep_for(kInForce);
  CHECK_EQUAL(200, submit().status);
  CHECK(deployment.Scrape(0).find(
            "mustardbank_evacuation_runs{data_center=\"rif\"} 0") !=
        std::string::npos);
  CHECK(deployment.Scrape(0).find("mustardbank_evacuation_unconfirmed_peers "
                                  "0") != std::string::npos);
  deployment.Admin({{"evacuate", "tanger"}});
  std::this_thread::sleep_for(kInForce);
  const CallerAnswer refused = submit();
  CHECK_EQUAL(503, refused.status);
  CHECK_EQUAL(std::string(R"({"reason":"evacuated"})"), refused.body);
  CHECK(!refused.retry_after.empty());
  CHECK_EQUAL(0, deployment.StartsOf(IdOf(next - 1)));
  // A process that starts meanwhile reads the table before its first start.
  deployment.entry(0).Signal(SIGKILL);
  deployment.StartEntry(0);
  CHECK(deployment.WaitUntilReady(kReady));
  CHECK_EQUAL(503, submit().status);
  CHECK_EQUAL(0, deployment.StartsOf(IdOf(next - 1)));
  deployment.Admin({{"withdraw", "rif"}});
  deployment.Admin({{"withdraw", "tanger"}});
  std::this_thread::sleep_for(kInForce);
  CHECK_EQUAL(200, submit().status);
}

TEST(LeaseProcess, newer_configuration_takes_effect_and_older_is_ignored) {
  const HttpRequest query{
      .method = "GET", .target = "/new/", .headers = {{"Host", "host"}}};
  CHECK_EQUAL(404, deployment.Call(1, query, kCallerTimeout).status);
  deployment.PutConfiguration(7, {"/jobs/", "/new/"});
  unsigned status = 0;
  for (int i = 0; i < 100 && status != 200; ++i) {
    std::this_thread::sleep_for(milliseconds(20));
    status = deployment.Call(1, query, kCallerTimeout).status;
  }
  CHECK_EQUAL(200, status);
  deployment.PutConfiguration(6, {"/jobs/"});
  std::this_thread::sleep_for(milliseconds(300));
  CHECK_EQUAL(200, deployment.Call(1, query, kCallerTimeout).status);
}

// Guards against tasks on a worker that lacks their label, after a restart as
// another kind. Without the store, its labels stay unknown.
TEST(LeaseProcess, restarted_worker_gets_tasks_of_its_present_labels_only) {
  for (const auto& [id, endpoint] : deployment.Workers())
    deployment.Admin({{"worker", id}, {"label", "b"}});
  const auto submit = [this](int id, const std::string& label, int wait_ms) {
    const std::string body =
        R"({"spec":"1000 50","bestEffort":true,"steps":[{"count":1,"cpu":1000,)"
        R"("memMb":16,"estimateMs":50,"requires":")" +
        label + "\"}]}";
    return deployment
        .Call(1,
              {.method = "POST",
               .target = "/jobs/" + IdOf(id),
               .headers = {{"Host", "host"},
                           {"X-Mustardbank-Deadline-Ms",
                            std::to_string(wait_ms)}},
               .body = body},
              milliseconds(wait_ms + 500))
        .status;
  };
  CHECK_EQUAL(200, submit(1, "a", 5000));
  deployment.Admin({{"store", "refuse"}});
  for (const auto& [id, endpoint] : deployment.Workers()) {
    deployment.Admin({{"worker", id}, {"mode", "down"}});
    deployment.Admin({{"worker", id}, {"mode", "normal"}});
  }
  // The stand-in's connections outlive its workers, so that a restart shows in
  // the next report only. All owners must have noticed it: any may get a job.
  const std::string name = "\nmustardbank_workers_unregistered ";
  const auto unregistered = [&] {
    double workers = 0;
    for (int i = 0; i < deployment.entry_count(); ++i) {
      const std::string metrics = deployment.Scrape(i);
      const std::size_t at = metrics.find(name);
      workers += at == std::string::npos
                     ? 0
                     : std::stod(metrics.substr(at + name.size()));
    }
    return workers;
  };
  auto end = std::chrono::steady_clock::now() + kReady;
  while (unregistered() < static_cast<double>(deployment.Workers().size()))
    CHECK(std::chrono::steady_clock::now() < end);
  for (int job = 10; job < 30; ++job) {
    CHECK(submit(job, "a", 150) != 200);
    CHECK_EQUAL(0, deployment.StartsOf(IdOf(job)));
  }
  deployment.Admin({{"store", "up"}});
  end = std::chrono::steady_clock::now() + kReady;
  int job = 100;
  while (submit(++job, "b", 500) != 200)
    CHECK(std::chrono::steady_clock::now() < end);
  CHECK(submit(1000, "a", 300) != 200);
  CHECK_EQUAL(0, deployment.StartsOf(IdOf(1000)));
}

// Guards against starts on workers that have begun to leave: a list counted
// from the arrival of the store's answer, and was sent to other owners as new.
TEST(LeaseProcess, list_of_workers_counts_from_its_request) {
  deployment.Admin({{"store", "slow"}});
  const std::string name = "\nmustardbank_workers_list_age_seconds ";
  // Until lists that were read before have been replaced, the age passes 0.4 s
  // by itself. No list is younger from then on.
  std::this_thread::sleep_for(milliseconds(2500));
  for (int i = 0; i < 60; ++i) {
    const std::string metrics = deployment.Scrape(1);
    const std::size_t at = metrics.find(name);
    CHECK(at != std::string::npos);
    CHECK(std::stod(metrics.substr(at + name.size())) >= 0.4);
    std::this_thread::sleep_for(milliseconds(20));
  }
}

// Guards against VMs that end, or stop following the list, for entries that
// other writers leave among those of the workers.
TEST(LeaseProcess, odd_entries_among_the_workers_change_nothing) {
  namespace json = boost::json;
  const auto entry = [](const std::string& zone, const std::string& address,
                        const std::string& born) {
    return R"({"service":"guide","address":")" + address + R"(","zone":")" +
           zone + R"(","state":"ready","labels":["a"],"born":)" + born +
           R"(,"capacity":{"cpu":64000,"memMb":1000}})";
  };
  const std::string nested =
      std::string(20'000, '[') + std::string(20'000, ']');
  deployment.Admin(
      {{"entries",
        {{"w-nested", nested},
         {"w-born", entry("rif", "127.0.0.1:9", nested.substr(0, 20'000))},
         {"w-port", entry("rif", "127.0.0.1:99999", "1")},
         {"w-port0", entry("rif", "127.0.0.1:0", "1")},
         {"w-number", entry("rif", "127.0.0.1:9", "1e300")},
         {"w-zone", entry(std::string(30'000, 'z'), "127.0.0.1:9", "1")},
         {"w-bytes", "{}{}"}}}});
  // Lists are read each second, and zones of new workers counted over two.
  std::this_thread::sleep_for(milliseconds(4500));
  deployment.entry(2).Kill();
  deployment.StartEntry(2);
  CHECK(deployment.WaitUntilReady(kReady));
  for (int i = 0; i < deployment.entry_count(); ++i) {
    CHECK_EQUAL(
        200, deployment.Submit(i, IdOf(500 + i), 3, 20'000, 50, kCallerTimeout)
                 .status);
    CHECK(!deployment.HasLogged(i, "store_lost", ""));
    CHECK(!deployment.HasLogged(i, "worker_added", "worker=w-"));
    CHECK(!deployment.HasLogged(i, "unexpected_error", ""));
    if (i != 2)
      CHECK(!deployment.entry(i).Wait(milliseconds(1)));
  }
}

TEST(LeaseProcess, entry_serves_while_the_store_is_unavailable) {
  deployment.Admin({{"store", "refuse"}});
  std::this_thread::sleep_for(milliseconds(3000));
  for (int i = 0; i < 6; ++i)
    CHECK_EQUAL(200, deployment
                         .Submit(i % deployment.entry_count(), IdOf(i), 2,
                                 20'000, 50, kCallerTimeout)
                         .status);
}

TEST(LeaseProcess, tasks_that_crash_workers_are_known_after_a_restart_of_all) {
  constexpr milliseconds kInStore{500};
  const auto submit = [&](int entry) {
    const CallerAnswer answer = deployment.Submit(entry, IdOf(1), 1, 20'000, 50,
                                                  kCallerTimeout, "crash");
    CHECK_EQUAL(200, answer.status);
    CHECK_EQUAL(std::string(R"({"state":"failed"})"), answer.body);
    CHECK_EQUAL(2, deployment.StartsOf(IdOf(1)));
  };
  submit(0);
  std::this_thread::sleep_for(kInStore);
  for (int entry = 0; entry < deployment.entry_count(); ++entry)
    deployment.entry(entry).Signal(SIGKILL);
  for (int entry = 0; entry < deployment.entry_count(); ++entry)
    deployment.StartEntry(entry);
  CHECK(deployment.WaitUntilReady(kReady));
  for (int entry = 0; entry < deployment.entry_count(); ++entry)
    submit(entry);
}

TEST(LeaseProcess, killed_owner_is_succeeded) {
  deployment.entry(0).Signal(SIGKILL);
  unsigned status = 0;
  for (int i = 0; i < 60 && status != 200; ++i) {
    status =
        deployment.Submit(1, IdOf(i), 2, 20'000, 50, kCallerTimeout).status;
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK_EQUAL(200, status);
  deployment.StartEntry(0);
  CHECK(deployment.WaitUntilReady(kReady));
  CHECK_EQUAL(
      200,
      deployment.Submit(0, IdOf(100), 2, 20'000, 50, kCallerTimeout).status);
}

TEST(LeaseProcess, entry_that_stops_finishes_its_jobs) {
  std::vector<std::thread> callers;
  std::vector<unsigned> statuses(6);
  callers.reserve(statuses.size());
  for (int i = 0; i < 6; ++i)
    callers.emplace_back([this, i, &statuses] {
      statuses[i] =
          deployment.Submit(0, IdOf(i), 1, 20'000, 700, kCallerTimeout).status;
    });
  std::this_thread::sleep_for(milliseconds(200));
  deployment.entry(0).Signal(SIGTERM);
  for (std::thread& caller : callers)
    caller.join();
  for (const unsigned status : statuses)
    CHECK_EQUAL(200, status);
  CHECK_EQUAL(0, deployment.entry(0).Wait(milliseconds(7000)).value_or(-1));
}

// While the store is unavailable, the peer can't claim the workers that a
// stopping VM offers, so the VM must go on running jobs on them (incident of
// anbsm-guides).
TEST(LeaseProcess, entry_that_stops_serves_until_its_workers_are_claimed) {
  LeaseDeployment partitioned{{.entries = 2, .data_centers = {"rif"}}};
  CHECK(partitioned.WaitUntilReady(kReady));
  const int owner = OwnerOf(partitioned);
  partitioned.Admin({{"store", "refuse"}});
  partitioned.entry(owner).Signal(SIGTERM);
  for (int i = 0; i < 10; ++i) {
    std::this_thread::sleep_for(milliseconds(100));
    CHECK_EQUAL(
        200,
        partitioned.Submit(1 - owner, IdOf(i), 1, 20'000, 20, kCallerTimeout)
            .status);
  }
  partitioned.Admin({{"store", "up"}});
  CHECK_EQUAL(0,
              partitioned.entry(owner).Wait(milliseconds(7000)).value_or(-1));
  CHECK_EQUAL(
      200,
      partitioned.Submit(1 - owner, IdOf(20), 1, 20'000, 20, kCallerTimeout)
          .status);
}

// The job's deadline counts from when the entry reads the request, which is
// late after a pause. The job must be stopped because its caller has left
// (soak, seed 222).
TEST(LeaseProcess, caller_that_leaves_after_a_pause_has_its_job_stopped) {
  deployment.entry(0).Signal(SIGSTOP);
  std::thread caller([this] {
    CHECK_EQUAL(
        0, deployment.Submit(0, IdOf(1), 3, 20'000, 4000, milliseconds(2500))
               .status);
  });
  std::this_thread::sleep_for(milliseconds(1700));
  deployment.entry(0).Signal(SIGCONT);
  caller.join();
  std::this_thread::sleep_for(milliseconds(1300));
  deployment.Submit(1, IdOf(1), 3, 20'000, 100, kCallerTimeout);
}

// The caller of a request that an entry reads after a pause may have given it
// up and sent it to another entry.
TEST(LeaseProcess, job_whose_caller_left_during_a_pause_is_not_started) {
  deployment.entry(0).Signal(SIGSTOP);
  CHECK_EQUAL(
      0,
      deployment.Submit(0, IdOf(1), 3, 20'000, 100, milliseconds(400)).status);
  deployment.entry(0).Signal(SIGCONT);
  std::this_thread::sleep_for(milliseconds(500));
  CHECK_EQUAL(0, deployment.StartsOf(IdOf(1)));
  CHECK_EQUAL(
      200, deployment.Submit(0, IdOf(2), 1, 20'000, 20, kCallerTimeout).status);
}

// A child process that the test starts meanwhile must not inherit the caller's
// connection and so keep it open (soak, seed 222).
TEST(LeaseProcess, caller_that_leaves_is_noticed_though_a_process_was_started) {
  std::thread caller([this] {
    HttpRequest request = Post(
        "/jobs/" + IdOf(1),
        R"({"spec":"20000 4000","bestEffort":true,"steps":[{"count":1,"cpu":20000,"memMb":16,"estimateMs":4000}]})");
    request.headers.emplace_back("X-Mustardbank-Deadline-Ms", "5000");
    deployment.Call(0, request, milliseconds(1000));
  });
  std::this_thread::sleep_for(milliseconds(300));
  const ChildProcess other({"/bin/sleep", "5"}, "/dev/null", milliseconds(0));
  caller.join();
  std::this_thread::sleep_for(milliseconds(300));
  std::ifstream log(deployment.folder() + "/entry0.log");
  const std::string text(std::istreambuf_iterator<char>(log), {});
  CHECK(text.find("cause=cancelled") != std::string::npos);
}

// Callers use open connections until the process has exited, also while it
// removes its record from a slow store (trouble-1 of anbsm-guides).
TEST(LeaseProcess, entry_that_stops_answers_its_last_caller) {
  deployment.entry(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(2200));
  deployment.Admin({{"store", "hang"}});
  std::this_thread::sleep_for(milliseconds(700));
  CHECK_EQUAL(
      200,
      deployment.Submit(0, IdOf(1), 1, 20'000, 800, kCallerTimeout).status);
  deployment.Admin({{"store", "up"}});
  CHECK_EQUAL(0, deployment.entry(0).Wait(milliseconds(7000)).value_or(-1));
}

// The grace period is 6 s. The test allows 6.3 s, for delays of its own (soak,
// seed 5).
TEST(LeaseProcess, partitioned_entry_stops_within_its_grace_period) {
  LeaseDeployment partitioned{{.entries = 2, .data_centers = {"rif"}}};
  CHECK(partitioned.WaitUntilReady(kReady));
  const int owner = OwnerOf(partitioned);
  partitioned.Admin({{"store", "refuse"}});
  partitioned.entry(owner).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(5200));
  partitioned.Admin({{"store", "hang"}});
  CHECK_EQUAL(0,
              partitioned.entry(owner).Wait(milliseconds(1100)).value_or(-1));
}

// The store applies the removal of the entry's record only after the entry has
// started again; the removal must not affect the new record (soak, seed 4).
TEST(LeaseProcess, late_removal_does_not_unregister_the_next_incarnation) {
  deployment.Admin({{"store", "hang"}});
  deployment.entry(0).Signal(SIGTERM);
  CHECK(deployment.entry(0).Wait(milliseconds(7000)).has_value());
  deployment.Admin({{"store", "up"}});
  deployment.StartEntry(0);
  CHECK(deployment.WaitUntilReady(kReady));
  std::this_thread::sleep_for(milliseconds(5000));
  CHECK(deployment.Scrape(1).find("mustardbank_peers_known 2") !=
        std::string::npos);
  CHECK_EQUAL(
      200, deployment.Submit(0, IdOf(1), 1, 20'000, 20, kCallerTimeout).status);
}

TEST(LeaseProcess, unresponsive_worker_is_avoided) {
  deployment.Admin({{"worker", "w0"}, {"mode", "down"}});
  std::this_thread::sleep_for(milliseconds(1500));
  for (int i = 0; i < 10; ++i)
    CHECK_EQUAL(
        200,
        deployment.Submit(0, IdOf(i), 1, 20'000, 30, kCallerTimeout).status);
}

TEST(LeaseProcess, worker_whose_answers_are_lost_runs_no_task_twice) {
  deployment.Admin({{"worker", "w0"}, {"mode", "mute"}});
  for (int i = 0; i < 10; ++i) {
    const CallerAnswer answer = deployment.Submit(
        i % deployment.entry_count(), IdOf(i), 4, 20'000, 100, kCallerTimeout);
    CHECK(answer.status != 0);
  }
}

TEST(LeaseProcess, metrics_count_answers) {
  deployment.Submit(0, IdOf(1), 1, 20'000, 20, kCallerTimeout);
  deployment.Submit(0, IdOf(2), 1, 100'000, 20, kCallerTimeout);
  const std::string text = deployment.Scrape(0);
  CHECK(text.find("mustardbank_answers_total{status=\"200\"} 1") !=
        std::string::npos);
  CHECK(text.find("mustardbank_answers_total{status=\"503\"} 1") !=
        std::string::npos);
  CHECK(text.find("mustardbank_request_seconds_bucket") != std::string::npos);
  CHECK(text.find("mustardbank_configuration_version 1") != std::string::npos);
}

TEST_GROUP(LeaseSettingsProcess){};

// Guards against VMs that end when they are started again, since a bound of the
// platform has a fraction or can't be read.
TEST(LeaseSettingsProcess, bounds_that_are_no_whole_numbers_stop_no_entry) {
  LeaseDeployment deployment{{.entries = 2,
                              .workers = 4,
                              .data_centers = {"rif"},
                              .settings = {{"grace_s", 6.5},
                                           {"drain_ms", 2000.5},
                                           {"longest_lease_ms", 1e3},
                                           {"stop_ms", nullptr}}}};
  CHECK(deployment.WaitUntilReady(kReady));
  CHECK_EQUAL(
      200, deployment.Submit(0, IdOf(1), 2, 1000, 50, kCallerTimeout).status);
  CHECK(deployment.HasLogged(0, "setting_replaced", "stop_ms"));
  // A bound that changes while the process runs.
  deployment.WriteSettings(0, {{"grace_s", 3.5}, {"drain_ms", "soon"}});
  deployment.entry(0).Signal(SIGHUP);
  const auto end = std::chrono::steady_clock::now() + kReady;
  while (!deployment.HasLogged(0, "setting_replaced", "drain_ms") &&
         std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(milliseconds(20));
  CHECK(deployment.HasLogged(0, "setting_replaced", "drain_ms"));
  CHECK_EQUAL(
      200, deployment.Submit(0, IdOf(2), 2, 1000, 50, kCallerTimeout).status);
  for (const std::string& line : deployment.Violations())
    FAIL(line.c_str());
}

}  // namespace mustardbank
