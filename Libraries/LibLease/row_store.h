// Rows of the platform's transactional store, independent of its encoding.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/boot_clock.h"
#include "LibCore/enum_names.h"

namespace mustardbank {

struct StoreRow {
  std::string table;
  std::string key;
  std::string value;  // binary
  std::uint64_t version = 0;
  bool deleted = false;
};

struct RowPage {
  std::vector<StoreRow> rows;
  std::uint64_t version = 0;  // newest version of the store
  // When the store was asked. The rows are as new as this, however long the
  // answer took and this process waited before it read it.
  Time requested{};
};

// A change that applies only if the row still has the expected version.
struct RowChange {
  std::string table;
  std::string key;
  std::string value;
  bool is_removal = false;
  bool is_conditional = false;
  std::uint64_t expected_version = 0;  // 0: the row does not exist
};

enum class StoreFailure {
  kUnavailable,  // nothing was done
  kThrottled,    // beyond the store's rates; nothing was done
  kNoAnswer,     // may have been done, or may still be
  kConflict,     // the row has another version
  kHistoryGone,  // changes since the given version are no longer kept
  kMalformed,    // the answer can't be read
  kRejected,  // the store answered that the call is invalid; nothing was done
};

inline constexpr EnumNames<StoreFailure, 7> kStoreFailureNames{
    {"unavailable", "throttled", "no_answer", "conflict", "history_gone",
     "malformed", "rejected"}};

struct StoreError {
  StoreFailure failure = StoreFailure::kUnavailable;
  std::string reason;
};

}  // namespace mustardbank
