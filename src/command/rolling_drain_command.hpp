#pragma once

#include <optional>
#include <string>
#include <vector>

#include "command/admin_client.hpp"

namespace paddletrack::command {

struct RollingDrainRequest {
  std::vector<std::string> sockets;
  std::optional<Duration> drainTimeout, resumeTimeout;  // else the roll's own
  std::string maintenanceCommand;  // a shell command for the one that is out; empty: none
  bool json = false;
};

// The exit code; standard output has told each step, standard error what went wrong.
int runRollCommand(const RollingDrainRequest& request);

}  // namespace paddletrack::command
