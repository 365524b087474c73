// Serves jobs over HTTP: those of callers as their home (the entry VM that
// keeps the job's state and answers its caller), and those that other entry VMs
// forward as the owner of the workers that run them.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "LibFiber/await.h"
#include "LibHttp/connection_pool.h"
#include "LibHttp/http_server.h"
#include "LibLease/duration_histogram.h"
#include "LibLeaseEntry/lease_control.h"
#include "LibLeaseEntry/peer_codec.h"

namespace mustardbank {

struct CallerCounters {
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;
  std::uint64_t forwards = 0;
  std::uint64_t stale_requests = 0;           // of other homes, refused
  std::map<unsigned, std::uint64_t> answers;  // by HTTP status
  DurationHistogram request_time;
};

class JobService {
 public:
  JobService(boost::asio::io_context& io, LeaseControl& control)
      : control_(control), peers_(io, kPeerLimits) {}

  HttpResponse ServeCaller(HttpRequest&& request, CallerWatch& caller);
  HttpResponse ServePeer(HttpRequest&& request, CallerWatch& caller);

  // Handles the end of a job that runs on this VM's workers.
  void DidFinish(FinishJob&& finish);
  // Closes connections to owners whose heartbeats are no longer received, so
  // that jobs stop waiting for them.
  void Tick(Time now);

  // From now on, refuses jobs that are not expected to end before `exit`, when
  // the process ends.
  void Leave(Time exit) { exit_ = exit; }

  // Whether a job of this VM is running on the peer's workers.
  bool HasJobAt(const std::string& peer) const;
  const CallerCounters& counters() const { return counters_; }
  std::size_t live_jobs() const { return home_jobs_.size(); }

 private:
  static constexpr ConnectionPool::Limits kPeerLimits{
      .idle = 16,
      .connect_timeout = std::chrono::milliseconds(100)};

  // A job that runs on this VM's workers, for this VM or another home.
  struct LocalJob {
    FiberSignal ended;
    JobResult result;
  };
  // A caller's job whose home is this VM.
  struct HomeJob {
    std::string queue;
    std::string owner;                     // VM whose workers run the job
    HttpConnection* connection = nullptr;  // to the owner, if another VM
    Time sent;                             // to that owner
    bool is_cancelled = false;
  };

  HttpResponse ServeJob(const QueueRoute& route,
                        const std::string& id,
                        const HttpRequest& request,
                        CallerWatch& caller);
  void AwaitConfiguration(Time arrived);
  // Waits until a VM that owns workers is reachable. Returns early if none is
  // expected soon, or if waiting longer would miss the job's objective.
  void AwaitOwner(const JobRequest& job, const HomeJob& home);
  bool MayFindOwnerSoon(Time now) const;
  HttpResponse ServeQueueQuery(const QueueRoute& route) const;
  HttpResponse ServeCancel(const std::string& id);
  JobResult RunJob(const JobRequest& job, HomeJob& home);
  JobResult RunLocally(JobRequest job);
  JobResult RunOnPeer(const std::string& owner,
                      const JobRequest& job,
                      HomeJob& home);
  JobResult SendToPeer(const std::string& owner,
                       const JobRequest& job,
                       HomeJob& home);
  HttpResponse AnswerPeer(JobAnswer answer, Time now) const;
  void CancelHomeJob(const std::string& id, HomeJob& home);
  bool CancelAtOwners(const std::string& id);
  HttpResponse Answer(const std::string& id,
                      const JobResult& result,
                      Time arrived,
                      Time now);

  LeaseControl& control_;
  ConnectionPool peers_;
  std::map<std::string, LocalJob*> local_jobs_;  // by home and job id
  std::map<std::string, HomeJob*> home_jobs_;    // by job id
  CallerCounters counters_;
  const Time started_ = BootClock::now();
  Time exit_ = Time::max();
};

}  // namespace mustardbank
