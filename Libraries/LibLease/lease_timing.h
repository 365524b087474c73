// Times of the lease protocol between the owner of a worker and the worker.
#pragma once

#include "LibCore/boot_clock.h"

namespace mustardbank {

struct LeaseTiming {
  // Lease of all runs on a worker. Workers shorten it to their own maximum, so
  // that it must stay below that. A tenth is left for the time on the way.
  Duration lease = std::chrono::milliseconds(900);
  // How slow a worker's clock may run, as a share.
  double clock_drift = 0.02;
  // A hold without news is answered after this time; also the longest time
  // that a silent worker goes unnoticed while tasks run on it.
  Duration renewal_wait = std::chrono::milliseconds(250);
  // An order that is not answered for this long counts as unanswered. A round
  // trip takes 0.2 to 4 ms.
  Duration command_timeout = std::chrono::milliseconds(80);
  // The same for workers some of whose answers were lost within the memory: an
  // end whose report is lost is seen with the next hold.
  Duration lossy_renewal_wait = std::chrono::milliseconds(50);
  Duration lossy_period = std::chrono::milliseconds(2000);
  // An answer that is later than this is likely to be lost; the next hold goes
  // out although the timeout has not passed.
  Duration answer_overdue = std::chrono::milliseconds(25);
  int most_overlapping_renewals = 3;
  // Between probes of a worker that does not answer.
  Duration probe_interval = std::chrono::milliseconds(100);
  // Between probes of a worker where nothing listens.
  Duration down_probe_interval = std::chrono::milliseconds(400);
  // Between looks at a worker that still runs tasks of an earlier owner. A stop
  // takes 50 ms.
  Duration foreign_run_interval = std::chrono::milliseconds(25);
  // Ends on an idle worker are acknowledged after this time.
  Duration acknowledge_delay = std::chrono::milliseconds(300);
  // Between holds of an idle worker, so that a dead one is known before a task
  // is sent there.
  Duration idle_interval = std::chrono::milliseconds(700);
  // A worker that was not heard for this long gets no task before it answers:
  // it may have restarted, and its clock with it, so that a delayed order would
  // not be too late for it.
  Duration max_answer_age = std::chrono::milliseconds(1500);
  // Unanswered holds in a row that still renew the lease.
  int renewals_without_answer = 2;
};

}  // namespace mustardbank
