// The daemon of one entry VM that runs jobs under leases on the users'
// platform. One fiber thread runs the control state and all traffic: the VM has
// a fraction of a core, on which a second thread would only add wake-ups.
#pragma once

#include <boost/leaf/result.hpp>
#include <memory>

#include "LibConfig/lease_settings.h"

namespace mustardbank {

struct LeaseEntryEndpoints {
  Endpoint callers;
  Endpoint readiness;
  Endpoint peers;
  Endpoint metrics;
};

class LeaseEntry {
 public:
  // Opens all listeners and joins the deployment. Fails with StartError if it
  // can't listen.
  static boost::leaf::result<std::unique_ptr<LeaseEntry>> Start(
      LeaseSettings settings);
  ~LeaseEntry();

  const LeaseEntryEndpoints& endpoints() const;

  // Hands the workers over to other VMs and finishes the jobs in progress.
  // Returns when the process may exit, within the grace period of the settings.
  void Leave();
  // Applies the settings that may change while the process runs.
  void Reload(const LeaseSettings& settings);

 private:
  class Impl;
  explicit LeaseEntry(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace mustardbank
