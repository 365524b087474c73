// Writes the metrics of a lease entry VM in the Prometheus text format.
#pragma once

#include <string>

#include "LibLeaseEntry/job_service.h"
#include "LibLeaseEntry/lease_control.h"
#include "LibLeaseEntry/order_sender.h"
#include "LibLeaseEntry/store_loop.h"

namespace mustardbank {

std::string WriteLeaseMetrics(LeaseControl& control,
                              const JobService& jobs,
                              const OrderSender& orders,
                              const StoreLoop& store,
                              Time now);

}  // namespace mustardbank
