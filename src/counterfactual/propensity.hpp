// With which chance the module takes each engine that it weighed. No I/O, no clock, no chance of its own.
#pragma once

#include <vector>

namespace paddletrack::counterfactual {

constexpr double kScoreJitter = 0.1;  // the module multiplies each score by 1 to 1 + this, uniformly

// For each score the chance that it, times its own 1 to 1 + `luck`, comes out least of all. They sum to 1.
// Exact up to rounding while at most 16 scores lie within reach of the least, within 1e-3 beyond that
// (Gauss-Legendre quadrature of the product of the others' chances to lie above; the product is a polynomial
// between one score and the next). Scores are above 0; O(n + near^2).
std::vector<double> computePropensities(const std::vector<double>& scores, double jitter = kScoreJitter);

}  // namespace paddletrack::counterfactual
