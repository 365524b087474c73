#include "LibLeaseEntry/lease_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>

#include "LibFiber/fiber_errors.h"

namespace mustardbank {

namespace {

class MetricsWriter {
 public:
  void Count(const std::string& name,
             const std::string& help,
             std::uint64_t value,
             const prometheus::Labels& labels = {}) {
    prometheus::BuildCounter()
        .Name("mustardbank_" + name + "_total")
        .Help(help)
        .Register(registry_)
        .Add(labels)
        .Increment(static_cast<double>(value));
  }

  template <typename Enum, std::size_t N>
  void CountEach(const std::string& name,
                 const std::string& help,
                 const std::string& label,
                 const EnumNames<Enum, N>& names,
                 const std::array<std::uint64_t, N>& values) {
    for (std::size_t i = 0; i < N; ++i)
      Count(name, help, values[i], {{label, std::string(names.names[i])}});
  }

  void Gauge(const std::string& name,
             const std::string& help,
             double value,
             const prometheus::Labels& labels = {}) {
    prometheus::BuildGauge()
        .Name("mustardbank_" + name)
        .Help(help)
        .Register(registry_)
        .Add(labels)
        .Set(value);
  }

  void Histogram(const std::string& name,
                 const std::string& help,
                 const DurationHistogram& histogram) {
    const prometheus::Histogram::BucketBoundaries bounds(
        DurationHistogram::kBoundsSeconds.begin(),
        DurationHistogram::kBoundsSeconds.end());
    prometheus::BuildHistogram()
        .Name("mustardbank_" + name + "_seconds")
        .Help(help)
        .Register(registry_)
        .Add({}, bounds)
        .ObserveMultiple({histogram.buckets.begin(), histogram.buckets.end()},
                         histogram.sum_seconds);
  }

  std::string Text() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

