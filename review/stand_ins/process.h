// A process that a case started. It is killed by its id at the end.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace review {

class Process {
 public:
  // Standard output and error go to the file `output`.
  Process(const std::vector<std::string>& arguments, const std::string& output);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  void Kill();
  bool HasEnded();
  bool WasKilled() const { return was_killed_; }

 private:
  pid_t id_ = -1;
  bool was_killed_ = false;
};

}  // namespace review
