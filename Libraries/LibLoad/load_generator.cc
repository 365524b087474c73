#include "LibLoad/load_generator.h"

#include <algorithm>
#include <atomic>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cmath>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include "LibFiber/fiber_pool.h"
#include "LibFiber/fiber_thread.h"
#include "LibHttp/connection_pool.h"

namespace json = boost::json;

namespace mustardbank {

namespace {

using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;

constexpr std::size_t kIdsPerFetch = 50;
constexpr std::chrono::milliseconds kMinRetryDelay{20};
constexpr std::chrono::milliseconds kMaxRetryDelay{1000};
constexpr ConnectionPool::Limits kPoolLimits{
    .idle = 512,
    .connect_timeout = std::chrono::milliseconds(500)};
constexpr std::chrono::milliseconds kPollInterval{20};

double MillisecondsSince(SteadyTime start) {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - start)
      .count();
}

// A randomly generated job.
struct GeneratedJob {
  SteadyTime intended_start;
  bool is_measured = false;
  bool is_cancelled = false;
  std::size_t entry = 0;
  std::uint32_t tasks = 0;
  double longest_ms = 0;  // run time of the longest task
  std::string body;
};

// Generates jobs and arrival times from a seeded random generator.
class JobGenerator {
 public:
  explicit JobGenerator(const LoadPlan& plan)
      : plan_(plan),
        random_(plan.seed),
        interarrival_time_(plan.jobs_per_second) {
    std::vector<double> request_weights;
    for (const LoadRequest& request : plan.mix)
      request_weights.push_back(request.weight);
    pick_request_ = {request_weights.begin(), request_weights.end()};
    std::vector<double> size_weights;
    for (const LoadJobSize& size : plan.job_sizes)
      size_weights.push_back(size.weight);
    pick_size_ = {size_weights.begin(), size_weights.end()};
  }

  // Returns the time of the next arrival, in seconds from the start.
  double NextArrival() { return arrival_ += interarrival_time_(random_); }

  GeneratedJob GenerateJob() {
    GeneratedJob job;
    job.entry = random_() % plan_.entries.size();
    job.is_cancelled =
        std::bernoulli_distribution(plan_.cancel_fraction)(random_);
    job.tasks = plan_.job_sizes[pick_size_(random_)].tasks;
    json::array tasks;
    for (std::uint32_t i = 0; i < job.tasks; ++i) {
      const LoadRequest& request = plan_.mix[pick_request_(random_)];
      const double run_ms = SampleRunTime(request);
      job.longest_ms = std::max(job.longest_ms, run_ms);
      json::object task{{"request", request.request},
                        {"payload", {{"run_ms", run_ms}, {"tag", i}}}};
      const auto declared =
          static_cast<std::int64_t>(run_ms * request.declared_factor);
      if (declared > 0)
        task["declared_ms"] = declared;
      tasks.push_back(std::move(task));
    }
    job.body = json::serialize(
        json::object{{"service", plan_.service}, {"tasks", std::move(tasks)}});
    return job;
  }

 private:
  double SampleRunTime(const LoadRequest& request) {
    double run_ms = request.mean_ms;
    switch (request.shape) {
      case RunTimeShape::kConstant:
        break;
      case RunTimeShape::kUniform:
        run_ms = std::uniform_real_distribution<double>(
            0, 2 * request.mean_ms)(random_);
        break;
      case RunTimeShape::kLognormal: {
        // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
        const double mu =
            std::log(request.mean_ms) - request.sigma * request.sigma / 2;
        run_ms =
            std::lognormal_distribution<double>(mu, request.sigma)(random_);
        break;
      }
    }
    return std::clamp(run_ms, request.least_ms, request.most_ms);
  }

  const LoadPlan& plan_;
  std::mt19937_64 random_;
  std::exponential_distribution<double> interarrival_time_;
  std::discrete_distribution<std::size_t> pick_request_;
  std::discrete_distribution<std::size_t> pick_size_;
  double arrival_ = 0;
};

// State shared by the threads of a run.
struct RunState {
  std::mutex mutex;
  LoadReport report;
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> ended{0};
};

// Simulates the callers of one thread, with one fiber for each job.
class CallerThread {
 public:
  CallerThread(const LoadPlan& plan, RunState& state)
      : plan_(plan),
        state_(state),
        pool_(thread_.io(), kPoolLimits),
        ids_(plan.entries.size()) {}

  void Send(GeneratedJob job) {
    thread_.Post([this, job = std::move(job)]() mutable {
      fibers_.Run([this, job = std::move(job)] { RunJob(job); });
    });
  }

 private:
  enum class Ending { kComplete, kFailed, kRefused, kCancelled, kUnanswered };

  struct Outcome {
    Ending ending = Ending::kUnanswered;
    bool is_wrong = false;
    std::string problem;
    std::uint64_t resubmissions = 0;
  };

