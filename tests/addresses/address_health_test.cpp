// The order and schedule of connects, and what becomes of an attempt whose connection has closed.
#include <gtest/gtest.h>

#include <functional>

#include "addresses/address_table.hpp"

namespace paddletrack::addresses {
namespace {

using namespace std::chrono_literals;

const ConnectOptions kOptions{250ms, {AddressFamily::unixSocket, AddressFamily::ipv6, AddressFamily::ipv4}};

AddressTable threeAddresses() {
  AddressTable health;
  health.update({{"4", AddressFamily::ipv4}, {"6", AddressFamily::ipv6}, {"u", AddressFamily::unixSocket}},
                false);
  return health;
}

std::string addressOrder(const AddressTable& health, Duration now, const ConnectOptions& options = kOptions) {
  std::string names;
  for (const std::size_t rankAddress : health.rankAddresses(now, options))
    names += health.entries()[rankAddress].name;
  return names;
}

TEST(AddressHealth, OrdersLocalFirstThenAlternatesFamiliesByPreference) {
  AddressTable health;
  health.update({{"a", AddressFamily::ipv4},
                 {"b", AddressFamily::ipv4},
                 {"C", AddressFamily::ipv6},
                 {"D", AddressFamily::ipv6},
                 {"u", AddressFamily::unixSocket}},
                false);
  EXPECT_EQ(addressOrder(health, 0s), "uCaDb");
  EXPECT_EQ(addressOrder(health, 0s,
                         {250ms, {AddressFamily::ipv4, AddressFamily::unixSocket, AddressFamily::ipv6}}),
            "auCbD");
}

TEST(AddressHealth, OrdersLastGoodBeforeUnknownBeforeFailed) {
  AddressTable health = threeAddresses();
  health.recordOutcome(1s, "4", ConnectOutcome::succeeded, 2ms, kOptions, 0.5);
  EXPECT_EQ(addressOrder(health, 1s), "4u6");
  health.recordOutcome(1s, "u", ConnectOutcome::refused, {}, kOptions, 0.5);
  EXPECT_EQ(addressOrder(health, 1s), "46u");
  health.recordOutcome(1s, "4", ConnectOutcome::timedOut, {}, kOptions, 0.5);
  health.recordOutcome(1s, "6", ConnectOutcome::timedOut, {}, kOptions, 0.0);
  EXPECT_EQ(addressOrder(health, 1s).size(), 3U);
  EXPECT_EQ(addressOrder(health, 1s).substr(0, 1), "u");
  EXPECT_EQ(addressOrder(health, 2500ms), "u64");  // All backoffs are over.
  health.recordOutcome(3s, "4", ConnectOutcome::succeeded, 2ms, kOptions, 0.5);
  EXPECT_EQ(addressOrder(health, 3s).substr(0, 1), "4");
  EXPECT_EQ(addressOrder(health, 100s), "4u6");  // A failure long ago has expired.
}

// An attempt that must not run twice is never a trial.
TEST(AddressHealth, RetriesPreferredAddressWhenBackoffEnds) {
  AddressTable health = threeAddresses();
  health.recordOutcome(0s, "4", ConnectOutcome::succeeded, 2ms, kOptions, 0.5);
  health.recordOutcome(0s, "u", ConnectOutcome::unresponsive, {}, kOptions, 0.5);
  const auto firstName = [&](Duration now, bool careful) {
    return health.entries()[health.rankAddresses(now, kOptions, careful)[0]].name;
  };
  EXPECT_EQ(firstName(999ms, false), "4");
  EXPECT_EQ(firstName(1s, false), "u");
  EXPECT_EQ(firstName(1s, true), "4");
  EXPECT_EQ(firstName(100s, false), "u");
  health.recordOutcome(100s, "u", ConnectOutcome::succeeded, 1ms, kOptions, 0.5);
  EXPECT_EQ(firstName(100s, true), "u");
  health.recordOutcome(100s, "4", ConnectOutcome::refused, {}, kOptions, 0.5);
  EXPECT_EQ(firstName(110s, false), "u");  // A less preferred address needs no trial.
}

TEST(AddressHealth, LimitsExponentialBackoffAndAppliesJitter) {
  AddressTable health = threeAddresses();
  Duration now{0}, shortest = 1h, longest{0};
  for (int index = 0; index < 12; ++index) {
    health.recordOutcome(now, "u", ConnectOutcome::refused, {}, kOptions, index % 2 == 0 ? 0.0 : 1.0);
    const AddressHealth& route = health.entries()[2];
    const Duration backoff = route.backoffUntil - now;
    EXPECT_TRUE(index != 0 || backoff == 750ms);
    EXPECT_TRUE(index != 1 || backoff == 2500ms);
    shortest = std::min(shortest, backoff), longest = std::max(longest, backoff);
    const Duration backoffEnd = route.backoffUntil;
    health.recordOutcome(now + 1ms, "u", ConnectOutcome::refused, {}, kOptions,
                         0.5);  // One of many that failed together.
    EXPECT_EQ(route.backoffUntil, backoffEnd);
    now = route.backoffUntil;
  }
  EXPECT_LE(longest, 40s);
  health.recordOutcome(now, "u", ConnectOutcome::succeeded, 1ms, kOptions, 0);
  health.recordOutcome(now, "u", ConnectOutcome::refused, {}, kOptions, 0);
  EXPECT_EQ(health.entries()[2].backoffUntil - now, 750ms);  // The backoff starts anew.
}

TEST(AddressHealth, KeepsStateOnUpdateUnlessEngineHasRestarted) {
  AddressTable health = threeAddresses();
  health.recordOutcome(0s, "6", ConnectOutcome::unresponsive, {}, kOptions, 0.5);
  EXPECT_TRUE(health.isSuspect("6"));
  health.update({{"6", AddressFamily::ipv6}, {"6", AddressFamily::ipv6}, {"n", AddressFamily::ipv4}}, false);
  ASSERT_EQ(health.entries().size(), 2U);
  EXPECT_TRUE(health.isSuspect("6"));
  health.recordOutcome(0s, "4", ConnectOutcome::refused, {}, kOptions, 0.5);  // It was removed.
  health.update({{"6", AddressFamily::ipv6}}, true);
  EXPECT_FALSE(health.isSuspect("6"));
  std::vector<AddressTable::ListedAddress> addresses;
  for (int index = 0; index < 64; ++index) addresses.push_back({std::to_string(index), AddressFamily::ipv4});
  EXPECT_EQ(health.update(addresses, false), 48U);
}

TEST(AddressHealth, RevertsManualOverrideWhenItExpires) {
  AddressTable health = threeAddresses();
  EXPECT_TRUE(health.setOverride(0s, "u", AddressTable::ManualOverride::avoid, 10min));
  EXPECT_FALSE(health.setOverride(0s, "x", AddressTable::ManualOverride::avoid, 10min));
  EXPECT_EQ(addressOrder(health, 9min), "64u");
  EXPECT_EQ(addressOrder(health, 10min), "u64");
  health.setOverride(0s, "4", AddressTable::ManualOverride::prefer, 1min);
  EXPECT_EQ(addressOrder(health, 1s), "46u");
  health.setOverride(0s, "4", AddressTable::ManualOverride::clear, 0s);
  health.setOverride(0s, "u", AddressTable::ManualOverride::clear, 0s);
  EXPECT_EQ(addressOrder(health, 1s), "u64");
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
            "a");  // The first connect of a race needs no further descriptor.
  singleAddressRace.onConnectFailed(1ms);
  EXPECT_TRUE(singleAddressRace.nextStep(1ms, true).finished);
  ConnectRace limitedRace(kOptions, {"a", "b"}, 0s);  // Limits allow none beside it: the next replaces it.
  limitedRace.nextStep(0s, false);
  EXPECT_FALSE(limitedRace.nextStep(49ms, false).addressToConnect);
  const ConnectRace::Step nextAction = limitedRace.nextStep(50ms, false);
  EXPECT_TRUE(nextAction.replacesPending);
  EXPECT_EQ(nextAction.addressToConnect, "b");
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
            Disposition::unreachable);  // Its engine drains.
  EXPECT_EQ(classifyInterruption({false, false, true, 0, 40ms}, 3, kOptions), Disposition::unreachable);
  EXPECT_EQ(classifyInterruption({false, false, true, 0, 5s}, 1, kOptions),
            Disposition::unreachable);  // As with a single address.
}

