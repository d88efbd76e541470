#pragma once

#include <string>

#include "program/node_config.hpp"
#include "program/operator_options.hpp"

namespace paddletrack::program {

/// Prints every effective setting and its origin to standard output, one per line.
void printConfig(const NodeConfig& nodeConfig, const std::string& nodeConfigPath,
                 const OperatorOptions& operatorOptions);

}  // namespace paddletrack::program
