#include "discovery/reconnect_schedule.hpp"

#include <algorithm>

namespace paddletrack::discovery {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{1000};  // Longest interval between lines from the service.
constexpr Duration kSilenceTimeout =
    kHeartbeatInterval * 3 / 2;               // A session without a line for so long has failed.
constexpr unsigned kMaxTimeoutDoublings = 2;  // Of the silence timeout before a session's first line.
constexpr Duration kMinWaitDuration = kHeartbeatInterval / 10;  // Minimum wait after a session.
constexpr Duration kMaxWaitDuration =
    kHeartbeatInterval * 4 / 5;  // Upper bound unless the spread window requires longer waits.
// Minimum share of each controller in the time over which all of them reconnect if no rate is configured.
constexpr std::chrono::microseconds kMinReconnectSpacing{2500};
constexpr int kJitterGrowth = 3;     // Maximum ratio of a wait to the previous one.
constexpr int kExpediteDivisor = 4;  // Expediting cuts the remaining wait at least by this factor.

// Scrambles the seed with the final steps of splitmix64: controllers often have consecutive seeds, whose
// first draws would otherwise be close to each other.
std::minstd_rand::result_type scrambleSeed(std::uint64_t seed) {
  seed += 0x9e3779b97f4a7c15;
  seed = (seed ^ (seed >> 30)) * 0xbf58476d1ce4e5b9;
  seed = (seed ^ (seed >> 27)) * 0x94d049bb133111eb;
  return static_cast<std::minstd_rand::result_type>((seed ^ (seed >> 31)) % 2147483646 + 1);
}

}  // namespace

ReconnectSchedule::ReconnectSchedule(const ReconnectOptions& options, bool hasEndpointList,
                                     std::uint64_t seed, Duration now)
    : options_(options), random_(scrambleSeed(seed)), hasKnownList_(hasEndpointList) {
  nextConnectAt_ = scheduleSwitch(now, hasEndpointList);
}

Duration ReconnectSchedule::spreadWindow(bool hasEndpointList) const {
  const double rate = hasEndpointList ? options_.reconnectRate : options_.initialReadRate;
  if (rate <= 0) return Duration{0};
  const std::chrono::duration<double> fullWindow(options_.controllerCount / rate);
  return fullWindow < options_.maxWaitDuration ? std::chrono::duration_cast<Duration>(fullWindow)
                                               : options_.maxWaitDuration;
}

Duration ReconnectSchedule::drawBetween(Duration min, Duration max) {
  return Duration{
      std::uniform_int_distribution<Duration::rep>(min.count(), std::max(min, max).count())(random_)};
}

// The timeout grows because a service may be slow while many controllers read their first endpoint list. A
// controller that has a list must not wait long: a change counts as visible to all controllers after 7 s,
// whether or not it was received, so one silent session, two failed connects and the waits between them must
// together take less than that.
Duration ReconnectSchedule::silenceTimeout() const {
  const unsigned doublings =
      consecutiveUnresponsive_ > 0 && hasKnownList_ ? consecutiveUnresponsive_ - 1 : consecutiveUnresponsive_;
  return kSilenceTimeout * (1 << std::min(doublings, kMaxTimeoutDoublings));
}

Duration ReconnectSchedule::scheduleSwitch(Duration now, bool hasEndpointList) {
  return now + drawBetween(Duration{0}, spreadWindow(hasEndpointList));
}

void ReconnectSchedule::onSwitched(Duration now) {
  consecutiveFailures_ = consecutiveUnresponsive_ = 0;
  isExpedited_ = false;
  nextConnectAt_ = now;
}

// Each wait is drawn between a minimum and three times the previous wait (decorrelated jitter), so that
// controllers that failed together spread out. Waits of at least half a window and at most two windows keep
// all controllers together near the target rate. After a session with valid data, all controllers may have
// lost their session at once, so the wait is drawn from the whole window, or without a rate from a time that
// grows with the number of controllers.
void ReconnectSchedule::onSessionEnded(Duration now, SessionEnd sessionEnd, bool hasEndpointList) {
  const Duration window = this->spreadWindow(hasEndpointList);
  const Duration minWait = std::max(kMinWaitDuration, window / 2);
  const Duration maxWait =
      std::max({kMaxWaitDuration, minWait, std::min(window * 2, options_.maxWaitDuration)});
  if (sessionEnd == SessionEnd::receivedData || consecutiveFailures_ == 0) previousWait_ = minWait;
  Duration longestDraw = previousWait_ * kJitterGrowth;
  if (sessionEnd == SessionEnd::receivedData)
    longestDraw = std::max(longestDraw, std::min(kMinReconnectSpacing * options_.controllerCount, maxWait));
  Duration wait = std::min(drawBetween(minWait, longestDraw), maxWait);
  if (sessionEnd == SessionEnd::receivedData && window > kMinWaitDuration)
    wait = drawBetween(Duration{0}, window);
  consecutiveFailures_ = sessionEnd == SessionEnd::receivedData ? 0 : consecutiveFailures_ + 1;
  consecutiveUnresponsive_ = sessionEnd == SessionEnd::unresponsive   ? consecutiveUnresponsive_ + 1
                             : sessionEnd == SessionEnd::receivedData ? 0
                                                                      : consecutiveUnresponsive_;
  previousWait_ = std::max(wait, minWait);
  nextConnectAt_ = now + wait;
  isExpedited_ = false;
}

void ReconnectSchedule::expediteReconnect(Duration now) {
  if (spreadWindow(true) == Duration{0} || nextConnectAt_ <= now || std::exchange(isExpedited_, true)) return;
  nextConnectAt_ = now + drawBetween(Duration{0}, (nextConnectAt_ - now) / kExpediteDivisor);
}

}  // namespace paddletrack::discovery
