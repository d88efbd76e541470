// Computes the calibration sums of a summary. Internal to summarize().
#pragma once

#include <vector>

#include "counterfactual/summary.hpp"

namespace paddletrack::counterfactual {

/// Adds the calibration checks of the records, which must be ordered by arrival, to the summary.
void addCalibrations(Summary& summary, const std::vector<const DecisionRecord*>& records);

}  // namespace paddletrack::counterfactual
