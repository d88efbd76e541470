// Decides when a controller connects to the discovery service: at startup, after a session has ended, and
// when it is switched to another service. Performs no I/O and reads no clock: the caller passes the time and
// the outcome of each session. Random draws are seeded.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <utility>

namespace paddletrack::discovery {

using Duration = std::chrono::microseconds;

struct ReconnectOptions {
  unsigned controllerCount = 1;  ///< In the deployment; all may start, or lose their session, at once.
  /// Target rates, in connects per second of all controllers together: `reconnectRate` for controllers that
  /// have an endpoint list, from their configuration or an earlier session; `initialReadRate` for those that
  /// have none and serve no requests until they do. 0: no spreading by the number of controllers.
  double reconnectRate = 0, initialReadRate = 0;
  Duration maxWaitDuration{std::chrono::seconds(30)};  ///< Upper bound of each wait.
};

/// Schedules a controller's connects to the discovery service, with backoff, jitter and a target rate.
class ReconnectSchedule {
 public:
  /// How a session ended: no connection was established; the service closed it before a valid line, or sent
  /// an invalid line; no valid line arrived within the silence timeout; or it ended after valid data.
  enum class SessionEnd { unreachable, refused, unresponsive, receivedData };

  ReconnectSchedule(const ReconnectOptions& options, bool hasEndpointList, std::uint64_t seed, Duration now);

  Duration nextConnectAt() const { return nextConnectAt_; }  ///< Start of the next connect.
  Duration silenceTimeout() const;                           ///< Timeout of a session's first line.
  void onSessionData() {
    consecutiveUnresponsive_ = consecutiveFailures_ = 0, hasKnownList_ = true;
  }  // A valid line was received.
  void onSessionEnded(Duration now, SessionEnd sessionEnd,
                      bool hasEndpointList);                    // Schedules the next connect.
  Duration scheduleSwitch(Duration now, bool hasEndpointList);  // Draws when to switch services.
  void onSwitched(Duration now);                                // Schedules a connect for now.
  /// Shortens the current wait, once per wait. Called when an engine is unreachable, because the endpoint
  /// list may be outdated.
  void expediteReconnect(Duration now);

  unsigned consecutiveFailures() const {
    return consecutiveFailures_;
  }                                                   // Successive sessions without valid data.
  Duration spreadWindow(bool hasEndpointList) const;  // Time over which all controllers' connects spread.

 private:
  Duration drawBetween(Duration min, Duration max);

  const ReconnectOptions options_;
  std::minstd_rand random_;
  Duration nextConnectAt_{0}, previousWait_{0};  ///< The last wait; 0 before the first one.
  unsigned consecutiveFailures_ = 0, consecutiveUnresponsive_ = 0;
  bool hasKnownList_;  ///< If set, the first unresponsive session does not lengthen the timeout.
  bool isExpedited_ = false;
};

}  // namespace paddletrack::discovery
