// Tests the order and schedule of connects, and the disposition of attempts whose connection has closed.
#include <gtest/gtest.h>

#include <functional>

#include "addresses/address_table.hpp"

namespace paddletrack::addresses {
namespace {

using namespace std::chrono_literals;

const ConnectOptions kOptions{250ms, {AddressFamily::unixSocket, AddressFamily::ipv6, AddressFamily::ipv4}};

AddressTable threeAddresses() {
  AddressTable table;
  table.update({{"4", AddressFamily::ipv4}, {"6", AddressFamily::ipv6}, {"u", AddressFamily::unixSocket}},
               false);
  return table;
}

std::string rankedNames(const AddressTable& table, Duration now, const ConnectOptions& options = kOptions) {
  std::string names;
  for (const std::size_t entryIndex : table.rankAddresses(now, options))
    names += table.entries()[entryIndex].name;
  return names;
}

TEST(AddressHealth, OrdersLocalFirstThenAlternatesFamiliesByPreference) {
  AddressTable table;
  table.update({{"a", AddressFamily::ipv4},
                {"b", AddressFamily::ipv4},
                {"C", AddressFamily::ipv6},
                {"D", AddressFamily::ipv6},
                {"u", AddressFamily::unixSocket}},
               false);
  EXPECT_EQ(rankedNames(table, 0s), "uCaDb");
  EXPECT_EQ(
      rankedNames(table, 0s, {250ms, {AddressFamily::ipv4, AddressFamily::unixSocket, AddressFamily::ipv6}}),
      "auCbD");
}

TEST(AddressHealth, OrdersLastGoodBeforeUnknownBeforeFailed) {
  AddressTable table = threeAddresses();
  table.recordOutcome(1s, "4", ConnectOutcome::succeeded, 2ms, kOptions, 0.5);
  EXPECT_EQ(rankedNames(table, 1s), "4u6");
  table.recordOutcome(1s, "u", ConnectOutcome::refused, {}, kOptions, 0.5);
  EXPECT_EQ(rankedNames(table, 1s), "46u");
  table.recordOutcome(1s, "4", ConnectOutcome::timedOut, {}, kOptions, 0.5);
  table.recordOutcome(1s, "6", ConnectOutcome::timedOut, {}, kOptions, 0.0);
  EXPECT_EQ(rankedNames(table, 1s).size(), 3U);
  EXPECT_EQ(rankedNames(table, 1s).substr(0, 1), "u");
  EXPECT_EQ(rankedNames(table, 2500ms), "u64");  // All backoffs are over.
  table.recordOutcome(3s, "4", ConnectOutcome::succeeded, 2ms, kOptions, 0.5);
  EXPECT_EQ(rankedNames(table, 3s).substr(0, 1), "4");
  EXPECT_EQ(rankedNames(table, 100s), "4u6");  // The old failure has expired.
}

// An attempt that is not idempotent is never used as a trial.
TEST(AddressHealth, RetriesPreferredAddressWhenBackoffEnds) {
  AddressTable table = threeAddresses();
  table.recordOutcome(0s, "4", ConnectOutcome::succeeded, 2ms, kOptions, 0.5);
  table.recordOutcome(0s, "u", ConnectOutcome::unresponsive, {}, kOptions, 0.5);
  const auto firstName = [&](Duration now, bool avoidTrials) {
    return table.entries()[table.rankAddresses(now, kOptions, avoidTrials)[0]].name;
  };
  EXPECT_EQ(firstName(999ms, false), "4");
  EXPECT_EQ(firstName(1s, false), "u");
  EXPECT_EQ(firstName(1s, true), "4");
  EXPECT_EQ(firstName(100s, false), "u");
  table.recordOutcome(100s, "u", ConnectOutcome::succeeded, 1ms, kOptions, 0.5);
  EXPECT_EQ(firstName(100s, true), "u");
  table.recordOutcome(100s, "4", ConnectOutcome::refused, {}, kOptions, 0.5);
  EXPECT_EQ(firstName(110s, false), "u");  // A less preferred address needs no trial.
}

TEST(AddressHealth, LimitsExponentialBackoffAndAppliesJitter) {
  AddressTable table = threeAddresses();
  Duration now{0}, shortest = 1h, longest{0};
  for (int index = 0; index < 12; ++index) {
    table.recordOutcome(now, "u", ConnectOutcome::refused, {}, kOptions, index % 2 == 0 ? 0.0 : 1.0);
    const AddressHealth& entry = table.entries()[2];
    const Duration backoff = entry.backoffUntil - now;
    EXPECT_TRUE(index != 0 || backoff == 750ms);
    EXPECT_TRUE(index != 1 || backoff == 2500ms);
    shortest = std::min(shortest, backoff), longest = std::max(longest, backoff);
    const Duration backoffEnd = entry.backoffUntil;
    table.recordOutcome(now + 1ms, "u", ConnectOutcome::refused, {}, kOptions,
                        0.5);  // One of several that failed together.
    EXPECT_EQ(entry.backoffUntil, backoffEnd);
    now = entry.backoffUntil;
  }
  EXPECT_LE(longest, 40s);
  table.recordOutcome(now, "u", ConnectOutcome::succeeded, 1ms, kOptions, 0);
  table.recordOutcome(now, "u", ConnectOutcome::refused, {}, kOptions, 0);
  EXPECT_EQ(table.entries()[2].backoffUntil - now, 750ms);  // The backoff is reset.
}

TEST(AddressHealth, KeepsStateOnUpdateUnlessEngineHasRestarted) {
  AddressTable table = threeAddresses();
  table.recordOutcome(0s, "6", ConnectOutcome::unresponsive, {}, kOptions, 0.5);
  EXPECT_TRUE(table.isSuspect("6"));
  table.update({{"6", AddressFamily::ipv6}, {"6", AddressFamily::ipv6}, {"n", AddressFamily::ipv4}}, false);
  ASSERT_EQ(table.entries().size(), 2U);
  EXPECT_TRUE(table.isSuspect("6"));
  table.recordOutcome(0s, "4", ConnectOutcome::refused, {}, kOptions, 0.5);  // Not in the table any more.
  table.update({{"6", AddressFamily::ipv6}}, true);
  EXPECT_FALSE(table.isSuspect("6"));
  std::vector<AddressTable::ListedAddress> addresses;
  for (int index = 0; index < 64; ++index) addresses.push_back({std::to_string(index), AddressFamily::ipv4});
  EXPECT_EQ(table.update(addresses, false), 48U);
}

TEST(AddressHealth, RevertsManualOverrideWhenItExpires) {
  AddressTable table = threeAddresses();
  EXPECT_TRUE(table.setOverride(0s, "u", AddressTable::ManualOverride::avoid, 10min));
  EXPECT_FALSE(table.setOverride(0s, "x", AddressTable::ManualOverride::avoid, 10min));
  EXPECT_EQ(rankedNames(table, 9min), "64u");
  EXPECT_EQ(rankedNames(table, 10min), "u64");
  table.setOverride(0s, "4", AddressTable::ManualOverride::prefer, 1min);
  EXPECT_EQ(rankedNames(table, 1s), "46u");
  table.setOverride(0s, "4", AddressTable::ManualOverride::clear, 0s);
  table.setOverride(0s, "u", AddressTable::ManualOverride::clear, 0s);
  EXPECT_EQ(rankedNames(table, 1s), "u64");
}

TEST(ConnectRace, StartsNextAttemptWhenDelayElapsesOrPreviousFails) {
  ConnectRace race(kOptions, {"a", "b", "c"}, 0s);
  EXPECT_EQ(race.nextStep(0s, true).addressToConnect, "a");
  const ConnectRace::Step waiting = race.nextStep(0s, true);
  EXPECT_FALSE(waiting.addressToConnect);
  EXPECT_EQ(waiting.nextCheckAt, 50ms);
  EXPECT_EQ(race.nextStep(50ms, true).addressToConnect, "b");
  race.onConnectFailed(60ms);
  EXPECT_EQ(race.nextStep(60ms, true).addressToConnect, "c");
  race.onConnectFailed(70ms);
  EXPECT_FALSE(race.nextStep(70ms, true).finished);  // a or b is still pending.
  EXPECT_TRUE(race.nextStep(250ms, true).finished);
  ConnectRace singleAddressRace(kOptions, {"a"}, 0s);
  EXPECT_EQ(singleAddressRace.nextStep(0s, false).addressToConnect,
            "a");  // The limits do not apply to the first connect of a race.
  singleAddressRace.onConnectFailed(1ms);
  EXPECT_TRUE(singleAddressRace.nextStep(1ms, true).finished);
  ConnectRace limitedRace(kOptions, {"a", "b"}, 0s);  // Without parallel connects the next replaces it.
  limitedRace.nextStep(0s, false);
  EXPECT_FALSE(limitedRace.nextStep(49ms, false).addressToConnect);
  const ConnectRace::Step nextStep = limitedRace.nextStep(50ms, false);
  EXPECT_TRUE(nextStep.replacesPending);
  EXPECT_EQ(nextStep.addressToConnect, "b");
  EXPECT_EQ(limitedRace.pendingCount(), 1U);
  limitedRace.onConnectFailed(60ms);
  EXPECT_TRUE(limitedRace.nextStep(60ms, false).finished);
  EXPECT_TRUE(limitedRace.isSlow(0ms, 50ms));
  EXPECT_FALSE(limitedRace.isSlow(10ms, 50ms));
}

TEST(ConnectLimiter, LimitsConnectsPerEngineAndInTotal) {
  ConnectLimiter limiter(48);
  EXPECT_TRUE(limiter.allowsConnect(0));
  EXPECT_FALSE(limiter.allowsConnect(8));
  for (int index = 0; index < 12; ++index) limiter.onConnectStarted();
  EXPECT_FALSE(limiter.allowsConnect(0));
  limiter.onConnectFinished();
  EXPECT_TRUE(limiter.allowsConnect(0));
}

TEST(InterruptedAttempt, IsUnreachableOrMovesOnlyWhenStatementWasNotFullyWritten) {
  EXPECT_EQ(classifyInterruption({true, false, true, 0, 5s}, 3, kOptions), Disposition::reset);
  EXPECT_EQ(classifyInterruption({true, true, true, 0, 5s}, 3, kOptions), Disposition::connectionFault);
  EXPECT_EQ(classifyInterruption({false, false, true, 0, 5s}, 3, kOptions), Disposition::reroute);
  EXPECT_EQ(classifyInterruption({false, true, true, 1, 5s}, 3, kOptions), Disposition::reroute);
  EXPECT_EQ(classifyInterruption({false, false, true, 2, 5s}, 3, kOptions), Disposition::unreachable);
  EXPECT_EQ(classifyInterruption({false, false, false, 0, 5s}, 3, kOptions),
            Disposition::unreachable);  // The engine drains.
  EXPECT_EQ(classifyInterruption({false, false, true, 0, 40ms}, 3, kOptions), Disposition::unreachable);
  EXPECT_EQ(classifyInterruption({false, false, true, 0, 5s}, 1, kOptions),
            Disposition::unreachable);  // No alternative to a single address.
}

TEST(InterruptedAttempt, CanBeWrittenOnlyWhenRequestEngineAndTimeRemain) {
  EXPECT_TRUE(canSend({false, true, 1us}));
  EXPECT_FALSE(canSend({true, true, 1us}));
  EXPECT_FALSE(canSend({false, false, 1us}));
  EXPECT_FALSE(canSend({false, true, 0us}));
}

// Explores all event orders of one attempt over three addresses, up to a depth of eleven events: connects
// succeed or fail, writes are partial or complete, connections close, time passes, an address is removed. The
// attempt is never fully written on two connections and never gets stuck, and no address is excluded
// permanently.
class EventOrderSearch {
 public:
  struct SearchState {
    Duration now{0};
    AddressTable table = threeAddresses();
    std::optional<ConnectRace> race;
    std::vector<std::string> connecting;
    std::optional<std::string> connectedAddress;  // The address of the open connection.
    unsigned rerouteCount = 0, fullWriteCount = 0;
    bool isWritten = false, finished = false;
  };
  static constexpr int kMaxDepth = 11;

