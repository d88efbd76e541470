// The real controller and its operators' commands.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <map>
#include <string>

#include "admin/operator_config.hpp"
#include "command/admin_client.hpp"
#include "command/bash_completion.hpp"
#include "command/drain_command.hpp"
#include "command/engines_command.hpp"
#include "command/rolling_drain_command.hpp"
#include "program/node_config.hpp"
#include "program/serve.hpp"
#include "program/signal_receiver.hpp"

namespace {

namespace command = paddletrack::command;
namespace admin = paddletrack::admin;
namespace program = paddletrack::program;

// ---- values of the command line ------------------------------------------------------------------------

CLI::Option* addDurationOption(CLI::App* subcommand, const char* name,
                               std::optional<paddletrack::Duration>& target, const char* description) {
  return subcommand
      ->add_option_function<std::string>(
          name,
          [&target, name](const std::string& text) {
            try {
              target = admin::parseDuration(text);
            } catch (const std::invalid_argument& error) {
              throw CLI::ValidationError(name, error.what());
            }
          },
          description)
      ->type_name("DURATION");
}

// The door's path: told, or as the operator's file has it.
struct SocketOption {
  std::string socketPath, operatorConfigPath;

  void addOptions(CLI::App* subcommand) {
    subcommand->add_option("-s,--socket", socketPath, "the controller's door")
        ->envname("PADDLETRACK_SOCKET")
        ->type_name("PATH");
    subcommand->add_option("--operator", operatorConfigPath, "the operator's file, which names the door")
        ->envname("GW_OPERATOR");
  }
  std::string resolvePath() const {
    if (!socketPath.empty()) return socketPath;
    const std::string configuredPath =
        operatorConfigPath.empty() ? ""
                                   : admin::readOperatorConfig(operatorConfigPath).adminServer.socketPath;
    if (configuredPath.empty())
      throw admin::OperatorConfigError(
          operatorConfigPath, "no door is named: --socket, or --operator with a file that has door.socket");
    return configuredPath;
  }
};

int printConfig(const program::NodeConfig& nodeConfig, const std::string& configPath,
                const program::OperatorOptions& operatorOptions) {
  const auto printEntry = [](const std::string& key, const std::string& value, const std::string& origin) {
    std::printf("%-24s = %-28s # %s\n", key.c_str(), value.c_str(), origin.c_str());
  };
  printEntry("name", "\"" + nodeConfig.name + "\"", configPath);
  printEntry("limits.memory_mb", std::to_string(nodeConfig.memoryLimitBytes >> 20), configPath);
  printEntry("limits.sockets", std::to_string(nodeConfig.descriptorLimit), configPath);
  for (admin::OperatorConfig::Entry entry : operatorOptions.config.entries) {
    if (entry.key == "log.form" && operatorOptions.logFormatOverride) {
      entry.value = *operatorOptions.logFormatOverride == admin::LogFormat::json ? "\"json\"" : "\"text\"";
      entry.origin = "--log";
    }
    if (entry.key == "log.level" && operatorOptions.logLevelOverride) {
      entry.value = "\"" + std::string(admin::nameOf(*operatorOptions.logLevelOverride)) + "\"";
      entry.origin = "--log-level";
    }
    printEntry(entry.key, entry.value, entry.origin);
  }
  return command::kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A front for query engines with limited memory.", "paddletrack");
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 done as asked, 1 broken, 2 a file or a value is wrong, 3 the deadline found jobs open, "
      "4 cancelled by somebody, 5 no answer at the door, 6 refused; above 100 the command line is wrong.");

  std::string configPath;
  program::OperatorOptions operatorOptions;
  const auto addConfigOptions = [&](CLI::App* subcommand) {
    subcommand->add_option("--config", configPath, "the configuration file (JSON)")
        ->envname("GW_CONFIG")
        ->required();
    subcommand->add_option("--operator", operatorOptions.configPath, "the operator's file (HCL)")
        ->envname("GW_OPERATOR");
    const std::map<std::string, admin::LogFormat> formats{{"text", admin::LogFormat::text},
                                                          {"json", admin::LogFormat::json}};
    subcommand->add_option("--log", operatorOptions.logFormatOverride, "text or json")
        ->transform(CLI::Transformer(formats))
        ->type_name("FORM");
    const std::map<std::string, paddletrack::LogLevel> levels{{"debug", paddletrack::LogLevel::debug},
                                                              {"info", paddletrack::LogLevel::info},
                                                              {"warning", paddletrack::LogLevel::warning},
                                                              {"error", paddletrack::LogLevel::error}};
    subcommand->add_option("--log-level", operatorOptions.logLevelOverride, "debug, info, warning or error")
        ->transform(CLI::Transformer(levels))
        ->type_name("LEVEL");
    return subcommand;
  };
  CLI::App* serveCommand =
      addConfigOptions(app.add_subcommand("serve", "serve until SIGTERM; SIGHUP reads the files again"));
  CLI::App* checkCommand =
      addConfigOptions(app.add_subcommand("check-config", "read the files and name what is wrong"));
  bool printsValues = false;
  checkCommand->add_flag("--print", printsValues, "show every value in force and where it came from");

