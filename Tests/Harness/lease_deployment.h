// Lease entry processes on the stand-in of the users' platform.
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
  // Further fields of the stand-in's plan.
  boost::json::object plan{};
};

// What a caller saw of one try.
struct CallerAnswer {
  unsigned status = 0;  // 0: no answer
  std::string body;
  std::string retry_after;
};

class LeaseDeployment {
 public:
  // Starts the stand-in and, unless told otherwise, the entries, with a
  // configuration of one queue, `host/jobs/`, in a folder of its own.
  explicit LeaseDeployment(LeaseDeploymentOptions options,
                           bool start_entries = true);
  ~LeaseDeployment();

  // Waits until every entry is ready.
  bool WaitUntilReady(std::chrono::milliseconds timeout);

  // Posts a job of tasks that each take `millicores` for `run_ms`.
  CallerAnswer Submit(int entry,
                      const std::string& id,
                      int tasks,
                      int millicores,
                      int run_ms,
                      std::chrono::milliseconds patience,
                      const std::string& outcome = "") const;
  CallerAnswer Call(int entry,
                    const HttpRequest& request,
                    std::chrono::milliseconds patience) const;
  // The text of the metrics address.
  std::string Scrape(int entry) const;
  void Admin(const boost::json::object& order) const;
  // The workers' own addresses, by id.
  std::map<std::string, Endpoint> Workers() const;
  // Sends the store's traffic of an entry elsewhere from its next start on.
  void RouteStore(int entry, Endpoint route) { store_routes_[entry] = route; }
  Endpoint store() const { return store_; }
  void PutConfiguration(std::uint64_t version,
                        const std::vector<std::string>& prefixes) const;

  void StartEntry(int entry);
  ChildProcess& entry(int index) { return *entries_[index]; }
  Endpoint callers(int index) const { return callers_[index]; }
  Endpoint metrics(int index) const { return metrics_[index]; }
  int entry_count() const { return options_.entries; }

  // The lines of the workers' log that begin with VIOLATION.
  std::vector<std::string> Violations() const;
  // How many runs of a job's tasks the workers began.
  int StartsOf(const std::string& job) const;
  const std::string& folder() const { return folder_; }

 private:
  std::string EntryLog(int entry) const;

  const LeaseDeploymentOptions options_;
  std::string folder_;
  Endpoint store_;
  std::unique_ptr<ChildProcess> platform_;
  std::vector<std::unique_ptr<ChildProcess>> entries_;
  std::vector<Endpoint> callers_;
  std::vector<Endpoint> readiness_;
  std::vector<Endpoint> metrics_;
  std::vector<Endpoint> store_routes_;
};

}  // namespace mustardbank
