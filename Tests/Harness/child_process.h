// A process started by a test or by the benchmark, ended by its id.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace mustardbank {

class ChildProcess {
 public:
  // Starts `arguments` with standard error appended to `log`. The first line
  // of its output, if it comes in time, is kept.
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& log,
               std::chrono::milliseconds first_line_timeout);
  // The same, with its output appended to a file.
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& log,
               const std::string& output,
               std::chrono::milliseconds first_line_timeout);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  const std::string& first_line() const { return first_line_; }
  pid_t id() const { return id_; }

  void Signal(int signal) const;
  // Waits for the end; yields the exit code, or 128 and the signal.
  std::optional<int> Wait(std::chrono::milliseconds timeout);
  void Kill();

  // Processor time used so far, in seconds.
  double processor_seconds() const;
  // Resident memory, in bytes.
  std::size_t resident_bytes() const;

 private:
  // Starts the process with its output going to `output`, or to the file.
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
