// The cases of the second review. usage: cases NAME FOLDER
// With TROUBLE=0 in the environment, a case plays without its disruption.
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <random>
#include <set>

#include "deployment.h"

namespace review {

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// Bounds of the small site.
constexpr std::int64_t kAckMs = 4000;
constexpr std::int64_t kCancelMs = 3000;
constexpr std::int64_t kStopTimeoutMs = 50;
constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kResendMs = 1300;

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::strcmp(trouble, "0") != 0;
}

int Fail(Deployment& deployment, const std::string& reason) {
  deployment.record().Write("the case can't run: " + reason);
  std::cerr << reason << '\n';
  return kCannotRun;
}

json::object Step(int count, int cpu, int estimate_ms) {
  return {{"count", count},
          {"cpu", cpu},
          {"memMb", 16},
          {"estimateMs", estimate_ms}};
}

// UNASKED: a job is cancelled after the route of its queue was removed.
int DroppedRoute(Deployment& deployment) {
  for (int i = 0; i < 4; ++i)
    deployment.AddWorker({.id = "i-" + std::to_string(i),
                          .zone = i % 2 == 0 ? "a" : "b",
                          .cpu = 4000});
  deployment.PutConfiguration(7, /*stretch=*/1.6, /*target_ms=*/60);
  deployment.AddEntry("edge-a", "a");
  deployment.AddEntry("edge-b", "b");
  if (!deployment.AwaitService(30'000))
    return Fail(deployment, "the entries don't serve");

  std::vector<Submission> jobs;
  for (int i = 0; i < 4; ++i)
    jobs.push_back(deployment.Submit(i % 2, "long", deployment.NewId(),
                                     {Step(1, 1000, 9000)}, "9000", 20'000));
  SleepMs(300);
  if (HasTrouble())
    deployment.PutConfiguration(11, 1.6, 60, {"warm", "jobs"});
  SleepMs(300);
  // Each client repeats its DELETE, at the VM that took its job, until it is
  // acknowledged or has waited for ackMs.
  const std::int64_t sent = NowMs();
  std::vector<bool> is_acknowledged(jobs.size());
  while (NowMs() < sent + kAckMs) {
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      if (is_acknowledged[i])
        continue;
      const Answer answer =
          deployment.Cancel(static_cast<int>(i % 2), "long", jobs[i].id);
      is_acknowledged[i] = answer.status == 200 || answer.status == 410;
    }
    SleepMs(500);
  }
  for (Submission& job : jobs)
    job.Wait();
  SleepMs(200);
  int broken = 0;
  for (const Start& start : deployment.starts().All()) {
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      if (start.task.rfind(jobs[i].id, 0) != 0)
        continue;
      const std::int64_t until =
          (start.ended < 0 ? NowMs() : start.ended) - sent;
      const bool breaks =
          until > (is_acknowledged[i] ? 0 : kAckMs) + kCancelMs + kStopTimeoutMs;
      broken += breaks ? 1 : 0;
      deployment.record().Write(std::string(breaks ? "BROKEN" : "allowed") +
                                ": " + start.task + " ran until " +
                                std::to_string(until) +
                                " ms after the first DELETE, which was " +
                                (is_acknowledged[i] ? "" : "not ") +
                                "acknowledged");
    }
  }
  return broken > 0 ? kBroken : kHeld;
}

// TWICE: clients leave and send their jobs again, while half of the orders to
// workers get no answer and are carried out late.
int UnansweredStops(Deployment& deployment) {
  const std::vector<std::string> zones{"a", "b", "c"};
  std::vector<std::string> ids;
  for (int i = 0; i < 48; ++i) {
    ids.push_back("i-" + std::to_string(i));
    deployment.AddWorker({.id = ids.back(), .zone = zones[i % 3], .cpu = 64'000});
  }
  deployment.PutConfiguration(7, /*stretch=*/1.6, /*target_ms=*/60);
  for (const std::string& zone : zones)
    deployment.AddEntry("edge-" + zone, zone);
  if (!deployment.AwaitService(30'000))
    return Fail(deployment, "the entries don't serve");

  std::atomic<bool> is_over{false};
  std::atomic<int> clients{0};
  std::thread traffic([&] {
    std::mt19937 random(7);
    while (!is_over) {
      ++clients;
      const int entry = static_cast<int>(random() % 3);
      const int other = (entry + 1 + static_cast<int>(random() % 2)) % 3;
      const bool leaves = random() % 10 < 4;
      std::thread([&deployment, &clients, entry, other, leaves] {
        const std::string id = deployment.NewId();
        const json::array steps{Step(16, 1000, 2000)};
        if (leaves) {
          deployment.Submit(entry, "long", id, steps, "2000", 4000, 200).Wait();
          // PROTOCOL: after no response, the job is sent again resendMs later,
          // to any daemon.
          SleepMs(kResendMs);
          deployment.Submit(other, "long", id, steps, "2000", 4000).Wait();
        } else {
          deployment.Submit(entry, "long", id, steps, "2000", 4000).Wait();
        }
        --clients;
      }).detach();
      SleepMs(16);
    }
  });
  SleepMs(2000);
  for (int round = 0; round < 10; ++round) {
    deployment.record().Write("half of the orders to workers are late");
    for (const std::string& id : ids)
      deployment.worker(id).late_share = HasTrouble() ? 0.5 : 0;
    SleepMs(5500);
    for (const std::string& id : ids)
      deployment.worker(id).late_share = 0;
    deployment.record().Write("all orders are answered again");
    SleepMs(1500);
  }
  is_over = true;
  traffic.join();
  while (clients > 0)
    SleepMs(20);
  SleepMs(1500);
  std::map<std::string, std::vector<Start>> runs;
  for (Start& start : deployment.starts().All()) {
    if (start.ended < 0)
      start.ended = NowMs();
    runs[start.task].push_back(start);
  }
  int broken = 0;
  for (const auto& [task, starts] : runs) {
    for (std::size_t i = 0; i < starts.size(); ++i) {
      for (std::size_t k = i + 1; k < starts.size(); ++k) {
        const Start& one = starts[i];
        const Start& two = starts[k];
        // The runs end within 2 ms of the time at which they must.
        if (two.began + 5 >= one.ended || one.began + 5 >= two.ended)
          continue;
        ++broken;
        deployment.record().Write(
            "BROKEN: " + task + " ran on " + one.worker + " from " +
            std::to_string(one.began) + " to " + std::to_string(one.ended) +
            " ms and on " + two.worker + " from " + std::to_string(two.began) +
            " to " + std::to_string(two.ended) + " ms");
      }
    }
  }
  return broken > 0 ? kBroken : kHeld;
}

// DRAIN: the VM that reads the list of workers freezes while the store's answer
// is on its way.
int FrozenReader(Deployment& deployment) {
  for (int i = 0; i < 30; ++i) {
    char id[8];
    std::snprintf(id, sizeof id, "i-%02d", i);
    // The tasks fit best on the first two, the ones that drain later.
    deployment.AddWorker({.id = id, .zone = "a", .cpu = i < 2 ? 1000 : 2000});
  }
  deployment.PutConfiguration(7, /*stretch=*/1.6, /*target_ms=*/60);
  // With these names, the first entry and one other claim a shard each.
  for (const char* name : {"xedge-1", "xedge-2", "xedge-3"})
    deployment.AddEntry(name, "a");
  if (!deployment.AwaitService(30'000))
    return Fail(deployment, "the entries don't serve");

  std::atomic<bool> is_over{false};
  std::thread traffic([&] {
    std::vector<Submission> jobs;
    while (!is_over) {
      jobs.push_back(deployment.Submit(1 + static_cast<int>(jobs.size() % 2),
                                       "jobs", deployment.NewId(),
                                       {Step(1, 1000, 40)}, "40", 1500));
      SleepMs(15);
    }
    for (Submission& job : jobs)
      job.Wait();
  });
  SleepMs(3000);
  const pid_t reader = deployment.entry(0).pid;
  std::atomic<bool> is_armed{HasTrouble()};
  std::atomic<bool> is_frozen{false};
  deployment.store().before_worker_list = [&](int entry) {
    if (entry != 0 || !is_armed.exchange(false))
      return;
    ::kill(reader, SIGSTOP);
    is_frozen = true;
    deployment.record().Write(
        "xedge-1 freezes as the answer to its read of the workers is on its "
        "way");
  };
  if (HasTrouble()) {
    const std::int64_t end = NowMs() + 4000;
    while (!is_frozen && NowMs() < end)
      SleepMs(1);
    if (!is_frozen) {
      is_over = true;
      traffic.join();
      return Fail(deployment, "xedge-1 does not read the list of workers");
    }
    SleepMs(20);
  }
  std::map<std::string, std::int64_t> drains;
  for (const std::string id : {"i-00", "i-01"})
    drains[id] = deployment.worker(id).Drain();
  SleepMs(3000);
  if (HasTrouble()) {
    ::kill(reader, SIGCONT);
    deployment.record().Write("xedge-1 wakes");
  }
  SleepMs(4000);
  is_over = true;
  traffic.join();
  int broken = 0;
  for (const Start& start : deployment.starts().All()) {
    const auto drain = drains.find(start.worker);
    if (drain == drains.end() || start.began <= drain->second + kDrainMs)
      continue;
    ++broken;
    deployment.record().Write(
        "BROKEN: " + start.task + " began on " + start.worker + " " +
        std::to_string(start.began - drain->second) +
        " ms after the store had accepted that it drains");
  }
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  using namespace review;
  const std::map<std::string, int (*)(Deployment&)> cases{
      {"dropped-route", DroppedRoute},
      {"unanswered-stops", UnansweredStops},
      {"frozen-reader", FrozenReader}};
  if (argc != 3 || !cases.contains(argv[1])) {
    std::cerr << "usage: cases NAME FOLDER\n";
    return 2;
  }
  // Ends in any case, and the entries with it.
  ::alarm(115);
  Deployment deployment(argv[2]);
  const int result = cases.at(argv[1])(deployment);
  deployment.Finish();
  std::_Exit(result);
}
