// Decides how to reach an engine that has several addresses: which address to try next, when to start another
// connect in parallel with a pending one, how the outcome of a connect changes the health of its address, and
// whether an attempt may be rerouted after its connection has closed. Performs no I/O and reads no clock: the
// caller passes the time.
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

/// The outcome of a connect or a connection to an address.
enum class ConnectOutcome {
  succeeded,     ///< The engine responded.
  refused,       ///< Nothing listens there, or the connect failed at once.
  timedOut,      ///< The connect did not complete in time.
  unresponsive,  ///< The connection was established, but the engine sends or reads nothing.
  resetEarly,    ///< The connection closed before the engine sent anything.
};
const char* nameOf(ConnectOutcome outcome);

/// Settings that all engines share.
struct ConnectOptions {
  Duration connectTimeout{0};  ///< For a whole race; other delays are multiples or fractions of it.
  std::vector<AddressFamily> familyPreference{AddressFamily::unixSocket, AddressFamily::ipv6,
                                              AddressFamily::ipv4};
};

/// The health of one address of one engine. Times are on the caller's clock.
struct AddressHealth {
  std::string name;  ///< As in the endpoint list.
  AddressFamily family = AddressFamily::ipv4;
  std::optional<Duration> lastSuccessAt, lastFailureAt;
  ConnectOutcome lastFailure = ConnectOutcome::succeeded;  ///< The latest failure, if any.
  unsigned consecutiveFailures = 0;
  Duration backoffUntil{0}, failureExpiresAt{0};  ///< When a retry is due; when the state becomes unknown.
  std::optional<Duration> meanConnectTime;        ///< Exponentially weighted moving average.
  std::optional<Duration> avoidedUntil, preferredUntil;  ///< Ends of manual overrides.
  bool hasHistory() const { return lastSuccessAt || lastFailureAt; }
};

/// The state of an address at a given time, best first.
enum class AddressState { preferred, healthy, unknown, retryDue, backingOff, avoided };
const char* nameOf(AddressState state);
AddressState evaluateState(const AddressHealth& health, Duration now);

/// The addresses of one engine and their health.
class AddressTable {
 public:
  static constexpr std::size_t kMaxAddresses = 16;  ///< Per engine; further addresses are omitted.

  /// Replaces the addresses, given in order of preference. Addresses that remain keep their health, unless
  /// the engine is a new process. Returns the number of omitted addresses.
  struct ListedAddress {
    std::string name;
    AddressFamily family;
  };
  std::size_t update(const std::vector<ListedAddress>& listedAddresses, bool isNewProcess);

  /// Returns indexes into entries(), best first. Every address is included: those in backoff, and those that
  /// an operator avoids, come last. An address that is due for a retry and preferred to all healthy ones
  /// comes first, as a trial, unless `avoidTrials` is set.
  std::vector<std::size_t> rankAddresses(Duration now, const ConnectOptions& options,
                                         bool avoidTrials = true) const;
  /// Records the outcome of a connect. `randomDraw`, from 0 to 1, is the jitter of the backoff, so that
  /// addresses that failed together are not retried together. Ignores an address that is not in the table.
  void recordOutcome(Duration now, const std::string& name, ConnectOutcome outcome,
                     std::optional<Duration> connectTime, const ConnectOptions& options, double randomDraw);
  /// Whether the address must respond to a probe before an attempt is sent to it, because it last accepted a
  /// connection and then did not respond on it, or closed it early.
  bool isSuspect(const std::string& name) const;
  bool isFailing(const std::string& name) const;  ///< Failed, no success since.

  enum class ManualOverride { avoid, prefer, clear };
  bool setOverride(Duration now, const std::string& name, ManualOverride manualOverride,
                   Duration duration);  ///< Returns false if the address is unknown.

  const std::vector<AddressHealth>& entries() const { return entries_; }

 private:
  AddressHealth* findEntry(const std::string& name);
  std::vector<AddressHealth> entries_;
};

/// Schedules the connects of one race, which ends when the first connection is established. The next connect
/// starts after a fixed delay or as soon as one has failed. This follows RFC 8305 (Happy Eyeballs), with
/// delays that are fractions of the connect timeout.
class ConnectRace {
 public:
  ConnectRace(const ConnectOptions& options, std::vector<std::string> addressNames, Duration now);

  struct Step {
    std::optional<std::string> addressToConnect{};  ///< Connect to it, then call nextStep() again.
    bool replacesPending = false;  ///< Close the pending connects first, as required by the limits.
    bool finished = false;         ///< The engine is unreachable: no connect is left to wait for.
    Duration nextCheckAt{0};       ///< Otherwise call again then, or when a connect has finished.
  };
  /// `allowsParallel`: the limits allow one more connect in parallel with the pending ones.
  Step nextStep(Duration now, bool allowsParallel);
  /// A connection is up and must respond to a probe: extends the deadline to one connect timeout from now.
  void onConnected(Duration now);
  void onConnectFailed(Duration now);
  std::size_t pendingCount() const { return pendingCount_; }
  Duration deadline() const { return deadline_; }
  /// Whether a pending connect counts as timed out when another wins: it started at least one delay earlier.
  bool isSlow(Duration startedAt, Duration winnerStartedAt) const {
    return startedAt + attemptDelay_ <= winnerStartedAt;
  }

 private:
  std::vector<std::string> addresses_;
  std::size_t startedCount_ = 0, pendingCount_ = 0;
  Duration connectTimeout_, attemptDelay_, nextStartAt_, deadline_;
};

/// Limits the number of pending connects per engine and in total.
class ConnectLimiter {
 public:
  /// `connections`: the limit on connections to all engines.
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
  bool requestFinished = false;  ///< The request has its response, or its client has disconnected.
  bool endpointAccepts = true;   ///< The engine accepts attempts and is still the selected process.
  Duration timeLeft{0};          ///< Until the request timeout or the end of its idempotency window.
};
bool canSend(const UnsentAttempt& attempt);

/// An attempt whose connection has closed.
struct InterruptedAttempt {
  bool fullyWritten = false;       ///< The kernel accepted all bytes: the engine may have received it.
  bool connectionFaulted = false;  ///< This process closed it because of a fault of the connection.
  bool canBeSent = true;           ///< See canSend().
  unsigned rerouteCount = 0;       ///< Number of earlier reroutes of the attempt.
  Duration timeLeft{0};            ///< Until it may no longer be sent.
};
/// How an interrupted attempt is handled.
enum class Disposition {
  reroute,          ///< It was not executed; it is sent over another connection.
  unreachable,      ///< It was not executed and cannot be rerouted.
  reset,            ///< It may have been executed.
  connectionFault,  ///< It may have been executed; the connection is at fault.
};
Disposition classifyInterruption(const InterruptedAttempt& interrupted, std::size_t addressCount,
                                 const ConnectOptions& options);

}  // namespace paddletrack::addresses
