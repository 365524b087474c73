// The data centres whose workers get no new tasks, as the operator requests in
// the platform's store. Rows, full reads of the table and the tables of peers
// may arrive in any order and more than once: for each data centre the entry
// with the highest version of the store wins, so that no older state replaces a
// newer one.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/boot_clock.h"

namespace mustardbank {

struct Evacuation {
  std::uint64_t version = 0;  // of the store
  bool is_requested = false;  // false: withdrawn

  bool operator==(const Evacuation&) const = default;
};

using EvacuationTable = std::map<std::string, Evacuation>;  // by data centre

class Evacuations {
 public:
  // Deployments have a few data centres. Bounds the memory and the heartbeats
  // that nonsense in the store or from a peer can take.
  static constexpr std::size_t kMostEntries = 64;
  static constexpr std::size_t kMostNameBytes = 64;
  // How long a withdrawal is passed on to peers. Peers that still have the
  // request afterwards show it in their heartbeats, and are told again.
  static constexpr Duration kWithdrawalShared = std::chrono::seconds(30);

  static bool IsName(std::string_view data_center);

  // These three return the data centres whose evacuation was requested or
  // withdrawn by this call.

  // A row of the operator's table, from its feed.
  std::vector<std::string> Apply(const std::string& data_center,
                                 Evacuation evacuation,
                                 Time now);
  // All rows of the operator's table at a version of the store. Requests known
  // with a lower version that are absent have been withdrawn.
  std::vector<std::string> ReplaceAll(const EvacuationTable& rows,
                                      std::uint64_t version,
                                      Time now);
  // The table of a peer, which may lack entries. Empty tables tell nothing:
  // earlier builds send none.
  std::vector<std::string> Merge(const EvacuationTable& peer, Time now);

  bool IsEvacuated(const std::string& data_center) const;
  // Whether the operator's table was read, by this process or by a peer.
  bool is_known() const { return is_known_; }
  // When this process learned of each request in force.
  std::map<std::string, Time> InForce() const;
  // The entries to pass on to peers: requests, and withdrawals for a while.
  EvacuationTable Shared(Time now) const;
  // Whether the peer that sent this table has all requests in force.
  bool IsConfirmedBy(const EvacuationTable& peer) const;
  // Counts the requests and withdrawals learned.
  std::uint64_t changes() const { return changes_; }
  // Entries left out since the table was full of other requests.
  std::uint64_t dropped() const { return dropped_; }

  EvacuationTable table() const;

 private:
  struct Entry {
    Evacuation evacuation;
    Time since;       // when it was requested or withdrawn, as learned here
    Time news_since;  // when a peer or this process last lacked it
  };

  // Returns whether the evacuation is in force differently than before.
  bool Update(const std::string& data_center, Evacuation evacuation, Time now);
  // Makes room for an entry by dropping the oldest withdrawal.
  bool MakeRoom();

  std::map<std::string, Entry> entries_;
  bool is_known_ = false;
  std::uint64_t read_version_ = 0;  // highest of the full reads
  std::uint64_t changes_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace mustardbank
