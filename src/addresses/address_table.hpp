// How an engine with several addresses is reached: which address next, when the next dial starts beside a
// pending one, what each attempt has taught, and whether a dispatch whose connection ended may go another
// way. No I/O and no clock: every call brings the time.
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

// What an attempt has taught of an address.
enum class ConnectOutcome {
  succeeded,     // it answered
  refused,       // nobody listens there
  timedOut,      // the dial came to its end without a word
  unresponsive,  // it accepts and says nothing, or takes no bytes
  resetEarly,    // the connection ended before it said anything
};
const char* nameOf(ConnectOutcome outcome);

struct ConnectOptions {
  Duration connectTimeout{0};  // the settings' dial time-out: of a race as a whole
  std::vector<AddressFamily> familyPreference{AddressFamily::unixSocket, AddressFamily::ipv6,
                                              AddressFamily::ipv4};
};

// One address of one engine.
struct AddressHealth {
  std::string name;  // as the list has it
  AddressFamily family = AddressFamily::ipv4;
  std::optional<Duration> lastSuccessAt, lastFailureAt;
  ConnectOutcome lastFailure = ConnectOutcome::succeeded;  // the latest bad one
  unsigned consecutiveFailures = 0;
  Duration backoffUntil{0}, failureExpiresAt{0};         // due again then; as good as unknown then
  std::optional<Duration> meanConnectTime;               // mean of what it took to connect
  std::optional<Duration> avoidedUntil, preferredUntil;  // by hand
  bool hasHistory() const { return lastSuccessAt || lastFailureAt; }
};

// What is thought of an address now, best first.
enum class AddressState { preferred, healthy, unknown, retryDue, backingOff, avoided };
const char* nameOf(AddressState state);
AddressState evaluateState(const AddressHealth& health, Duration now);

// All addresses of one engine and what is known of them.
class AddressTable {
 public:
  static constexpr std::size_t kMaxAddresses = 16;  // of one engine; what comes after is left out

  // The list as it is now, in the order of its preference; what is known of an address that stays is kept,
  // but not where another process answers there. Tells how many were left out.
  struct ListedAddress {
    std::string name;
    AddressFamily family;
  };
  std::size_t update(const std::vector<ListedAddress>& listedAddresses, bool isNewProcess);

  // Places in `all`, best first. None is ever left out for good: those that rest, and those avoided by hand,
  // come last.
  // One that is due again and preferred to all that are good comes first, to find out, unless `careful`.
  std::vector<std::size_t> rankAddresses(Duration now, const ConnectOptions& options,
                                         bool avoidTrials = true) const;
  // `dice` from 0 to 1 spreads the rest, so that many that failed together are not tried again together.
  void recordOutcome(Duration now, const std::string& name, ConnectOutcome outcome,
                     std::optional<Duration> connectTime, const ConnectOptions& options, double randomDraw);
  // Whether it must show a sign of life before it takes a dispatch: it last accepted and did nothing good.
  bool isSuspect(const std::string& name) const;
  bool isFailing(const std::string& name) const;  // and has not been good since

  enum class ManualOverride { avoid, prefer, clear };
  bool setOverride(Duration now, const std::string& name, ManualOverride manualOverride,
                   Duration duration);  // false: no such address

  const std::vector<AddressHealth>& entries() const { return entries_; }

 private:
  AddressHealth* findEntry(const std::string& name);
  std::vector<AddressHealth> entries_;
};

// One connection's way up: dials that start one after the other, a stagger apart or as soon as one has
// failed, until the first is up. RFC 8305's manner, with delays as parts of the dial time-out.
class ConnectRace {
 public:
  ConnectRace(const ConnectOptions& options, std::vector<std::string> addressNames, Duration now);

  struct Step {
    std::optional<std::string> addressToConnect{};  // begin this one, then look again
    bool replacesPending = false;  // once those that are out have been ended: there is no room beside them
    bool finished = false;         // nothing is left to wait for: it can't be reached
    Duration nextCheckAt{0};       // else look again then, or when a dial has ended
  };
  Step nextStep(Duration now, bool allowsParallel);  // beside: the limits leave one more dial
  void onConnected(Duration now);      // one of them, and it is to show life: as long again as for a dial
  void onConnectFailed(Duration now);  // one that was begun
  std::size_t pendingCount() const { return pendingCount_; }
  Duration deadline() const { return deadline_; }
  // Whether one that is still out has taught something when another is up: it had a stagger's start.
  bool isSlow(Duration startedAt, Duration winnerStartedAt) const {
    return startedAt + attemptDelay_ <= winnerStartedAt;
  }

 private:
  std::vector<std::string> addresses_;
  std::size_t startedCount_ = 0, pendingCount_ = 0;
  Duration connectTimeout_, attemptDelay_, nextStartAt_, deadline_;
};

// How many dials may be out: of one engine, and of all together.
class ConnectLimiter {
 public:
  explicit ConnectLimiter(std::size_t connections);     // that all engines together may have
  bool allowsConnect(std::size_t enginePending) const;  // one more, for an engine that has so many out
  void onConnectStarted() { ++pendingCount_, ++startedCount_; }
  void onConnectFinished() { --pendingCount_; }
  std::size_t pendingCount() const { return pendingCount_; }
  std::uint64_t startedCount() const { return startedCount_; }

 private:
  std::size_t maxPending_, pendingCount_ = 0;
  std::uint64_t startedCount_ = 0;
};

// A dispatch that has not left yet: it waits for a dial, or its connection ended before it was whole.
struct UnsentAttempt {
  bool requestFinished = false;  // its job is: it has its answer, or its client has gone
  bool endpointAccepts = true;   // its engine, and it is still the process that it was dispatched to
  Duration timeLeft{0};          // until it may run no more: its own time, and its type's window for repeats
};
bool canSend(const UnsentAttempt& attempt);

// A dispatch whose connection has ended.
struct InterruptedAttempt {
  bool fullyWritten = false;       // the kernel took all of its bytes: its executor may have it
  bool connectionFaulted = false;  // the connection was ended here, for what came over it
  bool canBeSent = true;           // it may leave all the same
  unsigned rerouteCount = 0;       // ways it has gone before
  Duration timeLeft{0};            // of its job's time
};
enum class Disposition {
  reroute,          // the same dispatch, over another connection: it can't have run
  unreachable,      // it can't have run, and has no other way
  reset,            // it may have run
  connectionFault,  // the same, and its connection is to blame
};
Disposition classifyInterruption(const InterruptedAttempt& interrupted, std::size_t addressCount,
                                 const ConnectOptions& options);

}  // namespace paddletrack::addresses
