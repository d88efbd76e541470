#include "hindsight/estimate.hpp"

#include <algorithm>
#include <cmath>

namespace paddletrack::hindsight {
namespace {

constexpr double kNormal = 1.645;     // of a 90 % interval
constexpr double kSure = 1.96;        // before the better of two is named
constexpr double kLeastJobs = 30;     // effective, behind an estimate
constexpr double kLeastReach = 0.02;  // of the jobs
constexpr double kLeastHits = 5;      // unlike the usual, among those that speak of a policy
constexpr double kMostMoved = 0.01;   // of the jobs
constexpr double kOdd = 4;            // standard deviations in a check
constexpr double kShrink = 4;         // jobs that a cell's coarser mean counts for
constexpr double kLoadBin = 0.25;
constexpr std::size_t kLoadBins = 8;

double outcome(const Record& record, std::size_t measure) {
  return static_cast<Measure>(measure) == Measure::latency ? record.latency : record.inTime ? 1 : 0;
}

// The direct model: means by class, class x load, class x load x engine, each shrunk to the coarser one.
class Model {
 public:
  void learn(const Record& record) {
    const bool started = record.chosen < record.kept;
    const auto put = [&](std::uint64_t key) {
      Cell& cell = cells_[key];
      cell.jobs += 1;
      for (std::size_t measure = 0; measure < kMeasures; ++measure) {
        const double value = outcome(record, measure);
        cell.sum[measure] += value;
        cell.square[measure] += value * value;
      }
    };
    put(key(record.type, 0, 0));
    if (!started) return put(key(record.type, 1, 0));
    const Record::Option& option = record.options[record.chosen];
    put(key(record.type, bin(option), 0));
    put(key(record.type, bin(option), option.engine + 1ULL));
  }
  double mean(const Record& record, const Record::Option* option, std::size_t measure) const {
    double value = blend(key(record.type, 0, 0), measure, 0);
    if (!option) return blend(key(record.type, 1, 0), measure, value);
    value = blend(key(record.type, bin(*option), 0), measure, value);
    return blend(key(record.type, bin(*option), option->engine + 1ULL), measure, value);
  }
  // Of the mean itself: by how the outcomes of its finest cell scatter.
  double variance(const Record& record, const Record::Option* option, std::size_t measure) const {
    const std::uint64_t at =
        option ? key(record.type, bin(*option), option->engine + 1ULL) : key(record.type, 1, 0);
    for (const std::uint64_t each : {at, key(record.type, 0, 0)}) {
      const auto cell = cells_.find(each);
      if (cell == cells_.end() || cell->second.jobs < 2) continue;
      const double mean = cell->second.sum[measure] / cell->second.jobs;
      const double spread = cell->second.square[measure] / cell->second.jobs - mean * mean;
      return std::max(spread, 0.0) / cell->second.jobs;
    }
    return 0;
  }
  // Which cell that is: errors in it are errors of all that use it.
  static std::uint64_t cell(const Record& record, const Record::Option* option) {
    return option ? key(record.type, bin(*option), option->engine + 1ULL) : key(record.type, 1, 0);
  }

