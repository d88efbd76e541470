#include "share/gossip.hpp"

#include <algorithm>

namespace paddletrack::share {
namespace {

constexpr std::size_t kWindows = 4;                    // datagrams of digests in a turn
constexpr Span kChase{std::chrono::milliseconds(10)};  // between turns with a peer that has more
constexpr int kTidy = 64;                              // looks for what has aged, while an entry does
constexpr std::size_t kLeastAsks = 64;                 // answered in a period, of whoever asks

// What the other has once it has taken a delta.
void advance(Digest& theirs, const Delta& delta) {
  for (const Delta::Part& part : delta.parts) {
    const auto at = std::find_if(theirs.lines.begin(), theirs.lines.end(),
                                 [&](const auto& line) { return line.owner == part.owner; });
    const std::uint64_t has = part.items.empty() ? part.upTo : std::max(part.upTo, part.items.back().version);
    if (at == theirs.lines.end()) {
      theirs.lines.push_back({part.owner, part.generation, has});
    } else {
      *at = {part.owner, part.generation, has};
    }
  }
}

}  // namespace

Gossip::Gossip(Store& store, GossipTerms terms)
    : store_(store), terms_(std::move(terms)), dice_(terms_.seed) {
  schedule(Span{0});
}

void Gossip::schedule(Span now) {
  const auto whole = terms_.period.count();
  next_ = now + Span{std::uniform_int_distribution<Span::rep>(whole * 3 / 4, whole * 5 / 4)(dice_)};
}

Gossip::Letters Gossip::turn(Span now) {
  Letters letters;
  if (now - tidied_ >= store_.keep() / kTidy) {
    tidied_ = now;
    store_.forget(now);
    store_.renew(now);
  }
  if (chase_ && now >= chase_->at) {
    const Where peer = chase_->peer;
    chase_.reset();
    chased_ = now;
    digests(now, peer, letters);
  }
  if (now < next_) return letters;
  schedule(now);
  if (round_.empty()) {
    round_ = terms_.peers;
    std::shuffle(round_.begin(), round_.end(), dice_);
  }
  if (round_.empty()) return letters;
  const Where peer = round_.back();
  round_.pop_back();
  digests(now, peer, letters);
  return letters;
}

void Gossip::digests(Span now, Where to, Letters& letters) {
  for (std::size_t each = 0; each < kWindows; ++each) {
    Digest made = store_.digest(now, from_, kMostDigest);
    from_ = made.last.empty() ? std::string() : made.last + '\0';
    letters.push_back({to, Message(std::move(made))});
    if (from_.empty()) return;
  }
}

// A burst of deltas, each built as if those before it had come.
void Gossip::answer(Span now, Where to, Digest theirs, Letters& letters) const {
  for (std::size_t each = 0; each < kAnswers; ++each) {
    Delta made = store_.delta(now, theirs, kMostDelta);
    if (made.parts.empty()) return;
    const bool more = made.more;
    advance(theirs, made);
    made.more = more && each + 1 == kAnswers;
    letters.push_back({to, Message(std::move(made))});
    if (!more) return;
  }
}

bool Gossip::mayAnswer(Span now) {
  if (now - answeredFrom_ >= terms_.period) answeredFrom_ = now, answered_ = 0;
  return ++answered_ <= std::max(kLeastAsks, kAsks * terms_.peers.size());
}

Gossip::Letters Gossip::heard(Span now, Where from, const std::string& sender, const Message& message) {
  Letters letters;
  if (std::find(terms_.peers.begin(), terms_.peers.end(), from) != terms_.peers.end())
    heard_[from] = {now, sender};
  if (const auto* delta = std::get_if<Delta>(&message)) {
    const Store::Merged merged = store_.merge(now, *delta);
    if (merged.again) ++again_;
    if (merged.refused > 0) drop(Drop::refused);
    if (merged.old > 0 && merged.fresh + merged.known + merged.refused == 0) drop(Drop::old);
    if (delta->more && merged.fresh > 0) chase_ = {from, std::max(now, chased_ + kChase)};
    return letters;
  }
  if (!mayAnswer(now)) {
    drop(Drop::busy);
    return letters;
  }
  if (const auto* wants = std::get_if<Wants>(&message)) {
    answer(now, from, *wants, letters);
    return letters;
  }
  const auto& digest = std::get<Digest>(message);
  const std::uint64_t before = store_.generation();
  Digest wanted = store_.wants(now, digest, kMostDigest);
  if (store_.generation() != before) ++again_;
  if (!wanted.lines.empty()) letters.push_back({from, Message(Wants{std::move(wanted)})});
  answer(now, from, digest, letters);
  return letters;
}

const Gossip::Heard* Gossip::lastHeard(Where peer) const {
  const auto at = heard_.find(peer);
  return at == heard_.end() ? nullptr : &at->second;
}

std::size_t Gossip::heardSince(Span since) const {
  return static_cast<std::size_t>(
      std::count_if(heard_.begin(), heard_.end(), [&](const auto& each) { return each.second.at >= since; }));
}

}  // namespace paddletrack::share
