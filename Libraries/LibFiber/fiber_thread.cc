#include "LibFiber/fiber_thread.h"

#include <boost/fiber/fixedsize_stack.hpp>
#include <boost/fiber/operations.hpp>
#include <memory>

#include "LibFiber/asio_scheduler.h"
#include "LibFiber/await.h"
#include "LibFiber/fiber_errors.h"

namespace mustardbank {

namespace {

constexpr std::size_t kStackBytes = 128 * 1024;

}  // namespace

FiberThread::FiberThread()
    : loop_(std::make_shared<Loop>()),
      thread_([loop = loop_] { Run(*loop); }) {}

FiberThread::~FiberThread() {
  thread_.detach();
}

void FiberThread::Run(Loop& loop) {
  boost::fibers::use_scheduling_algorithm<AsioScheduler>(loop.io);
  FiberSignal never;
  never.Wait();
}

void FiberThread::Spawn(std::function<void()> function) {
  Post([function = std::move(function)]() mutable {
    SpawnHere(std::move(function));
  });
}

void FiberThread::SpawnHere(std::function<void()> function) {
  boost::fibers::fiber(
      boost::fibers::launch::post, std::allocator_arg,
      boost::fibers::fixedsize_stack(kStackBytes),
      [function = std::move(function)] { RunGuarded("fiber", function); })
      .detach();
}

}  // namespace mustardbank