  void explore(const SearchState& state, int depth) {
    ++statesVisited;
    ASSERT_LE(state.fullWriteCount, 1U);
    ASSERT_EQ(state.table.rankAddresses(state.now, kOptions).size(), state.table.entries().size());
    if (state.finished || depth == kMaxDepth) return checkFinalState(state);
    if (!state.race && !state.connectedAddress) return startRace(state, depth);
    if (state.race) {
      for (std::size_t index = 0; index < state.connecting.size(); ++index) {
        SearchState connected = state;  // The first to connect wins; the others are closed.
        connected.connectedAddress = connected.connecting[index];
        connected.connecting.clear();
        connected.race.reset();
        explore(connected, depth + 1);
        SearchState connectFailed = state;
        connectFailed.table.recordOutcome(connectFailed.now, connectFailed.connecting[index],
                                          ConnectOutcome::refused, {}, kOptions, 0.5);
        connectFailed.connecting.erase(connectFailed.connecting.begin() + static_cast<std::ptrdiff_t>(index));
        connectFailed.race->onConnectFailed(connectFailed.now);
        advanceRace(connectFailed, depth);
      }
      SearchState timePassed = state;
      timePassed.now =
          std::max(timePassed.now + 1us, timePassed.race->nextStep(timePassed.now, true).nextCheckAt);
      advanceRace(timePassed, depth);
    } else {
      SearchState fullyWritten = state;
      if (!fullyWritten.isWritten) fullyWritten.isWritten = true, ++fullyWritten.fullWriteCount;
      explore(fullyWritten, depth + 1);
      SearchState interrupted = state;  // Before or after it was fully written.
      closeConnection(interrupted, depth);
      SearchState responded = state;
      if (responded.isWritten) {
        responded.table.recordOutcome(responded.now, *responded.connectedAddress, ConnectOutcome::succeeded,
                                      1ms, kOptions, 0.5);
        responded.finished = true;
        explore(responded, depth + 1);
      }
    }
    if (state.table.entries().size() > 1) {
      SearchState addressRemoved = state;
      std::vector<AddressTable::ListedAddress> remaining;
      for (std::size_t index = 1; index < addressRemoved.table.entries().size(); ++index)
        remaining.push_back(
            {addressRemoved.table.entries()[index].name, addressRemoved.table.entries()[index].family});
      addressRemoved.table.update(remaining, false);
      explore(addressRemoved, depth + 1);
    }
  }
  std::uint64_t statesVisited = 0, finalStates = 0;

