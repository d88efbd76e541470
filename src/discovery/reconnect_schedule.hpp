// When a controller turns to the list service: at its start, after a session with it has ended, and when it
// is told of another one. Told times and what became of each session; no I/O, no clock; chance from a seed.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <utility>

namespace paddletrack::discovery {

using Duration = std::chrono::microseconds;

struct ReconnectOptions {
  unsigned controllerCount = 1;  // of the deployment: so many may start, or lose the list, at once
  // Dials a second that all of them together are to make, by those that know a list already (from their
  // configuration or an earlier session) and by those that know none, which serve nobody until they have
  // one. 0: not spread by the number of controllers.
  double reconnectRate = 0, initialReadRate = 0;
  Duration maxWaitDuration{std::chrono::seconds(30)};  // no wait is longer
};

class ReconnectSchedule {
 public:
  // How a session ended: no connection; ended by the other side before a line that can be used, or with one
  // that can't; not a byte in all our patience; or after it had told something.
  enum class SessionEnd { unreachable, refused, unresponsive, receivedData };

  ReconnectSchedule(const ReconnectOptions& options, bool hasEndpointList, std::uint64_t seed, Duration now);

  Duration nextConnectAt() const { return nextConnectAt_; }  // the next dial begins then
  Duration silenceTimeout() const;  // how long a session is waited for until its first line
  void onSessionData() {
    consecutiveUnresponsive_ = consecutiveFailures_ = 0, hasKnownList_ = true;
  }  // a line that can be used has come
  void onSessionEnded(Duration now, SessionEnd sessionEnd,
                      bool hasEndpointList);                    // and the next dial's time is drawn
  Duration scheduleSwitch(Duration now, bool hasEndpointList);  // to another list service: then
  void onSwitched(Duration now);                                // and it is dialled at once
  // An engine of the list can't be reached: what is known may be old. Brings the next dial forward, once.
  void expediteReconnect(Duration now);

  unsigned consecutiveFailures() const {
    return consecutiveFailures_;
  }                                                   // sessions in a row that told nothing
  Duration spreadWindow(bool hasEndpointList) const;  // in which all controllers' dials are spread

 private:
  Duration drawBetween(Duration min, Duration max);

  const ReconnectOptions options_;
  std::minstd_rand random_;
  Duration nextConnectAt_{0}, previousWait_{0};  // the last wait of a row of them; 0: none has been yet
  unsigned consecutiveFailures_ = 0, consecutiveUnresponsive_ = 0;
  bool hasKnownList_;  // a list is known: the first silence in a row does not make it more patient
  bool isExpedited_ = false;
};

}  // namespace paddletrack::discovery
