#pragma once

#include <optional>
#include <string>

#include "admin/operator_config.hpp"

namespace paddletrack::program {

/// The operator's settings: the operator's file, if there is one, and the overrides of the command line.
struct OperatorOptions {
  std::string configPath;  // Empty if there is no operator's file.
  admin::OperatorConfig config = admin::defaultOperatorConfig();
  std::optional<admin::LogFormat> logFormatOverride;
  std::optional<LogLevel> logLevelOverride;

  admin::LogFormat logFormat() const { return logFormatOverride.value_or(config.logFormat); }
  LogLevel logLevel() const { return logLevelOverride.value_or(config.logLevel); }
};

}  // namespace paddletrack::program
