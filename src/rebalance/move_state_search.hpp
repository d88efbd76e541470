#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <vector>

#include "rebalance/plan.hpp"

namespace paddletrack::rebalance {

/// Finds the cheapest sequence of moves from the current holders to the placements with an A* search over
/// holder states in which no engine exceeds its memory. Groups that are already in place may be moved
/// temporarily to free memory for others. Used as a fallback for small fleets when MoveOrdering leaves moves
/// blocked.
class MoveStateSearch {
 public:
  /// Keeps references to the arguments, which must outlive the object.
  MoveStateSearch(const ClusterView& cluster, const PlanOptions& options,
                  const std::vector<std::vector<std::uint32_t>>& placements);

  /// Returns the moves in order, each dependent on all earlier ones. Returns std::nullopt if the fleet is too
  /// large, `headroomDivisor` is not 1, the work budget is exhausted or no sequence exists.
  std::optional<std::vector<Move>> run();

 private:
  // For each group, a bit set of the engines that hold it.
  using HolderState = std::vector<std::uint16_t>;
  struct Node {
    HolderState state;
    std::size_t parent = 0;
    Bytes movedBytes = 0;
  };
  struct FrontierEntry {
    Bytes estimatedBytes = 0;
    std::size_t node = 0;
    auto operator<=>(const FrontierEntry&) const = default;
  };
  struct Step {
    std::size_t group = 0;
    std::size_t engine = 0;
    bool isAddition = false;
  };

  bool isSupported() const;
  void initialize();
  Bytes estimateRemainingBytes(const HolderState& state) const;
  std::vector<Bytes> computeUsedBytes(const HolderState& state) const;
  bool isStepAllowed(const Step& step, const HolderState& state, const std::vector<Bytes>& usedBytes) const;
  void expand(std::size_t nodeIndex);
  void addNode(HolderState state, std::size_t parent, Bytes movedBytes);
  std::vector<Move> reconstructMoves(std::size_t nodeIndex) const;
  Move makeMove(std::uint32_t group, const HolderState& state, const HolderState& previousState) const;

  const ClusterView& cluster_;
  const PlanOptions& options_;
  const std::vector<std::vector<std::uint32_t>>& placements_;
  HolderState startState_, goalState_;
  std::vector<Bytes> capacityBytes_;  // by engine
  std::vector<Node> nodes_;
  std::map<HolderState, Bytes> minBytes_;
  std::priority_queue<FrontierEntry, std::vector<FrontierEntry>, std::greater<>> frontier_;
};

}  // namespace paddletrack::rebalance
