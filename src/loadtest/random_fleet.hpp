// Random cluster views, determined by a seed, to test the placement solver with.
#pragma once

#include <algorithm>
#include <random>

#include "rebalance/cluster_view.hpp"

namespace paddletrack::loadtest {

struct RandomFleetOptions {
  int minEngines = 3, maxEngines = 6;
  int minGroups = 4, maxGroups = 12;
  double maxCapacityRatio = 0.7;   // groups' share of the total capacity, at most
  double constrainedRatio = 0.25;  // share of groups restricted to some zones or machine types
  double replicatedRatio = 0.15;   // share of groups with two replicas
};

// A fleet whose groups are held mostly by engines that may hold them. Some engines are then draining,
// removed, or restarted without data.
inline rebalance::ClusterView makeRandomFleet(std::uint64_t seed, const RandomFleetOptions& options = {}) {
  using namespace rebalance;
  std::mt19937_64 random(seed);
  const auto drawBetween = [&](int min, int max) {
    return min + static_cast<int>(random() % static_cast<std::uint64_t>(max - min + 1));
  };
  const auto drawBool = [&](double chance) { return static_cast<double>(random() >> 11) * 0x1p-53 < chance; };
  ClusterView view;
  const int engineCount = drawBetween(options.minEngines, options.maxEngines);
  const int groupCount = drawBetween(options.minGroups, options.maxGroups);
  for (int index = 0; index < engineCount; ++index) {
    EngineSnapshot engine;
    engine.name = "s-" + std::to_string(1000 + index);
    engine.weight = drawBool(0.3) ? 16 : 8;
    engine.zone = static_cast<unsigned>(index % 3), engine.machineType = static_cast<unsigned>(index % 2);
    view.engines.push_back(engine);
  }
  Bytes totalBytes = 0;
  std::vector<Bytes> heldBytes(view.engines.size());
  for (int groupIndex = 0; groupIndex < groupCount; ++groupIndex) {
    GroupSnapshot group;
    group.groupId = static_cast<std::uint32_t>(groupIndex + 1);
    group.size = drawBetween(1, 20) * drawBetween(1, 10);
    group.readRate = drawBetween(1, 30) * drawBetween(1, 30);
    if (drawBool(options.replicatedRatio)) group.wantedReplicas = 2;
    if (drawBool(options.constrainedRatio)) {
      if (drawBool(0.5))
        group.allowedZones = std::vector<unsigned>{0U, 1U};
      else
        group.allowedMachineTypes = std::vector<unsigned>{static_cast<unsigned>(groupIndex % 2)};
    }
    for (unsigned remainingCopies = drawBool(0.1) ? 2 : group.wantedReplicas; remainingCopies > 0;
         --remainingCopies) {
      const auto engineIndex = static_cast<std::uint32_t>(drawBetween(0, engineCount - 1));
      if (std::find(group.holders.begin(), group.holders.end(), engineIndex) != group.holders.end()) continue;
      if (!canHold(group, view.engines[engineIndex]) && !drawBool(0.1)) continue;
      group.holders.push_back(engineIndex);
      heldBytes[engineIndex] += group.size;
    }
    totalBytes += group.size * group.wantedReplicas;
    view.groups.push_back(group);
  }
  const double capacityPerEngine =
      static_cast<double>(totalBytes) / options.maxCapacityRatio / engineCount * (drawBool(0.5) ? 1.0 : 2.0);
  for (std::size_t engineIndex = 0; engineIndex < view.engines.size(); ++engineIndex) {
    EngineSnapshot& engine = view.engines[engineIndex];
    engine.capacity =
        std::max<Bytes>(heldBytes[engineIndex], static_cast<Bytes>(capacityPerEngine) + drawBetween(0, 40));
    engine.headroom = engine.capacity - heldBytes[engineIndex];
    if (drawBool(0.1)) engine.headroom -= drawBetween(1, 20);
    if (drawBool(0.15)) engine.state = EndpointState::draining;
    if (drawBool(0.1)) engine.state = EndpointState::removed;
    if (drawBool(0.15)) {  // restarted without data
      engine.warmingUp = true, engine.headroom = engine.capacity, engine.state = EndpointState::ready;
      for (GroupSnapshot& group : view.groups)
        std::erase(group.holders, static_cast<std::uint32_t>(engineIndex));
    }
  }
  return canonicalize(std::move(view));
}

// A fleet of the given size with spare capacity, of which a tenth of the engines is draining, a twentieth is
// removed, and a tenth has restarted without data.
inline rebalance::ClusterView makeLargeFleet(std::uint64_t seed, int engineCount, int groupCount) {
  using namespace rebalance;
  std::mt19937_64 random(seed);
  ClusterView view;
  std::vector<Bytes> heldBytes(static_cast<std::size_t>(engineCount));
  const auto drawBelow = [&](std::uint64_t limit) { return static_cast<std::int64_t>(random() % limit); };
  for (int index = 0; index < engineCount; ++index)
    view.engines.push_back({"s-" + std::to_string(100000 + index), 0, 0, drawBelow(3) == 0 ? 16 : 8,
                            EndpointState::ready, false, static_cast<unsigned>(index % 3),
                            static_cast<unsigned>(index % 2)});
  for (int groupIndex = 0; groupIndex < groupCount; ++groupIndex) {
    GroupSnapshot group;
    group.groupId = static_cast<std::uint32_t>(groupIndex + 1);
    group.size = (1 + drawBelow(20)) * (1 + drawBelow(20)) << 20;
    group.readRate = (1 + drawBelow(30)) * (1 + drawBelow(30));
    if (drawBelow(20) == 0) group.wantedReplicas = 2;
    if (drawBelow(10) == 0) group.allowedZones = std::vector<unsigned>{0U, 1U};
    while (group.holders.size() < group.wantedReplicas) {
      const auto engineIndex = static_cast<std::uint32_t>(drawBelow(static_cast<std::uint64_t>(engineCount)));
      if (!canHold(group, view.engines[engineIndex])) continue;
      if (std::find(group.holders.begin(), group.holders.end(), engineIndex) != group.holders.end()) continue;
      group.holders.push_back(engineIndex);
      heldBytes[engineIndex] += group.size;
    }
    view.groups.push_back(group);
  }
  Bytes meanBytes = 0;
  for (const Bytes engineBytes : heldBytes) meanBytes += engineBytes / engineCount;
  for (std::size_t engineIndex = 0; engineIndex < view.engines.size(); ++engineIndex) {
    EngineSnapshot& engine = view.engines[engineIndex];
    engine.capacity = std::max(heldBytes[engineIndex] + heldBytes[engineIndex] / 4, meanBytes * 3 / 2);
    engine.headroom = engine.capacity - heldBytes[engineIndex];
    const auto eventDraw = drawBelow(20);
    if (eventDraw < 2) engine.state = EndpointState::draining;
    if (eventDraw == 2) engine.state = EndpointState::removed;
    if (eventDraw < 3 || eventDraw > 4) continue;
    engine.warmingUp = true, engine.headroom = engine.capacity;
    for (GroupSnapshot& group : view.groups)
      std::erase(group.holders, static_cast<std::uint32_t>(engineIndex));
  }
  return canonicalize(std::move(view));
}

}  // namespace paddletrack::loadtest
