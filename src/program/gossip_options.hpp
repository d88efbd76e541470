#pragma once

#include <optional>

#include "admin/operator_config.hpp"
#include "gossip/gossip_transport.hpp"
#include "program/node_config.hpp"

namespace paddletrack::program {

/// The transport's options for this node; none if the operator's file does not switch gossip on. Throws
/// ConfigurationError if the node's name can't be used among the controllers.
std::optional<gossip::GossipTransportOptions> makeGossipOptions(const NodeConfig& nodeConfig,
                                                                const admin::GossipOptions& options);

}  // namespace paddletrack::program
