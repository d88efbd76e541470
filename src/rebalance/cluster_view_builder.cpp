#include "rebalance/cluster_view_builder.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace paddletrack::rebalance {

ClusterView buildClusterView(const std::map<std::string, ControllerReport>& reports,
                             const ViewBuilderOptions& options) {
  struct MergedEngine {
    ControllerReport::EngineReport report;
    std::array<unsigned, 3> stateCounts{};
    std::uint32_t engineIndex = 0;
  };
  struct MergedGroup {
    Bytes size = 0;
    bool recentlyMoved = false;
    std::int64_t readRate = 0;
    std::set<std::string> holders;  // an engine's earlier process is none
  };
  std::map<std::string, MergedEngine> engines;
  std::map<std::uint32_t, MergedGroup> groups;
  for (const auto& [owner, controllerReport] : reports)
    for (const auto& [name, report] : controllerReport.engines) {
      const auto [mergedEngine, fresh] = engines.try_emplace(name, MergedEngine{report});
      ++mergedEngine->second.stateCounts[static_cast<std::size_t>(report.state)];
      ControllerReport::EngineReport& merged = mergedEngine->second.report;
      const Bytes capacity = std::min(merged.capacity, report.capacity);
      if (report.startedAt > merged.startedAt) merged = report;
      merged.capacity = capacity;
    }
  for (const auto& [owner, controllerReport] : reports)
    for (const auto& [groupId, report] : controllerReport.groups) {
      MergedGroup& merged = groups[groupId];
      merged.size = std::max(merged.size, report.size),
      merged.recentlyMoved = merged.recentlyMoved || report.recentlyMoved;
      for (const auto& [engine, readCount] : report.readsByEngine) {
        const auto mergedEngine = engines.find(engine);
        const auto ownEngine = controllerReport.engines.find(engine);
        if (mergedEngine == engines.end() || ownEngine == controllerReport.engines.end() || readCount <= 0)
          continue;
        merged.readRate += readCount;
        if (ownEngine->second.startedAt == mergedEngine->second.report.startedAt)
          merged.holders.insert(engine);
      }
    }
  ClusterView view;
  for (auto& [name, merged] : engines) {
    std::size_t mostFrequentState = 2;
    for (std::size_t index = 2; index-- > 0;)
      if (merged.stateCounts[index] > merged.stateCounts[mostFrequentState]) mostFrequentState = index;
    merged.engineIndex = static_cast<std::uint32_t>(view.engines.size());
    view.engines.push_back({name, merged.report.capacity, 0, merged.report.weight,
                            static_cast<EndpointState>(mostFrequentState), merged.report.warmingUp,
                            merged.report.zone, merged.report.machineType});
  }
  for (const auto& [groupId, merged] : groups) {
    GroupSnapshot& group = view.groups.emplace_back();
    group.groupId = groupId, group.size = merged.size, group.recentlyMoved = merged.recentlyMoved;
    group.readRate = merged.readRate;
    for (const std::string& engine : merged.holders) {
      const std::uint32_t engineIndex = engines.at(engine).engineIndex;
      if (view.engines[engineIndex].state == EndpointState::removed) continue;
      group.holders.push_back(engineIndex);
      view.engines[engineIndex].headroom -= merged.size;
    }
    if (options.maxReadsPerReplica > 0)
      group.wantedReplicas = static_cast<unsigned>(std::clamp<std::int64_t>(
          (group.readRate + options.maxReadsPerReplica - 1) / options.maxReadsPerReplica, 1,
          options.maxReplicas));
  }
  for (EngineSnapshot& engine : view.engines) engine.headroom += engine.capacity;
  return canonicalize(std::move(view));
}

}  // namespace paddletrack::rebalance
