#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/controller_config.hpp"
#include "protocol/endpoint_event.hpp"
#include "transport/connection.hpp"

namespace paddletrack::program {

/// An error in the configuration. Its context is the file and the key.
struct ConfigurationError : ErrorOfKind<ErrorKind::invalidConfiguration> {
  using ErrorOfKind::ErrorOfKind;
};

/// The configuration of one controller, read and checked.
struct NodeConfig {
  std::string name;
  transport::Address listenAddress;
  transport::Address endpointListAddress;
  std::uint64_t seed = 0;
  std::size_t memoryLimitBytes = 0;
  std::size_t descriptorLimit = 0;
  std::uint64_t knownSequence = 0;  // Number of the last endpoint event in this file.
  std::vector<protocol::EndpointEvent> endpointEvents;
  protocol::FlatSettings flatSettings;          // The settings as written.
  protocol::ControllerConfig controllerConfig;  // The settings decoded.
};

/// Throws FileReadError or ConfigurationError.
NodeConfig readNodeConfig(const std::string& path);

/// Returns the key, with its value, that shows `candidate` to be the file of another controller or customer;
/// empty if it is not. The endpoint list of such a file names zones and machine types that are unknown here
/// or mean something else.
std::string findForeignKey(const NodeConfig& current, const NodeConfig& candidate);

/// Lists the keys that differ and take effect only after a restart, for the log; empty if there are none.
std::string listRestartOnlyChanges(const NodeConfig& current, const NodeConfig& candidate);

}  // namespace paddletrack::program
