// With whom this controller reconciles what is shared, when, and what it answers. Decisions alone: no I/O, no
// clock, chance from a seed.
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

using PeerAddress =
    std::uint64_t;  // a place that datagrams come from and go to; the network's own way to name it

struct GossipOptions {
  std::vector<PeerAddress> peers;  // whom it may begin with; answers go to whoever asks
  Duration period{std::chrono::milliseconds(200)};
  std::uint64_t seed = 0;
};

class GossipProtocol {
 public:
  GossipProtocol(Store& store, GossipOptions options);

  struct OutboundMessage {
    PeerAddress destination = 0;
    Message message;
  };
  using OutboundMessages = std::vector<OutboundMessage>;

  // Once in a period, give or take a fourth by chance: digests to the next peer of a shuffled round, so that
  // each peer has its turn within 2 * peers - 1 turns. At once again where a peer has said that it has more.
  Duration nextRoundAt() const { return std::min(nextRoundAt_, followUp_ ? followUp_->dueAt : nextRoundAt_); }
  OutboundMessages runRound(Duration now);
  // What is answered: to a digest what the other lacks and what is wanted of it, to wants what the other
  // lacks, at most kAnswers datagrams. In a period kAsks a peer are answered, 64 at least: the rest is
  // dropped.
  static constexpr std::size_t kMaxAnswerDatagrams = 8, kAnswersPerPeer = 4;
  OutboundMessages onMessage(Duration now, PeerAddress source, const std::string& sender,
                             const Message& message);

  void countDrop(DropReason reason) { ++dropCounts_[static_cast<std::size_t>(reason)]; }
  std::uint64_t dropCount(DropReason reason) const { return dropCounts_[static_cast<std::size_t>(reason)]; }
  std::uint64_t incarnationConflicts() const {
    return incarnationConflicts_;
  }  // later lives of its own name that it met
  struct LastMessage {
    Duration receivedAt{0};
    std::string sender;
  };
  const LastMessage* lastMessageFrom(PeerAddress peer) const;
  std::size_t countActivePeersSince(Duration since) const;  // of the peers
  const GossipOptions& options() const { return options_; }

 private:
  void appendDigests(Duration now, PeerAddress destination, OutboundMessages& messages);
  void appendDeltas(Duration now, PeerAddress destination, Digest peerDigest,
                    OutboundMessages& messages) const;
  bool tryConsumeAnswerBudget(Duration now);
  void scheduleNextRound(Duration now);

  Store& store_;
  const GossipOptions options_;
  std::mt19937_64 randomEngine_;
  std::vector<PeerAddress> remainingPeers_;  // whose turn is still to come, the next at the back
  std::string nextDigestStart_;              // where the next digest begins, if one does not hold all
  Duration nextRoundAt_{0};
  struct FollowUp {
    PeerAddress peer = 0;
    Duration dueAt{0};
  };
  std::optional<FollowUp> followUp_;
  Duration lastFollowUpAt_{0}, lastCleanupAt_{0}, answerWindowStartedAt_{0};
  std::size_t answersInWindow_ = 0;
  std::unordered_map<PeerAddress, LastMessage> lastMessages_;  // peers alone
  std::array<std::uint64_t, kDropReasonCount> dropCounts_{};
  std::uint64_t incarnationConflicts_ = 0;
};

}  // namespace paddletrack::gossip
