#pragma once

#include <optional>
#include <string>
#include <vector>

#include "command/admin_client.hpp"

namespace paddletrack::command {

/// The options of `roll`.
struct RollingDrainRequest {
  std::vector<std::string> sockets;
  std::optional<Duration> drainTimeout;   // None: the default of RollingDrain.
  std::optional<Duration> resumeTimeout;  // Likewise.
  std::string maintenanceCommand;         // A shell command, run for each drained controller. Empty: none.
  bool json = false;
};

/// Drains the controllers in turn. Returns the exit code; steps are printed, errors to standard error.
int runRollCommand(const RollingDrainRequest& request);

}  // namespace paddletrack::command