  std::optional<HttpResponse> Exchange(std::size_t entry,
                                       HttpRequest request,
                                       std::chrono::milliseconds timeout) {
    request.headers.emplace_back("Authorization", "Bearer " + plan_.token);
    HttpResult<HttpResponse> response =
        pool_.Exchange(plan_.entries[entry], request, timeout);
    if (!response)
      return std::nullopt;
    return std::move(*response);
  }

  // Takes a prefetched job id, or fetches more if none is left. Returns "" if
  // that fails.
  std::string TakeId(std::size_t entry) {
    std::vector<std::string>& ids = ids_[entry];
    if (ids.empty()) {
      const auto response = Exchange(
          entry,
          HttpRequest{
              .method = "POST",
              .target = "/v1/job-ids",
              .body = json::serialize(json::object{{"count", kIdsPerFetch}})},
          std::chrono::milliseconds(1000));
      if (!response || response->status != 200)
        return "";
      json::error_code error;
      const json::value body = json::parse(response->body, error);
      if (error)
        return "";
      for (const json::value& id : body.at("ids").as_array())
        ids.emplace_back(id.as_string());
    }
    if (ids.empty())
      return "";
    std::string id = std::move(ids.back());
    ids.pop_back();
    return id;
  }

  static std::string StringMember(const json::value& body,
                                  std::string_view name) {
    const json::object* object = body.if_object();
    const json::value* value = object ? object->if_contains(name) : nullptr;
    return value && value->is_string() ? std::string(value->get_string()) : "";
  }

  // Whether the answer contains all results of this job, in order, and no
  // result of another job.
  static bool IsCompleteAnswer(const json::value& body,
                               const std::string& id,
                               std::uint32_t tasks) {
    const json::value* results = body.as_object().if_contains("results");
    if (StringMember(body, "job") != id || !results || !results->is_array() ||
        results->get_array().size() != tasks) {
      return false;
    }
    std::uint32_t index = 0;
    for (const json::value& result : results->get_array()) {
      const json::object* object = result.if_object();
      const json::value* echo = object ? object->if_contains("echo") : nullptr;
      if (StringMember(result, "job") != id || !echo || !echo->is_number() ||
          echo->to_number<std::uint32_t>() != index) {
        return false;
      }
      ++index;
    }
    return true;
  }

  // Sleeps for the time that the response asks for, at most until the deadline.
  void WaitBeforeRetry(const json::value& body, SteadyTime deadline) {
    std::chrono::milliseconds delay = kMinRetryDelay;
    const json::object* object = body.if_object();
    const json::value* retry =
        object ? object->if_contains("retry_after_ms") : nullptr;
    if (retry && retry->is_int64())
      delay = std::chrono::milliseconds(retry->get_int64());
    delay = std::clamp(delay, kMinRetryDelay, kMaxRetryDelay);
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - SteadyClock::now());
    SleepFiber(
        std::max(std::chrono::milliseconds(0), std::min(delay, remaining)));
  }

