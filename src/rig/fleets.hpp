// Random fleets for the planner's proofs, from a seed.
#pragma once

#include <algorithm>
#include <random>

#include "rebalance/view.hpp"

namespace paddletrack::rig {

struct FleetShape {
  int leastEngines = 3, mostEngines = 6;
  int leastGroups = 4, mostGroups = 12;
  double tight = 0.7;    // of all room, taken by groups, at most
  double placed = 0.25;  // of groups are bound to a location or a kind
  double copied = 0.15;  // of groups are wanted twice
};

// A fleet in which groups lie where they may, then some engines drain, are lost, or come empty.
inline rebalance::View randomFleet(std::uint64_t seed, const FleetShape& shape = {}) {
  using namespace rebalance;
  std::mt19937_64 dice(seed);
  const auto pick = [&](int least, int most) {
    return least + static_cast<int>(dice() % static_cast<std::uint64_t>(most - least + 1));
  };
  const auto part = [&](double chance) { return static_cast<double>(dice() >> 11) * 0x1p-53 < chance; };
  View view;
  const int engines = pick(shape.leastEngines, shape.mostEngines);
  const int groups = pick(shape.leastGroups, shape.mostGroups);
  for (int each = 0; each < engines; ++each) {
    EngineView engine;
    engine.name = "s-" + std::to_string(1000 + each);
    engine.strength = part(0.3) ? 16 : 8;
    engine.location = static_cast<unsigned>(each % 3), engine.kind = static_cast<unsigned>(each % 2);
    view.engines.push_back(engine);
  }
  Bytes all = 0;
  std::vector<Bytes> held(view.engines.size());
  for (int each = 0; each < groups; ++each) {
    GroupView group;
    group.number = static_cast<std::uint32_t>(each + 1);
    group.size = pick(1, 20) * pick(1, 10);
    group.rate = pick(1, 30) * pick(1, 30);
    if (part(shape.copied)) group.copies = 2;
    if (part(shape.placed)) {
      if (part(0.5))
        group.locations = std::vector<unsigned>{0U, 1U};
      else
        group.kinds = std::vector<unsigned>{static_cast<unsigned>(each % 2)};
    }
    for (unsigned copy = part(0.1) ? 2 : group.copies; copy > 0; --copy) {
      const auto at = static_cast<std::uint32_t>(pick(0, engines - 1));
      if (std::find(group.holders.begin(), group.holders.end(), at) != group.holders.end()) continue;
      if (!mayHold(group, view.engines[at]) && !part(0.1)) continue;
      group.holders.push_back(at);
      held[at] += group.size;
    }
    all += group.size * group.copies;
    view.groups.push_back(group);
  }
  const double room = static_cast<double>(all) / shape.tight / engines * (part(0.5) ? 1.0 : 2.0);
  for (std::size_t each = 0; each < view.engines.size(); ++each) {
    EngineView& engine = view.engines[each];
    engine.capacity = std::max<Bytes>(held[each], static_cast<Bytes>(room) + pick(0, 40));
    engine.headroom = engine.capacity - held[each];
    if (part(0.1)) engine.headroom -= pick(1, 20);
    if (part(0.15)) engine.standing = Standing::draining;
    if (part(0.1)) engine.standing = Standing::gone;
    if (part(0.15)) {  // come empty
      engine.cold = true, engine.headroom = engine.capacity, engine.standing = Standing::ready;
      for (GroupView& group : view.groups) std::erase(group.holders, static_cast<std::uint32_t>(each));
    }
  }
  return inOrder(std::move(view));
}

// As many as asked for, with room to spare, after a tenth has drained, a twentieth was lost, a tenth came
// cold.
inline rebalance::View largeFleet(std::uint64_t seed, int engines, int groups) {
  using namespace rebalance;
  std::mt19937_64 dice(seed);
  View view;
  std::vector<Bytes> held(static_cast<std::size_t>(engines));
  const auto some = [&](std::uint64_t most) { return static_cast<std::int64_t>(dice() % most); };
  for (int each = 0; each < engines; ++each)
    view.engines.push_back({"s-" + std::to_string(100000 + each), 0, 0, some(3) == 0 ? 16 : 8,
                            Standing::ready, false, static_cast<unsigned>(each % 3),
                            static_cast<unsigned>(each % 2)});
  for (int each = 0; each < groups; ++each) {
    GroupView group;
    group.number = static_cast<std::uint32_t>(each + 1);
    group.size = (1 + some(20)) * (1 + some(20)) << 20;
    group.rate = (1 + some(30)) * (1 + some(30));
    if (some(20) == 0) group.copies = 2;
    if (some(10) == 0) group.locations = std::vector<unsigned>{0U, 1U};
    while (group.holders.size() < group.copies) {
      const auto at = static_cast<std::uint32_t>(some(static_cast<std::uint64_t>(engines)));
      if (!mayHold(group, view.engines[at])) continue;
      if (std::find(group.holders.begin(), group.holders.end(), at) != group.holders.end()) continue;
      group.holders.push_back(at);
      held[at] += group.size;
    }
    view.groups.push_back(group);
  }
  Bytes mean = 0;
  for (const Bytes each : held) mean += each / engines;
  for (std::size_t each = 0; each < view.engines.size(); ++each) {
    EngineView& engine = view.engines[each];
    engine.capacity = std::max(held[each] + held[each] / 4, mean * 3 / 2);
    engine.headroom = engine.capacity - held[each];
    const auto what = some(20);
    if (what < 2) engine.standing = Standing::draining;
    if (what == 2) engine.standing = Standing::gone;
    if (what < 3 || what > 4) continue;
    engine.cold = true, engine.headroom = engine.capacity;
    for (GroupView& group : view.groups) std::erase(group.holders, static_cast<std::uint32_t>(each));
  }
  return inOrder(std::move(view));
}

}  // namespace paddletrack::rig
