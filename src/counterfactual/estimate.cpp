#include "counterfactual/estimate.hpp"

#include <algorithm>
#include <cmath>

namespace paddletrack::counterfactual {
namespace {

constexpr double kNormalQuantile90 = 1.645;     // of a 90 % interval
constexpr double kNormalQuantile95 = 1.96;      // before the better of two is named
constexpr double kMinEffectiveRequests = 30;    // effective, behind an estimate
constexpr double kMinReachableRatio = 0.02;     // of the jobs
constexpr double kMinInformativeRequests = 5;   // unlike the usual, among those that speak of a policy
constexpr double kMaxDivertedRatio = 0.01;      // of the jobs
constexpr double kMiscalibrationThreshold = 4;  // standard deviations in a check
constexpr double kShrinkageRequests = 4;        // jobs that a cell's coarser mean counts for
constexpr double kLoadBinWidth = 0.25;
constexpr std::size_t kLoadBinCount = 8;

double measuredOutcome(const DecisionRecord& record, std::size_t measure) {
  return static_cast<Measure>(measure) == Measure::latency ? record.latency : record.onTime ? 1 : 0;
}

// The direct model: means by class, class x load, class x load x engine, each shrunk to the coarser one.
class OutcomeModel {
 public:
  void addRecord(const DecisionRecord& record) {
    const bool started = record.chosen < record.optionCount;
    const auto addToCell = [&](std::uint64_t key) {
      Cell& cell = cells_[key];
      cell.requests += 1;
      for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
        const double value = measuredOutcome(record, measure);
        cell.sum[measure] += value;
        cell.squareSum[measure] += value * value;
      }
    };
    addToCell(cellKey(record.requestClass, 0, 0));
    if (!started) return addToCell(cellKey(record.requestClass, 1, 0));
    const DecisionRecord::Option& option = record.options[record.chosen];
    addToCell(cellKey(record.requestClass, loadBin(option), 0));
    addToCell(cellKey(record.requestClass, loadBin(option), option.engine + 1ULL));
  }
  double mean(const DecisionRecord& record, const DecisionRecord::Option* option, std::size_t measure) const {
    double value = shrunkMean(cellKey(record.requestClass, 0, 0), measure, 0);
    if (!option) return shrunkMean(cellKey(record.requestClass, 1, 0), measure, value);
    value = shrunkMean(cellKey(record.requestClass, loadBin(*option), 0), measure, value);
    return shrunkMean(cellKey(record.requestClass, loadBin(*option), option->engine + 1ULL), measure, value);
  }
  // Of the mean itself: by how the outcomes of its finest cell scatter.
  double variance(const DecisionRecord& record, const DecisionRecord::Option* option,
                  std::size_t measure) const {
    const std::uint64_t cellId = option
                                     ? cellKey(record.requestClass, loadBin(*option), option->engine + 1ULL)
                                     : cellKey(record.requestClass, 1, 0);
    for (const std::uint64_t value : {cellId, cellKey(record.requestClass, 0, 0)}) {
      const auto cell = cells_.find(value);
      if (cell == cells_.end() || cell->second.requests < 2) continue;
      const double mean = cell->second.sum[measure] / cell->second.requests;
      const double outcomeVariance = cell->second.squareSum[measure] / cell->second.requests - mean * mean;
      return std::max(outcomeVariance, 0.0) / cell->second.requests;
    }
    return 0;
  }
  // Which cell that is: errors in it are errors of all that use it.
  static std::uint64_t cellOf(const DecisionRecord& record, const DecisionRecord::Option* option) {
    return option ? cellKey(record.requestClass, loadBin(*option), option->engine + 1ULL)
                  : cellKey(record.requestClass, 1, 0);
  }

