#include "addresses/address_table.hpp"

#include <algorithm>
#include <array>
#include <deque>

namespace paddletrack::addresses {
namespace {

// Factors of the connect timeout.
constexpr double kAttemptDelayFactor = 1.0 / 5;  // Between successive connect starts of a race.
constexpr double kInitialBackoffFactor = 4;      // After the first failure; doubles with each further one.
constexpr unsigned kMaxBackoffDoublings = 5;
constexpr double kBackoffJitter = 0.5;  // Random share of a backoff.
constexpr double kFailureExpiryFactor =
    256;  // From the last failure until the address counts as unknown again.
constexpr double kMinTimeLeftFactor = 1.0 / 5;  // Minimum time left for rerouting an attempt.

constexpr std::size_t kMaxPendingPerEngine = 8;  // Pending connects to one engine.
// Pending connects to all engines are limited to the connection limit divided by kConnectReserveDivisor, but
// to no fewer than kMinPendingConnects.
constexpr std::size_t kConnectReserveDivisor = 4, kMinPendingConnects = 8;
constexpr double kConnectTimeWeight = 0.25;  // Weight of the latest sample in the moving average.

Duration scaleDuration(Duration duration, double factor) {
  return Duration{static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor)};
}

}  // namespace

const char* nameOf(AddressFamily family) {
  static constexpr std::array<const char*, kFamilyCount> kNames{"unix", "ipv6", "ipv4"};
  return kNames[static_cast<std::size_t>(family)];
}

const char* nameOf(ConnectOutcome outcome) {
  static constexpr std::array<const char*, 5> kNames{"good", "refused", "no answer", "silent", "reset early"};
  return kNames[static_cast<std::size_t>(outcome)];
}

const char* nameOf(AddressState state) {
  static constexpr std::array<const char*, 6> kNames{"wanted", "good",    "unknown",
                                                     "due",    "resting", "avoided"};
  return kNames[static_cast<std::size_t>(state)];
}

AddressState evaluateState(const AddressHealth& health, Duration now) {
  if (health.avoidedUntil && now < *health.avoidedUntil) return AddressState::avoided;
  if (health.preferredUntil && now < *health.preferredUntil) return AddressState::preferred;
  if (health.consecutiveFailures > 0) {
    if (now < health.backoffUntil) return AddressState::backingOff;
    if (now < health.failureExpiresAt) return AddressState::retryDue;
    return AddressState::unknown;
  }
  return health.lastSuccessAt ? AddressState::healthy : AddressState::unknown;
}

AddressHealth* AddressTable::findEntry(const std::string& name) {
  const auto found = std::find_if(entries_.begin(), entries_.end(),
                                  [&](const AddressHealth& entry) { return entry.name == name; });
  return found == entries_.end() ? nullptr : &*found;
}

std::size_t AddressTable::update(const std::vector<ListedAddress>& listedAddresses, bool isNewProcess) {
  std::vector<AddressHealth> updated;
  std::size_t omittedCount = 0;
  for (const ListedAddress& listedAddress : listedAddresses) {
    const auto isSameAddress = [&](const AddressHealth& health) { return health.name == listedAddress.name; };
    if (std::any_of(updated.begin(), updated.end(), isSameAddress)) continue;  // Duplicate.
    if (updated.size() >= kMaxAddresses) {
      ++omittedCount;
      continue;
    }
    const AddressHealth* existing = findEntry(listedAddress.name);
    if (existing && !isNewProcess) {
      updated.push_back(*existing);
    } else {
      updated.emplace_back().name = listedAddress.name;
      updated.back().family = listedAddress.family;
    }
  }
  entries_ = std::move(updated);
  return omittedCount;
}

// Ranks by state. Within a state the address families alternate in order of preference, so that a race is
// delayed only once by a family of which all addresses are down.
std::vector<std::size_t> AddressTable::rankAddresses(Duration now, const ConnectOptions& options,
                                                     bool avoidTrials) const {
  if (entries_.size() == 1) return {0};
  const auto familyRank = [&](std::size_t index) {
    return static_cast<std::size_t>(
        std::find(options.familyPreference.begin(), options.familyPreference.end(), entries_[index].family) -
        options.familyPreference.begin());
  };
  std::vector<std::size_t> ranked;
  for (const AddressState addressState :
       {AddressState::preferred, AddressState::healthy, AddressState::unknown, AddressState::retryDue,
        AddressState::backingOff, AddressState::avoided}) {
    std::array<std::deque<std::size_t>, kFamilyCount + 1> indexesByFamily;
    std::size_t count = 0;
    for (std::size_t index = 0; index < entries_.size(); ++index)
      if (evaluateState(entries_[index], now) == addressState)
        indexesByFamily[familyRank(index)].push_back(index), ++count;
    if (addressState == AddressState::backingOff)  // Earliest retry first.
      for (auto& familyIndexes : indexesByFamily)
        std::stable_sort(familyIndexes.begin(), familyIndexes.end(),
                         [&](std::size_t left, std::size_t right) {
                           return entries_[left].backoffUntil < entries_[right].backoffUntil;
                         });
    while (count > 0)
      for (auto& familyIndexes : indexesByFamily) {
        if (familyIndexes.empty()) continue;
        ranked.push_back(familyIndexes.front());
        familyIndexes.pop_front();
        --count;
      }
  }
  if (avoidTrials || ranked.empty() || evaluateState(entries_[ranked.front()], now) != AddressState::healthy)
    return ranked;
  const auto rank = [&](std::size_t index) { return std::pair(familyRank(index), index); };
  const auto trial = std::find_if(ranked.begin(), ranked.end(), [&](std::size_t index) {
    const AddressState state = evaluateState(entries_[index], now);
    const bool isRetry = state == AddressState::retryDue ||
                         (state == AddressState::unknown && entries_[index].consecutiveFailures > 0);
    return isRetry && rank(index) < rank(ranked.front());
  });
  if (trial != ranked.end()) std::rotate(ranked.begin(), trial, trial + 1);
  return ranked;
}

