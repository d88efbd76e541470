// One view out of what all controllers say for an epoch: the same from the same words, whoever gathers them
// and in whatever order they came. No I/O, no clock.
#pragma once

#include <map>
#include <string>

#include "rebalance/cluster_view.hpp"

namespace paddletrack::rebalance {

// One controller's word for one epoch.
struct ControllerReport {
  struct EngineReport {
    EndpointState state = EndpointState::ready;
    std::int64_t startedAt =
        0;  // of its process, 0: a long time back; data read before is not there any more
    bool warmingUp = false;
    unsigned zone = 0, machineType = 0;
    std::int64_t weight = 1;
    Bytes capacity = 0;
  };
  struct GroupReport {
    Bytes size = 0;
    std::map<std::string, std::int64_t> readsByEngine;  // by engine, since the last epoch
    bool recentlyMoved = false;
  };
  std::map<std::string, EngineReport> engines;
  std::map<std::uint32_t, GroupReport> groups;
};

struct ViewBuilderOptions {
  std::int64_t maxReadsPerReplica =
      0;  // a group read more than this is wanted at so many engines that none has more; 0: at one
  unsigned maxReplicas = 4;
};

// An engine's standing is what most say (of two as frequent the worse); its process the latest that anyone
// names, and reads at an earlier one are no holding; its capacity the least that anyone says. Headroom is
// capacity without what it holds. A group is held where anyone reads it; its size is the largest told.
ClusterView buildClusterView(const std::map<std::string, ControllerReport>& reports,
                             const ViewBuilderOptions& options);

}  // namespace paddletrack::rebalance