 private:
  struct Cell {
    double requests = 0;
    std::array<double, kMeasureCount> sum{}, squareSum{};
  };
  static std::uint64_t loadBin(const DecisionRecord::Option& option) {
    return 2 + std::min<std::uint64_t>(kLoadBinCount - 1,
                                       static_cast<std::uint64_t>(option.utilization / kLoadBinWidth));
  }
  static std::uint64_t cellKey(std::uint64_t requestClass, std::uint64_t loadLevel, std::uint64_t engine) {
    return (engine << 16) | (requestClass << 8) | loadLevel;
  }
  double shrunkMean(std::uint64_t cellId, std::size_t measure, double coarserMean) const {
    const auto cell = cells_.find(cellId);
    if (cell == cells_.end()) return coarserMean;
    const double shrinkage = coarserMean > 0 ? kShrinkageRequests : 0;
    return (cell->second.sum[measure] + shrinkage * coarserMean) / (cell->second.requests + shrinkage);
  }
  std::map<std::uint64_t, Cell> cells_;
};

// What is known of one job under one policy.
struct RequestTerm {
  double reachable = 0;  // the part of its wishes that differs and is within reach
  double weight = 0;
  double designVariance = 0;    // a variance by design, to be times error^2
  double expectedVariance = 0;  // what that is expected to be, over all that the job could have done
};
RequestTerm computeTerm(const DecisionRecord& record, const DecisionRecord::PolicyOutcome& policyOutcome) {
  RequestTerm term;
  term.reachable = 1 - policyOutcome.asLoggedProbability;
  if (term.reachable < 1e-6) term.reachable = 0;
  term.weight = term.reachable > 0 ? policyOutcome.importanceWeight * policyOutcome.laterWeight : 0;
  // Where it did what the policy wants with chance q, w (w - q): Horvitz and Thompson's for q = 1. Jobs that
  // waited have further draws behind them: all that they come to is by chance.
  if (record.chosen == kWaited) {
    const double totalWeight = term.weight + policyOutcome.asLoggedProbability * policyOutcome.laterWeight;
    term.designVariance =
        term.reachable > 0 ? totalWeight * std::max(totalWeight - policyOutcome.waitProbability, 0.0) : 0;
  } else if (record.chosen < record.optionCount) {
    term.designVariance =
        term.weight * std::max(term.weight - policyOutcome.startProbabilities[record.chosen], 0.0);
  }
  const auto addExpectedVariance = [&](double wantedProbability, double probability) {
    if (term.reachable > 0 && wantedProbability > 0)
      term.expectedVariance +=
          wantedProbability * wantedProbability * std::max(1 / std::max(probability, 1e-3) - 1, 0.0);
  };
  for (std::size_t index = 0; index < record.optionCount; ++index)
    addExpectedVariance(policyOutcome.startProbabilities[index], record.options[index].startProbability);
  addExpectedVariance(policyOutcome.waitProbability, 1 - record.totalStartProbability);
  return term;
}

void addPolicies(ClassSums& sums, const DecisionRecord& record, const OutcomeModel& crossFitModel,
                 const OutcomeModel& fullModel,
                 std::array<std::map<std::uint64_t, double>, kPolicyCount>& cellUses) {
  const DecisionRecord::Option* chosen =
      record.chosen < record.optionCount ? &record.options[record.chosen] : nullptr;
  sums.requests += 1;
  std::array<RequestTerm, kPolicyCount> terms;
  std::array<double, kMeasureCount> errors{};
  for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
    sums.logged[measure] += measuredOutcome(record, measure);
    errors[measure] = measuredOutcome(record, measure) - crossFitModel.mean(record, chosen, measure);
  }
  for (std::size_t policy = 0; policy < kPolicyCount; ++policy) {
    const DecisionRecord::PolicyOutcome& policyOutcome = record.policies[policy];
    PolicySums& policySums = sums.policies[policy];
    const RequestTerm term = terms[policy] = computeTerm(record, policyOutcome);
    const double asLoggedShare = 1 - term.reachable,
                 laterWeight = record.chosen == kWaited ? policyOutcome.laterWeight : 1;
    policySums.reachable += term.reachable;
    policySums.unreachable += policyOutcome.unreachableProbability;
    policySums.weights += term.weight;
    policySums.squaredWeights += term.weight * term.weight;
    policySums.weightVariance += (term.weight - term.reachable) * (term.weight - term.reachable);
    if (term.reachable > 0) {
      for (std::size_t index = 0; index < record.optionCount; ++index)
        if (policyOutcome.startProbabilities[index] > 0)
          cellUses[policy][OutcomeModel::cellOf(record, &record.options[index])] +=
              policyOutcome.startProbabilities[index];
      if (policyOutcome.waitProbability > 0)
        cellUses[policy][OutcomeModel::cellOf(record, nullptr)] += policyOutcome.waitProbability;
    }
    for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
      PolicySums::MeasureSums& measureSums = policySums.measures[measure];
      const double value = measuredOutcome(record, measure), error = errors[measure];
      const double modelMean = crossFitModel.mean(record, chosen, measure);
      const auto expectedOutcome = [&](const OutcomeModel& outcomeModel) {
        double sum = policyOutcome.waitProbability > 0
                         ? policyOutcome.waitProbability * outcomeModel.mean(record, nullptr, measure)
                         : 0;
        for (std::size_t index = 0; index < record.optionCount; ++index)
          if (policyOutcome.startProbabilities[index] > 0)
            sum += policyOutcome.startProbabilities[index] *
                   outcomeModel.mean(record, &record.options[index], measure);
        return term.reachable > 0 ? sum : 0;
      };
      measureSums.asLogged += asLoggedShare * laterWeight * value;
      measureSums.weighted += term.weight * value;
      measureSums.designVariance += term.designVariance;
      measureSums.designVarianceOutcome += term.designVariance * value;
      measureSums.designVarianceOutcomeSquared += term.designVariance * value * value;
      measureSums.direct += asLoggedShare * value + expectedOutcome(fullModel);
      measureSums.doublyRobust += asLoggedShare * (modelMean + laterWeight * error) +
                                  expectedOutcome(crossFitModel) + term.weight * error;
      measureSums.doublyRobustVariance += term.designVariance * error * error;
      measureSums.pooledVariance += term.expectedVariance * error * error;
      measureSums.doublyRobustVarianceSquares += std::pow(term.designVariance * error * error, 2);
      if (term.weight > 0 && (static_cast<Measure>(measure) == Measure::latency || value < 0.5))
        measureSums.informativeRequests += 1;
    }
  }
  for (std::size_t first = 0; first < kPolicyCount; ++first)
    for (std::size_t second = first + 1; second < kPolicyCount; ++second) {
      PairSums& pairSums = sums.pairs[pairIndex(static_cast<Policy>(first), static_cast<Policy>(second))];
      const double weightDifference = terms[first].weight - terms[second].weight;
      if (std::abs(weightDifference) < 1e-9) continue;
      for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
        pairSums.measures[measure].variance +=
            weightDifference * weightDifference * errors[measure] * errors[measure];
        pairSums.measures[measure].differingRequests += 1;
      }
    }
}

