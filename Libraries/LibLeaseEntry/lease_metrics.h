// The metrics of a lease entry VM as text for Prometheus.
#pragma once

#include <string>

#include "LibLeaseEntry/command_sender.h"
#include "LibLeaseEntry/job_service.h"
#include "LibLeaseEntry/lease_control.h"
#include "LibLeaseEntry/store_loop.h"

namespace mustardbank {

std::string WriteLeaseMetrics(LeaseControl& control,
                              const JobService& jobs,
                              const CommandSender& orders,
                              const StoreLoop& store,
                              Time now);

}  // namespace mustardbank
