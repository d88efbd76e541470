// Propensities: the probabilities with which the admission module, as the logging policy, selects each
// candidate. No I/O, no clock, no randomness.
#pragma once

#include <vector>

namespace paddletrack::counterfactual {

/// The admission module multiplies each score by a uniform random factor from 1 to 1 + kScoreJitter.
constexpr double kScoreJitter = 0.1;

/// Returns for each score the probability that it is the lowest after it was multiplied by a random factor
/// from 1 to 1 + `jitter`. The probabilities sum to 1. They are exact up to rounding if at most 16 scores can
/// become the lowest, and within 1e-3 otherwise (Gauss-Legendre quadrature of the product of the
/// probabilities that the other scores are higher, which is a polynomial between two neighbouring scores).
/// Scores must be positive. O(n + contenders^2).
std::vector<double> computePropensities(const std::vector<double>& scores, double jitter = kScoreJitter);

}  // namespace paddletrack::counterfactual
