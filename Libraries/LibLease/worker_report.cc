#include "LibLease/worker_report.h"

#include <algorithm>
#include <cctype>

#include "LibSchedule/job_limits.h"

namespace mustardbank {

namespace {

// Data centres are part of the keys of rows, which the store limits to 200
// bytes.
constexpr std::size_t kMostDataCenterBytes = 100;
// Keeps the list of an owner's workers within the limit of a message.
constexpr std::size_t kMostLabels = 64;
// Milliseconds since 1970 until the year 5138.
constexpr std::uint64_t kMostIncarnation = 100'000'000'000'000;

bool IsPlainText(const std::string& text, std::size_t most_bytes) {
  return !text.empty() && text.size() <= most_bytes &&
         std::none_of(text.begin(), text.end(),
                      [](unsigned char c) { return std::iscntrl(c) != 0; });
}

}  // namespace

std::string_view FaultOf(const WorkerEntry& entry) {
  if (!IsPlainText(entry.id, kMostIdBytes))
    return "malformed id";
  if (!IsPlainText(entry.service, kMostIdBytes))
    return "malformed service";
  if (entry.endpoint.port == 0)
    return "malformed address";
  if (!IsPlainText(entry.data_center, kMostDataCenterBytes) ||
      entry.data_center.find('/') != std::string::npos)
    return "malformed data centre";
  if (entry.labels.size() > kMostLabels ||
      !std::all_of(entry.labels.begin(), entry.labels.end(),
                   [](const std::string& label) {
                     return label.size() <= kMostIdBytes;
                   }))
    return "too many labels, or too long ones";
  if (entry.incarnation > kMostIncarnation)
    return "malformed incarnation";
  return "";
}

}  // namespace mustardbank