  SocketOption socketOption;
  command::DrainRequest drainRequest;
  CLI::App* drainCommand = app.add_subcommand("drain", "take a controller out of service, or bring it back");
  socketOption.addOptions(drainCommand);
  addDurationOption(drainCommand, "--deadline", drainRequest.deadline,
                    "when open jobs are ended, from now (else drain.deadline)");
  addDurationOption(drainCommand, "--come-back", drainRequest.retryAfter,
                    "told to clients that are turned away (else drain.come_back)");
  CLI::Option* cancelOption =
      drainCommand->add_flag("--cancel", drainRequest.cancel, "bring it back into service");
  cancelOption->excludes("--deadline")->excludes("--come-back");
  drainCommand->add_flag("-w,--watch", drainRequest.watch, "show the progress until it has ended");
  drainCommand->add_flag("--json", drainRequest.json, "JSON lines as the door tells them");

  CLI::App* statusCommand = app.add_subcommand("status", "show what a controller is doing");
  socketOption.addOptions(statusCommand);
  statusCommand->add_flag("--json", drainRequest.json, "as the door tells it");

  command::RollingDrainRequest rollingDrainRequest;
  CLI::App* rollCommand = app.add_subcommand("roll", "take controllers out in turn, one at a time");
  rollCommand->add_option("sockets", rollingDrainRequest.sockets, "their doors")
      ->required()
      ->type_name("SOCKET...");
  addDurationOption(rollCommand, "--deadline", rollingDrainRequest.drainTimeout, "of each drain (else 20s)");
  addDurationOption(rollCommand, "--back", rollingDrainRequest.resumeTimeout,
                    "until each must serve again (else 30s)");
  rollCommand
      ->add_option("--each", rollingDrainRequest.maintenanceCommand,
                   "a shell command for each while it is out; PADDLETRACK_SOCKET names it")
      ->type_name("COMMAND");
  rollCommand->add_flag("--json", rollingDrainRequest.json, "JSON lines");

  std::string engineId;
  CLI::App* enginesCommand =
      app.add_subcommand("engines", "show the engines, their addresses and what is known of each");
  socketOption.addOptions(enginesCommand);
  enginesCommand->add_option("engine", engineId, "this one alone");
  enginesCommand->add_flag("--json", drainRequest.json, "a JSON object a line");
  command::AddressOverrideRequest overrideRequest;
  std::optional<paddletrack::Duration> avoidDuration, useDuration;
  bool clearsOverride = false;
  CLI::App* addressCommand =
      app.add_subcommand("address", "avoid or prefer an address of an engine for a while");
  socketOption.addOptions(addressCommand);
  addressCommand->add_option("engine", overrideRequest.engine)->required()->type_name("ENGINE");
  addressCommand->add_option("address", overrideRequest.address)->required()->type_name("ADDRESS");
  CLI::Option_group* overrideOptions = addressCommand->add_option_group("what");
  addDurationOption(overrideOptions, "--avoid", avoidDuration, "tried last for so long");
  addDurationOption(overrideOptions, "--use", useDuration, "tried first for so long");
  overrideOptions->add_flag("--free", clearsOverride, "as if nothing had been set");
  overrideOptions->require_option(1);

  std::string shell;
  CLI::App* completionCommand =
      app.add_subcommand("completion", "print a shell's completion of these commands");
  completionCommand->add_option("shell", shell, "bash")->required()->check(CLI::IsMember({"bash"}));
  CLI::App* versionCommand = app.add_subcommand("version", "print the version");

  CLI11_PARSE(app, argc, argv);
  try {
    if (versionCommand->parsed()) {
      std::puts("paddletrack " PADDLETRACK_VERSION);
      return command::kExitSuccess;
    }
    if (completionCommand->parsed()) {
      std::fputs(command::bashCompletion(app).c_str(), stdout);
      return command::kExitSuccess;
    }
    if (drainCommand->parsed()) return command::runDrainCommand(socketOption.resolvePath(), drainRequest);
    if (enginesCommand->parsed())
      return command::runEnginesCommand(socketOption.resolvePath(), engineId, drainRequest.json);
    if (addressCommand->parsed()) {
      using paddletrack::addresses::AddressTable;
      overrideRequest.addressOverride = avoidDuration ? AddressTable::ManualOverride::avoid
                                        : useDuration ? AddressTable::ManualOverride::prefer
                                                      : AddressTable::ManualOverride::clear;
      overrideRequest.overrideDuration =
          avoidDuration.value_or(useDuration.value_or(paddletrack::Duration{0}));
      return command::runAddressCommand(socketOption.resolvePath(), overrideRequest);
    }
    if (statusCommand->parsed())
      return command::runStatusCommand(socketOption.resolvePath(), drainRequest.json);
    if (rollCommand->parsed()) return command::runRollCommand(rollingDrainRequest);
    if (serveCommand->parsed()) program::blockSignals();
    const program::NodeConfig nodeConfig = program::readNodeConfig(configPath);
    if (!operatorOptions.configPath.empty())
      operatorOptions.config = admin::readOperatorConfig(operatorOptions.configPath);
    if (serveCommand->parsed()) return program::serve(nodeConfig, configPath, std::move(operatorOptions));
    if (printsValues) return printConfig(nodeConfig, configPath, operatorOptions);
    std::printf("%s: %s is in order\n", configPath.c_str(), nodeConfig.name.c_str());
    if (!operatorOptions.configPath.empty())
      std::printf("%s: in order\n", operatorOptions.configPath.c_str());
    return command::kExitSuccess;
  } catch (const program::ConfigurationError& error) {
    return command::reportError(error, "configuration: ");
  } catch (const std::exception& error) {
    return command::reportError(paddletrack::toError(error, ""));
  }
}
