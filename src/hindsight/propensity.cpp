#include "hindsight/propensity.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <numeric>

namespace paddletrack::hindsight {
namespace {

// Gauss-Legendre with 8 nodes on -1 to 1: exact to degree 15 (Abramowitz and Stegun, table 25.4).
constexpr std::array<std::pair<double, double>, 4> kNodes{{{0.1834346424956498, 0.3626837833783620},
                                                           {0.5255324099163290, 0.3137066458778873},
                                                           {0.7966664774136267, 0.2223810344533745},
                                                           {0.9602898564975363, 0.1012285362903763}}};
constexpr std::size_t kMostPieces = 24;

}  // namespace

std::vector<double> propensities(const std::vector<double>& scores, double luck) {
  std::vector<double> chance(scores.size());
  if (scores.empty()) return chance;
  const double least = *std::min_element(scores.begin(), scores.end());
  const double end = least * (1 + luck);
  std::vector<std::size_t> near;  // who may come out least
  for (std::size_t each = 0; each < scores.size(); ++each)
    if (scores[each] < end) near.push_back(each);
  if (near.size() == 1 || luck <= 0 || least <= 0) {
    chance[near.empty() ? 0 : near.front()] = 1;
    return chance;
  }
  std::sort(near.begin(), near.end(), [&](auto a, auto b) { return scores[a] < scores[b]; });
  std::vector<double> cuts;
  if (near.size() <= kMostPieces)
    for (const std::size_t each : near) cuts.push_back(scores[each]);
  else
    for (std::size_t each = 0; each < kMostPieces; ++each)
      cuts.push_back(least + (end - least) * static_cast<double>(each) / kMostPieces);
  cuts.push_back(end);
  std::vector<double> above(near.size()), before(near.size() + 1);
  const auto at = [&](double value, double weight) {
    before[0] = 1;
    for (std::size_t each = 0; each < near.size(); ++each) {
      const double score = scores[near[each]];
      above[each] = value <= score ? 1 : (score * (1 + luck) - value) / (score * luck);
      before[each + 1] = before[each] * above[each];
    }
    double after = 1;  // the product of those behind it
    for (std::size_t each = near.size(); each-- > 0;) {
      const double score = scores[near[each]];
      if (value > score) chance[near[each]] += weight * before[each] * after / (score * luck);
      after *= above[each];
    }
  };
  for (std::size_t each = 0; each + 1 < cuts.size(); ++each) {
    const double half = (cuts[each + 1] - cuts[each]) / 2, middle = (cuts[each + 1] + cuts[each]) / 2;
    if (half <= 0) continue;
    for (const auto& [node, weight] : kNodes) {
      at(middle - half * node, half * weight);
      at(middle + half * node, half * weight);
    }
  }
  const double sum = std::accumulate(chance.begin(), chance.end(), 0.0);
  for (double& each : chance) each /= sum;
  return chance;
}

}  // namespace paddletrack::hindsight
