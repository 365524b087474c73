// Jobs for tests.
#pragma once

#include <string>

#include "LibSchedule/job.h"

namespace mustardbank {

struct TestJobOptions {
  std::uint32_t tasks = 1;
  std::int64_t millicores = 27'000;
  Duration run_time = std::chrono::milliseconds(100);
  Duration longest_wait = std::chrono::milliseconds(2000);
  std::uint32_t attempts = 2;
  double stretch = 1.6;
  Duration target = std::chrono::milliseconds(60);
};

inline JobRequest MakeJob(const std::string& id,
                          Time now,
                          const TestJobOptions& options = {}) {
  return {
      .id = id,
      .payload = "payload of " + id,
      .groups = {{.count = options.tasks,
                  .each = {.millicores = options.millicores, .memory_mb = 64},
                  .declared_run_time = options.run_time}},
      .policy = {.name = "queue",
                 .service = "guide",
                 .attempts = options.attempts,
                 .stretch = options.stretch,
                 .target_latency = options.target},
      .arrived = now,
      .deadline = now + options.longest_wait,
      .home = "home"};
}

}  // namespace mustardbank
