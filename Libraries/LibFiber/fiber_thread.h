// A thread that runs fibers on one io_context. Suspended fibers can't be ended
// from outside, so the destructor detaches the thread, which then stays until
// the process exits.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

#include "LibFiber/fiber_errors.h"

namespace mustardbank {

class FiberThread {
 public:
  FiberThread();
  ~FiberThread();
  FiberThread(const FiberThread&) = delete;
  FiberThread& operator=(const FiberThread&) = delete;

  boost::asio::io_context& io() { return loop_->io; }
  // Returns whether the calling code runs on this thread.
  bool IsCurrent() const {
    return thread_.get_id() == std::this_thread::get_id();
  }

  // Runs `function` on the thread as a handler, which must not block or
  // suspend.
  template <typename Function>
  void Post(Function&& function) {
    boost::asio::post(loop_->io,
                      [function = std::forward<Function>(function)]() mutable {
                        RunGuarded("handler", function);
                      });
  }

  // Starts a fiber on the thread; callable from any thread.
  void Spawn(std::function<void()> function);

  // Starts a fiber on the current thread; call from its fibers and handlers
  // only.
  static void SpawnHere(std::function<void()> function);

 private:
  // Shared with the thread, which outlives this object.
  struct Loop {
    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work{boost::asio::make_work_guard(io)};
  };

  static void Run(Loop& loop);

  std::shared_ptr<Loop> loop_;
  std::thread thread_;
};

// Suspends the running fiber for `duration`.
template <typename Rep, typename Period>
void SleepFiber(std::chrono::duration<Rep, Period> duration) {
  boost::this_fiber::sleep_for(duration);
}

}  // namespace mustardbank
