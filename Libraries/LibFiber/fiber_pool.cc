#include "LibFiber/fiber_pool.h"

#include "LibFiber/fiber_errors.h"
#include "LibFiber/fiber_thread.h"

namespace mustardbank {

void FiberPool::Run(std::function<void()> function) {
  if (!idle_.empty()) {
    Slot* slot = idle_.back();
    idle_.pop_back();
    slot->function = std::move(function);
    slot->signal.Raise();
    return;
  }
  slots_.push_back(std::make_unique<Slot>());
  Slot& slot = *slots_.back();
  slot.function = std::move(function);
  FiberThread::SpawnHere([this, &slot] { Serve(slot); });
}

void FiberPool::Serve(Slot& slot) {
  while (true) {
    RunGuarded("fiber", slot.function);
    slot.function = nullptr;
    idle_.push_back(&slot);
    slot.signal.Wait();
  }
}

}  // namespace mustardbank
