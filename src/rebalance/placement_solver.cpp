// Copies that may stay stay; engines over their bound give away what costs least; what needs a place gets
// one, the hardest first; small windows of a few engines are then searched whole, for a place or for fewer
// bytes. Last an order in which no engine is ever over its headroom.
#include <algorithm>
#include <bit>
#include <map>
#include <queue>
#include <random>
#include <utility>

#include "rebalance/cluster_view.hpp"

namespace paddletrack::rebalance {
namespace {

constexpr int kUnassigned = -1;
constexpr std::int64_t kRecentMovePenalty = 4;   // times its size: what moving a resting group counts
constexpr std::size_t kFullSearchReplicas = 16;  // up to so many copies and engines one window holds all
constexpr std::size_t kFullSearchEngines = 10;
constexpr std::size_t kFallbackSearchReplicas = 32;  // the same, where else a copy has no place
constexpr std::size_t kWindowReplicas = 11;
constexpr std::size_t kStateSearchEngines = 16, kStateSearchGroups = 16;
constexpr int kFullSearchDivisor = 5, kFallbackSearchDivisor = 2, kStateSearchDivisor = 8;  // of the work
constexpr int kWindowSearchNodes = 1'500, kShedSearchNodes = 2'000;

struct Replica {  // one copy that is wanted
  std::uint32_t group = 0;
  int engine = kUnassigned;
  std::int64_t readRate = 0;
};

class PlacementSolver {
 public:
  PlacementSolver(const ClusterView& cluster, const PlanOptions& options)
      : cluster_(cluster),
        options_(options),
        remainingWork_(options.workBudget),
        engineLoads_(cluster.engines.size()),
        replicasByGroup_(cluster.groups.size()) {}

  void solve(Plan& plan) {
    keepCurrentHolders();
    relieveOverloadedEngines();
    placeUnassigned();
    improvePlacement();
    placeRemaining(plan);
    plan.placements.resize(cluster_.groups.size());
    for (const Replica& replica : replicas_)
      if (replica.engine != kUnassigned)
        plan.placements[replica.group].push_back(static_cast<std::uint32_t>(replica.engine));
    for (auto& placement : plan.placements) std::sort(placement.begin(), placement.end());
  }

 private:
  struct EngineLoad {
    std::int64_t load = 0, loadLimit = 0;
    Bytes usedBytes = 0, capacityBytes = 0;
    std::vector<int> replicas;
    bool isReady = false;
  };

  bool isHeldBy(const Replica& replica, int engine) const {
    const auto& holders = cluster_.groups[replica.group].holders;
    return std::binary_search(holders.begin(), holders.end(), static_cast<std::uint32_t>(engine));
  }
  bool isAllowed(const Replica& replica, int engine) const {
    const auto engineIndex = static_cast<std::size_t>(engine);
    return engineLoads_[engineIndex].isReady &&
           canHold(cluster_.groups[replica.group], cluster_.engines[engineIndex]);
  }
  bool hasReplicaOn(const Replica& replica, int engine) const {
    const auto& siblings = replicasByGroup_[replica.group];
    return std::any_of(siblings.begin(), siblings.end(), [&](int sibling) {
      return &replicas_[static_cast<std::size_t>(sibling)] != &replica &&
             replicas_[static_cast<std::size_t>(sibling)].engine == engine;
    });
  }
  bool hasAllowedHolder(const Replica& replica) const {  // somewhere, for nothing
    const auto& holders = cluster_.groups[replica.group].holders;
    return std::any_of(holders.begin(), holders.end(),
                       [&](std::uint32_t holder) { return isAllowed(replica, static_cast<int>(holder)); });
  }
  Bytes requiredBytes(const Replica& replica, int engine) const {
    return cluster_.groups[replica.group].size * (isHeldBy(replica, engine) ? 1 : options_.headroomDivisor);
  }
  std::int64_t moveCost(const Replica& replica, int engine) const {
    const GroupSnapshot& group = cluster_.groups[replica.group];
    if (isHeldBy(replica, engine)) return 0;
    return group.size * (group.recentlyMoved && hasAllowedHolder(replica) ? kRecentMovePenalty : 1) + 1;
  }
  bool hasRoom(const Replica& replica, int engine) const {
    const EngineLoad& engineLoad = engineLoads_[static_cast<std::size_t>(engine)];
    return engineLoad.usedBytes + requiredBytes(replica, engine) <= engineLoad.capacityBytes;
  }
  bool hasCapacity(const Replica& replica, int engine) const {
    const EngineLoad& engineLoad = engineLoads_[static_cast<std::size_t>(engine)];
    return engineLoad.load + replica.readRate <= engineLoad.loadLimit && hasRoom(replica, engine);
  }
  void assign(int replicaIndex, int engine) {
    Replica& replica = replicas_[static_cast<std::size_t>(replicaIndex)];
    replica.engine = engine;
    EngineLoad& engineLoad = engineLoads_[static_cast<std::size_t>(engine)];
    engineLoad.load += replica.readRate, engineLoad.usedBytes += requiredBytes(replica, engine);
    engineLoad.replicas.push_back(replicaIndex);
  }
  void unassign(int replicaIndex) {
    Replica& replica = replicas_[static_cast<std::size_t>(replicaIndex)];
    if (replica.engine == kUnassigned) return;
    EngineLoad& engineLoad = engineLoads_[static_cast<std::size_t>(replica.engine)];
    engineLoad.load -= replica.readRate, engineLoad.usedBytes -= requiredBytes(replica, replica.engine);
    std::erase(engineLoad.replicas, replicaIndex);
    replica.engine = kUnassigned;
  }

