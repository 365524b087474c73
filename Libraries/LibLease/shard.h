// Shards of workers, each owned by one entry VM, and the heartbeats in which
// the VMs report their shards to each other.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibCore/endpoint.h"
#include "LibLease/lease_dispatcher.h"
#include "LibSchedule/crash_history.h"
#include "LibSchedule/evacuations.h"

namespace mustardbank {

// A subset of the workers of one data centre.
struct ShardId {
  std::string data_center;
  std::uint32_t index = 0;

  auto operator<=>(const ShardId&) const = default;
  std::string ToString() const {
    return data_center + '/' + std::to_string(index);
  }
};

// Registrations of workers, as the store held them at one moment.
struct WorkerList {
  std::vector<WorkerEntry> workers;
  // Of the store when they were read. 0: not known, as from earlier builds.
  std::uint64_t store_version = 0;
  // The registrations are as new as this, or newer.
  Time read_at{};
};

// The owner of a shard, as recorded in the platform's store.
struct ShardRecord {
  ShardId shard;
  std::string owner;
  std::uint64_t owner_incarnation = 0;
  std::uint64_t version = 0;  // of the record; also the owner's fencing token
};

// An entry VM, as recorded in the platform's store.
struct MemberRecord {
  std::string name;
  std::string data_center;
  Endpoint endpoint;  // where peers send datagrams and jobs
  std::uint64_t incarnation = 0;
  double power = 0;  // cores
};

struct ShardStatus {
  ShardId shard;
  std::uint64_t version = 0;
  std::string successor;  // the VM that the shard is offered to, or ""
  // The successor has claimed the shard, and this owner starts no more tasks.
  bool is_released = false;
  // If the shard is released: workers that may still run this owner's tasks.
  std::vector<std::string> busy;
};

// How a VM introduces itself to a peer that may not have read its record.
struct Introduction {
  std::string data_center;
  Endpoint endpoint;
  double power = 0;  // cores
};

// Sent from each VM to its peers as a datagram.
struct Heartbeat {
  std::string name;
  std::uint64_t incarnation = 0;
  // The receiver gets the next heartbeat within this time.
  Duration interval{};
  bool leaving = false;
  std::uint64_t configuration_version = 0;
  OwnerLoad load;
  std::vector<ShardStatus> shards;  // owned by the sender
  // The sender has read the records of members and shards up to this version of
  // the store. 0: it can't say whom it hears.
  std::uint64_t store_version = 0;
  // Owners named in these records whose heartbeats the sender misses. It hears
  // all others.
  std::vector<std::string> silent_owners;
  // Evacuations that the sender knows. Earlier builds send none.
  EvacuationTable evacuations;
  bool has_store = true;  // the store answers the sender's calls
  // Sent until the receiver has answered.
  std::optional<Introduction> introduction;
  // Crashes that the sender found and that did not come back from the store.
  std::vector<CrashRecord> crashes;
  // By the sender's clock. Earlier builds send none.
  std::optional<Time> sent_at;

  static constexpr std::size_t kMostCrashes = 12;
};

// The sender's status of a shard. Null if it does not own the shard.
const ShardStatus* FindStatus(const Heartbeat& heartbeat, const ShardId& shard);

// The index of a worker's shard if its data centre has `count` shards.
std::uint32_t ShardIndexOf(const std::string& worker, std::uint32_t count);

}  // namespace mustardbank
