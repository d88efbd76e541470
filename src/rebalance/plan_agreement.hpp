// Which of several plans may be followed, so that two never add up: one an epoch, and epochs never beside
// each other. No I/O, no clock; times are of the wall clock, as all controllers have to mean the same stretch
// of it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/sliding_window_sum.hpp"

namespace paddletrack::rebalance {

// Epochs follow each other on the wall clock. What is shared for one is put at its start; its view is taken
// and promised once that has had time to spread; its plan is followed until a little before its end.
struct EpochSchedule {
  Duration epochDuration{std::chrono::seconds(20)};
  Duration clockSkewTolerance{std::chrono::seconds(1)};  // clocks differ by less than this

  std::uint64_t epochAt(Duration wallTime) const {
    return static_cast<std::uint64_t>(wallTime / epochDuration);
  }
  Duration epochStart(std::uint64_t epoch) const { return epochDuration * static_cast<std::int64_t>(epoch); }
  Duration snapshotAt(std::uint64_t epoch) const { return epochStart(epoch) + epochDuration / 4; }
  Duration epochDeadline(std::uint64_t epoch) const { return epochStart(epoch + 1) - clockSkewTolerance; }
};

struct Promise {
  std::uint64_t epoch = 0, viewDigest = 0;  // of the view
  bool operator==(const Promise&) const = default;
};

// A controller promises one view an epoch, and follows a plan only once more than half of all controllers
// have promised its view. Two views of one epoch can't both have that: some controller would have promised
// both.
class PlanAgreement {
 public:
  // `started`: a controller forgets with its process what it has promised, so one that starts within an epoch
  // promises nothing in it.
  PlanAgreement(unsigned controllers, const EpochSchedule& schedule, Duration startedAt)
      : controllers_(controllers), firstEpoch_(schedule.epochAt(startedAt) + 1) {}

  // Whether this epoch's promise is, or now becomes, this view. None goes back to an earlier epoch.
  bool tryPromise(const Promise& proposal) {
    if (proposal.epoch < firstEpoch_ || (ownPromise_ && proposal.epoch < ownPromise_->epoch)) return false;
    if (!ownPromise_ || ownPromise_->epoch < proposal.epoch) ownPromise_ = proposal;
    return *ownPromise_ == proposal;
  }
  const std::optional<Promise>& ownPromise() const { return ownPromise_; }

  // What another has promised, as last heard; never more of them than there are controllers.
  void onPromise(const std::string& owner, const Promise& promise) {
    const auto known = peerPromises_.find(owner);
    if (known == peerPromises_.end() && peerPromises_.size() + 1 >= controllers_) forgetOldest(promise.epoch);
    if (known == peerPromises_.end() && peerPromises_.size() + 1 >= controllers_) return;
    Promise& lastPromise = peerPromises_[owner];
    if (promise.epoch >= lastPromise.epoch) lastPromise = promise;
  }
  bool hasMajority(const Promise& proposal) const {
    if (ownPromise_ != proposal) return false;
    unsigned promiseCount = 1;
    for (const auto& [owner, promise] : peerPromises_) promiseCount += promise == proposal ? 1 : 0;
    return 2 * promiseCount > controllers_;
  }

 private:
  void forgetOldest(std::uint64_t currentEpoch) {
    for (auto peer = peerPromises_.begin(); peer != peerPromises_.end(); ++peer)
      if (peer->second.epoch + 1 < currentEpoch) {
        peerPromises_.erase(peer);
        return;
      }
  }

  unsigned controllers_;
  std::uint64_t firstEpoch_;
  std::optional<Promise> ownPromise_;
  std::map<std::string, Promise> peerPromises_;
};

}  // namespace paddletrack::rebalance
