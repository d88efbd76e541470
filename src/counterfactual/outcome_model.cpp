#include "counterfactual/outcome_model.hpp"

#include <algorithm>

namespace paddletrack::counterfactual {
namespace {

// Weight of the coarser cell's mean in a shrunk mean, as a number of requests.
constexpr double kShrinkageRequests = 4;
constexpr double kLoadBinWidth = 0.25;
constexpr std::size_t kLoadBinCount = 8;
// Load levels in a cell key: all loads, requests that waited, and the utilization bins from kFirstLoadBin on.
constexpr std::uint64_t kAllLoads = 0;
constexpr std::uint64_t kWaitedLevel = 1;
constexpr std::uint64_t kFirstLoadBin = 2;

}  // namespace

double measuredOutcome(const DecisionRecord& record, std::size_t measure) {
  if (static_cast<Measure>(measure) == Measure::latency) return record.latency;
  return record.onTime ? 1 : 0;
}

void OutcomeModel::addRecord(const DecisionRecord& record) {
  addToCell(cellKey(record.requestClass, kAllLoads, 0), record);
  const bool started = record.chosen < record.optionCount;
  if (!started) {
    addToCell(cellKey(record.requestClass, kWaitedLevel, 0), record);
    return;
  }
  const DecisionRecord::Option& option = record.options[record.chosen];
  addToCell(cellKey(record.requestClass, loadBin(option), 0), record);
  addToCell(cellKey(record.requestClass, loadBin(option), option.engine + 1ULL), record);
}

void OutcomeModel::addToCell(std::uint64_t cellId, const DecisionRecord& record) {
  Cell& cell = cells_[cellId];
  cell.requests += 1;
  for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
    const double value = measuredOutcome(record, measure);
    cell.sum[measure] += value;
    cell.squareSum[measure] += value * value;
  }
}

double OutcomeModel::mean(const DecisionRecord& record, const DecisionRecord::Option* option,
                          std::size_t measure) const {
  double value = shrunkMean(cellKey(record.requestClass, kAllLoads, 0), measure, 0);
  if (!option) return shrunkMean(cellKey(record.requestClass, kWaitedLevel, 0), measure, value);
  value = shrunkMean(cellKey(record.requestClass, loadBin(*option), 0), measure, value);
  return shrunkMean(cellKey(record.requestClass, loadBin(*option), option->engine + 1ULL), measure, value);
}

double OutcomeModel::variance(const DecisionRecord& record, const DecisionRecord::Option* option,
                              std::size_t measure) const {
  for (const std::uint64_t cellId : {cellOf(record, option), cellKey(record.requestClass, kAllLoads, 0)}) {
    const auto cell = cells_.find(cellId);
    if (cell == cells_.end() || cell->second.requests < 2) continue;
    const double mean = cell->second.sum[measure] / cell->second.requests;
    const double outcomeVariance = cell->second.squareSum[measure] / cell->second.requests - mean * mean;
    return std::max(outcomeVariance, 0.0) / cell->second.requests;
  }
  return 0;
}

std::uint64_t OutcomeModel::cellOf(const DecisionRecord& record, const DecisionRecord::Option* option) {
  return option ? cellKey(record.requestClass, loadBin(*option), option->engine + 1ULL)
                : cellKey(record.requestClass, kWaitedLevel, 0);
}

std::uint64_t OutcomeModel::loadBin(const DecisionRecord::Option& option) {
  return kFirstLoadBin + std::min<std::uint64_t>(kLoadBinCount - 1, static_cast<std::uint64_t>(
                                                                        option.utilization / kLoadBinWidth));
}

std::uint64_t OutcomeModel::cellKey(std::uint64_t requestClass, std::uint64_t loadLevel,
                                    std::uint64_t engine) {
  return (engine << 16) | (requestClass << 8) | loadLevel;
}

double OutcomeModel::shrunkMean(std::uint64_t cellId, std::size_t measure, double coarserMean) const {
  const auto cell = cells_.find(cellId);
  if (cell == cells_.end()) return coarserMean;
  const double shrinkage = coarserMean > 0 ? kShrinkageRequests : 0;
  return (cell->second.sum[measure] + shrinkage * coarserMean) / (cell->second.requests + shrinkage);
}

}  // namespace paddletrack::counterfactual
