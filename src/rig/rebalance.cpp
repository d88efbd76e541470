#include <malloc.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>

#include "rig/fleets.hpp"
#include "rig/many.hpp"
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
    ::malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << "5";  // the peak counts from now
    const double before = resident(::getpid()).all;
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

// Ways of keeping plans of different views apart, over the same stories of chance.
bool apart(unsigned stories) {
  std::printf("%u stories of 30 faults each, 9 controllers, 8 engines, 48 groups\n", stories);
  std::printf("%-34s %8s %8s %8s %10s %8s %10s\n", "way", "plans", "done", "copies", "bytes", "over",
              "unserved");
  bool well = true;
  struct Way {
    const char* name;
    bool agree;
    int parts, skew;
    bool safe;
  };
  for (const Way& way : {Way{"none", false, 1, 0, false},
                         {"halves", false, 2, 0, false},
                         {"agreement", true, 1, 0, true},
                         {"agreement, clocks 1 s off", true, 1, 1, true},
                         {"agreement, clocks 5 s off", true, 1, 5, false},
                         {"agreement, halves", true, 2, 0, true},
                         {"agreement, halves, clocks 5 s off", true, 2, 5, false}}) {
    Many::Books sum;
    for (unsigned seed = 1; seed <= stories; ++seed) {
      ManyTerms terms;
      terms.agree = way.agree, terms.parts = way.parts, terms.skew = way.skew, terms.seed = seed;
      const Many::Books books = story(terms, 30);
      sum.over += books.over, sum.begun += books.begun, sum.plans += books.plans, sum.done += books.done;
      sum.bytes += books.bytes, sum.unserved += books.unserved;
    }
    std::printf("%-34s %8u %8u %8u %10lld %8u %10u\n", way.name, sum.plans, sum.done, sum.begun,
                static_cast<long long>(sum.bytes), sum.over, sum.unserved);
    well = well && (!way.safe || sum.over == 0);
  }
  std::printf("\n");
  return well;
}

// Ten losses and joins in a row, reading up or down by a tenth in between; each plan is followed to its end.
struct Series {
  unsigned moves = 0, voluntary = 0,
           back = 0;  // back: both to an engine and away from it of a plan's own will
  Bytes bytes = 0, least = 0;
};
Series series(std::uint64_t seed, int act, bool rests, bool anew) {
  std::mt19937_64 dice(seed);
  View view;
  for (int each = 0; each < 10; ++each)
    view.engines.push_back({"s-" + std::to_string(100 + each), 3000, 3000, 8, Standing::ready, false, 0, 0});
  for (std::uint32_t each = 0; each < 100; ++each) {
    GroupView& group = view.groups.emplace_back();
    group.number = each + 1;
    group.size = 20 + static_cast<Bytes>(dice() % 200);
    group.rate = 100 + static_cast<std::int64_t>(dice() % 900);
  }
  view.engines[9].standing = view.engines[8].standing = Standing::gone;
  Series sum;
  std::map<std::pair<std::uint32_t, std::uint32_t>, bool> left;  // group, engine
  std::vector<int> movedAt(view.groups.size(), -100);
  for (int event = -1; event < 20; ++event) {
    if (event >= 0) {
      const std::size_t which = static_cast<std::size_t>(event / 2 * 3 % 10);
      EngineView& engine = view.engines[event % 2 == 0 ? which : (which + 3) % 10];
      const bool lose = event % 2 == 0 && engine.standing == Standing::ready;
      engine.standing = lose ? Standing::gone : Standing::ready;
      if (!lose) engine.cold = true;
      const auto place = static_cast<std::uint32_t>(&engine - view.engines.data());
      for (GroupView& group : view.groups) {
        std::erase(group.holders, place);
        group.rate = group.rate * static_cast<std::int64_t>(90 + dice() % 21) / 100;
      }
    }
    for (std::uint32_t each = 0; each < view.engines.size(); ++each) {
      view.engines[each].headroom = view.engines[each].capacity;
      for (const GroupView& group : view.groups)
        if (std::count(group.holders.begin(), group.holders.end(), each) > 0)
          view.engines[each].headroom -= group.size;
    }
    for (std::size_t each = 0; each < view.groups.size(); ++each)
      view.groups[each].resting = rests && event - movedAt[each] <= 3;
    View planned = view;
    if (anew)  // as if nothing were held anywhere: what a placement from nothing would do
      for (GroupView& group : planned.groups) group.holders.clear();
    for (EngineView& each : planned.engines)
      if (anew) each.headroom = each.capacity;
    Terms terms;
    terms.act = act;
    const Plan made = plan(planned, terms);
    const Bytes least = fromBelow(view, plan(view, terms).forced);
    if (event >= 0) sum.least += least;
    for (std::uint32_t group = 0; group < view.groups.size(); ++group) {
      GroupView& one = view.groups[group];
      if (made.homes[group].empty()) continue;
      for (const std::uint32_t home : made.homes[group]) {
        if (std::binary_search(one.holders.begin(), one.holders.end(), home)) continue;
        if (event < 0) continue;
        ++sum.moves, sum.bytes += one.size;
        const bool voluntary = !one.holders.empty();
        sum.voluntary += voluntary ? 1 : 0;
        sum.back += voluntary && left[{group, home}] ? 1 : 0;
        if (voluntary) left[{group, one.holders.front()}] = true, movedAt[group] = event;
      }
      one.holders = made.homes[group];
    }
  }
  return sum;
}

bool steady(unsigned rows) {
  std::printf(
      "ten losses and ten joins in turn, 10 engines, 100 groups, %u rows; bytes beyond what is forced and "
      "what\n"
      "takes engines back within the bound, from below\n",
      rows);
  std::printf("%-36s %8s %10s %12s %12s %8s\n", "rule", "moves", "voluntary", "bytes", "beyond %", "back");
  bool well = true;
  struct Rule {
    const char* name;
    int act;
    bool rests, anew;
  };
  for (const Rule& rule : {Rule{"placed anew each time", 25, false, true},
                           {"at the bound", 25, false, false},
                           {"acts at 40 %", 40, false, false},
                           {"acts at 40 %, moved groups rest", 40, true, false}}) {
    Series sum;
    for (unsigned seed = 1; seed <= rows; ++seed) {
      const Series one = series(seed, rule.act, rule.rests, rule.anew);
      sum.moves += one.moves, sum.voluntary += one.voluntary, sum.back += one.back;
      sum.bytes += one.bytes, sum.least += one.least;
    }
    std::printf(
        "%-36s %8u %10u %12lld %12.1f %8u\n", rule.name, sum.moves, sum.voluntary,
        static_cast<long long>(sum.bytes),
        100 * (static_cast<double>(sum.bytes) / static_cast<double>(std::max<Bytes>(1, sum.least)) - 1),
        sum.back);
    if (rule.rests) well = sum.back == 0;
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
  well = steady(50) && well;
  well = apart(20) && well;
  return well ? 0 : 1;
}

}  // namespace paddletrack::rig
