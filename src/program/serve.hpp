#pragma once

#include <optional>
#include <string>

#include "admin/operator_config.hpp"
#include "program/node_config.hpp"

namespace paddletrack::program {

// The operator's part: the file, if any, and what the command line says over it.
struct OperatorOptions {
  std::string configPath;
  admin::OperatorConfig config = admin::defaultOperatorConfig();
  std::optional<admin::LogFormat> logFormatOverride;
  std::optional<LogLevel> logLevelOverride;

  admin::LogFormat logFormat() const { return logFormatOverride.value_or(config.logFormat); }
  LogLevel logLevel() const { return logLevelOverride.value_or(config.logLevel); }
};

// Until SIGTERM or SIGINT; the exit code. SIGHUP reads both files again.
int serve(const NodeConfig& nodeConfig, const std::string& configPath, OperatorOptions operatorOptions);

}  // namespace paddletrack::program