  // What may stay stays; of more copies than wanted those on the less loaded engines.
  void keepCurrentHolders() {
    const LoadLowerBound lowerBound(cluster_);
    std::vector<Bytes> heldBytes(cluster_.engines.size());
    for (const GroupSnapshot& group : cluster_.groups)
      for (const std::uint32_t holder : group.holders) heldBytes[holder] += group.size;
    for (std::size_t index = 0; index < engineLoads_.size(); ++index) {
      const EngineSnapshot& engine = cluster_.engines[index];
      engineLoads_[index].isReady = engine.state == EndpointState::ready && engine.weight > 0;
      engineLoads_[index].loadLimit = lowerBound.loadLimit(engine, options_.maxOverloadPercent);
      engineLoads_[index].capacityBytes =
          std::max<Bytes>(0, std::min(engine.capacity, heldBytes[index] + engine.headroom));
    }
    for (const EngineLoad& engineLoad : engineLoads_) {
      if (!engineLoad.isReady) continue;
      totalCapacityBytes_ += static_cast<double>(std::max<Bytes>(engineLoad.capacityBytes, 0));
      totalLoadLimit_ += static_cast<double>(engineLoad.loadLimit);
    }
    std::vector<std::uint32_t> overreplicatedGroups;
    for (std::uint32_t groupIndex = 0; groupIndex < cluster_.groups.size(); ++groupIndex) {
      const GroupSnapshot& group = cluster_.groups[groupIndex];
      std::size_t eligibleEngines = 0, allowedHolders = 0;
      for (int engine = 0; engine < static_cast<int>(engineLoads_.size()); ++engine)
        eligibleEngines += isAllowed(Replica{groupIndex}, engine) ? 1 : 0;
      for (std::size_t remainingReplicas = replicaCount(group, eligibleEngines); remainingReplicas > 0;
           --remainingReplicas) {
        replicasByGroup_[groupIndex].push_back(static_cast<int>(replicas_.size()));
        replicas_.push_back({groupIndex, kUnassigned, readRatePerReplica(group, eligibleEngines)});
      }
      for (const std::uint32_t holder : group.holders)
        allowedHolders += isAllowed(Replica{groupIndex}, static_cast<int>(holder)) ? 1 : 0;
      if (allowedHolders > replicasByGroup_[groupIndex].size())
        overreplicatedGroups.push_back(groupIndex);
      else
        assignToHolders(groupIndex);
    }
    std::stable_sort(overreplicatedGroups.begin(), overreplicatedGroups.end(), [&](auto left, auto right) {
      return cluster_.groups[left].readRate > cluster_.groups[right].readRate;
    });
    for (const std::uint32_t overreplicatedGroup : overreplicatedGroups) assignToHolders(overreplicatedGroup);
    const LoadLowerBound triggerBound(cluster_);
    for (std::size_t item = 0; item < engineLoads_.size(); ++item)
      if (engineLoads_[item].load <=
          triggerBound.loadLimit(cluster_.engines[item],
                                 std::max(options_.triggerOverloadPercent, options_.maxOverloadPercent)))
        engineLoads_[item].loadLimit = std::max(engineLoads_[item].loadLimit, engineLoads_[item].load);
  }
  void assignToHolders(std::uint32_t groupIndex) {
    for (const int index : replicasByGroup_[groupIndex]) {
      int bestHolder = kUnassigned;
      for (const std::uint32_t holderIndex : cluster_.groups[groupIndex].holders) {
        const int holder = static_cast<int>(holderIndex);
        const Replica& replica = replicas_[static_cast<std::size_t>(index)];
        if (!isAllowed(replica, holder) || hasReplicaOn(replica, holder)) continue;
        if (bestHolder == kUnassigned || isMoreLoaded(bestHolder, holder)) bestHolder = holder;
      }
      if (bestHolder == kUnassigned) return;
      assign(index, bestHolder);
    }
  }
  bool isMoreLoaded(int first, int second) const {
    const EngineLoad &firstLoad = engineLoads_[static_cast<std::size_t>(first)],
                     &secondLoad = engineLoads_[static_cast<std::size_t>(second)];
    return static_cast<double>(firstLoad.load) * static_cast<double>(secondLoad.loadLimit) >
           static_cast<double>(secondLoad.load) * static_cast<double>(firstLoad.loadLimit);
  }

  // From each engine over its bound, or over its room, the set that costs least and takes the excess away.
  void relieveOverloadedEngines() {
    for (std::size_t index = 0; index < engineLoads_.size(); ++index) {
      EngineLoad& engineLoad = engineLoads_[index];
      if (engineLoad.load <= engineLoad.loadLimit && engineLoad.usedBytes <= engineLoad.capacityBytes)
        continue;
      std::vector<int> candidates;
      for (const int replicaIndex : engineLoad.replicas) {
        const Replica& replica = replicas_[static_cast<std::size_t>(replicaIndex)];
        // Another holder may serve it for nothing.
        int otherHolder = kUnassigned;
        for (const std::uint32_t holderIndex : cluster_.groups[replica.group].holders) {
          const int holder = static_cast<int>(holderIndex);
          if (holder != replica.engine && isAllowed(replica, holder) && !hasReplicaOn(replica, holder) &&
              hasCapacity(replica, holder))
            otherHolder =
                otherHolder == kUnassigned || isMoreLoaded(otherHolder, holder) ? holder : otherHolder;
        }
        candidates.push_back(replicaIndex);
        if (otherHolder != kUnassigned) freeRelocations_.emplace_back(replicaIndex, otherHolder);
      }
      for (const auto& [replicaIndex, otherHolder] : freeRelocations_) {
        if (engineLoad.load <= engineLoad.loadLimit && engineLoad.usedBytes <= engineLoad.capacityBytes)
          break;
        if (!hasCapacity(replicas_[static_cast<std::size_t>(replicaIndex)], otherHolder)) continue;
        unassign(replicaIndex), assign(replicaIndex, otherHolder);
        std::erase(candidates, replicaIndex);
      }
      freeRelocations_.clear();
      if (engineLoad.load <= engineLoad.loadLimit && engineLoad.usedBytes <= engineLoad.capacityBytes)
        continue;
      for (const int replicaIndex : selectCheapestToShed(candidates, engineLoad.load - engineLoad.loadLimit,
                                                         engineLoad.usedBytes - engineLoad.capacityBytes)) {
        unassign(replicaIndex);
      }
    }
    unplaced_.clear();
    for (std::size_t item = 0; item < replicas_.size(); ++item)
      if (replicas_[item].engine == kUnassigned) unplaced_.push_back(static_cast<int>(item));
  }

