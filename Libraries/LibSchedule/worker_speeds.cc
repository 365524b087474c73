#include "LibSchedule/worker_speeds.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace mustardbank {

namespace {

// Standard deviation of the logarithms of run times within a job.
constexpr double kSpreadWithinJob = 0.15;
// Share of what was learned that is kept with each run: a worker that changes
// is known again after some 40 runs, which take some seconds.
constexpr double kRetained = 0.95;
// An observation counts as at most this many standard deviations off.
constexpr double kMostDeviations = 3;
// Errors that averaging does not remove: tasks of a job share its size and
// neighbours.
constexpr double kLeastVariance = 0.03 * 0.03;
// Standard deviation of the speeds of workers of which nothing is known.
constexpr double kUnknownError = 0.35;
// The variance between workers counts beyond this multiple of what the errors
// explain, so that chance does not make alike workers differ.
constexpr double kChanceMargin = 1.5;
// A class of workers must differ from the others by this many standard errors,
// and have at least this many known workers on each side.
constexpr double kLeastClassScore = 3;
constexpr std::size_t kLeastClassWorkers = 3;
constexpr int kMostClasses = 2;
// Smaller differences don't matter for an objective of 1.6 times the run time,
// and are not told from chance.
constexpr double kLeastLogFactor = 0.1;

// Recalled classes: a factor beyond this one, some 20, is not believed.
constexpr double kMostLogFactor = 3;
// A recalled class counts as at least this uncertain, so that some ten runs of
// a worker overrule a wrong row.
constexpr double kLeastRecalledError = 0.1;
// Runs after which the observations here are better than the recalled ones.
constexpr std::uint32_t kRunsToForget = 500;

double LogMilliseconds(Duration duration) {
  return std::log(std::max(1.0, ToMilliseconds(duration)));
}

bool HasClass(const std::vector<std::string>& classes,
              const std::string& name) {
  return std::find(classes.begin(), classes.end(), name) != classes.end();
}

// A mean weighted by precision.
struct WeightedMean {
  double weight = 0;
  double weighted_sum = 0;
  std::size_t count = 0;

  void Add(double value, double value_weight) {
    weight += value_weight;
    weighted_sum += value_weight * value;
    ++count;
  }
  double mean() const { return weight > 0 ? weighted_sum / weight : 0; }
};

}  // namespace

bool ClassStatistics::IsPlausible() const {
  return std::abs(mean_log_factor) <= kMostLogFactor && deviation >= 0 &&
         deviation <= kMostLogFactor && workers >= kLeastClassWorkers;
}

double WorkerSpeed::factor() const {
  return std::exp(log_factor);
}

void JobDeviation::DidRun(double log_ratio, double variance) {
  precision_ += 1 / variance;
  weighted_sum_ += log_ratio / variance;
}

double WorkerSpeeds::Worker::variance() const {
  return kLeastVariance + 1 / precision;
}

void WorkerSpeeds::Add(const std::string& id, const WorkerTraits& traits) {
  const auto [it, is_new] = workers_.try_emplace(id);
  Worker& worker = it->second;
  if (!is_new && worker.traits.incarnation == traits.incarnation &&
      worker.traits.labels == traits.labels)
    return;  // a capacity that changes does not make it another kind
  worker = {.traits = traits, .classes = traits.labels};
  worker.classes.push_back(std::to_string(traits.millicores) + " millicores");
  worker.speed.error = kUnknownError;
  ApplyRecalled(worker);
  is_due_ = true;
}

void WorkerSpeeds::Remove(const std::string& id) {
  is_due_ = workers_.erase(id) > 0 || is_due_;
}

void WorkerSpeeds::Forget(const std::string& id) {
  const auto it = workers_.find(id);
  if (it == workers_.end())
    return;
  it->second.precision = 0;
  it->second.weighted_sum = 0;
  is_due_ = true;
}

WorkerSpeed WorkerSpeeds::SpeedOf(const std::string& id) const {
  const auto it = workers_.find(id);
  return it == workers_.end() ? WorkerSpeed{.error = kUnknownError}
                              : it->second.speed;
}

void WorkerSpeeds::DidRun(const std::string& id,
                          Duration expected,
                          Duration run_time,
                          JobDeviation& job) {
  const auto it = workers_.find(id);
  if (it == workers_.end())
    return;
  Worker& worker = it->second;
  const double log_ratio =
      LogMilliseconds(run_time) - LogMilliseconds(expected);
  const double noise = kSpreadWithinJob * kSpreadWithinJob;
  const double known_variance = worker.speed.error * worker.speed.error;
  const double variance = noise + job.variance();
  const double most = kMostDeviations * std::sqrt(variance + known_variance);
  const double surprise = log_ratio - job.mean() - worker.speed.log_factor;
  const double observed =
      worker.speed.log_factor + std::clamp(surprise, -most, most);
  worker.precision = kRetained * worker.precision + 1 / variance;
  worker.weighted_sum = kRetained * worker.weighted_sum + observed / variance;
  job.DidRun(log_ratio - worker.speed.log_factor, noise + known_variance);
  if (++runs_ == kRunsToForget)
    recalled_.clear();
  is_due_ = true;
}

