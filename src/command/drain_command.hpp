#pragma once

#include <optional>
#include <string>

#include "command/admin_client.hpp"

namespace paddletrack::command {

struct DrainRequest {
  std::optional<Duration> deadline, retryAfter;
  bool cancel = false, watch = false, json = false;
};

// Each returns an exit code and has said on standard error what went wrong.
int runDrainCommand(const std::string& path, const DrainRequest& request);
int runStatusCommand(const std::string& path, bool json);

// One line of progress, for a person.
std::string formatProgress(const Json& status);

}  // namespace paddletrack::command
