// Checks the guarantees on real processes under faults such as SIGKILL, SIGSTOP
// and an outage of the platform. What ran is read from the log of starts of the
// worker stand-ins and from the answers to callers.
#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <future>
#include <map>
#include <thread>

#include "Harness/deployment.h"
#include "Harness/proof.h"
#include "LibCore/boot_clock.h"
#include "LibLoad/load_generator.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

using std::chrono::milliseconds;

constexpr const char* kToken = "secret";

void Sleep(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

std::int64_t WallMs() {
  return ClockReading::Now().wall.count();
}

// Counts the cases, faults and violations of one guarantee, and adds them to
// the proof file.
class ProcessProof {
 public:
  explicit ProcessProof(std::string name) : name_(std::move(name)) {}

  void Fault() { ++faults_; }
  void Expect(bool holds, const std::string& text) {
    ++cases_;
    if (holds)
      return;
    ++violations_;
    text_ += text + '\n';
  }

  void Finish() const {
    RecordProof(name_, cases_, faults_, violations_);
    if (violations_ > 0)
      FAIL(text_.c_str());
  }

 private:
  const std::string name_;
  int cases_ = 0;
  int faults_ = 0;
  int violations_ = 0;
  std::string text_;
};

std::map<std::string, int> StartsByTask(const Deployment& deployment) {
  std::map<std::string, int> starts;
  for (const LoggedStart& start : deployment.Starts())
    ++starts[start.task()];
  return starts;
}

int StartsOfJob(const Deployment& deployment, const std::string& job) {
  const auto starts = deployment.Starts();
  return static_cast<int>(std::ranges::count(starts, job, &LoggedStart::job));
}

bool StartedOnceEach(const Deployment& deployment) {
  const auto starts = StartsByTask(deployment);
  return std::ranges::all_of(
      starts, [](const auto& entry) { return entry.second == 1; });
}

bool IsCompleteAnswer(const std::optional<HttpResponse>& response,
                      const std::string& id,
                      std::size_t tasks) {
  if (!response || response->status != 200)
    return false;
  const json::value body = json::parse(response->body);
  const json::array& results = body.at("results").as_array();
  std::int64_t index = 0;
  for (const json::value& result : results) {
    if (result.at("job").as_string() != id ||
        result.at("echo").to_number<std::int64_t>() != index++) {
      return false;
    }
  }
  return results.size() == tasks;
}

bool SaysNotRun(const std::optional<HttpResponse>& response) {
  return response && JsonMember(response->body, "ran") == "not run";
}

std::future<std::optional<HttpResponse>> SubmitInBackground(
    Deployment& deployment,
    int entry,
    const std::string& id,
    const std::string& job) {
  return std::async(std::launch::async, [&deployment, entry, id, job] {
    return deployment.CallAs(kToken, deployment.entry(entry).callers, "POST",
                             "/v1/jobs/" + id + "?wait=20", job,
                             milliseconds(25000));
  });
}

// Resubmits a job to one VM until the answer is final (neither 202 nor 503).
std::optional<HttpResponse> SubmitUntilFinal(Deployment& deployment,
                                             int entry,
                                             const std::string& id,
                                             const std::string& job) {
  std::optional<HttpResponse> response;
  for (int i = 0; i < 60; ++i) {
    response = deployment.CallAs(kToken, deployment.entry(entry).callers,
                                 "POST", "/v1/jobs/" + id + "?wait=2", job);
    if (response && response->status != 503 && response->status != 202)
      return response;
    Sleep(200);
  }
  return response;
}

DeploymentPlan StandardPlan(const std::string& service_members = "") {
  DeploymentPlan plan;
  plan.configuration = TestConfiguration(plan.data_centers, service_members);
  return plan;
}

LoadPlan PlanLoad(Deployment& deployment, double jobs_per_second, double s) {
  LoadPlan plan;
  plan.entries = deployment.callers();
  plan.token = kToken;
  plan.service = "guide";
  plan.jobs_per_second = jobs_per_second;
  plan.duration_s = s;
  plan.mix = {LoadRequest{.request = "card", .mean_ms = 80}};
  plan.job_sizes = {{.tasks = 1}, {.tasks = 4}};
  return plan;
}

}  // namespace

TEST_GROUP(ProcessGuarantees){};

