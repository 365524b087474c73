// The daemon of one entry VM.
#pragma once

#include <boost/leaf/result.hpp>
#include <functional>
#include <memory>

#include "LibConfig/settings.h"
#include "LibCore/endpoint.h"

namespace mustardbank {

struct EntryEndpoints {
  Endpoint callers;
  Endpoint operators;
  Endpoint peers;
};

class EntryProcess {
 public:
  // Opens all listeners and joins the deployment; fails with StartError.
  static boost::leaf::result<std::unique_ptr<EntryProcess>> Start(
      Settings settings);
  ~EntryProcess();

  const EntryEndpoints& endpoints() const;

  // Begins a graceful stop; callable from any thread.
  void Drain();
  // Blocks until this VM has left the deployment, or the drain limit has
  // passed. Then waits a bounded number of polls for open requests to be
  // answered.
  void WaitUntilDrained();

 private:
  class Impl;
  explicit EntryProcess(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace mustardbank
