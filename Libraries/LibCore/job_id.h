// Job ids. An id names the home of its job (the entry VM that keeps the job's
// state and answers its caller) by peer endpoint and incarnation, and has a
// sequence number that the home issued. The text of an id ends with a keyed
// digest that also covers the team, so that forged ids and ids of other teams
// are detected without any stored state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/endpoint.h"

namespace mustardbank {

// Identifies one incarnation of an entry VM, which begins when its process
// starts or resumes after a long pause. The incarnation number alone is not
// unique, since two VMs may start at the same instant.
struct HomeId {
  Endpoint endpoint;
  std::uint64_t incarnation = 0;

  auto operator<=>(const HomeId&) const = default;
};

struct JobId {
  Endpoint home;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  HomeId home_id() const {
    return HomeId{.endpoint = home, .incarnation = incarnation};
  }
  auto operator<=>(const JobId&) const = default;
};

// Turns job ids into text and back. All entry VMs share one key.
class JobIdCodec {
 public:
  explicit JobIdCodec(std::string key) : key_(std::move(key)) {}

  std::string Encode(const JobId& id, std::string_view team) const;

  // Returns nothing for malformed and forged ids and for ids of other teams.
  std::optional<JobId> Decode(std::string_view text,
                              std::string_view team) const;

 private:
  std::string key_;
};

}  // namespace mustardbank
