// Decides which owner reads the registrations of workers for the others.
//
// Registrations change with every heartbeat of their workers, so that reading
// them costs as many bytes as there are workers. If each owner read all of
// them, the bytes of all VMs would grow with the square of their number. One
// owner of each data centre reads them and sends to each other owner there the
// workers of its shards. An owner that gets no list reads the registrations
// itself.
//
// During a partial outage of the store, owners that do not reach it get their
// list from a reader of their data centre, or from the first reader of another
// one: the registrations show capacities that have changed.
#pragma once

#include <string>
#include <vector>

#include "LibLease/ownership.h"

namespace mustardbank {

// An owner that is sent the workers of its shards.
struct ListReceiver {
  std::string name;
  Endpoint endpoint;
  std::vector<ShardId> shards;
};

// Whether this VM reads the registrations, and does not expect another owner to
// send them.
bool IsListReader(const Ownership& ownership, Time now);

// The owners that expect this VM to send them their workers.
std::vector<ListReceiver> ListReceivers(const Ownership& ownership, Time now);

// Up to three workers of a data centre to test whether `vm` reaches it. Each VM
// chooses others: workers accept a limited number of connections.
std::vector<Endpoint> ChooseProbedWorkers(
    const std::vector<WorkerEntry>& workers,
    const std::string& data_center,
    const std::string& vm);

}  // namespace mustardbank
