// Shards of workers, each with one owner among the entry VMs, and what the
// VMs tell each other of them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibCore/endpoint.h"
#include "LibLease/lease_dispatcher.h"

namespace mustardbank {

// A part of the workers of one data centre.
struct ShardId {
  std::string data_center;
  std::uint32_t index = 0;

  auto operator<=>(const ShardId&) const = default;
  std::string ToString() const {
    return data_center + '/' + std::to_string(index);
  }
};

// Who owns a shard, as the platform's store has it.
struct ShardRecord {
  ShardId shard;
  std::string owner;
  std::uint64_t owner_incarnation = 0;
  std::uint64_t version = 0;  // of the record; the fencing token of the owner
};

// An entry VM, as the platform's store has it.
struct MemberRecord {
  std::string name;
  std::string data_center;
  Endpoint endpoint;  // for peers: datagrams and jobs
  std::uint64_t incarnation = 0;
  double power = 0;  // cores
};

struct ShardStatus {
  ShardId shard;
  std::uint64_t version = 0;
  std::string successor;  // the VM it is offered to, or ""
  // The successor has claimed it, and this owner starts nothing more.
  bool is_released = false;
  // Of a shard that is released: workers where this owner's tasks may run.
  std::vector<std::string> busy;
};

// Sent from each VM to its peers as a datagram.
struct Heartbeat {
  std::string name;
  std::uint64_t incarnation = 0;
  bool leaving = false;
  std::uint64_t configuration_version = 0;
  OwnerLoad load;
  std::vector<ShardStatus> shards;  // those it owns
  std::vector<std::string> hears;   // VMs heard within the silence limit
};

// The shard of a worker, of `count` shards of its data centre.
std::uint32_t ShardIndexOf(const std::string& worker, std::uint32_t count);

}  // namespace mustardbank
