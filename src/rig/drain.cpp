// Two measurements of one drain: how long past what it had to wait for it is told as drained, and whether the
// figures on its progress lines are those of the books outside.
#include <cstdio>

#include "rig/rig.hpp"
#include "standin/vandals.hpp"

namespace paddletrack::rig {
namespace {

using standin::Load;

constexpr auto kShort = 600ms;  // deadline of every second round
constexpr auto kAllow = 50.0;   // ms at the 99th percentile

struct Row {
  double perSecond;
  std::size_t reports;
  bool vandals;
};

bool row(const std::string& program, const Row& row, unsigned rounds, int net) {
  Loop loop;
  standin::SiteTerms terms;
  terms.program = program;
  terms.net = net;
  terms.cores = 256;
  terms.notice = "100ms";
  standin::Site site(loop, loop.unsent, terms);
  Load load(loop, loop.unsent, site.fronts(), 5);
  load.beats(20ms);
  if (!loop.until([&] { return load.inService(0); }, 5s))
    throw std::runtime_error("the controller does not serve");
  Operator operators(loop, site.door(0));
  operators.ask({{"do", "watch"}, {"every_ms", 100}});
  std::optional<standin::Vandals> vandals;
  if (row.vandals) vandals.emplace(loop, loop.unsent, site.fronts()[0], 60);
  load.begin(row.perSecond, {standin::Site::lookUps(), {"report", "acme", 0, 300ms, 1500ms, 30s}});
  std::vector<double> own, byDeadline;
  std::uint64_t ended = 0;
  for (unsigned round = 0; round < rounds; ++round) {
    loop.pass(150ms);
    const std::size_t first = load.jobs().size();
    for (std::size_t each = 0; each < row.reports; ++each) load.send(1, 0);
    loop.pass(30ms);
    const bool cut = round % 2 == 1;
    const transport::Moment asked = loop.now();
    const Json answer = operators.ask({{"do", "drain"}, {"deadline_ms", cut ? kShort.count() : 20000}});
    if (answer.is_null() || answer["ok"] != true || !operators.reaches("drained", 30s))
      throw std::runtime_error("it did not drain: " + answer.dump());
    const transport::Moment drained = operators.since();
    // The last job that it had taken, and when that had its answer.
    transport::Moment last = asked;
    for (std::size_t each = first; each < load.jobs().size(); ++each)
      if (load.jobs()[each].ended <= drained) last = std::max(last, load.jobs()[each].ended);
    if (cut && last >= asked + kShort - 5ms) {
      byDeadline.push_back(milliseconds(drained - asked - kShort));
      ++ended;
    } else {
      own.push_back(milliseconds(drained - last));
    }
    operators.ask({{"do", "cancel"}});
    loop.until([&] { return load.inService(0); }, 2s);
  }
  load.end();
  loop.until([&] { return load.books().open == 0; }, 35s);
  const Load::Books& books = load.books();
  const bool well = books.lost == 0 && books.doubled == 0 && books.unasked == 0 && site.ranTwice() == 0 &&
                    quantile(own, 0.99) < kAllow && quantile(byDeadline, 0.99) < kAllow;
  std::printf("%8.0f %8zu %8s %8u %10.1f %10.1f %12.1f %12.1f %9llu %6llu %8llu %s\n", row.perSecond,
              row.reports, row.vandals ? "60" : "-", rounds, quantile(own, 0.5), quantile(own, 0.99),
              quantile(byDeadline, 0.5), quantile(byDeadline, 0.99),
              static_cast<unsigned long long>(books.sent), static_cast<unsigned long long>(books.lost),
              static_cast<unsigned long long>(books.doubled), well ? "" : " NOT AS IT SHOULD BE");
  std::fflush(stdout);
  return well;
}

// Lines of progress while 120 reports end one by one, each against the books of the load and the executors. A
// line is compared where nothing outside changed for some ms around it: an answer on its way is seen at
// different instants by the three.
bool books(const std::string& program) {
  constexpr auto kStill = 4ms;
  Loop loop;
  standin::SiteTerms terms;
  terms.program = program;
  terms.net = 69;
  terms.cores = 256;
  terms.notice = "100ms";
  standin::Site site(loop, loop.unsent, terms);
  Load load(loop, loop.unsent, site.fronts(), 6);
  if (!loop.until([&] { return load.inService(0); }, 5s))
    throw std::runtime_error("the controller does not serve");
  load.beats(20s);  // an answer to one is bytes unsent too, for an instant
  loop.pass(200ms);
  struct Line {
    transport::Moment at;
    Json open;
    std::size_t jobs, dispatches;
  };
  std::vector<Line> lines;
  Operator operators(loop, site.door(0));
  operators.progress = [&](const Json& status) {
    lines.push_back({loop.now(), status["open"], load.openAt(0), site.openAtExecutors()});
  };
  load.begin(0, {{"report", "acme", 0, 300ms, 6000ms, 30s}, {"load", "acme", 0, 300ms, 6000ms, 30s}});
  for (std::size_t each = 0; each < 120; ++each) load.send(each % 2, 0);
  loop.pass(100ms);
  operators.ask({{"do", "drain"}, {"deadline_ms", 20000}});
  operators.ask({{"do", "watch"}, {"every_ms", 20}});
  loop.until([&] { return load.books().open == 0; }, 20s);
  loop.pass(100ms);
  std::size_t compared = 0, wrong = 0;
  for (const Line& each : lines) {
    const auto moved = [&](const Load::Job& job) { return std::chrono::abs(job.ended - each.at) < kStill; };
    if (std::any_of(load.jobs().begin(), load.jobs().end(), moved)) continue;
    ++compared;
    const bool same =
        each.open["jobs"] == each.jobs && each.open["dispatches"] == each.dispatches &&
        each.open["bytes_unsent"] == 0 &&
        each.open["by_type"]["report"].get<std::size_t>() + each.open["by_type"]["load"].get<std::size_t>() ==
            each.jobs;
    if (!same) ++wrong;
  }
  std::printf("\nprogress lines %zu, compared with the outside books %zu, wrong %zu%s\n", lines.size(),
              compared, wrong, wrong == 0 && compared > 50 ? "" : "  NOT AS IT SHOULD BE");
  return wrong == 0 && compared > 50;
}

}  // namespace

int measureDrain(const std::string& program, unsigned rounds) {
  std::printf(
      "ms from what the drain had to wait for (the last job's own end, or the deadline of %lld ms in every "
      "second\n"
      "round) to its being told as drained; long reports take 300 to 1500 ms at stand-in executors\n\n",
      static_cast<long long>(kShort.count()));
  std::printf("%8s %8s %8s %8s %10s %10s %12s %12s %9s %6s %8s\n", "jobs/s", "reports", "vandals", "drains",
              "own p50", "own p99", "deadline p50", "deadline p99", "jobs", "lost", "doubled");
  bool well = true;
  int net = 62;
  for (const Row& each : {Row{200, 1, false},
                          {200, 10, false},
                          {200, 100, false},
                          {2000, 1, false},
                          {2000, 10, false},
                          {2000, 100, false},
                          {2000, 10, true}})
    well = row(program, each, rounds, net++) && well;
  well = books(program) && well;
  return well ? 0 : 1;
}

}  // namespace paddletrack::rig
