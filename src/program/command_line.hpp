#pragma once

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

#include "command/drain_command.hpp"
#include "command/engines_command.hpp"
#include "command/rolling_drain_command.hpp"
#include "program/operator_options.hpp"

namespace paddletrack::program {

/// The path of the admin socket: given directly or read from the operator's file.
struct AdminSocketOption {
  std::string socketPath;
  std::string operatorConfigPath;

  void addTo(CLI::App* subcommand);
  /// Throws admin::OperatorConfigError if neither source gives a path, and the errors of
  /// admin::readOperatorConfig().
  std::string resolvePath() const;
};

/// The subcommands, their options and the parsed values. `app` is public for parsing and for the shell
/// completion. Not copyable, because the options refer to the members.
class CommandLine {
 public:
  CommandLine();
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;
  ~CommandLine() = default;

  CLI::App app;

  CLI::App* serveCommand = nullptr;
  CLI::App* checkCommand = nullptr;
  CLI::App* drainCommand = nullptr;
  CLI::App* statusCommand = nullptr;
  CLI::App* rollCommand = nullptr;
  CLI::App* enginesCommand = nullptr;
  CLI::App* addressCommand = nullptr;
  CLI::App* completionCommand = nullptr;
  CLI::App* versionCommand = nullptr;

  // Options of serve and check-config.
  std::string configPath;
  OperatorOptions operatorOptions;
  bool printsValues = false;

  // Options of the commands that connect to a controller.
  AdminSocketOption adminSocket;
  command::DrainRequest drainRequest;
  command::RollingDrainRequest rollingDrainRequest;
  std::string engineId;

  /// Returns the request of `address` with the kind and the duration of its override.
  command::AddressOverrideRequest makeAddressOverrideRequest() const;

 private:
  CLI::App* addConfigOptions(CLI::App* subcommand);
  void addServeCommands();
  void addDrainCommand();
  void addStatusCommand();
  void addRollCommand();
  void addEnginesCommand();
  void addAddressCommand();
  void addShellCommands();

  command::AddressOverrideRequest overrideRequest_;
  std::optional<Duration> avoidDuration_;
  std::optional<Duration> preferDuration_;
  bool clearsOverride_ = false;
  std::string shell_;
};

}  // namespace paddletrack::program
