#include "LibFiber/asio_scheduler.h"

#include <boost/asio/post.hpp>

namespace mustardbank {

void AsioScheduler::awakened(boost::fibers::context* context) noexcept {
  context->ready_link(ready_);
}

boost::fibers::context* AsioScheduler::pick_next() noexcept {
  if (ready_.empty())
    return nullptr;
  boost::fibers::context* context = &ready_.front();
  ready_.pop_front();
  return context;
}

bool AsioScheduler::has_ready_fibers() const noexcept {
  return !ready_.empty();
}

void AsioScheduler::suspend_until(
    const std::chrono::steady_clock::time_point& time) noexcept {
  if (time == std::chrono::steady_clock::time_point::max())
    io_.run_one();
  else
    io_.run_one_until(time);
  io_.poll();
}

void AsioScheduler::notify() noexcept {
  boost::asio::post(io_, [] {});
}

}  // namespace mustardbank
