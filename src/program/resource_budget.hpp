#pragma once

#include <cstddef>

#include "program/node_config.hpp"
#include "program/operator_options.hpp"

namespace paddletrack::program {

/// The shares of the components in the configured limits on file descriptors and memory.
struct ResourceBudget {
  std::size_t maxClientConnections = 0;
  std::size_t maxEngineConnections = 0;
  std::size_t maxOpenRequests = 0;
  std::size_t maxFrameBytes = 0;  // Maximum size of a client's message.
  std::size_t minInputBytes = 0;  // Input that each client connection can always hold.
};

/// Returns the maximum of the transport::MemoryBudget of all connections together.
std::size_t maxPeerBytes(const NodeConfig& nodeConfig);

/// Counts the descriptors below `limit` that the process inherited in addition to the standard streams. They
/// are not available to it. Must be called before the process opens descriptors of its own.
std::size_t countInheritedDescriptors(std::size_t limit);

/// Divides the limits among the components. Throws ConfigurationError if the admin server's clients leave too
/// few descriptors for clients and engines.
ResourceBudget computeResourceBudget(const NodeConfig& nodeConfig, const OperatorOptions& operatorOptions,
                                     std::size_t inheritedDescriptors);

}  // namespace paddletrack::program
