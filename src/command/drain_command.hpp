#pragma once

#include <optional>
#include <string>

#include "command/admin_client.hpp"

namespace paddletrack::command {

/// The options of `drain`; `status` uses `json` of them.
struct DrainRequest {
  std::optional<Duration> deadline;    // From now. None: as the controller is configured.
  std::optional<Duration> retryAfter;  // Likewise.
  bool cancel = false;
  bool watch = false;
  bool json = false;
};

// Each runs a command against the admin socket at `path` and returns the exit code. Errors are printed.
int runDrainCommand(const std::string& path, const DrainRequest& request);
int runStatusCommand(const std::string& path, bool json);

/// Returns one line of progress for a person.
std::string formatProgress(const Json& status);

}  // namespace paddletrack::command
