#include "program/resource_budget.hpp"

#include <fcntl.h>

#include <algorithm>

namespace paddletrack::program {
namespace {

constexpr std::size_t kPeerMemoryDivisor = 2;         // Half of the memory is the budget of the peers.
constexpr std::size_t kInputMemoryDivisor = 8;        // Of it, an eighth of all is for incomplete requests.
constexpr std::size_t kOpenRequestMemoryDivisor = 4;  // A quarter is for open requests.
// Estimated memory of an open request. The memory budget counts its statement and result as they are.
constexpr std::size_t kOpenRequestBytes = 8192;
constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 20;
constexpr std::size_t kFrameMemoryDivisor = 16;  // No message takes more than this part of the peers' memory.

constexpr std::size_t kMinConnectionDescriptors = 14;  // For clients and engines together.
constexpr std::size_t kStandardStreams = 3;
constexpr std::size_t kServiceDescriptors = 3;    // epoll, signals and the client listener.
constexpr std::size_t kDiscoveryDescriptors = 3;  // The current endpoint list and two earlier sessions.
constexpr std::size_t kSpareDescriptors = 2;      // One for reloading a file and one in reserve.
constexpr std::size_t kReservedDescriptors =
    kStandardStreams + kServiceDescriptors + kDiscoveryDescriptors + kSpareDescriptors;
constexpr std::size_t kAdminServerDescriptors = 2;  // The listener and a client that is being refused.
constexpr std::size_t kGossipDescriptors = 1;

std::size_t countReservedDescriptors(const admin::OperatorConfig& config) {
  std::size_t count = kReservedDescriptors;
  if (!config.adminServer.socketPath.empty())
    count += config.adminServer.maxClients + kAdminServerDescriptors;
  if (!config.gossip.listenAddress.empty()) count += kGossipDescriptors;
  return count;
}

std::size_t countConnectionDescriptors(std::size_t limit, std::size_t reserved, std::size_t inherited) {
  // Inherited descriptors reduce only the part above the minimum, so that many of them do not prevent the
  // start.
  const std::size_t maxDeductible = limit - reserved - kMinConnectionDescriptors;
  return limit - reserved - std::min(inherited, maxDeductible);
}

}  // namespace

std::size_t maxPeerBytes(const NodeConfig& nodeConfig) {
  return nodeConfig.memoryLimitBytes / kPeerMemoryDivisor;
}

std::size_t countInheritedDescriptors(std::size_t limit) {
  constexpr std::size_t kFirstDescriptor = 3;
  constexpr std::size_t kMaxChecked = 4096;
  std::size_t count = 0;
  for (std::size_t index = kFirstDescriptor; index < std::min(limit, kMaxChecked); ++index)
    if (::fcntl(static_cast<int>(index), F_GETFD) >= 0) ++count;
  return count;
}

ResourceBudget computeResourceBudget(const NodeConfig& nodeConfig, const OperatorOptions& operatorOptions,
                                     std::size_t inheritedDescriptors) {
  const std::size_t reservedDescriptors = countReservedDescriptors(operatorOptions.config);
  if (reservedDescriptors + kMinConnectionDescriptors > nodeConfig.descriptorLimit)
    throw ConfigurationError(operatorOptions.configPath + ": door.clients",
                             std::to_string(operatorOptions.config.adminServer.maxClients) +
                                 " clients leave too few descriptors of limits.sockets");
  const std::size_t connectionDescriptors =
      countConnectionDescriptors(nodeConfig.descriptorLimit, reservedDescriptors, inheritedDescriptors);
  const std::size_t inputBytes = nodeConfig.memoryLimitBytes / kInputMemoryDivisor;

  ResourceBudget budget;
  // Clients get two thirds, because there are fewer engines than clients. The input memory has room for a
  // request of each client, however many descriptors are available.
  budget.maxClientConnections = std::min(connectionDescriptors * 2 / 3, inputBytes / kOpenRequestBytes);
  budget.maxEngineConnections = connectionDescriptors - budget.maxClientConnections;
  budget.maxOpenRequests =
      std::min(nodeConfig.controllerConfig.maxOpenRequests,
               nodeConfig.memoryLimitBytes / kOpenRequestMemoryDivisor / kOpenRequestBytes);
  budget.minInputBytes = std::min(kMaxFrameBytes, inputBytes / budget.maxClientConnections);
  budget.maxFrameBytes = std::max(budget.minInputBytes,
                                  std::min(kMaxFrameBytes, maxPeerBytes(nodeConfig) / kFrameMemoryDivisor));
  return budget;
}

}  // namespace paddletrack::program