TEST(InterruptedAttempt, CanBeWrittenOnlyWhenRequestEngineAndTimeRemain) {
  EXPECT_TRUE(canSend({false, true, 1us}));
  EXPECT_FALSE(canSend({true, true, 1us}));
  EXPECT_FALSE(canSend({false, false, 1us}));
  EXPECT_FALSE(canSend({false, true, 0us}));
}

// Searches all orders of events of one attempt over three addresses, eleven steps deep: connects that succeed
// or fail, writes that are partial or complete, connections that close, time that passes, an address that is
// removed. The attempt is never fully written on two connections, it never gets stuck, and no address is
// excluded for good.
class EventOrderSearch {
 public:
  struct SearchState {
    Duration now{0};
    AddressTable health = threeAddresses();
    std::optional<ConnectRace> race;
    std::vector<std::string> connecting;
    std::optional<std::string> connectedAddress;  // The address of the open connection.
    unsigned moveCount = 0, fullWriteCount = 0;
    bool isWritten = false, finished = false;
  };
  static constexpr int kMaxDepth = 11;

  void explore(const SearchState& state, int depth) {
    ++statesVisited;
    ASSERT_LE(state.fullWriteCount, 1U);
    ASSERT_EQ(state.health.rankAddresses(state.now, kOptions).size(), state.health.entries().size());
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
        connectFailed.health.recordOutcome(connectFailed.now, connectFailed.connecting[index],
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
      loseConnection(interrupted, depth);
      SearchState answered = state;
      if (answered.isWritten) {
        answered.health.recordOutcome(answered.now, *answered.connectedAddress, ConnectOutcome::succeeded,
                                      1ms, kOptions, 0.5);
        answered.finished = true;
        explore(answered, depth + 1);
      }
    }
    if (state.health.entries().size() > 1) {
      SearchState addressRemoved = state;
      std::vector<AddressTable::ListedAddress> remaining;
      for (std::size_t index = 1; index < addressRemoved.health.entries().size(); ++index)
        remaining.push_back(
            {addressRemoved.health.entries()[index].name, addressRemoved.health.entries()[index].family});
      addressRemoved.health.update(remaining, false);
      explore(addressRemoved, depth + 1);
    }
  }
  std::uint64_t statesVisited = 0, finalStates = 0;

