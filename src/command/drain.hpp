#pragma once

#include <optional>
#include <string>

#include "command/call.hpp"

namespace paddletrack::command {

struct DrainWish {
  std::optional<Span> deadline, comeBack;
  bool cancel = false, watch = false, json = false;
};

// Each returns an exit code and has said on standard error what went wrong.
int drain(const std::string& path, const DrainWish& wish);
int status(const std::string& path, bool json);

// One line of progress, for a person.
std::string progressLine(const Json& status);

}  // namespace paddletrack::command
