// Fibers of one thread that are kept for further functions, so that starting
// one costs no stack allocation.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "LibFiber/await.h"

namespace mustardbank {

class FiberPool {
 public:
  // Runs `function` in a fiber of this thread; only from its fibers and
  // handlers.
  void Run(std::function<void()> function);

 private:
  struct Slot {
    FiberSignal signal;
    std::function<void()> function;
  };

  void Serve(Slot& slot);

  std::vector<std::unique_ptr<Slot>> slots_;
  std::vector<Slot*> idle_;
};

}  // namespace mustardbank
