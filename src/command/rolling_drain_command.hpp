#pragma once

#include <optional>
#include <string>
#include <vector>

#include "command/admin_client.hpp"

namespace paddletrack::command {

/// The options of `roll`.
struct RollingDrainRequest {
  std::vector<std::string> sockets;
  std::optional<Duration> drainTimeout;   // std::nullopt: the default of RollingDrain.
  std::optional<Duration> resumeTimeout;  // std::nullopt: the default of RollingDrain.
  std::string maintenanceCommand;  // A shell command that is run for each drained controller. May be empty.
  bool json = false;
};

/// Drains the controllers one at a time. Prints the steps to standard output and errors to standard error.
/// Returns the exit code.
int runRollCommand(const RollingDrainRequest& request);

}  // namespace paddletrack::command
