// Plays with controllers on loopback: something to look at, and the measurements behind the docs' figures.
// All executors and clients are stand-ins.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "program/signals.hpp"
#include "rig/rig.hpp"

using paddletrack::rig::FaultTerms;

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
    using namespace paddletrack::rig;
    if (look->parsed()) {
      paddletrack::program::holdSignals();
      return tryIt(program, controllers, perSecond, seconds);
    }
    if (drain->parsed()) return measureDrain(program, rounds);
    if (roll->parsed()) return measureRoll(program, rolled);
    if (fleet->parsed()) return measureFleet(program, before, engines);
    if (addresses->parsed()) return measureAddresses(jobs);
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
