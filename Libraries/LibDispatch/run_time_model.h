// Learned run times of request kinds. Declared ones only start the estimate.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "LibConfig/configuration.h"
#include "LibCore/boot_clock.h"

namespace mustardbank {

class RunTimeModel {
 public:
  // The mean run time expected of a task.
  Duration Expect(const std::string& service,
                  const RequestKind& request,
                  Duration declared) const;

  void DidRun(const std::string& service,
              const std::string& request,
              Duration run_time);

  // The longest run time expected of `tasks` tasks of about `expected` each.
  Duration ExpectLongest(Duration expected, std::size_t tasks) const;

  // Mean over all kinds that ran, or a default before any did.
  Duration mean() const { return mean_; }

 private:
  struct Estimate {
    double milliseconds = 0;
    std::uint32_t samples = 0;
  };

  static std::string KeyOf(const std::string& service,
                           const std::string& request);

  std::unordered_map<std::string, Estimate> estimates_;
  Duration mean_ = std::chrono::milliseconds(250);
  double log_variance_ = 0.1;  // of run times over their estimates
};

}  // namespace mustardbank
