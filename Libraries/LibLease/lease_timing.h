// Durations of the lease protocol between a worker and its owner.
#pragma once

#include "LibCore/boot_clock.h"
#include "LibSchedule/unconfirmed_capacity.h"

namespace mustardbank {

struct LeaseTiming {
  // Length of the lease of all runs on a worker. Workers cap it at their own
  // maximum, so it must stay below that. A tenth of the maximum is left for the
  // command's travel time.
  Duration lease = std::chrono::milliseconds(900);
  // Largest share by which a worker's clock may run slow.
  double clock_drift = 0.02;
  // A worker answers a lease renewal after this time if no run has ended. Also
  // the longest time until a failed worker with running tasks is noticed.
  Duration renewal_wait = std::chrono::milliseconds(250);
  // A command without an answer for this long is taken as unanswered. A round
  // trip takes 0.2 to 4 ms.
  Duration command_timeout = std::chrono::milliseconds(80);
  // The least such time for starts and stops once the round trip is known. An
  // owner with a part of a core may itself be late by some 10 ms. If a start
  // was answered after all, the next renewal shows its run.
  Duration least_command_timeout = std::chrono::milliseconds(25);
  // Replaces `renewal_wait` for workers with an answer lost within
  // `lossy_period`: an end whose report is lost is only seen in the answer to
  // the next renewal.
  Duration lossy_renewal_wait = std::chrono::milliseconds(50);
  Duration lossy_period = std::chrono::milliseconds(2000);
  // An answer later than this is probably lost. The next renewal is then sent
  // before the timeout has passed.
  Duration answer_overdue = std::chrono::milliseconds(25);
  int most_overlapping_renewals = 3;
  // Between probes of a worker that does not answer.
  Duration probe_interval = std::chrono::milliseconds(100);
  // Between probes of a worker where nothing listens.
  Duration down_probe_interval = std::chrono::milliseconds(400);
  // Between polls of a worker that still has foreign runs, which are runs not
  // started by this owner. Stopping a run takes 50 ms.
  Duration foreign_run_interval = std::chrono::milliseconds(25);
  // Delay until the ends of runs on an idle worker are acknowledged.
  Duration acknowledge_delay = std::chrono::milliseconds(300);
  // Between renewals of an idle worker, so that a failed worker is noticed
  // before a task is sent to it.
  Duration idle_interval = std::chrono::milliseconds(700);
  // A worker whose last answer is older than this gets no task until it
  // answers. It may have restarted and reset its clock, so that it would not
  // recognise a delayed command as late.
  Duration max_answer_age = std::chrono::milliseconds(1500);
  // Consecutive unanswered renewals that still extend the lease; later ones
  // only poll, so that the lease lapses.
  int renewals_without_answer = 2;
  CapacityConfirmation capacity;
};

}  // namespace mustardbank
