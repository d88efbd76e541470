#include "counterfactual/summary.hpp"

#include "counterfactual/calibration.hpp"
#include "counterfactual/outcome_model.hpp"
#include "counterfactual/policy_sums.hpp"

namespace paddletrack::counterfactual {
namespace {

// Number of consecutive records that belong to the same fold of the cross-fit.
constexpr std::size_t kFoldBlockSize = 8;
constexpr std::size_t kFoldCount = 2;

std::size_t foldOf(std::size_t recordIndex) { return recordIndex / kFoldBlockSize % kFoldCount; }

void addDestination(DestinationSums& sums, double probability, bool isChosen,
                    const std::array<double, kMeasureCount>& errors) {
  if (probability < kMinProbability || probability > 1 - kMinProbability) return;
  const double chosenWeight = isChosen ? 1 / probability : 0;
  const double notChosenWeight = isChosen ? 0 : 1 / (1 - probability);
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

// Returns the outcome minus its expectation over all options of the request, independent of the chosen one.
std::array<double, kMeasureCount> computeDestinationErrors(const DecisionRecord& record,
                                                           const OutcomeModel& crossFitModel) {
  std::array<double, kMeasureCount> errors{};
  for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
    double expectedOutcome = 0;
    double probabilitySum = 0;
    for (std::size_t optionIndex = 0; optionIndex < record.optionCount; ++optionIndex) {
      expectedOutcome += record.options[optionIndex].startProbability *
                         crossFitModel.mean(record, &record.options[optionIndex], measure);
      probabilitySum += record.options[optionIndex].startProbability;
    }
    errors[measure] =
        measuredOutcome(record, measure) - (probabilitySum > 0 ? expectedOutcome / probabilitySum : 0);
  }
  return errors;
}

void addDestinations(Summary& summary, const DecisionRecord& record, const OutcomeModel& crossFitModel) {
  if (record.chosen == kWaited || record.totalStartProbability <= 0) return;
  const DecisionRecord::Option* chosen = chosenOption(record);
  const std::array<double, kMeasureCount> errors = computeDestinationErrors(record, crossFitModel);
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

// Adds the variance of the mean of the cell that `option` uses. All requests of a cell share the error of its
// mean, so the variance is multiplied by the square of the cell's total use. Cells that were added are
// removed from `cellUses`.
void addDirectVariance(ClassSums& sums, const DecisionRecord& record, const DecisionRecord::Option* option,
                       const OutcomeModel& fullModel, CellUses& cellUses) {
  const std::uint64_t cellId = OutcomeModel::cellOf(record, option);
  for (std::size_t policy = 0; policy < kPolicyCount; ++policy) {
    const auto cellUse = cellUses[policy].find(cellId);
    if (cellUse == cellUses[policy].end()) continue;
    for (std::size_t measure = 0; measure < kMeasureCount; ++measure)
      sums.policies[policy].measures[measure].directVariance +=
          cellUse->second * cellUse->second * fullModel.variance(record, option, measure);
    cellUses[policy].erase(cellUse);
  }
}

}  // namespace

std::size_t pairIndex(Policy first, Policy second) {
  const auto firstIndex = static_cast<std::size_t>(first);
  const auto secondIndex = static_cast<std::size_t>(second);
  return firstIndex * (2 * kPolicyCount - firstIndex - 1) / 2 + (secondIndex - firstIndex - 1);
}

Summary summarize(const std::vector<const DecisionRecord*>& records) {
  Summary summary;
  // Cross-fitting with two folds: the outcome of a request is predicted by a model that was fitted without it
  // (Chernozhukov et al., 2018).
  std::array<OutcomeModel, kFoldCount> folds;
  OutcomeModel fullModel;
  for (std::size_t index = 0; index < records.size(); ++index) {
    folds[foldOf(index)].addRecord(*records[index]);
    fullModel.addRecord(*records[index]);
  }
  std::map<std::size_t, CellUses> cellUses;  // by request class
  for (std::size_t index = 0; index < records.size(); ++index) {
    const DecisionRecord& record = *records[index];
    const OutcomeModel& crossFitModel = folds[1 - foldOf(index)];
    addPolicies(summary.classes[record.requestClass], record, {crossFitModel, fullModel},
                cellUses[record.requestClass]);
    addDestinations(summary, record, crossFitModel);
  }
  for (const DecisionRecord* record : records) {
    ClassSums& classSums = summary.classes[record->requestClass];
    CellUses& classCellUses = cellUses[record->requestClass];
    for (std::size_t optionIndex = 0; optionIndex < record->optionCount; ++optionIndex)
      addDirectVariance(classSums, *record, &record->options[optionIndex], fullModel, classCellUses);
    addDirectVariance(classSums, *record, nullptr, fullModel, classCellUses);
  }
  addCalibrations(summary, records);
  return summary;
}

ClassSums sumClasses(const Summary& summary) {
  ClassSums sums;
  for (const auto& [requestClass, classSums] : summary.classes) addSums(sums, classSums);
  return sums;
}

}  // namespace paddletrack::counterfactual
