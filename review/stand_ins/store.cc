#include "stand_ins/store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>

#include "LibCore/base64.h"
#include "LibFiber/fiber_thread.h"
#include "stand_ins/record.h"

namespace json = boost::json;
using mustardbank::HttpRequest;
using mustardbank::HttpResponse;

namespace review {

namespace {

constexpr std::chrono::milliseconds kLatency{4};
constexpr std::chrono::milliseconds kPoll{5};
constexpr std::size_t kMostRows = 500;

HttpResponse ToResponse(unsigned status, const json::object& body) {
  return {.status = status, .body = json::serialize(body)};
}

std::string Decoded(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string Text(const json::value& row, std::string_view key) {
  return std::string(row.at(key).as_string());
}

}  // namespace

void Store::Put(const std::string& table,
                const std::string& key,
                const json::object& value) {
  tables_[table][key] = {json::serialize(value), ++version_, false};
}

HttpResponse Store::Serve(const HttpRequest& request,
                          const std::map<std::string, std::string>& addresses) {
  if (request.path() == "/stand-in/register")
    return Register(request.body);
  mustardbank::SleepFiber(kLatency);
  if (request.path() == "/mustardbank/rows-get")
    return Get(request, addresses);
  if (request.path() == "/mustardbank/rows-feed")
    return Feed(request, addresses);
  if (request.path() == "/mustardbank/rows-tx")
    return Transact(request.body);
  return {.status = 404};
}

json::object Store::ToJson(
    const std::string& table,
    const std::string& key,
    const Row& row,
    const std::map<std::string, std::string>& addresses) const {
  json::object object{{"table", table},
                      {"part", ""},
                      {"key", key},
                      {"rowVersion", row.version}};
  if (row.deleted) {
    object["deleted"] = true;
    return object;
  }
  std::string value = row.value;
  for (const auto& [from, to] : addresses) {
    // Quoted, so that 127.0.0.1:80 does not match 127.0.0.1:8080.
    const std::string quoted = '"' + from + '"';
    const std::size_t at = value.find(quoted);
    if (at != std::string::npos)
      value.replace(at, quoted.size(), '"' + to + '"');
  }
  object["value"] = mustardbank::EncodeBase64(value);
  return object;
}

HttpResponse Store::Get(const HttpRequest& request,
                        const std::map<std::string, std::string>& addresses) {
  const std::string table(request.query("table"));
  const std::string from = Decoded(request.query("from"));
  const std::string limit(request.query("limit"));
  const std::size_t most =
      limit.empty() ? kMostRows
                    : std::min<std::size_t>(kMostRows, std::stoul(limit));
  json::array rows;
  bool has_more = false;
  for (const auto& [key, row] : tables_[table]) {
    if (row.deleted || key < from)
      continue;
    if (rows.size() == most) {
      has_more = true;
      break;
    }
    rows.push_back(ToJson(table, key, row, addresses));
  }
  return ToResponse(200, {{"rows", std::move(rows)},
                          {"hasMore", has_more},
                          {"rowVersion", version_},
                          {"nowMs", NowMs()}});
}

HttpResponse Store::Feed(const HttpRequest& request,
                         const std::map<std::string, std::string>& addresses) {
  const std::string table(request.query("table"));
  const std::uint64_t after = std::stoull(std::string(request.query("after")));
  const std::int64_t end =
      NowMs() + std::stoll(std::string(request.query("waitMs")));
  while (true) {
    std::map<std::uint64_t, json::object> changed;  // in order of the changes
    for (const auto& [key, row] : tables_[table]) {
      if (row.version > after)
        changed[row.version] = ToJson(table, key, row, addresses);
    }
    if (!changed.empty() || NowMs() >= end) {
      json::array rows;
      for (auto& [version, row] : changed)
        rows.push_back(std::move(row));
      return ToResponse(200, {{"rows", std::move(rows)},
                              {"rowVersion", version_},
                              {"nowMs", NowMs()}});
    }
    mustardbank::SleepFiber(kPoll);
  }
}

HttpResponse Store::Transact(const std::string& body) {
  const json::value call = json::parse(body);
  for (const char* list : {"upserts", "remove"}) {
    for (const json::value& row : call.at(list).as_array()) {
      if (Text(row, "table") == "op" || Text(row, "table") == "servers")
        return {.status = 403};
    }
  }
  json::array current;
  bool holds = true;
  for (const json::value& condition : call.at("precondition").as_array()) {
    const std::string table = Text(condition, "table");
    const std::string key = Text(condition, "key");
    const auto row = tables_[table].find(key);
    const bool exists = row != tables_[table].end() && !row->second.deleted;
    const std::uint64_t version = exists ? row->second.version : 0;
    if (exists)
      current.push_back(ToJson(table, key, row->second, {}));
    holds = holds &&
            version == condition.at("rowVersion").to_number<std::uint64_t>();
  }
  if (!holds)
    return ToResponse(412, {{"rows", std::move(current)}});
  ++version_;
  for (const json::value& row : call.at("upserts").as_array())
    tables_[Text(row, "table")][Text(row, "key")] = {
        mustardbank::DecodeBase64(Text(row, "value")).value(), version_, false};
  for (const json::value& row : call.at("remove").as_array())
    tables_[Text(row, "table")][Text(row, "key")] = {"", version_, true};
  return ToResponse(200, {{"rowVersion", version_}, {"nowMs", NowMs()}});
}

HttpResponse Store::Register(const std::string& body) {
  const json::value call = json::parse(body);
  Put("servers", Text(call, "id"), call.at("entry").as_object());
  return {};
}

}  // namespace review