 private:
  void startRace(SearchState state, int depth) {
    std::vector<std::string> names;
    for (const std::size_t entryIndex : state.table.rankAddresses(state.now, kOptions))
      names.push_back(state.table.entries()[entryIndex].name);
    state.race.emplace(kOptions, names, state.now);
    advanceRace(state, depth);
  }
  void advanceRace(SearchState state, int depth) {
    for (;;) {
      const ConnectRace::Step step = state.race->nextStep(state.now, true);
      if (step.finished) {  // Unreachable: it was not executed.
        ASSERT_EQ(state.fullWriteCount, 0U);
        for (const std::string& name : state.connecting)
          state.table.recordOutcome(state.now, name, ConnectOutcome::timedOut, {}, kOptions, 0.5);
        state.finished = true;
        return explore(state, depth + 1);
      }
      if (!step.addressToConnect) break;
      state.connecting.push_back(*step.addressToConnect);
    }
    ASSERT_FALSE(state.connecting.empty());
    explore(state, depth + 1);
  }
  void closeConnection(SearchState state, int depth) {
    state.table.recordOutcome(state.now, *state.connectedAddress, ConnectOutcome::resetEarly, {}, kOptions,
                              0.5);
    const Disposition disposition = classifyInterruption(
        {state.isWritten, false, true, state.rerouteCount, 5s}, state.table.entries().size(), kOptions);
    ASSERT_EQ(state.isWritten, disposition == Disposition::reset);
    state.connectedAddress.reset();
    if (disposition == Disposition::reroute) {
      ++state.rerouteCount;
      explore(state, depth + 1);
    } else {
      state.finished = true;
      explore(state, depth + 1);
    }
  }
  // Without further events the race ends by its deadline, and the backoff of every address ends.
  void checkFinalState(const SearchState& state) {
    ++finalStates;
    SearchState finalState = state;
    ASSERT_TRUE(!finalState.race || finalState.race->nextStep(finalState.race->deadline(), true).finished);
    for (const AddressHealth& entry : finalState.table.entries()) {
      ASSERT_LE(entry.backoffUntil, finalState.now + 41s);
      ASSERT_LE(finalState.rerouteCount, 2U);
    }
  }
};

TEST(InterruptedAttempt, IsFullyWrittenOnAtMostOneConnectionInEveryEventOrder) {
  EventOrderSearch search;
  search.explore({}, 0);
  EXPECT_GT(search.statesVisited, 20000U);
  EXPECT_GT(search.finalStates, 5000U);
}

}  // namespace
}  // namespace paddletrack::addresses