  std::int64_t shedCost(const Replica& replica) const {
    const GroupSnapshot& group = cluster_.groups[replica.group];
    return group.size * (group.recentlyMoved ? kRecentMovePenalty : 1) + 1;
  }
  std::vector<int> selectCheapestToShed(std::vector<int> candidates, std::int64_t excessLoad,
                                        Bytes excessBytes) {
    const auto reliefPerCost = [&](int replicaIndex) {
      const Replica& replica = replicas_[static_cast<std::size_t>(replicaIndex)];
      const double relief =
          (excessLoad > 0
               ? static_cast<double>(std::min(replica.readRate, excessLoad)) / static_cast<double>(excessLoad)
               : 0) +
          (excessBytes > 0 ? static_cast<double>(std::min(cluster_.groups[replica.group].size, excessBytes)) /
                                 static_cast<double>(excessBytes)
                           : 0);
      return relief / static_cast<double>(shedCost(replica));
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](int left, int right) { return reliefPerCost(left) > reliefPerCost(right); });
    struct ShedSearch {
      std::vector<int> chosen, best;
      std::int64_t cost = 0, bestCost = INT64_MAX;
      int nodesLeft = kShedSearchNodes;
    } searchState;
    const auto descend = [&](auto&& self, std::size_t depth, std::int64_t remainingLoad,
                             Bytes remainingBytes) -> void {
      if (searchState.cost >= searchState.bestCost ||
          (--searchState.nodesLeft < 0 && searchState.bestCost != INT64_MAX))
        return;
      if (remainingLoad <= 0 && remainingBytes <= 0) {
        searchState.bestCost = searchState.cost, searchState.best = searchState.chosen;
        return;
      }
      if (depth == candidates.size()) return;
      const Replica& replica = replicas_[static_cast<std::size_t>(candidates[depth])];
      const bool reducesExcess = (remainingLoad > 0 && replica.readRate > 0) ||
                                 (remainingBytes > 0 && cluster_.groups[replica.group].size > 0);
      if (reducesExcess) {
        searchState.chosen.push_back(candidates[depth]), searchState.cost += shedCost(replica);
        self(self, depth + 1, remainingLoad - replica.readRate,
             remainingBytes - cluster_.groups[replica.group].size);
        searchState.chosen.pop_back(), searchState.cost -= shedCost(replica);
      }
      self(self, depth + 1, remainingLoad, remainingBytes);
    };
    descend(descend, 0, excessLoad, excessBytes);
    return searchState.bestCost == INT64_MAX ? candidates : searchState.best;
  }

  // The hardest to place first.
  void placeUnassigned() {
    std::vector<std::pair<double, int>> byDifficulty;
    for (const int index : unplaced_) {
      const Replica& replica = replicas_[static_cast<std::size_t>(index)];
      byDifficulty.emplace_back(-placementDifficulty(replica), index);
    }
    std::sort(byDifficulty.begin(), byDifficulty.end());
    unplaced_.clear();
    for (const auto& [hard, replicaIndex] : byDifficulty)
      if (!tryPlace(replicaIndex, false)) unplaced_.push_back(replicaIndex);
    if (unplaced_.empty()) return;
    // Another way: fill the fullest first, which leaves larger holes.
    for (const auto& [hard, replicaIndex] : byDifficulty) unassign(replicaIndex);
    std::vector<int> stillUnplaced;
    for (const auto& [hard, replicaIndex] : byDifficulty)
      if (!tryPlace(replicaIndex, true)) stillUnplaced.push_back(replicaIndex);
    unplaced_ = std::move(stillUnplaced);
  }

  double placementDifficulty(const Replica& replica) const {
    return static_cast<double>(cluster_.groups[replica.group].size) / totalCapacityBytes_ +
           static_cast<double>(replica.readRate) / totalLoadLimit_;
  }

  bool tryPlace(int replicaIndex, bool preferFullEngines) {
    const Replica& replica = replicas_[static_cast<std::size_t>(replicaIndex)];
    int bestEngine = kUnassigned;
    std::pair<std::int64_t, double> bestScore{};
    remainingWork_ -= static_cast<int>(engineLoads_.size() / 64 + 1);
    for (int engine = 0; engine < static_cast<int>(engineLoads_.size()); ++engine) {
      if (!isAllowed(replica, engine) || !hasCapacity(replica, engine) || hasReplicaOn(replica, engine))
        continue;
      const auto engineIndex = static_cast<std::size_t>(engine);
      const EngineLoad& engineLoad = engineLoads_[engineIndex];
      const double loadRatio = static_cast<double>(engineLoad.load + replica.readRate) /
                               static_cast<double>(std::max<std::int64_t>(1, engineLoad.loadLimit));
      const bool hasHeadroomNow = isHeldBy(replica, engine) ||
                                  cluster_.engines[engineIndex].headroom >= requiredBytes(replica, engine);
      const double balanceScore = (preferFullEngines ? -loadRatio : loadRatio) +
                                  (cluster_.engines[engineIndex].warmingUp ? 0.1 : 0) +
                                  (hasHeadroomNow ? 0 : 0.2);
      const std::pair<std::int64_t, double> candidateScore{moveCost(replica, engine), balanceScore};
      if (bestEngine == kUnassigned || candidateScore < bestScore)
        bestEngine = engine, bestScore = candidateScore;
    }
    if (bestEngine != kUnassigned) assign(replicaIndex, bestEngine);
    return bestEngine != kUnassigned;
  }

