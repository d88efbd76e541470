#pragma once

#include <cstdint>

#include "rebalance/cluster_view.hpp"

namespace paddletrack::rebalance {

/// A lower bound of the load per unit of weight that the most loaded engine has in any placement. Load limits
/// of engines are given in per cent over it.
class LoadLowerBound {
 public:
  explicit LoadLowerBound(const ClusterView& cluster);

  /// Returns the load that `engine` may have at `overloadPercent` per cent over the bound, in units of
  /// GroupSnapshot::readRate.
  std::int64_t loadLimit(const EngineSnapshot& engine, int overloadPercent) const;

 private:
  void raise(std::int64_t load, std::int64_t weight);

  // The bound is the fraction load_ / weight_, so that all arithmetic stays in integers.
  std::int64_t load_ = 0;
  std::int64_t weight_ = 1;
};

}  // namespace paddletrack::rebalance
