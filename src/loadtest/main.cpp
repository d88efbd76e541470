// Entry point of paddletrack_loadtest: a demonstration and the measurements behind the figures in the docs.
// All runs use loopback, with fake engines and clients.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "loadtest/experiments.hpp"
#include "program/signal_receiver.hpp"

using namespace paddletrack::loadtest;

int main(int argc, char** argv) {
  CLI::App app("Load tests of controllers with fake engines and generated requests, all on loopback.",
               "paddletrack_loadtest");
  app.require_subcommand(1);
  std::string program = argv[0];
  program = program.substr(0, program.rfind('/') + 1) + "paddletrack";
  app.add_option("--program", program, "path of the controller program");
  unsigned controllerCount = 2, drainRounds = 20;
  double demoRate = 200, demoSeconds = 600, rollRate = 300;
  CLI::App* demoCommand = app.add_subcommand("try",
                                             "a demonstration under load with a live status table; ends on "
                                             "Ctrl-C or after --seconds (600 by default)");
  demoCommand->add_option("--controllers", controllerCount)->check(CLI::Range(1, 8));
  demoCommand->add_option("--rate", demoRate, "requests per second")->check(CLI::Range(1.0, 1000.0));
  demoCommand
      ->add_option("--seconds", demoSeconds,
                   "duration in seconds; at most an hour because every request is recorded")
      ->check(CLI::Range(1.0, 3600.0));
  CLI::App* drainCommand = app.add_subcommand(
      "drain", "delay from the end of the last open request until the controller is drained");
  drainCommand->add_option("--rounds", drainRounds, "drains per row")->check(CLI::Range(2, 1000));
  CLI::App* rollCommand =
      app.add_subcommand("roll", "a rolling drain of three controllers, compared with the load before it");
  rollCommand->add_option("--rate", rollRate, "requests per second")->check(CLI::Range(1.0, 5000.0));
  unsigned requestsPerCase = 1900;
  CLI::App* addressesCommand =
      app.add_subcommand("addresses", "engines with several addresses, one of which fails in different ways");
  addressesCommand->add_option("--jobs", requestsPerCase, "requests for each of the 54 cases")
      ->check(CLI::Range(1, 100000));
  std::string baselineProgram;
  unsigned engineCount = 1000;
  CLI::App* fleetCommand = app.add_subcommand("fleet", "a thousand engines, a third of whose addresses fail");
  fleetCommand->add_option("--engines", engineCount)->check(CLI::Range(3, 1500));
  fleetCommand->add_option("--before", baselineProgram, "an earlier build of the program to compare with");
  CLI::App* costCommand = app.add_subcommand(
      "cost", "instructions per request (callgrind) and memory, with and without the admin socket");
  costCommand->add_option("--before", baselineProgram, "an earlier build of the program to compare with");
  double soakMinutes = 10, soakRate = 300;
  CLI::App* soakCommand = app.add_subcommand("soak", "resident memory of one controller under steady load");
  soakCommand->add_option("--minutes", soakMinutes)->check(CLI::Range(0.5, 600.0));
  soakCommand->add_option("--rate", soakRate, "requests per second")->check(CLI::Range(1.0, 2000.0));
  unsigned fleetCount = 1000;
  CLI::App* rebalanceCommand = app.add_subcommand(
      "rebalance", "rebalancing plans compared with the optimum, and their cost by fleet size");
  rebalanceCommand->add_option("--fleets", fleetCount, "number of small random fleets")
      ->check(CLI::Range(1, 1000000));
  unsigned rebalanceRounds = 0, phaseSeconds = 8;
  double rebalanceRate = 300;
  rebalanceCommand
      ->add_option("--rounds", rebalanceRounds,
                   "runs on loopback with and without plans; 0 skips them and only computes plans")
      ->check(CLI::Range(0, 100));
  rebalanceCommand->add_option("--rate", rebalanceRate, "requests per second of these runs")
      ->check(CLI::Range(1.0, 2000.0));
  rebalanceCommand
      ->add_option("--phase", phaseSeconds,
                   "seconds per phase: three phases of warm-up, two after the drain, two after the join")
      ->check(CLI::Range(2, 600));
  unsigned scenarioCount = 56, workerCount = 3;
  std::uint64_t firstSeed = 1;
  CLI::App* hindsightCommand = app.add_subcommand(
      "hindsight",
      "counterfactual estimates of other policies, compared with simulated runs under these policies");
  hindsightCommand
      ->add_option("--days", scenarioCount, "simulated runs, each with four pairs of run and policy")
      ->check(CLI::Range(1, 1000));
  hindsightCommand->add_option("--workers", workerCount, "concurrent processes")->check(CLI::Range(1, 8));
  hindsightCommand->add_option("--seed", firstSeed, "seed of the first run");
  std::vector<unsigned> shareFleetSizes{3, 10, 30};
  unsigned shareRounds = 12;
  CLI::App* shareCommand =
      app.add_subcommand("share", "convergence time and bandwidth of gossip between the controllers");
  shareCommand->add_option("--fleets", shareFleetSizes, "controllers of each fleet")
      ->check(CLI::Range(2, 48));
  shareCommand
      ->add_option("--rounds", shareRounds,
                   "updates per fleet; half as many partitions, a quarter as many restarts")
      ->check(CLI::Range(4, 1000));
  ColdStartOptions coldStartOptions;
  CLI::App* coldStartCommand = app.add_subcommand(
      "coldstart",
      "many controllers that start together: an earlier build, and this one without and with --with");
  coldStartCommand->add_option("--controllers", coldStartOptions.controllerCount)->check(CLI::Range(1, 1000));
  coldStartCommand->add_option("--engines", coldStartOptions.engineCount)->check(CLI::Range(1, 180));
  coldStartCommand
      ->add_option("--rate", coldStartOptions.requestsPerSecondPerController,
                   "requests per second and controller")
      ->check(CLI::Range(0.0, 200.0));
  coldStartCommand->add_option("--pattern", coldStartOptions.pattern)
      ->check(CLI::IsMember({"all", "seven", "tenths"}));
  bool startsWithoutEndpoints = false;
  coldStartCommand->add_flag("--empty", startsWithoutEndpoints, "the configuration holds no endpoint list");
  coldStartCommand->add_flag("--cold", coldStartOptions.enginesWarmingUp, "all engines have just started");
  coldStartCommand->add_flag("--front", coldStartOptions.routesToServingControllers,
                             "clients send to any controller in service, not only to their own");
  coldStartCommand
      ->add_option("--list-ms", coldStartOptions.discoveryLatencyMs,
                   "response time of the endpoint list in ms")
      ->check(CLI::Range(0, 1000));
  coldStartCommand
      ->add_option("--list-down", coldStartOptions.discoveryOutageMs, "initial endpoint list outage in ms")
      ->check(CLI::Range(0, 60000));
  coldStartCommand->add_option("--seconds", coldStartOptions.durationSeconds)->check(CLI::Range(2, 120));
  coldStartCommand->add_option("--before", coldStartOptions.baselineProgram,
                               "an earlier build of the program to compare with");
  coldStartCommand->add_option("--with", coldStartOptions.operatorConfig,
                               "text of the operator's file for the variant \"on\"");
  coldStartCommand->add_flag("--json", coldStartOptions.printsJson);
  FailPointOptions failPointOptions;
  CLI::App* faultsCommand = app.add_subcommand(
      "faults",
      "makes one fail point of a controller after another fail (needs a build with PADDLETRACK_FAIL_POINTS)");
  faultsCommand->add_flag("--all", failPointOptions.exhaustive,
                          "every point with every kind of fault, not a random sample");
  faultsCommand
      ->add_option("--only", failPointOptions.singlePoint, "only this point; prints the controller's log")
      ->type_name("SITE#N=KIND");
  faultsCommand->add_option("--of", failPointOptions.pointFilter, "with --all: every hit of this point")
      ->type_name("SITE=KIND");
  faultsCommand->add_option("--most", failPointOptions.maxPoints, "size of the sample")
      ->check(CLI::Range(1, 100000));
  faultsCommand->add_option("--seed", failPointOptions.seed, "seed of the sample");
  faultsCommand->add_option("--workers", failPointOptions.workerCount, "concurrent runs")
      ->check(CLI::Range(1, 16));
  faultsCommand
      ->add_option("--area", failPointOptions.loopbackArea, "loopback network of the runs: 127.AREA.x.x")
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
