// What each controller shares of its own load, and the fleet's sum of it: topic kLoad, for each engine a key
// with its name, and the key "" for the whole; the value is MessagePack, [threads out, jobs dispatched since
// the start]. The whole is also the sign that its owner lives: it is written anew each kPulse.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "share/store.hpp"

namespace paddletrack::share {

struct Load {
  std::uint64_t threads = 0, jobs = 0;
  bool operator==(const Load&) const = default;
};

class LoadShare {
 public:
  static constexpr Span kPulse{std::chrono::milliseconds(500)};
  explicit LoadShare(Store& store) : store_(store) {}
  Span next() const { return next_; }
  // By engine's name, each at most kLongestKey bytes; a longer one and what has no room are left out and
  // counted. Only what differs is written.
  void write(Span now, const std::map<std::string, Load>& engines, Load all);
  std::uint64_t leftOut() const { return leftOut_; }

 private:
  Store& store_;
  Span next_{0};
  std::map<std::string, Load> written_;
  std::uint64_t leftOut_ = 0;
};

// Threads count of controllers heard of within kLive; jobs of all that are held.
struct FleetLoad {
  static constexpr Span kLive = 10 * LoadShare::kPulse;
  std::size_t controllers = 0, live = 0;
  Load all;
  std::map<std::string, Load> engines;
  std::uint64_t unreadable = 0;  // values that are no load
};
FleetLoad fleetLoad(const Store& store, Span now);

}  // namespace paddletrack::share