// The home of a job (the entry VM that keeps the job's state and answers its
// caller) is killed while the caller resubmits the job to a VM in another data
// centre. Then a new process takes the address of the home.
TEST(ProcessGuarantees, starts_once) {
  ProcessProof proof("starts_once");
  Deployment deployment(StandardPlan());
  CHECK_TRUE(deployment.Start());
  const std::string job = TestJob(6, 400);
  const std::string id = deployment.TakeId(kToken, 0);
  auto first = SubmitInBackground(deployment, 0, id, job);
  Sleep(100);
  auto second = SubmitInBackground(deployment, 1, id, job);
  proof.Expect(IsCompleteAnswer(first.get(), id, 6),
               "no complete answer from the home");
  proof.Expect(IsCompleteAnswer(second.get(), id, 6),
               "no complete answer from another VM");

  const std::string lost_id = deployment.TakeId(kToken, 0);
  auto lost = SubmitInBackground(deployment, 0, lost_id, job);
  Sleep(150);
  auto elsewhere = SubmitInBackground(deployment, 1, lost_id, job);
  Sleep(50);
  deployment.entry(0).process->Kill();
  proof.Fault();
  lost.get();
  elsewhere.get();
  const auto unknown = deployment.CallAs(kToken, deployment.entry(1).callers,
                                         "POST", "/v1/jobs/" + lost_id, job);
  proof.Expect(
      unknown && !SaysNotRun(unknown) && unknown->status == 503,
      "not 503, or said not run, although the home may only be unreachable");
  deployment.StartEntry(0);
  CHECK_TRUE(deployment.WaitUntilServing(0, milliseconds(10000)));
  for (int entry : {1, 0}) {
    const auto final = SubmitUntilFinal(deployment, entry, lost_id, job);
    proof.Expect(final && final->status == 502 && !SaysNotRun(final),
                 "the job of a replaced home did not get 502, or said not run");
  }
  // The home of another job is killed and not replaced. The platform's list of
  // VMs shows that it is gone.
  const std::string listed_id = deployment.TakeId(kToken, 0);
  auto listed = SubmitInBackground(deployment, 0, listed_id, job);
  Sleep(100);
  deployment.entry(0).process->Kill();
  proof.Fault();
  listed.get();
  deployment.SetListedState(0, "gone");
  const auto gone = SubmitUntilFinal(deployment, 1, listed_id, job);
  proof.Expect(
      gone && gone->status == 502 && !SaysNotRun(gone),
      "a job whose home is listed as gone did not get 502, or said not run");
  proof.Expect(StartedOnceEach(deployment), "a task started twice");
  proof.Finish();
}

// Workers are killed while they run tasks.
TEST(ProcessGuarantees, whole_or_failed) {
  ProcessProof proof("whole_or_failed");
  DeploymentPlan plan = StandardPlan();
  plan.worker_processes = 2;
  Deployment deployment(plan);
  CHECK_TRUE(deployment.Start());
  std::vector<std::string> ids;
  std::vector<std::future<std::optional<HttpResponse>>> answers;
  for (int i = 0; i < 12; ++i) {
    ids.push_back(deployment.TakeId(kToken, i % 2));
    answers.push_back(SubmitInBackground(deployment, i % 2, ids.back(),
                                         TestJob(3, 300 + 20 * i)));
  }
  Sleep(200);
  deployment.worker_process(1).Kill();
  proof.Fault();
  int complete = 0;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const auto answer = answers[i].get();
    const bool is_complete = IsCompleteAnswer(answer, ids[i], 3);
    complete += is_complete ? 1 : 0;
    proof.Expect(is_complete || (answer && answer->status == 502),
                 "neither complete nor failed: " +
                     (answer ? answer->body : std::string("no answer")));
  }
  proof.Expect(complete > 0 && complete < 12,
               "the fault hit no task, or all of them");
  proof.Expect(StartedOnceEach(deployment), "a task started twice");
  proof.Finish();
}

// Backend servers send responses that belong to other tasks.
TEST(ProcessGuarantees, right_caller) {
  ProcessProof proof("right_caller");
  Deployment deployment(StandardPlan());
  CHECK_TRUE(deployment.Start());
  deployment.SetWorkerMode("worker-0-0", "cross");
  deployment.SetWorkerMode("worker-0-1", "cross");
  proof.Fault();
  LoadPlan plan = PlanLoad(deployment, 60, 4);
  const LoadReport report = RunLoad(plan);
  proof.Expect(report.wrong == 0,
               "an answer did not belong to its caller's job");
  proof.Expect(report.complete > 0 && report.failed > 0,
               "no answer was crossed");
  proof.Expect(report.unanswered == 0, "a job got no answer");
  proof.Expect(StartedOnceEach(deployment), "a task started twice");
  proof.Finish();
}

