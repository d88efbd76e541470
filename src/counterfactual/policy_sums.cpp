#include "counterfactual/policy_sums.hpp"

#include <algorithm>
#include <cmath>

namespace paddletrack::counterfactual {
namespace {

constexpr double kMinReachable = 1e-6;          // smaller probabilities are rounding errors
constexpr double kMinWeightDifference = 1e-9;   // smaller differences are rounding errors
constexpr double kMinLoggedProbability = 1e-3;  // bounds the expected variance of one action

// The contribution of one request to the estimates of one policy.
struct RequestContribution {
  double reachable = 0;       // probability of reachable actions that differ from those of the logging policy
  double weight = 0;          // importance weight
  double designVariance = 0;  // design variance per unit of squared error
  double expectedVariance =
      0;  // expectation of designVariance over all actions that the logging policy could have taken
};

// If the policy takes the logged action with probability q, the design variance is w (w - q) with the
// importance weight w. For q = 1 that is the variance of the Horvitz-Thompson estimator. Requests that waited
// were subject to further decisions, all of which are random.
double computeDesignVariance(const DecisionRecord& record, const DecisionRecord::PolicyOutcome& policyOutcome,
                             const RequestContribution& contribution) {
  if (record.chosen == kWaited) {
    const double totalWeight =
        contribution.weight + policyOutcome.asLoggedProbability * policyOutcome.laterWeight;
    return contribution.reachable > 0
               ? totalWeight * std::max(totalWeight - policyOutcome.waitProbability, 0.0)
               : 0;
  }
  if (record.chosen < record.optionCount)
    return contribution.weight *
           std::max(contribution.weight - policyOutcome.startProbabilities[record.chosen], 0.0);
  return 0;
}

RequestContribution computeContribution(const DecisionRecord& record,
                                        const DecisionRecord::PolicyOutcome& policyOutcome) {
  RequestContribution contribution;
  contribution.reachable = 1 - policyOutcome.asLoggedProbability;
  if (contribution.reachable < kMinReachable) contribution.reachable = 0;
  contribution.weight =
      contribution.reachable > 0 ? policyOutcome.importanceWeight * policyOutcome.laterWeight : 0;
  contribution.designVariance = computeDesignVariance(record, policyOutcome, contribution);
  const auto addExpectedVariance = [&](double policyProbability, double loggedProbability) {
    if (contribution.reachable > 0 && policyProbability > 0)
      contribution.expectedVariance +=
          policyProbability * policyProbability *
          std::max(1 / std::max(loggedProbability, kMinLoggedProbability) - 1, 0.0);
  };
  for (std::size_t index = 0; index < record.optionCount; ++index)
    addExpectedVariance(policyOutcome.startProbabilities[index], record.options[index].startProbability);
  addExpectedVariance(policyOutcome.waitProbability, 1 - record.totalStartProbability);
  return contribution;
}

// Adds one record to the sums of one policy.
class PolicyAccumulator {
 public:
  PolicyAccumulator(const DecisionRecord& record, std::size_t policy, const OutcomeModels& models)
      : record_(record),
        policyOutcome_(record.policies[policy]),
        models_(models),
        contribution_(computeContribution(record, policyOutcome_)) {}

  const RequestContribution& contribution() const { return contribution_; }

  void addWeights(PolicySums& sums) const {
    sums.reachable += contribution_.reachable;
    sums.unreachable += policyOutcome_.unreachableProbability;
    sums.weights += contribution_.weight;
    sums.squaredWeights += contribution_.weight * contribution_.weight;
    sums.weightVariance +=
        (contribution_.weight - contribution_.reachable) * (contribution_.weight - contribution_.reachable);
  }

  void addCellUses(std::map<std::uint64_t, double>& cellUses) const {
    const bool isReachable = contribution_.reachable > 0;
    if (!isReachable) return;
    for (std::size_t index = 0; index < record_.optionCount; ++index)
      if (policyOutcome_.startProbabilities[index] > 0)
        cellUses[OutcomeModel::cellOf(record_, &record_.options[index])] +=
            policyOutcome_.startProbabilities[index];
    if (policyOutcome_.waitProbability > 0)
      cellUses[OutcomeModel::cellOf(record_, nullptr)] += policyOutcome_.waitProbability;
  }

