#include "program/gossip_options.hpp"

#include <algorithm>
#include <chrono>

namespace paddletrack::program {
namespace {

// The incarnation is the wall clock time of the start, so that it grows with each restart. A clock that was
// set back is detected by the later incarnation that the peers still hold.
std::uint64_t makeIncarnation() {
  const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
  const std::int64_t ticks = std::chrono::duration_cast<Duration>(wallTime).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(ticks, 1));
}

}  // namespace

std::optional<gossip::GossipTransportOptions> makeGossipOptions(const NodeConfig& nodeConfig,
                                                                const admin::GossipOptions& options) {
  if (options.listenAddress.empty()) return std::nullopt;
  if (nodeConfig.name.empty() || nodeConfig.name.size() > gossip::kMaxOwnerBytes)
    throw ConfigurationError("name: must have 1 to " + std::to_string(gossip::kMaxOwnerBytes) +
                             " bytes if the operator's file sets share.listen");
  gossip::GossipTransportOptions gossipOptions{
      transport::Address(options.listenAddress), options.cluster, {}, {}};
  gossip::StoreOptions& storeOptions = gossipOptions.storeOptions;
  storeOptions.owner = nodeConfig.name;
  storeOptions.incarnation = makeIncarnation();
  storeOptions.retentionDuration = options.retentionDuration;
  gossip::GossipOptions& protocolOptions = gossipOptions.gossipOptions;
  protocolOptions.period = options.interval;
  protocolOptions.seed = nodeConfig.seed ^ storeOptions.incarnation;
  for (const std::string& peer : options.peers)
    if (peer != options.listenAddress)
      protocolOptions.peers.push_back(transport::packAddress(transport::Address(peer)));
  return gossipOptions;
}

}  // namespace paddletrack::program
