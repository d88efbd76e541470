#include <sys/ioctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>

#include "program/signals.hpp"
#include "rig/rig.hpp"

namespace paddletrack::rig {
namespace {

using standin::Heard;
using standin::Load;

// What a stretch of jobs came to.
struct Stretch {
  std::vector<double> times;
  std::size_t done = 0, throttled = 0, other = 0;
};

Stretch since(const Load& load, std::size_t controller, transport::Moment from) {
  Stretch made;
  const auto& jobs = load.jobs();
  for (std::size_t at = jobs.size(); at > 0 && jobs[at - 1].sent > from - 4s; --at) {
    const Load::Job& job = jobs[at - 1];
    if (job.controller != controller || job.ended < from) continue;
    if (job.what == Heard::What::done) {
      ++made.done;
      made.times.push_back(milliseconds(job.ended - job.sent));
    } else {
      job.what == Heard::What::throttled ? ++made.throttled : ++made.other;
    }
  }
  return made;
}

}  // namespace

int tryIt(const std::string& program, unsigned controllers, double perSecond, double seconds) {
  Loop loop;
  standin::SiteTerms terms;
  terms.program = program;
  terms.net = 61;
  terms.controllers = controllers;
  terms.notice = "800ms";
  standin::Site site(loop, loop.unsent, terms);
  Load load(loop, loop.unsent, site.fronts(), static_cast<std::uint64_t>(::getpid()));
  load.begin(
      perSecond,
      {standin::Site::lookUps(85), {"report", "acme", 14, 200ms, 3s, 30s}, {"load", "acme", 1, 1s, 4s, 30s}});

  bool over = false;
  program::Signals signals(loop);
  transport::Group running(loop, [](const char* what) { std::fprintf(stderr, "%s\n", what); });
  const auto heed = [&]() -> transport::Task<> {
    co_await signals.next();
    over = true;
    loop.stop();
  };
  running.spawn(heed());

  const bool terminal = ::isatty(STDOUT_FILENO) == 1;
  const auto every = terminal ? 500ms : 2000ms;
  const transport::Moment begin = loop.now();
  int code = 0;
  while (!over && milliseconds(loop.now() - begin) < seconds * 1000) {
    loop.pass(every);
    std::string page;
    char row[256];
    const auto put = [&](auto... values) {
      std::snprintf(row, sizeof row, values...);
      page += row;
    };
    put("%.0f s, %.0f jobs a second asked for; stand-in executors, all on loopback. Ctrl-C ends.\n\n",
        milliseconds(loop.now() - begin) / 1000, perSecond);
    put("%-12s %-8s %8s %8s %10s %8s %9s %9s\n", "controller", "front", "open", "done/s", "throttled/s",
        "other/s", "p50 ms", "p99 ms");
    for (unsigned each = 0; each < controllers; ++each) {
      if (const auto ended = site.controller(each).ended()) {
        put("c%-11u ended with %d\n", each + 1, *ended);
        if (!over && *ended != 0) code = 1;
        continue;
      }
      const Stretch last = since(load, each, loop.now() - 2s);
      put("c%-11u %-8s %8zu %8zu %10zu %8zu %9.1f %9.1f\n", each + 1, load.inService(each) ? "in" : "out",
          load.openAt(each), last.done / 2, last.throttled / 2, last.other / 2, quantile(last.times, 0.5),
          quantile(last.times, 0.99));
    }
    put("\n%-12s %8s %8s\n", "executor", "open", "ran");
    for (unsigned each = 0; each < terms.executors; ++each)
      put("s-%-10u %8zu %8llu\n", each + 1, site.executor(each).open(),
          static_cast<unsigned long long>(site.executor(each).ran()));
    const Load::Books& books = load.books();
    put("\nsent %llu, open %llu, lost %llu, doubled %llu, run twice %llu\n",
        static_cast<unsigned long long>(books.sent), static_cast<unsigned long long>(books.open),
        static_cast<unsigned long long>(books.lost), static_cast<unsigned long long>(books.doubled),
        static_cast<unsigned long long>(site.ranTwice()));
    page += "\nIn another terminal:\n";
    for (unsigned each = 0; each < controllers; ++each)
      page += "  " + program + " drain --watch -s " + site.door(each) + "\n";
    page += "  " + program + " drain --cancel -s " + site.door(0) + "\n  " + program + " roll";
    for (unsigned each = 0; each < controllers; ++each) page += " " + site.door(each);
    std::printf("%s%s\n", terminal ? "\x1b[H\x1b[J" : "", page.c_str());
    std::fflush(stdout);
  }
  // The end is a planned one: whatever is open is answered.
  load.end();
  for (unsigned each = 0; each < controllers; ++each)
    if (!site.controller(each).ended()) site.controller(each).signal(SIGTERM);
  loop.until(
      [&] {
        for (unsigned each = 0; each < controllers; ++each)
          if (!site.controller(each).ended()) return false;
        return true;
      },
      6s);
  const Load::Books& books = load.books();
  std::printf("ended: %llu jobs, %llu lost, %llu doubled\n", static_cast<unsigned long long>(books.sent),
              static_cast<unsigned long long>(books.lost), static_cast<unsigned long long>(books.doubled));
  return code != 0 || books.lost + books.doubled > 0 ? 1 : 0;
}

}  // namespace paddletrack::rig