  // `error` is the residual of the cross-fit model: the outcome minus its expectation.
  void addMeasure(PolicySums::MeasureSums& sums, std::size_t measure, double error) const {
    const double value = measuredOutcome(record_, measure);
    const double modelMean = models_.crossFitModel.mean(record_, chosenOption(record_), measure);
    const double asLoggedShare = 1 - contribution_.reachable;
    const double laterWeight = record_.chosen == kWaited ? policyOutcome_.laterWeight : 1;
    sums.asLogged += asLoggedShare * laterWeight * value;
    sums.importanceWeighted += contribution_.weight * value;
    sums.designVariance += contribution_.designVariance;
    sums.designVarianceOutcome += contribution_.designVariance * value;
    sums.designVarianceOutcomeSquared += contribution_.designVariance * value * value;
    sums.direct += asLoggedShare * value + expectedOutcome(models_.fullModel, measure);
    sums.doublyRobust += asLoggedShare * (modelMean + laterWeight * error) +
                         expectedOutcome(models_.crossFitModel, measure) + contribution_.weight * error;
    sums.doublyRobustVariance += contribution_.designVariance * error * error;
    sums.pooledVariance += contribution_.expectedVariance * error * error;
    sums.doublyRobustVarianceSquares += std::pow(contribution_.designVariance * error * error, 2);
    const bool isUnusual = static_cast<Measure>(measure) == Measure::latency || value < 0.5;
    if (contribution_.weight > 0 && isUnusual) sums.informativeRequests += 1;
  }

 private:
  // The expected outcome in the model, summed over the policy's reachable actions by their probabilities.
  double expectedOutcome(const OutcomeModel& outcomeModel, std::size_t measure) const {
    const bool isReachable = contribution_.reachable > 0;
    if (!isReachable) return 0;
    double sum = policyOutcome_.waitProbability > 0
                     ? policyOutcome_.waitProbability * outcomeModel.mean(record_, nullptr, measure)
                     : 0;
    for (std::size_t index = 0; index < record_.optionCount; ++index)
      if (policyOutcome_.startProbabilities[index] > 0)
        sum += policyOutcome_.startProbabilities[index] *
               outcomeModel.mean(record_, &record_.options[index], measure);
    return sum;
  }

  const DecisionRecord& record_;
  const DecisionRecord::PolicyOutcome& policyOutcome_;
  const OutcomeModels& models_;
  const RequestContribution contribution_;
};

void addPairs(ClassSums& sums, const std::array<double, kPolicyCount>& weights,
              const std::array<double, kMeasureCount>& errors) {
  for (std::size_t first = 0; first < kPolicyCount; ++first) {
    for (std::size_t second = first + 1; second < kPolicyCount; ++second) {
      PairSums& pairSums = sums.pairs[pairIndex(static_cast<Policy>(first), static_cast<Policy>(second))];
      const double weightDifference = weights[first] - weights[second];
      if (std::abs(weightDifference) < kMinWeightDifference) continue;
      for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
        pairSums.measures[measure].variance +=
            weightDifference * weightDifference * errors[measure] * errors[measure];
        pairSums.measures[measure].differingRequests += 1;
      }
    }
  }
}

}  // namespace

const DecisionRecord::Option* chosenOption(const DecisionRecord& record) {
  return record.chosen < record.optionCount ? &record.options[record.chosen] : nullptr;
}

void addPolicies(ClassSums& sums, const DecisionRecord& record, const OutcomeModels& models,
                 CellUses& cellUses) {
  sums.requests += 1;
  std::array<double, kMeasureCount> errors{};
  for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
    sums.logged[measure] += measuredOutcome(record, measure);
    errors[measure] =
        measuredOutcome(record, measure) - models.crossFitModel.mean(record, chosenOption(record), measure);
  }
  std::array<double, kPolicyCount> weights{};
  for (std::size_t policy = 0; policy < kPolicyCount; ++policy) {
    const PolicyAccumulator accumulator(record, policy, models);
    PolicySums& policySums = sums.policies[policy];
    weights[policy] = accumulator.contribution().weight;
    accumulator.addWeights(policySums);
    accumulator.addCellUses(cellUses[policy]);
    for (std::size_t measure = 0; measure < kMeasureCount; ++measure)
      accumulator.addMeasure(policySums.measures[measure], measure, errors[measure]);
  }
  addPairs(sums, weights, errors);
}

}  // namespace paddletrack::counterfactual
