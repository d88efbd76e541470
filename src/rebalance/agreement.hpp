// Which of several plans may be followed, so that two never add up: one an epoch, and epochs never beside
// each other. No I/O, no clock; times are of the wall clock, as all controllers have to mean the same stretch
// of it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/bucket_ring.hpp"

namespace paddletrack::rebalance {

// Epochs follow each other on the wall clock. What is shared for one is put at its start; its view is taken
// and promised once that has had time to spread; its plan is followed until a little before its end.
struct Windows {
  Span length{std::chrono::seconds(20)};
  Span guard{std::chrono::seconds(1)};  // clocks differ by less than this

  std::uint64_t epoch(Span wall) const { return static_cast<std::uint64_t>(wall / length); }
  Span begins(std::uint64_t epoch) const { return length * static_cast<std::int64_t>(epoch); }
  Span taken(std::uint64_t epoch) const { return begins(epoch) + length / 4; }
  Span ends(std::uint64_t epoch) const { return begins(epoch + 1) - guard; }
};

struct Promise {
  std::uint64_t epoch = 0, digest = 0;  // of the view
  bool operator==(const Promise&) const = default;
};

// A controller promises one view an epoch, and follows a plan only once more than half of all controllers
// have promised its view. Two views of one epoch can't both have that: some controller would have promised
// both.
class Agreement {
 public:
  // `started`: a controller forgets with its process what it has promised, so one that starts within an epoch
  // promises nothing in it.
  Agreement(unsigned controllers, const Windows& windows, Span started)
      : controllers_(controllers), first_(windows.epoch(started) + 1) {}

  // Whether this epoch's promise is, or now becomes, this view. None goes back to an earlier epoch.
  bool promise(const Promise& made) {
    if (made.epoch < first_ || (own_ && made.epoch < own_->epoch)) return false;
    if (!own_ || own_->epoch < made.epoch) own_ = made;
    return *own_ == made;
  }
  const std::optional<Promise>& own() const { return own_; }

  // What another has promised, as last heard; never more of them than there are controllers.
  void heard(const std::string& owner, const Promise& promise) {
    const auto at = others_.find(owner);
    if (at == others_.end() && others_.size() + 1 >= controllers_) forgetOldest(promise.epoch);
    if (at == others_.end() && others_.size() + 1 >= controllers_) return;
    Promise& last = others_[owner];
    if (promise.epoch >= last.epoch) last = promise;
  }
  bool agreed(const Promise& on) const {
    if (own_ != on) return false;
    unsigned count = 1;
    for (const auto& [owner, promise] : others_) count += promise == on ? 1 : 0;
    return 2 * count > controllers_;
  }

 private:
  void forgetOldest(std::uint64_t before) {
    for (auto at = others_.begin(); at != others_.end(); ++at)
      if (at->second.epoch + 1 < before) {
        others_.erase(at);
        return;
      }
  }

  unsigned controllers_;
  std::uint64_t first_;
  std::optional<Promise> own_;
  std::map<std::string, Promise> others_;
};

}  // namespace paddletrack::rebalance