  // ---- windows --------------------------------------------------------------------------------------------

  struct Score {
    std::size_t unplaced = 0;
    std::int64_t cost = 0;
    auto operator<=>(const Score&) const = default;
  };

  bool searchWindow(const std::vector<int>& engines, std::vector<int> replicaIndices, int nodesLeft) {
    std::vector<int> previousEngines, bestEngines;
    Score initialScore;
    std::stable_sort(replicaIndices.begin(), replicaIndices.end(), [&](int left, int right) {
      return placementDifficulty(replicas_[static_cast<std::size_t>(left)]) >
             placementDifficulty(replicas_[static_cast<std::size_t>(right)]);
    });
    for (const int replicaIndice : replicaIndices) {
      const Replica& replica = replicas_[static_cast<std::size_t>(replicaIndice)];
      previousEngines.push_back(replica.engine);
      replica.engine == kUnassigned ? void(++initialScore.unplaced)
                                    : void(initialScore.cost += moveCost(replica, replica.engine));
    }
    for (const int replicaIndice : replicaIndices) unassign(replicaIndice);
    // The least that those still to come cost.
    std::vector<std::int64_t> remainingMinCost(replicaIndices.size() + 1, 0);
    std::vector<std::vector<std::pair<std::int64_t, int>>> candidateMoves(replicaIndices.size());
    for (std::size_t position = replicaIndices.size(); position-- > 0;) {
      const Replica& replica = replicas_[static_cast<std::size_t>(replicaIndices[position])];
      std::vector<int> candidateEngines = engines;
      if (previousEngines[position] != kUnassigned &&
          std::find(candidateEngines.begin(), candidateEngines.end(), previousEngines[position]) ==
              candidateEngines.end())
        candidateEngines.push_back(previousEngines[position]);
      for (const int engine : candidateEngines)
        if (isAllowed(replica, engine))
          candidateMoves[position].emplace_back(moveCost(replica, engine), engine);
      std::stable_sort(candidateMoves[position].begin(), candidateMoves[position].end(),
                       [](const auto& left, const auto& right) { return left.first < right.first; });
      remainingMinCost[position] =
          remainingMinCost[position + 1] +
          (candidateMoves[position].empty() ? 0 : candidateMoves[position].front().first);
    }
    Score bestScore = initialScore, currentScore;
    std::vector<int> chosenEngines(replicaIndices.size(), kUnassigned);
    const int nodeBudget = nodesLeft;
    const auto descend = [&](auto&& self, std::size_t depth) -> void {
      if (--nodesLeft < 0) return;
      const Score lowerBound{
          currentScore.unplaced,
          currentScore.cost + (currentScore.unplaced < bestScore.unplaced ? 0 : remainingMinCost[depth])};
      if (lowerBound >= bestScore) return;
      if (depth == replicaIndices.size()) {
        bestScore = currentScore, bestEngines = chosenEngines;
        return;
      }
      const Replica& replica = replicas_[static_cast<std::size_t>(replicaIndices[depth])];
      for (const auto& [replicaCost, engine] : candidateMoves[depth]) {
        if (!hasCapacity(replica, engine) || hasReplicaOn(replica, engine)) continue;
        EngineLoad& engineLoad = engineLoads_[static_cast<std::size_t>(engine)];
        const Bytes replicaBytes = requiredBytes(replica, engine);
        chosenEngines[depth] = replicas_[static_cast<std::size_t>(replicaIndices[depth])].engine = engine;
        engineLoad.load += replica.readRate, engineLoad.usedBytes += replicaBytes,
            currentScore.cost += replicaCost;
        self(self, depth + 1);
        engineLoad.load -= replica.readRate, engineLoad.usedBytes -= replicaBytes,
            currentScore.cost -= replicaCost;
        chosenEngines[depth] = replicas_[static_cast<std::size_t>(replicaIndices[depth])].engine =
            kUnassigned;
      }
      ++currentScore.unplaced;
      if (currentScore.unplaced <= bestScore.unplaced) self(self, depth + 1);
      --currentScore.unplaced;
    };
    descend(descend, 0);
    remainingWork_ -= nodeBudget - std::max(nodesLeft, 0);
    const std::vector<int>& finalEngines = bestEngines.empty() ? previousEngines : bestEngines;
    for (std::size_t position = 0; position < replicaIndices.size(); ++position)
      if (finalEngines[position] != kUnassigned) assign(replicaIndices[position], finalEngines[position]);
    return !bestEngines.empty();
  }

  void improvePlacement() {
    const auto isMisplaced = [&](const Replica& replica) {
      return replica.engine == kUnassigned ||
             (moveCost(replica, replica.engine) > 0 && hasAllowedHolder(replica));
    };
    if (std::none_of(replicas_.begin(), replicas_.end(), isMisplaced)) return;
    std::vector<int> readyEngines, allReplicas;
    for (int index = 0; index < static_cast<int>(engineLoads_.size()); ++index)
      if (engineLoads_[static_cast<std::size_t>(index)].isReady) readyEngines.push_back(index);
    for (int item = 0; item < static_cast<int>(replicas_.size()); ++item) allReplicas.push_back(item);
    if (replicas_.size() <= kFullSearchReplicas && readyEngines.size() <= kFullSearchEngines) {
      searchWindow(readyEngines, allReplicas, options_.workBudget / kFullSearchDivisor);
      return;
    }
    searchWindows(readyEngines, isMisplaced);
    const bool isFullyPlaced = std::all_of(replicas_.begin(), replicas_.end(), [](const Replica& replica) {
      return replica.engine != kUnassigned;
    });
    if (!isFullyPlaced && replicas_.size() <= kFallbackSearchReplicas &&
        readyEngines.size() <= kFullSearchEngines)
      searchWindow(readyEngines, allReplicas, options_.workBudget / kFallbackSearchDivisor);
  }

