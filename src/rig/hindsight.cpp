// Whether what src/hindsight tells is true: days of the real module in virtual time. Each job's other
// outcomes come from copies of the day (fork) in which the policy is forced on that job alone, so the truth
// about one and the same trace is known; the estimates see the records alone. Further, whole days with the
// policy forced on all jobs.
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cmath>
#include <cstdio>
#include <numeric>

#include "hindsight/estimate.hpp"
#include "rig/replay.hpp"
#include "rig/rig.hpp"

namespace paddletrack::rig {
namespace {

using hindsight::kMeasures;
using hindsight::kMethods;
using hindsight::kPolicies;
using hindsight::Measure;
using hindsight::Policy;
using hindsight::Verdict;

constexpr unsigned kCopies = 3;     // of a job whose policy draws by chance
constexpr std::size_t kAtOnce = 4;  // copies that run at once

template <typename Of>
class Shared {  // by a process and its copies
 public:
  explicit Shared(std::size_t count)
      : bytes_(std::max<std::size_t>(1, count) * sizeof(Of)),
        at_(static_cast<Of*>(
            ::mmap(nullptr, bytes_, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0))) {
    if (at_ == MAP_FAILED) throw std::runtime_error("no memory to share with copies of a day");
  }
  Shared(const Shared&) = delete;
  Shared& operator=(const Shared&) = delete;
  ~Shared() { ::munmap(at_, bytes_); }
  Of& operator[](std::size_t each) { return at_[each]; }

 private:
  std::size_t bytes_;
  Of* at_;
};

struct Copied {
  std::atomic<unsigned> copies{0};
  std::array<double, kCopies> latency{}, inTime{};
  double mean(const std::array<double, kCopies>& of) const {
    return std::accumulate(of.begin(), of.end(), 0.0) / copies;
  }
};

struct DayResult {
  bool whole = false;
  double jobs = 0, copies = 0;
  struct Told {
    std::array<double, kMeasures> truth{}, everywhere{}, logged{};
    std::array<hindsight::Answer, kMeasures> answer{};
    std::array<hindsight::Estimate, kMeasures> against{};
  };
  std::array<Told, kPolicies> policies{};
  std::array<std::array<hindsight::Estimate, kMeasures>, hindsight::kPairs> pairs{};
};

pid_t waitFor(pid_t child) {
  int status = 0;
  while (::waitpid(child, &status, 0) < 0 && errno == EINTR) {
  }
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) throw std::runtime_error("a copy of a day broke");
  return child;
}

DayResult playDay(std::uint64_t seed) {
  DayTerms terms;
  terms.seed = seed;
  terms.kind = static_cast<DayKind>(seed % kDayKinds);
  Replay day(terms);
  const std::size_t most = day.outcomes().size();
  Shared<Copied> copied(most * kPolicies);
  DayResult result;
  bool copy = false;
  std::size_t mine = 0, cell = 0;
  std::vector<pid_t> running;
  std::vector<std::size_t> from(most * kPolicies);  // the cell that holds a cell's copies
  for (std::size_t each = 0; each < from.size(); ++each) from[each] = each;
  std::vector<std::pair<const Engine*, std::size_t>> sureOf;  // of the job at hand
  std::size_t last = most;
  const auto reap = [&](std::size_t left) {
    for (; running.size() > left; running.erase(running.begin())) waitFor(running.front());
  };
  day.forkAt([&](std::size_t job, Policy policy, const Engine* sure) -> unsigned {
    if (std::exchange(last, job) != job) sureOf.clear();
    cell = job * kPolicies + static_cast<std::size_t>(policy);
    for (const auto& [engine, known] : sureOf)
      if (engine == sure) return from[cell] = known, 0;
    if (sure) sureOf.emplace_back(sure, cell);
    const unsigned copies = sure || policy == Policy::noChanceStart ? 1 : kCopies;
    for (unsigned each = 1; each <= copies; ++each) {
      reap(kAtOnce - 1);
      const pid_t child = ::fork();
      if (child < 0) throw std::runtime_error("no process for a copy of a day");
      if (child == 0) {
        copy = true, mine = job;
        return each;
      }
      running.push_back(child);
      ++result.copies;
    }
    return 0;
  });
  day.run([&](std::size_t job, double latency, bool inTime) {
    if (!copy || job != mine) return;
    Copied& into = copied[cell];
    const std::size_t each = into.copies.fetch_add(1);
    into.latency[each] = latency, into.inTime[each] = inTime ? 1 : 0;
    ::_exit(0);
  });
  if (copy) ::_exit(1);
  reap(0);
  const auto records = day.recorder().records(day.now());
  const hindsight::Summary summary = hindsight::summarise(records);
  const hindsight::ClassSums sums = hindsight::all(summary);
  const bool explained = hindsight::explained(summary.pooled, summary.checks);
  result.jobs = sums.jobs;
  // Jobs of which there is no record never came to a draw: the policies have no say in them.
  std::array<double, kMeasures> apart{};
  for (std::size_t policy = 0; policy < kPolicies; ++policy) {
    DayResult::Told& told = result.policies[policy];
    DayTerms forced = terms;
    forced.forced = static_cast<Policy>(policy);
    Replay whole(forced);
    whole.run();
    std::array<double, kMeasures> all{}, everywhere{};
    for (std::size_t job = 0; job < most; ++job) {
      const Copied& alone = copied[from[job * kPolicies + policy]];
      const Replay::Outcome& logged = day.outcomes()[job];
      all[0] += alone.copies > 0 ? alone.mean(alone.inTime) : logged.inTime;
      all[1] += alone.copies > 0 ? alone.mean(alone.latency) : logged.latency;
      if (policy == 0) apart[0] += logged.inTime, apart[1] += logged.latency;
      everywhere[0] += whole.outcomes()[job].inTime, everywhere[1] += whole.outcomes()[job].latency;
    }
    for (std::size_t measure = 0; measure < kMeasures; ++measure) {
      const double none = apart[measure] - sums.logged[measure];
      told.truth[measure] = (all[measure] - none) / result.jobs;
      told.everywhere[measure] = (everywhere[measure] - none) / result.jobs;
      told.logged[measure] = sums.logged[measure] / result.jobs;
      const auto as = static_cast<Measure>(measure);
      told.answer[measure] = judge(sums, static_cast<Policy>(policy), as, explained);
      told.against[measure] = against(sums, static_cast<Policy>(policy), as, explained);
      for (std::size_t second = policy + 1; second < kPolicies; ++second)
        result.pairs[pairOf(static_cast<Policy>(policy), static_cast<Policy>(second))][measure] =
            compare(sums, static_cast<Policy>(policy), static_cast<Policy>(second), as, explained);
    }
  }
  result.whole = true;
  return result;
}

const char* kMethodNames[] = {"weighted", "self-normalised", "direct", "doubly robust"};

}  // namespace

