#pragma once

#include <cstddef>

#include "program/node_config.hpp"
#include "program/operator_options.hpp"

namespace paddletrack::program {

/// How the limits of the configuration on file descriptors and memory are divided among the parts.
struct ResourceBudget {
  std::size_t maxClientConnections = 0;
  std::size_t maxEngineConnections = 0;
  std::size_t maxOpenRequests = 0;
  std::size_t maxFrameBytes = 0;  // Of one client's message.
};

/// Returns the number of bytes that may wait to be sent, on all connections together.
std::size_t maxOutputBytes(const NodeConfig& nodeConfig);

/// Counts the descriptors below `limit` that the process inherited beside the standard streams. They are
/// not available to it. To be called before the process opens descriptors of its own.
std::size_t countInheritedDescriptors(std::size_t limit);

/// Divides the limits. Throws ConfigurationError if the admin server's clients leave too few descriptors for
/// clients and engines.
ResourceBudget computeResourceBudget(const NodeConfig& nodeConfig, const OperatorOptions& operatorOptions,
                                     std::size_t inheritedDescriptors);

}  // namespace paddletrack::program