 private:
  struct Cell {
    double jobs = 0;
    std::array<double, kMeasures> sum{}, square{};
  };
  static std::uint64_t bin(const Record::Option& option) {
    return 2 + std::min<std::uint64_t>(kLoadBins - 1, static_cast<std::uint64_t>(option.used / kLoadBin));
  }
  static std::uint64_t key(std::uint64_t type, std::uint64_t load, std::uint64_t engine) {
    return (engine << 16) | (type << 8) | load;
  }
  double blend(std::uint64_t at, std::size_t measure, double coarse) const {
    const auto cell = cells_.find(at);
    if (cell == cells_.end()) return coarse;
    const double shrink = coarse > 0 ? kShrink : 0;
    return (cell->second.sum[measure] + shrink * coarse) / (cell->second.jobs + shrink);
  }
  std::map<std::uint64_t, Cell> cells_;
};

// What is known of one job under one policy.
struct Term {
  double fresh = 0;  // the part of its wishes that differs and is within reach
  double weight = 0;
  double spread = 0;  // a variance by design, to be times error^2
  double pooled = 0;  // what that is expected to be, over all that the job could have done
};
Term termOf(const Record& record, const Record::Other& other) {
  Term term;
  term.fresh = 1 - other.left;
  if (term.fresh < 1e-6) term.fresh = 0;
  term.weight = term.fresh > 0 ? other.weight * other.rest : 0;
  // Where it did what the policy wants with chance q, w (w - q): Horvitz and Thompson's for q = 1. Jobs that
  // waited have further draws behind them: all that they come to is by chance.
  if (record.chosen == kWaited) {
    const double whole = term.weight + other.left * other.rest;
    term.spread = term.fresh > 0 ? whole * std::max(whole - other.waits, 0.0) : 0;
  } else if (record.chosen < record.kept) {
    term.spread = term.weight * std::max(term.weight - other.starts[record.chosen], 0.0);
  }
  const auto could = [&](double wants, double chance) {
    if (term.fresh > 0 && wants > 0)
      term.pooled += wants * wants * std::max(1 / std::max(chance, 1e-3) - 1, 0.0);
  };
  for (std::size_t each = 0; each < record.kept; ++each)
    could(other.starts[each], record.options[each].starts);
  could(other.waits, 1 - record.startsAny);
  return term;
}

void addPolicies(ClassSums& sums, const Record& record, const Model& model, const Model& own,
                 std::array<std::map<std::uint64_t, double>, kPolicies>& uses) {
  const Record::Option* chosen = record.chosen < record.kept ? &record.options[record.chosen] : nullptr;
  sums.jobs += 1;
  std::array<Term, kPolicies> terms;
  std::array<double, kMeasures> errors{};
  for (std::size_t measure = 0; measure < kMeasures; ++measure) {
    sums.logged[measure] += outcome(record, measure);
    errors[measure] = outcome(record, measure) - model.mean(record, chosen, measure);
  }
  for (std::size_t policy = 0; policy < kPolicies; ++policy) {
    const Record::Other& other = record.others[policy];
    PolicySums& to = sums.policies[policy];
    const Term term = terms[policy] = termOf(record, other);
    const double left = 1 - term.fresh, rest = record.chosen == kWaited ? other.rest : 1;
    to.reached += term.fresh;
    to.beyond += other.beyond;
    to.weights += term.weight;
    to.squares += term.weight * term.weight;
    to.scatter += (term.weight - term.fresh) * (term.weight - term.fresh);
    if (term.fresh > 0) {
      for (std::size_t each = 0; each < record.kept; ++each)
        if (other.starts[each] > 0)
          uses[policy][Model::cell(record, &record.options[each])] += other.starts[each];
      if (other.waits > 0) uses[policy][Model::cell(record, nullptr)] += other.waits;
    }
    for (std::size_t measure = 0; measure < kMeasures; ++measure) {
      PolicySums::Of& of = to.of[measure];
      const double value = outcome(record, measure), error = errors[measure];
      const double base = model.mean(record, chosen, measure);
      const auto expected = [&](const Model& by) {
        double sum = other.waits > 0 ? other.waits * by.mean(record, nullptr, measure) : 0;
        for (std::size_t each = 0; each < record.kept; ++each)
          if (other.starts[each] > 0)
            sum += other.starts[each] * by.mean(record, &record.options[each], measure);
        return term.fresh > 0 ? sum : 0;
      };
      of.left += left * rest * value;
      of.weighted += term.weight * value;
      of.ww += term.spread;
      of.wwr += term.spread * value;
      of.wwrr += term.spread * value * value;
      of.direct += left * value + expected(own);
      of.robust += left * (base + rest * error) + expected(model) + term.weight * error;
      of.robustVariance += term.spread * error * error;
      of.pooledVariance += term.pooled * error * error;
      of.robustSquares += std::pow(term.spread * error * error, 2);
      if (term.weight > 0 && (static_cast<Measure>(measure) == Measure::latency || value < 0.5)) of.hits += 1;
    }
  }
  for (std::size_t first = 0; first < kPolicies; ++first)
    for (std::size_t second = first + 1; second < kPolicies; ++second) {
      PairSums& pair = sums.pairs[pairOf(static_cast<Policy>(first), static_cast<Policy>(second))];
      const double apart = terms[first].weight - terms[second].weight;
      if (std::abs(apart) < 1e-9) continue;
      for (std::size_t measure = 0; measure < kMeasures; ++measure) {
        pair.of[measure].variance += apart * apart * errors[measure] * errors[measure];
        pair.of[measure].apart += 1;
      }
    }
}

void addPlace(PlaceSums& sums, double chance, bool there, const std::array<double, kMeasures>& errors) {
  if (chance < kLeastChance || chance > 1 - kLeastChance) return;
  const double here = there ? 1 / chance : 0, elsewhere = there ? 0 : 1 / (1 - chance);
  sums.jobs += 1;
  sums.there += there ? 1 : 0;
  sums.thereWeights += here;
  sums.elsewhereWeights += elsewhere;
  sums.squares += (here + elsewhere) * (here + elsewhere);
  for (std::size_t measure = 0; measure < kMeasures; ++measure) {
    PlaceSums::Of& of = sums.of[measure];
    of.there += here * errors[measure];
    of.elsewhere += elsewhere * errors[measure];
    of.variance += (here + elsewhere) * (here + elsewhere) * errors[measure] * errors[measure];
  }
}

void addCheck(CheckSums& sums, std::size_t kind, double residual, double variance) {
  sums.sum[kind] += residual;
  sums.variance[kind] += variance;
}

void addChecks(Summary& summary, const std::vector<const Record*>& records) {
  std::map<std::uint32_t, double> before;  // by engine: what the last job that could have gone there did
  std::map<std::size_t, std::pair<double, double>> work;  // by class: jobs, sum of work told
  for (const Record* each : records) {
    work[each->type].first += 1;
    work[each->type].second += each->told;
  }
  for (const Record* each : records) {
    summary.pooled.jobs += 1;
    summary.pooled.moved += each->moved ? 1 : 0;
    const auto& [jobs, sum] = work[each->type];
    const double told = sum > 0 ? std::clamp(each->told / (sum / jobs) - 1, -1.0, 3.0) : 0;
    for (std::size_t option = 0; option < each->kept; ++option) {
      const double chance = each->options[option].starts;
      if (chance < 0.01 || chance > 0.99) continue;
      const double residual = (each->chosen == option ? 1 : 0) - chance, variance = chance * (1 - chance);
      CheckSums& engine = summary.checks[each->options[option].engine];
      engine.jobs += 1;
      const auto last = before.find(each->options[option].engine);
      for (CheckSums* to : {&engine, &summary.pooled}) {
        addCheck(*to, 0, residual, variance);
        addCheck(*to, 1, residual * told, variance * told * told);
        if (last != before.end())
          addCheck(*to, 2, residual * last->second, variance * last->second * last->second);
      }
      before[each->options[option].engine] = residual;
    }
  }
}

// Student's quantile from the normal one (Cornish and Fisher's expansion; within 2 % from 3 degrees on).
double student(double sure, double degrees) {
  const double of = std::max(degrees, 3.0), cube = sure * sure * sure;
  return sure + (cube + sure) / (4 * of) + (5 * cube * sure * sure + 16 * cube + 3 * sure) / (96 * of * of);
}

// A variance that few jobs make up is itself badly known: so many degrees of freedom (Satterthwaite).
double degreesOf(const PolicySums::Of& of) {
  return of.robustSquares > 0 ? 2 * of.robustVariance * of.robustVariance / of.robustSquares : 3;
}

// By the jobs that did as the policy wants, or by all as if their errors were alike: few large errors are in
// the one and not in the other by chance, so the larger counts.
double varianceOf(const PolicySums::Of& of) { return std::max(of.robustVariance, of.pooledVariance); }

Estimate interval(double value, double variance, double degrees, double sure = kNormal) {
  const double half = student(sure, degrees) * std::sqrt(std::max(variance, 0.0));
  return {Verdict::told, value, value - half, value + half};
}

}  // namespace

std::size_t pairOf(Policy first, Policy second) {
  const auto a = static_cast<std::size_t>(first), b = static_cast<std::size_t>(second);
  return a * (2 * kPolicies - a - 1) / 2 + (b - a - 1);
}

const char* wordsOf(Verdict verdict) {
  static constexpr std::array<const char*, 5> kWords{"told", "same", "cannot tell: out of reach",
                                                     "cannot tell: too few jobs", "cannot tell: unexplained"};
  return kWords[static_cast<std::size_t>(verdict)];
}

Summary summarise(const std::vector<const Record*>& records) {
  Summary summary;
  // Two folds: the model that a job is held against has not seen it (Chernozhukov et al., 2018).
  std::array<Model, 2> folds;
  Model whole;
  for (std::size_t each = 0; each < records.size(); ++each) {
    folds[each / 8 % 2].learn(*records[each]);
    whole.learn(*records[each]);
  }
  std::map<std::size_t, std::array<std::map<std::uint64_t, double>, kPolicies>> uses;
  for (std::size_t each = 0; each < records.size(); ++each) {
    const Record& record = *records[each];
    const Model& model = folds[1 - each / 8 % 2];
    addPolicies(summary.classes[record.type], record, model, whole, uses[record.type]);
    if (record.chosen == kWaited || record.startsAny <= 0) continue;
    const Record::Option* chosen = record.chosen < record.kept ? &record.options[record.chosen] : nullptr;
    std::array<double, kMeasures> errors{};
    for (std::size_t measure = 0; measure < kMeasures; ++measure) {
      double mean = 0, sum = 0;  // of all that it could have been, whichever was taken
      for (std::size_t option = 0; option < record.kept; ++option) {
        mean += record.options[option].starts * model.mean(record, &record.options[option], measure);
        sum += record.options[option].starts;
      }
      errors[measure] = outcome(record, measure) - (sum > 0 ? mean / sum : 0);
    }
    std::map<unsigned, double> byLocation;
    for (std::size_t option = 0; option < record.kept; ++option) {
      const Record::Option& at = record.options[option];
      const double chance = at.starts / record.startsAny;
      addPlace(summary.engines[at.engine], chance, chosen == &at, errors);
      byLocation[at.location] += chance;
    }
    for (const auto& [location, chance] : byLocation)
      addPlace(summary.locations[location], chance, chosen && chosen->location == location, errors);
  }
  // A cell's error is the same for all that use it: variances of its mean add up with the square of its use.
  for (std::size_t each = 0; each < records.size(); ++each) {
    const Record& record = *records[each];
    auto& used = uses[record.type];
    const auto take = [&](const Record::Option* option) {
      const std::uint64_t cell = Model::cell(record, option);
      for (std::size_t policy = 0; policy < kPolicies; ++policy) {
        const auto at = used[policy].find(cell);
        if (at == used[policy].end()) continue;
        for (std::size_t measure = 0; measure < kMeasures; ++measure)
          summary.classes[record.type].policies[policy].of[measure].directVariance +=
              at->second * at->second * whole.variance(record, option, measure);
        used[policy].erase(at);
      }
    };
    for (std::size_t option = 0; option < record.kept; ++option) take(&record.options[option]);
    take(nullptr);
  }
  addChecks(summary, records);
  return summary;
}

bool moved(const CheckSums& pooled) { return pooled.moved > std::max(1.0, kMostMoved * pooled.jobs); }

bool odd(const CheckSums& sums) {
  for (std::size_t kind = 0; kind < CheckSums::kKinds; ++kind)
    if (sums.variance[kind] > 1 && std::abs(sums.sum[kind]) > kOdd * std::sqrt(sums.variance[kind]))
      return true;
  return false;
}

Answer judge(const ClassSums& sums, Policy policy, Measure measure, bool isExplained) {
  const PolicySums& from = sums.policies[static_cast<std::size_t>(policy)];
  const PolicySums::Of& of = from.of[static_cast<std::size_t>(measure)];
  Answer answer;
  const double jobs = std::max(sums.jobs, 1.0), squared = jobs * jobs;
  answer.logged = sums.logged[static_cast<std::size_t>(measure)] / jobs;
  answer.reach = from.reached / jobs;
  answer.beyond = from.beyond / jobs;
  answer.effective = from.squares > 0 ? from.weights * from.weights / from.squares : 0;
  Verdict verdict = Verdict::told;
  if (answer.effective < kLeastJobs || of.hits < kLeastHits) verdict = Verdict::tooFew;
  if (answer.reach < kLeastReach && jobs >= kLeastJobs)
    verdict = answer.beyond > kLeastReach ? Verdict::outOfReach
              : from.reached > 0          ? Verdict::tooFew
                                          : Verdict::same;
  // The weights' mean is known: where it is off by more than chance, they are not what they are taken for.
  if (from.scatter > 0 && std::abs(from.weights - from.reached) > kOdd * std::sqrt(from.scatter))
    isExplained = false;
  if (!isExplained) verdict = Verdict::unexplained;
  const auto put = [&](Method method, double value, double variance) {
    Estimate made = interval(value, variance, degreesOf(of));
    made.verdict = verdict;
    answer.by[static_cast<std::size_t>(method)] = made;
  };
  put(Method::weighted, (of.left + of.weighted) / jobs, of.wwrr / squared);
  const double mean = from.weights > 0 ? of.weighted / from.weights : 0;
  const double scale = from.weights > 0 ? from.reached / from.weights : 0;
  put(Method::selfNormalised, (of.left + mean * from.reached) / jobs,
      (of.wwrr - 2 * mean * of.wwr + mean * mean * of.ww) * scale * scale / squared);
  put(Method::direct, of.direct / jobs, of.directVariance / squared);
  put(Method::doublyRobust, of.robust / jobs, varianceOf(of) / squared);
  return answer;
}

Estimate compare(const ClassSums& sums, Policy first, Policy second, Measure measure, bool isExplained) {
  const bool swapped = second < first;
  const auto at = static_cast<std::size_t>(measure);
  const double jobs = std::max(sums.jobs, 1.0);
  const PairSums::Of& pair = sums.pairs[pairOf(swapped ? second : first, swapped ? first : second)].of[at];
  const auto robust = [&](Policy of) {
    return sums.policies[static_cast<std::size_t>(of)].of[at].robust / jobs;
  };
  const auto degrees = [&](Policy of) {
    return degreesOf(sums.policies[static_cast<std::size_t>(of)].of[at]);
  };
  const Answer one = judge(sums, first, measure, isExplained),
               two = judge(sums, second, measure, isExplained);
  Estimate made = interval(robust(first) - robust(second), pair.variance / jobs / jobs,
                           std::min(degrees(first), degrees(second)), kSure);
  made.verdict = !one.best().told() ? one.best().verdict : two.best().verdict;
  if (made.told() && made.low <= 0 && made.high >= 0) made.verdict = Verdict::tooFew;
  return made;
}

Estimate against(const ClassSums& sums, Policy policy, Measure measure, bool isExplained) {
  const Answer answer = judge(sums, policy, measure, isExplained);
  const auto& of = sums.policies[static_cast<std::size_t>(policy)].of[static_cast<std::size_t>(measure)];
  const double jobs = std::max(sums.jobs, 1.0);
  Estimate made =
      interval(of.robust / jobs - answer.logged, varianceOf(of) / jobs / jobs, answer.effective, kSure);
  made.verdict = answer.best().verdict;
  if (made.told() && made.low <= 0 && made.high >= 0) made.verdict = Verdict::tooFew;
  return made;
}

Estimate regret(const PlaceSums& sums, Measure measure, bool isExplained) {
  const PlaceSums::Of& of = sums.of[static_cast<std::size_t>(measure)];
  const double jobs = std::max(sums.jobs, 1.0);
  const double sign = measure == Measure::inTime ? 1 : -1;
  const double both = sums.thereWeights + sums.elsewhereWeights;
  const double effective = sums.squares > 0 ? both * both / sums.squares : 0;
  Estimate made = interval(sign * (of.elsewhere - of.there) / jobs, of.variance / jobs / jobs, effective);
  const bool few = sums.there < kLeastJobs / 2 || sums.jobs - sums.there < kLeastJobs / 2;
  if (few || effective < kLeastJobs) made.verdict = Verdict::tooFew;
  if (!isExplained) made.verdict = Verdict::unexplained;
  return made;
}

ClassSums all(const Summary& summary) {
  ClassSums sums;
  for (const auto& [type, each] : summary.classes) add(sums, each);
  return sums;
}

}  // namespace paddletrack::hindsight
