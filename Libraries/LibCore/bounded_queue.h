// A bounded queue between threads. The consumer takes all items at once.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace mustardbank {

template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t capacity) : capacity_(capacity) {}

  // Returns false, and leaves `item` unchanged, if the queue is full.
  bool TryPush(T&& item) {
    bool was_empty = false;
    {
      std::lock_guard lock(mutex_);
      if (items_.size() >= capacity_)
        return false;
      was_empty = items_.empty();
      items_.push_back(std::move(item));
    }
    if (was_empty)
      filled_.notify_one();
    return true;
  }

  // Adds an item even if the queue is full, for items that must not be lost and
  // whose number is bounded elsewhere.
  void Push(T&& item) {
    bool was_empty = false;
    {
      std::lock_guard lock(mutex_);
      was_empty = items_.empty();
      items_.push_back(std::move(item));
    }
    if (was_empty)
      filled_.notify_one();
  }

  // Replaces the contents of `items` by all queued items. If there are none,
  // waits up to `timeout` for the first.
  template <typename Rep, typename Period>
  void TakeAll(std::vector<T>& items,
               std::chrono::duration<Rep, Period> timeout) {
    items.clear();
    std::unique_lock lock(mutex_);
    filled_.wait_for(lock, timeout, [this] { return !items_.empty(); });
    items.swap(items_);
  }

 private:
  const std::size_t capacity_;
  std::mutex mutex_;
  std::condition_variable filled_;
  std::vector<T> items_;
};

}  // namespace mustardbank
