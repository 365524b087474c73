// The record of a case: what was sent, answered and run, one event a line. Each
// process writes a file of its own; the case merges them.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace review {

// Milliseconds of a steady clock that all processes of the machine share.
std::int64_t NowMs();

class Record {
 public:
  // `base_ms`: the reading of NowMs at which the times of the record begin.
  Record(const std::string& file, std::int64_t base_ms);

  void Write(const std::string& event) const;
  // Reads a file of another process, too.
  void Merge(const std::string& file) { files_.insert(file); }
  // The lines so far of all files in the order of their times, split at spaces.
  // The first word is the time in ms.
  std::vector<std::vector<std::string>> Lines() const;
  // Writes all lines so far to a file.
  void Save(const std::string& file) const;

  std::int64_t base_ms() const { return base_ms_; }
  std::int64_t ElapsedMs() const { return NowMs() - base_ms_; }

 private:
  std::set<std::string> files_;
  std::int64_t base_ms_;
  int descriptor_;
};

// A run of a task, from the lines that the workers wrote.
struct Run {
  std::string worker;
  std::string task;
  std::string number;
  std::int64_t started = 0;
  std::int64_t ended = 0;  // the time of the last line, if it did not end
};

std::vector<Run> RunsOf(const Record& record);

}  // namespace review
