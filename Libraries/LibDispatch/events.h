// Input (events) and output (actions) of the decision core.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "LibConfig/configuration.h"
#include "LibConfig/inventory.h"
#include "LibCore/boot_clock.h"
#include "LibCore/endpoint.h"
#include "LibCore/enum_names.h"
#include "LibCore/job_id.h"
#include "LibWire/peer.pb.h"

namespace mustardbank {

// Whether a job or task that did not complete may have run.
enum class Ran { kNotRun, kMayHaveRun };
inline constexpr EnumNames<Ran, 2> kRanNames{{"not run", "may have run"}};

// The receiver of a reply: a caller that is connected to this VM, or a peer
// that forwarded a caller's request.
struct Requester {
  std::uint64_t request = 0;
  std::optional<Endpoint> peer;
};

// An HTTP status with a JSON body.
struct Reply {
  unsigned status = 200;
  std::string body;
  std::uint32_t retry_after_ms = 0;  // 0: none is sent
  // The job id was never used and can't be used any more: its issuer has left.
  bool is_id_void = false;
};

// Identifies one attempt of one task. The backend server echoes it.
struct AttemptId {
  HomeId home;
  std::uint64_t sequence = 0;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;

  auto operator<=>(const AttemptId&) const = default;
};

enum class AttemptResult {
  kSucceeded,
  kFailed,          // the backend server reported a failure
  kRefusedBusy,     // not run: no free slot
  kRefusedLeaving,  // not run: the worker is leaving
  kNotSent,         // not run: no connection, or nothing written
  kStale,           // not run: not sent by `start_before` (after a pause)
  kUnknown,         // connection lost or timed out: may have run
};
inline constexpr EnumNames<AttemptResult, 7> kAttemptResultNames{
    {"succeeded", "failed", "refused_busy", "refused_leaving", "not_sent",
     "stale", "unknown"}};

// Events.

struct IssueIds {
  Requester from;
  std::string token_sha256;
  std::uint32_t count = 1;
};

// A job submitted by a caller under a job id or an idempotency key.
struct SubmitJob {
  Requester from;
  std::string token_sha256;
  std::string job_id;
  std::string key;
  wire::JobSpec job;
  Duration wait{0};
};

struct QueryJob {
  Requester from;
  std::string token_sha256;
  std::string job_id;
  Duration wait{0};
};

struct CancelJob {
  Requester from;
  std::string token_sha256;
  std::string job_id;
};

struct AttemptEnded {
  AttemptId sent;
  AttemptId answered;  // as echoed by the backend server
  AttemptResult result = AttemptResult::kUnknown;
  std::string worker;
  std::string body;  // JSON text
  Duration run_time{0};
};

struct PeerMessage {
  wire::Envelope envelope;
};

// The outcome of delivering a message to a peer.
struct PeerContact {
  Endpoint peer;
  bool reached = false;
  std::uint64_t incarnation = 0;        // of the process that answered
  std::uint64_t known_incarnation = 0;  // newest of this VM known to the peer
  std::uint64_t forwarded_request = 0;  // 0: not a forwarded request
};

struct ConfigurationRead {
  Configuration configuration;
  std::string text;
};

struct InventoryRead {
  Inventory changes;  // VMs that changed since the last read
};

// Entry VMs registered on the platform.
struct RegistrationsRead {
  std::vector<wire::VmIdentity> vms;
  std::vector<wire::Succession> successions;
};

struct KeyBinding {
  std::string team;
  std::string key;
  std::string job_id;             // proposed in BindKeys, bound in KeysBound
  std::uint64_t row_version = 0;  // of the bound key, set in KeysBound
};

struct KeysBound {
  std::uint64_t batch = 0;
  bool succeeded = false;
  std::vector<KeyBinding> bindings;
};

struct DrainRequested {};

using Event = std::variant<IssueIds,
                           SubmitJob,
                           QueryJob,
                           CancelJob,
                           AttemptEnded,
                           PeerMessage,
                           PeerContact,
                           ConfigurationRead,
                           InventoryRead,
                           RegistrationsRead,
                           KeysBound,
                           DrainRequested>;

// Actions.

struct ReplyToCaller {
  std::uint64_t request = 0;
  Reply reply;
};

struct StartTask {
  AttemptId attempt;
  std::string worker;
  Endpoint endpoint;
  std::string job_id;
  std::string service;
  std::string request;
  std::string payload;
  Duration timeout{0};
  Time start_before;  // if not sent by then, ends as kStale
};

struct SendToPeer {
  Endpoint peer;
  wire::Envelope envelope;
};

struct BindKeys {
  std::uint64_t batch = 0;
  std::vector<KeyBinding> bindings;
};

// Frees a key that is bound to a void job id, unless the row of the key has
// changed since.
struct ReleaseKey {
  KeyBinding binding;
};

// Writes the identity of this VM to the platform.
struct PublishIdentity {
  wire::VmIdentity identity;
};

// Writes a succession to the platform: the record of which VM took over the
// jobs of a stopped incarnation.
struct PublishSuccession {
  wire::Succession succession;
};

// All jobs have ended and the hand-over is finished, or found no successor: the
// process may stop.
struct LeaveFinished {};

using Action = std::variant<ReplyToCaller,
                            StartTask,
                            SendToPeer,
                            BindKeys,
                            ReleaseKey,
                            PublishIdentity,
                            PublishSuccession,
                            LeaveFinished>;

}  // namespace mustardbank
