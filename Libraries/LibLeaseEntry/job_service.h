// Serves callers' jobs as their home, and peers' jobs as the owner of workers.
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

namespace mustardbank {

struct CallerCounters {
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;
  std::uint64_t forwards = 0;
  std::map<unsigned, std::uint64_t> answers;  // by status
  DurationHistogram request_time;
};

class JobService {
 public:
  JobService(boost::asio::io_context& io, LeaseControl& control)
      : control_(control), peers_(io, kPeerLimits) {}

  HttpResponse ServeCaller(HttpRequest&& request, CallerWatch& caller);
  HttpResponse ServePeer(HttpRequest&& request, CallerWatch& caller);

  // A job that this VM runs has ended.
  void DidFinish(FinishJob&& finish);
  // Gives up waiting for owners that stopped answering.
  void Tick(Time now);

  // From now on, jobs that would not end before the process does are refused.
  void Leave(Time exit) { exit_ = exit; }

  // Whether this VM has sent a job to the peer that has not ended.
  bool HasBusinessWith(const std::string& peer) const;
  const CallerCounters& counters() const { return counters_; }
  std::size_t live_jobs() const { return home_jobs_.size(); }

 private:
  static constexpr ConnectionPool::Limits kPeerLimits{
      .idle = 16,
      .connect_timeout = std::chrono::milliseconds(100)};

  // A job that runs on this VM's workers.
  struct PendingRun {
    FiberSignal ended;
    JobResult result;
  };
  // A caller's job.
  struct HomeJob {
    std::string queue;
    std::string owner;                     // where it runs
    HttpConnection* connection = nullptr;  // to that owner, if another VM
    bool is_cancelled = false;
  };

  HttpResponse ServeJob(const QueueRoute& route,
                        const std::string& id,
                        const HttpRequest& request,
                        CallerWatch& caller);
  void AwaitConfiguration(Time arrived);
  // Waits until a job has an owner to go to, as long as one may soon appear.
  void AwaitOwner(const JobRequest& job, const HomeJob& home);
  bool MayFindOwnerSoon(Time now) const;
  HttpResponse ServeQueueQuery(const QueueRoute& route) const;
  HttpResponse ServeCancel(const std::string& id);
  JobResult RunJob(const JobRequest& job, HomeJob& home);
  JobResult RunHere(JobRequest job);
  JobResult RunAt(const std::string& owner,
                  const JobRequest& job,
                  HomeJob& home);
  void CancelHomeJob(const std::string& id, HomeJob& home);
  bool CancelAtOwners(const std::string& id);
  HttpResponse Answer(const std::string& id,
                      const JobResult& result,
                      Time arrived,
                      Time now);

  LeaseControl& control_;
  ConnectionPool peers_;
  std::map<std::string, PendingRun*> runs_;  // by home and job
  std::map<std::string, HomeJob*> home_jobs_;
  CallerCounters counters_;
  const Time started_ = BootClock::now();
  Time exit_ = Time::max();
};

}  // namespace mustardbank