// A home with running and queued tasks is paused for longer than
// `pause_lease_ms`, after which it must end its incarnation, and then resumed.
TEST(ProcessGuarantees, true_refusals) {
  ProcessProof proof("true_refusals");
  DeploymentPlan plan = StandardPlan(R"(,"delay_tolerance_permille":100000)");
  plan.data_centers = {"rif"};
  plan.configuration = TestConfiguration(
      plan.data_centers, R"(,"delay_tolerance_permille":100000)");
  plan.workers = 2;
  plan.slots = 2;
  Deployment deployment(plan);
  CHECK_TRUE(deployment.Start());
  std::vector<std::string> ids;
  std::vector<std::future<std::optional<HttpResponse>>> answers;
  for (int i = 0; i < 16; ++i) {
    ids.push_back(deployment.TakeId(kToken, 0));
    answers.push_back(
        SubmitInBackground(deployment, 0, ids.back(), TestJob(1, 500)));
  }
  Sleep(700);
  deployment.entry(0).process->Signal(SIGSTOP);
  proof.Fault();
  Sleep(6000);
  deployment.entry(0).process->Signal(SIGCONT);
  Sleep(1500);
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const auto answer = answers[i].get();
    proof.Expect(answer.has_value(), "no answer");
    if (SaysNotRun(answer))
      proof.Expect(StartsOfJob(deployment, ids[i]) == 0,
                   "answered not run, but a task ran");
  }
  const auto starts_before = deployment.Starts().size();
  Sleep(1000);
  proof.Expect(deployment.Starts().size() == starts_before,
               "a stale task started after the pause");
  for (const std::string& id : ids) {
    for (int entry : {0, 1}) {
      const auto again =
          SubmitUntilFinal(deployment, entry, id, TestJob(1, 500));
      proof.Expect(again && !SaysNotRun(again),
                   "answered not run after the lease of the home had expired");
    }
  }
  proof.Expect(StartedOnceEach(deployment), "a task started twice");
  proof.Finish();
}

// One worker fails all tasks and another is killed. The service allows failed
// tasks to start again, but tasks of the request `closure` must never do so.
TEST(ProcessGuarantees, at_most_once) {
  ProcessProof proof("at_most_once");
  DeploymentPlan plan = StandardPlan(R"(,"retry_failed":true)");
  plan.worker_processes = 2;
  Deployment deployment(plan);
  CHECK_TRUE(deployment.Start());
  deployment.SetWorkerMode("worker-0-0", "fail");
  proof.Fault();
  std::vector<std::future<std::optional<HttpResponse>>> answers;
  for (int i = 0; i < 40; ++i) {
    answers.push_back(SubmitInBackground(
        deployment, i % 2, deployment.TakeId(kToken, i % 2),
        TestJob(3, 100 + 10 * i, i / 2 % 2 == 0 ? "closure" : "card")));
    if (i == 25) {
      deployment.worker_process(1).Kill();
      proof.Fault();
    }
  }
  for (auto& answer : answers)
    proof.Expect(answer.get().has_value(), "no answer");
  std::map<std::string, int> closures;
  bool any_restart = false;
  for (const LoggedStart& start : deployment.Starts()) {
    if (start.request == "closure")
      ++closures[start.task()];
  }
  for (const auto& [task, count] : StartsByTask(deployment))
    any_restart = any_restart || count > 1;
  proof.Expect(
      std::ranges::all_of(closures,
                          [](const auto& entry) { return entry.second == 1; }),
      "a closure started twice");
  proof.Expect(any_restart,
               "no card task started again: the faults had no effect");
  proof.Finish();
}

// A worker is listed as leaving but would still accept tasks.
TEST(ProcessGuarantees, leaving_drained) {
  ProcessProof proof("leaving_drained");
  Deployment deployment(StandardPlan());
  CHECK_TRUE(deployment.Start());
  auto load = std::async(std::launch::async,
                         [&] { return RunLoad(PlanLoad(deployment, 80, 9)); });
  Sleep(2000);
  deployment.UpdateVmList(
      json::array{json::object{{"name", "worker-0-0"}, {"state", "leaving"}}});
  proof.Fault();
  const std::int64_t listed_ms = WallMs();
  const LoadReport report = load.get();
  int before = 0;
  int late = 0;
  for (const LoggedStart& start : deployment.Starts()) {
    if (start.worker != "worker-0-0")
      continue;
    before += start.at_ms < listed_ms ? 1 : 0;
    late += start.at_ms > listed_ms + 3000 ? 1 : 0;
  }
  proof.Expect(before > 0,
               "the worker had no tasks before it was listed as leaving");
  proof.Expect(late == 0, "a leaving worker got a new task after 3 s");
  proof.Expect(report.failed + report.unanswered == 0, "jobs were lost");
  proof.Finish();
}

