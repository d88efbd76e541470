#pragma once

#include <string>

#include "program/configuration.hpp"

namespace paddletrack::program {

// Until SIGTERM or SIGINT; the exit code. SIGHUP reads the file at that path again.
int serve(const Node& node, const std::string& path);

}  // namespace paddletrack::program
