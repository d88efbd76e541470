#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>

#include "rig/fleets.hpp"
#include "rig/rig.hpp"
#ifdef PADDLETRACK_EXACT
#include "rig/exact.hpp"
#endif

namespace paddletrack::rig {
namespace {

using namespace rebalance;

double elapsed(transport::Clock::time_point since) { return milliseconds(transport::Clock::now() - since); }

#ifdef PADDLETRACK_EXACT
bool exact(unsigned fleets) {
  unsigned feasible = 0, missed = 0, proven = 0, unknown = 0, within = 0, over = 0, relaxed = 0;
  double gaps = 0, worst = 0, least = 0, all = 0, planned = 0, solved = 0;
  Bytes detours = 0;
  for (unsigned seed = 1; seed <= fleets; ++seed) {
    const View view = randomFleet(seed);
    const Terms terms;
    auto since = transport::Clock::now();
    const auto best = leastBytes(view, terms);
    solved += elapsed(since);
    since = transport::Clock::now();
    const Plan made = plan(view, terms);
    planned += elapsed(since);
    const bool whole = made.whole();
    if (!best) {
      ++relaxed;
      if (whole) ++over;  // it can't be
      continue;
    }
    ++feasible;
    if (!whole) {
      const auto any = anyOrder(view, terms, 300'000);
      if (any && !*any) {
        ++proven;
      } else {
        any ? ++missed : ++unknown;
        std::printf("seed %u: balanced %d, homeless %zu, put off %zu: %s\n", seed, made.balanced,
                    made.homeless, made.putOff, any ? "an order exists" : "too many states to tell");
      }
      continue;
    }
    const double gap =
        static_cast<double>(made.bytes - *best) / static_cast<double>(std::max<Bytes>(1, *best));
    if (made.bytes < *best) ++over;
    if (made.bytes == *best) ++within;
    gaps += gap, worst = std::max(worst, gap);
    least += static_cast<double>(*best), all += static_cast<double>(made.bytes), detours += made.detours;
  }
  const unsigned compared = feasible - missed - proven - unknown;
  std::printf("%u random fleets of 3 to 6 engines and 4 to 12 groups; homes within the bound exist in %u\n",
              fleets, feasible);
  std::printf("whole plans %u; no order of moves exists %u (proven by all states), missed %u, not known %u\n",
              compared, proven, missed, unknown);
  std::printf(
      "bytes over the least: mean of fleets %.2f %%, of all bytes %.2f %%, worst fleet %.0f %%; equal in %u; "
      "below the least or whole where none is: %u\n",
      100 * gaps / std::max(1U, compared), 100 * (all / std::max(1.0, least) - 1), 100 * worst, within, over);
  std::printf("bytes of detours %lld of %.0f; mean time: plan %.3f ms, GLPK %.3f ms\n\n",
              static_cast<long long>(detours), all, planned / fleets, solved / fleets);
  return missed == 0 && unknown == 0 && over == 0 && gaps / std::max(1U, compared) <= 0.05;
}
#endif

// The most that this process ever had resident, in MB.
double peak() {
  std::ifstream file("/proc/self/status");
  for (std::string line, key; std::getline(file, line);) {
    double value = 0;
    if (std::istringstream words(line); words >> key >> value && key == "VmHWM:") return value / 1024;
  }
  return 0;
}

// From below: what is forced, and what each engine over the bound has to give away if groups could be cut.
Bytes fromBelow(const View& view, Bytes forced) {
  const Best best(view);
  double least = 0;
  for (std::uint32_t engine = 0; engine < view.engines.size(); ++engine) {
    if (view.engines[engine].standing != Standing::ready) continue;
    std::vector<std::pair<double, double>> groups;  // bytes for each unit of load, load
    double load = 0;
    for (const GroupView& group : view.groups) {
      if (!std::binary_search(group.holders.begin(), group.holders.end(), engine)) continue;
      const auto part = static_cast<double>(partOf(group, group.copies));
      groups.emplace_back(static_cast<double>(group.size) / part, part);
      load += part;
    }
    double over = load - static_cast<double>(best.limit(view.engines[engine], Terms{}.bound));
    std::sort(groups.begin(), groups.end());
    for (const auto& [bytes, part] : groups) {
      if (over <= 0) break;
      least += bytes * std::min(over, part);
      over -= part;
    }
  }
  return forced + static_cast<Bytes>(least);
}

// One row, in a process of its own for its memory.
bool grown(int engines, int groups) {
  std::fflush(stdout);
  const pid_t child = ::fork();
  if (child == 0) {
    const View view = largeFleet(7, engines, groups);
    const double before = peak();
    const auto since = transport::Clock::now();
    const Plan made = plan(view, {});
    const double took = elapsed(since), memory = peak() - before;
    const double least = static_cast<double>(fromBelow(view, made.forced));
    std::printf("%8d %8d %9.1f %10.1f %7zu %9.2f %9.2f %10.2f %8.2f %9zu %8s\n", engines, groups, took,
                memory, made.moves.size(), static_cast<double>(made.bytes) / 1e9,
                static_cast<double>(made.forced) / 1e9, least / 1e9,
                100 * (static_cast<double>(made.bytes) / least - 1),
                made.putOff + made.homeless + made.overfull, made.balanced ? "yes" : "no");
    std::fflush(stdout);
    ::_exit(made.whole() && took < 1000 ? 0 : 1);
  }
  int status = 1;
  ::waitpid(child, &status, 0);
  return status == 0;
}

bool growth() {
  std::printf("%8s %8s %9s %10s %7s %9s %9s %10s %8s %9s %8s\n", "engines", "groups", "plan ms", "memory MB",
              "moves", "GB", "forced", "from below", "over %", "left out", "balanced");
  bool well = true;
  for (const auto& [engines, groups] : {std::pair{10, 100},
                                        {30, 300},
                                        {100, 1000},
                                        {300, 3000},
                                        {1000, 10000},
                                        {1000, 30000},
                                        {3000, 30000}}) {
    const bool good = grown(engines, groups);
    if (engines == 1000 && groups == 10000) well = good;
  }
  std::printf("\n");
  return well;
}

}  // namespace

int measureRebalance(unsigned fleets) {
  bool well = true;
#ifdef PADDLETRACK_EXACT
  well = exact(fleets) && well;
#else
  std::printf("built without GLPK: no comparison of %u fleets with the least\n", fleets);
#endif
  well = growth() && well;
  return well ? 0 : 1;
}

}  // namespace paddletrack::rig
