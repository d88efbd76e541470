#include "rebalance/neighborhood_search.hpp"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <utility>

#include "rebalance/window_search.hpp"

namespace paddletrack::rebalance {
namespace {

// Limits up to which one window contains all replicas and engines.
constexpr int kFullSearchReplicas = 16;
constexpr std::size_t kFullSearchEngines = 10;
// Number of replicas up to which one window with all replicas is searched if the smaller windows leave a
// replica unplaced.
constexpr int kFallbackSearchReplicas = 32;
// These two searches may use the work budget divided by these numbers.
constexpr int kFullSearchDivisor = 5;
constexpr int kFallbackSearchDivisor = 2;

constexpr std::size_t kWindowReplicas = 11;
constexpr std::size_t kWindowEngines = 4;
constexpr std::size_t kWindowHolders = 2;  // maximum number of the group's holders in a window
constexpr int kRandomEngineDraws = 8;
constexpr int kWindowSearchNodes = 1'500;
constexpr int kMaxIdleRounds = 2;  // consecutive rounds without improvement that end the search

}  // namespace

NeighborhoodSearch::NeighborhoodSearch(PlacementState& placement, int workBudget, int remainingWork)
    : placement_(placement),
      workBudget_(workBudget),
      remainingWork_(remainingWork),
      readyEngines_(placement.readyEngines()) {}

void NeighborhoodSearch::run() {
  if (!hasMisplacedReplica()) return;
  const bool hasFewEngines = readyEngines_.size() <= kFullSearchEngines;
  if (placement_.replicaCount() <= kFullSearchReplicas && hasFewEngines) {
    searchAll(workBudget_ / kFullSearchDivisor);
    return;
  }
  searchWindows();
  if (!isFullyPlaced() && placement_.replicaCount() <= kFallbackSearchReplicas && hasFewEngines)
    searchAll(workBudget_ / kFallbackSearchDivisor);
}

bool NeighborhoodSearch::hasMisplacedReplica() const {
  for (int index = 0; index < placement_.replicaCount(); ++index)
    if (placement_.isMisplaced(placement_.replica(index))) return true;
  return false;
}

bool NeighborhoodSearch::isFullyPlaced() const { return placement_.unassignedReplicas().empty(); }

void NeighborhoodSearch::searchAll(int maxNodes) {
  std::vector<int> allReplicas(static_cast<std::size_t>(placement_.replicaCount()));
  std::iota(allReplicas.begin(), allReplicas.end(), 0);
  WindowSearch(placement_, readyEngines_, std::move(allReplicas), maxNodes).run();
}

void NeighborhoodSearch::searchWindows() {
  int idleRounds = 0;
  while (remainingWork_ > 0 && idleRounds < kMaxIdleRounds) {
    const std::vector<int> misplaced = misplacedReplicas();
    if (misplaced.empty()) return;
    const bool hasImproved = searchWindowsAround(misplaced);
    idleRounds = hasImproved ? 0 : idleRounds + 1;
  }
}

// Returns the misplaced replicas, the unassigned ones first.
std::vector<int> NeighborhoodSearch::misplacedReplicas() const {
  std::vector<int> misplaced;
  for (int index = 0; index < placement_.replicaCount(); ++index)
    if (placement_.isMisplaced(placement_.replica(index))) misplaced.push_back(index);
  std::ranges::stable_partition(misplaced,
                                [&](int index) { return placement_.replica(index).engine == kUnassigned; });
  return misplaced;
}

bool NeighborhoodSearch::searchWindowsAround(const std::vector<int>& replicaIndices) {
  bool hasImproved = false;
  for (const int replicaIndex : replicaIndices) {
    if (remainingWork_ <= 0) break;
    if (searchWindowAround(replicaIndex)) hasImproved = true;
  }
  return hasImproved;
}

bool NeighborhoodSearch::searchWindowAround(int replicaIndex) {
  const std::vector<int> windowEngines = selectWindowEngines(placement_.replica(replicaIndex));
  std::vector<int> windowReplicas = selectWindowReplicas(replicaIndex, windowEngines);
  WindowSearch search(placement_, windowEngines, std::move(windowReplicas), kWindowSearchNodes);
  const bool hasImproved = search.run();
  remainingWork_ -= search.visitedNodes();
  return hasImproved;
}

// Selects some holders of the group, the replica's current engine, and random other engines.
std::vector<int> NeighborhoodSearch::selectWindowEngines(const Replica& replica) {
  std::vector<int> windowEngines;
  const auto addEngine = [&](int engine) {
    if (engine == kUnassigned || !placement_.isAllowed(replica, engine)) return;
    if (std::ranges::find(windowEngines, engine) != windowEngines.end()) return;
    windowEngines.push_back(engine);
  };
  for (const std::uint32_t holder : placement_.groupOf(replica).holders) addEngine(static_cast<int>(holder));
  if (windowEngines.size() > kWindowHolders) windowEngines.resize(kWindowHolders);
  addEngine(replica.engine);
  for (int draw = 0; draw < kRandomEngineDraws && windowEngines.size() < kWindowEngines; ++draw)
    addEngine(readyEngines_[random_() % readyEngines_.size()]);
  return windowEngines;
}

// Selects the replica itself and random other replicas on the window's engines, preferring misplaced ones.
std::vector<int> NeighborhoodSearch::selectWindowReplicas(int replicaIndex,
                                                          const std::vector<int>& windowEngines) {
  std::vector<int> neighbors;
  for (const int engine : windowEngines)
    for (const int neighbor : placement_.engineLoad(engine).replicas)
      if (neighbor != replicaIndex) neighbors.push_back(neighbor);
  shuffle(neighbors);
  std::ranges::stable_partition(neighbors,
                                [&](int index) { return placement_.isMisplaced(placement_.replica(index)); });
  if (neighbors.size() > kWindowReplicas - 1) neighbors.resize(kWindowReplicas - 1);

  std::vector<int> windowReplicas{replicaIndex};
  windowReplicas.insert(windowReplicas.end(), neighbors.begin(), neighbors.end());
  return windowReplicas;
}

// Does not use std::shuffle, because its result differs between standard libraries and all controllers must
// compute the same placement.
void NeighborhoodSearch::shuffle(std::vector<int>& items) {
  for (std::size_t count = items.size(); count > 1; --count)
    std::swap(items[count - 1], items[random_() % count]);
}

}  // namespace paddletrack::rebalance
