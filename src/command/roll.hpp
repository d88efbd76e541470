#pragma once

#include <optional>
#include <string>
#include <vector>

#include "command/call.hpp"

namespace paddletrack::command {

struct RollWish {
  std::vector<std::string> sockets;
  std::optional<Span> deadline, back;  // else the roll's own
  std::string each;                    // a shell command for the one that is out; empty: none
  bool json = false;
};

// The exit code; standard output has told each step, standard error what went wrong.
int roll(const RollWish& wish);

}  // namespace paddletrack::command
