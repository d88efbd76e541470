#pragma once

#include <optional>

#include "admin/operator_config.hpp"
#include "gossip/gossip_transport.hpp"
#include "program/node_config.hpp"

namespace paddletrack::program {

/// Returns the options of this node's gossip transport, or std::nullopt if the operator's file does not
/// enable gossip. Throws ConfigurationError if the node's name is empty or too long for a gossip owner.
std::optional<gossip::GossipTransportOptions> makeGossipOptions(const NodeConfig& nodeConfig,
                                                                const admin::GossipOptions& options);

}  // namespace paddletrack::program