// Exit 0: 200 pairs told of, coverage of the doubly robust 90 % intervals within 85 to 95 %, the better of
// two named right in nine of ten, its error below the others' (fewer pairs: only the last two).
int measureHindsight(unsigned days, unsigned workers, std::uint64_t seed) {
  Shared<DayResult> results(days);
  std::vector<pid_t> working;
  for (unsigned worker = 0; worker < workers; ++worker) {
    const pid_t child = ::fork();
    if (child < 0) throw std::runtime_error("no process for a worker");
    if (child > 0) {
      working.push_back(child);
      continue;
    }
    try {
      for (unsigned day = worker; day < days; day += workers) results[day] = playDay(seed + day);
    } catch (const std::exception& error) {
      std::fprintf(stderr, "paddletrack_rig: %s\n", error.what());
      ::_exit(1);
    }
    ::_exit(0);
  }
  for (const pid_t each : working) waitFor(each);
  std::printf("%-10s %5s %6s %7s  %s\n", "day", "seed", "jobs", "copies",
              "in time, seconds; a policy's reach, truth less what happened, estimate less truth");
  for (unsigned day = 0; day < days; ++day) {
    const DayResult& result = results[day];
    std::printf("%-10s %5llu %6.0f %7.0f  %.3f %.3f;", nameOf(static_cast<DayKind>((seed + day) % kDayKinds)),
                static_cast<unsigned long long>(seed + day), result.jobs, result.copies,
                result.policies[0].logged[0], result.policies[0].logged[1]);
    for (const auto& told : result.policies)
      std::printf(" %2.0f%% %+.4f%+.4f %+.3f%+.3f%c", told.answer[0].reach * 100,
                  told.truth[0] - told.logged[0], told.answer[0].best().value - told.truth[0],
                  told.truth[1] - told.logged[1], told.answer[1].best().value - told.truth[1],
                  told.answer[1].best().told() ? ' ' : '-');
    std::printf("\n");
  }
  bool good = true;
  for (std::size_t measure = 0; measure < kMeasures; ++measure) {
    std::printf("\n%s\n%-16s %6s %8s %10s %12s\n", measure == 0 ? "share in time" : "latency, seconds", "",
                "pairs", "covered", "mean error", "mean width");
    std::array<double, kMethods> errors{};
    double pairs = 0, covered = 0;
    for (std::size_t method = 0; method < kMethods; ++method) {
      double told = 0, within = 0, width = 0, everywhere = 0, apart = 0, moved = 0;
      std::map<Verdict, int> verdicts;
      for (unsigned day = 0; day < days; ++day)
        for (const auto& each : results[day].policies) {
          const hindsight::Estimate& estimate = each.answer[measure].by[method];
          ++verdicts[estimate.verdict];
          if (!estimate.told()) continue;
          told += 1;
          within += each.truth[measure] >= estimate.low && each.truth[measure] <= estimate.high;
          everywhere += each.everywhere[measure] >= estimate.low && each.everywhere[measure] <= estimate.high;
          errors[method] += std::abs(each.truth[measure] - estimate.value);
          moved += std::abs(each.truth[measure] - each.logged[measure]);
          apart += std::abs(each.truth[measure] - each.everywhere[measure]);
          width += estimate.high - estimate.low;
        }
      const double whole = std::max(told, 1.0);
      std::printf("%-16s %6.0f %7.1f%% %10.5f %12.5f\n", kMethodNames[method], told, 100 * within / whole,
                  errors[method] / whole, width / whole);
      if (static_cast<hindsight::Method>(method) != hindsight::Method::doublyRobust) continue;
      pairs = told, covered = within / whole;
      std::printf(
          "forced on all jobs of the day: covered %.1f%%, %.5f from what it does one job at a time; "
          "that is %.5f from what happened\n",
          100 * everywhere / whole, apart / whole, moved / whole);
      for (const auto& [verdict, count] : verdicts) std::printf("  %d %s\n", count, wordsOf(verdict));
      for (std::size_t policy = 0; policy < kPolicies; ++policy) {
        double of = 0, in = 0, bias = 0;
        for (unsigned day = 0; day < days; ++day) {
          const auto& each = results[day].policies[policy];
          const hindsight::Estimate& estimate = each.answer[measure].best();
          if (!estimate.told()) continue;
          of += 1, in += each.truth[measure] >= estimate.low && each.truth[measure] <= estimate.high;
          bias += estimate.value - each.truth[measure];
        }
        std::printf("  %s: %.0f told, %.0f covered, mean of estimate less truth %+.5f\n",
                    nameOf(static_cast<Policy>(policy)), of, in, bias / std::max(of, 1.0));
      }
    }
    double named = 0, right = 0, asked = 0;
    for (unsigned day = 0; day < days; ++day) {
      const DayResult& result = results[day];
      for (std::size_t first = 0; first < kPolicies; ++first) {
        const auto& one = result.policies[first];
        const auto count = [&](const hindsight::Estimate& estimate, double truth) {
          asked += 1;
          if (!estimate.told()) return;
          named += 1;
          right += estimate.value * truth > 0;
        };
        count(one.against[measure], one.truth[measure] - one.logged[measure]);
        for (std::size_t second = first + 1; second < kPolicies; ++second)
          count(result.pairs[pairOf(static_cast<Policy>(first), static_cast<Policy>(second))][measure],
                one.truth[measure] - result.policies[second].truth[measure]);
      }
    }
    std::printf("the better of two: asked %.0f times, named %.0f times, right in %.1f%%\n", asked, named,
                100 * right / std::max(named, 1.0));
    good = good && right >= 0.9 * named && (pairs < 200 || (covered >= 0.85 && covered <= 0.95));
    good = good && errors[3] < errors[0] && errors[3] < errors[2];
  }
  return good ? 0 : 1;
}

}  // namespace paddletrack::rig
