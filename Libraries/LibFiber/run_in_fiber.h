// Runs a function in a fiber of another thread and blocks until it returns.
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
  // Shared, since the fiber may still be in set_value() when this function
  // returns.
  const auto promise = std::make_shared<std::promise<Value>>();
  std::future<Value> value = promise->get_future();
  thread.Spawn([promise, &function] { promise->set_value(function()); });
  return value.get();
}

}  // namespace mustardbank
