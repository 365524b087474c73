// A Boost.Fiber scheduling algorithm that runs an Asio io_context whenever no
// fiber is ready. An idle thread blocks in the io_context and uses no processor
// time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace mustardbank {

class AsioScheduler final : public boost::fibers::algo::algorithm {
 public:
  explicit AsioScheduler(boost::asio::io_context& io) : io_(io) {}

  void awakened(boost::fibers::context* context) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& time) noexcept override;
  void notify() noexcept override;

 private:
  boost::asio::io_context& io_;
  boost::fibers::scheduler::ready_queue_type ready_;
};

}  // namespace mustardbank
