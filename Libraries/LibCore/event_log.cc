#include "LibCore/event_log.h"

#include <algorithm>

namespace mustardbank {

namespace {

bool NeedsQuotes(std::string_view text) {
  return text.empty() || std::any_of(text.begin(), text.end(), [](char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\';
         });
}

void AppendQuoted(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\')
      out += '\\';
    out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  out += '"';
}

}  // namespace

EventLog::Line& EventLog::Line::Add(LogField field, std::string_view value) {
  if (!buffer_)
    return *this;
  if (!NeedsQuotes(value)) {
    AppendRaw(field, value);
    return *this;
  }
  AppendRaw(field, "");
  AppendQuoted(*buffer_, value);
  return *this;
}

void EventLog::Line::AppendRaw(LogField field, std::string_view text) {
  *buffer_ += ' ';
  *buffer_ += kLogFieldNames[field];
  *buffer_ += '=';
  *buffer_ += text;
}

EventLog::Line EventLog::Write(LogEvent event, Time now, LogBudget budget) {
  if (!TakeBudget(now, budget)) {
    ++dropped_;
    return Line(nullptr);
  }
  if (dropped_ > dropped_reported_) {
    BeginLine(LogEvent::kLinesDropped, now);
    Line(&buffer_).Add(LogField::kCount, dropped_ - dropped_reported_);
    dropped_reported_ = dropped_;
  }
  BeginLine(event, now);
  return Line(&buffer_);
}

bool EventLog::TakeBudget(Time now, LogBudget budget) {
  if (buffer_.size() >= limits_.buffer_bytes)
    return false;
  if (now - second_ >= std::chrono::seconds(1)) {
    second_ = now;
    lines_in_second_ = 0;
  }
  return ++lines_in_second_ <= limits_.lines_per_second ||
         budget == LogBudget::kState;
}

void EventLog::BeginLine(LogEvent event, Time now) {
  const auto wall =
      offset_ + std::chrono::duration_cast<std::chrono::milliseconds>(
                    now.time_since_epoch());
  buffer_ += "ts_ms=";
  buffer_ += std::to_string(wall.count());
  buffer_ += " process=";
  buffer_ += process_;
  buffer_ += " event=";
  buffer_ += kLogEventNames[event];
}

}  // namespace mustardbank
