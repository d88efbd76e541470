#include "counterfactual/estimate.hpp"

#include <algorithm>
#include <cmath>

namespace paddletrack::counterfactual {
namespace {

constexpr double kNormalQuantile90 = 1.645;     // of a two-sided confidence interval of 90 %
constexpr double kNormalQuantile95 = 1.96;      // of 95 %, for comparisons of two policies
constexpr double kMinEffectiveRequests = 30;    // effective sample size of a conclusive estimate
constexpr double kMinReachableRatio = 0.02;     // of all requests
constexpr double kMinInformativeRequests = 5;   // see PolicySums::MeasureSums::informativeRequests
constexpr double kMiscalibrationThreshold = 4;  // standard deviations
constexpr double kMinDegreesOfFreedom = 3;

// Approximates the quantile of Student's t distribution from that of the normal distribution (Cornish-Fisher
// expansion; the error is within 2 % from 3 degrees of freedom on).
double studentQuantile(double normalQuantile, double degreesOfFreedom) {
  const double boundedDegrees = std::max(degreesOfFreedom, kMinDegreesOfFreedom);
  const double cube = normalQuantile * normalQuantile * normalQuantile;
  return normalQuantile + (cube + normalQuantile) / (4 * boundedDegrees) +
         (5 * cube * normalQuantile * normalQuantile + 16 * cube + 3 * normalQuantile) /
             (96 * boundedDegrees * boundedDegrees);
}

// Degrees of freedom of the variance estimate (Satterthwaite). They are few if a few requests dominate the
// variance.
double robustDegreesOfFreedom(const PolicySums::MeasureSums& measureSums) {
  return measureSums.doublyRobustVarianceSquares > 0
             ? 2 * measureSums.doublyRobustVariance * measureSums.doublyRobustVariance /
                   measureSums.doublyRobustVarianceSquares
             : kMinDegreesOfFreedom;
}

// The larger of two variance estimates: that over the requests whose logged action agrees with the policy,
// and that over all requests under the assumption that all actions of a request have the same error. Either
// can miss a few large errors by chance.
double conservativeVariance(const PolicySums::MeasureSums& measureSums) {
  return std::max(measureSums.doublyRobustVariance, measureSums.pooledVariance);
}

Estimate makeEstimate(double value, double variance, double degreesOfFreedom,
                      double quantile = kNormalQuantile90) {
  const double halfWidth = studentQuantile(quantile, degreesOfFreedom) * std::sqrt(std::max(variance, 0.0));
  return {Verdict::conclusive, value, value - halfWidth, value + halfWidth};
}

Verdict determineVerdict(const PolicyEstimate& estimate, const PolicySums& sums,
                         const PolicySums::MeasureSums& measureSums, double requests) {
  if (estimate.reachableRatio < kMinReachableRatio && requests >= kMinEffectiveRequests) {
    if (estimate.unreachableRatio > kMinReachableRatio) return Verdict::unreachable;
    return sums.reachable > 0 ? Verdict::tooFewRequests : Verdict::sameAsLogged;
  }
  if (estimate.effectiveSampleSize < kMinEffectiveRequests ||
      measureSums.informativeRequests < kMinInformativeRequests)
    return Verdict::tooFewRequests;
  return Verdict::conclusive;
}

// The expectation of the importance weights is known. If their sum deviates from it by more than chance
// explains, the recorded propensities are wrong.
bool hasInvalidWeights(const PolicySums& sums) {
  return sums.weightVariance > 0 &&
         std::abs(sums.weights - sums.reachable) > kMiscalibrationThreshold * std::sqrt(sums.weightVariance);
}

// A comparison is conclusive only if its confidence interval excludes 0.
void requireSignificance(Estimate& estimate) {
  if (estimate.isConclusive() && estimate.low <= 0 && estimate.high >= 0)
    estimate.verdict = Verdict::tooFewRequests;
}

}  // namespace

const char* describeVerdict(Verdict verdict) {
  static constexpr std::array<const char*, 5> kDescriptions{
      "told", "same", "cannot tell: out of reach", "cannot tell: too few jobs", "cannot tell: unexplained"};
  return kDescriptions[static_cast<std::size_t>(verdict)];
}

PolicyEstimate estimatePolicy(const ClassSums& sums, Policy policy, Measure measure, bool isCalibrated) {
  const PolicySums& policySums = sums.policies[static_cast<std::size_t>(policy)];
  const PolicySums::MeasureSums& measureSums = policySums.measures[static_cast<std::size_t>(measure)];
  PolicyEstimate result;
  const double requests = std::max(sums.requests, 1.0);
  const double requestsSquared = requests * requests;
  result.loggedMean = sums.logged[static_cast<std::size_t>(measure)] / requests;
  result.reachableRatio = policySums.reachable / requests;
  result.unreachableRatio = policySums.unreachable / requests;
  result.effectiveSampleSize =
      policySums.squaredWeights > 0 ? policySums.weights * policySums.weights / policySums.squaredWeights : 0;
  const Verdict verdict = isCalibrated && !hasInvalidWeights(policySums)
                              ? determineVerdict(result, policySums, measureSums, requests)
                              : Verdict::miscalibrated;
  const auto setEstimate = [&](Method method, double value, double variance) {
    Estimate estimate = makeEstimate(value, variance, robustDegreesOfFreedom(measureSums));
    estimate.verdict = verdict;
    result.byMethod[static_cast<std::size_t>(method)] = estimate;
  };
  setEstimate(Method::importanceWeighted, (measureSums.asLogged + measureSums.importanceWeighted) / requests,
              measureSums.designVarianceOutcomeSquared / requestsSquared);
  const double selfNormalizedMean =
      policySums.weights > 0 ? measureSums.importanceWeighted / policySums.weights : 0;
  const double scale = policySums.weights > 0 ? policySums.reachable / policySums.weights : 0;
  setEstimate(
      Method::selfNormalized, (measureSums.asLogged + selfNormalizedMean * policySums.reachable) / requests,
      (measureSums.designVarianceOutcomeSquared - 2 * selfNormalizedMean * measureSums.designVarianceOutcome +
       selfNormalizedMean * selfNormalizedMean * measureSums.designVariance) *
          scale * scale / requestsSquared);
  setEstimate(Method::direct, measureSums.direct / requests, measureSums.directVariance / requestsSquared);
  setEstimate(Method::doublyRobust, measureSums.doublyRobust / requests,
              conservativeVariance(measureSums) / requestsSquared);
  return result;
}

Estimate comparePolicies(const ClassSums& sums, Policy first, Policy second, Measure measure,
                         bool isCalibrated) {
  const bool isSwapped = second < first;
  const auto measureIndex = static_cast<std::size_t>(measure);
  const double requests = std::max(sums.requests, 1.0);
  const PairSums::MeasureSums& pairSums =
      sums.pairs[pairIndex(isSwapped ? second : first, isSwapped ? first : second)].measures[measureIndex];
  const auto doublyRobustMean = [&](Policy policy) {
    return sums.policies[static_cast<std::size_t>(policy)].measures[measureIndex].doublyRobust / requests;
  };
  const auto degreesOfFreedom = [&](Policy policy) {
    return robustDegreesOfFreedom(sums.policies[static_cast<std::size_t>(policy)].measures[measureIndex]);
  };
  const PolicyEstimate firstEstimate = estimatePolicy(sums, first, measure, isCalibrated);
  const PolicyEstimate secondEstimate = estimatePolicy(sums, second, measure, isCalibrated);
  Estimate result = makeEstimate(
      doublyRobustMean(first) - doublyRobustMean(second), pairSums.variance / requests / requests,
      std::min(degreesOfFreedom(first), degreesOfFreedom(second)), kNormalQuantile95);
  result.verdict = !firstEstimate.doublyRobust().isConclusive() ? firstEstimate.doublyRobust().verdict
                                                                : secondEstimate.doublyRobust().verdict;
  requireSignificance(result);
  return result;
}

Estimate compareWithLogged(const ClassSums& sums, Policy policy, Measure measure, bool isCalibrated) {
  const PolicyEstimate policyEstimate = estimatePolicy(sums, policy, measure, isCalibrated);
  const auto& measureSums =
      sums.policies[static_cast<std::size_t>(policy)].measures[static_cast<std::size_t>(measure)];
  const double requests = std::max(sums.requests, 1.0);
  Estimate result = makeEstimate(measureSums.doublyRobust / requests - policyEstimate.loggedMean,
                                 conservativeVariance(measureSums) / requests / requests,
                                 policyEstimate.effectiveSampleSize, kNormalQuantile95);
  result.verdict = policyEstimate.doublyRobust().verdict;
  requireSignificance(result);
  return result;
}

Estimate estimateRegret(const DestinationSums& sums, Measure measure, bool isCalibrated) {
  const DestinationSums::MeasureSums& measureSums = sums.measures[static_cast<std::size_t>(measure)];
  const double requests = std::max(sums.requests, 1.0);
  const double sign = measure == Measure::onTime ? 1 : -1;
  const double totalWeight = sums.chosenWeights + sums.notChosenWeights;
  const double effectiveSampleSize =
      sums.squaredWeights > 0 ? totalWeight * totalWeight / sums.squaredWeights : 0;
  Estimate result = makeEstimate(sign * (measureSums.notChosen - measureSums.chosen) / requests,
                                 measureSums.variance / requests / requests, effectiveSampleSize);
  const bool hasTooFew = sums.chosenRequests < kMinEffectiveRequests / 2 ||
                         sums.requests - sums.chosenRequests < kMinEffectiveRequests / 2;
  if (hasTooFew || effectiveSampleSize < kMinEffectiveRequests) result.verdict = Verdict::tooFewRequests;
  if (!isCalibrated) result.verdict = Verdict::miscalibrated;
  return result;
}

}  // namespace paddletrack::counterfactual
