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

/// The validated configuration of one controller.
struct NodeConfig {
  std::string name;
  transport::Address listenAddress;
  transport::Address endpointListAddress;
  std::uint64_t seed = 0;
  std::size_t memoryLimitBytes = 0;
  std::size_t descriptorLimit = 0;
  std::uint64_t knownSequence = 0;  // Sequence number of the last endpoint event in this file.
  std::vector<protocol::EndpointEvent> endpointEvents;
  protocol::FlatSettings flatSettings;          // The settings as written in the file.
  protocol::ControllerConfig controllerConfig;  // The decoded settings.
};

/// Reads and validates the file at `path`. Throws FileReadError or ConfigurationError.
NodeConfig readNodeConfig(const std::string& path);

/// Returns the key, with its value, by which `candidate` is the file of another controller or site, or an
/// empty string if it is not. The endpoint list of such a file names zones and machine types that are unknown
/// here or have another meaning.
std::string findForeignKey(const NodeConfig& current, const NodeConfig& candidate);

/// Lists, for the log, the keys that differ and take effect only after a restart; empty if there are none.
std::string listRestartOnlyChanges(const NodeConfig& current, const NodeConfig& candidate);

}  // namespace paddletrack::program
