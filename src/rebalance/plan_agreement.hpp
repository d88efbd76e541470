// Decides which of several plans may be followed, so that the moves of two plans never add up: one plan per
// epoch, and epochs do not overlap. No I/O; the caller passes the time, which is that of the wall clock,
// because all controllers have to agree on the epoch.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/sliding_window_sum.hpp"

namespace paddletrack::rebalance {

/// Divides the wall clock into epochs. Reports are published at the start of an epoch; its view is taken and
/// promised once they have had time to spread; its plan is followed until shortly before its end.
struct EpochSchedule {
  Duration epochDuration{std::chrono::seconds(20)};
  Duration clockSkewTolerance{std::chrono::seconds(1)};  ///< The controllers' clocks differ by less.

  std::uint64_t epochAt(Duration wallTime) const {
    return static_cast<std::uint64_t>(wallTime / epochDuration);
  }
  Duration epochStart(std::uint64_t epoch) const { return epochDuration * static_cast<std::int64_t>(epoch); }
  Duration snapshotAt(std::uint64_t epoch) const { return epochStart(epoch) + epochDuration / 4; }
  Duration epochDeadline(std::uint64_t epoch) const { return epochStart(epoch + 1) - clockSkewTolerance; }
};

/// A controller's promise to follow, in this epoch, only a plan of the view with this digest.
struct Promise {
  std::uint64_t epoch = 0, viewDigest = 0;
  bool operator==(const Promise&) const = default;
};

/// A controller promises one view per epoch, and follows a plan only once a majority of all controllers has
/// promised its view. Two views of one epoch cannot both have a majority, because some controller would have
/// promised both.
class PlanAgreement {
 public:
  /// A controller loses its promises when its process ends, so one that starts within an epoch, at
  /// `startedAt`, promises nothing in it.
  PlanAgreement(unsigned controllers, const EpochSchedule& schedule, Duration startedAt)
      : controllers_(controllers), firstEpoch_(schedule.epochAt(startedAt) + 1) {}

  /// Returns true if the proposal is, or now becomes, this controller's promise of the epoch. Proposals for
  /// earlier epochs are rejected.
  bool tryPromise(const Promise& proposal) {
    if (proposal.epoch < firstEpoch_ || (ownPromise_ && proposal.epoch < ownPromise_->epoch)) return false;
    if (!ownPromise_ || ownPromise_->epoch < proposal.epoch) ownPromise_ = proposal;
    return *ownPromise_ == proposal;
  }
  const std::optional<Promise>& ownPromise() const { return ownPromise_; }

  /// Records a peer's promise. The number of peers is limited by that of the controllers; beyond it, one
  /// whose promise is out of date is forgotten, or the new one ignored.
  void onPromise(const std::string& owner, const Promise& promise) {
    const auto known = peerPromises_.find(owner);
    if (known == peerPromises_.end() && peerPromises_.size() + 1 >= controllers_) forgetOldest(promise.epoch);
    if (known == peerPromises_.end() && peerPromises_.size() + 1 >= controllers_) return;
    Promise& lastPromise = peerPromises_[owner];
    if (promise.epoch >= lastPromise.epoch) lastPromise = promise;
  }

  /// Returns true if a majority of all controllers, this one included, has promised the proposal.
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
