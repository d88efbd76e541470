// Decides which of several competing plans may be followed, so that the moves of two plans never run
// together: there is one plan per epoch, and plans of different epochs do not overlap. Performs no I/O. The
// caller passes the wall-clock time, because all controllers must agree on the epoch.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/sliding_window_sum.hpp"

namespace paddletrack::rebalance {

/// Divides wall-clock time into epochs. Controllers publish their reports at the start of an epoch, build and
/// promise a view once the reports have had time to spread, and follow the plan until shortly before the end
/// of the epoch.
struct EpochSchedule {
  Duration epochDuration{std::chrono::seconds(20)};
  /// The difference between the controllers' clocks is less than this.
  Duration clockSkewTolerance{std::chrono::seconds(1)};

  std::uint64_t epochAt(Duration wallTime) const {
    return static_cast<std::uint64_t>(wallTime / epochDuration);
  }
  Duration epochStart(std::uint64_t epoch) const { return epochDuration * static_cast<std::int64_t>(epoch); }
  Duration snapshotAt(std::uint64_t epoch) const { return epochStart(epoch) + epochDuration / 4; }
  Duration epochDeadline(std::uint64_t epoch) const { return epochStart(epoch + 1) - clockSkewTolerance; }
};

/// A controller's promise that in this epoch it follows only the plan of the view with this digest.
struct Promise {
  std::uint64_t epoch = 0, viewDigest = 0;
  bool operator==(const Promise&) const = default;
};

/// Majority agreement on one view per epoch. A controller promises at most one view per epoch and follows a
/// plan only after a majority of all controllers has promised the plan's view. Two views of one epoch cannot
/// both have a majority, because at least one controller would have promised both.
class PlanAgreement {
 public:
  /// `startedAt` is the wall-clock time at which this controller started. Promises are lost when the process
  /// ends, so the controller makes no promise in the epoch in which it started.
  PlanAgreement(unsigned controllers, const EpochSchedule& schedule, Duration startedAt)
      : controllers_(controllers), firstEpoch_(schedule.epochAt(startedAt) + 1) {}

  /// Promises the proposal if nothing has been promised for its epoch yet. Returns true if the proposal is
  /// this controller's promise for the epoch. Proposals for earlier epochs are rejected.
  bool tryPromise(const Promise& proposal) {
    if (proposal.epoch < firstEpoch_ || (ownPromise_ && proposal.epoch < ownPromise_->epoch)) return false;
    if (!ownPromise_ || ownPromise_->epoch < proposal.epoch) ownPromise_ = proposal;
    return *ownPromise_ == proposal;
  }
  const std::optional<Promise>& ownPromise() const { return ownPromise_; }

  /// Records a peer's promise. At most one peer fewer than the number of controllers is remembered; at that
  /// limit, a new peer replaces one whose promise is outdated, or is ignored if there is no such peer.
  void onPromise(const std::string& owner, const Promise& promise) {
    const auto known = peerPromises_.find(owner);
    if (known == peerPromises_.end() && peerPromises_.size() + 1 >= controllers_)
      forgetOutdatedPeer(promise.epoch);
    if (known == peerPromises_.end() && peerPromises_.size() + 1 >= controllers_) return;
    Promise& lastPromise = peerPromises_[owner];
    if (promise.epoch >= lastPromise.epoch) lastPromise = promise;
  }

  /// Returns true if a majority of all controllers, including this one, has promised the proposal.
  bool hasMajority(const Promise& proposal) const {
    if (ownPromise_ != proposal) return false;
    unsigned promiseCount = 1;
    for (const auto& [owner, promise] : peerPromises_) promiseCount += promise == proposal ? 1 : 0;
    return 2 * promiseCount > controllers_;
  }

 private:
  void forgetOutdatedPeer(std::uint64_t currentEpoch) {
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
