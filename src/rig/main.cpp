// Plays with controllers on loopback: something to look at, and the measurements behind the docs' figures.
// All executors and clients are stand-ins.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "program/signals.hpp"
#include "rig/rig.hpp"

using namespace paddletrack::rig;

int main(int argc, char** argv) {
  CLI::App app("Controllers, stand-in executors and a load, all on loopback.", "paddletrack_rig");
  app.require_subcommand(1);
  std::string program = argv[0];
  program = program.substr(0, program.rfind('/') + 1) + "paddletrack";
  app.add_option("--program", program, "the controller's program");
  unsigned controllers = 2, rounds = 20;
  double perSecond = 200, seconds = 600, rolled = 300;
  CLI::App* look = app.add_subcommand(
      "try", "a site under load, with a live table; until Ctrl-C, ten minutes if no other time is given");
  look->add_option("--controllers", controllers)->check(CLI::Range(1, 8));
  look->add_option("--rate", perSecond, "jobs a second")->check(CLI::Range(1.0, 1000.0));
  look->add_option("--seconds", seconds, "it keeps books of every job: an hour at most")
      ->check(CLI::Range(1.0, 3600.0));
  CLI::App* drain = app.add_subcommand("drain", "from the ask to drained, over what it had to wait for");
  drain->add_option("--rounds", rounds, "drains for each row")->check(CLI::Range(2, 1000));
  CLI::App* roll = app.add_subcommand("roll", "a rolling drain of three controllers against none");
  roll->add_option("--rate", rolled, "jobs a second")->check(CLI::Range(1.0, 5000.0));
  unsigned jobs = 1900;
  CLI::App* addresses =
      app.add_subcommand("addresses", "engines with several addresses, one broken in every way");
  addresses->add_option("--jobs", jobs, "for each of 54 cases")->check(CLI::Range(1, 100000));
  std::string before;
  unsigned engines = 1000;
  CLI::App* fleet = app.add_subcommand("fleet", "a thousand engines, a third of their addresses broken");
  fleet->add_option("--engines", engines)->check(CLI::Range(3, 1500));
  fleet->add_option("--before", before, "an earlier build of the program to compare with");
  CLI::App* cost =
      app.add_subcommand("cost", "instructions a request (callgrind) and memory, with and without the door");
  cost->add_option("--before", before, "an earlier build of the program to compare with");
  double minutes = 10, soaked = 300;
  CLI::App* soak =
      app.add_subcommand("soak", "one controller under steady load, its resident memory as it goes");
  soak->add_option("--minutes", minutes)->check(CLI::Range(0.5, 600.0));
  soak->add_option("--rate", soaked, "jobs a second")->check(CLI::Range(1.0, 2000.0));
  unsigned small = 1000;
  CLI::App* rebalance =
      app.add_subcommand("rebalance", "plans of moves against the least, and how they grow");
  rebalance->add_option("--fleets", small, "random small ones")->check(CLI::Range(1, 1000000));
  unsigned played = 0, phase = 8;
  double moved = 300;
  rebalance->add_option("--rounds", played, "on loopback, with plans and without; 0: the pure part alone")
      ->check(CLI::Range(0, 100));
  rebalance->add_option("--rate", moved, "jobs a second there")->check(CLI::Range(1.0, 2000.0));
  rebalance->add_option("--phase", phase, "seconds: three to warm, two after the drain, two after the join")
      ->check(CLI::Range(2, 600));
  unsigned days = 56, workers = 3;
  std::uint64_t firstDay = 1;
  CLI::App* hindsight = app.add_subcommand(
      "hindsight", "estimates of what other policies would have done, held against days replayed with them");
  hindsight->add_option("--days", days, "four pairs of day and policy each")->check(CLI::Range(1, 1000));
  hindsight->add_option("--workers", workers, "processes at once")->check(CLI::Range(1, 8));
  hindsight->add_option("--seed", firstDay, "of the first day");
  std::vector<unsigned> fleets{3, 10, 30};
  unsigned shared = 12;
  CLI::App* share = app.add_subcommand(
      "share", "how soon all controllers know what one shares, and what that costs in bytes");
  share->add_option("--fleets", fleets, "controllers of each")->check(CLI::Range(2, 48));
  share->add_option("--rounds", shared, "of news; half as many partitions, a fourth as many restarts")
      ->check(CLI::Range(4, 1000));
  ColdStart cold;
  CLI::App* start = app.add_subcommand("coldstart", "many controllers started together, before, off and on");
  start->add_option("--controllers", cold.controllers)->check(CLI::Range(1, 1000));
  start->add_option("--engines", cold.engines)->check(CLI::Range(1, 180));
  start->add_option("--rate", cold.perSecond, "jobs a second, each controller")
      ->check(CLI::Range(0.0, 200.0));
  start->add_option("--pattern", cold.pattern)->check(CLI::IsMember({"all", "seven", "tenths"}));
  bool empty = false;
  start->add_flag("--empty", empty, "the configuration holds no list");
  start->add_flag("--cold", cold.cold, "all executors have just started");
  start->add_flag("--front", cold.front, "all jobs go to the controllers in service, else to their own");
  start->add_option("--list-ms", cold.listMs, "one answer of the list service")->check(CLI::Range(0, 1000));
  start->add_option("--list-down", cold.listDownMs, "ms")->check(CLI::Range(0, 60000));
  start->add_option("--seconds", cold.seconds)->check(CLI::Range(2, 120));
  start->add_option("--before", cold.before, "an earlier build of the program to compare with");
  start->add_option("--with", cold.operatorsFile, "the operator's file's text when on");
  start->add_flag("--json", cold.json);
  FaultTerms wanted;
  CLI::App* faults = app.add_subcommand(
      "faults", "fails one numbered point after another of a controller (a build with PADDLETRACK_FAULTS)");
  faults->add_flag("--all", wanted.all, "every point in every kind, not a drawn slice");
  faults->add_option("--only", wanted.only, "this one, and its log")->type_name("SITE#N=KIND");
  faults->add_option("--of", wanted.of, "with --all: every hit of this one")->type_name("SITE=KIND");
  faults->add_option("--most", wanted.most, "points of the slice")->check(CLI::Range(1, 100000));
  faults->add_option("--seed", wanted.seed, "that draws the slice");
  faults->add_option("--workers", wanted.workers, "runs at once")->check(CLI::Range(1, 16));
  faults->add_option("--area", wanted.area, "of loopback: 127.AREA.x.x")->check(CLI::Range(1, 250));
  CLI11_PARSE(app, argc, argv);
  try {
    cold.knows = !empty;
    if (start->parsed()) return measureColdStart(program, cold);
    if (look->parsed()) {
      paddletrack::program::holdSignals();
      return tryIt(program, controllers, perSecond, seconds);
    }
    if (drain->parsed()) return measureDrain(program, rounds);
    if (roll->parsed()) return measureRoll(program, rolled);
    if (fleet->parsed()) return measureFleet(program, before, engines);
    if (addresses->parsed()) return measureAddresses(jobs);
    if (rebalance->parsed())
      return played > 0 ? measureWhere(program, played, moved, phase) : measureRebalance(small);
    if (hindsight->parsed()) return measureHindsight(days, workers, firstDay);
    if (share->parsed()) return measureShare(program, fleets, shared);
    if (faults->parsed()) {
      wanted.program = program;
      return injectFaults(wanted);
    }
    if (soak->parsed()) return measureSoak(program, soaked, minutes);
    return measureCost(program, before);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "paddletrack_rig: %s\n", error.what());
    return 1;
  }
}
