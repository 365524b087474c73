#include "LibConfig/inventory.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

#include "LibConfig/json_reader.h"

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace mustardbank {

namespace {

VmRecord ReadVm(JsonObjectReader& reader) {
  VmRecord vm;
  vm.name = reader.RequiredString("name");
  const auto role = kVmRoleNames.Find(reader.RequiredString("role"));
  const auto state = kVmStateNames.Find(reader.RequiredString("state"));
  if (!role)
    reader.Fault("role", "expected worker or entry");
  if (!state)
    reader.Fault("state", "expected live, leaving or gone");
  vm.role = role.value_or(VmRole::kWorker);
  vm.state = state.value_or(VmState::kGone);
  vm.data_center = reader.RequiredString("data_center");
  vm.rack = reader.OptionalString("rack", "-");
  const auto endpoint = Endpoint::Parse(reader.RequiredString("endpoint"));
  if (!endpoint)
    reader.Fault("endpoint",
                 "expected an IPv4 address and port such as 10.0.0.1:80");
  vm.endpoint = endpoint.value_or(Endpoint{});
  vm.slots = reader.OptionalInteger("slots", vm.slots, 1, 4096);
  vm.connections =
      reader.OptionalInteger("connections", vm.connections, 1, 65536);
  vm.cores = reader.OptionalInteger("cores", vm.cores, 1, 65536);
  vm.memory_gb = reader.OptionalInteger("memory_gb", vm.memory_gb, 1, 1 << 20);
  vm.accelerators =
      reader.OptionalInteger("accelerators", vm.accelerators, 0, 4096);
  return vm;
}

json::object ToObject(const VmRecord& vm) {
  return json::object{
      {"name", vm.name},
      {"role", kVmRoleNames[vm.role]},
      {"state", kVmStateNames[vm.state]},
      {"data_center", vm.data_center},
      {"rack", vm.rack},
      {"endpoint", vm.endpoint.ToString()},
      {"slots", vm.slots},
      {"connections", vm.connections},
      {"cores", vm.cores},
      {"memory_gb", vm.memory_gb},
      {"accelerators", vm.accelerators},
  };
}

}  // namespace

leaf::result<Inventory> Inventory::Parse(std::string_view text) {
  BOOST_LEAF_AUTO(document, JsonDocument::Parse(text, "list of VMs"));
  std::vector<ConfigFault> faults;
  JsonObjectReader reader(document, document.root(), "", faults);
  Inventory inventory;
  inventory.version = reader.RequiredInteger("version", 0);
  reader.ForEachObject("vms", [&](JsonObjectReader& vm) {
    VmRecord record = ReadVm(vm);
    std::string name = record.name;
    inventory.vms.insert_or_assign(std::move(name), std::move(record));
  });
  reader.Finish();
  if (!faults.empty())
    return leaf::new_error(ConfigError{std::move(faults)});
  return inventory;
}

std::string Inventory::ToJson() const {
  json::array list;
  list.reserve(vms.size());
  for (const auto& [name, vm] : vms)
    list.push_back(ToObject(vm));
  return json::serialize(
      json::object{{"version", version}, {"vms", std::move(list)}});
}

void Inventory::Merge(Inventory&& changes) {
  version = changes.version;
  for (auto& [name, vm] : changes.vms)
    vms.insert_or_assign(name, std::move(vm));
}

}  // namespace mustardbank