LearnedClasses WorkerSpeeds::Learned() const {
  std::map<std::string, std::vector<double>> log_factors;
  for (const auto& [id, worker] : workers_) {
    if (worker.precision <= 0)
      continue;
    for (const std::string& name : worker.classes)
      log_factors[name].push_back(worker.speed.log_factor);
  }
  LearnedClasses classes;
  for (const auto& [name, values] : log_factors) {
    if (values.size() < kLeastClassWorkers)
      continue;
    const double count = static_cast<double>(values.size());
    const double mean =
        std::accumulate(values.begin(), values.end(), 0.0) / count;
    double squares = 0;
    for (const double value : values)
      squares += (value - mean) * (value - mean);
    const ClassStatistics statistics{
        .mean_log_factor = mean,
        .deviation = std::sqrt(squares / (count - 1)),
        .workers = static_cast<std::uint32_t>(values.size())};
    if (std::abs(mean) >= kLeastLogFactor &&
        statistics.deviation < kUnknownError && statistics.IsPlausible())
      classes[name] = statistics;
  }
  return classes;
}

void WorkerSpeeds::Recall(const LearnedClasses& classes) {
  if (runs_ >= kRunsToForget)
    return;
  for (const auto& [name, statistics] : classes) {
    if (!statistics.IsPlausible())
      continue;
    ClassStatistics& known = recalled_[name];
    if (known.workers <= statistics.workers)
      known = statistics;
  }
  for (auto& [id, worker] : workers_) {
    if (worker.precision <= 0)
      ApplyRecalled(worker);
  }
  is_due_ = true;
}

// Of several classes, the one whose workers resemble each other most says most.
void WorkerSpeeds::ApplyRecalled(Worker& worker) const {
  const ClassStatistics* best = nullptr;
  for (const std::string& name : worker.classes) {
    const auto it = recalled_.find(name);
    if (it != recalled_.end() &&
        (!best || it->second.deviation < best->deviation))
      best = &it->second;
  }
  if (!best)
    return;
  const double error = std::max(best->deviation, kLeastRecalledError);
  worker.precision = 1 / (error * error);
  worker.weighted_sum = best->mean_log_factor * worker.precision;
}

// The method of moments, less what chance explains.
double WorkerSpeeds::VarianceBetweenWorkers() const {
  WeightedMean mean;
  double squared_weights = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.precision <= 0)
      continue;
    const double weight = 1 / worker.variance();
    mean.Add(worker.mean() - worker.speed.log_factor, weight);
    squared_weights += weight * weight;
  }
  if (mean.count < 2)
    return kUnknownError * kUnknownError;
  double deviation = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.precision <= 0)
      continue;
    const double difference =
        worker.mean() - worker.speed.log_factor - mean.mean();
    deviation += difference * difference / worker.variance();
  }
  const double chance = kChanceMargin * static_cast<double>(mean.count - 1);
  return std::max(0.0, (deviation - chance) /
                           (mean.weight - squared_weights / mean.weight));
}

// Returns the label or capacity whose workers differ most from the others, or
// "". `speed.log_factor` holds what is explained so far.
std::string WorkerSpeeds::FindClass(double between) const {
  std::set<std::string> names;
  for (const auto& [id, worker] : workers_)
    names.insert(worker.classes.begin(), worker.classes.end());
  std::string best;
  double best_score = kLeastClassScore;
  for (const std::string& name : names) {
    WeightedMean inside;
    WeightedMean outside;
    for (const auto& [id, worker] : workers_) {
      if (worker.precision <= 0)
        continue;
      (HasClass(worker.classes, name) ? inside : outside)
          .Add(worker.mean() - worker.speed.log_factor,
               1 / (between + worker.variance()));
    }
    if (inside.count < kLeastClassWorkers || outside.count < kLeastClassWorkers)
      continue;
    const double score = std::abs(inside.mean() - outside.mean()) /
                         std::sqrt(1 / inside.weight + 1 / outside.weight);
    if (score > best_score) {
      best = name;
      best_score = score;
    }
  }
  return best;
}

void WorkerSpeeds::Fit() {
  if (!is_due_)
    return;
  is_due_ = false;
  // `log_factor` first takes the mean of all workers, then that of the classes
  // that explain most, and last the worker's own deviation.
  for (auto& [id, worker] : workers_)
    worker.speed.log_factor = 0;
  double between = VarianceBetweenWorkers();
  const auto explain = [&](const std::string& name, bool is_inside) {
    WeightedMean mean;
    const auto concerns = [&](const Worker& worker) {
      return name.empty() || HasClass(worker.classes, name) == is_inside;
    };
    for (const auto& [id, worker] : workers_) {
      if (worker.precision > 0 && concerns(worker))
        mean.Add(worker.mean() - worker.speed.log_factor,
                 1 / (between + worker.variance()));
    }
    for (auto& [id, worker] : workers_) {
      if (concerns(worker))
        worker.speed.log_factor += mean.mean();
    }
  };
  explain("", true);
  for (int i = 0; i < kMostClasses && between > 0; ++i) {
    const std::string name = FindClass(between);
    if (name.empty())
      break;
    explain(name, true);
    explain(name, false);
    between = VarianceBetweenWorkers();
  }
  double capacity = 0;
  double sum = 0;
  for (auto& [id, worker] : workers_) {
    double variance = between;
    if (worker.precision > 0) {
      const double weight = between / (between + worker.variance());
      worker.speed.log_factor +=
          weight * (worker.mean() - worker.speed.log_factor);
      variance = weight * worker.variance();
    }
    worker.speed.error = std::sqrt(variance + kLeastVariance);
    const double share = static_cast<double>(worker.traits.millicores);
    capacity += share;
    sum += share * worker.speed.log_factor;
  }
  const double anchor = capacity > 0 ? sum / capacity : 0;
  for (auto& [id, worker] : workers_) {
    worker.speed.log_factor -= anchor;
    if (std::abs(worker.speed.log_factor) < kLeastLogFactor)
      worker.speed.log_factor = 0;
  }
}

}  // namespace mustardbank
