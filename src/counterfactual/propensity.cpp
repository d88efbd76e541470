#include "counterfactual/propensity.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <numeric>

namespace paddletrack::counterfactual {
namespace {

// Nodes above 0 and weights of the Gauss-Legendre quadrature with 8 nodes on [-1, 1], which is exact for
// polynomials up to degree 15 (Abramowitz and Stegun, table 25.4).
constexpr std::array<std::pair<double, double>, 4> kQuadratureNodes{
    {{0.1834346424956498, 0.3626837833783620},
     {0.5255324099163290, 0.3137066458778873},
     {0.7966664774136267, 0.2223810344533745},
     {0.9602898564975363, 0.1012285362903763}}};
// Maximum number of subintervals of the integration range. With more contenders the range is divided evenly
// instead of at their scores.
constexpr std::size_t kMaxIntervals = 24;

// Returns the boundaries of the subintervals, ascending. `contenders` are ordered by score.
std::vector<double> computeBreakpoints(const std::vector<double>& scores,
                                       const std::vector<std::size_t>& contenders, double minScore,
                                       double upperBound) {
  std::vector<double> breakpoints;
  if (contenders.size() <= kMaxIntervals) {
    for (const std::size_t contender : contenders) breakpoints.push_back(scores[contender]);
  } else {
    for (std::size_t interval = 0; interval < kMaxIntervals; ++interval)
      breakpoints.push_back(minScore +
                            (upperBound - minScore) * static_cast<double>(interval) / kMaxIntervals);
  }
  breakpoints.push_back(upperBound);
  return breakpoints;
}

// Integrates, for each contender, the density of its randomized score times the probability that all other
// randomized scores are higher.
class PropensityIntegrator {
 public:
  PropensityIntegrator(const std::vector<double>& scores, const std::vector<std::size_t>& contenders,
                       double jitter, std::vector<double>& probabilities)
      : scores_(scores),
        contenders_(contenders),
        jitter_(jitter),
        probabilities_(probabilities),
        survival_(contenders.size()),
        prefixProducts_(contenders.size() + 1) {}

  void integrateInterval(double begin, double end) {
    const double halfWidth = (end - begin) / 2;
    const double midpoint = (end + begin) / 2;
    if (halfWidth <= 0) return;
    for (const auto& [node, weight] : kQuadratureNodes) {
      addQuadraturePoint(midpoint - halfWidth * node, halfWidth * weight);
      addQuadraturePoint(midpoint + halfWidth * node, halfWidth * weight);
    }
  }

 private:
  void addQuadraturePoint(double value, double weight) {
    prefixProducts_[0] = 1;
    for (std::size_t index = 0; index < contenders_.size(); ++index) {
      const double score = scores_[contenders_[index]];
      survival_[index] = value <= score ? 1 : (score * (1 + jitter_) - value) / (score * jitter_);
      prefixProducts_[index + 1] = prefixProducts_[index] * survival_[index];
    }
    double suffixProduct = 1;  // of the survival probabilities of later contenders
    for (std::size_t index = contenders_.size(); index-- > 0;) {
      const double score = scores_[contenders_[index]];
      if (value > score)
        probabilities_[contenders_[index]] +=
            weight * prefixProducts_[index] * suffixProduct / (score * jitter_);
      suffixProduct *= survival_[index];
    }
  }

  const std::vector<double>& scores_;
  const std::vector<std::size_t>& contenders_;
  const double jitter_;
  std::vector<double>& probabilities_;
  std::vector<double> survival_;
  std::vector<double> prefixProducts_;
};

}  // namespace

std::vector<double> computePropensities(const std::vector<double>& scores, double jitter) {
  std::vector<double> probabilities(scores.size());
  if (scores.empty()) return probabilities;
  const double minScore = *std::min_element(scores.begin(), scores.end());
  const double upperBound = minScore * (1 + jitter);
  std::vector<std::size_t> contenders;  // scores that can become the lowest
  for (std::size_t index = 0; index < scores.size(); ++index)
    if (scores[index] < upperBound) contenders.push_back(index);
  if (contenders.size() == 1 || jitter <= 0 || minScore <= 0) {
    probabilities[contenders.empty() ? 0 : contenders.front()] = 1;
    return probabilities;
  }
  std::sort(contenders.begin(), contenders.end(), [&](auto a, auto b) { return scores[a] < scores[b]; });
  const std::vector<double> breakpoints = computeBreakpoints(scores, contenders, minScore, upperBound);
  PropensityIntegrator integrator(scores, contenders, jitter, probabilities);
  for (std::size_t index = 0; index + 1 < breakpoints.size(); ++index)
    integrator.integrateInterval(breakpoints[index], breakpoints[index + 1]);
  const double sum = std::accumulate(probabilities.begin(), probabilities.end(), 0.0);
  for (double& probability : probabilities) probability /= sum;
  return probabilities;
}

}  // namespace paddletrack::counterfactual
