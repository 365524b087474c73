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
  kUnavailable,  // not reached, or no answer: a write may have taken effect
  kConflict,     // a transaction's expectation did not hold
  kMalformed,    // an answer that can't be read
};
inline constexpr EnumNames<PlatformFailure, 3> kPlatformFailureNames{
    {"unavailable", "conflict", "malformed"}};

struct PlatformError {
  PlatformFailure failure = PlatformFailure::kUnavailable;
  std::string reason;
};

// The result of a call that suspends its fiber; see HttpResult.
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
  std::optional<std::uint64_t> expected_version;  // 0: must not exist
  std::uint64_t ttl_ms = 0;                       // 0: kept for good
};

// All rows of a table, or nothing if its version is the one already known.
struct TableRead {
  std::uint64_t version = 0;
  std::vector<Row> rows;
};

// Used from fibers of one thread.
class PlatformClient {
 public:
  PlatformClient(boost::asio::io_context& io,
                 Endpoint endpoint,
                 std::string data_center);

  // Yields nothing if the row still has the known version.
  PlatformResult<std::optional<Row>> ReadRow(std::string_view table,
                                             std::string_view key,
                                             std::uint64_t known_version = 0);
  PlatformResult<std::optional<TableRead>> ReadTable(
      std::string_view table,
      std::uint64_t known_version = 0);
  // Makes all writes or none. Returns the rows as they then stand.
  PlatformResult<std::vector<Row>> Transact(const std::vector<Write>& writes);
  // The VMs that changed since `known_version`, or nothing if none did.
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
