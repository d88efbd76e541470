// Decides when a controller connects to the discovery service: at its start, after a session has ended, and
// when it is switched to another service. There is no I/O and no clock: calls pass the time and the outcome
// of each session. Random draws come from a seed.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <utility>

namespace paddletrack::discovery {

using Duration = std::chrono::microseconds;

struct ReconnectOptions {
  unsigned controllerCount = 1;  ///< Of the deployment; all may start, or lose their session, at once.
  /// Target rates of connects per second of all controllers together: of those that know an endpoint list,
  /// from their configuration or an earlier session, and of those that know none and serve no requests until
  /// they do. 0: connects are not spread by the number of controllers.
  double reconnectRate = 0, initialReadRate = 0;
  Duration maxWaitDuration{std::chrono::seconds(30)};  ///< Upper bound of each wait.
};

/// The times of a controller's connects to the discovery service, with backoff, jitter and a target rate.
class ReconnectSchedule {
 public:
  /// How a session ended: without a connection; closed by the service before a valid line, or with an invalid
  /// one; without a byte within the silence timeout; or after valid data.
  enum class SessionEnd { unreachable, refused, unresponsive, receivedData };

  ReconnectSchedule(const ReconnectOptions& options, bool hasEndpointList, std::uint64_t seed, Duration now);

  Duration nextConnectAt() const { return nextConnectAt_; }  ///< When the next connect starts.
  Duration silenceTimeout() const;                           ///< How long to wait for the first line.
  void onSessionData() {
    consecutiveUnresponsive_ = consecutiveFailures_ = 0, hasKnownList_ = true;
  }  // A valid line has arrived.
  void onSessionEnded(Duration now, SessionEnd sessionEnd,
                      bool hasEndpointList);                    // Draws the time of the next connect.
  Duration scheduleSwitch(Duration now, bool hasEndpointList);  // When to switch to another service.
  void onSwitched(Duration now);                                // The next connect starts at once.
  /// Brings the next connect forward, once per wait: an engine cannot be reached, so the list may be
  /// outdated.
  void expediteReconnect(Duration now);

  unsigned consecutiveFailures() const {
    return consecutiveFailures_;
  }                                                   // Successive sessions without valid data.
  Duration spreadWindow(bool hasEndpointList) const;  // Over which the connects of all controllers spread.

 private:
  Duration drawBetween(Duration min, Duration max);

  const ReconnectOptions options_;
  std::minstd_rand random_;
  Duration nextConnectAt_{0}, previousWait_{0};  ///< The last wait; 0: there was none yet.
  unsigned consecutiveFailures_ = 0, consecutiveUnresponsive_ = 0;
  bool hasKnownList_;  ///< The first silence then does not lengthen the timeout.
  bool isExpedited_ = false;
};

}  // namespace paddletrack::discovery
