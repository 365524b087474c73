#include "LibFiber/fiber_errors.h"

#include <atomic>

namespace mustardbank {

namespace {

std::atomic<std::uint64_t> error_count{0};

FiberErrors::Reporter& ReporterOfThread() {
  thread_local FiberErrors::Reporter reporter;
  return reporter;
}

}  // namespace

std::uint64_t FiberErrors::count() {
  return error_count;
}

void FiberErrors::SetReporter(Reporter reporter) {
  ReporterOfThread() = std::move(reporter);
}

void FiberErrors::Report(std::string_view place,
                         std::string_view reason) noexcept {
  ++error_count;
  try {
    if (const Reporter& reporter = ReporterOfThread())
      reporter(place, reason);
  } catch (const std::exception&) {
    // Nothing is left to do: the exception is counted.
  }
}

}  // namespace mustardbank
