/// The paddletrack program: parses the command line and runs the selected command.
#include <cstdio>
#include <exception>
#include <string>

#include "admin/operator_config.hpp"
#include "command/admin_client.hpp"
#include "command/bash_completion.hpp"
#include "command/drain_command.hpp"
#include "command/engines_command.hpp"
#include "command/rolling_drain_command.hpp"
#include "program/command_line.hpp"
#include "program/config_printer.hpp"
#include "program/node_config.hpp"
#include "program/server.hpp"
#include "program/signal_receiver.hpp"

namespace paddletrack::program {
namespace {

int checkConfig(const CommandLine& commandLine, const NodeConfig& nodeConfig) {
  const std::string& configPath = commandLine.configPath;
  const std::string& operatorConfigPath = commandLine.operatorOptions.configPath;
  if (commandLine.printsValues) {
    printConfig(nodeConfig, configPath, commandLine.operatorOptions);
    return command::kExitSuccess;
  }
  std::printf("%s: %s is valid\n", configPath.c_str(), nodeConfig.name.c_str());
  if (!operatorConfigPath.empty()) std::printf("%s: valid\n", operatorConfigPath.c_str());
  return command::kExitSuccess;
}

int runWithConfig(CommandLine& commandLine) {
  const bool isServing = commandLine.serveCommand->parsed();
  if (isServing) blockSignals();
  const NodeConfig nodeConfig = readNodeConfig(commandLine.configPath);
  OperatorOptions& operatorOptions = commandLine.operatorOptions;
  if (!operatorOptions.configPath.empty())
    operatorOptions.config = admin::readOperatorConfig(operatorOptions.configPath);
  if (!isServing) return checkConfig(commandLine, nodeConfig);
  Server server(nodeConfig, commandLine.configPath, operatorOptions);
  server.run();
  return command::kExitSuccess;
}

int runCommand(CommandLine& commandLine) {
  const command::DrainRequest& drainRequest = commandLine.drainRequest;
  const AdminSocketOption& adminSocket = commandLine.adminSocket;
  if (commandLine.versionCommand->parsed()) {
    std::puts("paddletrack " PADDLETRACK_VERSION);
    return command::kExitSuccess;
  }
  if (commandLine.completionCommand->parsed()) {
    std::fputs(command::bashCompletion(commandLine.app).c_str(), stdout);
    return command::kExitSuccess;
  }
  if (commandLine.drainCommand->parsed())
    return command::runDrainCommand(adminSocket.resolvePath(), drainRequest);
  if (commandLine.enginesCommand->parsed())
    return command::runEnginesCommand(adminSocket.resolvePath(), commandLine.engineId, drainRequest.json);
  if (commandLine.addressCommand->parsed())
    return command::runAddressCommand(adminSocket.resolvePath(), commandLine.makeAddressOverrideRequest());
  if (commandLine.statusCommand->parsed())
    return command::runStatusCommand(adminSocket.resolvePath(), drainRequest.json);
  if (commandLine.rollCommand->parsed()) return command::runRollCommand(commandLine.rollingDrainRequest);
  return runWithConfig(commandLine);
}

}  // namespace
}  // namespace paddletrack::program

int main(int argc, char** argv) {
  using namespace paddletrack;
  program::CommandLine commandLine;
  CLI11_PARSE(commandLine.app, argc, argv);
  try {
    return program::runCommand(commandLine);
  } catch (const program::ConfigurationError& error) {
    return command::reportError(error, "configuration: ");
  } catch (const std::exception& error) {
    return command::reportError(toError(error, ""));
  }
}
