#pragma once

#include <string>

namespace CLI {
class App;
}

namespace paddletrack::command {

/// Returns a bash script that completes the program's commands, options and paths. It is generated from the
/// command definitions, so that the two cannot diverge.
std::string bashCompletion(const CLI::App& app);

}  // namespace paddletrack::command
