// Encodes and decodes the gossip entries of rebalancing (topic kRebalanceTopic): reports and promises.
// Performs no I/O; the caller passes the current time.
#pragma once

#include <optional>
#include <string>

#include "gossip/store.hpp"
#include "rebalance/cluster_view_builder.hpp"
#include "rebalance/plan_agreement.hpp"

namespace paddletrack::rebalance {

/// Maximum number of groups in a report; the groups with the fewest reads are omitted.
constexpr std::size_t kMaxGroups = 6000;

/// Writes the report into the store, with values encoded in MessagePack. The keys e0, e1, ... contain the
/// engines and g0, g1, ... the groups; each value is [epoch, items] and within the size limit of an entry.
/// The key v contains [epoch, number of engine values, number of group values]. It is written last, so that a
/// peer that has received v has also received the other values.
void publishReport(gossip::Store& store, Duration now, std::uint64_t epoch, const ControllerReport& report);
/// Writes the promise into the store, under key p as [epoch, digest].
void publishPromise(gossip::Store& store, Duration now, const Promise& promise);

struct ReceivedReports {
  std::map<std::string, ControllerReport> reports;  ///< By controller; only complete reports of the epoch.
  std::map<std::string, Promise> promises;          ///< By controller, for any epoch.
  std::size_t unreadableValues = 0;
};

/// Reads the reports that all controllers have published for `epoch`, and their latest promises. Values that
/// cannot be decoded are counted and skipped.
ReceivedReports readReports(const gossip::Store& store, Duration now, std::uint64_t epoch);

}  // namespace paddletrack::rebalance
