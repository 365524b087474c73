// Names and contents of the project's rows on the platform.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibCore/job_id.h"

namespace mustardbank {

inline constexpr std::string_view kConfigurationTable = "configuration";
inline constexpr std::string_view kConfigurationKey = "current";
inline constexpr std::string_view kEntryVmTable = "entry_vms";
inline constexpr std::string_view kSuccessionTable = "successions";
inline constexpr std::string_view kKeyTable = "idempotency_keys";

// The row of one entry VM, under its peer endpoint.
struct EntryVmRow {
  std::string name;
  std::string data_center;
  std::uint64_t incarnation = 0;

  std::string ToJson() const;
  static std::optional<EntryVmRow> Parse(std::string_view text);
};

// The row key of one life of an entry VM, as "address/incarnation".
std::string HomeKey(const HomeId& home);
std::optional<HomeId> ParseHomeKey(std::string_view text);

// The row key of a caller's idempotency key.
std::string KeyRowKey(std::string_view team, std::string_view key);

}  // namespace mustardbank
