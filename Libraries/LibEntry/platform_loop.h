// Reads configuration, inventory and registrations from the platform and writes
// what this VM has to keep there. An outage stops none of the other work.
#pragma once

#include <deque>
#include <optional>
#include <string>

#include "LibConfig/settings.h"
#include "LibEntry/traffic_thread.h"
#include "LibFiber/fiber_pool.h"
#include "LibFiber/fiber_thread.h"
#include "LibPlatform/platform_client.h"

namespace mustardbank {

class PlatformLoop {
 public:
  PlatformLoop(const Settings& settings,
               FiberThread& thread,
               EventQueue& events);

  // The newest incarnation registered at `endpoint`, 0 if none or unknown.
  // Waits for the platform for a bounded time; only from a fiber.
  std::uint64_t RegisteredIncarnation(Endpoint endpoint);

  // Starts to poll, from a fiber or handler of the thread.
  void Start();

  // From any thread.
  void Bind(BindKeys&& keys);
  void Release(ReleaseKey&& key);
  void Publish(PublishIdentity&& identity);
  void Publish(PublishSuccession&& succession);

 private:
  void PollConfiguration();
  void PollInventory();
  void PollRegistrations();
  void WritePending();
  void RunBind(const BindKeys& keys);

  template <typename Function>
  void PollEvery(std::chrono::milliseconds interval, Function function);

  const Settings& settings_;
  FiberThread& thread_;
  EventQueue& events_;
  PlatformClient client_;
  FiberPool fibers_;
  std::uint64_t configuration_row_ = 0;  // version of the row last read
  std::uint64_t inventory_version_ = 0;
  std::uint64_t vm_table_version_ = 0;
  std::uint64_t succession_table_version_ = 0;
  std::deque<Write> pending_;  // writes that must still reach the platform
  bool is_writing_ = false;
};

}  // namespace mustardbank
