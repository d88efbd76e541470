// The share's datagrams on the network: carries what Gossip decides, and counts. One UDP socket over IPv4.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/logger.hpp"
#include "gossip/gossip_protocol.hpp"
#include "gossip/load_publisher.hpp"
#include "gossip/store.hpp"
#include "transport/datagram_socket.hpp"

namespace paddletrack::gossip {

// The socket could not be had: which address, why, and what to do.
struct SocketOpenError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct GossipTransportOptions {
  transport::Address listenAddress;
  std::string cluster;
  StoreOptions storeOptions;
  GossipOptions gossipOptions;
};

class GossipTransport {
 public:
  // Throws NotOpened; std::invalid_argument where a term is wrong.
  GossipTransport(transport::Scheduler& scheduler, const GossipTransportOptions& options,
                  const Logger& logger);

  Store& store() { return store_; }
  Duration now() const;  // on the store's clock
  // Called before each turn, for who writes entries.
  void addBeforeRoundHook(std::function<void(Duration now)> hook) {
    beforeRoundHooks_.push_back(std::move(hook));
  }

  struct Traffic {
    std::uint64_t datagramsIn = 0, bytesIn = 0, datagramsOut = 0, bytesOut = 0;
  };
  const Traffic& traffic() const { return traffic_; }
  const GossipProtocol& gossipProtocol() const { return gossipProtocol_; }

 private:
  transport::Task<> receiveLoop();
  void onDatagram(const transport::DatagramSocket::Datagram& datagram);
  void runRound();
  void send(const GossipProtocol::OutboundMessages& messages);
  void recordDrop(DropReason reason, std::uint64_t source, const std::string& detail);

  transport::Scheduler& scheduler_;
  const std::string cluster_;
  const Logger& logger_;
  const transport::TimePoint startedAt_;
  Store store_;
  GossipProtocol gossipProtocol_;
  transport::DatagramSocket socket_;
  std::vector<std::function<void(Duration now)>> beforeRoundHooks_;
  Traffic traffic_;
  transport::ScheduledCall roundTimer_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::gossip
