// Learns how long each worker takes for a run, relative to a reference worker.
//
// The logarithm of run time over expected time has a part of the job (0.4, and
// one job in 30 takes 7 times as long), a part of the worker and a small rest
// (0.15). The part of the job is estimated from its other runs, so that a long
// job does not make a worker look slow. The estimate of a worker is shrunk
// towards that of the workers with the same labels and capacity, and theirs
// towards all, by variance: where workers are alike, all factors are 1.
//
// The capacity-weighted mean of the logarithms is 0. Without this anchor, the
// run times of queues and the factors of workers could drift against each
// other.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibSchedule/learned_classes.h"

namespace mustardbank {

struct WorkerTraits {
  std::vector<std::string> labels;
  std::int64_t millicores = 0;
  std::uint64_t incarnation = 0;
};

struct WorkerSpeed {
  double log_factor = 0;  // run time relative to a reference worker
  double error = 0;       // standard deviation of `log_factor`

  double factor() const;
};

// How much longer the runs of one job take than expected, from those that have
// ended. A logarithm.
class JobDeviation {
 public:
  void DidRun(double log_ratio, double variance);

  double mean() const { return weighted_sum_ / precision_; }
  double variance() const { return 1 / precision_; }

 private:
  // Run times of jobs deviate from the expected ones by about 0.4, with a long
  // tail.
  double precision_ = 1 / (0.5 * 0.5);
  double weighted_sum_ = 0;
};

class WorkerSpeeds {
 public:
  // Adds a worker or updates its traits. A new incarnation is unknown.
  void Add(const std::string& worker, const WorkerTraits& traits);
  void Remove(const std::string& worker);
  // A new incarnation answers for the worker.
  void Forget(const std::string& worker);

  // An unknown worker has the speed of similar ones.
  WorkerSpeed SpeedOf(const std::string& worker) const;

  // A run has ended. `expected` is the time expected on a reference worker, and
  // `job` the deviation of the other ended runs of its job.
  void DidRun(const std::string& worker,
              Duration expected,
              Duration run_time,
              JobDeviation& job);

  // Derives the speeds from the runs since the last call.
  void Fit();

  // The classes whose workers resemble each other and differ from the rest.
  LearnedClasses Learned() const;
  // Takes over what another process learned. It counts for workers without
  // runs, and is forgotten once enough runs were seen here.
  void Recall(const LearnedClasses& classes);

 private:
  struct Worker {
    WorkerTraits traits;
    std::vector<std::string> classes;  // labels and capacity
    double precision = 0;              // of the observed mean
    double weighted_sum = 0;
    WorkerSpeed speed;

    double mean() const { return weighted_sum / precision; }
    double variance() const;
  };

  // Expects of a worker without runs what was recalled about its classes.
  void ApplyRecalled(Worker& worker) const;
  double VarianceBetweenWorkers() const;
  std::string FindClass(double between) const;

  std::map<std::string, Worker> workers_;
  LearnedClasses recalled_;
  std::uint32_t runs_ = 0;
  bool is_due_ = false;
};

}  // namespace mustardbank
