#include "counterfactual/policy_sums.hpp"

#include <algorithm>
#include <cmath>

namespace paddletrack::counterfactual {
namespace {

constexpr double kMinReachable = 1e-6;          // smaller probabilities are rounding errors
constexpr double kMinWeightDifference = 1e-9;   // smaller differences are rounding errors
constexpr double kMinLoggedProbability = 1e-3;  // bounds the expected variance of one action

// What one request contributes to the estimates of one policy.
struct RequestTerm {
  double reachable = 0;  // probability of reachable actions that differ from the logged policy
  double weight = 0;
  double designVariance = 0;    // design variance, to be multiplied by the squared error
  double expectedVariance = 0;  // its expectation over all actions that the logged policy could have taken
};

// With probability q of the policy's action that was taken, the design variance is w (w - q): that of Horvitz
// and Thompson for q = 1. Requests that waited have further decisions behind them, all of which are random.
double computeDesignVariance(const DecisionRecord& record, const DecisionRecord::PolicyOutcome& policyOutcome,
                             const RequestTerm& term) {
  if (record.chosen == kWaited) {
    const double totalWeight = term.weight + policyOutcome.asLoggedProbability * policyOutcome.laterWeight;
    return term.reachable > 0 ? totalWeight * std::max(totalWeight - policyOutcome.waitProbability, 0.0) : 0;
  }
  if (record.chosen < record.optionCount)
    return term.weight * std::max(term.weight - policyOutcome.startProbabilities[record.chosen], 0.0);
  return 0;
}

RequestTerm computeTerm(const DecisionRecord& record, const DecisionRecord::PolicyOutcome& policyOutcome) {
  RequestTerm term;
  term.reachable = 1 - policyOutcome.asLoggedProbability;
  if (term.reachable < kMinReachable) term.reachable = 0;
  term.weight = term.reachable > 0 ? policyOutcome.importanceWeight * policyOutcome.laterWeight : 0;
  term.designVariance = computeDesignVariance(record, policyOutcome, term);
  const auto addExpectedVariance = [&](double policyProbability, double loggedProbability) {
    if (term.reachable > 0 && policyProbability > 0)
      term.expectedVariance += policyProbability * policyProbability *
                               std::max(1 / std::max(loggedProbability, kMinLoggedProbability) - 1, 0.0);
  };
  for (std::size_t index = 0; index < record.optionCount; ++index)
    addExpectedVariance(policyOutcome.startProbabilities[index], record.options[index].startProbability);
  addExpectedVariance(policyOutcome.waitProbability, 1 - record.totalStartProbability);
  return term;
}

// Adds one record to the sums of one policy.
class PolicyAccumulator {
 public:
  PolicyAccumulator(const DecisionRecord& record, std::size_t policy, const OutcomeModels& models)
      : record_(record),
        policyOutcome_(record.policies[policy]),
        models_(models),
        term_(computeTerm(record, policyOutcome_)) {}

  const RequestTerm& term() const { return term_; }

  void addWeights(PolicySums& sums) const {
    sums.reachable += term_.reachable;
    sums.unreachable += policyOutcome_.unreachableProbability;
    sums.weights += term_.weight;
    sums.squaredWeights += term_.weight * term_.weight;
    sums.weightVariance += (term_.weight - term_.reachable) * (term_.weight - term_.reachable);
  }

  void addCellUses(std::map<std::uint64_t, double>& cellUses) const {
    const bool isReachable = term_.reachable > 0;
    if (!isReachable) return;
    for (std::size_t index = 0; index < record_.optionCount; ++index)
      if (policyOutcome_.startProbabilities[index] > 0)
        cellUses[OutcomeModel::cellOf(record_, &record_.options[index])] +=
            policyOutcome_.startProbabilities[index];
    if (policyOutcome_.waitProbability > 0)
      cellUses[OutcomeModel::cellOf(record_, nullptr)] += policyOutcome_.waitProbability;
  }

  // `error`: the outcome minus its mean in the cross-fit model.
  void addMeasure(PolicySums::MeasureSums& sums, std::size_t measure, double error) const {
    const double value = measuredOutcome(record_, measure);
    const double modelMean = models_.crossFitModel.mean(record_, chosenOption(record_), measure);
    const double asLoggedShare = 1 - term_.reachable;
    const double laterWeight = record_.chosen == kWaited ? policyOutcome_.laterWeight : 1;
    sums.asLogged += asLoggedShare * laterWeight * value;
    sums.weighted += term_.weight * value;
    sums.designVariance += term_.designVariance;
    sums.designVarianceOutcome += term_.designVariance * value;
    sums.designVarianceOutcomeSquared += term_.designVariance * value * value;
    sums.direct += asLoggedShare * value + expectedOutcome(models_.fullModel, measure);
    sums.doublyRobust += asLoggedShare * (modelMean + laterWeight * error) +
                         expectedOutcome(models_.crossFitModel, measure) + term_.weight * error;
    sums.doublyRobustVariance += term_.designVariance * error * error;
    sums.pooledVariance += term_.expectedVariance * error * error;
    sums.doublyRobustVarianceSquares += std::pow(term_.designVariance * error * error, 2);
    const bool isUnusual = static_cast<Measure>(measure) == Measure::latency || value < 0.5;
    if (term_.weight > 0 && isUnusual) sums.informativeRequests += 1;
  }

 private:
  // The model's expectation over the policy's reachable actions.
  double expectedOutcome(const OutcomeModel& outcomeModel, std::size_t measure) const {
    const bool isReachable = term_.reachable > 0;
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
  const RequestTerm term_;
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
    weights[policy] = accumulator.term().weight;
    accumulator.addWeights(policySums);
    accumulator.addCellUses(cellUses[policy]);
    for (std::size_t measure = 0; measure < kMeasureCount; ++measure)
      accumulator.addMeasure(policySums.measures[measure], measure, errors[measure]);
  }
  addPairs(sums, weights, errors);
}

}  // namespace paddletrack::counterfactual
