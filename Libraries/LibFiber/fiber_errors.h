// Exceptions that nothing else has caught. At the edge of a fiber or handler
// they would end the process; here they are counted and reported, and the
// process goes on.
#pragma once

#include <boost/context/detail/exception.hpp>
#include <cstdint>
#include <exception>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace mustardbank {

class FiberErrors {
 public:
  using Reporter =
      std::function<void(std::string_view place, std::string_view reason)>;

  // The number of exceptions in this process.
  static std::uint64_t count();
  // Sets the function that logs the exceptions of the calling thread.
  static void SetReporter(Reporter reporter);
  static void Report(std::string_view place, std::string_view reason) noexcept;
};

// Calls `function`; returns whether it returned without an exception.
template <typename Function>
bool RunGuarded(std::string_view place, Function&& function) {
  std::string reason;
  try {
    std::forward<Function>(function)();
    return true;
  } catch (const boost::context::detail::forced_unwind&) {
    // Boost.Context ends fibers by this exception.
    throw;
  } catch (const std::exception& error) {
    reason = error.what();
  } catch (...) {
    reason = "unknown";
  }
  // After the handlers, since a fiber must not be suspended within one.
  FiberErrors::Report(place, reason);
  return false;
}

}  // namespace mustardbank
