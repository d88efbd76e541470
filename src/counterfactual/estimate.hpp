// Off-policy evaluation: estimates of the outcomes of alternative policies, computed from sums of decision
// records. No I/O, no clock, no randomness. See docs/hindsight.md for the formulas and their sources.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "counterfactual/summary.hpp"

namespace paddletrack::counterfactual {

/// Estimators: importance weighting (Horvitz-Thompson), its self-normalized form, the direct method (outcome
/// model) and the doubly robust estimator.
enum class Method : std::uint8_t { importanceWeighted, selfNormalized, direct, doublyRobust };
constexpr std::size_t kMethodCount = 4;

/// Whether an estimate may be reported, and the reason if not.
enum class Verdict : std::uint8_t {
  conclusive,
  sameAsLogged,    // the policy acts as the logging policy for all requests
  unreachable,     // the logging policy hardly ever takes the policy's actions
  tooFewRequests,  // too few requests carry information on the policy
  miscalibrated,   // the logged choices do not agree with the recorded propensities
};
/// Returns the verdict's text in reports.
const char* describeVerdict(Verdict verdict);

/// A value with its confidence interval.
struct Estimate {
  Verdict verdict = Verdict::tooFewRequests;
  double value = 0;
  // Bounds of the interval: 90 %, and 95 % where two policies are compared.
  double low = 0;
  double high = 0;
  bool isConclusive() const { return verdict == Verdict::conclusive; }
};
/// The estimates of one measure of one policy.
struct PolicyEstimate {
  std::array<Estimate, kMethodCount> byMethod{};
  double loggedMean = 0;  // the observed mean over the same requests, under the logging policy
  // Ratio of requests for which the policy acts differently by actions that the logging policy could have
  // taken.
  double reachableRatio = 0;
  // Ratio of requests for which it could not. For these the policy is assumed to act as the logging policy.
  double unreachableRatio = 0;
  double effectiveSampleSize = 0;  // (sum of weights)^2 / sum of squared weights
  const Estimate& doublyRobust() const { return byMethod[static_cast<std::size_t>(Method::doublyRobust)]; }
};

/// True if a calibration check deviates by more than chance explains.
bool isMiscalibrated(const CalibrationSums& sums);
/// True if too many requests started at another engine than the recorded decision had selected.
bool hasTooManyDiverted(const CalibrationSums& pooledCalibration);
/// True if the calibration checks pass for all engines together and for each engine.
template <typename Name>
bool isWellCalibrated(const CalibrationSums& pooledCalibration,
                      const std::map<Name, CalibrationSums>& engines) {
  if (hasTooManyDiverted(pooledCalibration) || isMiscalibrated(pooledCalibration)) return false;
  for (const auto& [name, engineCalibration] : engines)
    if (isMiscalibrated(engineCalibration)) return false;
  return true;
}
/// Estimates the mean that a measure would have had if the policy had made all decisions. `isCalibrated` is
/// the result of isWellCalibrated(); without it no estimate is conclusive.
PolicyEstimate estimatePolicy(const ClassSums& sums, Policy policy, Measure measure, bool isCalibrated);
/// Estimates the mean under `first` minus that under `second`. Conclusive only if the interval excludes 0.
Estimate comparePolicies(const ClassSums& sums, Policy first, Policy second, Measure measure,
                         bool isCalibrated);
/// Estimates the mean under the policy minus the observed one. Conclusive only if the interval excludes 0.
Estimate compareWithLogged(const ClassSums& sums, Policy policy, Measure measure, bool isCalibrated);
/// Estimates the regret of starting requests at the destination, as on-time ratio or in seconds. It is
/// positive if another destination would have been better.
Estimate estimateRegret(const DestinationSums& sums, Measure measure, bool isCalibrated);

}  // namespace paddletrack::counterfactual
