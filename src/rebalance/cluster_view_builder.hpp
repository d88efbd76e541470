// Merges the reports of all controllers for one epoch into one cluster view. The result depends only on the
// reports, not on the controller that merges them or the order in which they arrived. Performs no I/O and
// reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "rebalance/cluster_view.hpp"

namespace paddletrack::rebalance {

/// What one controller reports for one epoch.
struct ControllerReport {
  struct EngineReport {
    EndpointState state = EndpointState::ready;
    /// Start time of the engine's process, in seconds of the wall clock; 0 if it is unknown because it was
    /// long ago. Data that was read before this time is no longer in memory.
    std::int64_t startedAt = 0;
    bool warmingUp = false;
    unsigned zone = 0, machineType = 0;
    std::int64_t weight = 1;
    Bytes capacity = 0;
  };
  struct GroupReport {
    Bytes size = 0;
    /// Number of reads by engine name, in the previous epoch (for local observation, also in the current
    /// one).
    std::map<std::string, std::int64_t> readsByEngine;
    bool recentlyMoved = false;
  };
  std::map<std::string, EngineReport> engines;  ///< By name.
  std::map<std::uint32_t, GroupReport> groups;  ///< By group number.
};

struct ViewBuilderOptions {
  /// Maximum number of reads that one replica should serve; determines the number of replicas of a group.
  /// With 0, every group has one replica.
  std::int64_t maxReadsPerReplica = 0;
  unsigned maxReplicas = 4;
};

/// Merges the reports, which are keyed by controller. An engine gets the state that is reported most often
/// (of two equally frequent states, the worse one), the process with the latest reported start time, and the
/// smallest reported capacity. A group is held by each engine that has read it in its current process, and
/// gets the largest reported size. An engine's headroom is its capacity minus the groups that it holds.
ClusterView buildClusterView(const std::map<std::string, ControllerReport>& reports,
                             const ViewBuilderOptions& options);

}  // namespace paddletrack::rebalance