// All entry VMs are restarted one after the other under load.
TEST(ProcessGuarantees, graceful_stop) {
  ProcessProof proof("graceful_stop");
  DeploymentPlan plan = StandardPlan();
  plan.entries = 3;
  Deployment deployment(plan);
  CHECK_TRUE(deployment.Start());
  const std::string id = deployment.TakeId(kToken, 0);
  const std::string job = TestJob(2, 50);
  const auto answer = SubmitUntilFinal(deployment, 0, id, job);
  auto load = std::async(std::launch::async,
                         [&] { return RunLoad(PlanLoad(deployment, 60, 14)); });
  Sleep(1000);
  for (int i = 0; i < 3; ++i) {
    deployment.entry(i).process->Signal(SIGTERM);
    proof.Fault();
    const auto code = deployment.entry(i).process->Wait(milliseconds(10000));
    proof.Expect(code == 0, "the process ended with code " +
                                std::to_string(code.value_or(-1)));
    deployment.StartEntry(i);
    proof.Expect(deployment.WaitUntilServing(i, milliseconds(5000)),
                 "the new process is not serving within 5 s");
    Sleep(1500);
  }
  const LoadReport report = load.get();
  proof.Expect(
      report.failed == 0 && report.unanswered == 0 && report.wrong == 0,
      "jobs failed or were not answered: " +
          json::serialize(json::value(report.ToJson())));
  proof.Expect(report.complete > 500, "not more than 500 jobs were completed");
  // The answer to a job stays the same after its home has left.
  const auto again = SubmitUntilFinal(deployment, 1, id, job);
  proof.Expect(answer && again && answer->body == again->body,
               "the answer changed after the home left");
  proof.Expect(StartedOnceEach(deployment), "a task started twice");
  proof.Finish();
}

// Two operators apply a configuration at the same time. Then a change is
// accepted but the platform's response is lost. Then a VM is replaced during an
// outage of the platform.
TEST(ProcessGuarantees, config_in_force) {
  ProcessProof proof("config_in_force");
  const DeploymentPlan plan = StandardPlan();
  Deployment deployment(plan);
  CHECK_TRUE(deployment.Start());
  const auto version_of = [&](int entry) {
    const json::value state = deployment.State(entry);
    const json::value* version =
        state.as_object().if_contains("configuration_version");
    return version ? version->as_int64() : -1;
  };
  const auto is_in_force = [&](std::int64_t version) {
    for (int i = 0; i < 30; ++i) {
      if (version_of(0) == version && version_of(1) == version)
        return true;
      Sleep(100);
    }
    return false;
  };
  auto one = std::async(std::launch::async, [&] {
    return deployment.Apply(plan.configuration, 1);
  });
  const int other = deployment.Apply(plan.configuration, 1);
  proof.Fault();
  proof.Expect((one.get() == 0) != (other == 0),
               "not exactly one of two concurrent changes was applied");
  proof.Expect(is_in_force(2), "version 2 is not in force within 3 s");
  deployment.SetFaults(json::object{{"lose_answers", 1}});
  proof.Fault();
  proof.Expect(
      deployment.Apply(plan.configuration, 2) == 0,
      "an accepted change whose response was lost was reported as failed");
  proof.Expect(is_in_force(3), "version 3 is not in force within 3 s");
  deployment.SetFaults(json::object{{"outage", true}});
  proof.Fault();
  deployment.entry(0).process->Kill();
  proof.Fault();
  deployment.StartEntry(0);
  proof.Expect(deployment.WaitUntilServing(0, milliseconds(5000)),
               "a VM started in an outage is not serving within 5 s");
  proof.Expect(is_in_force(3),
               "a replaced VM does not have version 3 in force");
  const std::string id = deployment.TakeId(kToken, 0);
  proof.Expect(IsCompleteAnswer(
                   SubmitUntilFinal(deployment, 0, id, TestJob(2, 50)), id, 2),
               "no complete answer during the outage");
  const auto keyed =
      deployment.Call(deployment.entry(0).callers,
                      {.method = "POST",
                       .target = "/v1/jobs",
                       .headers = {{"Authorization", "Bearer secret"},
                                   {"Idempotency-Key", "k1"}},
                       .body = TestJob(1, 10)},
                      milliseconds(8000));
  proof.Expect(
      keyed && keyed->status == 503,
      "a job with an idempotency key did not get 503 during the outage");
  proof.Finish();
}

// A data centre that can reach neither its peers nor the platform during the
// whole test must still serve its own callers.
TEST(ProcessGuarantees, partitioned_data_centre) {
  ProcessProof proof("whole_or_failed");
  Deployment deployment(StandardPlan());
  CHECK_TRUE(deployment.Start());
  deployment.SetFaults(json::object{{"cut", json::array{"rif"}}});
  deployment.entry(1).process->Signal(SIGSTOP);
  proof.Fault();
  Sleep(2500);
  LoadPlan plan = PlanLoad(deployment, 30, 5);
  plan.entries = {deployment.entry(0).callers};
  const LoadReport report = RunLoad(plan);
  deployment.entry(1).process->Signal(SIGCONT);
  proof.Expect(report.complete == report.jobs && report.jobs > 100,
               "not all jobs of the partitioned data centre were completed");
  proof.Expect(StartedOnceEach(deployment), "a task started twice");
  proof.Finish();
}

}  // namespace mustardbank
