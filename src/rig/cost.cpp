// What the door costs: instructions a request under callgrind, and memory, of the program with the door open
// and idle, without one, and of an earlier build.
#include <csignal>
#include <cstdio>

#include "rig/rig.hpp"

namespace paddletrack::rig {
namespace {

using standin::Load;

constexpr std::size_t kFew = 300, kMany = 2300;  // requests; the start costs the same in both

struct Variant {
  std::string name, program;
  bool door;
};

void play(Loop& loop, Load& load, std::size_t jobs) {
  load.begin(0, {{"look-up", "acme", 1, 1ms, 1ms, 20s}});
  for (std::size_t each = 0; each < jobs; ++each) {
    load.send(0, 0);
    loop.until([&] { return load.books().open == 0; }, 20s);
  }
}

double instructions(const Variant& variant, std::size_t jobs) {
  Loop loop;
  standin::SiteTerms terms;
  terms.program = variant.program;
  terms.net = 71;
  terms.doors = variant.door;
  const standin::Folder folder;
  const std::string out = folder.path() + "/callgrind";
  terms.before = {"/usr/bin/valgrind", "-q", "--tool=callgrind", "--callgrind-out-file=" + out};
  standin::Site site(loop, loop.unsent, terms);
  Load load(loop, loop.unsent, site.fronts(), 9);
  load.beats(1000ms);
  if (!loop.until([&] { return load.inService(0); }, 30s))
    throw std::runtime_error(variant.name + " does not serve under callgrind");
  play(loop, load, jobs);
  if (load.books().answers[0] != jobs) throw std::runtime_error(variant.name + ": not all jobs were done");
  site.controller(0).signal(SIGTERM);
  loop.until([&] { return site.controller(0).ended().has_value(); }, 30s);
  std::ifstream file(out);
  for (std::string line; std::getline(file, line);)
    if (line.starts_with("totals: ") || line.starts_with("summary: "))
      return std::stod(line.substr(line.find(' ') + 1));
  throw std::runtime_error("callgrind told no sum (is valgrind there?)");
}

std::pair<double, double> memory(const Variant& variant) {
  Loop loop;
  standin::SiteTerms terms;
  terms.program = variant.program;
  terms.net = 72;
  terms.doors = variant.door;
  standin::Site site(loop, loop.unsent, terms);
  Load load(loop, loop.unsent, site.fronts(), 9);
  if (!loop.until([&] { return load.inService(0); }, 5s))
    throw std::runtime_error(variant.name + " does not serve");
  play(loop, load, 2000);
  const Resident read = resident(site.controller(0).id());
  return {read.all, read.own};
}

}  // namespace

int measureCost(const std::string& program, const std::string& before) {
  std::vector<Variant> variants;
  if (!before.empty()) variants.push_back({"before", before, false});
  variants.push_back({"door off", program, false});
  variants.push_back({"door idle", program, true});
  std::printf("%-12s %16s %10s %12s %12s\n", "", "instructions/job", "ratio", "resident MB", "own MB");
  double first = 0;
  for (const Variant& each : variants) {
    const double job =
        (instructions(each, kMany) - instructions(each, kFew)) / static_cast<double>(kMany - kFew);
    const auto [all, own] = memory(each);
    if (first <= 0) first = job;
    std::printf("%-12s %16.0f %10.4f %12.2f %12.2f\n", each.name.c_str(), job, job / first, all, own);
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace paddletrack::rig
