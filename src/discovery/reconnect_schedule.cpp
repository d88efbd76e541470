#include "discovery/reconnect_schedule.hpp"

#include <algorithm>

namespace paddletrack::discovery {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{1000};                  // a line comes at least so often
constexpr Duration kSilenceTimeout = kHeartbeatInterval * 3 / 2;  // without one the session is taken for dead
constexpr unsigned kMaxTimeoutDoublings = 2;  // doublings of that, for the first line of a session
constexpr Duration kMinWaitDuration = kHeartbeatInterval / 10;  // after a session has ended
constexpr Duration kMaxWaitDuration =
    kHeartbeatInterval * 4 / 5;      // where waits are not spread by the number of controllers
constexpr int kJitterGrowth = 3;     // a wait is drawn up to so many times the one before
constexpr int kExpediteDivisor = 4;  // a doubted list: at most so small a part of the wait is left

// Seeds of neighbours are often neighbours, whose first draws would be too (splitmix64's last steps).
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

// Patience is for a service that is slow with many who know nothing. What an engine does unseen counts as
// told after 7 s: from the last line on, one silent session, two dials that tell nothing and the waits
// between them have to be shorter than that.
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

// Waits in a row are drawn between a least and three times the last (decorrelated jitter), so that those
// which failed together scatter. With half a window at least, and two at most, all controllers together stay
// near their rate. After a session that told something they were cut together: the whole window is theirs.
void ReconnectSchedule::onSessionEnded(Duration now, SessionEnd sessionEnd, bool hasEndpointList) {
  const Duration window = this->spreadWindow(hasEndpointList);
  const Duration minWait = std::max(kMinWaitDuration, window / 2);
  const Duration maxWait =
      std::max({kMaxWaitDuration, minWait, std::min(window * 2, options_.maxWaitDuration)});
  if (sessionEnd == SessionEnd::receivedData || consecutiveFailures_ == 0) previousWait_ = minWait;
  Duration wait = std::min(drawBetween(minWait, previousWait_ * kJitterGrowth), maxWait);
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
