#include "LibDispatch/key_binder.h"

#include <algorithm>

namespace mustardbank {

namespace {

constexpr std::size_t kMaxKeysPerBatch = 200;

}  // namespace

std::optional<BindKeys> KeyBinder::NextBatch() {
  if (!in_flight_.empty() || unsent_.empty())
    return std::nullopt;
  const std::size_t count = std::min(unsent_.size(), kMaxKeysPerBatch);
  in_flight_.assign(unsent_.begin(), unsent_.begin() + count);
  unsent_.erase(unsent_.begin(), unsent_.begin() + count);
  BindKeys batch{.batch = ++batch_};
  for (const Key& key : in_flight_) {
    batch.bindings.push_back(KeyBinding{.team = key.first,
                                        .key = key.second,
                                        .job_id = pending_[key].proposed_id});
  }
  return batch;
}

std::vector<KeyBinder::BindResult> KeyBinder::TakeResults(
    const KeysBound& result) {
  std::vector<BindResult> results;
  if (result.batch != batch_ || in_flight_.empty())
    return results;
  std::map<Key, KeyBinding> bindings;
  if (result.succeeded) {
    for (const KeyBinding& binding : result.bindings)
      bindings[{binding.team, binding.key}] = binding;
  }
  for (const Key& key : in_flight_) {
    auto entry = pending_.extract(key);
    BindResult bind_result{.jobs = std::move(entry.mapped().jobs)};
    const auto binding = bindings.find(key);
    if (binding != bindings.end())
      bind_result.binding = binding->second;
    results.push_back(std::move(bind_result));
  }
  in_flight_.clear();
  return results;
}

}  // namespace mustardbank
