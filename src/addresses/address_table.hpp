// Decisions on how to reach an engine that has several addresses: which address to try next, when the next
// connect starts beside a pending one, how the outcome of each connect changes an address's health, and
// whether an attempt whose connection ended may be rerouted. There is no I/O and no clock: every call passes
// the time.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace paddletrack::addresses {

using Duration = std::chrono::microseconds;

enum class AddressFamily { unixSocket, ipv6, ipv4 };
constexpr std::size_t kFamilyCount = 3;
const char* nameOf(AddressFamily family);

/// The outcome of using an address.
enum class ConnectOutcome {
  succeeded,     ///< The engine responded.
  refused,       ///< Nothing listens there, or the connect failed at once.
  timedOut,      ///< The connect got no reply in time.
  unresponsive,  ///< The connection is up, but sends nothing or accepts no bytes.
  resetEarly,    ///< The connection closed before it sent anything.
};
const char* nameOf(ConnectOutcome outcome);

/// Settings that all engines share.
struct ConnectOptions {
  Duration connectTimeout{0};  ///< Of a race as a whole; other delays are parts or multiples of it.
  std::vector<AddressFamily> familyPreference{AddressFamily::unixSocket, AddressFamily::ipv6,
                                              AddressFamily::ipv4};
};

/// What is known of one address of one engine. Times are on the clock of the caller.
struct AddressHealth {
  std::string name;  ///< As in the endpoint list.
  AddressFamily family = AddressFamily::ipv4;
  std::optional<Duration> lastSuccessAt, lastFailureAt;
  ConnectOutcome lastFailure = ConnectOutcome::succeeded;  ///< The latest failure, if any.
  unsigned consecutiveFailures = 0;
  Duration backoffUntil{0}, failureExpiresAt{0};         ///< Due for a retry then; treated as unknown then.
  std::optional<Duration> meanConnectTime;               ///< Exponentially weighted.
  std::optional<Duration> avoidedUntil, preferredUntil;  ///< Set by an operator.
  bool hasHistory() const { return lastSuccessAt || lastFailureAt; }
};

/// The assessment of an address at a moment, best first.
enum class AddressState { preferred, healthy, unknown, retryDue, backingOff, avoided };
const char* nameOf(AddressState state);
AddressState evaluateState(const AddressHealth& health, Duration now);

/// All addresses of one engine and their health.
class AddressTable {
 public:
  static constexpr std::size_t kMaxAddresses = 16;  ///< Of one engine; further ones are omitted.

  /// Replaces the addresses, given in order of preference. The health of an address that stays is kept,
  /// unless the engine is a new process. Returns how many addresses were omitted.
  struct ListedAddress {
    std::string name;
    AddressFamily family;
  };
  std::size_t update(const std::vector<ListedAddress>& listedAddresses, bool isNewProcess);

  /// Indexes into entries(), best first. No address is left out: those that back off, and those that an
  /// operator avoids, come last. An address that is due for a retry and preferred to all healthy ones comes
  /// first, as a trial, unless `avoidTrials` is set.
  std::vector<std::size_t> rankAddresses(Duration now, const ConnectOptions& options,
                                         bool avoidTrials = true) const;
  /// `randomDraw`, from 0 to 1, spreads the backoff, so that addresses that failed together are not retried
  /// together. An address that is not in the table is ignored.
  void recordOutcome(Duration now, const std::string& name, ConnectOutcome outcome,
                     std::optional<Duration> connectTime, const ConnectOptions& options, double randomDraw);
  /// Whether the address must answer a probe before it gets an attempt: it last accepted a connection and
  /// then did not respond on it.
  bool isSuspect(const std::string& name) const;
  bool isFailing(const std::string& name) const;  ///< It failed and has not succeeded since.

  enum class ManualOverride { avoid, prefer, clear };
  bool setOverride(Duration now, const std::string& name, ManualOverride manualOverride,
                   Duration duration);  ///< Returns false if there is no such address.

  const std::vector<AddressHealth>& entries() const { return entries_; }

 private:
  AddressHealth* findEntry(const std::string& name);
  std::vector<AddressHealth> entries_;
};

/// The schedule of the connects for one connection: they start one after the other, a fixed delay apart or as
/// soon as one has failed, until the first is up. This is the method of RFC 8305, with delays that are parts
/// of the connect timeout.
class ConnectRace {
 public:
  ConnectRace(const ConnectOptions& options, std::vector<std::string> addressNames, Duration now);

  struct Step {
    std::optional<std::string> addressToConnect{};  ///< Start this one, then ask again.
    bool replacesPending = false;  ///< End the pending connects first: limits allow none beside them.
    bool finished = false;         ///< The engine cannot be reached: nothing is left to wait for.
    Duration nextCheckAt{0};       ///< Otherwise ask again then, or when a connect has finished.
  };
  /// `allowsParallel`: the limits allow one more connect beside the pending ones.
  Step nextStep(Duration now, bool allowsParallel);
  /// One is connected and must still answer a probe, for which it gets the connect timeout once more.
  void onConnected(Duration now);
  void onConnectFailed(Duration now);
  std::size_t pendingCount() const { return pendingCount_; }
  Duration deadline() const { return deadline_; }
  /// Whether a pending connect counts as timed out when another wins: it had a full delay's head start.
  bool isSlow(Duration startedAt, Duration winnerStartedAt) const {
    return startedAt + attemptDelay_ <= winnerStartedAt;
  }

 private:
  std::vector<std::string> addresses_;
  std::size_t startedCount_ = 0, pendingCount_ = 0;
  Duration connectTimeout_, attemptDelay_, nextStartAt_, deadline_;
};

/// Limits the pending connects of one engine and of all engines together.
class ConnectLimiter {
 public:
  /// `connections`: the limit on connections to all engines together.
  explicit ConnectLimiter(std::size_t connections);
  /// Whether an engine with `enginePending` pending connects may start one more.
  bool allowsConnect(std::size_t enginePending) const;
  void onConnectStarted() { ++pendingCount_, ++startedCount_; }
  void onConnectFinished() { --pendingCount_; }
  std::size_t pendingCount() const { return pendingCount_; }
  std::uint64_t startedCount() const { return startedCount_; }

 private:
  std::size_t maxPending_, pendingCount_ = 0;
  std::uint64_t startedCount_ = 0;
};

/// An attempt that is not fully written: it waits for a connection, or its connection closed too early.
struct UnsentAttempt {
  bool requestFinished = false;  ///< It has its response, or its client has gone.
  bool endpointAccepts = true;   ///< The engine is available and still the process that was selected.
  Duration timeLeft{0};          ///< Until its timeout or the end of its idempotency window.
};
bool canSend(const UnsentAttempt& attempt);

/// An attempt whose connection has closed.
struct InterruptedAttempt {
  bool fullyWritten = false;       ///< The kernel accepted all bytes: the engine may have it.
  bool connectionFaulted = false;  ///< Closed by this process, because of the connection.
  bool canBeSent = true;           ///< See canSend().
  unsigned rerouteCount = 0;       ///< How often it was rerouted before.
  Duration timeLeft{0};            ///< Until it may not be sent any more.
};
/// What becomes of an interrupted attempt.
enum class Disposition {
  reroute,          ///< It was not executed and is sent over another connection.
  unreachable,      ///< It was not executed and has no alternative.
  reset,            ///< It may have been executed.
  connectionFault,  ///< It may have been executed; the connection is at fault.
};
Disposition classifyInterruption(const InterruptedAttempt& interrupted, std::size_t addressCount,
                                 const ConnectOptions& options);

}  // namespace paddletrack::addresses
