#pragma once

#include "admin/status.hpp"
#include "gossip/gossip_transport.hpp"

namespace paddletrack::program {

/// Reports what the controllers share at this instant. `options` are those the transport was made with.
admin::GossipStatus makeGossipStatus(gossip::GossipTransport& gossipTransport,
                                     const gossip::GossipTransportOptions& options);

}  // namespace paddletrack::program
