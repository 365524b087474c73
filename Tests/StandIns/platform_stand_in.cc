// Stand-in for the platform with fault injection: a transactional table
// service, an object store and a list of VMs, in memory, with the interface of
// docs/PLATFORM.md.
//
// POST /admin/faults injects faults. Its body has any of:
//   outage: refuse all calls
//   outage_hangs: in an outage, delay the refusals by 3 s
//   slow_ms: delay each call
//   lose_answers: N, execute the next N writes but answer 504
//   cut: data centres whose calls are refused
// POST /admin/vms changes the list of VMs: {"vms": [...], "lag_ms": N}. The
// change is visible after N ms.
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string>

#include "LibCore/boot_clock.h"
#include "LibFiber/fiber_thread.h"
#include "LibHttp/http_server.h"

namespace json = boost::json;
namespace leaf = boost::leaf;
using namespace mustardbank;

namespace {

struct StoredRow {
  std::uint64_t version = 0;
  std::string value;
  std::optional<Time> expires_at;
};

struct Table {
  std::uint64_t version = 0;
  std::map<std::string, StoredRow> rows;
};

struct ListedVm {
  json::object record;
  std::uint64_t version = 0;
};

struct VmChange {
  Time visible_at;
  json::array vms;
};

struct Faults {
  bool outage = false;
  bool outage_hangs = false;
  std::int64_t slow_ms = 0;
  std::int64_t lose_answers = 0;
  std::set<std::string> cut;
};

HttpResponse JsonResponse(unsigned status, const json::value& body) {
  return HttpResponse{.status = status, .body = json::serialize(body)};
}

std::uint64_t KnownVersion(const HttpRequest& request) {
  const std::string_view header = request.header("If-None-Match");
  return header.size() < 3
             ? 0
             : std::strtoull(std::string(header.substr(1)).c_str(), nullptr,
                             10);
}

class Platform {
 public:
  HttpResponse Serve(HttpRequest&& request) {
    const std::string_view path = request.path();
    if (path.starts_with("/admin/"))
      return ServeAdmin(request);
    const std::string data_center(request.header("Data-Center"));
    if (faults_.outage || faults_.cut.contains(data_center)) {
      if (faults_.outage_hangs)
        SleepFiber(std::chrono::seconds(3));
      return ProblemResponse(503, "Outage", "Injected.");
    }
    ++(request.method == "GET" ? reads_ : writes_);
    if (faults_.slow_ms > 0)
      SleepFiber(std::chrono::milliseconds(faults_.slow_ms));
    if (path == "/v1/transactions")
      return ServeTransaction(request);
    if (path == "/v1/vms")
      return ServeVms(request);
    if (path.starts_with("/v1/tables/"))
      return ServeTable(request);
    if (path.starts_with("/v1/objects/"))
      return ServeObject(request);
    return ProblemResponse(404, "No such resource", std::string(path));
  }

 private:
  HttpResponse ServeAdmin(const HttpRequest& request) {
    json::error_code error;
    json::value body = json::parse(request.body, error);
    if (request.path() == "/admin/counts") {
      return JsonResponse(200,
                          json::object{{"reads", reads_}, {"writes", writes_}});
    }
    if (error || !body.is_object())
      return ProblemResponse(400, "Malformed", "Expected a JSON object.");
    json::object& object = body.get_object();
    if (request.path() == "/admin/faults") {
      SetFaults(object);
      return JsonResponse(200, json::object{});
    }
    if (request.path() == "/admin/vms") {
      const std::int64_t lag =
          object.contains("lag_ms") ? object.at("lag_ms").as_int64() : 0;
      vm_changes_.push_back(VmChange{
          .visible_at = BootClock::now() + std::chrono::milliseconds(lag),
          .vms = object.at("vms").as_array()});
      return JsonResponse(200, json::object{});
    }
    return ProblemResponse(404, "No such resource", "");
  }

  void SetFaults(const json::object& object) {
    if (const json::value* value = object.if_contains("outage"))
      faults_.outage = value->as_bool();
    if (const json::value* value = object.if_contains("outage_hangs"))
      faults_.outage_hangs = value->as_bool();
    if (const json::value* value = object.if_contains("slow_ms"))
      faults_.slow_ms = value->as_int64();
    if (const json::value* value = object.if_contains("lose_answers"))
      faults_.lose_answers = value->as_int64();
    if (const json::value* value = object.if_contains("cut")) {
      faults_.cut.clear();
      for (const json::value& name : value->as_array())
        faults_.cut.emplace(name.as_string());
    }
  }

  void Expire(Table& table) {
    const Time now = BootClock::now();
    std::erase_if(table.rows, [now](const auto& entry) {
      return entry.second.expires_at && *entry.second.expires_at <= now;
    });
  }

  static json::object ToObject(const std::string& key, const StoredRow& row) {
    return json::object{
        {"key", key}, {"version", row.version}, {"value", row.value}};
  }

