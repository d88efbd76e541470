#include "counterfactual/calibration.hpp"

#include <algorithm>
#include <cmath>

#include "counterfactual/estimate.hpp"

namespace paddletrack::counterfactual {
namespace {

constexpr double kMaxDivertedRatio = 0.01;
constexpr double kMiscalibrationThreshold = 4;  // in standard deviations of the check
// Options whose propensity is outside of this range carry no information for the checks.
constexpr double kMinCheckedProbability = 0.01;
constexpr double kMaxCheckedProbability = 0.99;

struct DeclaredCosts {
  double requests = 0;
  double sum = 0;
};

void addCheck(CalibrationSums& sums, std::size_t checkIndex, double residual, double variance) {
  sums.residualSum[checkIndex] += residual;
  sums.variance[checkIndex] += variance;
}

// The deviation of the declared cost from the mean of its class, relative to the mean: the weight of check 1.
double computeRelativeCost(const DecisionRecord& record, const DeclaredCosts& classCosts) {
  return classCosts.sum > 0
             ? std::clamp(record.declaredCost / (classCosts.sum / classCosts.requests) - 1, -1.0, 3.0)
             : 0;
}

// `lastResiduals` holds, by engine, the residual of the preceding request that could have started there.
void addRecordChecks(Summary& summary, const DecisionRecord& record, double relativeCost,
                     std::map<std::uint32_t, double>& lastResiduals) {
  for (std::size_t optionIndex = 0; optionIndex < record.optionCount; ++optionIndex) {
    const double probability = record.options[optionIndex].startProbability;
    if (probability < kMinCheckedProbability || probability > kMaxCheckedProbability) continue;
    const double residual = (record.chosen == optionIndex ? 1 : 0) - probability;
    const double variance = probability * (1 - probability);
    CalibrationSums& engine = summary.calibration[record.options[optionIndex].engine];
    engine.requests += 1;
    const auto lastResidual = lastResiduals.find(record.options[optionIndex].engine);
    for (CalibrationSums* calibration : {&engine, &summary.pooledCalibration}) {
      addCheck(*calibration, 0, residual, variance);
      addCheck(*calibration, 1, residual * relativeCost, variance * relativeCost * relativeCost);
      if (lastResidual != lastResiduals.end())
        addCheck(*calibration, 2, residual * lastResidual->second,
                 variance * lastResidual->second * lastResidual->second);
    }
    lastResiduals[record.options[optionIndex].engine] = residual;
  }
}

}  // namespace

void addCalibrations(Summary& summary, const std::vector<const DecisionRecord*>& records) {
  std::map<std::size_t, DeclaredCosts> declaredCosts;  // by request class
  for (const DecisionRecord* record : records) {
    declaredCosts[record->requestClass].requests += 1;
    declaredCosts[record->requestClass].sum += record->declaredCost;
  }
  std::map<std::uint32_t, double> lastResiduals;
  for (const DecisionRecord* record : records) {
    summary.pooledCalibration.requests += 1;
    summary.pooledCalibration.divertedRequests += record->wasDiverted ? 1 : 0;
    const double relativeCost = computeRelativeCost(*record, declaredCosts[record->requestClass]);
    addRecordChecks(summary, *record, relativeCost, lastResiduals);
  }
}

bool hasTooManyDiverted(const CalibrationSums& pooledCalibration) {
  return pooledCalibration.divertedRequests > std::max(1.0, kMaxDivertedRatio * pooledCalibration.requests);
}

bool isMiscalibrated(const CalibrationSums& sums) {
  for (std::size_t checkIndex = 0; checkIndex < CalibrationSums::kCheckCount; ++checkIndex)
    if (sums.variance[checkIndex] > 1 && std::abs(sums.residualSum[checkIndex]) >
                                             kMiscalibrationThreshold * std::sqrt(sums.variance[checkIndex]))
      return true;
  return false;
}

}  // namespace paddletrack::counterfactual
