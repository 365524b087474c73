// Runs a function in a fiber and waits for its value from a plain thread.
#pragma once

#include <future>
#include <memory>
#include <type_traits>
#include <utility>

#include "LibFiber/fiber_thread.h"

namespace mustardbank {

template <typename Function>
auto RunInFiber(FiberThread& thread, Function function) {
  using Value = std::invoke_result_t<Function>;
  // Shared, since the fiber still holds the promise when the value arrives.
  const auto promise = std::make_shared<std::promise<Value>>();
  std::future<Value> value = promise->get_future();
  thread.Spawn([promise, &function] { promise->set_value(function()); });
  return value.get();
}

}  // namespace mustardbank
