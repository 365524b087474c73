// A small deployment on loopback: entry VMs as the deploy file starts them,
// workers as processes, and the platform's store in the process of the case.
#pragma once

#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "LibFiber/fiber_thread.h"
#include "LibHttp/http_client.h"
#include "LibHttp/http_server.h"
#include "stand_ins/process.h"
#include "stand_ins/record.h"
#include "stand_ins/store.h"

namespace review {

// The exit codes of a script.
enum class Outcome { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

struct WorkerOptions {
  std::string id;
  std::string zone;
  std::string labels = "a,r1-1";
  int cpu = 64'000;
  int smaller_cpu = 64'000;  // after Deployment::Shrink
};

struct JobOptions {
  int tasks = 1;
  int cpu = 27'000;
  int work_ms = 100;
  int estimate_ms = 0;  // 0: as long as the work
  int deadline_ms = 1500;
  std::string requires_label;
};

class Deployment {
 public:
  // `folder`: of the case. The record goes to its file record.txt, all other
  // files to a temporary folder.
  explicit Deployment(const std::string& folder);

  // The id of a worker appears nowhere else, not even in another run.
  std::string NewId(const std::string& name) const;
  void StartWorker(const WorkerOptions& worker);
  void KillWorker(const std::string& id);
  // Starts a killed worker again under its id and address.
  void RestartWorker(const WorkerOptions& worker);
  void Shrink(const std::string& id);

  // `addresses`: see Store::Serve.
  void StartEntry(const std::string& name,
                  const std::string& zone,
                  std::map<std::string, std::string> addresses = {});
  // The address where other entry VMs reach this one.
  mustardbank::Endpoint PeersOf(const std::string& entry) const;
  mustardbank::Endpoint CallersOf(const std::string& entry) const {
    return entries_.at(entry).callers;
  }
  // Replaces addresses that the entry reads in the store from now on.
  void Reroute(const std::string& entry,
               std::map<std::string, std::string> addresses);
  bool WaitUntilReady();
  // Writes a configuration with one route: that of the jobs, or another one.
  // The first one precedes the entries.
  void PutConfiguration(int version = 7, bool has_route = true);

  // Sends a job in the background. `leaves_after_ms`: the client closes its
  // channel after this time; 0: it waits for its deadline.
  void Submit(const std::string& entry,
              const std::string& id,
              const JobOptions& job,
              int leaves_after_ms = 0);
  // A client that opens a channel and sends job after job on it, each at its
  // time (a reading of NowMs).
  struct TimedJob {
    std::int64_t at = 0;
    std::string id;
    JobOptions job;
  };
  void SubmitOnOneChannel(const std::string& entry,
                          const std::vector<TimedJob>& jobs);
  // Sends a signal to the entry's process.
  void SignalEntry(const std::string& entry, int signal);
  bool HasEntryEnded(const std::string& entry);
  // Cancels a job. Returns the status, or 0 if there was no answer.
  unsigned Cancel(const std::string& entry, const std::string& id);

  // Runs a function on the thread of the stand-ins.
  void OnThread(const std::function<void()>& function);
  mustardbank::FiberThread& thread() { return thread_; }
  const Record& record() const { return record_; }
  // Ends all processes, saves the record with the result and exits with its
  // code. A case also could not run if a process ended that should not.
  [[noreturn]] void Finish(bool is_broken, bool was_played);

 private:
  struct Entry {
    std::unique_ptr<Process> process;
    int starts = 0;
    std::unique_ptr<mustardbank::HttpServer> store;  // its way to the store
    mustardbank::Endpoint store_endpoint;
    std::map<std::string, std::string> addresses;
    mustardbank::Endpoint callers;
    mustardbank::Endpoint readiness;
    mustardbank::Endpoint peers;
  };

  void SpawnWorker(const WorkerOptions& worker);

  const std::string record_file_;
  const std::string folder_;  // temporary
  Record record_;
  mustardbank::FiberThread thread_;
  Store store_;
  std::unique_ptr<mustardbank::HttpServer> store_server_;
  mustardbank::Endpoint store_endpoint_;
  std::map<std::string, Entry> entries_;
  std::set<std::string> stopped_entries_;  // that got a signal
  std::map<std::string, std::unique_ptr<Process>> workers_;
  std::map<std::string, mustardbank::Endpoint> worker_addresses_;
};

void SleepMs(int ms);
// Whether the case runs with its disruption: not with TROUBLE=0.
bool HasTrouble();

}  // namespace review
