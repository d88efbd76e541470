#pragma once

#include "admin/status.hpp"
#include "gossip/gossip_transport.hpp"

namespace paddletrack::program {

/// Returns the current state of gossip. `options` are those with which the transport was created.
admin::GossipStatus makeGossipStatus(gossip::GossipTransport& gossipTransport,
                                     const gossip::GossipTransportOptions& options);

}  // namespace paddletrack::program
