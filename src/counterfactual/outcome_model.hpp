// The outcome model of the direct method and of the doubly robust estimator: expected outcomes by request
// class, load and engine.
#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "counterfactual/decision_record.hpp"
#include "counterfactual/summary.hpp"

namespace paddletrack::counterfactual {

/// Returns the outcome of a request: its latency in seconds, or 1 if it was on time and 0 otherwise.
double measuredOutcome(const DecisionRecord& record, std::size_t measure);

/// Mean outcomes by class, by class and load, and by class, load and engine. Each mean is shrunk towards that
/// of the next coarser cell.
class OutcomeModel {
 public:
  void addRecord(const DecisionRecord& record);
  /// Returns the expected outcome if the request starts at `option`, or if it waits where `option` is null.
  double mean(const DecisionRecord& record, const DecisionRecord::Option* option, std::size_t measure) const;
  /// Returns the variance of that mean, computed from the variance of the outcomes in its finest cell.
  double variance(const DecisionRecord& record, const DecisionRecord::Option* option,
                  std::size_t measure) const;
  /// Returns the key of the finest cell. All requests that use the same cell share the error of its mean.
  static std::uint64_t cellOf(const DecisionRecord& record, const DecisionRecord::Option* option);

 private:
  struct Cell {
    double requests = 0;
    std::array<double, kMeasureCount> sum{};
    std::array<double, kMeasureCount> squareSum{};
  };
  static std::uint64_t loadBin(const DecisionRecord::Option& option);
  static std::uint64_t cellKey(std::uint64_t requestClass, std::uint64_t loadLevel, std::uint64_t engine);
  void addToCell(std::uint64_t cellId, const DecisionRecord& record);
  double shrunkMean(std::uint64_t cellId, std::size_t measure, double coarserMean) const;

  std::map<std::uint64_t, Cell> cells_;
};

}  // namespace paddletrack::counterfactual
