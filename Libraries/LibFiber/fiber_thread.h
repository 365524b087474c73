// A thread that runs fibers over one io_context. Fibers that wait can't be
// ended from outside: the thread goes on, idle, once its object is gone, and
// ends with the process.
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

namespace mustardbank {

class FiberThread {
 public:
  FiberThread();
  ~FiberThread();
  FiberThread(const FiberThread&) = delete;
  FiberThread& operator=(const FiberThread&) = delete;

  boost::asio::io_context& io() { return loop_->io; }
  // Whether the caller runs on this thread.
  bool IsCurrent() const {
    return thread_.get_id() == std::this_thread::get_id();
  }

  // Runs `function` on the thread as a handler, which must not wait.
  template <typename Function>
  void Post(Function&& function) {
    boost::asio::post(loop_->io, std::forward<Function>(function));
  }

  // Starts a fiber on the thread; callable from any thread.
  void Spawn(std::function<void()> function);

  // Starts a fiber; only from a fiber or handler of this thread.
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
