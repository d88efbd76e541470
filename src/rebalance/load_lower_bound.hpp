#pragma once

#include <cstdint>

#include "rebalance/cluster_view.hpp"

namespace paddletrack::rebalance {

/// A lower bound, valid for every placement, of the load per unit of weight on the most loaded engine. Load
/// limits of engines are given in percent above this bound.
class LoadLowerBound {
 public:
  explicit LoadLowerBound(const ClusterView& cluster);

  /// Returns the load of `engine` at `overloadPercent` percent above the bound, in units of
  /// GroupSnapshot::readRate.
  std::int64_t loadLimit(const EngineSnapshot& engine, int overloadPercent) const;

 private:
  void raiseBound(std::int64_t load, std::int64_t weight);

  // The bound is stored as the fraction load_ / weight_, so that all arithmetic uses integers.
  std::int64_t load_ = 0;
  std::int64_t weight_ = 1;
};

}  // namespace paddletrack::rebalance
