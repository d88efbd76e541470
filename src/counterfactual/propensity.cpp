#include "counterfactual/propensity.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <numeric>

namespace paddletrack::counterfactual {
namespace {

// Gauss-Legendre with 8 nodes on -1 to 1: exact to degree 15 (Abramowitz and Stegun, table 25.4).
constexpr std::array<std::pair<double, double>, 4> kQuadratureNodes{
    {{0.1834346424956498, 0.3626837833783620},
     {0.5255324099163290, 0.3137066458778873},
     {0.7966664774136267, 0.2223810344533745},
     {0.9602898564975363, 0.1012285362903763}}};
constexpr std::size_t kMaxPieces = 24;

}  // namespace

std::vector<double> computePropensities(const std::vector<double>& scores, double jitter) {
  std::vector<double> probabilities(scores.size());
  if (scores.empty()) return probabilities;
  const double minScore = *std::min_element(scores.begin(), scores.end());
  const double maxReach = minScore * (1 + jitter);
  std::vector<std::size_t> contenders;  // who may come out least
  for (std::size_t index = 0; index < scores.size(); ++index)
    if (scores[index] < maxReach) contenders.push_back(index);
  if (contenders.size() == 1 || jitter <= 0 || minScore <= 0) {
    probabilities[contenders.empty() ? 0 : contenders.front()] = 1;
    return probabilities;
  }
  std::sort(contenders.begin(), contenders.end(), [&](auto a, auto b) { return scores[a] < scores[b]; });
  std::vector<double> breakpoints;
  if (contenders.size() <= kMaxPieces)
    for (const std::size_t contender : contenders) breakpoints.push_back(scores[contender]);
  else
    for (std::size_t item = 0; item < kMaxPieces; ++item)
      breakpoints.push_back(minScore + (maxReach - minScore) * static_cast<double>(item) / kMaxPieces);
  breakpoints.push_back(maxReach);
  std::vector<double> survival(contenders.size()), prefixProducts(contenders.size() + 1);
  const auto addQuadraturePoint = [&](double value, double weight) {
    prefixProducts[0] = 1;
    for (std::size_t element = 0; element < contenders.size(); ++element) {
      const double score = scores[contenders[element]];
      survival[element] = value <= score ? 1 : (score * (1 + jitter) - value) / (score * jitter);
      prefixProducts[element + 1] = prefixProducts[element] * survival[element];
    }
    double suffixProduct = 1;  // the product of those behind it
    for (std::size_t entry = contenders.size(); entry-- > 0;) {
      const double score = scores[contenders[entry]];
      if (value > score)
        probabilities[contenders[entry]] += weight * prefixProducts[entry] * suffixProduct / (score * jitter);
      suffixProduct *= survival[entry];
    }
  };
  for (std::size_t element = 0; element + 1 < breakpoints.size(); ++element) {
    const double half = (breakpoints[element + 1] - breakpoints[element]) / 2,
                 middle = (breakpoints[element + 1] + breakpoints[element]) / 2;
    if (half <= 0) continue;
    for (const auto& [node, weight] : kQuadratureNodes) {
      addQuadraturePoint(middle - half * node, half * weight);
      addQuadraturePoint(middle + half * node, half * weight);
    }
  }
  const double sum = std::accumulate(probabilities.begin(), probabilities.end(), 0.0);
  for (double& probability : probabilities) probability /= sum;
  return probabilities;
}

}  // namespace paddletrack::counterfactual