  template <typename MisplacedPredicate>
  void searchWindows(const std::vector<int>& readyEngines, const MisplacedPredicate& isMisplaced) {
    std::minstd_rand randomEngine(1);
    int idleRounds = 0;
    while (remainingWork_ > 0 && idleRounds < 2) {
      bool hasImproved = false;
      std::vector<int> misplacedReplicas;
      for (int index = 0; index < static_cast<int>(replicas_.size()); ++index)
        if (isMisplaced(replicas_[static_cast<std::size_t>(index)])) misplacedReplicas.push_back(index);
      if (misplacedReplicas.empty()) return;
      std::stable_sort(misplacedReplicas.begin(), misplacedReplicas.end(), [&](int left, int right) {
        return (replicas_[static_cast<std::size_t>(left)].engine == kUnassigned) >
               (replicas_[static_cast<std::size_t>(right)].engine == kUnassigned);
      });
      for (const int replicaIndex : misplacedReplicas) {
        if (remainingWork_ <= 0) break;
        const Replica& replica = replicas_[static_cast<std::size_t>(replicaIndex)];
        std::vector<int> windowEngines, windowReplicas{replicaIndex};
        const auto addEngine = [&](int engine) {
          if (engine != kUnassigned && isAllowed(replica, engine) &&
              std::find(windowEngines.begin(), windowEngines.end(), engine) == windowEngines.end())
            windowEngines.push_back(engine);
        };
        for (const std::uint32_t holder : cluster_.groups[replica.group].holders)
          addEngine(static_cast<int>(holder));
        if (windowEngines.size() > 2) windowEngines.resize(2);
        addEngine(replica.engine);
        for (int tries = 0; tries < 8 && windowEngines.size() < 4; ++tries)
          addEngine(readyEngines[randomEngine() % readyEngines.size()]);
        std::vector<int> neighbors;
        for (const int engine : windowEngines)
          for (const int item : engineLoads_[static_cast<std::size_t>(engine)].replicas)
            if (item != replicaIndex) neighbors.push_back(item);
        // Those that have come, and others by chance.
        for (std::size_t item = neighbors.size(); item > 1; --item)
          std::swap(neighbors[item - 1], neighbors[randomEngine() % item]);
        std::stable_sort(neighbors.begin(), neighbors.end(), [&](int left, int right) {
          return isMisplaced(replicas_[static_cast<std::size_t>(left)]) >
                 isMisplaced(replicas_[static_cast<std::size_t>(right)]);
        });
        if (neighbors.size() > kWindowReplicas - 1) neighbors.resize(kWindowReplicas - 1);
        windowReplicas.insert(windowReplicas.end(), neighbors.begin(), neighbors.end());
        hasImproved =
            searchWindow(windowEngines, std::move(windowReplicas), kWindowSearchNodes) || hasImproved;
      }
      idleRounds = hasImproved ? 0 : idleRounds + 1;
    }
  }

  // What has found no place within the bounds: where it is, else where there is room at all.
  void placeRemaining(Plan& plan) {
    std::vector<int> remaining;
    for (int index = 0; index < static_cast<int>(replicas_.size()); ++index)
      if (replicas_[static_cast<std::size_t>(index)].engine == kUnassigned) remaining.push_back(index);
    std::vector<int> displaced;
    for (const int replicaIndex : remaining) {
      const Replica& replica = replicas_[static_cast<std::size_t>(replicaIndex)];
      if (!hasAllowedHolder(replica)) {
        displaced.push_back(replicaIndex);
        continue;
      }
      for (const std::uint32_t holderIndex : cluster_.groups[replica.group].holders) {
        const int holder = static_cast<int>(holderIndex);
        if (!isAllowed(replica, holder) || hasReplicaOn(replica, holder)) continue;
        assign(replicaIndex, holder);
        break;
      }
      if (replica.engine == kUnassigned) {
        displaced.push_back(replicaIndex);
        continue;
      }
      EngineLoad& engineLoad = engineLoads_[static_cast<std::size_t>(replica.engine)];
      const int currentEngine = replica.engine;
      while (engineLoad.usedBytes >
             engineLoad.capacityBytes) {  // what came there gives way to what was there
        const auto newcomer = std::find_if(
            engineLoad.replicas.begin(), engineLoad.replicas.end(),
            [&](int item) { return !isHeldBy(replicas_[static_cast<std::size_t>(item)], currentEngine); });
        if (newcomer == engineLoad.replicas.end()) break;
        displaced.push_back(*newcomer);
        unassign(*newcomer);
      }
    }
    for (const int replicaIndex : displaced) {
      const Replica& replica = replicas_[static_cast<std::size_t>(replicaIndex)];
      int bestEngine = kUnassigned;
      for (int engine = 0; engine < static_cast<int>(engineLoads_.size()); ++engine)
        if (isAllowed(replica, engine) && !hasReplicaOn(replica, engine) && hasRoom(replica, engine) &&
            (bestEngine == kUnassigned || isMoreLoaded(bestEngine, engine)))
          bestEngine = engine;
      if (bestEngine != kUnassigned)
        assign(replicaIndex, bestEngine);
      else
        ++plan.unplacedReplicas;
    }
    for (const EngineLoad& engineLoad : engineLoads_) {
      plan.isBalanced = plan.isBalanced && (!engineLoad.isReady || engineLoad.load <= engineLoad.loadLimit);
      plan.overfullEngines += engineLoad.isReady && engineLoad.usedBytes > engineLoad.capacityBytes ? 1 : 0;
    }
  }