void AddressTable::recordOutcome(Duration now, const std::string& name, ConnectOutcome outcome,
                                 std::optional<Duration> connectTime, const ConnectOptions& options,
                                 double randomDraw) {
  AddressHealth* health = findEntry(name);
  if (!health) return;  // The address has been removed from the table.
  if (outcome == ConnectOutcome::succeeded) {
    health->lastSuccessAt = now;
    health->consecutiveFailures = 0;
    if (connectTime)
      health->meanConnectTime =
          health->meanConnectTime
              ? *health->meanConnectTime +
                    scaleDuration(*connectTime - *health->meanConnectTime, kConnectTimeWeight)
              : *connectTime;
    return;
  }
  // Connections that fail in the same way during a backoff count as a single failure.
  const bool isRepeat =
      health->consecutiveFailures > 0 && now < health->backoffUntil && outcome == health->lastFailure;
  health->lastFailureAt = now;
  health->lastFailure = outcome;
  health->failureExpiresAt = now + scaleDuration(options.connectTimeout, kFailureExpiryFactor);
  if (isRepeat) return;
  const double backoffFactor =
      kInitialBackoffFactor *
      static_cast<double>(1U << std::min(health->consecutiveFailures, kMaxBackoffDoublings));
  ++health->consecutiveFailures;
  health->backoffUntil =
      now + scaleDuration(options.connectTimeout,
                          backoffFactor * (1 - kBackoffJitter / 2 + kBackoffJitter * randomDraw));
}

bool AddressTable::isSuspect(const std::string& name) const {
  for (const AddressHealth& entry : entries_)
    if (entry.name == name)
      return entry.consecutiveFailures > 0 && (entry.lastFailure == ConnectOutcome::unresponsive ||
                                               entry.lastFailure == ConnectOutcome::resetEarly);
  return false;
}

bool AddressTable::isFailing(const std::string& name) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const AddressHealth& entry) {
    return entry.name == name && entry.consecutiveFailures > 0;
  });
}

bool AddressTable::setOverride(Duration now, const std::string& name, ManualOverride manualOverride,
                               Duration duration) {
  AddressHealth* health = findEntry(name);
  if (!health) return false;
  health->avoidedUntil.reset();
  health->preferredUntil.reset();
  if (manualOverride == ManualOverride::avoid) health->avoidedUntil = now + duration;
  if (manualOverride == ManualOverride::prefer) health->preferredUntil = now + duration;
  return true;
}

ConnectRace::ConnectRace(const ConnectOptions& options, std::vector<std::string> addressNames, Duration now)
    : addresses_(std::move(addressNames)),
      connectTimeout_(options.connectTimeout),
      attemptDelay_(scaleDuration(options.connectTimeout, kAttemptDelayFactor)),
      nextStartAt_(now),
      deadline_(now + options.connectTimeout) {}

ConnectRace::Step ConnectRace::nextStep(Duration now, bool allowsParallel) {
  Step step;
  if (now >= deadline_ || (pendingCount_ == 0 && startedCount_ == addresses_.size())) {
    step.finished = true;
    return step;
  }
  step.nextCheckAt = deadline_;
  if (startedCount_ == addresses_.size()) return step;
  if (now >= nextStartAt_) {
    step.addressToConnect = addresses_[startedCount_++];
    step.replacesPending = !allowsParallel && pendingCount_ > 0;
    pendingCount_ = step.replacesPending ? 1 : pendingCount_ + 1;
    nextStartAt_ = now + attemptDelay_;
  }
  if (startedCount_ < addresses_.size()) step.nextCheckAt = std::min(deadline_, nextStartAt_);
  return step;
}

void ConnectRace::onConnected(Duration now) { deadline_ = std::max(deadline_, now + connectTimeout_); }

void ConnectRace::onConnectFailed(Duration now) {
  --pendingCount_;
  nextStartAt_ = now;
}

ConnectLimiter::ConnectLimiter(std::size_t connections)
    : maxPending_(std::max(kMinPendingConnects, connections / kConnectReserveDivisor)) {}

bool ConnectLimiter::allowsConnect(std::size_t enginePending) const {
  return pendingCount_ < maxPending_ && enginePending < kMaxPendingPerEngine;
}

bool canSend(const UnsentAttempt& attempt) {
  return !attempt.requestFinished && attempt.endpointAccepts && attempt.timeLeft > Duration{0};
}

// Whether the kernel accepted the whole message decides: after the connection has closed, a message that was
// accepted only in part cannot arrive in full, so the engine cannot have executed it.
Disposition classifyInterruption(const InterruptedAttempt& interrupted, std::size_t addressCount,
                                 const ConnectOptions& options) {
  if (interrupted.fullyWritten)
    return interrupted.connectionFaulted ? Disposition::connectionFault : Disposition::reset;
  const bool hasAlternative =
      interrupted.canBeSent &&
      interrupted.rerouteCount + 1 < addressCount;  // canBeSent is false if the engine drains.
  return hasAlternative && interrupted.timeLeft > scaleDuration(options.connectTimeout, kMinTimeLeftFactor)
             ? Disposition::reroute
             : Disposition::unreachable;
}

}  // namespace paddletrack::addresses
