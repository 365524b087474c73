// The platform as the simulated entry VMs see it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibConfig/configuration.h"
#include "LibConfig/inventory.h"
#include "LibDispatch/events.h"

namespace mustardbank {

struct FakePlatform {
  bool is_out = false;
  int write_answers_to_lose = 0;
  std::uint64_t version = 1;  // of the accepted configuration
  Time accepted_at;
  Inventory inventory;
  std::map<std::string, std::string> keys;
  std::map<Endpoint, wire::VmIdentity> registrations;
  std::vector<wire::Succession> successions;

  // Applies a new configuration like an operator's compare-and-set: it succeeds
  // only if the version is still `seen`.
  void Apply(std::uint64_t seen, Time now) {
    if (is_out || seen != version)
      return;
    ++version;
    accepted_at = now;
  }

  ConfigurationRead ReadConfiguration() const {
    ConfigurationRead read;
    read.text = ConfigurationText();
    read.configuration =
        Configuration::Parse(read.text, "fake platform").value();
    return read;
  }

  std::string ConfigurationText() const {
    const std::string token(64, 'a');
    const std::string requests =
        R"("requests":[{"name":"once","idempotent":false,"timeout_ms":500},)"
        R"({"name":"any","idempotent":true,"timeout_ms":500}]})";
    const std::string places =
        R"("teams":["team"],"places":["dc0","dc1"],"delay_tolerance_ms":3000,)"
        R"("delay_tolerance_permille":100000,)";
    return R"({"version":)" + std::to_string(version) +
           R"(,"teams":[{"name":"team","token_sha256":[")" + token +
           R"("],"slots":100}],"services":[{"name":"plain",)" + places +
           requests + R"(,{"name":"retry","retry_failed":true,)" + places +
           requests + "]}";
  }
};

}  // namespace mustardbank