 private:
  void startRace(SearchState state, int depth) {
    std::vector<std::string> names;
    for (const std::size_t rankAddress : state.health.rankAddresses(state.now, kOptions))
      names.push_back(state.health.entries()[rankAddress].name);
    state.race.emplace(kOptions, names, state.now);
    advanceRace(state, depth);
  }
  void advanceRace(SearchState state, int depth) {
    for (;;) {
      const ConnectRace::Step action = state.race->nextStep(state.now, true);
      if (action.finished) {  // Unreachable: it was not executed.
        ASSERT_EQ(state.fullWriteCount, 0U);
        for (const std::string& name : state.connecting)
          state.health.recordOutcome(state.now, name, ConnectOutcome::timedOut, {}, kOptions, 0.5);
        state.finished = true;
        return explore(state, depth + 1);
      }
      if (!action.addressToConnect) break;
      state.connecting.push_back(*action.addressToConnect);
    }
    ASSERT_FALSE(state.connecting.empty());
    explore(state, depth + 1);
  }
  void loseConnection(SearchState state, int depth) {
    state.health.recordOutcome(state.now, *state.connectedAddress, ConnectOutcome::resetEarly, {}, kOptions,
                               0.5);
    const Disposition disposition = classifyInterruption({state.isWritten, false, true, state.moveCount, 5s},
                                                         state.health.entries().size(), kOptions);
    ASSERT_EQ(state.isWritten, disposition == Disposition::reset);
    state.connectedAddress.reset();
    if (disposition == Disposition::reroute) {
      ++state.moveCount;
      explore(state, depth + 1);
    } else {
      state.finished = true;
      explore(state, depth + 1);
    }
  }
  // Without further events time ends it, and each address ranks first again some time later.
  void checkFinalState(const SearchState& state) {
    ++finalStates;
    SearchState finalState = state;
    ASSERT_TRUE(!finalState.race || finalState.race->nextStep(finalState.race->deadline(), true).finished);
    for (const AddressHealth& entry : finalState.health.entries()) {
      ASSERT_LE(entry.backoffUntil, finalState.now + 41s);
      ASSERT_LE(finalState.moveCount, 2U);
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
