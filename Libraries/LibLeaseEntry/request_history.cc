#include "LibLeaseEntry/request_history.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "LibLease/worker_report.h"
#include "LibSchedule/job.h"

namespace mustardbank {

namespace {

constexpr std::string_view kLineStart = "ts_ms=";
// State changes up to this long before the request's first line are shown,
// since they may explain its outcome.
constexpr std::int64_t kContextBeforeMs = 1500;

bool IsStateEvent(LogEvent event) {
  switch (event) {
    case LogEvent::kStarted:
    case LogEvent::kStopping:
    case LogEvent::kStopped:
    case LogEvent::kConfigurationInForce:
    case LogEvent::kEvacuationRequested:
    case LogEvent::kEvacuationWithdrawn:
    case LogEvent::kStartsHeld:
    case LogEvent::kStartsResumed:
    case LogEvent::kStoreLost:
    case LogEvent::kStoreRegained:
    case LogEvent::kPeerLost:
    case LogEvent::kPeerRegained:
    case LogEvent::kShardClaimed:
    case LogEvent::kShardLost:
    case LogEvent::kShardHandedOver:
    case LogEvent::kShardReleased:
    case LogEvent::kWorkerPhase:
    case LogEvent::kWorkerExcluded:
    case LogEvent::kCapacityUnconfirmed:
    case LogEvent::kCapacityConfirmed:
      return true;
    default:
      return false;
  }
}

std::string_view Explain(JobCause cause) {
  switch (cause) {
    case JobCause::kNone:
      return "the job succeeded";
    case JobCause::kTaskFailed:
      return "a task failed as often as its queue allows";
    case JobCause::kRunsLost:
      return "given up: runs of a task were stopped, or lost with their "
             "workers, too often";
    case JobCause::kNoRoom:
      return "refused on arrival: the work ahead of it would have made it late";
    case JobCause::kWaitedTooLong:
      return "refused: no capacity came free before its latest useful start";
    case JobCause::kNeverFits:
      return "refused: no worker of the owner is large enough";
    case JobCause::kNotOwner:
      return "refused: the VM it was sent to owned no workers of the service";
    case JobCause::kHandedOver:
      return "refused or given up: the workers were being handed to another VM";
    case JobCause::kDeadline:
      return "given up: its caller's deadline passed";
    case JobCause::kCancelled:
      return "cancelled: its caller left, or sent it again elsewhere";
    case JobCause::kOwnershipLost:
      return "given up: another VM took the workers over while tasks ran";
    case JobCause::kHomeSilent:
      return "given up by the owner: the VM that took the request became "
             "unreachable";
    case JobCause::kUnsupported:
      return "refused: it asks for a feature that is not supported";
    case JobCause::kNoConfiguration:
      return "refused: the VM had no configuration yet";
    case JobCause::kNoQueue:
      return "refused: no queue matches in the configuration in force";
    case JobCause::kOwnerSilent:
      return "given up: the VM that ran its tasks stopped answering";
    case JobCause::kNoOwner:
      return "refused: no VM that owns workers could be reached";
    case JobCause::kLeaving:
      return "refused: the VM was about to stop";
    case JobCause::kEvacuated:
      return "refused or given up: the operator evacuates the data centre of "
             "the workers";
    case JobCause::kOverShare:
      return "refused on arrival: a burst of its queue would have taken the "
             "shares of other queues";
  }
  return "unknown";
}

// Reads NAME=VALUE or NAME="VALUE" and moves past it.
std::optional<std::pair<std::string, std::string>> NextField(
    std::string_view& text) {
  text.remove_prefix(std::min(text.size(), text.find_first_not_of(' ')));
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos)
    return std::nullopt;
  std::string name(text.substr(0, equals));
  text.remove_prefix(equals + 1);
  std::string value;
  if (text.starts_with('"')) {
    std::size_t i = 1;
    for (; i < text.size() && text[i] != '"'; ++i) {
      if (text[i] == '\\' && i + 1 < text.size())
        ++i;
      value += text[i];
    }
    text.remove_prefix(std::min(text.size(), i + 1));
  } else {
    const std::size_t end = std::min(text.size(), text.find(' '));
    value = text.substr(0, end);
    text.remove_prefix(end);
  }
  return std::pair(std::move(name), std::move(value));
}

}  // namespace

std::string LogRecord::Field(LogField field) const {
  const auto it = fields.find(std::string(kLogFieldNames[field]));
  return it == fields.end() ? "" : it->second;
}

std::optional<LogRecord> ParseLogRecord(std::string_view text) {
  const std::size_t start = text.find(kLineStart);
  if (start == std::string_view::npos)
    return std::nullopt;
  text.remove_prefix(start);
  LogRecord record{.text = std::string(text)};
  while (auto field = NextField(text))
    record.fields.insert(std::move(*field));
  const std::string wall = record.fields["ts_ms"];
  const auto [rest, error] =
      std::from_chars(wall.data(), wall.data() + wall.size(), record.wall_ms);
  const auto event = kLogEventNames.Find(record.fields["event"]);
  if (error != std::errc() || rest != wall.data() + wall.size() || !event)
    return std::nullopt;
  record.process = record.fields["process"];
  record.event = *event;
  return record;
}

