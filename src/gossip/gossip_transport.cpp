#include "gossip/gossip_transport.hpp"

#include <cerrno>
#include <cstring>
#include <system_error>

namespace paddletrack::gossip {
namespace {

// Number of datagrams that the receive loop handles before it yields to the other tasks of the scheduler.
constexpr int kMaxDatagramsPerBurst = 16;

transport::DatagramSocket openSocket(transport::Scheduler& scheduler,
                                     const transport::Address& listenAddress) {
  try {
    return {scheduler, listenAddress, kMaxDatagramBytes};
  } catch (const std::system_error& error) {
    throw SocketOpenError(
        "share.listen: " + transport::formatPackedAddress(transport::packAddress(listenAddress)) + ": " +
        error.what() + "; set it to an address of this machine and an unused port");
  }
}

}  // namespace

GossipTransport::GossipTransport(transport::Scheduler& scheduler, const GossipTransportOptions& options,
                                 const Logger& logger)
    : scheduler_(scheduler),
      cluster_(options.cluster),
      logger_(logger),
      startedAt_(scheduler.now()),
      store_(options.storeOptions),
      gossipProtocol_(store_, options.gossipOptions),
      socket_(openSocket(scheduler, options.listenAddress)),
      roundTimer_(scheduler, [this] { runRound(); }),
      tasks_(scheduler, [this](const char* message) { logger_.error("share", message); }) {
  tasks_.spawn(receiveLoop());
  roundTimer_.runAt(startedAt_ + gossipProtocol_.nextRoundAt());
}

Duration GossipTransport::now() const {
  return std::chrono::duration_cast<Duration>(scheduler_.now() - startedAt_);
}

transport::Task<> GossipTransport::receiveLoop() {
  for (int datagramCount = 0;; ++datagramCount) {
    const auto datagram = socket_.receive();
    if (datagram) {
      try {
        onDatagram(*datagram);
      } catch (const std::exception& error) {  // One bad datagram must not end the receive loop.
        recordDrop(DropReason::malformed, datagram->sender, error.what());
      }
      if (datagramCount % kMaxDatagramsPerBurst == kMaxDatagramsPerBurst - 1) co_await scheduler_.yield();
    } else {
      co_await socket_.waitUntilReadable();
    }
  }
}

void GossipTransport::onDatagram(const transport::DatagramSocket::Datagram& datagram) {
  ++traffic_.datagramsIn;
  traffic_.bytesIn += datagram.bytes.size();
  if (datagram.isTruncated) {
    recordDrop(DropReason::oversized, datagram.sender, "exceeds the maximum datagram size");
    return;
  }
  const DecodeResult decoded = decode(datagram.bytes, cluster_, store_.owner());
  if (const auto* reason = std::get_if<DropReason>(&decoded.content)) {
    recordDrop(*reason, datagram.sender, decoded.detail);
    return;
  }
  const std::uint64_t previousIncarnation = store_.incarnation();
  send(gossipProtocol_.onMessage(now(), datagram.sender, decoded.sender, std::get<Message>(decoded.content)));
  if (store_.incarnation() != previousIncarnation)
    logger_.warning("share",
                    "a peer holds entries of " + store_.owner() +
                        " with a later generation; continuing with generation " +
                        std::to_string(store_.incarnation()) +
                        ". A single occurrence means that the clock of this machine went back; "
                        "repeated occurrences mean that two processes use this name",
                    {{"generation", std::to_string(store_.incarnation())}});
  roundTimer_.runAt(startedAt_ + gossipProtocol_.nextRoundAt());
}

void GossipTransport::runRound() {
  try {
    for (const auto& beforeRoundHook : beforeRoundHooks_) beforeRoundHook(now());
    send(gossipProtocol_.runRound(now()));
  } catch (const std::exception& error) {
    logger_.error("share", error.what());
  }
  roundTimer_.runAt(startedAt_ + gossipProtocol_.nextRoundAt());
}

void GossipTransport::send(const GossipProtocol::OutboundMessages& messages) {
  for (const GossipProtocol::OutboundMessage& message : messages) {
    const std::string datagram = encode(message.message, cluster_, store_.owner());
    if (!socket_.send(message.destination, datagram)) {
      recordDrop(DropReason::sendFailed, message.destination, std::strerror(errno));
      continue;
    }
    ++traffic_.datagramsOut;
    traffic_.bytesOut += datagram.size();
  }
}

void GossipTransport::recordDrop(DropReason reason, std::uint64_t source, const std::string& detail) {
  gossipProtocol_.countDrop(reason);
  const std::string peerName = transport::formatPackedAddress(source);
  logger_.debug(
      "share",
      std::string("datagram dropped, reason ") + nameOf(reason) + ", peer " + peerName + ": " + detail,
      {{"reason", nameOf(reason)}, {"address", peerName}});
}

}  // namespace paddletrack::gossip
