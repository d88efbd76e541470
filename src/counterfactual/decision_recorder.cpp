#include "counterfactual/decision_recorder.hpp"

#include <algorithm>
#include <numeric>

#include "counterfactual/propensity.hpp"

namespace paddletrack::counterfactual {
namespace {

constexpr double kEqualityTolerance = 1e-9;
constexpr double kMaxImportanceWeight = 20;  // importance weights are clipped to this value

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double inFlightPerCore(const Candidate& candidate) {
  return candidate.engine->threadsInFlight / std::max(candidate.engine->effectiveCores, 1e-9);
}

// Returns the indices of the candidates by ascending threads in flight per core. The order of candidates
// breaks ties.
std::vector<std::size_t> orderByInFlight(const std::vector<Candidate>& candidates) {
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    return inFlightPerCore(candidates[a]) < inFlightPerCore(candidates[b]);
  });
  return order;
}

// Returns the index of the candidate with the best score in the zone, or of all candidates if none is in the
// zone.
std::size_t findNearest(const std::vector<Candidate>& candidates, unsigned zone) {
  const std::size_t count = candidates.size();
  std::size_t bestIndex = count;
  for (std::size_t index = 0; index < count; ++index)
    if (candidates[index].engine->endpoint.zone == zone &&
        (bestIndex == count || candidates[index].score < candidates[bestIndex].score))
      bestIndex = index;
  if (bestIndex < count) return bestIndex;
  const auto hasLowerScore = [](const Candidate& a, const Candidate& b) { return a.score < b.score; };
  return static_cast<std::size_t>(std::min_element(candidates.begin(), candidates.end(), hasLowerScore) -
                                  candidates.begin());
}

// Returns, by candidate, the probability that the policy selects it.
std::vector<double> computeSelectionProbabilities(Policy policy, const std::vector<Candidate>& candidates,
                                                  unsigned zone, const std::vector<double>& loggedSelection) {
  std::vector<double> selection(candidates.size());
  const std::size_t count = candidates.size();
  switch (policy) {
    case Policy::leastInFlight:
      selection[orderByInFlight(candidates).front()] = 1;
      break;
    case Policy::twoChoices: {
      const std::vector<std::size_t> order = orderByInFlight(candidates);
      const double pairCount = static_cast<double>(count * (count - 1)) / 2;
      for (std::size_t rank = 0; rank < count; ++rank)
        selection[order[rank]] = count == 1 ? 1 : static_cast<double>(count - 1 - rank) / pairCount;
      break;
    }
    case Policy::nearest:
      selection[findNearest(candidates, zone)] = 1;
      break;
    case Policy::noProbabilisticStart:
      selection = loggedSelection;
  }
  return selection;
}

// Returns the probability that the policy starts the request at the candidate, given that it selects it.
double startProbabilityByPolicy(Policy policy, const Candidate& candidate) {
  if (policy != Policy::noProbabilisticStart) return candidate.startProbability;
  return candidate.startProbability < 1 ? 0 : 1;
}

// `decision` holds the probabilities of the logging policy.
PolicyAction computePolicyAction(Policy policy, const std::vector<Candidate>& candidates, unsigned zone,
                                 const Decision& decision) {
  PolicyAction action;
  action.startProbabilities.assign(candidates.size(), 0);
  const std::vector<double> selection =
      computeSelectionProbabilities(policy, candidates, zone, decision.selectionProbabilities);
  double maxDifference = 0;  // from the logging policy
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const bool isReachable =
        decision.selectionProbabilities[index] >= kMinProbability || policy == Policy::noProbabilisticStart;
    if (selection[index] <= 0 || !isReachable) continue;
    const double startProbability = startProbabilityByPolicy(policy, candidates[index]);
    action.startProbabilities[index] = selection[index] * startProbability;
    action.waitProbability += selection[index] * (1 - startProbability);
    action.asLoggedProbability -= selection[index];
    maxDifference = std::max(maxDifference,
                             std::abs(action.startProbabilities[index] - decision.startProbabilities[index]));
  }
  action.asLoggedProbability = std::max(action.asLoggedProbability, 0.0);
  action.unreachableProbability = action.asLoggedProbability;
  const bool isSameAsLogged =
      action.asLoggedProbability <= kEqualityTolerance && maxDifference <= kEqualityTolerance;
  if (isSameAsLogged) return PolicyAction{std::vector<double>(candidates.size()), 0, 1, 0};
  return action;
}