bool RequestHistory::Concerns(const LogRecord& record) const {
  return record.Field(LogField::kJob) == job_ ||
         JobOf(record.Field(LogField::kTask)) == job_;
}

void RequestHistory::Read(std::istream& file) {
  std::string line;
  while (std::getline(file, line)) {
    auto record = ParseLogRecord(line);
    if (!record)
      continue;
    if (Concerns(*record))
      request_lines_.push_back(std::move(*record));
    else if (IsStateEvent(record->event))
      state_lines_.push_back(std::move(*record));
  }
  const auto by_time = [](const LogRecord& a, const LogRecord& b) {
    return a.wall_ms < b.wall_ms;
  };
  std::stable_sort(request_lines_.begin(), request_lines_.end(), by_time);
  std::stable_sort(state_lines_.begin(), state_lines_.end(), by_time);
}

std::vector<LogRecord> RequestHistory::Lines() const {
  std::vector<LogRecord> lines = request_lines_;
  if (lines.empty())
    return lines;
  const std::int64_t from = lines.front().wall_ms - kContextBeforeMs;
  const std::int64_t to = lines.back().wall_ms;
  std::set<std::string> processes;
  std::set<std::string> workers;
  for (const LogRecord& line : request_lines_) {
    processes.insert(line.process);
    processes.insert(line.Field(LogField::kPeer));
    workers.insert(line.Field(LogField::kWorker));
  }
  for (const LogRecord& line : state_lines_) {
    const std::string worker = line.Field(LogField::kWorker);
    if (line.wall_ms >= from && line.wall_ms <= to &&
        processes.contains(line.process) &&
        (worker.empty() || workers.contains(worker)))
      lines.push_back(line);
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogRecord& a, const LogRecord& b) {
                     return a.wall_ms < b.wall_ms;
                   });
  return lines;
}

const LogRecord* RequestHistory::Last(LogEvent event) const {
  const auto it =
      std::find_if(request_lines_.rbegin(), request_lines_.rend(),
                   [event](const auto& line) { return line.event == event; });
  return it == request_lines_.rend() ? nullptr : &*it;
}

std::string RequestHistory::CauseName() const {
  for (const LogEvent event :
       {LogEvent::kAnswered, LogEvent::kJobRefused, LogEvent::kJobEnded}) {
    if (const LogRecord* line = Last(event))
      return line->Field(LogField::kCause);
  }
  return "unknown";
}

// Details from the logs that support the cause, as a continuation of its
// sentence.
std::string RequestHistory::Evidence() const {
  if (const LogRecord* refused = Last(LogEvent::kJobRefused)) {
    return "; at " + refused->process + ", " +
           refused->Field(LogField::kQueued) +
           " jobs were queued and it needed " +
           refused->Field(LogField::kExpectedMs) + " ms";
  }
  const LogRecord* forwarded = Last(LogEvent::kJobForwarded);
  if (!forwarded)
    return "";
  std::string evidence = "; it went to " + forwarded->Field(LogField::kPeer);
  std::vector<std::string> waits;  // ms until the first run of each task
  for (const LogRecord& line : request_lines_) {
    if (line.event == LogEvent::kTaskStarted &&
        line.Field(LogField::kRun) == "1")
      waits.push_back(
          std::to_string(line.wall_ms - request_lines_.front().wall_ms));
  }
  if (waits.empty())
    return evidence + ", where no task was started";
  evidence += ", its tasks started after " + waits.front() + " to " +
              waits.back() + " ms";
  if (const LogRecord* admitted = Last(LogEvent::kJobAdmitted))
    evidence += " (" + admitted->Field(LogField::kExpectedMs) +
                " ms of work were expected)";
  return evidence + EarlyEnds();
}

// Describes the runs that did not complete: stopped, failed, or lost with their
// worker.
std::string RequestHistory::EarlyEnds() const {
  int count = 0;
  const LogRecord* last = nullptr;
  for (const LogRecord& line : request_lines_) {
    if (line.event != LogEvent::kTaskEnded ||
        line.Field(LogField::kOutcome) == "done")
      continue;
    ++count;
    last = &line;
  }
  if (!last)
    return "";
  return "; " + std::to_string(count) + " of its runs ended early, the last " +
         last->Field(LogField::kOutcome) + " on worker " +
         last->Field(LogField::kWorker);
}

std::string RequestHistory::Cause() const {
  if (request_lines_.empty())
    return "no line names this request: it did not reach a VM whose log was "
           "given, or its lines were dropped";
  const LogRecord* answered = Last(LogEvent::kAnswered);
  const auto cause = kJobCauseNames.Find(CauseName());
  if (!answered && !cause)
    return "its VM stopped before an answer: the last line is " +
           std::string(kLogEventNames[request_lines_.back().event]) + " at " +
           request_lines_.back().process;
  std::string sentence(cause ? Explain(*cause) : "unknown cause");
  sentence += Evidence();
  if (!answered)
    sentence += "; its caller got no answer from the VM that took it";
  return sentence;
}

}  // namespace mustardbank
