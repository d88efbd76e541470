#include "program/gossip_status.hpp"

namespace paddletrack::program {
namespace {

void fillStore(admin::GossipStatus& status, const gossip::Store& store) {
  status.controllerName = store.owner();
  status.incarnation = store.incarnation();
  status.knownControllers = store.ownerCount();
  status.entries = store.entryCount();
  status.bytes = store.totalBytes();
}

void fillPeers(admin::GossipStatus& status, const gossip::GossipProtocol& protocol,
               const std::vector<gossip::PeerAddress>& peers, Duration now) {
  status.peerCount = peers.size();
  status.activePeerCount = protocol.countActivePeersSince(now - gossip::FleetLoad::kLivenessTimeout);
  for (const gossip::PeerAddress peer : peers) {
    if (status.peers.size() == admin::GossipStatus::kMaxPeers) break;
    admin::GossipPeerStatus& peerStatus = status.peers.emplace_back();
    peerStatus.address = transport::formatPackedAddress(peer);
    if (const gossip::GossipProtocol::LastMessage* lastMessage = protocol.lastMessageFrom(peer)) {
      peerStatus.controllerName = lastMessage->sender;
      peerStatus.lastMessageAgo = now - lastMessage->receivedAt;
    }
  }
}

void fillTraffic(admin::GossipStatus& status, const gossip::GossipTransport::Traffic& traffic,
                 const gossip::GossipProtocol& protocol) {
  status.datagramsReceived = traffic.datagramsIn;
  status.bytesReceived = traffic.bytesIn;
  status.datagramsSent = traffic.datagramsOut;
  status.bytesSent = traffic.bytesOut;
  for (std::size_t index = 0; index < gossip::kDropReasonCount; ++index) {
    const auto reason = static_cast<gossip::DropReason>(index);
    status.droppedByReason.emplace_back(nameOf(reason), protocol.dropCount(reason));
  }
}

void fillFleetLoad(admin::GossipStatus& status, const gossip::FleetLoad& fleetLoad) {
  status.reportingControllers = fleetLoad.controllers;
  status.liveControllers = fleetLoad.liveControllers;
  status.totalLoad = {fleetLoad.total.threadsInFlight, fleetLoad.total.attempts};
  for (const auto& [engineId, load] : fleetLoad.engines) {
    if (status.engineLoads.size() == admin::GossipStatus::kMaxEngines) break;
    status.engineLoads.emplace_back(engineId, admin::LoadStatus{load.threadsInFlight, load.attempts});
  }
}

}  // namespace

admin::GossipStatus makeGossipStatus(gossip::GossipTransport& gossipTransport,
                                     const gossip::GossipTransportOptions& options) {
  const Duration now = gossipTransport.now();
  const gossip::Store& store = gossipTransport.store();
  const gossip::GossipProtocol& protocol = gossipTransport.gossipProtocol();
  admin::GossipStatus status;
  status.cluster = options.cluster;
  status.maxBytes = options.storeOptions.maxBytes;
  status.laterIncarnations = protocol.incarnationConflicts();
  fillStore(status, store);
  fillPeers(status, protocol, options.gossipOptions.peers, now);
  fillTraffic(status, gossipTransport.traffic(), protocol);
  fillFleetLoad(status, gossip::sumFleetLoad(store, now));
  return status;
}

}  // namespace paddletrack::program
