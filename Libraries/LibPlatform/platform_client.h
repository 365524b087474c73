// Client of the platform's table service, object store and list of VMs. The
// interface is described in docs/PLATFORM.md.
#pragma once

#include <boost/system/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfig/inventory.h"
#include "LibCore/endpoint.h"
#include "LibCore/enum_names.h"

namespace boost::asio {
class io_context;
}

namespace mustardbank {

enum class PlatformFailure {
  kUnavailable,  // unreachable or no response; a write may have taken effect
  kConflict,     // an expected version of a transaction did not match
  kMalformed,    // the response could not be parsed
};
inline constexpr EnumNames<PlatformFailure, 3> kPlatformFailureNames{
    {"unavailable", "conflict", "malformed"}};

struct PlatformError {
  PlatformFailure failure = PlatformFailure::kUnavailable;
  std::string reason;
};

// The result of a call that suspends its fiber. See HttpResult for why it is
// not a leaf::result.
template <typename T>
using PlatformResult = boost::system::result<T, PlatformError>;

struct Row {
  std::string key;
  std::uint64_t version = 0;  // 0: no such row
  std::string value;
};

enum class WriteKind { kPut, kPutIfAbsent, kDelete };
inline constexpr EnumNames<WriteKind, 3> kWriteKindNames{
    {"put", "put_if_absent", "delete"}};

struct Write {
  WriteKind kind = WriteKind::kPut;
  std::string table;
  std::string key;
  std::string value;
  std::optional<std::uint64_t> expected_version;  // 0: the row must not exist
  std::uint64_t ttl_ms = 0;                       // 0: never expires
};

// All rows of a table, and the version of the table.
struct TableRead {
  std::uint64_t version = 0;
  std::vector<Row> rows;
};

// Must be used from fibers of one thread only.
class PlatformClient {
 public:
  PlatformClient(boost::asio::io_context& io,
                 Endpoint endpoint,
                 std::string data_center);

  // ReadRow and ReadTable return nothing if the row or table still has the
  // version `known_version`.
  PlatformResult<std::optional<Row>> ReadRow(std::string_view table,
                                             std::string_view key,
                                             std::uint64_t known_version = 0);
  PlatformResult<std::optional<TableRead>> ReadTable(
      std::string_view table,
      std::uint64_t known_version = 0);
  // Performs all writes or none, and returns the resulting rows.
  PlatformResult<std::vector<Row>> Transact(const std::vector<Write>& writes);
  // Returns the VMs that changed since `known_version`, or nothing if none did.
  PlatformResult<std::optional<Inventory>> ReadInventory(
      std::uint64_t known_version);
  PlatformResult<void> PutObject(std::string_view name, std::string body);

 private:
  struct Answer {
    unsigned status = 0;
    std::string body;
  };
  PlatformResult<Answer> Call(std::string method,
                              std::string target,
                              std::string body,
                              std::uint64_t known_version);

  boost::asio::io_context& io_;
  const Endpoint endpoint_;
  const std::string data_center_;
};

}  // namespace mustardbank
