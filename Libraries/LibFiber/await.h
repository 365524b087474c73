// Suspends the running fiber until an Asio operation of the same thread ends.
#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace mustardbank {

// A signal between fibers and handlers of one thread, for one waiting fiber at
// a time. Wait() resets it.
class FiberSignal {
 public:
  FiberSignal() = default;
  FiberSignal(const FiberSignal&) = delete;
  FiberSignal& operator=(const FiberSignal&) = delete;

  void Raise() {
    raised_ = true;
    if (waiter_)
      boost::fibers::context::active()->schedule(
          std::exchange(waiter_, nullptr));
  }

  void Wait() {
    while (!raised_) {
      waiter_ = boost::fibers::context::active();
      waiter_->suspend();
    }
    raised_ = false;
  }

 private:
  boost::fibers::context* waiter_ = nullptr;
  bool raised_ = false;
};

struct IoResult {
  boost::system::error_code error;
  std::size_t bytes = 0;
};

// Completion handler of the operations that `Await` starts.
struct AwaitHandler {
  FiberSignal& signal;
  IoResult& result;

  void operator()(boost::system::error_code error, std::size_t bytes) const {
    result.error = error;
    result.bytes = bytes;
    signal.Raise();
  }
  void operator()(boost::system::error_code error) const { (*this)(error, 0); }
};

// Calls `start` with a completion handler, and suspends the fiber until the
// handler is called.
template <typename Start>
IoResult Await(Start&& start) {
  FiberSignal signal;
  IoResult result;
  std::forward<Start>(start)(AwaitHandler{signal, result});
  signal.Wait();
  return result;
}

}  // namespace mustardbank
