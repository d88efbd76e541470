// A controller's words about where data lies, as the share carries them: topic kRebalance. No I/O, no clock.
#pragma once

#include <optional>
#include <string>

#include "gossip/store.hpp"
#include "rebalance/cluster_view_builder.hpp"
#include "rebalance/plan_agreement.hpp"

namespace paddletrack::rebalance {

// Keys, values in MessagePack: e0, e1, ... the engines, g0, g1, ... the groups, each value [epoch, items] and
// within an entry's bounds; v [epoch, values of engines, values of groups], written last, so that who has it
// has the others; p [epoch, digest] the promise. Groups past kMostGroups, the least read, are left out.
constexpr std::size_t kMaxGroups = 6000;
void publishReport(gossip::Store& store, Duration now, std::uint64_t epoch, const ControllerReport& report);
void publishPromise(gossip::Store& store, Duration now, const Promise& promise);

struct ReceivedReports {
  std::map<std::string, ControllerReport> reports;  // of this epoch, whole ones only
  std::map<std::string, Promise> promises;
  std::size_t unreadableValues = 0;
};
ReceivedReports readReports(const gossip::Store& store, Duration now, std::uint64_t epoch);

}  // namespace paddletrack::rebalance
