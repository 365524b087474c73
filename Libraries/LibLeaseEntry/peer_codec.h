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

// Times are sent relative to `now`, since the clocks of VMs differ.
std::string EncodeJobRequest(const JobRequest& job, Time now);
std::optional<JobRequest> DecodeJobRequest(std::string_view text, Time now);

// An owner's answer to the home of a job.
struct JobAnswer {
  JobResult result;
  std::optional<OwnerLoad> load;  // after the job; earlier builds send none
};

std::string EncodeJobAnswer(const JobAnswer& answer);
std::optional<JobAnswer> DecodeJobAnswer(std::string_view text);

// The workers of some shards as registered at `read_at`, sent from the VM that
// read the registrations to the owner of the shards.
struct SharedWorkerList {
  Time read_at;
  std::vector<ShardId> shards;
  std::vector<WorkerEntry> workers;
};

std::string EncodeWorkerList(const SharedWorkerList& list, Time now);
std::optional<SharedWorkerList> DecodeWorkerList(std::string_view text,
                                                 Time now);

}  // namespace mustardbank
