// Sums over the decision records of a controller. The sums of several controllers add up to those of the
// fleet; the estimates are computed from them (estimate.hpp). No I/O, no clock, no randomness. See
// docs/hindsight.md for the formulas and their sources.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "counterfactual/decision_record.hpp"

namespace paddletrack::counterfactual {

/// Outcome measure that is estimated for a policy.
enum class Measure : std::uint8_t {
  onTime,   // ratio of requests
  latency,  // mean in seconds
};
constexpr std::size_t kMeasureCount = 2;

/// Sums over requests for one policy. All sums consist of doubles, so that those of two controllers or two
/// classes are added element by element (addSums).
struct PolicySums {
  // Probability of actions that differ from those of the logging policy and that it could have taken too.
  double reachable = 0;
  double unreachable = 0;  // probability of actions that the logging policy takes too rarely
  double weights = 0;      // importance weights
  double squaredWeights = 0;
  double weightVariance = 0;  // design variance of `weights` - `reachable`
  struct MeasureSums {
    double asLogged = 0;  // outcomes of actions shared with the logging policy; observed, not estimated
    double importanceWeighted = 0;  // importance weight x outcome
    // Design variances: weight x (weight - probability), multiplied by 1, by the outcome and by its square.
    double designVariance = 0;
    double designVarianceOutcome = 0;
    double designVarianceOutcomeSquared = 0;
    double direct = 0;
    double directVariance = 0;
    double doublyRobust = 0;
    double doublyRobustVariance = 0;
    double doublyRobustVarianceSquares = 0;  // squares of the addends of doublyRobustVariance
    double pooledVariance = 0;  // variance of doublyRobust if all actions of a request had the same error
    double informativeRequests =
        0;  // requests with a weight above 0 whose outcome differs from the usual one of their class
  };
  std::array<MeasureSums, kMeasureCount> measures{};
};
/// Sums for the difference of the doubly robust estimates of two policies.
struct PairSums {
  struct MeasureSums {
    double variance = 0;
    double differingRequests = 0;  // requests for which the two policies have different weights
  };
  std::array<MeasureSums, kMeasureCount> measures{};
};
constexpr std::size_t kPairCount = kPolicyCount * (kPolicyCount - 1) / 2;
/// Index of a pair in ClassSums::pairs; `first` must precede `second`.
std::size_t pairIndex(Policy first, Policy second);

/// Sums over the requests of one class.
struct ClassSums {
  double requests = 0;
  std::array<double, kMeasureCount> logged{};  // sums of the observed outcomes
  std::array<PolicySums, kPolicyCount> policies{};
  std::array<PairSums, kPairCount> pairs{};
};

/// Sums for one engine or zone: outcomes of requests that started there against those that started elsewhere,
/// over requests that could have done either.
struct DestinationSums {
  double requests = 0;
  double chosenRequests = 0;
  double chosenWeights = 0;
  double notChosenWeights = 0;
  double squaredWeights = 0;
  struct MeasureSums {
    // Weight x (outcome - expected outcome).
    double chosen = 0;
    double notChosen = 0;
    double variance = 0;
  };
  std::array<MeasureSums, kMeasureCount> measures{};
};

/// Calibration checks of the logged choices against the recorded propensities: sums of the residuals
/// (chosen - propensity) and their variances. Check 0 is the plain sum, check 1 is weighted by the declared
/// cost, check 2 by the residual of the preceding request. A confounder that the records lack shows in these
/// checks if it persists or depends on the cost.
struct CalibrationSums {
  static constexpr std::size_t kCheckCount = 3;
  double requests = 0;
  double divertedRequests = 0;
  std::array<double, kCheckCount> residualSum{};
  std::array<double, kCheckCount> variance{};
};

/// All sums of one controller.
struct Summary {
  std::map<std::size_t, ClassSums> classes;  // by request class
  std::map<std::uint32_t, DestinationSums> engines;
  std::map<unsigned, DestinationSums> zones;
  std::map<std::uint32_t, CalibrationSums> calibration;  // by engine
  CalibrationSums pooledCalibration;                     // over all engines
};
/// Computes the sums of the records. The records must be ordered by arrival.
Summary summarize(const std::vector<const DecisionRecord*>& records);

/// Adds two structs of sums, which must consist only of doubles.
template <typename Sums>
void addSums(Sums& total, const Sums& addend) {
  static_assert(sizeof(Sums) % sizeof(double) == 0);
  auto* destination = reinterpret_cast<double*>(&total);
  const auto* source = reinterpret_cast<const double*>(&addend);
  for (std::size_t index = 0; index < sizeof(Sums) / sizeof(double); ++index)
    destination[index] += source[index];
}

/// The sums over all classes.
ClassSums sumClasses(const Summary& summary);

}  // namespace paddletrack::counterfactual
