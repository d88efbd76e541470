// A long run of one controller under steady load, for the soak of the fleet's standing test: its resident
// memory sampled as it goes, so that a table, queue or pool that grows shows as a slope. Every job has a new
// reference; executors answer after a few milliseconds, reports after more. A command, not a test: it runs
// for minutes.
#include <cstdio>

#include "rig/rig.hpp"

namespace paddletrack::rig {

// Exit 0: the controller served throughout and its own memory at the end is within a tenth and 1 MB of what
// it was after the first quarter (the start's allocations are behind it by then).
int measureSoak(const std::string& program, double perSecond, double minutes) {
  Loop loop;
  standin::SiteTerms terms;
  terms.program = program;
  terms.net = 73;
  terms.doors = false;
  terms.memoryMb = 64;
  standin::Site site(loop, loop.unsent, terms);
  standin::Load load(loop, loop.unsent, site.fronts(), 11);
  if (!loop.until([&] { return load.inService(0); }, 5s))
    throw std::runtime_error("the controller does not serve");
  load.begin(perSecond, {standin::Site::lookUps(8), {"report", "acme", 1, 20ms, 120ms, 5s}});
  const auto whole =
      std::chrono::duration_cast<transport::Clock::duration>(std::chrono::duration<double>(minutes * 60));
  const auto every = whole / 20;
  std::printf("%8s %10s %10s %8s %12s %8s\n", "minute", "jobs", "done", "lost", "resident MB", "own MB");
  std::vector<Resident> seen;
  const transport::Moment begun = loop.now();
  for (int step = 1; step <= 20; ++step) {
    loop.until([] { return false; }, std::chrono::duration_cast<std::chrono::milliseconds>(every));
    if (site.controller(0).ended()) throw std::runtime_error("the controller ended");
    seen.push_back(resident(site.controller(0).id()));
    const auto& books = load.books();
    std::printf("%8.1f %10llu %10llu %8llu %12.2f %8.2f\n", milliseconds(loop.now() - begun) / 60000,
                static_cast<unsigned long long>(books.sent),
                static_cast<unsigned long long>(books.answers[0]),
                static_cast<unsigned long long>(books.lost), seen.back().all, seen.back().own);
    std::fflush(stdout);
  }
  load.end();
  const double quarter = seen[4].own, last = seen.back().own;
  std::printf("own memory after a quarter %.2f MB, at the end %.2f MB: %+.2f MB\n", quarter, last,
              last - quarter);
  return last <= quarter * 1.1 + 1 && load.books().lost == 0 ? 0 : 1;
}

}  // namespace paddletrack::rig
