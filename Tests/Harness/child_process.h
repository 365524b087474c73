// A child process of a test or of the benchmark. The destructor kills it by its
// process id.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace mustardbank {

class ChildProcess {
 public:
  // Starts the program `arguments[0]` with standard error appended to the file
  // `log`. Waits up to `first_line_timeout` for the first line of standard
  // output, which `first_line()` returns.
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& log,
               std::chrono::milliseconds first_line_timeout);
  // Same, but standard output is appended to the file `output`.
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& log,
               const std::string& output,
               std::chrono::milliseconds first_line_timeout);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  const std::string& first_line() const { return first_line_; }
  pid_t id() const { return id_; }

  // Sends a signal. After SIGSTOP, returns once the process has stopped.
  void Signal(int signal) const;
  // Waits until the process ends. Returns its exit code, or 128 plus the signal
  // number if a signal ended it, or nothing after `timeout`.
  std::optional<int> Wait(std::chrono::milliseconds timeout);
  void Kill();

  // Processor time used so far, in seconds.
  double processor_seconds() const;
  // Resident memory, in bytes.
  std::size_t resident_bytes() const;

 private:
  // Starts the process with standard output redirected to the descriptor
  // `output`, or to the file `output_file` if `output` is negative.
  void Spawn(const std::vector<std::string>& arguments,
             const std::string& log,
             int output,
             const std::string& output_file);

  pid_t id_ = -1;
  int output_ = -1;
  std::string first_line_;
  std::optional<int> exit_code_;
};

}  // namespace mustardbank
