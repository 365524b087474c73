// Which owner a home sends a job to.
#include "LibSchedule/router.h"

#include <CppUTest/TestHarness.h>

namespace mustardbank {

namespace {

constexpr std::int64_t kWorkerMillicores = 64'000;
constexpr std::int64_t kWorkers = 24;

std::vector<RouterCandidate> MakeOwners(int count) {
  std::vector<RouterCandidate> owners;
  for (int i = 0; i < count; ++i) {
    const std::int64_t capacity = kWorkers * kWorkerMillicores;
    owners.push_back({.name = "owner" + std::to_string(i),
                      .is_near = true,
                      .load = {.free_millicores = capacity,
                               .capacity_millicores = capacity}});
  }
  return owners;
}

}  // namespace

TEST_GROUP(Router){};

// 24 homes of a data centre send jobs of 256,000 millicores to its 8 owners
// between two load reports. With a fixed order, all went to the same owner
// until each home alone had filled it.
TEST(Router, homes_spread_jobs_between_load_reports) {
  const std::vector<RouterCandidate> owners = MakeOwners(8);
  std::map<std::string, std::int64_t> sent;
  for (std::uint64_t home = 0; home < 24; ++home) {
    Router router(home);
    for (int job = 0; job < 2; ++job) {
      const std::string owner = router.Choose(owners, 256'000, {});
      router.DidSend(owner, 256'000);
      sent[owner] += 256'000;
    }
  }
  CHECK_EQUAL(8, sent.size());
  for (const auto& [owner, millicores] : sent)
    CHECK(millicores <= 2 * kWorkers * kWorkerMillicores);
}

TEST(Router, own_data_center_and_spare_capacity_come_first) {
  Router router(1);
  std::vector<RouterCandidate> owners = MakeOwners(3);
  owners[0].is_near = false;
  owners[1].load.free_millicores = 0;
  for (int i = 0; i < 20; ++i)
    STRCMP_EQUAL("owner2", router.Choose(owners, 256'000, {}).c_str());
  STRCMP_EQUAL("owner0", router.Choose(owners, 256'000, {"owner2"}).c_str());
  owners[2].is_leaving = true;
  STRCMP_EQUAL("owner0", router.Choose(owners, 256'000, {}).c_str());
  STRCMP_EQUAL(
      "",
      router.Choose(owners, 256'000, {"owner0", "owner1", "owner2"}).c_str());
}

// The load of this VM's own workers is always current, and no report of it ever
// arrives. A home must not take its own VM for full after some jobs.
TEST(Router, own_workers_are_not_charged_twice) {
  std::vector<RouterCandidate> owners = MakeOwners(2);
  owners[0].is_self = true;
  owners[1].is_near = false;
  Router router(1);
  for (int job = 0; job < 100; ++job) {
    STRCMP_EQUAL("owner0", router.Choose(owners, 256'000, {}).c_str());
    router.DidSend("owner0", 256'000);
  }
}

}  // namespace mustardbank
