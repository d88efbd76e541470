// Adds a record to the policy sums of its class. Internal to summarize().
#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "counterfactual/outcome_model.hpp"
#include "counterfactual/summary.hpp"

namespace paddletrack::counterfactual {

/// By policy and by cell of the outcome model: the total probability with which the policy's actions use the
/// cell.
using CellUses = std::array<std::map<std::uint64_t, double>, kPolicyCount>;

/// The outcome models of a record: `crossFitModel` was fitted without it, `fullModel` with all records.
struct OutcomeModels {
  const OutcomeModel& crossFitModel;
  const OutcomeModel& fullModel;
};

/// Returns the option at which the request started, or null if it waited or started at an engine that is not
/// recorded.
const DecisionRecord::Option* chosenOption(const DecisionRecord& record);

/// Adds the record to the sums of its class, and the cells that its policies use to `cellUses`.
void addPolicies(ClassSums& sums, const DecisionRecord& record, const OutcomeModels& models,
                 CellUses& cellUses);

}  // namespace paddletrack::counterfactual
