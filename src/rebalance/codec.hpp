// Encodes and decodes the gossip entries of rebalancing (topic kRebalanceTopic): reports and promises. No
// I/O; the caller passes the time.
#pragma once

#include <optional>
#include <string>

#include "gossip/store.hpp"
#include "rebalance/cluster_view_builder.hpp"
#include "rebalance/plan_agreement.hpp"

namespace paddletrack::rebalance {

/// Groups in a report at most; the least read are left out.
constexpr std::size_t kMaxGroups = 6000;

/// Writes the report into the store. Keys, with values in MessagePack: e0, e1, ... the engines and g0, g1,
/// ... the groups, each value [epoch, items] within the size limit of an entry; v [epoch, number of engine
/// values, number of group values]. v is written last, so that a peer that has received it has received the
/// others.
void publishReport(gossip::Store& store, Duration now, std::uint64_t epoch, const ControllerReport& report);
/// Writes the promise, key p: [epoch, digest].
void publishPromise(gossip::Store& store, Duration now, const Promise& promise);

struct ReceivedReports {
  std::map<std::string, ControllerReport> reports;  ///< By controller; complete ones of the epoch only.
  std::map<std::string, Promise> promises;          ///< By controller, of any epoch.
  std::size_t unreadableValues = 0;
};

/// Reads what all controllers have published for `epoch`.
ReceivedReports readReports(const gossip::Store& store, Duration now, std::uint64_t epoch);

}  // namespace paddletrack::rebalance