  HttpResponse ServeTable(const HttpRequest& request) {
    std::string rest(request.path().substr(std::string("/v1/tables/").size()));
    const std::size_t slash = rest.find('/');
    Table& table = tables_[rest.substr(0, slash)];
    Expire(table);
    const std::uint64_t known = KnownVersion(request);
    rest = slash == std::string::npos ? "" : rest.substr(slash);
    if (rest == "/rows") {
      if (known != 0 && known == table.version)
        return HttpResponse{.status = 304};
      json::array rows;
      for (const auto& [key, row] : table.rows)
        rows.push_back(ToObject(key, row));
      return JsonResponse(200, json::object{{"version", table.version},
                                            {"rows", std::move(rows)}});
    }
    const std::string key = rest.substr(std::string("/rows/").size());
    const auto it = table.rows.find(key);
    if (it == table.rows.end())
      return ProblemResponse(404, "No such row", key);
    if (known != 0 && known == it->second.version)
      return HttpResponse{.status = 304};
    return JsonResponse(200, ToObject(key, it->second));
  }

  // Returns the index of the first operation whose `expected_version` differs
  // from the version of the row, or -1.
  std::int64_t FindConflict(const json::array& operations) {
    for (std::size_t i = 0; i < operations.size(); ++i) {
      const json::object& operation = operations[i].as_object();
      const json::value* expected = operation.if_contains("expected_version");
      if (!expected)
        continue;
      Table& table = tables_[std::string(operation.at("table").as_string())];
      Expire(table);
      const auto row =
          table.rows.find(std::string(operation.at("key").as_string()));
      const std::uint64_t version =
          row == table.rows.end() ? 0 : row->second.version;
      if (version != expected->to_number<std::uint64_t>())
        return static_cast<std::int64_t>(i);
    }
    return -1;
  }

  json::object Apply(const json::object& operation) {
    Table& table = tables_[std::string(operation.at("table").as_string())];
    Expire(table);
    const std::string key(operation.at("key").as_string());
    const std::string_view kind = operation.at("kind").as_string();
    if (kind == "delete") {
      table.rows.erase(key);
      ++table.version;
      return ToObject(key, StoredRow{});
    }
    const auto existing = table.rows.find(key);
    if (kind == "put_if_absent" && existing != table.rows.end())
      return ToObject(key, existing->second);
    StoredRow& row = table.rows[key];
    ++row.version;
    ++table.version;
    row.value = std::string(operation.at("value").as_string());
    row.expires_at.reset();
    if (const json::value* ttl = operation.if_contains("ttl_ms"))
      row.expires_at =
          BootClock::now() + std::chrono::milliseconds(ttl->to_number<long>());
    return ToObject(key, row);
  }

  HttpResponse ServeTransaction(const HttpRequest& request) {
    json::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_object())
      return ProblemResponse(400, "Malformed", "Expected a JSON object.");
    const json::array& operations = body.at("operations").as_array();
    const std::int64_t conflict = FindConflict(operations);
    if (conflict >= 0) {
      return JsonResponse(409, json::object{{"conflict", conflict}});
    }
    json::array results;
    for (const json::value& operation : operations)
      results.push_back(Apply(operation.as_object()));
    if (faults_.lose_answers > 0) {
      --faults_.lose_answers;
      return ProblemResponse(504, "Answer lost", "Injected after the write.");
    }
    return JsonResponse(200, json::object{{"results", std::move(results)}});
  }

  void ApplyDueVmChanges() {
    const Time now = BootClock::now();
    for (auto it = vm_changes_.begin(); it != vm_changes_.end();) {
      if (it->visible_at > now) {
        ++it;
        continue;
      }
      ++vms_version_;
      for (const json::value& vm : it->vms) {
        const std::string name(vm.at("name").as_string());
        ListedVm& listed = vms_[name];
        for (const auto& member : vm.as_object())
          listed.record[member.key()] = member.value();
        listed.version = vms_version_;
      }
      it = vm_changes_.erase(it);
    }
  }

  HttpResponse ServeVms(const HttpRequest& request) {
    ApplyDueVmChanges();
    const std::uint64_t since =
        std::strtoull(std::string(request.query("since")).c_str(), nullptr, 10);
    if (since == vms_version_)
      return HttpResponse{.status = 304};
    json::array vms;
    for (const auto& [name, vm] : vms_) {
      if (vm.version > since)
        vms.push_back(vm.record);
    }
    return JsonResponse(
        200, json::object{{"version", vms_version_}, {"vms", std::move(vms)}});
  }

  HttpResponse ServeObject(const HttpRequest& request) {
    const std::string name(
        request.path().substr(std::string("/v1/objects/").size()));
    if (request.method == "PUT") {
      objects_[name] = request.body;
      return HttpResponse{.status = 204};
    }
    const auto it = objects_.find(name);
    if (it == objects_.end())
      return ProblemResponse(404, "No such object", name);
    return HttpResponse{.body = it->second};
  }

  Faults faults_;
  std::map<std::string, Table> tables_;
  std::map<std::string, std::string> objects_;
  std::map<std::string, ListedVm> vms_;
  std::vector<VmChange> vm_changes_;
  std::uint64_t vms_version_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const Endpoint listen_endpoint =
      Endpoint::Parse(argc > 1 ? argv[1] : "127.0.0.1:0").value_or(Endpoint{});
  Platform platform;
  FiberThread thread;
  HttpServer server(HttpServerLimits{.body_bytes = 64 * 1024 * 1024},
                    [&](HttpRequest&& request) {
                      return platform.Serve(std::move(request));
                    });
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(endpoint, server.Listen({&thread}, listen_endpoint));
        std::cout << endpoint.ToString() << std::endl;
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        int signal = 0;
        sigwait(&signals, &signal);
        std::_Exit(0);
      },
      [](const ListenError& error) {
        std::cerr << error.reason << '\n';
        return 1;
      },
      [] { return 1; });
}
