// A TCP proxy on loopback with fault injection.
#pragma once

#include <atomic>
#include <memory>

#include "LibCore/endpoint.h"
#include "LibCore/enum_names.h"
#include "LibFiber/fiber_thread.h"

namespace mustardbank {

enum class ProxyFault {
  kNone,
  kDelay,     // bytes are forwarded 100 ms late
  kReset,     // connections are reset, new ones too
  kCutThere,  // bytes to the server are dropped
  kCutBack,   // bytes to the client are dropped
  kSilent,    // all bytes are dropped; connections stay open
};

inline constexpr EnumNames<ProxyFault, 6> kProxyFaultNames{
    {"none", "delay", "reset", "cut_there", "cut_back", "silent"}};

class LoopbackProxy {
 public:
  // Listens on a free port, `endpoint()`, and forwards its connections to
  // `target`.
  LoopbackProxy(FiberThread& thread, Endpoint target);
  ~LoopbackProxy();

  Endpoint endpoint() const { return endpoint_; }
  void SetFault(ProxyFault fault) { fault_ = fault; }

 private:
  struct Connection;

  void Accept();
  void Forward(const std::shared_ptr<Connection>& connection, bool to_server);

  FiberThread& thread_;
  const Endpoint target_;
  Endpoint endpoint_;
  std::atomic<ProxyFault> fault_{ProxyFault::kNone};
  struct Listener;
  std::unique_ptr<Listener> listener_;
};

}  // namespace mustardbank
