#include "stand_ins/record.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <sstream>

namespace review {

std::int64_t NowMs() {
  timespec spec{};
  clock_gettime(CLOCK_BOOTTIME, &spec);
  return std::int64_t{spec.tv_sec} * 1000 + spec.tv_nsec / 1'000'000;
}

Record::Record(const std::string& file, std::int64_t base_ms)
    : files_{file},
      base_ms_(base_ms),
      descriptor_(::open(file.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                         0644)) {}

void Record::Write(const std::string& event) const {
  const std::string line = std::to_string(ElapsedMs()) + ' ' + event + '\n';
  static_cast<void>(!::write(descriptor_, line.data(), line.size()));
}

std::vector<std::vector<std::string>> Record::Lines() const {
  std::vector<std::vector<std::string>> lines;
  for (const std::string& name : files_) {
    std::ifstream file(name);
    std::string text;
    // A line without its end is not complete yet.
    while (std::getline(file, text) && !file.eof()) {
      std::istringstream stream(text);
      std::vector<std::string> words;
      std::string word;
      while (stream >> word)
        words.push_back(word);
      if (!words.empty())
        lines.push_back(std::move(words));
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) {
                     return std::stoll(a[0]) < std::stoll(b[0]);
                   });
  return lines;
}

void Record::Save(const std::string& name) const {
  std::ofstream file(name, std::ios::trunc);
  for (const auto& words : Lines()) {
    for (std::size_t i = 0; i < words.size(); ++i)
      file << (i > 0 ? " " : "") << words[i];
    file << '\n';
  }
}

std::vector<Run> RunsOf(const Record& record) {
  std::vector<Run> runs;
  std::int64_t last = 0;
  const auto end = [&runs](const std::string& worker, const std::string& task,
                           std::int64_t at) {
    for (Run& run : runs) {
      if (run.worker == worker && run.ended < 0 &&
          (task.empty() || run.task == task))
        run.ended = at;
    }
  };
  for (const auto& words : record.Lines()) {
    const std::int64_t at = std::stoll(words[0]);
    last = at;
    if (words.size() >= 7 && words[1] == "worker" && words[3] == "start")
      runs.push_back({words[2], words[4], words[6], at, -1});
    else if (words.size() >= 5 && words[1] == "worker" && words[3] == "end")
      end(words[2], words[4], at);
    else if (words.size() >= 4 && words[1] == "worker" && words[3] == "killed")
      end(words[2], "", at);
  }
  for (Run& run : runs)
    run.ended = run.ended < 0 ? last : run.ended;
  return runs;
}

}  // namespace review
