#include "rebalance/shed_selection.hpp"

#include <algorithm>
#include <utility>

namespace paddletrack::rebalance {
namespace {

constexpr int kMaxNodes = 2'000;

// Returns the fraction of the excess that removing the share eliminates, from 0 to 1.
double reliefRatio(std::int64_t share, std::int64_t excess) {
  if (excess <= 0) return 0;
  return static_cast<double>(std::min(share, excess)) / static_cast<double>(excess);
}

double reliefPerCost(const ShedCandidate& candidate, const EngineExcess& excess) {
  const double relief =
      reliefRatio(candidate.readRate, excess.load) + reliefRatio(candidate.size, excess.bytes);
  return relief / static_cast<double>(candidate.cost);
}

bool reducesExcess(const ShedCandidate& candidate, const EngineExcess& excess) {
  return (excess.load > 0 && candidate.readRate > 0) || (excess.bytes > 0 && candidate.size > 0);
}

}  // namespace

ShedSelection::ShedSelection(std::vector<ShedCandidate> candidates, const EngineExcess& excess)
    : candidates_(std::move(candidates)), excess_(excess), nodesLeft_(kMaxNodes) {}

std::vector<int> ShedSelection::run() {
  sortByReliefPerCost();
  visit(0, excess_);
  if (bestCost_ != INT64_MAX) return bestReplicas_;
  std::vector<int> allReplicas;
  for (const ShedCandidate& candidate : candidates_) allReplicas.push_back(candidate.replica);
  return allReplicas;
}

void ShedSelection::sortByReliefPerCost() {
  std::ranges::stable_sort(candidates_, [&](const ShedCandidate& left, const ShedCandidate& right) {
    return reliefPerCost(left, excess_) > reliefPerCost(right, excess_);
  });
}

void ShedSelection::visit(std::size_t depth, const EngineExcess& remaining) {
  if (chosenCost_ >= bestCost_) return;
  --nodesLeft_;
  const bool hasSolution = bestCost_ != INT64_MAX;
  if (nodesLeft_ < 0 && hasSolution) return;
  if (remaining.isWithinLimits()) {
    bestCost_ = chosenCost_;
    bestReplicas_ = chosenReplicas_;
    return;
  }
  if (depth == candidates_.size()) return;
  const ShedCandidate& candidate = candidates_[depth];
  if (reducesExcess(candidate, remaining)) {
    chosenReplicas_.push_back(candidate.replica);
    chosenCost_ += candidate.cost;
    visit(depth + 1, {remaining.load - candidate.readRate, remaining.bytes - candidate.size});
    chosenCost_ -= candidate.cost;
    chosenReplicas_.pop_back();
  }
  visit(depth + 1, remaining);
}

}  // namespace paddletrack::rebalance
