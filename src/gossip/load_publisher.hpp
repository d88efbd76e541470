// Each controller publishes its own load under the topic kLoadTopic, and sums the load of the fleet. There is
// an entry per engine, with the engine's name as its key, and one with the key "" for the total. A value is
// the MessagePack array [threads in flight, attempts since the controller's start]. The total is also the
// controller's heartbeat: it is rewritten every kHeartbeatInterval, even if it is unchanged.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "gossip/store.hpp"

namespace paddletrack::gossip {

/// Load of one controller or of the fleet on one engine or on all engines.
struct Load {
  std::uint64_t threadsInFlight = 0;  // engine threads used by attempts in flight
  std::uint64_t attempts = 0;         // attempts started since the controller started
  bool operator==(const Load&) const = default;
};

/// Writes this controller's load into the store.
class LoadPublisher {
 public:
  static constexpr Duration kHeartbeatInterval{std::chrono::milliseconds(500)};
  /// `store` must outlive this object.
  explicit LoadPublisher(Store& store) : store_(store) {}
  Duration nextHeartbeatAt() const { return nextHeartbeatAt_; }
  /// Publishes the load by engine name, at most once per heartbeat interval. Only engines whose load changed
  /// are written. Names that are empty or longer than kMaxKeyBytes, and entries that the store rejects, are
  /// omitted and counted.
  void publish(Duration now, const std::map<std::string, Load>& engines, Load total);
  std::uint64_t omittedCount() const { return omittedCount_; }

 private:
  Store& store_;
  Duration nextHeartbeatAt_{0};
  std::map<std::string, Load> publishedLoads_;
  std::uint64_t omittedCount_ = 0;
};

/// Sum of the load of all controllers. Threads in flight count only for controllers with a heartbeat within
/// kLivenessTimeout; attempts count for all controllers whose entries are in the store.
struct FleetLoad {
  static constexpr Duration kLivenessTimeout = 10 * LoadPublisher::kHeartbeatInterval;
  std::size_t controllers = 0;
  std::size_t liveControllers = 0;
  Load total;
  std::map<std::string, Load> engines;
  std::uint64_t unreadableValues = 0;  // values that could not be decoded
};
FleetLoad sumFleetLoad(const Store& store, Duration now);

}  // namespace paddletrack::gossip
