// With whom this controller reconciles what is shared, when, and what it answers. Decisions alone: no I/O, no
// clock, chance from a seed.
#pragma once

#include <array>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "share/codec.hpp"
#include "share/store.hpp"

namespace paddletrack::share {

using Where = std::uint64_t;  // a place that datagrams come from and go to; the network's own way to name it

struct GossipTerms {
  std::vector<Where> peers;  // whom it may begin with; answers go to whoever asks
  Span period{std::chrono::milliseconds(200)};
  std::uint64_t seed = 0;
};

class Gossip {
 public:
  Gossip(Store& store, GossipTerms terms);

  struct Letter {
    Where to = 0;
    Message message;
  };
  using Letters = std::vector<Letter>;

  // Once in a period, give or take a fourth by chance: digests to the next peer of a shuffled round, so that
  // each peer has its turn within 2 * peers - 1 turns. At once again where a peer has said that it has more.
  Span next() const { return std::min(next_, chase_ ? chase_->at : next_); }
  Letters turn(Span now);
  // What is answered: to a digest what the other lacks and what is wanted of it, to wants what the other
  // lacks, at most kAnswers datagrams. In a period kAsks a peer are answered, 64 at least: the rest is
  // dropped.
  static constexpr std::size_t kAnswers = 8, kAsks = 4;
  Letters heard(Span now, Where from, const std::string& sender, const Message& message);

  void drop(Drop why) { ++drops_[static_cast<std::size_t>(why)]; }
  std::uint64_t drops(Drop why) const { return drops_[static_cast<std::size_t>(why)]; }
  std::uint64_t again() const { return again_; }  // later lives of its own name that it met
  struct Heard {
    Span at{0};
    std::string sender;
  };
  const Heard* lastHeard(Where peer) const;
  std::size_t heardSince(Span since) const;  // of the peers
  const GossipTerms& terms() const { return terms_; }

 private:
  void digests(Span now, Where to, Letters& letters);
  void answer(Span now, Where to, Digest theirs, Letters& letters) const;
  bool mayAnswer(Span now);
  void schedule(Span now);

  Store& store_;
  const GossipTerms terms_;
  std::mt19937_64 dice_;
  std::vector<Where> round_;  // whose turn is still to come, the next at the back
  std::string from_;          // where the next digest begins, if one does not hold all
  Span next_{0};
  struct Chase {
    Where peer = 0;
    Span at{0};
  };
  std::optional<Chase> chase_;
  Span chased_{0}, tidied_{0}, answeredFrom_{0};
  std::size_t answered_ = 0;
  std::unordered_map<Where, Heard> heard_;  // peers alone
  std::array<std::uint64_t, kDrops> drops_{};
  std::uint64_t again_ = 0;
};

}  // namespace paddletrack::share
