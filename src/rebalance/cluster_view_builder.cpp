#include "rebalance/cluster_view_builder.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <set>
#include <utility>

namespace paddletrack::rebalance {
namespace {

constexpr std::size_t kEndpointStates = 3;

struct MergedEngine {
  ControllerReport::EngineReport report;
  std::array<unsigned, kEndpointStates> stateCounts{};  // number of reports by state
  std::uint32_t engineIndex = 0;
};

struct MergedGroup {
  Bytes size = 0;
  bool recentlyMoved = false;
  std::int64_t readRate = 0;
  std::set<std::string> holders;
};

using MergedEngines = std::map<std::string, MergedEngine>;
using MergedGroups = std::map<std::uint32_t, MergedGroup>;
using Reports = std::map<std::string, ControllerReport>;

MergedEngines mergeEngines(const Reports& reports) {
  MergedEngines engines;
  for (const auto& [owner, controllerReport] : reports) {
    for (const auto& [name, report] : controllerReport.engines) {
      MergedEngine& engine = engines.try_emplace(name, MergedEngine{report}).first->second;
      ++engine.stateCounts[static_cast<std::size_t>(report.state)];
      const Bytes minCapacity = std::min(engine.report.capacity, report.capacity);
      if (report.startedAt > engine.report.startedAt) engine.report = report;
      engine.report.capacity = minCapacity;
    }
  }
  return engines;
}

// Reads by an earlier process of the engine count towards the read rate but do not make the engine a holder,
// because the data was lost with that process.
void mergeReads(MergedGroup& group, const ControllerReport::GroupReport& report,
                const ControllerReport& controllerReport, const MergedEngines& engines) {
  for (const auto& [name, readCount] : report.readsByEngine) {
    const auto mergedEngine = engines.find(name);
    const auto reportedEngine = controllerReport.engines.find(name);
    if (mergedEngine == engines.end() || reportedEngine == controllerReport.engines.end()) continue;
    if (readCount <= 0) continue;
    group.readRate += readCount;
    if (reportedEngine->second.startedAt == mergedEngine->second.report.startedAt) group.holders.insert(name);
  }
}

MergedGroups mergeGroups(const Reports& reports, const MergedEngines& engines) {
  MergedGroups groups;
  for (const auto& [owner, controllerReport] : reports) {
    for (const auto& [groupId, report] : controllerReport.groups) {
      MergedGroup& group = groups[groupId];
      group.size = std::max(group.size, report.size);
      group.recentlyMoved = group.recentlyMoved || report.recentlyMoved;
      mergeReads(group, report, controllerReport, engines);
    }
  }
  return groups;
}

EndpointState mostFrequentState(const MergedEngine& engine) {
  std::size_t mostFrequent = kEndpointStates - 1;
  for (std::size_t state = mostFrequent; state-- > 0;)
    if (engine.stateCounts[state] > engine.stateCounts[mostFrequent]) mostFrequent = state;
  return static_cast<EndpointState>(mostFrequent);
}

void addEngines(ClusterView& view, MergedEngines& engines) {
  for (auto& [name, engine] : engines) {
    const ControllerReport::EngineReport& report = engine.report;
    engine.engineIndex = static_cast<std::uint32_t>(view.engines.size());
    view.engines.push_back({name, report.capacity, report.capacity, report.weight, mostFrequentState(engine),
                            report.warmingUp, report.zone, report.machineType});
  }
}

unsigned wantedReplicas(std::int64_t readRate, const ViewBuilderOptions& options) {
  if (options.maxReadsPerReplica <= 0) return 1;
  const std::int64_t replicas = (readRate + options.maxReadsPerReplica - 1) / options.maxReadsPerReplica;
  return static_cast<unsigned>(std::clamp<std::int64_t>(replicas, 1, options.maxReplicas));
}

void addGroups(ClusterView& view, const MergedGroups& groups, const MergedEngines& engines,
               const ViewBuilderOptions& options) {
  for (const auto& [groupId, merged] : groups) {
    GroupSnapshot& group = view.groups.emplace_back();
    group.groupId = groupId;
    group.size = merged.size;
    group.recentlyMoved = merged.recentlyMoved;
    group.readRate = merged.readRate;
    group.wantedReplicas = wantedReplicas(merged.readRate, options);
    for (const std::string& name : merged.holders) {
      const std::uint32_t engineIndex = engines.at(name).engineIndex;
      EngineSnapshot& engine = view.engines[engineIndex];
      if (engine.state == EndpointState::removed) continue;
      group.holders.push_back(engineIndex);
      engine.headroom -= merged.size;
    }
  }
}

}  // namespace

ClusterView buildClusterView(const std::map<std::string, ControllerReport>& reports,
                             const ViewBuilderOptions& options) {
  MergedEngines engines = mergeEngines(reports);
  const MergedGroups groups = mergeGroups(reports, engines);
  ClusterView view;
  addEngines(view, engines);
  addGroups(view, groups, engines, options);
  return canonicalize(std::move(view));
}

}  // namespace paddletrack::rebalance
