#include "program/command_line.hpp"

#include <map>
#include <stdexcept>

#include "admin/operator_config.hpp"

namespace paddletrack::program {
namespace {

constexpr const char* kExitCodesFooter =
    "Exit codes: 0 success, 1 failure, 2 invalid file or value, 3 requests still open at the deadline, "
    "4 drain cancelled, 5 no response at the admin socket, 6 refused; above 100 invalid command line.";

void addDurationOption(CLI::App* subcommand, const char* name, std::optional<Duration>& target,
                       const char* description) {
  const auto parse = [&target, name](const std::string& text) {
    try {
      target = admin::parseDuration(text);
    } catch (const std::invalid_argument& error) {
      throw CLI::ValidationError(name, error.what());
    }
  };
  subcommand->add_option_function<std::string>(name, parse, description)->type_name("DURATION");
}

}  // namespace

void AdminSocketOption::addTo(CLI::App* subcommand) {
  subcommand->add_option("-s,--socket", socketPath, "the controller's admin socket")
      ->envname("PADDLETRACK_SOCKET")
      ->type_name("PATH");
  subcommand
      ->add_option("--operator", operatorConfigPath,
                   "the operator's file, which sets the admin socket (door.socket)")
      ->envname("GW_OPERATOR");
}

std::string AdminSocketOption::resolvePath() const {
  if (!socketPath.empty()) return socketPath;
  std::string configuredPath;
  if (!operatorConfigPath.empty())
    configuredPath = admin::readOperatorConfig(operatorConfigPath).adminServer.socketPath;
  if (configuredPath.empty())
    throw admin::OperatorConfigError(
        operatorConfigPath,
        "no admin socket given: expected --socket, or --operator with a file that sets door.socket");
  return configuredPath;
}

CommandLine::CommandLine()
    : app("Admission controller for query engines with limited memory.", "paddletrack") {
  app.require_subcommand(1);
  app.footer(kExitCodesFooter);
  // The order of the commands in the help.
  addServeCommands();
  addDrainCommand();
  addStatusCommand();
  addRollCommand();
  addEnginesCommand();
  addAddressCommand();
  addShellCommands();
}

CLI::App* CommandLine::addConfigOptions(CLI::App* subcommand) {
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
  const std::map<std::string, LogLevel> levels{{"debug", LogLevel::debug},
                                               {"info", LogLevel::info},
                                               {"warning", LogLevel::warning},
                                               {"error", LogLevel::error}};
  subcommand->add_option("--log-level", operatorOptions.logLevelOverride, "debug, info, warning or error")
      ->transform(CLI::Transformer(levels))
      ->type_name("LEVEL");
  return subcommand;
}

void CommandLine::addServeCommands() {
  serveCommand =
      addConfigOptions(app.add_subcommand("serve", "serve until SIGTERM; SIGHUP reloads the files"));
  checkCommand = addConfigOptions(app.add_subcommand("check-config", "read the files and report errors"));
  checkCommand->add_flag("--print", printsValues, "show every effective value and its origin");
}

void CommandLine::addDrainCommand() {
  drainCommand = app.add_subcommand("drain", "take a controller out of service, or return it to service");
  adminSocket.addTo(drainCommand);
  addDurationOption(drainCommand, "--deadline", drainRequest.deadline,
                    "time from now until open requests are ended (default: drain.deadline)");
  addDurationOption(drainCommand, "--come-back", drainRequest.retryAfter,
                    "Retry-After sent with rejected requests (default: drain.come_back)");
  drainCommand->add_flag("--cancel", drainRequest.cancel, "cancel the drain and return to service")
      ->excludes("--deadline")
      ->excludes("--come-back");
  drainCommand->add_flag("-w,--watch", drainRequest.watch, "show the progress until the drain has ended");
  drainCommand->add_flag("--json", drainRequest.json, "print the JSON lines of the admin server");
}

void CommandLine::addStatusCommand() {
  statusCommand = app.add_subcommand("status", "show what a controller is doing");
  adminSocket.addTo(statusCommand);
  statusCommand->add_flag("--json", drainRequest.json, "print the JSON of the admin server");
}

void CommandLine::addRollCommand() {
  rollCommand = app.add_subcommand("roll", "drain several controllers, one at a time");
  rollCommand->add_option("sockets", rollingDrainRequest.sockets, "the admin sockets of the controllers")
      ->required()
      ->type_name("SOCKET...");
  addDurationOption(rollCommand, "--deadline", rollingDrainRequest.drainTimeout,
                    "deadline of each drain (default: 20s)");
  addDurationOption(rollCommand, "--back", rollingDrainRequest.resumeTimeout,
                    "time within which each must serve again (default: 30s)");
  rollCommand
      ->add_option("--each", rollingDrainRequest.maintenanceCommand,
                   "shell command run for each drained controller; PADDLETRACK_SOCKET is its socket")
      ->type_name("COMMAND");
  rollCommand->add_flag("--json", rollingDrainRequest.json, "print JSON lines");
}

void CommandLine::addEnginesCommand() {
  enginesCommand =
      app.add_subcommand("engines", "show the engines, their addresses and the health of each address");
  adminSocket.addTo(enginesCommand);
  enginesCommand->add_option("engine", engineId, "show only this engine");
  enginesCommand->add_flag("--json", drainRequest.json, "print one JSON object per line");
}

void CommandLine::addAddressCommand() {
  addressCommand =
      app.add_subcommand("address", "avoid or prefer an address of an engine for a limited time");
  adminSocket.addTo(addressCommand);
  addressCommand->add_option("engine", overrideRequest_.engine)->required()->type_name("ENGINE");
  addressCommand->add_option("address", overrideRequest_.address)->required()->type_name("ADDRESS");
  CLI::Option_group* overrideOptions = addressCommand->add_option_group("what");
  addDurationOption(overrideOptions, "--avoid", avoidDuration_, "try the address last for this duration");
  addDurationOption(overrideOptions, "--use", preferDuration_, "try the address first for this duration");
  overrideOptions->add_flag("--free", clearsOverride_, "clear the override");
  overrideOptions->require_option(1);
}

void CommandLine::addShellCommands() {
  completionCommand = app.add_subcommand("completion", "print the completion script of a shell");
  completionCommand->add_option("shell", shell_, "bash")->required()->check(CLI::IsMember({"bash"}));
  versionCommand = app.add_subcommand("version", "print the version");
}

command::AddressOverrideRequest CommandLine::makeAddressOverrideRequest() const {
  using ManualOverride = addresses::AddressTable::ManualOverride;
  command::AddressOverrideRequest request = overrideRequest_;
  if (avoidDuration_) {
    request.addressOverride = ManualOverride::avoid;
    request.overrideDuration = *avoidDuration_;
  } else if (preferDuration_) {
    request.addressOverride = ManualOverride::prefer;
    request.overrideDuration = *preferDuration_;
  } else {
    request.addressOverride = ManualOverride::clear;
    request.overrideDuration = Duration{0};
  }
  return request;
}

}  // namespace paddletrack::program