  const ClusterView& cluster_;
  const PlanOptions& options_;
  int remainingWork_;
  double totalCapacityBytes_ = 1, totalLoadLimit_ = 1;
  std::vector<EngineLoad> engineLoads_;
  std::vector<std::vector<int>> replicasByGroup_;
  std::vector<Replica> replicas_;
  std::vector<int> unplaced_;
  std::vector<std::pair<int, int>> freeRelocations_;
};

// ---- the order --------------------------------------------------------------------------------------------

class MoveScheduler {
 public:
  MoveScheduler(const ClusterView& cluster, const PlanOptions& options, std::vector<Move> wantedMoves)
      : cluster_(cluster), options_(options), wantedMoves_(std::move(wantedMoves)) {}

  // The smallest first; or, where that gets stuck, first what frees an engine that others wait for.
  void schedule(Plan& plan) {
    std::vector<Move> moves = orderMoves(false, false);
    if (!blockedMoves_.empty()) moves = orderMoves(true, false);
    if (!blockedMoves_.empty()) moves = orderMoves(true, true);
    if (!blockedMoves_.empty() && searchStates(plan, moves)) {
      plan.detourBytes = plan.totalBytes = 0;
      for (const Move& wantedMove : wantedMoves_) plan.detourBytes -= wantedMove.bytes;
      for (const Move& move : moves) plan.detourBytes += move.bytes, plan.totalBytes += move.bytes;
      plan.moves = std::move(moves);
      return;
    }
    plan.deferredMoves = blockedMoves_.size();
    plan.detourBytes = detourBytes_;
    for (const std::uint32_t blockedMove : blockedMoves_) {  // it stays where it is, if anywhere
      const Move& move = wantedMoves_[blockedMove];
      auto& placement = plan.placements[move.group];
      std::erase(placement, *move.target);
      if (move.source && cluster_.engines[*move.source].state == EndpointState::ready)
        placement.push_back(*move.source);
      std::sort(placement.begin(), placement.end());
    }
    addDependencies(moves);
    plan.moves = std::move(moves);
    for (const Move& move : plan.moves) plan.totalBytes += move.bytes;
  }

 private:
  using PlacementState = std::vector<std::uint16_t>;  // of each group the engines that hold it, a bit each
  struct Node {
    PlacementState state;
    std::size_t parent = 0;
    Bytes movedBytes = 0;
  };
  struct EngineTransfer {
    Bytes incomingBytes = 0, freedBytes = 0;
  };
  bool hasRoom(const Move& move) const {
    if (!move.target) return true;
    const EngineTransfer& transfer = transfers_[*move.target];
    const EngineSnapshot& engine = cluster_.engines[*move.target];
    return (transfer.incomingBytes + move.bytes) * options_.headroomDivisor <=
           engine.headroom + transfer.freedBytes;
  }
  void applyMove(const Move& move) {
    if (move.target) transfers_[*move.target].incomingBytes += move.bytes;
    if (move.source) transfers_[*move.source].freedBytes += cluster_.groups[move.group].size;
  }

  std::vector<Move> orderMoves(bool prioritizeUnblocking, bool allowDetours) {
    transfers_.assign(cluster_.engines.size(), {});
    blockedMoves_.clear();
    detourBytes_ = 0;
    std::vector<Bytes> awaitedBytes(cluster_.engines.size());
    for (const Move& wantedMove : wantedMoves_)
      if (wantedMove.target) awaitedBytes[*wantedMove.target] += wantedMove.bytes;
    using Entry = std::pair<std::pair<Bytes, Bytes>, std::uint32_t>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> readyMoves;
    std::vector<std::vector<std::uint32_t>> waitingByEngine(cluster_.engines.size());
    const auto enqueue = [&](std::uint32_t value) {
      const Move& move = wantedMoves_[value];
      const Bytes unblocksOthers =
          prioritizeUnblocking && move.source ? std::min<Bytes>(awaitedBytes[*move.source], 1) : 0;
      readyMoves.push({{-unblocksOthers, move.bytes}, value});
    };
    for (std::uint32_t value = 0; value < wantedMoves_.size(); ++value) enqueue(value);
    std::vector<Move> ordered;
    std::vector<Move> nextHops = wantedMoves_;  // from where each goes on
    const auto applyReadyMoves = [&] {
      while (!readyMoves.empty()) {
        const std::uint32_t item = readyMoves.top().second;
        readyMoves.pop();
        const Move& move = nextHops[item];
        if (!hasRoom(move)) {
          waitingByEngine[*move.target].push_back(item);
          continue;
        }
        applyMove(move);
        ordered.push_back(move);
        if (!move.source) continue;
        for (const std::uint32_t unblocked : std::exchange(waitingByEngine[*move.source], {}))
          enqueue(unblocked);
      }
    };
    applyReadyMoves();
    while (allowDetours) {
      // The smallest that some third engine has room for: it steps aside, and goes on later.
      std::vector<std::uint32_t> blocked;
      for (const auto& item : waitingByEngine) blocked.insert(blocked.end(), item.begin(), item.end());
      std::sort(blocked.begin(), blocked.end(), [&](auto left, auto right) {
        return std::pair(nextHops[left].bytes, left) < std::pair(nextHops[right].bytes, right);
      });
      bool foundDetour = false;
      for (const std::uint32_t item : blocked) {
        Move detour = nextHops[item];
        const GroupSnapshot& group = cluster_.groups[detour.group];
        const bool hasAlreadyDetoured =
            detour.source && wantedMoves_[item].source != detour.source;  // it has stepped aside already
        if (!detour.source || hasAlreadyDetoured) continue;
        for (std::uint32_t engine = 0; engine < cluster_.engines.size() && !foundDetour; ++engine) {
          const EngineSnapshot& detourEngine = cluster_.engines[engine];
          if (detourEngine.state != EndpointState::ready || detourEngine.weight <= 0 ||
              !canHold(group, detourEngine))
            continue;
          if (engine == *wantedMoves_[item].target || engine == *detour.source) continue;
          if (std::binary_search(group.holders.begin(), group.holders.end(), engine)) continue;
          if (!waitingByEngine[engine].empty()) continue;
          detour.target = engine;
          if (!hasRoom(detour)) continue;
          foundDetour = true;
        }
        if (!foundDetour) continue;
        applyMove(detour);
        ordered.push_back(detour);
        detourBytes_ += detour.bytes;
        auto& waitingForTarget = waitingByEngine[*wantedMoves_[item].target];
        std::erase(waitingForTarget, item);
        nextHops[item].source = detour.target;
        enqueue(item);
        for (const std::uint32_t unblocked : std::exchange(waitingByEngine[*detour.source], {}))
          enqueue(unblocked);
        break;
      }
      if (!foundDetour) break;
      applyReadyMoves();
    }
    for (const auto& item : waitingByEngine)
      blockedMoves_.insert(blockedMoves_.end(), item.begin(), item.end());
    std::sort(blockedMoves_.begin(), blockedMoves_.end());
    return ordered;
  }

