// Merges the reports of all controllers for one epoch into one cluster view: the same view from the same
// reports, whichever controller merges them and in whatever order they arrived. No I/O, no clock.
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
    /// Start of the engine's process; 0: unknown, long ago. Data read before it is not in memory any more.
    std::int64_t startedAt = 0;
    bool warmingUp = false;
    unsigned zone = 0, machineType = 0;
    std::int64_t weight = 1;
    Bytes capacity = 0;
  };
  struct GroupReport {
    Bytes size = 0;
    std::map<std::string, std::int64_t> readsByEngine;  ///< By engine name, since the last epoch.
    bool recentlyMoved = false;
  };
  std::map<std::string, EngineReport> engines;  ///< By name.
  std::map<std::uint32_t, GroupReport> groups;  ///< By group number.
};

struct ViewBuilderOptions {
  /// A group with more reads than this gets as many replicas as keep each within it; 0: always one.
  std::int64_t maxReadsPerReplica = 0;
  unsigned maxReplicas = 4;
};

/// Merges the reports, given by controller. An engine's state is the one reported most often (the worse of
/// two as frequent), its process the latest that is reported, its capacity the smallest. A group is held by
/// each engine that read it in its present process, and its size is the largest reported. Headroom is the
/// capacity minus what the engine holds.
ClusterView buildClusterView(const std::map<std::string, ControllerReport>& reports,
                             const ViewBuilderOptions& options);

}  // namespace paddletrack::rebalance
