// The anti-entropy protocol on top of the store: selects the peer for each reconciliation round, schedules
// the rounds and answers messages. It performs no I/O and reads no clock; its random numbers come from a
// seed.
#pragma once

#include <array>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "gossip/codec.hpp"
#include "gossip/store.hpp"

namespace paddletrack::gossip {

/// Address of a peer as the transport encodes it. The protocol only compares addresses.
using PeerAddress = std::uint64_t;

struct GossipOptions {
  std::vector<PeerAddress> peers;  // peers to start rounds with; messages of any sender are answered
  Duration period{std::chrono::milliseconds(200)};  // mean time between rounds
  std::uint64_t seed = 0;                           // of the random numbers for the peer order and the jitter
};

/// State machine of the protocol. All times are durations on the store's clock and never go back.
class GossipProtocol {
 public:
  /// `store` must outlive this object.
  GossipProtocol(Store& store, GossipOptions options);

  struct OutboundMessage {
    PeerAddress destination = 0;
    Message message;
  };
  using OutboundMessages = std::vector<OutboundMessage>;

  /// Time at which runRound() is due: once per period with a jitter of a fourth, and earlier if a peer
  /// announced that it has further entries.
  Duration nextRoundAt() const { return std::min(nextRoundAt_, followUp_ ? followUp_->dueAt : nextRoundAt_); }
  /// Performs the actions that are due: removes expired entries, renews own entries, and builds digests for
  /// the next peer. Peers are contacted in shuffled cycles, so that each peer is contacted at least once in
  /// 2 * peers - 1 rounds.
  OutboundMessages runRound(Duration now);
  /// Maximum number of datagrams in one answer.
  static constexpr std::size_t kMaxAnswerDatagrams = 8;
  /// Answer budget of one period in messages, per configured peer.
  static constexpr std::size_t kAnswersPerPeer = 4;
  /// Handles a decoded message and returns the answers. A digest is answered with the entries that the sender
  /// lacks and a request for those that it has; a delta request with the entries; a delta is merged. Messages
  /// beyond the answer budget of the period are dropped.
  OutboundMessages onMessage(Duration now, PeerAddress source, const std::string& sender,
                             const Message& message);

  void countDrop(DropReason reason) { ++dropCounts_[static_cast<std::size_t>(reason)]; }
  std::uint64_t dropCount(DropReason reason) const { return dropCounts_[static_cast<std::size_t>(reason)]; }
  /// Number of times that a peer held a later incarnation of this controller's own name.
  std::uint64_t incarnationConflicts() const { return incarnationConflicts_; }
  struct LastMessage {
    Duration receivedAt{0};
    std::string sender;
  };
  /// The last message from a configured peer; null if there was none. Valid until the next onMessage().
  const LastMessage* lastMessageFrom(PeerAddress peer) const;
  /// Number of configured peers that sent a message at `since` or later.
  std::size_t countActivePeersSince(Duration since) const;
  const GossipOptions& options() const { return options_; }

 private:
  void appendDigests(Duration now, PeerAddress destination, OutboundMessages& messages);
  void appendDeltas(Duration now, PeerAddress destination, Digest peerDigest,
                    OutboundMessages& messages) const;
  void onDelta(Duration now, PeerAddress source, const Delta& delta);
  void onDigest(Duration now, PeerAddress source, const Digest& digest, OutboundMessages& answers);
  bool tryConsumeAnswerBudget(Duration now);
  void scheduleNextRound(Duration now);

  Store& store_;
  const GossipOptions options_;
  std::mt19937_64 randomEngine_;
  std::vector<PeerAddress> remainingPeers_;  // not contacted yet in this cycle; the next one is at the back
  std::string nextDigestStart_;  // first owner of the next digest; empty if it starts with the first owner
  Duration nextRoundAt_{0};
  struct FollowUp {
    PeerAddress peer = 0;
    Duration dueAt{0};
  };
  std::optional<FollowUp> followUp_;
  Duration lastFollowUpAt_{0};
  Duration lastCleanupAt_{0};
  Duration answerWindowStartedAt_{0};
  std::size_t answersInWindow_ = 0;
  std::unordered_map<PeerAddress, LastMessage> lastMessages_;  // configured peers only
  std::array<std::uint64_t, kDropReasonCount> dropCounts_{};
  std::uint64_t incarnationConflicts_ = 0;
};

}  // namespace paddletrack::gossip