  // The last resort of small fleets: the cheapest way from the holders to the homes through states in which
  // every engine has room, others stepping aside as well (A*; what is still to come is the least to go).
  bool searchStates(const Plan& plan, std::vector<Move>& moves) const {
    const std::size_t engineCount = cluster_.engines.size(), groupCount = cluster_.groups.size();
    if (options_.headroomDivisor != 1 || engineCount > kStateSearchEngines || groupCount > kStateSearchGroups)
      return false;
    const auto maxNodes = static_cast<std::size_t>(options_.workBudget / kStateSearchDivisor);
    PlacementState startState(groupCount), goalState(groupCount);
    std::vector<Bytes> capacityBytes(engineCount);
    for (std::size_t group = 0; group < groupCount; ++group) {
      for (const std::uint32_t holder : cluster_.groups[group].holders) {
        startState[group] = static_cast<std::uint16_t>(startState[group] | 1U << holder);
        capacityBytes[holder] += cluster_.groups[group].size;
      }
      for (const std::uint32_t value : plan.placements[group])
        goalState[group] = static_cast<std::uint16_t>(goalState[group] | 1U << value);
      if (plan.placements[group].empty()) goalState[group] = startState[group];
    }
    for (std::size_t index = 0; index < engineCount; ++index) {
      const EngineSnapshot& engine = cluster_.engines[index];
      capacityBytes[index] =
          std::max(capacityBytes[index], std::min(engine.capacity, capacityBytes[index] + engine.headroom));
    }
    const auto estimateRemainingBytes = [&](const PlacementState& state) {
      Bytes remainingBytes = 0;
      for (std::size_t group = 0; group < groupCount; ++group)
        remainingBytes += cluster_.groups[group].size *
                          std::popcount(static_cast<unsigned>(goalState[group] & ~state[group]));
      return remainingBytes;
    };
    std::vector<Node> nodes{{startState, 0, 0}};
    std::map<PlacementState, Bytes> minBytes{{startState, 0}};
    using Entry = std::pair<Bytes, std::size_t>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> frontier;
    frontier.push({estimateRemainingBytes(startState), 0});
    while (!frontier.empty() && nodes.size() < maxNodes) {
      const std::size_t nodeIndex = frontier.top().second;
      frontier.pop();
      const PlacementState state = nodes[nodeIndex].state;
      const Bytes movedBytes = nodes[nodeIndex].movedBytes;
      if (minBytes[state] < movedBytes) continue;
      if (state == goalState) {
        moves = reconstructMoves(nodes, nodeIndex);
        return true;
      }
      std::vector<Bytes> usedBytes(engineCount);
      for (std::size_t group = 0; group < groupCount; ++group)
        for (std::size_t item = 0; item < engineCount; ++item)
          if (state[group] >> item & 1) usedBytes[item] += cluster_.groups[group].size;
      for (std::size_t groupIndex = 0; groupIndex < groupCount; ++groupIndex) {
        const GroupSnapshot& group = cluster_.groups[groupIndex];
        for (std::size_t element = 0; element < engineCount; ++element) {
          const unsigned engineBit = 1U << element;
          PlacementState nextState = state;
          nextState[groupIndex] = static_cast<std::uint16_t>(state[groupIndex] ^ engineBit);
          const bool isAddition = (state[groupIndex] & engineBit) == 0;
          const EngineSnapshot& engine = cluster_.engines[element];
          const bool isReady = engine.state == EndpointState::ready;
          const bool isAllowed = isReady && engine.weight > 0 && canHold(group, engine);
          if (!isAddition && nextState[groupIndex] == 0 && (!isReady || isAllowed)) continue;
          if (isAddition && (!isAllowed || usedBytes[element] + group.size > capacityBytes[element]))
            continue;
          const Bytes totalMovedBytes = movedBytes + (isAddition ? group.size : 0);
          const auto [knownState, inserted] = minBytes.emplace(nextState, totalMovedBytes);
          if (!inserted && knownState->second <= totalMovedBytes) continue;
          knownState->second = totalMovedBytes;
          frontier.push({totalMovedBytes + estimateRemainingBytes(nextState), nodes.size()});
          nodes.push_back({std::move(nextState), nodeIndex, totalMovedBytes});
        }
      }
    }
    return false;
  }
  std::vector<Move> reconstructMoves(const std::vector<Node>& nodes, std::size_t nodeIndex) const {
    std::vector<Move> path;
    for (; nodeIndex != 0; nodeIndex = nodes[nodeIndex].parent) {
      const PlacementState &currentState = nodes[nodeIndex].state,
                           &previousState = nodes[nodes[nodeIndex].parent].state;
      for (std::uint32_t group = 0; group < currentState.size(); ++group) {
        const unsigned changedBits = currentState[group] ^ previousState[group];
        if (changedBits == 0) continue;
        Move move;
        move.group = group;
        const auto engine = static_cast<std::uint32_t>(std::countr_zero(changedBits));
        if (currentState[group] & changedBits)
          move.target = engine, move.bytes = cluster_.groups[group].size;
        else
          move.source = engine;
        path.push_back(move);
      }
    }
    std::reverse(path.begin(), path.end());
    for (std::uint32_t value = 1; value < path.size(); ++value)
      for (std::uint32_t earlierMove = 0; earlierMove < value; ++earlierMove)
        path[value].dependencies.push_back(earlierMove);
    return path;
  }

