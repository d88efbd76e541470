#include "rebalance/window_search.hpp"

#include <algorithm>
#include <utility>

namespace paddletrack::rebalance {

WindowSearch::WindowSearch(PlacementState& placement, const std::vector<int>& engines,
                           std::vector<int> replicaIndices, int maxNodes)
    : placement_(placement),
      replicaIndices_(std::move(replicaIndices)),
      maxNodes_(maxNodes),
      nodesLeft_(maxNodes),
      chosenEngines_(replicaIndices_.size(), kUnassigned),
      candidates_(replicaIndices_.size()),
      remainingMinCost_(replicaIndices_.size() + 1, 0) {
  placement_.sortByDifficulty(replicaIndices_);
  recordInitialPlacement();
  collectCandidates(engines);
}

bool WindowSearch::run() {
  for (const int replicaIndex : replicaIndices_) placement_.unassign(replicaIndex);
  visit(0);
  const bool hasImproved = !bestEngines_.empty();
  const std::vector<int>& finalEngines = hasImproved ? bestEngines_ : previousEngines_;
  for (std::size_t position = 0; position < replicaIndices_.size(); ++position)
    if (finalEngines[position] != kUnassigned)
      placement_.assign(replicaIndices_[position], finalEngines[position]);
  return hasImproved;
}

int WindowSearch::visitedNodes() const { return maxNodes_ - std::max(nodesLeft_, 0); }

void WindowSearch::recordInitialPlacement() {
  for (const int replicaIndex : replicaIndices_) {
    const Replica& replica = placement_.replica(replicaIndex);
    previousEngines_.push_back(replica.engine);
    if (replica.engine == kUnassigned)
      ++bestScore_.unplaced;
    else
      bestScore_.cost += placement_.moveCost(replica, replica.engine);
  }
}

void WindowSearch::collectCandidates(const std::vector<int>& engines) {
  for (std::size_t position = replicaIndices_.size(); position-- > 0;) {
    candidates_[position] = candidatesOf(position, engines);
    const std::int64_t minCost = candidates_[position].empty() ? 0 : candidates_[position].front().cost;
    remainingMinCost_[position] = remainingMinCost_[position + 1] + minCost;
  }
}

// Returns the engines that may hold the replica, the cheapest first.
std::vector<WindowSearch::Candidate> WindowSearch::candidatesOf(std::size_t position,
                                                                const std::vector<int>& engines) const {
  const Replica& replica = placement_.replica(replicaIndices_[position]);
  const int previousEngine = previousEngines_[position];
  std::vector<int> candidateEngines = engines;
  if (previousEngine != kUnassigned && std::ranges::find(engines, previousEngine) == engines.end())
    candidateEngines.push_back(previousEngine);

  std::vector<Candidate> candidates;
  for (const int engine : candidateEngines) {
    if (!placement_.isAllowed(replica, engine)) continue;
    candidates.push_back(
        {placement_.moveCost(replica, engine), engine, placement_.requiredBytes(replica, engine)});
  }
  std::ranges::stable_sort(
      candidates, [](const Candidate& left, const Candidate& right) { return left.cost < right.cost; });
  return candidates;
}

// A placement with fewer unplaced replicas is better at any cost, and replicas that are still to be visited
// may remain unplaced at no cost, so the lower bound includes the remaining move cost only if the number of
// unplaced replicas is no longer lower than in the best placement.
bool WindowSearch::canImprove(std::size_t depth) const {
  const bool hasFewerUnplaced = currentScore_.unplaced < bestScore_.unplaced;
  const Score lowerBound{currentScore_.unplaced,
                         currentScore_.cost + (hasFewerUnplaced ? 0 : remainingMinCost_[depth])};
  return lowerBound < bestScore_;
}

void WindowSearch::visit(std::size_t depth) {
  --nodesLeft_;
  if (nodesLeft_ < 0 || !canImprove(depth)) return;
  if (depth == replicaIndices_.size()) {
    bestScore_ = currentScore_;
    bestEngines_ = chosenEngines_;
    return;
  }
  const Replica& replica = placement_.replica(replicaIndices_[depth]);
  for (const Candidate& candidate : candidates_[depth]) {
    if (!placement_.hasCapacity(replica, candidate.engine)) continue;
    if (placement_.hasReplicaOn(replica, candidate.engine)) continue;
    visitWithCandidate(depth, candidate);
  }
  visitUnplaced(depth);
}

void WindowSearch::visitWithCandidate(std::size_t depth, const Candidate& candidate) {
  const int replicaIndex = replicaIndices_[depth];
  chosenEngines_[depth] = candidate.engine;
  placement_.assignTentatively(replicaIndex, candidate.engine, candidate.requiredBytes);
  currentScore_.cost += candidate.cost;
  visit(depth + 1);
  currentScore_.cost -= candidate.cost;
  placement_.undoTentativeAssignment(replicaIndex, candidate.engine, candidate.requiredBytes);
  chosenEngines_[depth] = kUnassigned;
}

void WindowSearch::visitUnplaced(std::size_t depth) {
  ++currentScore_.unplaced;
  if (currentScore_.unplaced <= bestScore_.unplaced) visit(depth + 1);
  --currentScore_.unplaced;
}

}  // namespace paddletrack::rebalance