 private:
  prometheus::Registry registry_;
};

void WriteOwner(MetricsWriter& writer, const LeaseControl& control, Time now) {
  const LeaseDispatcher& dispatcher = control.dispatcher();
  const OwnerLoad load = dispatcher.Load(now);
  writer.Gauge("workers_owned", "Workers that this VM orders",
               static_cast<double>(dispatcher.workers().size()));
  writer.Gauge("workers_unconfirmed",
               "Workers whose registration is too old to show their capacity",
               static_cast<double>(dispatcher.UnconfirmedWorkers(now)));
  writer.Gauge("workers_unregistered",
               "Workers that have restarted and whose registration is unknown",
               static_cast<double>(dispatcher.UnregisteredWorkers()));
  double least = 0;
  double greatest = 0;
  for (const auto& [id, worker] : dispatcher.workers()) {
    const double factor = dispatcher.speeds().SpeedOf(id).factor();
    least = least == 0 ? factor : std::min(least, factor);
    greatest = std::max(greatest, factor);
  }
  writer.Gauge("worker_factor_least",
               "Least run time factor of the workers owned", least);
  writer.Gauge("worker_factor_greatest",
               "Greatest run time factor of the workers owned", greatest);
  writer.Gauge("room_millicores", "Free room of the workers owned",
               static_cast<double>(load.free_millicores));
  writer.Gauge("jobs_queued", "Jobs with tasks that wait",
               static_cast<double>(dispatcher.queued_jobs()));
}

void WritePeers(MetricsWriter& writer, const LeaseControl& control, Time now) {
  double alive = 0;
  for (const auto& [name, peer] : control.ownership().peers())
    alive += control.ownership().IsAlive(peer, now) ? 1 : 0;
  writer.Gauge("peers_known", "Entry VMs in the platform's store",
               static_cast<double>(control.ownership().peers().size()));
  writer.Gauge("peers_alive", "Entry VMs that were heard lately", alive);
  writer.Gauge("owners_reachable", "VMs that a job can be sent to",
               static_cast<double>(control.Owners(now).size()));
  writer.Gauge("workers_list_age_seconds", "Age of the list of workers",
               ToMilliseconds(now - control.workers_read_at()) / 1000);
}

void WriteEvacuations(MetricsWriter& writer,
                      const LeaseControl& control,
                      Time now) {
  const Evacuations& evacuations = control.evacuations();
  const std::map<std::string, Time> in_force = evacuations.InForce();
  writer.Gauge("evacuated_data_centers",
               "Data centres whose workers get no new tasks",
               static_cast<double>(in_force.size()));
  for (const auto& [data_center, since] : in_force) {
    const prometheus::Labels labels{{"data_center", data_center}};
    writer.Gauge("evacuation_age_seconds",
                 "Time since this VM learned of the evacuation",
                 ToMilliseconds(now - since) / 1000, labels);
    writer.Gauge("evacuation_runs", "Runs of this owner that are still there",
                 static_cast<double>(control.RunsIn(data_center)), labels);
  }
  writer.Gauge("evacuation_unconfirmed_peers",
               "Entry VMs whose heartbeats lack an evacuation in force",
               static_cast<double>(control.UnconfirmedPeers()));
  writer.Gauge("starts_held",
               "1 while nothing starts until the operator's table is read",
               control.AwaitsOperatorTable() ? 1 : 0);
  writer.Count("evacuation_changes", "Evacuations requested or withdrawn",
               evacuations.changes());
  writer.Count("evacuations_dropped",
               "Evacuations left out, as too many or without a valid name",
               evacuations.dropped());
}

}  // namespace

std::string WriteLeaseMetrics(LeaseControl& control,
                              const JobService& jobs,
                              const CommandSender& commands,
                              const StoreLoop& store,
                              Time now) {
  MetricsWriter writer;
  const LeaseCounters& counters = control.dispatcher().counters();
  writer.CountEach("jobs", "Jobs ended by this owner", "outcome",
                   kJobOutcomeNames, counters.jobs);
  writer.CountEach("job_causes", "Jobs ended by this owner", "cause",
                   kJobCauseNames, counters.causes);
  for (const auto& [queue, count] : counters.over_share)
    writer.Count("over_share", "Jobs refused beyond the share of their queue",
                 count, {{"queue", queue}});
  writer.CountEach("starts", "Start orders by their answer", "answer",
                   kCommandAnswerNames, counters.starts);
  writer.CountEach("holds", "Holds by their answer", "answer",
                   kCommandAnswerNames, counters.renewals);
  writer.CountEach("runs_ended", "Runs by their end", "end", kRunEndNames,
                   counters.ends);
  writer.CountEach("workers_lost", "Workers lost while they had runs",
                   "evidence", kLossEvidenceNames, counters.workers_lost);
  writer.Count("runs_lost", "Runs lost with their worker", counters.runs_lost);
  writer.Count("starts_after_loss",
               "Starts of tasks under which a worker was lost",
               counters.starts_after_loss);
  writer.Count("capacities_unreadable",
               "Reports of workers with a capacity that can't be read",
               counters.unreadable_capacities);
  writer.Gauge("crash_records", "Crashes of workers remembered under tasks",
               static_cast<double>(control.dispatcher().crashes().size()));
  writer.Count("crash_causes", "Tasks found to crash their workers",
               control.dispatcher().crashes().causes());
  writer.Count("exclusive_starts",
               "Starts of suspected tasks, alone on a worker",
               counters.exclusive_starts);
  writer.Count("exclusive_starts_ended",
               "Of these, runs that ended without a crash",
               counters.exclusive_starts_ended);
  writer.Histogram("request", "Time to the answer of a caller",
                   jobs.counters().request_time);
  writer.Histogram("queue", "Time of a job until its first task starts",
                   counters.queue_time);
  writer.Histogram("task_run", "Time of a task from its order to its end",
                   counters.run_time);
  writer.Histogram("start", "Time until a start order is answered",
                   counters.start_time);
  writer.Count("stops", "Stop orders sent", counters.stops);
  writer.Count("stragglers", "Runs stopped for lack of progress",
               counters.stragglers);
  writer.CountEach("stragglers_by_kind", "Runs stopped as stragglers", "kind",
                   kStragglerKindNames, counters.straggler_kinds);
  writer.Count("late_starts", "Tasks started that are predicted to end late",
               counters.late_starts);
  writer.Count("worker_exclusions", "Workers left out after a failure",
               counters.exclusions);
  writer.Count("requests", "Requests of callers", jobs.counters().requests);
  writer.Count("requests_malformed", "Requests that can't be read",
               jobs.counters().malformed);
  writer.Count("forwards", "Jobs sent to owners on other VMs",
               jobs.counters().forwards);
  writer.Count("stale_requests",
               "Jobs of other VMs that may have been sent too long ago",
               jobs.counters().stale_requests);
  for (const auto& [status, count] : jobs.counters().answers)
    writer.Count("answers", "Answers to callers", count,
                 {{"status", std::to_string(status)}});
  writer.Count("worker_connections", "Connections opened to workers",
               commands.connections_opened());
  writer.Count("store_calls", "Calls to the platform's store", store.calls());
  writer.Count("unexpected_errors",
               "Exceptions that ended a request or a step of a loop",
               FiberErrors::count());
  writer.Count("log_lines_dropped", "Log lines beyond the budget",
               control.log().dropped());
  writer.Gauge("configuration_version", "Version of the configuration in force",
               static_cast<double>(control.configuration().version));
  WriteOwner(writer, control, now);
  WritePeers(writer, control, now);
  WriteEvacuations(writer, control, now);
  return writer.Text();
}

}  // namespace mustardbank
