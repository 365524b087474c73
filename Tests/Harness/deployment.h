// A complete deployment of real processes on loopback: the stand-ins for the
// platform and the workers, and entry VMs.
#pragma once

#include <boost/json/value.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/endpoint.h"
#include "LibFiber/fiber_thread.h"
#include "LibHttp/http_message.h"
#include "child_process.h"

namespace mustardbank {

struct DeploymentPlan {
  std::vector<std::string> data_centers = {"rif", "tanger"};
  int workers = 8;
  int slots = 8;
  int rack_size = 6;
  int cores = 64;
  int memory_gb = 128;
  int latency_ms = 0;
  int worker_processes = 1;  // the data centres are divided among them
  int worker_threads = 2;
  int entries = 2;
  int traffic_threads = 2;
  std::string placement = "home_lending";
  std::string configuration;  // JSON text
};

struct EntryVm {
  std::string name;
  std::string data_center;
  Endpoint callers;
  Endpoint operators;
  Endpoint peers;
  std::unique_ptr<ChildProcess> process;
};

// One start of a task in the log of the worker stand-ins.
struct LoggedStart {
  std::int64_t at_ms = 0;  // wall clock
  std::string worker;
  std::string request;
  std::string attempt;
  std::string job;
  // The id of the task: the attempt id without the number of the attempt.
  std::string task() const { return attempt.substr(0, attempt.rfind('.')); }
};

class Deployment {
 public:
  explicit Deployment(DeploymentPlan plan);
  ~Deployment();

  // Starts all processes. Returns whether all entry VMs become healthy before
  // the start timeout.
  bool Start();

  EntryVm& entry(int index) { return *entries_[index]; }
  int entry_count() const { return static_cast<int>(entries_.size()); }
  // Starts entry VM `index`. A restarted entry VM keeps its addresses.
  void StartEntry(int index);
  // Sets the state of an entry VM in the platform's list.
  void SetListedState(int index, const std::string& state);
  bool WaitUntilServing(int index, std::chrono::milliseconds timeout);
  ChildProcess& worker_process(int index) { return *workers_[index].process; }
  Endpoint platform() const { return platform_endpoint_; }
  std::vector<Endpoint> callers() const;

  std::optional<HttpResponse> Call(Endpoint endpoint,
                                   HttpRequest request,
                                   std::chrono::milliseconds timeout);
  std::optional<HttpResponse> CallAs(
      const std::string& token,
      Endpoint endpoint,
      const std::string& method,
      const std::string& target,
      const std::string& body = "",
      std::chrono::milliseconds timeout = std::chrono::milliseconds(10000));
  std::string TakeId(const std::string& token, int index);
  void SetFaults(const boost::json::value& faults);
  // Adds VMs to the platform's list, or changes members of listed VMs.
  void UpdateVmList(const boost::json::value& vms);
  void SetWorkerMode(const std::string& worker,
                     const std::string& mode,
                     int factor = 1);
  // Runs the mustardbank binary. Returns its exit code, or -1 if it does not
  // end before the start timeout.
  int RunCommand(const std::vector<std::string>& arguments);
  int Apply(const std::string& configuration, std::uint64_t expected_version);

  boost::json::value State(int index);
  // Sums the counters of all entry VMs that answer, by name.
  std::map<std::string, std::uint64_t> Counters();
  std::vector<LoggedStart> Starts() const;

 private:
  struct WorkerProcess {
    std::unique_ptr<ChildProcess> process;
    Endpoint control;
  };

  std::string File(const std::string& name) const {
    return directory_ + "/" + name;
  }
  void Write(const std::string& name, const std::string& text) const;
  void StartWorkers();

  const DeploymentPlan plan_;
  std::string directory_;
  FiberThread thread_;
  std::unique_ptr<ChildProcess> platform_;
  Endpoint platform_endpoint_;
  std::vector<WorkerProcess> workers_;
  std::vector<std::unique_ptr<EntryVm>> entries_;
};

// Returns a configuration with one team, whose token is "secret", and one
// service "guide" in `data_centers`. Its requests are "card" and "closure";
// "closure" is not idempotent. `service_members` is JSON text that is appended
// to the members of the service.
std::string TestConfiguration(const std::vector<std::string>& data_centers,
                              const std::string& service_members = "");

// Returns the body of a job of `tasks` tasks that run for `run_ms` each.
std::string TestJob(int tasks, int run_ms, const std::string& request = "card");

// Returns the string member `name` of the JSON object `text`, or "" if there is
// none.
std::string JsonMember(const std::string& text, std::string_view name);

}  // namespace mustardbank
