// Estimates of what other policies would have achieved, computed from sums of decision records. No I/O, no
// clock, no randomness. See docs/hindsight.md for the formulas and their sources.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "counterfactual/summary.hpp"

namespace paddletrack::counterfactual {

enum class Method : std::uint8_t { weighted, selfNormalized, direct, doublyRobust };
constexpr std::size_t kMethodCount = 4;

/// Whether an estimate may be reported, and otherwise why not.
enum class Verdict : std::uint8_t {
  conclusive,
  sameAsLogged,    // the policy acts as the logged one for all requests
  unreachable,     // the logged policy hardly ever takes the policy's actions
  tooFewRequests,  // too few requests carry information on the policy
  miscalibrated,   // the choices do not agree with the recorded probabilities
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
  double loggedMean = 0;  // the observed mean over the same requests
  // Ratio of requests for which the policy acts differently, and the logged policy could have done the same.
  double reachableRatio = 0;
  // Ratio for which it could not. There the policy is assumed to act as the logged one.
  double unreachableRatio = 0;
  double effectiveSampleSize = 0;  // (sum of weights)^2 / sum of squared weights
  const Estimate& doublyRobust() const { return byMethod[static_cast<std::size_t>(Method::doublyRobust)]; }
};

/// True if a check deviates by more than chance explains.
bool isMiscalibrated(const CalibrationSums& sums);
/// True if too many requests did not go where the recorded decision had sent them.
bool hasTooManyDiverted(const CalibrationSums& pooledCalibration);
/// True if the checks pass for all engines together and for each engine.
template <typename Name>
bool isWellCalibrated(const CalibrationSums& pooledCalibration,
                      const std::map<Name, CalibrationSums>& engines) {
  if (hasTooManyDiverted(pooledCalibration) || isMiscalibrated(pooledCalibration)) return false;
  for (const auto& [name, item] : engines)
    if (isMiscalibrated(item)) return false;
  return true;
}
/// Estimates the mean of a measure had the policy made all decisions. `isCalibrated` is the result of
/// isWellCalibrated(); without it no estimate is conclusive.
PolicyEstimate estimatePolicy(const ClassSums& sums, Policy policy, Measure measure, bool isCalibrated);
/// Estimates the mean under `first` minus that under `second`. Conclusive only if the interval excludes 0.
Estimate comparePolicies(const ClassSums& sums, Policy first, Policy second, Measure measure,
                         bool isCalibrated);
/// Estimates the mean under the policy minus the observed one. Conclusive only if the interval excludes 0.
Estimate compareWithLogged(const ClassSums& sums, Policy policy, Measure measure, bool isCalibrated);
/// Estimates what requests lost by going to the destination, as on-time ratio or in seconds. Above 0 another
/// destination would have been better.
Estimate estimateRegret(const DestinationSums& sums, Measure measure, bool isCalibrated);

}  // namespace paddletrack::counterfactual
