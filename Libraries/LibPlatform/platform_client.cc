#include "LibPlatform/platform_client.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>

#include "LibHttp/http_client.h"

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{1500};

PlatformError Malformed(std::string reason) {
  return PlatformError{.failure = PlatformFailure::kMalformed,
                       .reason = std::move(reason)};
}

PlatformResult<json::object> ParseObject(const std::string& text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object())
    return Malformed("the response is not a JSON object");
  return std::move(value.get_object());
}

PlatformResult<Row> ParseRow(const json::value& value) {
  const json::object* object = value.if_object();
  const json::value* key = object ? object->if_contains("key") : nullptr;
  const json::value* version =
      object ? object->if_contains("version") : nullptr;
  const json::value* text = object ? object->if_contains("value") : nullptr;
  if (!key || !key->is_string() || !version || !version->is_int64() || !text ||
      !text->is_string()) {
    return Malformed("a row has no valid key, version or value");
  }
  return Row{.key = std::string(key->get_string()),
             .version = static_cast<std::uint64_t>(version->get_int64()),
             .value = std::string(text->get_string())};
}

PlatformResult<std::vector<Row>> ParseRows(const json::object& object,
                                           std::string_view member) {
  const json::value* list = object.if_contains(member);
  if (!list || !list->is_array())
    return Malformed("the response has no list of rows");
  std::vector<Row> rows;
  for (const json::value& value : list->get_array()) {
    auto row = ParseRow(value);
    if (!row)
      return row.error();
    rows.push_back(std::move(*row));
  }
  return rows;
}

std::string ToJson(const std::vector<Write>& writes) {
  json::array operations;
  for (const Write& write : writes) {
    json::object operation{
        {"kind", kWriteKindNames[write.kind]},
        {"table", write.table},
        {"key", write.key},
        {"value", write.value},
    };
    if (write.expected_version)
      operation["expected_version"] = *write.expected_version;
    if (write.ttl_ms > 0)
      operation["ttl_ms"] = write.ttl_ms;
    operations.push_back(std::move(operation));
  }
  return json::serialize(json::object{{"operations", std::move(operations)}});
}

}  // namespace

PlatformClient::PlatformClient(boost::asio::io_context& io,
                               Endpoint endpoint,
                               std::string data_center)
    : io_(io), endpoint_(endpoint), data_center_(std::move(data_center)) {}

PlatformResult<PlatformClient::Answer> PlatformClient::Call(
    std::string method,
    std::string target,
    std::string body,
    std::uint64_t known_version) {
  HttpRequest request{.method = std::move(method),
                      .target = std::move(target),
                      .headers = {{"Data-Center", data_center_}},
                      .body = std::move(body)};
  if (known_version > 0) {
    request.headers.emplace_back("If-None-Match",
                                 '"' + std::to_string(known_version) + '"');
  }
  HttpResult<HttpResponse> response =
      ExchangeOnce(io_, endpoint_, request, kCallTimeout);
  if (!response)
    return PlatformError{.reason = response.error().reason};
  if (response->status >= 500)
    return PlatformError{.reason =
                             "HTTP status " + std::to_string(response->status)};
  return Answer{.status = response->status, .body = std::move(response->body)};
}

PlatformResult<std::optional<Row>> PlatformClient::ReadRow(
    std::string_view table,
    std::string_view key,
    std::uint64_t known_version) {
  auto answer = Call(
      "GET", "/v1/tables/" + std::string(table) + "/rows/" + std::string(key),
      "", known_version);
  if (!answer)
    return answer.error();
  if (answer->status == 304)
    return std::optional<Row>();
  if (answer->status == 404)
    return std::optional(Row{.key = std::string(key)});
  auto object = ParseObject(answer->body);
  if (!object)
    return object.error();
  auto row = ParseRow(*object);
  if (!row)
    return row.error();
  return std::optional(std::move(*row));
}

PlatformResult<std::optional<TableRead>> PlatformClient::ReadTable(
    std::string_view table,
    std::uint64_t known_version) {
  auto answer = Call("GET", "/v1/tables/" + std::string(table) + "/rows", "",
                     known_version);
  if (!answer)
    return answer.error();
  if (answer->status == 304)
    return std::optional<TableRead>();
  auto object = ParseObject(answer->body);
  if (!object)
    return object.error();
  const json::value* version = object->if_contains("version");
  if (!version || !version->is_int64())
    return Malformed("the response has no table version");
  auto rows = ParseRows(*object, "rows");
  if (!rows)
    return rows.error();
  return std::optional(
      TableRead{.version = static_cast<std::uint64_t>(version->get_int64()),
                .rows = std::move(*rows)});
}

PlatformResult<std::vector<Row>> PlatformClient::Transact(
    const std::vector<Write>& writes) {
  auto answer = Call("POST", "/v1/transactions", ToJson(writes), 0);
  if (!answer)
    return answer.error();
  if (answer->status == 409) {
    return (PlatformError{.failure = PlatformFailure::kConflict,
                          .reason = answer->body});
  }
  if (answer->status != 200)
    return Malformed("unexpected HTTP status " +
                     std::to_string(answer->status));
  auto object = ParseObject(answer->body);
  if (!object)
    return object.error();
  return ParseRows(*object, "results");
}

PlatformResult<std::optional<Inventory>> PlatformClient::ReadInventory(
    std::uint64_t known_version) {
  auto answer =
      Call("GET", "/v1/vms?since=" + std::to_string(known_version), "", 0);
  if (!answer)
    return answer.error();
  if (answer->status == 304)
    return std::optional<Inventory>();
  return leaf::try_handle_all(
      [&]() -> leaf::result<PlatformResult<std::optional<Inventory>>> {
        BOOST_LEAF_AUTO(inventory, Inventory::Parse(answer->body));
        return PlatformResult<std::optional<Inventory>>(std::move(inventory));
      },
      [](const ConfigError& error) -> PlatformResult<std::optional<Inventory>> {
        return Malformed(error.ToString());
      },
      []() -> PlatformResult<std::optional<Inventory>> {
        return Malformed("the list of VMs could not be parsed");
      });
}

PlatformResult<void> PlatformClient::PutObject(std::string_view name,
                                               std::string body) {
  auto answer =
      Call("PUT", "/v1/objects/" + std::string(name), std::move(body), 0);
  if (!answer)
    return answer.error();
  if (answer->status >= 300)
    return Malformed("unexpected HTTP status " +
                     std::to_string(answer->status));
  return {};
}

}  // namespace mustardbank