void addDestination(DestinationSums& sums, double probability, bool isChosen,
                    const std::array<double, kMeasureCount>& errors) {
  if (probability < kMinProbability || probability > 1 - kMinProbability) return;
  const double chosenWeight = isChosen ? 1 / probability : 0,
               notChosenWeight = isChosen ? 0 : 1 / (1 - probability);
  sums.requests += 1;
  sums.chosenRequests += isChosen ? 1 : 0;
  sums.chosenWeights += chosenWeight;
  sums.notChosenWeights += notChosenWeight;
  sums.squaredWeights += (chosenWeight + notChosenWeight) * (chosenWeight + notChosenWeight);
  for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
    DestinationSums::MeasureSums& measureSums = sums.measures[measure];
    measureSums.chosen += chosenWeight * errors[measure];
    measureSums.notChosen += notChosenWeight * errors[measure];
    measureSums.variance += (chosenWeight + notChosenWeight) * (chosenWeight + notChosenWeight) *
                            errors[measure] * errors[measure];
  }
}

void addCalibration(CalibrationSums& sums, std::size_t checkIndex, double residual, double variance) {
  sums.residualSum[checkIndex] += residual;
  sums.variance[checkIndex] += variance;
}

void addCalibrations(Summary& summary, const std::vector<const DecisionRecord*>& records) {
  std::map<std::uint32_t, double>
      lastResiduals;  // by engine: what the last job that could have gone there did
  std::map<std::size_t, std::pair<double, double>> declaredCosts;  // by class: jobs, sum of work told
  for (const DecisionRecord* record : records) {
    declaredCosts[record->requestClass].first += 1;
    declaredCosts[record->requestClass].second += record->declaredCost;
  }
  for (const DecisionRecord* record : records) {
    summary.pooledCalibration.requests += 1;
    summary.pooledCalibration.divertedRequests += record->wasDiverted ? 1 : 0;
    const auto& [requests, costSum] = declaredCosts[record->requestClass];
    const double relativeCost =
        costSum > 0 ? std::clamp(record->declaredCost / (costSum / requests) - 1, -1.0, 3.0) : 0;
    for (std::size_t optionIndex = 0; optionIndex < record->optionCount; ++optionIndex) {
      const double probability = record->options[optionIndex].startProbability;
      if (probability < 0.01 || probability > 0.99) continue;
      const double residual = (record->chosen == optionIndex ? 1 : 0) - probability,
                   variance = probability * (1 - probability);
      CalibrationSums& engine = summary.calibration[record->options[optionIndex].engine];
      engine.requests += 1;
      const auto lastResidual = lastResiduals.find(record->options[optionIndex].engine);
      for (CalibrationSums* calibration : {&engine, &summary.pooledCalibration}) {
        addCalibration(*calibration, 0, residual, variance);
        addCalibration(*calibration, 1, residual * relativeCost, variance * relativeCost * relativeCost);
        if (lastResidual != lastResiduals.end())
          addCalibration(*calibration, 2, residual * lastResidual->second,
                         variance * lastResidual->second * lastResidual->second);
      }
      lastResiduals[record->options[optionIndex].engine] = residual;
    }
  }
}

