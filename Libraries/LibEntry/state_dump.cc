#include "LibEntry/state_dump.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>

namespace json = boost::json;

namespace mustardbank {

namespace {

json::array DumpPeers(const DispatchState& state, Time now) {
  json::array peers;
  for (const auto& [endpoint, peer] : state.membership.peers()) {
    peers.push_back(json::object{
        {"name", peer.identity.name()},
        {"data_center", peer.identity.data_center()},
        {"endpoint", endpoint.ToString()},
        {"incarnation", peer.identity.incarnation()},
        {"live", state.membership.IsLive(peer, now)},
        {"leaving", peer.leaving},
        {"heard_ms_ago", peer.has_sent_message
                             ? json::value(static_cast<std::int64_t>(
                                   ToMilliseconds(now - peer.last_message_at)))
                             : json::value(nullptr)},
        {"configuration_version", peer.configuration_version},
    });
  }
  return peers;
}

json::array DumpWorkers(const DispatchState& state, Time now) {
  json::array workers;
  for (WorkerIndex i = 0; i < state.workers.size(); ++i) {
    const Worker& worker = state.workers[i];
    workers.push_back(json::object{
        {"name", worker.vm.name},
        {"data_center", worker.vm.data_center},
        {"state", kVmStateNames[worker.vm.state]},
        {"home", worker.home.ToString()},
        {"home_here", worker.is_home_here},
        {"slots", worker.vm.slots},
        {"running", worker.running},
        {"free", state.workers.FreeSlots(i, now)},
        {"lent", worker.lent_total},
        {"borrowed", worker.borrowed},
        {"taken_by_others", worker.foreign},
        {"on_trial", worker.on_trial},
        {"barred", worker.barred_until > now},
        {"slowness", worker.slowness},
    });
  }
  return workers;
}

json::array DumpTeams(const DispatchState& state) {
  json::array teams;
  for (const Team& team : state.teams.teams()) {
    teams.push_back(json::object{{"name", team.name},
                                 {"slots", team.slots},
                                 {"share", team.share},
                                 {"running", team.running},
                                 {"queued", team.queued}});
  }
  return teams;
}

json::array DumpQueues(const DispatchState& state) {
  json::array queues;
  for (const PlacementClass& entry : state.classes) {
    queues.push_back(json::object{
        {"places", json::array(entry.places.begin(), entry.places.end())},
        {"accelerator", entry.accelerator},
        {"queued", entry.queue.size()},
        {"queued_work_ms", ToMilliseconds(entry.queue.work())},
        {"allotted_slots", state.workers.AllottedInPools(entry.mask)},
        {"free_slots", state.workers.FreeInPools(entry.mask)},
    });
  }
  return queues;
}

json::object DumpCounters(const DispatchState& state) {
  json::object counters;
  for (std::size_t i = 0; i < kCounterNames.names.size(); ++i) {
    counters[kCounterNames.names[i]] = state.counters[static_cast<Counter>(i)];
  }
  counters["wasted"] = state.counters.wasted();
  return counters;
}

std::map<std::string, double> Gauges(const DispatchState& state, Time now) {
  std::size_t barred = 0;
  std::size_t live = 0;
  for (WorkerIndex i = 0; i < state.workers.size(); ++i) {
    barred += state.workers[i].barred_until > now ? 1 : 0;
    live += state.workers[i].vm.state == VmState::kLive ? 1 : 0;
  }
  return {
      {"jobs_unfinished", state.jobs.size()},
      {"tasks_queued", state.queued_tasks},
      {"tasks_in_flight", state.in_flight.size()},
      {"forwards_waiting", state.forwards.size()},
      {"answers_kept", state.record.answer_count()},
      {"answer_bytes", state.record.answer_bytes()},
      {"incarnations_inherited", state.inherited.size()},
      {"peers_live", state.membership.LiveCount(now) - 1},
      {"workers_live", live},
      {"workers_barred", barred},
      {"configuration_version", state.configuration.version},
      {"estate_version", state.inventory.version},
      {"serving", state.phase == Phase::kServing ? 1 : 0},
  };
}

}  // namespace

std::string DumpState(const DispatchState& state, Time now) {
  const wire::VmIdentity& self = state.membership.self();
  return json::serialize(json::object{
      {"name", self.name()},
      {"data_center", self.data_center()},
      {"peer_endpoint", state.endpoint().ToString()},
      {"incarnation", self.incarnation()},
      {"phase", kPhaseNames[state.phase]},
      {"configuration_version", state.configuration.version},
      {"estate_version", state.inventory.version},
      {"jobs_unfinished", state.jobs.size()},
      {"answers_kept", state.record.answer_count()},
      {"mean_run_time_ms", ToMilliseconds(state.run_times.mean())},
      {"counters", DumpCounters(state)},
      {"queues", DumpQueues(state)},
      {"teams", DumpTeams(state)},
      {"peers", DumpPeers(state, now)},
      {"workers", DumpWorkers(state, now)},
  });
}

std::string DumpMetrics(const DispatchState& state, Time now) {
  prometheus::Registry registry;
  for (std::size_t i = 0; i < kCounterNames.names.size(); ++i) {
    const std::string_view name = kCounterNames.names[i];
    constexpr std::string_view kWasted = "wasted_";
    const std::uint64_t value = state.counters[static_cast<Counter>(i)];
    if (name.starts_with(kWasted)) {
      prometheus::BuildCounter()
          .Name("mustardbank_wasted_messages_total")
          .Help("Messages beyond one start and one answer a task, by cause")
          .Register(registry)
          .Add({{"cause", std::string(name.substr(kWasted.size()))}})
          .Increment(static_cast<double>(value));
      continue;
    }
    prometheus::BuildCounter()
        .Name("mustardbank_" + std::string(name) + "_total")
        .Help("Count of " + std::string(name))
        .Register(registry)
        .Add({})
        .Increment(static_cast<double>(value));
  }
  for (const auto& [name, value] : Gauges(state, now)) {
    prometheus::BuildGauge()
        .Name("mustardbank_" + name)
        .Help("Present " + name)
        .Register(registry)
        .Add({})
        .Set(value);
  }
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}  // namespace mustardbank
