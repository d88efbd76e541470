// A controller's words about where data lies, as the share carries them: topic kRebalance. No I/O, no clock.
#pragma once

#include <optional>
#include <string>

#include "rebalance/agreement.hpp"
#include "rebalance/gather.hpp"
#include "share/store.hpp"

namespace paddletrack::rebalance {

// Keys, values in MessagePack: e0, e1, ... the engines, g0, g1, ... the groups, each value [epoch, items] and
// within an entry's bounds; v [epoch, values of engines, values of groups], written last, so that who has it
// has the others; p [epoch, digest] the promise. Groups past kMostGroups, the least read, are left out.
constexpr std::size_t kMostGroups = 6000;
void put(share::Store& store, Span now, std::uint64_t epoch, const Account& account);
void put(share::Store& store, Span now, const Promise& promise);

struct Words {
  std::map<std::string, Account> accounts;  // of this epoch, whole ones only
  std::map<std::string, Promise> promises;
  std::size_t unreadable = 0;
};
Words read(const share::Store& store, Span now, std::uint64_t epoch);

}  // namespace paddletrack::rebalance
