// Data read again and jobs in time over a drain and a join of three in ten engines, with and without plans.
#include <unistd.h>

#include <cstdio>

#include "rig/rig.hpp"

namespace paddletrack::rig {
namespace {

constexpr unsigned kEngines = 10, kFresh = 3, kControllers = 3, kGroups = 60;
constexpr std::uint64_t kGroupBytes = 64 << 20;

struct Taken {
  double readAgain = 0, inTime = 0;  // GB, share
  std::uint64_t jobs = 0, lost = 0, doubled = 0, done = 0, ranTwice = 0;
  std::uint64_t moves = 0;  // plans told in a log
};

Taken play(const std::string& program, bool on, int net, double perSecond, std::chrono::milliseconds phase) {
  Loop loop;
  standin::SiteTerms terms;
  terms.program = program, terms.net = net;
  terms.executors = kEngines + kFresh, terms.controllers = kControllers;
  terms.listed = [](standin::ChangeLog::Server& said, unsigned executor, const std::string&) {
    if (executor >= kEngines) said.state = "left";
  };
  std::vector<std::string> peers;
  for (unsigned each = 0; each < kControllers; ++each)
    peers.push_back("127.0." + std::to_string(net) + "." + std::to_string(200 + each) + ":19446");
  terms.operatorsFileOf = [=](unsigned which) {
    if (!on) return std::string();
    std::string list;
    for (const std::string& each : peers) list += (list.empty() ? "\"" : ", \"") + each + "\"";
    return "share {\n  listen = \"" + peers[which] + "\"\n  peers = [" + list +
           "]\n  period = \"100ms\"\n}\nrebalance {\n  capacity = \"" +
           std::to_string(10 * (kGroupBytes >> 20)) + "MiB\"\n  group = \"" +
           std::to_string(kGroupBytes >> 20) + "MiB\"\n  period = \"4s\"\n  guard = \"200ms\"\n}\n";
  };
  standin::Site site(loop, loop.unsent, terms);
  for (unsigned each = 0; each < terms.executors; ++each)
    site.executor(each).keepWarm({10, kGroupBytes, std::chrono::milliseconds(120)});
  standin::Load load(loop, loop.unsent, site.fronts(), 5);
  std::vector<standin::Load::Kind> kinds;
  for (unsigned group = 1; group <= kGroups; ++group) {
    standin::Load::Kind kind = standin::Site::lookUps(1.0 / (5 + group));
    kind.group = group;
    kinds.push_back(kind);
  }
  loop.until([&] {
    for (unsigned each = 0; each < kControllers; ++each)
      if (!load.inService(each)) return false;
    return true;
  });
  load.begin(perSecond, kinds);
  loop.pass(3 * phase);
  const auto bytes = [&] {
    std::uint64_t sum = 0;
    for (unsigned each = 0; each < terms.executors; ++each) sum += site.executor(each).bytesRead();
    return sum;
  };
  const std::uint64_t before = bytes();
  const std::size_t first = load.jobs().size();
  const auto tell = [&](unsigned executor, const std::string& state, std::int64_t started) {
    standin::ChangeLog::Server said;
    said.id = "s-" + std::to_string(executor + 1);
    said.address = "127.0." + std::to_string(net) + "." + std::to_string(1 + executor) + ":18443";
    said.state = state, said.startedMs = started;
    return said;
  };
  const auto now = [] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  };
  std::vector<standin::ChangeLog::Server> said;
  for (unsigned each = 0; each < kFresh; ++each) said.push_back(tell(each, "leaving", 0));
  site.changeLog().tell(said);
  loop.pass(2 * phase);
  said.clear();
  for (unsigned each = 0; each < kFresh; ++each) {
    said.push_back(tell(each, "left", 0));
    said.push_back(tell(kEngines + each, "active", now()));
  }
  site.changeLog().tell(said);
  loop.pass(2 * phase);
  Taken taken;
  taken.readAgain = static_cast<double>(bytes() - before) / 1e9;
  load.end();
  loop.until([&] { return load.books().open == 0; }, 5s);
  std::uint64_t inTime = 0;
  for (std::size_t each = first; each < load.jobs().size(); ++each) {
    const standin::Load::Job& job = load.jobs()[each];
    ++taken.jobs;
    const bool done = job.what == standin::Heard::What::done;
    taken.done += done ? 1 : 0;
    inTime += done && job.ended - job.sent <= 600ms ? 1 : 0;
  }
  taken.inTime = static_cast<double>(inTime) / static_cast<double>(std::max<std::uint64_t>(1, taken.jobs));
  taken.lost = load.books().lost, taken.doubled = load.books().doubled, taken.ranTwice = site.ranTwice();
  std::ifstream log(site.log(0));
  for (std::string line; std::getline(log, line);) {
    taken.moves += line.find("moves") != std::string::npos ? 1 : 0;
    if (std::getenv("PADDLETRACK_SHOW") && line.find("rebalance") != std::string::npos)
      std::puts(line.c_str());
  }
  return taken;
}

}  // namespace

int measureWhere(const std::string& program, unsigned rounds, double perSecond, unsigned phaseSeconds) {
  std::printf(
      "%u controllers, %u engines of which %u drain and %u new ones join, %u groups of 64 MiB, 10 kept "
      "warm\n",
      kControllers, kEngines, kFresh, kFresh, kGroups);
  std::printf("%-6s %10s %10s %8s %8s %6s %8s %10s %7s\n", "plans", "GB again", "in time", "jobs", "done",
              "lost", "doubled", "ran twice", "told");
  double off = 0, with = 0, timeOff = 0, timeWith = 0;
  bool well = true;
  for (unsigned round = 0; round < rounds; ++round)
    for (const bool on : {false, true}) {
      const Taken taken = play(program, on, 90 + static_cast<int>(2 * round + (on ? 1 : 0)) % 20, perSecond,
                               std::chrono::seconds(phaseSeconds));
      std::printf("%-6s %10.2f %10.4f %8llu %8llu %6llu %8llu %10llu %7llu\n", on ? "on" : "off",
                  taken.readAgain, taken.inTime, static_cast<unsigned long long>(taken.jobs),
                  static_cast<unsigned long long>(taken.done), static_cast<unsigned long long>(taken.lost),
                  static_cast<unsigned long long>(taken.doubled),
                  static_cast<unsigned long long>(taken.ranTwice),
                  static_cast<unsigned long long>(taken.moves));
      std::fflush(stdout);
      (on ? with : off) += taken.readAgain;
      (on ? timeWith : timeOff) += taken.inTime;
      well = well && taken.lost == 0 && taken.doubled == 0;
    }
  std::printf("read again with plans: %.2f of what it is without; in time %+.4f\n",
              with / std::max(off, 1e-9), (timeWith - timeOff) / rounds);
  return well && with <= off / 2 && timeWith >= timeOff - 0.001 * rounds ? 0 : 1;
}

}  // namespace paddletrack::rig
