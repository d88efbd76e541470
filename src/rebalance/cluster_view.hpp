// The snapshot of engines and table groups from which plans are computed. This module performs no I/O and
// reads no clock. All quantities are integers, so that every controller computes the same plan from the same
// view.
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
  std::string name;    ///< Identical on every controller.
  Bytes capacity = 0;  ///< Memory for the groups that the engine keeps in its cache.
  /// Memory available for additional groups; negative if the engine holds more than its capacity.
  Bytes headroom = 0;
  std::int64_t weight = 1;  ///< The engine's target share of the load is proportional to its weight.
  EndpointState state = EndpointState::ready;
  bool warmingUp = false;  ///< Among otherwise equal engines, those not warming up are preferred.
  unsigned zone = 0, machineType = 0;
};

struct GroupSnapshot {
  std::uint32_t groupId = 0;  ///< Table group; the same number as Request::dataSet.
  Bytes size = 0;             ///< Data that an engine loads to hold the group.
  std::int64_t readRate = 0;  ///< Reads on all engines, in one unit for all groups.
  /// Number of engines that should serve the group, each with an equal share of the rate.
  unsigned wantedReplicas = 1;
  std::vector<std::uint32_t> holders;  ///< Indices into ClusterView::engines, without removed engines.
  /// Placement constraints: the zones and machine types that may serve the group; std::nullopt allows all.
  std::optional<std::vector<unsigned>> allowedZones{}, allowedMachineTypes{};
  bool recentlyMoved = false;  ///< The group is moved again only if moving other groups is not enough.
};

struct ClusterView {
  std::vector<EngineSnapshot> engines;
  std::vector<GroupSnapshot> groups;
};

/// Returns the view in canonical order, independent of the order in which its parts were collected: engines
/// by name, groups by number, holders by index. Of several entries with the same name or number, only the
/// first is kept. Holders that are not valid engine indices, and removed engines, are dropped.
ClusterView canonicalize(ClusterView cluster);

/// Returns the FNV-1a hash of a canonical view.
std::uint64_t computeDigest(const ClusterView& cluster);

/// Returns true if the group's placement constraints allow the engine.
bool canHold(const GroupSnapshot& group, const EngineSnapshot& engine);

/// Returns the number of replicas that the group gets if `eligibleEngines` engines may hold it.
std::size_t replicaCount(const GroupSnapshot& group, std::size_t eligibleEngines);

/// Returns the share of the group's read rate that one replica serves, rounded up.
std::int64_t readRatePerReplica(const GroupSnapshot& group, std::size_t eligibleEngines);

}  // namespace paddletrack::rebalance
