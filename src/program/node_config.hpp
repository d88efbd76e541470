#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/controller_config.hpp"
#include "protocol/endpoint_event.hpp"
#include "transport/connection.hpp"

namespace paddletrack::program {

// What is wrong with the configuration; its place is the file and the key at fault.
struct ConfigurationError : ErrorOfKind<ErrorKind::invalidConfiguration> {
  using ErrorOfKind::ErrorOfKind;
};

// What one controller is told, read and checked.
struct NodeConfig {
  std::string name;
  transport::Address listenAddress, endpointListAddress;
  std::uint64_t seed = 0;
  std::size_t memoryLimitBytes = 0, descriptorLimit = 0;
  std::uint64_t knownSequence = 0;  // number of the last change that is known
  std::vector<protocol::EndpointEvent> endpointEvents;
  protocol::FlatSettings flatSettings;          // as written, and
  protocol::ControllerConfig controllerConfig;  // decoded
};

NodeConfig readNodeConfig(const std::string& path);  // throws FileUnreadable, Misconfigured

// The key by which `now` is another controller's or customer's file, with what stands there; empty: it is
// not. That file's change log tells of engines in words that mean nothing here, or something else.
std::string findForeignKey(const NodeConfig& current, const NodeConfig& candidate);

// The keys in which two readings differ and which only a restart changes, for the log; empty: none.
std::string listRestartOnlyChanges(const NodeConfig& current, const NodeConfig& candidate);

}  // namespace paddletrack::program
