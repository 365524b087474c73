// Polls the platform for the configuration, the inventory of VMs and the
// registrations of entry VMs, and writes this VM's rows to it. During an outage
// of the platform the rest of the process keeps working.
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

  // Returns the incarnation registered at `endpoint`, or 0 if there is none or
  // the platform does not answer within a bounded time. Call from a fiber only.
  std::uint64_t RegisteredIncarnation(Endpoint endpoint);

  // Starts polling; call from a fiber or handler of the thread.
  void Start();

  // Callable from any thread.
  void Bind(BindKeys&& keys);
  void Release(ReleaseKey&& key);
  void Publish(PublishIdentity&& identity);
  void Publish(PublishSuccession&& succession);

 private:
  void PollConfiguration();
  void PollInventory();
  void PollRegistrations();
  void WritePending();
  void WriteBindings(const BindKeys& keys);

  template <typename Function>
  void PollEvery(std::chrono::milliseconds interval, Function function);

  const Settings& settings_;
  FiberThread& thread_;
  EventQueue& events_;
  PlatformClient client_;
  FiberPool fibers_;
  std::uint64_t configuration_row_version_ = 0;  // version last read
  std::uint64_t inventory_version_ = 0;
  std::uint64_t vm_table_version_ = 0;
  std::uint64_t succession_table_version_ = 0;
  std::deque<Write> pending_;  // writes not confirmed yet, oldest first
  bool is_writing_ = false;
};

}  // namespace mustardbank
