// A pool of fibers of one thread. Idle fibers are reused, so that running a
// function in a fiber rarely allocates a stack.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "LibFiber/await.h"

namespace mustardbank {

class FiberPool {
 public:
  // Runs `function` in a fiber of the pool; call from fibers and handlers of
  // the pool's thread only.
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
