// Writes the metrics of a lease entry VM in the Prometheus text format.
#pragma once

#include <string>

#include "LibLeaseEntry/command_sender.h"
#include "LibLeaseEntry/job_service.h"
#include "LibLeaseEntry/lease_control.h"
#include "LibLeaseEntry/store_loop.h"

namespace mustardbank {

std::string WriteLeaseMetrics(LeaseControl& control,
                              const JobService& jobs,
                              const CommandSender& commands,
                              const StoreLoop& store,
                              Time now);

}  // namespace mustardbank
