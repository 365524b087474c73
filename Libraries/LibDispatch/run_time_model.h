// Estimates the run times of request kinds from observed ones. Declared run
// times count only until there are enough samples.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "LibConfig/configuration.h"
#include "LibCore/boot_clock.h"

namespace mustardbank {

class RunTimeModel {
 public:
  // Returns the expected mean run time of a task. `declared` is 0 if the caller
  // declared none.
  Duration Expect(const std::string& service,
                  const RequestKind& request,
                  Duration declared) const;

  void DidRun(const std::string& service,
              const std::string& request,
              Duration run_time);

  // Returns the expected longest run time among `tasks` tasks of about
  // `expected` each.
  Duration ExpectLongest(Duration expected, std::size_t tasks) const;

  // Smoothed mean over all request kinds; a default until the first task has
  // run.
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
  double log_variance_ = 0.1;  // of ln(run time / estimate)
};

}  // namespace mustardbank
