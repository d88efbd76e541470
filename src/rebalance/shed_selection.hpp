#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "rebalance/cluster_view.hpp"

namespace paddletrack::rebalance {

/// A replica that an engine over its limits could give away.
struct ShedCandidate {
  int replica = 0;
  std::int64_t readRate = 0;
  Bytes size = 0;
  std::int64_t cost = 0;
};

/// What an engine has beyond its limits; values of 0 or less mean that the limit is kept.
struct EngineExcess {
  std::int64_t load = 0;
  Bytes bytes = 0;

  bool isRelieved() const { return load <= 0 && bytes <= 0; }
};

/// Selects the cheapest set of replicas whose removal takes an engine back within its limits, by branch and
/// bound over a limited number of nodes.
class ShedSelection {
 public:
  ShedSelection(std::vector<ShedCandidate> candidates, const EngineExcess& excess);

  /// Returns the indices of the replicas to remove: all candidates if no set of them is enough.
  std::vector<int> run();

 private:
  void sortByReliefPerCost();
  void visit(std::size_t depth, const EngineExcess& remaining);

  std::vector<ShedCandidate> candidates_;
  EngineExcess excess_;
  std::vector<int> chosen_, best_;
  std::int64_t cost_ = 0;
  std::int64_t bestCost_ = INT64_MAX;
  int nodesLeft_;
};

}  // namespace paddletrack::rebalance
