#pragma once

#include <string>

namespace CLI {
class App;
}

namespace paddletrack::command {

// A script for bash that completes this program's commands, options and paths; made from the commands
// themselves, so that it does not fall behind them.
std::string bashCompletion(const CLI::App& app);

}  // namespace paddletrack::command
