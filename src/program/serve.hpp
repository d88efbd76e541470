#pragma once

#include "program/configuration.hpp"

namespace paddletrack::program {

int serve(const Node& node);  // until SIGTERM or SIGINT; the exit code

}  // namespace paddletrack::program