  // Each waits for the first of those that free its engine, so many that even if all before it at that engine
  // have come there is room; and a second hop for its first.
  void addDependencies(std::vector<Move>& moves) const {
    struct EngineProgress {
      Bytes incomingBytes = 0, freedBytes = 0;
      std::vector<std::uint32_t> freeingMoves;
      std::size_t usedFreeingMoves = 0;
    };
    std::vector<EngineProgress> progressByEngine(cluster_.engines.size());
    std::vector<std::vector<std::uint32_t>> hopsByGroup(cluster_.groups.size());
    for (std::uint32_t value = 0; value < moves.size(); ++value) {
      Move& move = moves[value];
      for (const std::uint32_t earlierHop : hopsByGroup[move.group])
        if (moves[earlierHop].target == move.source && move.source) move.dependencies.push_back(earlierHop);
      hopsByGroup[move.group].push_back(value);
      if (move.target) {
        EngineProgress& target = progressByEngine[*move.target];
        target.incomingBytes += move.bytes;
        while (target.incomingBytes * options_.headroomDivisor >
                   cluster_.engines[*move.target].headroom + target.freedBytes &&
               target.usedFreeingMoves < target.freeingMoves.size())
          target.freedBytes +=
              cluster_.groups[moves[target.freeingMoves[target.usedFreeingMoves++]].group].size;
        move.dependencies.insert(
            move.dependencies.end(), target.freeingMoves.begin(),
            target.freeingMoves.begin() + static_cast<std::ptrdiff_t>(target.usedFreeingMoves));
      }
      if (move.source) progressByEngine[*move.source].freeingMoves.push_back(value);
      std::sort(move.dependencies.begin(), move.dependencies.end());
      move.dependencies.erase(std::unique(move.dependencies.begin(), move.dependencies.end()),
                              move.dependencies.end());
    }
  }

  const ClusterView& cluster_;
  const PlanOptions& options_;
  const std::vector<Move> wantedMoves_;
  std::vector<EngineTransfer> transfers_;
  std::vector<std::uint32_t> blockedMoves_;
  Bytes detourBytes_ = 0;
};

}  // namespace

Plan computePlan(const ClusterView& cluster, const PlanOptions& options) {
  Plan plan;
  PlacementSolver(cluster, options).solve(plan);
  std::vector<Move> wantedMoves;
  for (std::uint32_t groupIndex = 0; groupIndex < cluster.groups.size(); ++groupIndex) {
    const GroupSnapshot& group = cluster.groups[groupIndex];
    const auto& placement = plan.placements[groupIndex];
    std::vector<std::uint32_t> sources, targets;
    std::set_difference(group.holders.begin(), group.holders.end(), placement.begin(), placement.end(),
                        std::back_inserter(sources));
    std::set_difference(placement.begin(), placement.end(), group.holders.begin(), group.holders.end(),
                        std::back_inserter(targets));
    const auto isReady = [&](std::uint32_t value) {
      return cluster.engines[value].state == EndpointState::ready;
    };
    // Where it must not be read it serves nobody, and gives way at once.
    for (const std::uint32_t holder : group.holders)
      if (isReady(holder) && !canHold(group, cluster.engines[holder]))
        wantedMoves.push_back({groupIndex, holder, {}, 0, {}});
    std::erase_if(sources, [&](std::uint32_t source) {
      return isReady(source) && !canHold(group, cluster.engines[source]);
    });
    if (placement.empty()) continue;  // it stays where it is, if anywhere
    const auto retainableHolders =
        static_cast<std::size_t>(std::count_if(group.holders.begin(), group.holders.end(), [&](auto holder) {
          return isReady(holder) && canHold(group, cluster.engines[holder]);
        }));

    if (placement.size() > retainableHolders)
      plan.forcedBytes += group.size * static_cast<Bytes>(placement.size() - retainableHolders);
    for (std::size_t index = 0; index < std::max(sources.size(), targets.size()); ++index) {
      Move move;
      move.group = groupIndex;
      if (index < sources.size()) move.source = sources[index];
      if (index < targets.size()) move.target = targets[index], move.bytes = group.size;
      wantedMoves.push_back(move);
    }
  }
  MoveScheduler(cluster, options, std::move(wantedMoves)).schedule(plan);
  return plan;
}

}  // namespace paddletrack::rebalance
