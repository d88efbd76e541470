// The view of engines and table groups that plans are computed from. Nothing here does I/O or reads a clock.
// All figures are integers, so that every controller computes the same plan from the same view.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/engine.hpp"

namespace paddletrack::rebalance {

using Bytes = std::int64_t;

struct EngineSnapshot {
  std::string name;    ///< The same on every controller.
  Bytes capacity = 0;  ///< Memory for the groups that the engine keeps warm.
  /// Memory for further groups; negative if the engine holds more than its capacity.
  Bytes headroom = 0;
  std::int64_t weight = 1;  ///< The engine's share of the load is proportional to it.
  EndpointState state = EndpointState::ready;
  bool warmingUp = false;  ///< Of otherwise equal engines, one that is not warming up is preferred.
  unsigned zone = 0, machineType = 0;
};

struct GroupSnapshot {
  std::uint32_t groupId = 0;    ///< Table group, as in Request::dataSet.
  Bytes size = 0;               ///< Data that an engine reads to hold the group.
  std::int64_t readRate = 0;    ///< Reads over all engines, in the same unit for all groups.
  unsigned wantedReplicas = 1;  ///< Engines that should serve the group, each with an even part of the rate.
  std::vector<std::uint32_t> holders;  ///< Indices into ClusterView::engines; removed engines hold nothing.
  /// Placement constraints: the group may be served only in these zones and on these machine types.
  std::optional<std::vector<unsigned>> allowedZones{}, allowedMachineTypes{};
  bool recentlyMoved = false;  ///< The group is moved again only where moving others does not suffice.
};

struct ClusterView {
  std::vector<EngineSnapshot> engines;
  std::vector<GroupSnapshot> groups;
};

/// Returns the view in canonical order, whatever order its parts were collected in: engines by name, groups
/// by number, holders by index. Of several entries with one name the first counts. Holders that are not a
/// valid index of an engine are left out.
ClusterView canonicalize(ClusterView cluster);

/// Returns the FNV-1a hash of a canonical view.
std::uint64_t computeDigest(const ClusterView& cluster);

/// Returns true if the group's placement constraints allow the engine.
bool canHold(const GroupSnapshot& group, const EngineSnapshot& engine);

/// Returns the number of replicas that the group can have on `eligibleEngines` engines.
std::size_t replicaCount(const GroupSnapshot& group, std::size_t eligibleEngines);

/// Returns the part of the group's read rate that one replica gets, rounded up.
std::int64_t readRatePerReplica(const GroupSnapshot& group, std::size_t eligibleEngines);

}  // namespace paddletrack::rebalance
