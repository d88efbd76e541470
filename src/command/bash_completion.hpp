#pragma once

#include <string>

namespace CLI {
class App;
}

namespace paddletrack::command {

/// Returns a script for bash that completes this program's commands, options and paths. It is generated from
/// the commands, so that it can't fall behind them.
std::string bashCompletion(const CLI::App& app);

}  // namespace paddletrack::command
