// Entry point of paddletrack_loadtest: a demonstration, and the measurements behind the figures in the docs.
// All runs are on loopback with fake engines and clients.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "loadtest/experiments.hpp"
#include "program/signal_receiver.hpp"

using namespace paddletrack::loadtest;

int main(int argc, char** argv) {
  CLI::App app("Controllers, stand-in executors and a load, all on loopback.", "paddletrack_loadtest");
  app.require_subcommand(1);
  std::string program = argv[0];
  program = program.substr(0, program.rfind('/') + 1) + "paddletrack";
  app.add_option("--program", program, "the controller's program");
  unsigned controllerCount = 2, drainRounds = 20;
  double demoRate = 200, demoSeconds = 600, rollRate = 300;
  CLI::App* demoCommand = app.add_subcommand(
      "try", "a site under load, with a live table; until Ctrl-C, ten minutes if no other time is given");
  demoCommand->add_option("--controllers", controllerCount)->check(CLI::Range(1, 8));
  demoCommand->add_option("--rate", demoRate, "jobs a second")->check(CLI::Range(1.0, 1000.0));
  demoCommand->add_option("--seconds", demoSeconds, "it keeps books of every job: an hour at most")
      ->check(CLI::Range(1.0, 3600.0));
  CLI::App* drainCommand =
      app.add_subcommand("drain", "from the ask to drained, over what it had to wait for");
  drainCommand->add_option("--rounds", drainRounds, "drains for each row")->check(CLI::Range(2, 1000));
  CLI::App* rollCommand = app.add_subcommand("roll", "a rolling drain of three controllers against none");
  rollCommand->add_option("--rate", rollRate, "jobs a second")->check(CLI::Range(1.0, 5000.0));
  unsigned requestsPerCase = 1900;
  CLI::App* addressesCommand =
      app.add_subcommand("addresses", "engines with several addresses, one broken in every way");
  addressesCommand->add_option("--jobs", requestsPerCase, "for each of 54 cases")
      ->check(CLI::Range(1, 100000));
  std::string baselineProgram;
  unsigned engineCount = 1000;
  CLI::App* fleetCommand =
      app.add_subcommand("fleet", "a thousand engines, a third of their addresses broken");
  fleetCommand->add_option("--engines", engineCount)->check(CLI::Range(3, 1500));
  fleetCommand->add_option("--before", baselineProgram, "an earlier build of the program to compare with");
  CLI::App* costCommand =
      app.add_subcommand("cost", "instructions a request (callgrind) and memory, with and without the door");
  costCommand->add_option("--before", baselineProgram, "an earlier build of the program to compare with");
  double soakMinutes = 10, soakRate = 300;
  CLI::App* soakCommand =
      app.add_subcommand("soak", "one controller under steady load, its resident memory as it goes");
  soakCommand->add_option("--minutes", soakMinutes)->check(CLI::Range(0.5, 600.0));
  soakCommand->add_option("--rate", soakRate, "jobs a second")->check(CLI::Range(1.0, 2000.0));
  unsigned fleetCount = 1000;
  CLI::App* rebalanceCommand =
      app.add_subcommand("rebalance", "plans of moves against the least, and how they grow");
  rebalanceCommand->add_option("--fleets", fleetCount, "random small ones")->check(CLI::Range(1, 1000000));
  unsigned rebalanceRounds = 0, phaseSeconds = 8;
  double rebalanceRate = 300;
  rebalanceCommand
      ->add_option("--rounds", rebalanceRounds, "on loopback, with plans and without; 0: the pure part alone")
      ->check(CLI::Range(0, 100));
  rebalanceCommand->add_option("--rate", rebalanceRate, "jobs a second there")
      ->check(CLI::Range(1.0, 2000.0));
  rebalanceCommand
      ->add_option("--phase", phaseSeconds, "seconds: three to warm, two after the drain, two after the join")
      ->check(CLI::Range(2, 600));
  unsigned scenarioCount = 56, workerCount = 3;
  std::uint64_t firstSeed = 1;
  CLI::App* hindsightCommand = app.add_subcommand(
      "hindsight", "estimates of what other policies would have done, held against days replayed with them");
  hindsightCommand->add_option("--days", scenarioCount, "four pairs of day and policy each")
      ->check(CLI::Range(1, 1000));
  hindsightCommand->add_option("--workers", workerCount, "processes at once")->check(CLI::Range(1, 8));
  hindsightCommand->add_option("--seed", firstSeed, "of the first day");
  std::vector<unsigned> shareFleetSizes{3, 10, 30};
  unsigned shareRounds = 12;
  CLI::App* shareCommand = app.add_subcommand(
      "share", "how soon all controllers know what one shares, and what that costs in bytes");
  shareCommand->add_option("--fleets", shareFleetSizes, "controllers of each")->check(CLI::Range(2, 48));
  shareCommand
      ->add_option("--rounds", shareRounds, "of news; half as many partitions, a fourth as many restarts")
      ->check(CLI::Range(4, 1000));
  ColdStartOptions coldStartOptions;
  CLI::App* coldStartCommand =
      app.add_subcommand("coldstart", "many controllers started together, before, off and on");
  coldStartCommand->add_option("--controllers", coldStartOptions.controllerCount)->check(CLI::Range(1, 1000));
  coldStartCommand->add_option("--engines", coldStartOptions.engineCount)->check(CLI::Range(1, 180));
  coldStartCommand
      ->add_option("--rate", coldStartOptions.requestsPerSecondPerController,
                   "jobs a second, each controller")
      ->check(CLI::Range(0.0, 200.0));
  coldStartCommand->add_option("--pattern", coldStartOptions.pattern)
      ->check(CLI::IsMember({"all", "seven", "tenths"}));
  bool startsWithoutEndpoints = false;
  coldStartCommand->add_flag("--empty", startsWithoutEndpoints, "the configuration holds no list");
  coldStartCommand->add_flag("--cold", coldStartOptions.enginesWarmingUp, "all executors have just started");
  coldStartCommand->add_flag("--front", coldStartOptions.routesToServingControllers,
                             "all jobs go to the controllers in service, else to their own");
  coldStartCommand
      ->add_option("--list-ms", coldStartOptions.discoveryLatencyMs, "one answer of the list service")
      ->check(CLI::Range(0, 1000));
  coldStartCommand->add_option("--list-down", coldStartOptions.discoveryOutageMs, "ms")
      ->check(CLI::Range(0, 60000));
  coldStartCommand->add_option("--seconds", coldStartOptions.durationSeconds)->check(CLI::Range(2, 120));
  coldStartCommand->add_option("--before", coldStartOptions.baselineProgram,
                               "an earlier build of the program to compare with");
  coldStartCommand->add_option("--with", coldStartOptions.operatorConfig,
                               "the operator's file's text when on");
  coldStartCommand->add_flag("--json", coldStartOptions.printsJson);
  FailPointOptions failPointOptions;
  CLI::App* faultsCommand = app.add_subcommand(
      "faults",
      "fails one numbered point after another of a controller (a build with PADDLETRACK_FAIL_POINTS)");
  faultsCommand->add_flag("--all", failPointOptions.exhaustive,
                          "every point in every kind, not a drawn slice");
  faultsCommand->add_option("--only", failPointOptions.singlePoint, "this one, and its log")
      ->type_name("SITE#N=KIND");
  faultsCommand->add_option("--of", failPointOptions.pointFilter, "with --all: every hit of this one")
      ->type_name("SITE=KIND");
  faultsCommand->add_option("--most", failPointOptions.maxPoints, "points of the slice")
      ->check(CLI::Range(1, 100000));
  faultsCommand->add_option("--seed", failPointOptions.seed, "that draws the slice");
  faultsCommand->add_option("--workers", failPointOptions.workerCount, "runs at once")
      ->check(CLI::Range(1, 16));
  faultsCommand->add_option("--area", failPointOptions.loopbackArea, "of loopback: 127.AREA.x.x")
      ->check(CLI::Range(1, 250));
  CLI11_PARSE(app, argc, argv);
  try {
    coldStartOptions.configHasEndpoints = !startsWithoutEndpoints;
    if (coldStartCommand->parsed()) return measureColdStart(program, coldStartOptions);
    if (demoCommand->parsed()) {
      paddletrack::program::blockSignals();
      return runDemo(program, controllerCount, demoRate, demoSeconds);
    }
    if (drainCommand->parsed()) return measureDrain(program, drainRounds);
    if (rollCommand->parsed()) return measureRoll(program, rollRate);
    if (fleetCommand->parsed()) return measureFleet(program, baselineProgram, engineCount);
    if (addressesCommand->parsed()) return measureAddressFailover(requestsPerCase);
    if (rebalanceCommand->parsed())
      return rebalanceRounds > 0
                 ? measurePlacementEffect(program, rebalanceRounds, rebalanceRate, phaseSeconds)
                 : measureRebalance(fleetCount);
    if (hindsightCommand->parsed())
      return measureCounterfactualAccuracy(scenarioCount, workerCount, firstSeed);
    if (shareCommand->parsed()) return measureGossip(program, shareFleetSizes, shareRounds);
    if (faultsCommand->parsed()) {
      failPointOptions.program = program;
      return runFailPoints(failPointOptions);
    }
    if (soakCommand->parsed()) return measureSoak(program, soakRate, soakMinutes);
    return measureAdminOverhead(program, baselineProgram);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "paddletrack_loadtest: %s\n", error.what());
    return 1;
  }
}
