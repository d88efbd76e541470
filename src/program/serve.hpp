#pragma once

#include <optional>
#include <string>

#include "operating/settings.hpp"
#include "program/configuration.hpp"

namespace paddletrack::program {

// The operator's part: the file, if any, and what the command line says over it.
struct Operator {
  std::string path;
  operating::Settings settings = operating::defaults();
  std::optional<operating::LogForm> logForm;
  std::optional<Level> logLevel;

  operating::LogForm form() const { return logForm.value_or(settings.logForm); }
  Level level() const { return logLevel.value_or(settings.logLevel); }
};

// Until SIGTERM or SIGINT; the exit code. SIGHUP reads both files again.
int serve(const Node& node, const std::string& path, Operator owner);

}  // namespace paddletrack::program
