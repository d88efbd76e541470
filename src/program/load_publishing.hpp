#pragma once

#include "gossip/load_publisher.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::program {

/// Publishes this controller's load, per engine and in total, if the next heartbeat is due at `now` (on the
/// gossip store's clock).
void publishLoad(gossip::LoadPublisher& loadPublisher, Duration now, const routing::RequestRouter& router);

}  // namespace paddletrack::program