// Student's quantile from the normal one (Cornish and Fisher's expansion; within 2 % from 3 degrees on).
double studentQuantile(double normalQuantile, double degreesOfFreedom) {
  const double boundedDegrees = std::max(degreesOfFreedom, 3.0),
               cube = normalQuantile * normalQuantile * normalQuantile;
  return normalQuantile + (cube + normalQuantile) / (4 * boundedDegrees) +
         (5 * cube * normalQuantile * normalQuantile + 16 * cube + 3 * normalQuantile) /
             (96 * boundedDegrees * boundedDegrees);
}

// A variance that few jobs make up is itself badly known: so many degrees of freedom (Satterthwaite).
double robustDegreesOfFreedom(const PolicySums::MeasureSums& measureSums) {
  return measureSums.doublyRobustVarianceSquares > 0
             ? 2 * measureSums.doublyRobustVariance * measureSums.doublyRobustVariance /
                   measureSums.doublyRobustVarianceSquares
             : 3;
}

// By the jobs that did as the policy wants, or by all as if their errors were alike: few large errors are in
// the one and not in the other by chance, so the larger counts.
double conservativeVariance(const PolicySums::MeasureSums& measureSums) {
  return std::max(measureSums.doublyRobustVariance, measureSums.pooledVariance);
}

Estimate makeEstimate(double value, double variance, double degreesOfFreedom,
                      double quantile = kNormalQuantile90) {
  const double halfWidth = studentQuantile(quantile, degreesOfFreedom) * std::sqrt(std::max(variance, 0.0));
  return {Verdict::conclusive, value, value - halfWidth, value + halfWidth};
}

}  // namespace