// Returns the indices of the candidates that a record keeps as options, by descending probability. Candidates
// that are never selected carry no information and are omitted.
std::vector<std::size_t> selectOptions(const std::vector<double>& selectionProbabilities) {
  std::vector<std::size_t> optionIndices(selectionProbabilities.size());
  std::iota(optionIndices.begin(), optionIndices.end(), std::size_t{0});
  const std::size_t optionCount = std::min(optionIndices.size(), kMaxOptions);
  std::partial_sort(optionIndices.begin(), optionIndices.begin() + static_cast<std::ptrdiff_t>(optionCount),
                    optionIndices.end(),
                    [&](auto a, auto b) { return selectionProbabilities[a] > selectionProbabilities[b]; });
  optionIndices.resize(optionCount);
  while (!optionIndices.empty() && selectionProbabilities[optionIndices.back()] <= 0)
    optionIndices.pop_back();
  return optionIndices;
}

// `optionIndices` holds the indices of the candidates that are kept as options.
DecisionRecord::PolicyOutcome makePolicyOutcome(const PolicyAction& action,
                                                const std::vector<std::size_t>& optionIndices) {
  DecisionRecord::PolicyOutcome policyOutcome;
  policyOutcome.waitProbability = static_cast<float>(action.waitProbability);
  double keptProbability = action.waitProbability;
  for (std::size_t index = 0; index < optionIndices.size(); ++index) {
    policyOutcome.startProbabilities[index] =
        static_cast<float>(action.startProbabilities[optionIndices[index]]);
    keptProbability += action.startProbabilities[optionIndices[index]];
  }
  // Actions at engines that are not among the options count as unreachable.
  policyOutcome.asLoggedProbability = static_cast<float>(1 - keptProbability);
  policyOutcome.unreachableProbability = static_cast<float>(
      action.unreachableProbability + std::max(0.0, 1 - keptProbability - action.asLoggedProbability));
  return policyOutcome;
}

}  // namespace

const char* nameOf(Policy policy) {
  static constexpr std::array<const char*, kPolicyCount> kNames{"least in flight", "two choices", "nearest",
                                                                "no chance start"};
  return kNames[static_cast<std::size_t>(policy)];
}

std::size_t selectByPolicy(Policy policy, const std::vector<Candidate>& candidates, unsigned zone,
                           std::size_t loggedIndex, double randomDraw) {
  if (policy == Policy::noProbabilisticStart) return loggedIndex;
  const std::vector<double> selection = computeSelectionProbabilities(policy, candidates, zone, {});
  std::size_t lastReachable = 0;
  for (std::size_t index = 0; index < selection.size(); ++index) {
    if (selection[index] <= 0) continue;
    lastReachable = index;
    if ((randomDraw -= selection[index]) < 0) break;
  }
  return lastReachable;
}

Decision analyzeDecision(const std::vector<Candidate>& candidates, unsigned zone) {
  Decision decision;
  std::vector<double> scores;
  for (const Candidate& candidate : candidates) scores.push_back(candidate.score);
  decision.selectionProbabilities = computePropensities(scores);
  decision.waitProbability = 1;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    decision.startProbabilities.push_back(decision.selectionProbabilities[index] *
                                          candidates[index].startProbability);
    decision.waitProbability -= decision.startProbabilities.back();
  }
  decision.waitProbability = std::max(decision.waitProbability, 0.0);
  for (std::size_t policy = 0; policy < kPolicyCount; ++policy)
    decision.policyActions[policy] =
        computePolicyAction(static_cast<Policy>(policy), candidates, zone, decision);
  return decision;
}

void DecisionRecorder::onDecision(const Request& request, const std::vector<Candidate>& candidates) {
  resolvePendingDecision(kNotStarted);
  if (!request.attempts.empty() || candidates.empty()) return;  // Only the first attempt is recorded.
  const bool hasOpenRecord = openRecords_.count(&request) > 0;
  if (!hasOpenRecord && openRecords_.size() >= options_.maxRecords) {
    ++dropped_;
    return;
  }
  pending_.request = &request;
  pending_.isFirstDecision = !hasOpenRecord;
  pending_.engines.clear();
  pending_.bestIndex = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    pending_.engines.push_back(candidates[index].engine);
    if (candidates[index].randomizedScore < candidates[pending_.bestIndex].randomizedScore)
      pending_.bestIndex = index;
  }
  pending_.decision = analyzeDecision(candidates, deployment_.zone);
  if (!hasOpenRecord) openRecord(request, candidates);
}

