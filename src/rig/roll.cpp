// A rolling drain of three controllers under load, against the same load left alone.
#include <cstdio>

#include "rig/rig.hpp"

namespace paddletrack::rig {
namespace {

using standin::Heard;
using standin::Load;

struct Part {
  std::size_t jobs = 0, done = 0, throttled = 0, other = 0;
  std::vector<double> times;
};

Part between(const Load& load, transport::Moment from, transport::Moment to) {
  Part part;
  for (const Load::Job& job : load.jobs()) {
    if (job.sent < from || job.sent >= to) continue;
    ++part.jobs;
    if (job.what == Heard::What::done) {
      ++part.done;
      part.times.push_back(milliseconds(job.ended - job.sent));
    } else {
      job.what == Heard::What::throttled ? ++part.throttled : ++part.other;
    }
  }
  return part;
}

}  // namespace

int measureRoll(const std::string& program, double perSecond) {
  Loop loop;
  standin::SiteTerms terms;
  terms.program = program;
  terms.net = 70;
  terms.controllers = 3;
  terms.cores = 64;
  terms.notice = "300ms";
  standin::Site site(loop, loop.unsent, terms);
  Load load(loop, loop.unsent, site.fronts(), 8);
  load.beats(100ms);
  if (!loop.until([&] { return load.inService(0) && load.inService(1) && load.inService(2); }, 5s))
    throw std::runtime_error("the controllers do not serve");
  load.begin(perSecond, {standin::Site::lookUps(90), {"report", "acme", 10, 200ms, 2000ms, 20s}});
  loop.pass(2s);
  const transport::Moment alone = loop.now();
  loop.pass(10s);
  const transport::Moment rolling = loop.now();
  standin::Process roll(program, {"roll", "--deadline", "10s", site.door(0), site.door(1), site.door(2)},
                        site.folder() + "/roll");
  const bool ended = loop.until([&] { return roll.ended().has_value(); }, 60s);
  const transport::Moment over = loop.now();
  load.end();
  loop.until([&] { return load.books().open == 0; }, 25s);
  std::printf("%-10s %8s %8s %8s %10s %8s %8s %8s\n", "", "s", "jobs", "done", "throttled", "other", "p50 ms",
              "p99 ms");
  const auto print = [&](const char* name, transport::Moment from, transport::Moment to) {
    const Part part = between(load, from, to);
    const double all = static_cast<double>(std::max<std::size_t>(part.jobs, 1));
    std::printf("%-10s %8.1f %8zu %7.2f%% %9.2f%% %8zu %8.1f %8.1f\n", name, milliseconds(to - from) / 1000,
                part.jobs, 100 * static_cast<double>(part.done) / all,
                100 * static_cast<double>(part.throttled) / all, part.other, quantile(part.times, 0.5),
                quantile(part.times, 0.99));
  };
  print("alone", alone, rolling);
  print("rolling", rolling, over);
  const Load::Books& books = load.books();
  std::printf("lost %llu, doubled %llu, run twice %llu; the roll ended with %d\n",
              static_cast<unsigned long long>(books.lost), static_cast<unsigned long long>(books.doubled),
              static_cast<unsigned long long>(site.ranTwice()), ended ? *roll.ended() : -1);
  return ended && *roll.ended() == 0 && books.lost + books.doubled + books.unasked + site.ranTwice() == 0 ? 0
                                                                                                          : 1;
}

}  // namespace paddletrack::rig
