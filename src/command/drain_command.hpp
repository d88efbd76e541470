#pragma once

#include <optional>
#include <string>

#include "command/admin_client.hpp"

namespace paddletrack::command {

/// The options of `drain`. `status` uses only `json`.
struct DrainRequest {
  std::optional<Duration> deadline;    // From now. std::nullopt: the controller's drain.deadline.
  std::optional<Duration> retryAfter;  // std::nullopt: the controller's drain.come_back.
  bool cancel = false;
  bool watch = false;
  bool json = false;
};

/// Runs `drain` against the admin socket at `path` and returns the exit code. Errors are printed.
int runDrainCommand(const std::string& path, const DrainRequest& request);
/// Runs `status` against the admin socket at `path` and returns the exit code. Errors are printed.
int runStatusCommand(const std::string& path, bool json);

/// Returns a human-readable line of progress, made from a status of the admin protocol.
std::string formatProgress(const Json& status);

}  // namespace paddletrack::command