  // Submits the job, and again as long as the response is missing or not final.
  Outcome Submit(const GeneratedJob& job, SteadyTime deadline) {
    Outcome outcome;
    std::size_t entry = job.entry;
    std::string id;
    bool is_sent = false;
    while (SteadyClock::now() < deadline) {
      if (id.empty())
        id = TakeId(entry);
      if (id.empty()) {
        entry = (entry + 1) % plan_.entries.size();
        SleepFiber(kMinRetryDelay);
        continue;
      }
      outcome.resubmissions += is_sent ? 1 : 0;
      is_sent = true;
      const auto remaining =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              deadline - SteadyClock::now());
      const auto response =
          Exchange(entry,
                   HttpRequest{.method = "POST",
                               .target = "/v1/jobs/" + id + "?wait=60",
                               .body = job.body},
                   std::max(remaining, kMinRetryDelay));
      if (!response) {
        entry = (entry + 1) % plan_.entries.size();
        SleepFiber(kMinRetryDelay);
        continue;
      }
      json::error_code error;
      const json::value body = json::parse(response->body, error);
      if (error || !body.is_object()) {
        outcome.is_wrong = true;
        return outcome;
      }
      if (response->status == 200) {
        outcome.ending = Ending::kComplete;
        outcome.is_wrong = !IsCompleteAnswer(body, id, job.tasks);
        return outcome;
      }
      outcome.problem = StringMember(body, "type");
      if (outcome.problem == "urn:mustardbank:problem:issuer-left") {
        id.clear();
        ids_[job.entry].clear();
        entry = (entry + 1) % plan_.entries.size();
        continue;
      }
      if (outcome.problem == "urn:mustardbank:problem:overloaded") {
        outcome.ending = Ending::kRefused;
        return outcome;
      }
      if (response->status != 503 && response->status != 202) {
        outcome.ending = outcome.problem == "urn:mustardbank:problem:cancelled"
                             ? Ending::kCancelled
                             : Ending::kFailed;
        return outcome;
      }
      if (response->status == 503)
        entry = (entry + 1) % plan_.entries.size();
      WaitBeforeRetry(body, deadline);
    }
    return outcome;
  }

  void RunJob(const GeneratedJob& job) {
    const SteadyTime deadline =
        job.intended_start +
        std::chrono::milliseconds(
            static_cast<std::int64_t>(plan_.deadline_s * 1000));
    const Outcome outcome =
        job.is_cancelled ? SubmitAndCancel(job) : Submit(job, deadline);
    const double response_ms =
        MillisecondsSince(job.intended_start) + 2 * plan_.client_latency_ms;
    Record(job, outcome, response_ms);
    ++state_.ended;
  }

  // Submits without waiting for the answer, and cancels after half the run time
  // of the longest task.
  Outcome SubmitAndCancel(const GeneratedJob& job) {
    Outcome outcome;
    const std::string id = TakeId(job.entry);
    if (id.empty())
      return outcome;
    Exchange(
        job.entry,
        HttpRequest{
            .method = "POST", .target = "/v1/jobs/" + id, .body = job.body},
        std::chrono::milliseconds(2000));
    SleepFiber(std::chrono::milliseconds(
        static_cast<std::int64_t>(job.longest_ms / 2)));
    const auto response = Exchange(
        job.entry, HttpRequest{.method = "DELETE", .target = "/v1/jobs/" + id},
        std::chrono::milliseconds(2000));
    if (response)
      outcome.ending = Ending::kCancelled;
    return outcome;
  }

  void Record(const GeneratedJob& job,
              const Outcome& outcome,
              double response_ms) {
    if (!job.is_measured)
      return;
    const std::lock_guard lock(state_.mutex);
    LoadReport& report = state_.report;
    ++report.jobs;
    report.tasks += job.tasks;
    report.wrong += outcome.is_wrong ? 1 : 0;
    report.resubmissions += outcome.resubmissions;
    if (outcome.ending != Ending::kComplete && !outcome.problem.empty())
      ++report.problems[outcome.problem];
    switch (outcome.ending) {
      case Ending::kComplete: {
        ++report.complete;
        const double ideal_ms = job.longest_ms + 2 * plan_.client_latency_ms;
        report.response_over_ideal.Add(response_ms / std::max(0.1, ideal_ms));
        report.response_ms.Add(response_ms);
        break;
      }
      case Ending::kFailed:
        ++report.failed;
        break;
      case Ending::kRefused:
        ++report.refused;
        report.refusal_ms.Add(response_ms);
        break;
      case Ending::kCancelled:
        ++report.cancelled;
        break;
      case Ending::kUnanswered:
        ++report.unanswered;
        break;
    }
  }

  const LoadPlan& plan_;
  RunState& state_;
  FiberThread thread_;
  FiberPool fibers_;
  ConnectionPool pool_;
  std::vector<std::vector<std::string>> ids_;
};

struct LoadRun {
  explicit LoadRun(const LoadPlan& given) : plan(given) {
    for (std::uint32_t i = 0; i < plan.threads; ++i)
      threads.push_back(std::make_unique<CallerThread>(plan, state));
  }

  const LoadPlan plan;
  RunState state;
  std::vector<std::unique_ptr<CallerThread>> threads;
};

}  // namespace

LoadReport RunLoad(
    const LoadPlan& plan,
    const std::function<void(const LoadProgress&)>& did_progress) {
  // The fibers of a run outlive it, so the state that they use is kept until
  // the process ends.
  static std::vector<std::unique_ptr<LoadRun>> runs;
  runs.push_back(std::make_unique<LoadRun>(plan));
  LoadRun& run = *runs.back();
  RunState* const state = &run.state;
  JobGenerator generator(run.plan);
  const SteadyTime start = SteadyClock::now();
  double next_progress = 1;
  const auto report_progress = [&] {
    const double seconds = MillisecondsSince(start) / 1000;
    if (!did_progress || seconds < next_progress)
      return;
    next_progress = seconds + 1;
    did_progress(LoadProgress{
        .seconds = seconds, .sent = state->sent, .ended = state->ended});
  };
  double arrival = generator.NextArrival();
  for (std::size_t i = 0; arrival < plan.duration_s;
       ++i, arrival = generator.NextArrival()) {
    GeneratedJob job = generator.GenerateJob();
    job.intended_start =
        start + std::chrono::duration_cast<SteadyClock::duration>(
                    std::chrono::duration<double>(arrival));
    job.is_measured = arrival >= plan.warmup_s;
    std::this_thread::sleep_until(job.intended_start);
    ++state->sent;
    run.threads[i % run.threads.size()]->Send(std::move(job));
    report_progress();
  }
  while (state->ended < state->sent) {
    std::this_thread::sleep_for(kPollInterval);
    report_progress();
  }
  state->report.seconds = MillisecondsSince(start) / 1000;
  return std::move(state->report);
}

}  // namespace mustardbank
