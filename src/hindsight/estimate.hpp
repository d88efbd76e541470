// From records to what would have been: sums that add up over controllers, and what can be told from them.
// Pure: no I/O, no clock, no chance. Formulas and their sources are in docs/hindsight.md.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "hindsight/record.hpp"

namespace paddletrack::hindsight {

enum class Measure : std::uint8_t { inTime, latency };  // a share of jobs; seconds
constexpr std::size_t kMeasures = 2;
enum class Method : std::uint8_t { weighted, selfNormalised, direct, doublyRobust };
constexpr std::size_t kMethods = 4;

// Sums over jobs. Those of two controllers, or of two classes, are added place by place.
struct PolicySums {
  double reached = 0;  // the part of its wishes that chance could have done as well, where they differ
  double beyond = 0;   // that chance could not
  double weights = 0, squares = 0;  // of those weights
  double scatter = 0;               // of weights - reached: its variance, by design
  struct Of {
    double left = 0;                   // as the module did: known, not estimated
    double weighted = 0;               // weight x outcome
    double ww = 0, wwr = 0, wwrr = 0;  // w (w - q) times 1, outcome, its square: variances by design
    double direct = 0, directVariance = 0;
    double robust = 0, robustVariance = 0, robustSquares = 0;  // squares of what the variance is a sum of
    double pooledVariance = 0;  // the same, as if each job's error were that of what it did
    double hits = 0;            // weighted jobs whose outcome is unlike the class's usual one
  };
  std::array<Of, kMeasures> of{};
};
struct PairSums {  // of two policies: doubly robust
  struct Of {
    double variance = 0, apart = 0;  // jobs in which their wishes differ
  };
  std::array<Of, kMeasures> of{};
};
constexpr std::size_t kPairs = kPolicies * (kPolicies - 1) / 2;
std::size_t pairOf(Policy first, Policy second);  // first before second

struct ClassSums {
  double jobs = 0;
  std::array<double, kMeasures> logged{};  // what happened
  std::array<PolicySums, kPolicies> policies{};
  std::array<PairSums, kPairs> pairs{};
};

// Of one engine, or one location: what going there did, against going elsewhere, in jobs that could have done
// either.
struct PlaceSums {
  double jobs = 0, there = 0;
  double thereWeights = 0, elsewhereWeights = 0, squares = 0;
  struct Of {
    double there = 0, elsewhere = 0;  // weight x (outcome less the class's mean)
    double variance = 0;
  };
  std::array<Of, kMeasures> of{};
};

// Whether what was chosen goes with the chances told, as sums of (chosen - chance) and their variances: in
// all, with the work told, with what the job before did. Something that the record lacks and that lasts, or
// goes with the work, shows here.
struct CheckSums {
  static constexpr std::size_t kKinds = 3;
  double jobs = 0, moved = 0;
  std::array<double, kKinds> sum{}, variance{};
};

struct Summary {
  std::map<std::size_t, ClassSums> classes;  // by reservation type
  std::map<std::uint32_t, PlaceSums> engines;
  std::map<unsigned, PlaceSums> locations;
  std::map<std::uint32_t, CheckSums> checks;  // by engine
  CheckSums pooled;                           // over all engines
};
Summary summarise(const std::vector<const Record*>& records);

template <typename Sums>
void add(Sums& to, const Sums& more) {  // all of them are of doubles alone
  static_assert(sizeof(Sums) % sizeof(double) == 0);
  auto* at = reinterpret_cast<double*>(&to);
  const auto* from = reinterpret_cast<const double*>(&more);
  for (std::size_t each = 0; each < sizeof(Sums) / sizeof(double); ++each) at[each] += from[each];
}

enum class Verdict : std::uint8_t {
  told,
  same,         // it wants what the module does, in all jobs
  outOfReach,   // chance hardly ever takes what it wants
  tooFew,       // too few jobs speak of it
  unexplained,  // what was chosen does not go with the chances told
};
const char* wordsOf(Verdict verdict);

struct Estimate {
  Verdict verdict = Verdict::tooFew;
  double value = 0, low = 0, high = 0;  // 90 % interval
  bool told() const { return verdict == Verdict::told; }
};
struct Answer {
  std::array<Estimate, kMethods> by{};
  double logged = 0;     // what happened, in the same jobs
  double reach = 0;      // part of the jobs in which it wants another thing and chance could have done that
  double beyond = 0;     // and could not: there it is taken to do as the module did
  double effective = 0;  // sample size: (sum of weights)^2 / sum of squares
  const Estimate& best() const { return by[static_cast<std::size_t>(Method::doublyRobust)]; }
};

bool odd(const CheckSums& sums);  // past what chance does
bool moved(const CheckSums& pooled);
template <typename Name>
bool explained(const CheckSums& pooled, const std::map<Name, CheckSums>& engines) {
  if (moved(pooled) || odd(pooled)) return false;
  for (const auto& [name, each] : engines)
    if (odd(each)) return false;
  return true;
}
Answer judge(const ClassSums& sums, Policy policy, Measure measure, bool explained);
// First less second; told where the interval leaves no doubt of which is better.
Estimate compare(const ClassSums& sums, Policy first, Policy second, Measure measure, bool explained);
Estimate against(const ClassSums& sums, Policy policy, Measure measure, bool explained);  // the module's own
// What its jobs lost by going there: in the in-time share or seconds; above 0: elsewhere would have been
// better.
Estimate regret(const PlaceSums& sums, Measure measure, bool explained);
ClassSums all(const Summary& summary);

}  // namespace paddletrack::hindsight
