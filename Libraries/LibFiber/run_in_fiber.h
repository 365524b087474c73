// Runs a function in a fiber and waits for its value from a plain thread.
#pragma once

#include <future>
#include <type_traits>
#include <utility>

#include "LibFiber/fiber_thread.h"

namespace mustardbank {

template <typename Function>
auto RunInFiber(FiberThread& thread, Function function) {
  using Value = std::invoke_result_t<Function>;
  std::promise<Value> promise;
  thread.Spawn([&] { promise.set_value(function()); });
  return promise.get_future().get();
}

}  // namespace mustardbank
