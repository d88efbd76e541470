#include "program/command_line.hpp"

#include <map>
#include <stdexcept>

#include "admin/operator_config.hpp"

namespace paddletrack::program {
namespace {

constexpr const char* kExitCodesFooter =
    "Exit codes: 0 done as asked, 1 broken, 2 a file or a value is wrong, 3 the deadline found jobs open, "
    "4 cancelled by somebody, 5 no answer at the door, 6 refused; above 100 the command line is wrong.";

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
  subcommand->add_option("-s,--socket", socketPath, "the controller's door")
      ->envname("PADDLETRACK_SOCKET")
      ->type_name("PATH");
  subcommand->add_option("--operator", operatorConfigPath, "the operator's file, which names the door")
      ->envname("GW_OPERATOR");
}

std::string AdminSocketOption::resolvePath() const {
  if (!socketPath.empty()) return socketPath;
  std::string configuredPath;
  if (!operatorConfigPath.empty())
    configuredPath = admin::readOperatorConfig(operatorConfigPath).adminServer.socketPath;
  if (configuredPath.empty())
    throw admin::OperatorConfigError(
        operatorConfigPath, "no door is named: --socket, or --operator with a file that has door.socket");
  return configuredPath;
}

CommandLine::CommandLine() : app("A front for query engines with limited memory.", "paddletrack") {
  app.require_subcommand(1);
  app.footer(kExitCodesFooter);
  // The help shows the commands in this order.
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
      addConfigOptions(app.add_subcommand("serve", "serve until SIGTERM; SIGHUP reads the files again"));
  checkCommand =
      addConfigOptions(app.add_subcommand("check-config", "read the files and name what is wrong"));
  checkCommand->add_flag("--print", printsValues, "show every value in force and where it came from");
}

void CommandLine::addDrainCommand() {
  drainCommand = app.add_subcommand("drain", "take a controller out of service, or bring it back");
  adminSocket.addTo(drainCommand);
  addDurationOption(drainCommand, "--deadline", drainRequest.deadline,
                    "when open jobs are ended, from now (else drain.deadline)");
  addDurationOption(drainCommand, "--come-back", drainRequest.retryAfter,
                    "told to clients that are turned away (else drain.come_back)");
  drainCommand->add_flag("--cancel", drainRequest.cancel, "bring it back into service")
      ->excludes("--deadline")
      ->excludes("--come-back");
  drainCommand->add_flag("-w,--watch", drainRequest.watch, "show the progress until it has ended");
  drainCommand->add_flag("--json", drainRequest.json, "JSON lines as the door tells them");
}

void CommandLine::addStatusCommand() {
  statusCommand = app.add_subcommand("status", "show what a controller is doing");
  adminSocket.addTo(statusCommand);
  statusCommand->add_flag("--json", drainRequest.json, "as the door tells it");
}

void CommandLine::addRollCommand() {
  rollCommand = app.add_subcommand("roll", "take controllers out in turn, one at a time");
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
}

void CommandLine::addEnginesCommand() {
  enginesCommand =
      app.add_subcommand("engines", "show the engines, their addresses and what is known of each");
  adminSocket.addTo(enginesCommand);
  enginesCommand->add_option("engine", engineId, "this one alone");
  enginesCommand->add_flag("--json", drainRequest.json, "a JSON object a line");
}

void CommandLine::addAddressCommand() {
  addressCommand = app.add_subcommand("address", "avoid or prefer an address of an engine for a while");
  adminSocket.addTo(addressCommand);
  addressCommand->add_option("engine", overrideRequest_.engine)->required()->type_name("ENGINE");
  addressCommand->add_option("address", overrideRequest_.address)->required()->type_name("ADDRESS");
  CLI::Option_group* overrideOptions = addressCommand->add_option_group("what");
  addDurationOption(overrideOptions, "--avoid", avoidDuration_, "tried last for so long");
  addDurationOption(overrideOptions, "--use", preferDuration_, "tried first for so long");
  overrideOptions->add_flag("--free", clearsOverride_, "as if nothing had been set");
  overrideOptions->require_option(1);
}

void CommandLine::addShellCommands() {
  completionCommand = app.add_subcommand("completion", "print a shell's completion of these commands");
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
