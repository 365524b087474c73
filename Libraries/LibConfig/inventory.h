// The inventory: the platform's list of workers and entry VMs, with the state
// of each VM.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "LibConfig/json_document.h"
#include "LibCore/endpoint.h"
#include "LibCore/enum_names.h"

namespace mustardbank {

enum class VmRole { kWorker, kEntry };
inline constexpr EnumNames<VmRole, 2> kVmRoleNames{{"worker", "entry"}};

enum class VmState { kLive, kLeaving, kGone };
inline constexpr EnumNames<VmState, 3> kVmStateNames{
    {"live", "leaving", "gone"}};

struct VmRecord {
  std::string name;
  VmRole role = VmRole::kWorker;
  VmState state = VmState::kLive;
  std::string data_center;
  std::string rack;
  Endpoint endpoint;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::uint32_t cores = 1;
  std::uint32_t memory_gb = 1;
  std::uint32_t accelerators = 0;
};

struct Inventory {
  std::uint64_t version = 0;
  std::map<std::string, VmRecord, std::less<>> vms;

  // Reads the JSON text of the platform; fails with ConfigError.
  static boost::leaf::result<Inventory> Parse(std::string_view text);
  std::string ToJson() const;

  // Applies a later version that contains only the VMs that changed.
  void Merge(Inventory&& changes);
};

}  // namespace mustardbank
