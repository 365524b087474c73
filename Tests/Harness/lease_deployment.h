// A deployment on loopback of real lease-entry processes and the stand-in for
// the users' platform.
#pragma once

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Harness/child_process.h"
#include "LibCore/endpoint.h"
#include "LibHttp/http_message.h"

namespace mustardbank {

struct LeaseDeploymentOptions {
  int entries = 3;
  int workers = 6;
  std::vector<std::string> data_centers{"rif", "tanger"};
  std::int64_t millicores = 64'000;
  // Additional members of the stand-in's plan.
  boost::json::object plan{};
  // Binary of an earlier build, or "". Each start of an entry changes its
  // build; half of them start with the earlier one.
  std::string earlier_binary{};
  // Additional settings of each entry.
  boost::json::object settings{};
};

// The answer to one request of a caller.
struct CallerAnswer {
  unsigned status = 0;  // 0: no answer
  std::string body;
  std::string retry_after;
};

class LeaseDeployment {
 public:
  // Starts the stand-in and, if `start_entries`, the entries. The configuration
  // has one queue, `host/jobs/`. All files are in a new temporary folder.
  explicit LeaseDeployment(LeaseDeploymentOptions options,
                           bool start_entries = true);
  ~LeaseDeployment();

  // Returns whether every entry is ready before `timeout`.
  bool WaitUntilReady(std::chrono::milliseconds timeout);

  // Submits a job of tasks that each take `millicores` for `run_ms`. `max_wait`
  // is sent as the deadline of the job. With the outcome "fail" the tasks fail,
  // with "crash" they crash their workers.
  CallerAnswer Submit(int entry,
                      const std::string& id,
                      int tasks,
                      int millicores,
                      int run_ms,
                      std::chrono::milliseconds max_wait,
                      const std::string& outcome = "") const;
  CallerAnswer Call(int entry,
                    const HttpRequest& request,
                    std::chrono::milliseconds max_wait) const;
  // Sends a request as another entry VM.
  CallerAnswer CallAsPeer(int entry,
                          const HttpRequest& request,
                          std::chrono::milliseconds max_wait) const;
  // Returns the text of the metrics endpoint.
  std::string Scrape(int entry) const;
  // Sends `change` to the /admin endpoint of the stand-in.
  void Admin(const boost::json::object& change) const;
  // The addresses on which the workers listen, by worker id. A worker may be
  // registered under another address, such as that of a proxy.
  std::map<std::string, Endpoint> Workers() const;
  // From its next start on, the entry connects to the store at `route`.
  void RouteStore(int entry, Endpoint route) { store_routes_[entry] = route; }
  Endpoint store() const { return store_; }
  void PutConfiguration(std::uint64_t version,
                        const std::vector<std::string>& prefixes) const;

  void StartEntry(int entry);
  // Writes the settings file of the entry with other values.
  void WriteSettings(int entry, const boost::json::object& changes) const;
  ChildProcess& entry(int index) { return *entries_[index]; }
  Endpoint callers(int index) const { return callers_[index]; }
  Endpoint metrics(int index) const { return metrics_[index]; }
  int entry_count() const { return options_.entries; }

  // The lines of the workers' log that begin with VIOLATION.
  std::vector<std::string> Violations() const;
  // Whether a line of the entry's log has both texts.
  bool HasLogged(int entry,
                 const std::string& event,
                 const std::string& detail) const;
  // Number of runs that the workers started for the tasks of a job.
  int StartsOf(const std::string& job) const;
  const std::string& folder() const { return folder_; }

 private:
  std::string BinaryOf(int entry, int start) const;
  std::string EntryLog(int entry) const;
  std::string SettingsFile(int entry) const;

  const LeaseDeploymentOptions options_;
  std::string folder_;
  Endpoint store_;
  std::unique_ptr<ChildProcess> platform_;
  std::vector<std::unique_ptr<ChildProcess>> entries_;
  std::vector<Endpoint> callers_;
  std::vector<Endpoint> readiness_;
  std::vector<Endpoint> metrics_;
  std::vector<Endpoint> peers_;
  std::vector<Endpoint> store_routes_;
  std::vector<int> starts_;
};

}  // namespace mustardbank
