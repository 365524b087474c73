// All tables of one entry VM's decision core, and the operations that several
// of its systems share.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibConfig/configuration.h"
#include "LibConfig/inventory.h"
#include "LibConfig/settings.h"
#include "LibCore/job_id.h"
#include "LibDispatch/counters.h"
#include "LibDispatch/events.h"
#include "LibDispatch/fair_queue.h"
#include "LibDispatch/incarnation_record.h"
#include "LibDispatch/job_table.h"
#include "LibDispatch/key_binder.h"
#include "LibDispatch/membership.h"
#include "LibDispatch/placement.h"
#include "LibDispatch/problem.h"
#include "LibDispatch/run_time_model.h"
#include "LibDispatch/team_table.h"
#include "LibDispatch/timer_queue.h"
#include "LibDispatch/worker_table.h"

namespace mustardbank {

struct DispatchOptions {
  wire::VmIdentity self;
  std::string job_id_key;
  std::vector<Endpoint> peer_seeds;
  Limits limits;
  Timing timing;
  std::uint64_t seed = 1;
};

// Services that may use the same workers. They share one queue.
struct PlacementClass {
  std::vector<std::string> places;
  bool accelerator = false;
  PoolMask mask = 0;
  FairQueue queue;
  Time next_borrow;
};

struct InFlightAttempt {
  TeamIndex team = 0;
  WorkerIndex worker = 0;
  std::string service;
  std::string request;
  Duration expected{0};
};

struct AttemptIdHash {
  std::size_t operator()(const AttemptId& id) const {
    std::uint64_t mixed = (id.sequence * 0x9E3779B97F4A7C15ULL) ^
                          (std::uint64_t{id.task} << 32 | id.attempt);
    mixed *= 0xBF58476D1CE4E5B9ULL;
    return mixed ^ (mixed >> 29);
  }
};

// A caller's request that was forwarded to the home of its job (the entry VM
// that keeps the job's state) and awaits the reply.
struct Forward {
  Requester from;
  Endpoint peer;
  std::string job_id;
  std::optional<KeyBinding> key;  // set if the job id was found by a key
};

enum class Phase { kJoining, kServing, kDraining, kHandingOver, kLeft };
inline constexpr EnumNames<Phase, 5> kPhaseNames{
    {"joining", "serving", "draining", "handing_over", "left"}};

struct DispatchState {
  DispatchState(DispatchOptions options,
                bool lends_slots,
                WorkerTable::AcceptsWork accepts_work);

  DispatchOptions options;
  JobIdCodec ids;
  RandomEngine random;

  Phase phase = Phase::kJoining;
  std::optional<Time> started_at;
  Membership membership;

  Configuration configuration;
  std::string configuration_text;
  std::unordered_map<std::string, std::string> team_by_token;
  Inventory inventory;

  WorkerTable workers;
  // Workers that refused work because they are leaving, with the time until
  // which heartbeats report them to the peers.
  std::map<std::string, Time> leaving_workers;
  TeamTable teams;
  RunTimeModel run_times;
  std::vector<PlacementClass> classes;

  JobTable jobs;
  std::uint64_t next_sequence = 1;
  IncarnationRecord record;
  std::map<HomeId, IncarnationRecord> inherited;
  std::unordered_map<AttemptId, InFlightAttempt, AttemptIdHash> in_flight;
  std::size_t queued_tasks = 0;

  KeyBinder keys;
  std::unordered_map<std::uint64_t, Forward> forwards;
  std::uint64_t next_forward = 1;
  std::uint64_t next_waiter = 1;
  TimerQueue timers;

  Counters counters;
  std::vector<Action> actions;

  std::uint64_t incarnation() const { return membership.self().incarnation(); }
  HomeId home_id() const { return Membership::HomeIdOf(membership.self()); }
  Endpoint endpoint() const {
    return Membership::EndpointOf(membership.self());
  }
  // Whether this VM is joining or leaving. In that state it is the home of no
  // worker and offers no slots.
  bool is_absent() const { return phase != Phase::kServing; }
  bool is_leaving() const {
    return phase != Phase::kJoining && phase != Phase::kServing;
  }

  wire::Envelope NewEnvelope() const;
  void Send(Endpoint peer, wire::Envelope envelope);
  void Respond(const Requester& requester, Reply reply);

  // Returns the placement class of a service, and creates it if needed.
  std::uint32_t EnsureClass(const ServiceConfiguration& service);
  void RefreshMasks();
  // Counts the free slots that live peers report in these pools. Pools with
  // accelerators are left out.
  std::uint32_t BorrowableSlots(PoolMask mask, Time now) const;
  void UpdateShare(TeamIndex team, Time now);

  void AddWaiter(Job& job, const Requester& from, Duration wait, Time now);
  void Enqueue(Job& job, std::uint32_t task);
  // Sends the reply to all waiting requesters, stores it and removes the job.
  void FinishJob(std::uint64_t sequence, Reply reply, Time now);
  void FailJob(std::uint64_t sequence,
               Problem problem,
               Ran ran,
               std::string_view detail,
               Time now);

  // Ends this incarnation and begins a new one, whose number is at least
  // `min_incarnation`. Unfinished jobs fail, and job ids of the old incarnation
  // are answered like those of a crashed VM.
  void AbandonIncarnation(std::uint64_t min_incarnation, Time now);
  AnswerLimits answer_limits() const;
};

}  // namespace mustardbank
