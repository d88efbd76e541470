// From records to what would have been: sums that add up over controllers, and what can be told from them.
// Pure: no I/O, no clock, no chance. Formulas and their sources are in docs/hindsight.md.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "counterfactual/decision_record.hpp"

namespace paddletrack::counterfactual {

enum class Measure : std::uint8_t { onTime, latency };  // a share of jobs; seconds
constexpr std::size_t kMeasureCount = 2;
enum class Method : std::uint8_t { weighted, selfNormalized, direct, doublyRobust };
constexpr std::size_t kMethodCount = 4;

// Sums over jobs. Those of two controllers, or of two classes, are added place by place.
struct PolicySums {
  double reachable = 0;    // the part of its wishes that chance could have done as well, where they differ
  double unreachable = 0;  // that chance could not
  double weights = 0, squaredWeights = 0;  // of those weights
  double weightVariance = 0;               // of weights - reached: its variance, by design
  struct MeasureSums {
    double asLogged = 0;  // as the module did: known, not estimated
    double weighted = 0;  // weight x outcome
    double designVariance = 0, designVarianceOutcome = 0,
           designVarianceOutcomeSquared = 0;  // w (w - q) times 1, outcome, its square: variances by design
    double direct = 0, directVariance = 0;
    double doublyRobust = 0, doublyRobustVariance = 0,
           doublyRobustVarianceSquares = 0;  // squares of what the variance is a sum of
    double pooledVariance = 0;               // the same, as if each job's error were that of what it did
    double informativeRequests = 0;          // weighted jobs whose outcome is unlike the class's usual one
  };
  std::array<MeasureSums, kMeasureCount> measures{};
};
struct PairSums {  // of two policies: doubly robust
  struct MeasureSums {
    double variance = 0, differingRequests = 0;  // jobs in which their wishes differ
  };
  std::array<MeasureSums, kMeasureCount> measures{};
};
constexpr std::size_t kPairCount = kPolicyCount * (kPolicyCount - 1) / 2;
std::size_t pairIndex(Policy first, Policy second);  // first before second

struct ClassSums {
  double requests = 0;
  std::array<double, kMeasureCount> logged{};  // what happened
  std::array<PolicySums, kPolicyCount> policies{};
  std::array<PairSums, kPairCount> pairs{};
};

// Of one engine, or one location: what going there did, against going elsewhere, in jobs that could have done
// either.
struct DestinationSums {
  double requests = 0, chosenRequests = 0;
  double chosenWeights = 0, notChosenWeights = 0, squaredWeights = 0;
  struct MeasureSums {
    double chosen = 0, notChosen = 0;  // weight x (outcome less the class's mean)
    double variance = 0;
  };
  std::array<MeasureSums, kMeasureCount> measures{};
};

// Whether what was chosen goes with the chances told, as sums of (chosen - chance) and their variances: in
// all, with the work told, with what the job before did. Something that the record lacks and that lasts, or
// goes with the work, shows here.
struct CalibrationSums {
  static constexpr std::size_t kCheckCount = 3;
  double requests = 0, divertedRequests = 0;
  std::array<double, kCheckCount> residualSum{}, variance{};
};

struct Summary {
  std::map<std::size_t, ClassSums> classes;  // by reservation type
  std::map<std::uint32_t, DestinationSums> engines;
  std::map<unsigned, DestinationSums> zones;
  std::map<std::uint32_t, CalibrationSums> calibration;  // by engine
  CalibrationSums pooledCalibration;                     // over all engines
};
Summary summarize(const std::vector<const DecisionRecord*>& records);

template <typename Sums>
void addSums(Sums& total, const Sums& addend) {  // all of them are of doubles alone
  static_assert(sizeof(Sums) % sizeof(double) == 0);
  auto* destination = reinterpret_cast<double*>(&total);
  const auto* source = reinterpret_cast<const double*>(&addend);
  for (std::size_t index = 0; index < sizeof(Sums) / sizeof(double); ++index)
    destination[index] += source[index];
}

enum class Verdict : std::uint8_t {
  conclusive,
  sameAsLogged,    // it wants what the module does, in all jobs
  unreachable,     // chance hardly ever takes what it wants
  tooFewRequests,  // too few jobs speak of it
  miscalibrated,   // what was chosen does not go with the chances told
};
const char* describeVerdict(Verdict verdict);

struct Estimate {
  Verdict verdict = Verdict::tooFewRequests;
  double value = 0, low = 0, high = 0;  // 90 % interval
  bool isConclusive() const { return verdict == Verdict::conclusive; }
};
struct PolicyEstimate {
  std::array<Estimate, kMethodCount> byMethod{};
  double loggedMean = 0;  // what happened, in the same jobs
  double reachableRatio =
      0;  // part of the jobs in which it wants another thing and chance could have done that
  double unreachableRatio = 0;     // and could not: there it is taken to do as the module did
  double effectiveSampleSize = 0;  // sample size: (sum of weights)^2 / sum of squares
  const Estimate& doublyRobust() const { return byMethod[static_cast<std::size_t>(Method::doublyRobust)]; }
};

bool isMiscalibrated(const CalibrationSums& sums);  // past what chance does
bool hasTooManyDiverted(const CalibrationSums& pooledCalibration);
template <typename Name>
bool isWellCalibrated(const CalibrationSums& pooledCalibration,
                      const std::map<Name, CalibrationSums>& engines) {
  if (hasTooManyDiverted(pooledCalibration) || isMiscalibrated(pooledCalibration)) return false;
  for (const auto& [name, item] : engines)
    if (isMiscalibrated(item)) return false;
  return true;
}
PolicyEstimate estimatePolicy(const ClassSums& sums, Policy policy, Measure measure, bool isCalibrated);
// First less second; told where the interval leaves no doubt of which is better.
Estimate comparePolicies(const ClassSums& sums, Policy first, Policy second, Measure measure,
                         bool isCalibrated);
Estimate compareWithLogged(const ClassSums& sums, Policy policy, Measure measure,
                           bool isCalibrated);  // the module's own
// What its jobs lost by going there: in the in-time share or seconds; above 0: elsewhere would have been
// better.
Estimate estimateRegret(const DestinationSums& sums, Measure measure, bool isCalibrated);
ClassSums sumClasses(const Summary& summary);

}  // namespace paddletrack::counterfactual
