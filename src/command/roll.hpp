#pragma once

#include <string>
#include <vector>

#include "command/call.hpp"

namespace paddletrack::command {

struct RollWish {
  std::vector<std::string> sockets;
  Span deadline{std::chrono::seconds(20)}, back{std::chrono::seconds(30)};
  std::string each;  // a shell command for the one that is out; empty: none
  bool json = false;
};

// The exit code; standard output has told each step, standard error what went wrong.
int roll(const RollWish& wish);

}  // namespace paddletrack::command