std::size_t pairIndex(Policy first, Policy second) {
  const auto firstIndex = static_cast<std::size_t>(first), secondIndex = static_cast<std::size_t>(second);
  return firstIndex * (2 * kPolicyCount - firstIndex - 1) / 2 + (secondIndex - firstIndex - 1);
}

const char* describeVerdict(Verdict verdict) {
  static constexpr std::array<const char*, 5> kDescriptions{
      "told", "same", "cannot tell: out of reach", "cannot tell: too few jobs", "cannot tell: unexplained"};
  return kDescriptions[static_cast<std::size_t>(verdict)];
}

Summary summarize(const std::vector<const DecisionRecord*>& records) {
  Summary summary;
  // Two folds: the model that a job is held against has not seen it (Chernozhukov et al., 2018).
  std::array<OutcomeModel, 2> folds;
  OutcomeModel fullModel;
  for (std::size_t index = 0; index < records.size(); ++index) {
    folds[index / 8 % 2].addRecord(*records[index]);
    fullModel.addRecord(*records[index]);
  }
  std::map<std::size_t, std::array<std::map<std::uint64_t, double>, kPolicyCount>> cellUses;
  for (std::size_t item = 0; item < records.size(); ++item) {
    const DecisionRecord& record = *records[item];
    const OutcomeModel& crossFitModel = folds[1 - item / 8 % 2];
    addPolicies(summary.classes[record.requestClass], record, crossFitModel, fullModel,
                cellUses[record.requestClass]);
    if (record.chosen == kWaited || record.totalStartProbability <= 0) continue;
    const DecisionRecord::Option* chosen =
        record.chosen < record.optionCount ? &record.options[record.chosen] : nullptr;
    std::array<double, kMeasureCount> errors{};
    for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
      double expectedOutcome = 0, probabilitySum = 0;  // of all that it could have been, whichever was taken
      for (std::size_t optionIndex = 0; optionIndex < record.optionCount; ++optionIndex) {
        expectedOutcome += record.options[optionIndex].startProbability *
                           crossFitModel.mean(record, &record.options[optionIndex], measure);
        probabilitySum += record.options[optionIndex].startProbability;
      }
      errors[measure] =
          measuredOutcome(record, measure) - (probabilitySum > 0 ? expectedOutcome / probabilitySum : 0);
    }
    std::map<unsigned, double> probabilityByZone;
    for (std::size_t optionIndex = 0; optionIndex < record.optionCount; ++optionIndex) {
      const DecisionRecord::Option& option = record.options[optionIndex];
      const double probability = option.startProbability / record.totalStartProbability;
      addDestination(summary.engines[option.engine], probability, chosen == &option, errors);
      probabilityByZone[option.zone] += probability;
    }
    for (const auto& [zone, probability] : probabilityByZone)
      addDestination(summary.zones[zone], probability, chosen && chosen->zone == zone, errors);
  }
  // A cell's error is the same for all that use it: variances of its mean add up with the square of its use.
  for (std::size_t element = 0; element < records.size(); ++element) {
    const DecisionRecord& record = *records[element];
    auto& classCellUses = cellUses[record.requestClass];
    const auto addDirectVariance = [&](const DecisionRecord::Option* option) {
      const std::uint64_t cellId = OutcomeModel::cellOf(record, option);
      for (std::size_t policy = 0; policy < kPolicyCount; ++policy) {
        const auto cellUse = classCellUses[policy].find(cellId);
        if (cellUse == classCellUses[policy].end()) continue;
        for (std::size_t measure = 0; measure < kMeasureCount; ++measure)
          summary.classes[record.requestClass].policies[policy].measures[measure].directVariance +=
              cellUse->second * cellUse->second * fullModel.variance(record, option, measure);
        classCellUses[policy].erase(cellUse);
      }
    };
    for (std::size_t optionIndex = 0; optionIndex < record.optionCount; ++optionIndex)
      addDirectVariance(&record.options[optionIndex]);
    addDirectVariance(nullptr);
  }
  addCalibrations(summary, records);
  return summary;
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

