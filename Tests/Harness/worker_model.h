// A worker that keeps to the lease protocol and does not guard its room, for
// worlds and stand-ins. Times are in milliseconds of the model's own clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibLease/worker_report.h"

namespace mustardbank {

class WorkerModel {
 public:
  struct Options {
    double clock_rate = 1;
    std::int64_t longest_lease_ms = 1000;
    std::int64_t stop_ms = 50;
    bool ignores_tokens = false;  // to show that checks see it
  };
  struct Run {
    std::uint32_t number = 0;
    std::int64_t millicores = 0;
    std::int64_t ends_at = 0;
    std::int64_t stops_at = 0;   // 0: no stop was ordered
    RunEnd end = RunEnd::kDone;  // at `ends_at`
  };
  struct Task {
    std::int64_t millicores = 0;
    std::int64_t run_ms = 0;
    RunEnd end = RunEnd::kDone;
  };

  WorkerModel(Options options, std::int64_t born)
      : options_(options), born_(born) {}

  CommandAnswer Start(const RunId& run,
                      std::uint64_t token,
                      std::int64_t lease_until,
                      const Task& task,
                      std::int64_t now);
  CommandAnswer Stop(const RunId& run, std::uint64_t token, std::int64_t now);
  // Renews the lease, unless `lease_until` is 0, and forgets ends up to
  // `acknowledged`.
  CommandAnswer Renew(std::uint64_t token,
                      std::int64_t lease_until,
                      std::uint64_t acknowledged,
                      std::int64_t now);
  // Ends what is over by now.
  void Settle(std::int64_t now);

  bool HasEndsAfter(std::uint64_t acknowledged) const {
    return next_end_ > acknowledged + 1;
  }
  RenewReport Report(std::int64_t now) const;
  std::int64_t ClockAt(std::int64_t now) const {
    return kFirstClock +
           static_cast<std::int64_t>(static_cast<double>(now - born_) *
                                     options_.clock_rate);
  }
  std::int64_t born() const { return born_; }
  std::uint64_t token() const { return token_; }
  const std::map<std::string, Run>& runs() const { return runs_; }
  std::int64_t UsedMillicores() const;

 private:
  static constexpr std::int64_t kFirstClock = 1000;

  CommandAnswer TakeToken(std::uint64_t token);
  void ExtendLease(std::int64_t until, std::int64_t now);
  void Close(const std::string& task, RunEnd end);

  Options options_;
  std::int64_t born_ = 0;
  std::uint64_t token_ = 0;
  std::int64_t lease_until_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, std::uint32_t> closed_;  // highest run that ended
  std::vector<EndedTask> ended_;
  std::uint64_t next_end_ = 1;
};

}  // namespace mustardbank
