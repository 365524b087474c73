// Encodes messages between entry VMs as JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibLease/ownership.h"
#include "LibLease/shard.h"
#include "LibSchedule/job.h"

namespace mustardbank {

std::string EncodeHeartbeat(const Heartbeat& heartbeat);
std::optional<Heartbeat> DecodeHeartbeat(std::string_view text);

// A job that its home sends to an owner.
struct ForwardedJob {
  JobRequest job;
  // The newest stamp of the owner that the home has. Earlier builds send none.
  std::optional<ClockStamp> echo{};
};

// Times are sent relative to `now`, since the clocks of VMs differ.
std::string EncodeJobRequest(const ForwardedJob& forwarded, Time now);
std::optional<ForwardedJob> DecodeJobRequest(std::string_view text, Time now);

// An owner's answer to the home of a job.
struct JobAnswer {
  JobResult result;
  std::optional<OwnerLoad> load;  // after the job; earlier builds send none
  // Of the owner, when it answered. Earlier builds send none.
  std::optional<ClockStamp> stamp{};
};

std::string EncodeJobAnswer(const JobAnswer& answer);
std::optional<JobAnswer> DecodeJobAnswer(std::string_view text);

// The workers of some shards, sent from the VM that read the registrations to
// the owner of the shards.
struct SharedWorkerList {
  WorkerList list;
  std::vector<ShardId> shards;
  std::size_t unusable = 0;  // entries left out when the list was decoded
  // The newest stamp of the owner that the sender has. Earlier builds send
  // none.
  std::optional<ClockStamp> echo{};
};

// A decoded list counts as sent at `now`.
std::string EncodeWorkerList(const SharedWorkerList& shared, Time now);
std::optional<SharedWorkerList> DecodeWorkerList(std::string_view text,
                                                 Time now);

}  // namespace mustardbank
