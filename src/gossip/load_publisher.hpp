// What each controller shares of its own load, and the fleet's sum of it: topic kLoad, for each engine a key
// with its name, and the key "" for the whole; the value is MessagePack, [threads out, jobs dispatched since
// the start]. The whole is also the sign that its owner lives: it is written anew each kPulse.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "gossip/store.hpp"

namespace paddletrack::gossip {

struct Load {
  std::uint64_t threadsInFlight = 0, attempts = 0;
  bool operator==(const Load&) const = default;
};

class LoadPublisher {
 public:
  static constexpr Duration kHeartbeatInterval{std::chrono::milliseconds(500)};
  explicit LoadPublisher(Store& store) : store_(store) {}
  Duration nextHeartbeatAt() const { return nextHeartbeatAt_; }
  // By engine's name, each at most kLongestKey bytes; a longer one and what has no room are left out and
  // counted. Only what differs is written.
  void publish(Duration now, const std::map<std::string, Load>& engines, Load total);
  std::uint64_t omittedCount() const { return omittedCount_; }

 private:
  Store& store_;
  Duration nextHeartbeatAt_{0};
  std::map<std::string, Load> publishedLoads_;
  std::uint64_t omittedCount_ = 0;
};

// Threads count of controllers heard of within kLive; jobs of all that are held.
struct FleetLoad {
  static constexpr Duration kLivenessTimeout = 10 * LoadPublisher::kHeartbeatInterval;
  std::size_t controllers = 0, liveControllers = 0;
  Load total;
  std::map<std::string, Load> engines;
  std::uint64_t unreadableValues = 0;  // values that are no load
};
FleetLoad sumFleetLoad(const Store& store, Duration now);

}  // namespace paddletrack::gossip
