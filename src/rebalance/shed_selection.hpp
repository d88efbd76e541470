#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "rebalance/cluster_view.hpp"

namespace paddletrack::rebalance {

/// A replica that an engine over its limits could shed.
struct ShedCandidate {
  int replica = 0;
  std::int64_t readRate = 0;
  Bytes size = 0;
  std::int64_t cost = 0;
};

/// The amount by which an engine exceeds its limits; a value of 0 or less means that the limit is not
/// exceeded.
struct EngineExcess {
  std::int64_t load = 0;
  Bytes bytes = 0;

  bool isWithinLimits() const { return load <= 0 && bytes <= 0; }
};

/// Selects the cheapest set of replicas whose removal brings an engine back within its limits, using branch
/// and bound with a limited number of nodes.
class ShedSelection {
 public:
  ShedSelection(std::vector<ShedCandidate> candidates, const EngineExcess& excess);

  /// Returns the indices of the replicas to remove, or of all candidates if no set of them is sufficient.
  std::vector<int> run();

 private:
  void sortByReliefPerCost();
  void visit(std::size_t depth, const EngineExcess& remaining);

  std::vector<ShedCandidate> candidates_;
  EngineExcess excess_;
  std::vector<int> chosenReplicas_, bestReplicas_;
  std::int64_t chosenCost_ = 0;
  std::int64_t bestCost_ = INT64_MAX;
  int nodesLeft_;
};

}  // namespace paddletrack::rebalance
