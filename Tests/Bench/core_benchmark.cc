#include "core_benchmark.h"

#include <deque>
#include <string>

#include "LibDispatch/dispatcher.h"

namespace mustardbank {

namespace {

constexpr std::uint32_t kTasksPerJob = 8;

Configuration MakeConfiguration(std::size_t teams) {
  Configuration configuration;
  configuration.version = 1;
  ServiceConfiguration service{.name = "service",
                               .places = {"dc0", "dc1", "dc2", "dc3"},
                               .delay_tolerance_ms = 60'000,
                               .delay_tolerance_permille = 1'000'000};
  service.requests["request"] =
      RequestKind{.name = "request", .declared_ms = 200, .timeout_ms = 5'000};
  for (std::size_t i = 0; i < teams; ++i) {
    const std::string name = "team-" + std::to_string(i);
    service.teams.push_back(name);
    configuration.teams[name] = TeamConfiguration{
        .name = name, .token_sha256 = {name}, .slots = 1'000'000};
  }
  configuration.services["service"] = std::move(service);
  return configuration;
}

Inventory MakeInventory(std::size_t workers) {
  Inventory inventory;
  inventory.version = 1;
  for (std::size_t i = 0; i < workers; ++i) {
    VmRecord vm{
        .name = "worker-" + std::to_string(i),
        .data_center = "dc" + std::to_string(i % 4),
        .rack = "-",
        .endpoint = {.ip = static_cast<std::uint32_t>(i + 1), .port = 80}};
    inventory.vms[vm.name] = vm;
  }
  return inventory;
}

// A dispatcher without peers, on a simulated clock.
class DispatcherBenchmark {
 public:
  DispatcherBenchmark(std::size_t workers, std::size_t teams)
      : dispatcher_(Options()) {
    dispatcher_.Handle(
        ConfigurationRead{.configuration = MakeConfiguration(teams)}, now_);
    dispatcher_.Handle(InventoryRead{.changes = MakeInventory(workers)}, now_);
    for (int i = 0; i < 200; ++i)
      Step();
  }

  void Submit() {
    SubmitJob job{.from = {.request = ++sequence_}, .token_sha256 = "team-0"};
    job.job_id = dispatcher_.state().ids.Encode(
        JobId{.home = dispatcher_.state().endpoint(),
              .incarnation = dispatcher_.state().incarnation(),
              .sequence = sequence_},
        "team-0");
    job.job.set_service("service");
    for (std::uint32_t i = 0; i < kTasksPerJob; ++i)
      job.job.add_tasks()->set_request("request");
    job.wait = std::chrono::seconds(60);
    dispatcher_.Handle(std::move(job), now_);
  }

  void EndOldestTask() {
    const StartTask task = std::move(running_.front());
    running_.pop_front();
    dispatcher_.Handle(AttemptEnded{.sent = task.attempt,
                                    .answered = task.attempt,
                                    .result = AttemptResult::kSucceeded,
                                    .worker = task.worker,
                                    .body = "{}",
                                    .run_time = std::chrono::milliseconds(200)},
                       now_);
  }

  void Step() {
    now_ += std::chrono::milliseconds(10);
    dispatcher_.Tick(ClockReading{
        .boot = now_,
        .wall = std::chrono::duration_cast<std::chrono::milliseconds>(
            now_.time_since_epoch())});
    for (Action& action : dispatcher_.TakeActions()) {
      if (auto* start = std::get_if<StartTask>(&action))
        running_.push_back(std::move(*start));
    }
  }

  std::size_t running() const { return running_.size(); }
  std::uint64_t events() const {
    return dispatcher_.state().counters[Counter::kEvents];
  }

 private:
  static DispatchOptions Options() {
    DispatchOptions options;
    options.self.set_name("vm");
    options.self.set_data_center("dc0");
    options.self.set_ip(1);
    options.self.set_port(1);
    options.self.set_incarnation(1);
    options.job_id_key = "0123456789abcdef";
    options.limits.answers_kept = 1'000;
    return options;
  }

  Dispatcher<HomeLendingPlacement> dispatcher_;
  Time now_{std::chrono::seconds(1000)};
  std::uint64_t sequence_ = 0;
  std::deque<StartTask> running_;
};

}  // namespace

double MeasureEventsPerSecond(std::size_t workers, std::size_t jobs) {
  constexpr std::size_t kJobsPerStep = 8;
  DispatcherBenchmark benchmark(workers, 1);
  const std::size_t half_of_slots = workers * 8 / 2;
  while (benchmark.running() + kJobsPerStep * kTasksPerJob < half_of_slots) {
    benchmark.Submit();
    benchmark.Step();
  }
  const std::uint64_t events_before = benchmark.events();
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < jobs / kJobsPerStep; ++i) {
    for (std::size_t k = 0; k < kJobsPerStep; ++k)
      benchmark.Submit();
    benchmark.Step();
    for (std::size_t k = 0; k < kJobsPerStep * kTasksPerJob; ++k)
      benchmark.EndOldestTask();
    benchmark.Step();
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  return static_cast<double>(benchmark.events() - events_before) /
         elapsed.count();
}

std::size_t MeasureHeartbeatBytes(std::size_t teams) {
  wire::Envelope envelope;
  envelope.mutable_sender()->set_name("entry-tanger-3");
  envelope.mutable_sender()->set_data_center("tanger");
  envelope.mutable_sender()->set_ip(1);
  envelope.mutable_sender()->set_port(7000);
  envelope.mutable_sender()->set_incarnation(1);
  wire::Heartbeat* heartbeat = envelope.mutable_heartbeat();
  heartbeat->set_configuration_version(1'000'000);
  heartbeat->set_estate_version(1'000'000);
  for (int i = 0; i < 2; ++i) {
    wire::FreeSlots* free = heartbeat->add_free();
    free->set_data_center("tanger");
    free->set_slots(1'000);
  }
  for (std::size_t i = 0; i < teams; ++i) {
    wire::TeamDemand* demand = heartbeat->add_demand();
    demand->set_team("team-" + std::to_string(i));
    demand->set_tasks(500);
  }
  return envelope.ByteSizeLong();
}

}  // namespace mustardbank
