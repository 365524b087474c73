// Which owner reads the registrations, and to whom it sends them.
#include "LibLease/worker_list_sharing.h"

#include <CppUTest/TestHarness.h>

namespace mustardbank {

using std::chrono::milliseconds;

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(WorkerListSharing) {
  EventLog log{"test"};
  Time now{std::chrono::seconds(100)};
  Ownership ownership{
      {.name = "vm5", .data_center = "rif", .incarnation = 5}, {}, log};

  // A VM of `data_center` sends a heartbeat as owner of a shard of `shard_dc`.
  void HearOwner(const std::string& name, const std::string& data_center,
                 const std::string& shard_dc, bool has_store = true) {
    ownership.DidReadMember({.name = name,
                             .data_center = data_center,
                             .endpoint = {.ip = 1, .port = 1},
                             .incarnation = 3},
                            now);
    ownership.DidReceiveHeartbeat(
        {.name = name,
         .incarnation = 3,
         .shards = {{.shard = {.data_center = shard_dc, .index = 7},
                     .version = 10}},
         .has_store = has_store},
        now);
  }

  void OwnShard(const std::string& data_center) {
    ownership.DidReadShard({.shard = {.data_center = data_center, .index = 1},
                            .owner = "vm5",
                            .owner_incarnation = 5,
                            .version = 9},
                           now);
  }
};

TEST(WorkerListSharing, first_owner_of_a_data_center_reads_for_the_others) {
  OwnShard("rif");
  HearOwner("vm6", "rif", "rif");
  HearOwner("vm1", "tanger", "tanger");
  CHECK(IsListReader(ownership, now));
  const auto receivers = ListReceivers(ownership, now);
  CHECK_EQUAL(1, receivers.size());
  STRCMP_EQUAL("vm6", receivers[0].name.c_str());
  CHECK_EQUAL(7, receivers[0].shards.at(0).index);
  HearOwner("vm2", "rif", "rif");
  CHECK_FALSE(IsListReader(ownership, now));
  CHECK(ListReceivers(ownership, now).empty());
}

TEST(WorkerListSharing, reader_that_is_silent_is_replaced) {
  OwnShard("rif");
  HearOwner("vm2", "rif", "rif");
  now += milliseconds(900);
  CHECK(IsListReader(ownership, now));
}

TEST(WorkerListSharing, owner_of_workers_elsewhere_reads_by_itself) {
  OwnShard("rif");
  HearOwner("vm2", "rif", "rif");
  HearOwner("vm3", "rif", "tanger");
  OwnShard("tanger");
  CHECK(IsListReader(ownership, now));
}

// Owners that lacked the store went on with old capacities while the VMs next
// to them read the new ones.
TEST(WorkerListSharing, reader_without_the_store_is_replaced_and_served) {
  OwnShard("rif");
  HearOwner("vm2", "rif", "rif", /*has_store=*/false);
  CHECK(IsListReader(ownership, now));
  const auto receivers = ListReceivers(ownership, now);
  CHECK_EQUAL(1, receivers.size());
  STRCMP_EQUAL("vm2", receivers[0].name.c_str());
}

TEST(WorkerListSharing, data_center_without_the_store_is_served_from_another) {
  OwnShard("rif");
  HearOwner("vm1", "tanger", "tanger", /*has_store=*/false);
  HearOwner("vm2", "tanger", "tanger", /*has_store=*/false);
  CHECK_EQUAL(2, ListReceivers(ownership, now).size());
  HearOwner("vm0", "oued-laou", "oued-laou");
  CHECK(ListReceivers(ownership, now).empty());
  HearOwner("vm0", "oued-laou", "oued-laou", /*has_store=*/false);
  HearOwner("vm7", "tanger", "tanger");
  const auto receivers = ListReceivers(ownership, now);
  CHECK_EQUAL(1, receivers.size());
  STRCMP_EQUAL("vm0", receivers[0].name.c_str());
}

// All VMs that probed a data centre connected to the same three workers, beyond
// the 64 connections that a worker accepts.
TEST(WorkerListSharing, vms_probe_different_workers) {
  std::vector<WorkerEntry> workers;
  for (std::uint32_t i = 0; i < 184; ++i)
    workers.push_back({.id = "w" + std::to_string(i),
                       .endpoint = {.ip = i + 1, .port = 1},
                       .data_center = i < 183 ? "rif" : "tanger"});
  std::map<Endpoint, int> probes;
  for (int vm = 0; vm < 147; ++vm) {
    const auto chosen =
        ChooseProbedWorkers(workers, "rif", "vm" + std::to_string(vm));
    CHECK_EQUAL(3, chosen.size());
    for (const Endpoint endpoint : chosen)
      ++probes[endpoint];
  }
  for (const auto& [endpoint, count] : probes)
    CHECK(count < 64);
  CHECK_EQUAL(1, ChooseProbedWorkers(workers, "tanger", "vm0").size());
}

}  // namespace mustardbank
