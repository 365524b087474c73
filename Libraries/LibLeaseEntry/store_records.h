// Encodes the records of the entry VMs in the platform's store as JSON.
#pragma once

#include <optional>
#include <string>

#include "LibLease/ownership.h"
#include "LibLease/row_store.h"
#include "LibLease/shard.h"
#include "LibSchedule/crash_history.h"
#include "LibSchedule/learned_classes.h"
#include "LibSchedule/learned_queues.h"

namespace mustardbank {

// The table that holds all records of the entry VMs.
inline constexpr const char* kSharedTable = "mustardbank";

struct ShardCountRecord {
  std::string data_center;
  std::uint32_t count = 0;
};

// The table that holds what the dispatchers have learned: for each data centre
// a row about queues and one about classes of workers. It is read when a
// process starts, and by VMs without workers.
inline constexpr const char* kLearnedTable = "mustardbank_learned";

std::string MemberKey(const std::string& name);
std::string ShardKey(const ShardId& shard);
std::string ShardCountKey(const std::string& data_center);

// The change is conditional on the version that this VM knows: the store may
// apply a change by an earlier incarnation seconds late.
RowChange EncodeMember(const MemberRecord& member,
                       std::uint64_t expected_version);
RowChange EncodeShardClaim(const ClaimShard& claim,
                           const std::string& owner,
                           std::uint64_t incarnation);
RowChange EncodeShardCount(const ShardCountRecord& record);

// Leaves out the queues with the fewest observations if there are very many.
RowChange EncodeLearnedQueues(const std::string& data_center,
                              const LearnedQueues& queues);
std::optional<LearnedQueues> DecodeLearnedQueues(const StoreRow& row);

// Rows about classes of workers have keys of their own. Builds that don't know
// them skip them as unreadable rows of queues.
RowChange EncodeLearnedClasses(const std::string& data_center,
                               const LearnedClasses& classes);
std::string LearnedClassesKey(const std::string& data_center);
bool HoldsLearnedClasses(const StoreRow& row);
std::optional<LearnedClasses> DecodeLearnedClasses(const StoreRow& row);

// Rows of crashes are written by any VM, and hold the same wherever they come
// from. Builds that don't know them log them as unreadable.
RowChange EncodeCrash(const CrashHistory::Change& change);
bool HoldsCrash(const StoreRow& row);
// The role is missing if the row was removed.
std::optional<CrashRecord> DecodeCrash(const StoreRow& row);

// Empty if the row holds another kind of record or is malformed.
std::optional<MemberRecord> DecodeMember(const StoreRow& row);
std::optional<ShardRecord> DecodeShard(const StoreRow& row);
std::optional<ShardCountRecord> DecodeShardCount(const StoreRow& row);
// The name of the VM whose member record the row holds, or "" if it holds none.
std::string MemberNameOf(const StoreRow& row);

}  // namespace mustardbank