void DecisionRecorder::openRecord(const Request& request, const std::vector<Candidate>& candidates) {
  DecisionRecord& record = openRecords_[&request];
  const Decision& decision = pending_.decision;
  record.arrivedAt = request.arrivedAt;
  record.requestClass = static_cast<std::uint8_t>(request.requestClass->index);
  record.declaredCost =
      static_cast<float>(request.declaredCost ? toSeconds(*request.declaredCost) : request.costTokens);
  record.totalStartProbability = static_cast<float>(1 - decision.waitProbability);
  const std::vector<std::size_t> optionIndices = selectOptions(decision.selectionProbabilities);
  record.optionCount = static_cast<std::uint8_t>(optionIndices.size());
  for (std::size_t index = 0; index < optionIndices.size(); ++index) {
    const Candidate& candidate = candidates[optionIndices[index]];
    record.options[index] = {candidate.engine->number,
                             static_cast<std::uint16_t>(candidate.engine->endpoint.zone),
                             static_cast<float>(decision.startProbabilities[optionIndices[index]]),
                             static_cast<float>(candidate.utilization)};
  }
  for (std::size_t policy = 0; policy < kPolicyCount; ++policy)
    record.policies[policy] = makePolicyOutcome(decision.policyActions[policy], optionIndices);
}

void DecisionRecorder::resolvePendingDecision(std::size_t engineIndex) {
  if (!pending_.request) return;
  const Request* request = std::exchange(pending_.request, nullptr);
  const auto found = openRecords_.find(request);
  if (found == openRecords_.end()) return;
  DecisionRecord& record = found->second;
  const Decision& decision = pending_.decision;
  if (engineIndex != kNotStarted && engineIndex != pending_.bestIndex) record.wasDiverted = true;
  const double loggedProbability =
      engineIndex == kNotStarted ? decision.waitProbability : decision.startProbabilities[engineIndex];
  if (pending_.isFirstDecision) {
    record.chosen = engineIndex == kNotStarted ? kWaited : kUnlistedEngine;
    for (std::size_t index = 0; engineIndex != kNotStarted && index < record.optionCount; ++index)
      if (record.options[index].engine == pending_.engines[engineIndex]->number)
        record.chosen = static_cast<std::uint8_t>(index);
  }
  for (std::size_t policy = 0; policy < kPolicyCount; ++policy) {
    DecisionRecord::PolicyOutcome& policyOutcome = record.policies[policy];
    const PolicyAction& action = decision.policyActions[policy];
    const double probabilityRatio =
        (engineIndex == kNotStarted ? action.waitProbability : action.startProbabilities[engineIndex]) /
        std::max(loggedProbability, 1e-12);
    if (!pending_.isFirstDecision)
      policyOutcome.laterWeight = static_cast<float>(std::min(
          kMaxImportanceWeight, policyOutcome.laterWeight * (probabilityRatio + action.asLoggedProbability)));
    else if (record.chosen != kUnlistedEngine)
      policyOutcome.importanceWeight = static_cast<float>(std::min(probabilityRatio, kMaxImportanceWeight));
  }
}

void DecisionRecorder::onAttemptStarted(const Attempt& attempt) {
  if (pending_.request != attempt.request) return;
  const auto found = std::find(pending_.engines.begin(), pending_.engines.end(), attempt.engine);
  if (found == pending_.engines.end()) {  // The engine was not a candidate.
    openRecords_[attempt.request].wasDiverted = true;
    pending_.request = nullptr;
    return;
  }
  resolvePendingDecision(static_cast<std::size_t>(found - pending_.engines.begin()));
}

void DecisionRecorder::onRequestFinished(Duration now, const Request& request, bool succeeded) {
  resolvePendingDecision(kNotStarted);
  const auto found = openRecords_.find(&request);
  if (found == openRecords_.end()) return;
  DecisionRecord& record = found->second;
  const double elapsed = toSeconds(now - request.arrivedAt);
  const double timeLimit = toSeconds(request.deadline - request.arrivedAt);
  record.latency = succeeded ? elapsed : std::max(elapsed, timeLimit);
  const double latencyObjective =
      toSeconds(request.requestClass->latencyObjective) +
      request.requestClass->latencyObjectiveCostFactor * request.costTokens / request.requestClass->threads;
  record.onTime = succeeded && elapsed <= std::min(latencyObjective, timeLimit);
  if (finishedRecords_.size() < options_.maxRecords)
    finishedRecords_.push_back(record);
  else
    finishedRecords_[nextSlot_] = record;
  nextSlot_ = (nextSlot_ + 1) % options_.maxRecords;
  ++finished_;
  openRecords_.erase(found);
}

std::vector<const DecisionRecord*> DecisionRecorder::records(Duration now) const {
  std::vector<const DecisionRecord*> recent;
  const std::size_t oldest = finishedRecords_.size() < options_.maxRecords ? 0 : nextSlot_;
  for (std::size_t index = 0; index < finishedRecords_.size(); ++index) {
    const DecisionRecord& record = finishedRecords_[(oldest + index) % finishedRecords_.size()];
    if (now - record.arrivedAt <= options_.window) recent.push_back(&record);
  }
  std::stable_sort(recent.begin(), recent.end(),
                   [](const auto* a, const auto* b) { return a->arrivedAt < b->arrivedAt; });
  return recent;
}

}  // namespace paddletrack::counterfactual
