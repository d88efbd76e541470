#include "gossip/gossip_protocol.hpp"

#include <algorithm>

namespace paddletrack::gossip {
namespace {

// Maximum number of digest datagrams sent to a peer in one round.
constexpr std::size_t kDigestsPerRound = 4;
// Minimum time between two follow-up rounds, which fetch the entries that did not fit the previous answer.
constexpr Duration kFollowUpDelay{std::chrono::milliseconds(10)};
// Number of times per retention duration that expired entries are removed.
constexpr int kCleanupsPerRetention = 64;
// Lower limit of the answer budget of a period, which applies if few peers are configured.
constexpr std::size_t kMinAnswersPerPeriod = 64;

// Advances the digest of a peer to its state after the peer has merged `delta`.
void advanceDigest(Digest& peerDigest, const Delta& delta) {
  for (const Delta::OwnerDelta& ownerDelta : delta.ownerDeltas) {
    const auto existing = std::ranges::find_if(peerDigest.ownerVersions, [&](const auto& ownerVersion) {
      return ownerVersion.owner == ownerDelta.owner;
    });
    const std::uint64_t version = ownerDelta.updates.empty()
                                      ? ownerDelta.upToVersion
                                      : std::max(ownerDelta.upToVersion, ownerDelta.updates.back().version);
    if (existing == peerDigest.ownerVersions.end()) {
      peerDigest.ownerVersions.push_back({ownerDelta.owner, ownerDelta.incarnation, version});
    } else {
      *existing = {ownerDelta.owner, ownerDelta.incarnation, version};
    }
  }
}

}  // namespace

GossipProtocol::GossipProtocol(Store& store, GossipOptions options)
    : store_(store), options_(std::move(options)), randomEngine_(options_.seed) {
  scheduleNextRound(Duration{0});
}

void GossipProtocol::scheduleNextRound(Duration now) {
  const auto periodTicks = options_.period.count();
  nextRoundAt_ = now + Duration{std::uniform_int_distribution<Duration::rep>(
                           periodTicks * 3 / 4, periodTicks * 5 / 4)(randomEngine_)};
}

GossipProtocol::OutboundMessages GossipProtocol::runRound(Duration now) {
  OutboundMessages messages;
  if (now - lastCleanupAt_ >= store_.retentionDuration() / kCleanupsPerRetention) {
    lastCleanupAt_ = now;
    store_.evictExpired(now);
    store_.renewEntries(now);
  }
  if (followUp_ && now >= followUp_->dueAt) {
    const PeerAddress peer = followUp_->peer;
    followUp_.reset();
    lastFollowUpAt_ = now;
    appendDigests(now, peer, messages);
  }
  if (now < nextRoundAt_) return messages;
  scheduleNextRound(now);
  if (remainingPeers_.empty()) {
    remainingPeers_ = options_.peers;
    std::shuffle(remainingPeers_.begin(), remainingPeers_.end(), randomEngine_);
  }
  if (remainingPeers_.empty()) return messages;
  const PeerAddress peer = remainingPeers_.back();
  remainingPeers_.pop_back();
  appendDigests(now, peer, messages);
  return messages;
}

void GossipProtocol::appendDigests(Duration now, PeerAddress destination, OutboundMessages& messages) {
  for (std::size_t index = 0; index < kDigestsPerRound; ++index) {
    Digest digest = store_.buildDigest(now, nextDigestStart_, kMaxDigestBytes);
    nextDigestStart_ = digest.lastOwner.empty() ? std::string() : digest.lastOwner + '\0';
    messages.push_back({destination, Message(std::move(digest))});
    if (nextDigestStart_.empty()) return;
  }
}

// Appends up to kMaxAnswerDatagrams deltas. Each is built on the assumption that the peer receives the
// preceding ones.
void GossipProtocol::appendDeltas(Duration now, PeerAddress destination, Digest peerDigest,
                                  OutboundMessages& messages) const {
  for (std::size_t index = 0; index < kMaxAnswerDatagrams; ++index) {
    Delta delta = store_.buildDelta(now, peerDigest, kMaxDeltaBytes);
    if (delta.ownerDeltas.empty()) return;
    const bool hasMore = delta.truncated;
    advanceDigest(peerDigest, delta);
    delta.truncated = hasMore && index + 1 == kMaxAnswerDatagrams;
    messages.push_back({destination, Message(std::move(delta))});
    if (!hasMore) return;
  }
}

bool GossipProtocol::tryConsumeAnswerBudget(Duration now) {
  if (now - answerWindowStartedAt_ >= options_.period) {
    answerWindowStartedAt_ = now;
    answersInWindow_ = 0;
  }
  ++answersInWindow_;
  return answersInWindow_ <= std::max(kMinAnswersPerPeriod, kAnswersPerPeer * options_.peers.size());
}

GossipProtocol::OutboundMessages GossipProtocol::onMessage(Duration now, PeerAddress source,
                                                           const std::string& sender,
                                                           const Message& message) {
  OutboundMessages answers;
  if (std::ranges::find(options_.peers, source) != options_.peers.end())
    lastMessages_[source] = {now, sender};
  if (const auto* delta = std::get_if<Delta>(&message)) {
    onDelta(now, source, *delta);
    return answers;
  }
  if (!tryConsumeAnswerBudget(now)) {
    countDrop(DropReason::rateLimited);
    return answers;
  }
  if (const auto* deltaRequest = std::get_if<DeltaRequest>(&message)) {
    appendDeltas(now, source, *deltaRequest, answers);
    return answers;
  }
  onDigest(now, source, std::get<Digest>(message), answers);
  return answers;
}

void GossipProtocol::onDelta(Duration now, PeerAddress source, const Delta& delta) {
  const Store::MergeResult merged = store_.merge(now, delta);
  if (merged.incarnationConflict) ++incarnationConflicts_;
  if (merged.rejected > 0) countDrop(DropReason::storeFull);
  if (merged.stale > 0 && merged.applied + merged.alreadyKnown + merged.rejected == 0)
    countDrop(DropReason::stale);
  if (delta.truncated && merged.applied > 0)
    followUp_ = {source, std::max(now, lastFollowUpAt_ + kFollowUpDelay)};
}

void GossipProtocol::onDigest(Duration now, PeerAddress source, const Digest& digest,
                              OutboundMessages& answers) {
  const std::uint64_t previousIncarnation = store_.incarnation();
  Digest requestedVersions = store_.buildDeltaRequest(now, digest, kMaxDigestBytes);
  if (store_.incarnation() != previousIncarnation) ++incarnationConflicts_;
  if (!requestedVersions.ownerVersions.empty())
    answers.push_back({source, Message(DeltaRequest{std::move(requestedVersions)})});
  appendDeltas(now, source, digest, answers);
}

const GossipProtocol::LastMessage* GossipProtocol::lastMessageFrom(PeerAddress peer) const {
  const auto found = lastMessages_.find(peer);
  return found == lastMessages_.end() ? nullptr : &found->second;
}

std::size_t GossipProtocol::countActivePeersSince(Duration since) const {
  return static_cast<std::size_t>(
      std::count_if(lastMessages_.begin(), lastMessages_.end(),
                    [&](const auto& lastMessage) { return lastMessage.second.receivedAt >= since; }));
}

}  // namespace paddletrack::gossip
