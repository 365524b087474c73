// Names of the tables that this project keeps on the platform, and keys and
// contents of their rows.
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
inline constexpr std::string_view kIdempotencyKeyTable = "idempotency_keys";

// The row of an entry VM. Its key is the VM's peer endpoint.
struct EntryVmRow {
  std::string name;
  std::string data_center;
  std::uint64_t incarnation = 0;

  std::string ToJson() const;
  static std::optional<EntryVmRow> Parse(std::string_view text);
};

// Row keys of incarnations of entry VMs, as "a.b.c.d:port/incarnation".
std::string HomeKey(const HomeId& home);
std::optional<HomeId> ParseHomeKey(std::string_view text);

// The row of a succession, whose key is that of the stopped incarnation.
struct SuccessionRow {
  Endpoint successor;
  std::uint32_t hand_overs = 1;  // of the record so far

  // "a.b.c.d:port" after the first hand-over, then "a.b.c.d:port/HAND_OVERS".
  std::string ToText() const;
  static std::optional<SuccessionRow> Parse(std::string_view text);
};

// Returns the row key of the idempotency key `key` of `team`.
std::string IdempotencyRowKey(std::string_view team, std::string_view key);

}  // namespace mustardbank
