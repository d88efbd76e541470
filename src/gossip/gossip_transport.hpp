// Sends and receives the messages of GossipProtocol over one UDP socket (IPv4) and counts the traffic.
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

/// The socket could not be opened. The message names the address, the cause and a remedy.
struct SocketOpenError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct GossipTransportOptions {
  transport::Address listenAddress;
  std::string cluster;
  StoreOptions storeOptions;
  GossipOptions gossipOptions;
};

/// Owns the store, the protocol, their socket and their timer. Runs on the scheduler's thread.
class GossipTransport {
 public:
  /// Throws SocketOpenError, or std::invalid_argument if an option is invalid. `scheduler` and `logger` must
  /// outlive this object.
  GossipTransport(transport::Scheduler& scheduler, const GossipTransportOptions& options,
                  const Logger& logger);

  Store& store() { return store_; }
  /// Time since the start, which is the clock of the store and the protocol.
  Duration now() const;
  /// Adds a function that is called before each round, in which components publish their entries.
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