PolicyEstimate estimatePolicy(const ClassSums& sums, Policy policy, Measure measure, bool isCalibrated) {
  const PolicySums& policySums = sums.policies[static_cast<std::size_t>(policy)];
  const PolicySums::MeasureSums& measureSums = policySums.measures[static_cast<std::size_t>(measure)];
  PolicyEstimate result;
  const double requests = std::max(sums.requests, 1.0), requestsSquared = requests * requests;
  result.loggedMean = sums.logged[static_cast<std::size_t>(measure)] / requests;
  result.reachableRatio = policySums.reachable / requests;
  result.unreachableRatio = policySums.unreachable / requests;
  result.effectiveSampleSize =
      policySums.squaredWeights > 0 ? policySums.weights * policySums.weights / policySums.squaredWeights : 0;
  Verdict verdict = Verdict::conclusive;
  if (result.effectiveSampleSize < kMinEffectiveRequests ||
      measureSums.informativeRequests < kMinInformativeRequests)
    verdict = Verdict::tooFewRequests;
  if (result.reachableRatio < kMinReachableRatio && requests >= kMinEffectiveRequests)
    verdict = result.unreachableRatio > kMinReachableRatio ? Verdict::unreachable
              : policySums.reachable > 0                   ? Verdict::tooFewRequests
                                                           : Verdict::sameAsLogged;
  // The weights' mean is known: where it is off by more than chance, they are not what they are taken for.
  if (policySums.weightVariance > 0 && std::abs(policySums.weights - policySums.reachable) >
                                           kMiscalibrationThreshold * std::sqrt(policySums.weightVariance))
    isCalibrated = false;
  if (!isCalibrated) verdict = Verdict::miscalibrated;
  const auto setEstimate = [&](Method method, double value, double variance) {
    Estimate estimate = makeEstimate(value, variance, robustDegreesOfFreedom(measureSums));
    estimate.verdict = verdict;
    result.byMethod[static_cast<std::size_t>(method)] = estimate;
  };
  setEstimate(Method::weighted, (measureSums.asLogged + measureSums.weighted) / requests,
              measureSums.designVarianceOutcomeSquared / requestsSquared);
  const double weightedMean = policySums.weights > 0 ? measureSums.weighted / policySums.weights : 0;
  const double scale = policySums.weights > 0 ? policySums.reachable / policySums.weights : 0;
  setEstimate(
      Method::selfNormalized, (measureSums.asLogged + weightedMean * policySums.reachable) / requests,
      (measureSums.designVarianceOutcomeSquared - 2 * weightedMean * measureSums.designVarianceOutcome +
       weightedMean * weightedMean * measureSums.designVariance) *
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
  const PolicyEstimate firstEstimate = estimatePolicy(sums, first, measure, isCalibrated),
                       secondEstimate = estimatePolicy(sums, second, measure, isCalibrated);
  Estimate result = makeEstimate(
      doublyRobustMean(first) - doublyRobustMean(second), pairSums.variance / requests / requests,
      std::min(degreesOfFreedom(first), degreesOfFreedom(second)), kNormalQuantile95);
  result.verdict = !firstEstimate.doublyRobust().isConclusive() ? firstEstimate.doublyRobust().verdict
                                                                : secondEstimate.doublyRobust().verdict;
  if (result.isConclusive() && result.low <= 0 && result.high >= 0) result.verdict = Verdict::tooFewRequests;
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
  if (result.isConclusive() && result.low <= 0 && result.high >= 0) result.verdict = Verdict::tooFewRequests;
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

ClassSums sumClasses(const Summary& summary) {
  ClassSums sums;
  for (const auto& [type, item] : summary.classes) addSums(sums, item);
  return sums;
}

}  // namespace paddletrack::counterfactual
