// Engines with several addresses: fakes that listen on IPv4, IPv6 and Unix sockets, and each way in which one
// of these can fail.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "fakes/fake_engine.hpp"
#include "fakes/fake_fleet.hpp"
#include "fakes/load_generator.hpp"
#include "fakes/test_scheduler.hpp"
#include "fakes/unresponsive_listener.hpp"
#include "protocol/controller_config.hpp"
#include "routing/client_listener.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::fakes {
namespace {

using namespace std::chrono_literals;
using transport::Address;
using Fault = FakeEngine::Fault;

constexpr auto kConnectTimeout = 100ms;  // As in the settings below; connects of a race start 20 ms apart.

struct AddressFixture : TestScheduler {
  explicit AddressFixture(std::size_t connectionLimit = 40, const std::string& settings = "")
      : maxEngineConnections(connectionLimit),
        extraSettings(settings),
        loadGenerator(*this, outputBudget, {Address("127.0.84.9:18443")}, 3) {
    loadGenerator.start(0, {{"again", "", 1, 1ms, 1ms, 4000ms},
                            {"keyed", "", 1, 1ms, 1ms, 4000ms},
                            {"once", "", 1, 1ms, 1ms, 4000ms}});
  }
  void updateEndpoint(const std::vector<std::string>& addresses, const std::string& id = "s-1",
                      bool isSnapshot = true,
                      paddletrack::EndpointState state = paddletrack::EndpointState::ready,
                      std::int64_t startedMs = 0) {
    protocol::EndpointEvent event;
    event.isSnapshot = isSnapshot;
    protocol::EndpointEntry entry{id, addresses.front(), "a", "m", 0, state, startedMs};
    entry.addresses = addresses;
    event.entries.push_back(entry);
    router.onEndpointUpdate(event);
  }
  // Runs one request to its end and returns the time that it took, in ms.
  double runRequestMs(std::size_t kindIndex = 0) {
    const std::size_t requestIndex = loadGenerator.send(kindIndex, 0);
    runUntil(
        [&] {
          return loadGenerator.requests()[requestIndex].answerCount > 0 ||
                 loadGenerator.requests()[requestIndex].lost;
        },
        5000ms);
    lastOutcome = loadGenerator.requests()[requestIndex].outcome;
    return std::chrono::duration<double, std::milli>(loadGenerator.requests()[requestIndex].endedAt -
                                                     loadGenerator.requests()[requestIndex].sentAt)
        .count();
  }
  bool hasLogged(const std::string& part) const { return logText.find(part) != std::string::npos; }

  const std::size_t maxEngineConnections;
  const std::string extraSettings;
  std::string logText;
  const Logger logger{[this](const LogRecord& record) {
    logText += std::string(record.topic) + ": " + record.message + "\n";
  }};
  const protocol::ControllerConfig config = protocol::decodeControllerConfig(protocol::flattenLines(
      std::string(
          "balancers=1\nzones=a\nmachineTypes=m\nfamilyInfo.kindCores=64\nprofiles.count=3\nprofiles.0.name="
          "again\n"
          "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=800000\nprofiles.0.giveUpUs="
          "4000000\nprofiles.1."
          "name=keyed\n"
          "profiles.1.idempotency=dedup\nprofiles.1.group=all\nprofiles.1.windowUs=60000000\nprofiles.1."
          "onTimeUs="
          "800000\n"
          "profiles.1.giveUpUs=4000000\nprofiles.2.name=once\nprofiles.2.idempotency=fragile\nprofiles.2."
          "onTimeUs=800000\n"
          "profiles.2.giveUpUs=4000000\nlimits.mostTries=3\nlimits.cancelling=true\nlimits.retryAfter=true\n"
          "limits.maxRetryAfterUs=900000\nlimits.streamsPerConn=4\nlimits.dialTimeoutUs=100000\n"
          "limits.idleCloseUs=9000000\ntickUs=5000\n") +
      extraSettings));
  routing::RequestRouter router{
      *this,
      outputBudget,
      config,
      {100,
       {config.maxAttemptsPerConnection, maxEngineConnections, config.connectTimeout, config.idleTimeout}},
      7,
      logger};
  routing::ClientListener clientListener{
      *this, outputBudget, Address("127.0.84.9:18443"), {20, 40 << 20, 1 << 20}, router, logger};
  TemporaryDirectory folder;
  const std::string ipv4Address = "127.0.84.1:18443", ipv6Address = "[::1]:18484",
                    unixAddress = "unix:" + folder.path() + "/engine";
  LoadGenerator loadGenerator;
  Reply::Outcome lastOutcome = Reply::Outcome::exception;
};

TEST(AddressFailover, ConnectsAtOnceWhenOnlyOneAddressAcceptsConnections) {
  for (int good = 0; good < 3; ++good) {
    AddressFixture front;
    const std::vector<std::string> all{front.unixAddress, front.ipv6Address, front.ipv4Address};
    FakeEngine executor(front, front.outputBudget, Address(all[static_cast<std::size_t>(good)]));
    front.updateEndpoint(all);
    EXPECT_LT(front.runRequestMs(2), 15) << good;
    EXPECT_EQ(front.lastOutcome, Reply::Outcome::completed) << front.logText;
    EXPECT_LT(front.runRequestMs(2), 15) << good;
    EXPECT_EQ(executor.executionCount(), 2U);
    EXPECT_EQ(executor.duplicateExecutionCount(), 0U);
    EXPECT_EQ(front.hasLogged("unreachable"), false);
  }
}

TEST(AddressFailover, DelaysOneStaggerAndDemotesAddressWhenConnectIsUnanswered) {
  AddressFixture front;
  const UnresponsiveListener mute(Address(front.ipv6Address));
  FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
  front.updateEndpoint({front.ipv6Address, front.ipv4Address});
  const double first = front.runRequestMs(2);
  EXPECT_EQ(front.lastOutcome, Reply::Outcome::completed) << front.logText;
  EXPECT_GE(first, 19);
  EXPECT_LT(first, 40);
  EXPECT_TRUE(front.hasLogged("no answer"));
  executor.disconnect();
  front.runFor(5ms);
  EXPECT_LT(front.runRequestMs(2), 15);
}

TEST(AddressFailover, FailsUnsafeRequestAndAvoidsAddressWhenItAcceptsButNeverResponds) {
  AddressFixture front;
  FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
  const std::size_t stalls = executor.addAddress(Address(front.unixAddress));
  executor.setFault(stalls, Fault::unresponsive);
  front.updateEndpoint({front.unixAddress, front.ipv4Address});
  front.runRequestMs(2);  // It was fully written: it may have been executed and is not retried.
  EXPECT_EQ(front.lastOutcome, Reply::Outcome::failed);
  EXPECT_EQ(executor.executionCount(), 0U);
  EXPECT_TRUE(front.hasLogged("silent"));
  EXPECT_LT(front.runRequestMs(2), 60) << front.logText;
  EXPECT_EQ(front.lastOutcome, Reply::Outcome::completed);
  EXPECT_EQ(executor.executionCount(), 1U);
}

// The kernel accepts a part of a long statement for a process that reads nothing: the attempt is rerouted.
TEST(AddressFailover, MovesAttemptToOtherAddressWhenMessageIsOnlyPartlyWritten) {
  for (const std::size_t kind : {0U, 1U, 2U}) {
    AddressFixture front;
    FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
    const std::size_t stalls = executor.addAddress(Address(front.unixAddress));
    executor.setFault(stalls, Fault::unresponsive);
    front.updateEndpoint({front.unixAddress, front.ipv4Address});
    std::vector<LoadGenerator::RequestProfile> kinds(
        3, {"", "", 1, 1ms, 1ms, 4000ms, std::string(5 << 20, 'x')});
    kinds[0].requestClass = "again", kinds[1].requestClass = "keyed", kinds[2].requestClass = "once";
    front.loadGenerator.start(0, kinds);
    front.loadGenerator.send(kind, 0);
    front.runUntil([&] { return front.loadGenerator.counters().open == 0; }, 3000ms);
    EXPECT_TRUE(front.hasLogged("silent")) << front.logText;
    EXPECT_TRUE(front.router.formatCounts().find("1 dispatches moved") != std::string::npos)
        << front.router.formatCounts();
    EXPECT_EQ(executor.askCountAt(stalls), 0U);
    EXPECT_EQ(executor.askCountAt(0), 1U);
    EXPECT_EQ(front.loadGenerator.requests()[0].outcome, Reply::Outcome::completed) << kind << front.logText;
  }
}

TEST(AddressFailover, RetriesOnlyIdempotentRequestWhenConnectionIsResetAfterSend) {
  for (const Fault fault : {Fault::resetOnAccept, Fault::resetOnAsk, Fault::partialAnswer})
    for (const std::size_t kind : {0U, 2U}) {
      AddressFixture front;
      FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
      const std::size_t bad = executor.addAddress(Address(front.unixAddress));
      executor.setFault(bad, fault);
      front.updateEndpoint({front.unixAddress, front.ipv4Address});
      front.runRequestMs(kind);
      const bool again = kind == 0;
      EXPECT_EQ(front.lastOutcome, again ? Reply::Outcome::completed : Reply::Outcome::failed)
          << static_cast<int>(fault) << front.logText;
      EXPECT_LT(front.runRequestMs(2), 130);
      EXPECT_EQ(front.lastOutcome, Reply::Outcome::completed) << static_cast<int>(fault) << front.logText;
      EXPECT_LE(executor.duplicateExecutionCount(), again ? 1U : 0U);
    }
}

TEST(AddressFailover, FinishesOpenAttemptsAndSendsNoNewOnesWhenAddressIsDelisted) {
  AddressFixture front;
  FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
  const std::size_t old = executor.addAddress(Address(front.unixAddress));
  front.loadGenerator.start(0, {{"once", "", 1, 150ms, 150ms, 4000ms}, {"again", "", 1, 1ms, 1ms, 4000ms}});
  front.updateEndpoint({front.unixAddress, front.ipv4Address});
  front.loadGenerator.send(0, 0);
  front.runFor(50ms);
  EXPECT_EQ(executor.askCountAt(old), 1U);
  front.updateEndpoint({front.ipv4Address});
  front.runRequestMs(1);
  EXPECT_EQ(executor.askCountAt(old), 1U);
  EXPECT_EQ(executor.askCountAt(0), 1U);
  front.runUntil([&] { return front.loadGenerator.counters().open == 0; }, 1000ms);
  EXPECT_EQ(front.loadGenerator.requests()[0].outcome, Reply::Outcome::completed);
  EXPECT_EQ(executor.duplicateExecutionCount(), 0U);
  front.updateEndpoint({front.unixAddress}, "s-2", false);  // The address belongs to another engine now.
  front.updateEndpoint({front.ipv4Address}, "s-1", false);
  EXPECT_LT(front.runRequestMs(1), 30);
}

TEST(AddressFailover, RetriesOnOtherAddressUnlessNotIdempotentWhenAddressVanishesInFlight) {
  for (const std::size_t kind : {0U, 1U, 2U}) {
    AddressFixture front;
    FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
    const std::size_t gone = executor.addAddress(Address(front.unixAddress));
    std::vector<LoadGenerator::RequestProfile> kinds(3, {"", "", 1, 120ms, 120ms, 4000ms});
    kinds[0].requestClass = "again", kinds[1].requestClass = "keyed", kinds[2].requestClass = "once";
    front.loadGenerator.start(0, kinds);
    front.updateEndpoint({front.unixAddress, front.ipv4Address});
    front.loadGenerator.send(kind, 0);
    front.runFor(40ms);
    executor.closeAddress(gone);
    ::unlink(front.unixAddress.substr(5).c_str());
    front.runUntil([&] { return front.loadGenerator.counters().open == 0; }, 3000ms);
    EXPECT_EQ(front.loadGenerator.requests()[0].outcome,
              kind == 2 ? Reply::Outcome::failed : Reply::Outcome::completed)
        << kind;
    EXPECT_EQ(executor.duplicateExecutionCount(), 0U);  // The first was interrupted before it was complete.
    EXPECT_EQ(executor.askCountAt(0), kind == 2 ? 0U : 1U);
  }
}

// A request that may be retried is the trial that finds a failed, preferred address working again.
TEST(AddressFailover, ReusesPreferredAddressWhenItRecovers) {
  AddressFixture front;
  FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
  front.updateEndpoint({front.unixAddress, front.ipv4Address});
  front.runRequestMs(0);
  const std::size_t back = executor.addAddress(Address(front.unixAddress));
  EXPECT_TRUE(front.runUntil(
      [&] {
        executor.disconnect();  // Open connections would be used again.
        front.runRequestMs(0);
        return executor.askCountAt(back) > 0;
      },
      3000ms));
  EXPECT_EQ(front.lastOutcome, Reply::Outcome::completed);
  EXPECT_EQ(front.loadGenerator.counters().answersByOutcome[0], front.loadGenerator.counters().sent);
}

TEST(AddressFailover, RejectsRequestAndLaterRecoversWhenAllAddressesFail) {
  AddressFixture front;
  front.updateEndpoint({front.unixAddress, front.ipv6Address, front.ipv4Address});
  EXPECT_LT(front.runRequestMs(2), 800);
  EXPECT_EQ(front.lastOutcome, Reply::Outcome::rejected) << front.logText;
  FakeEngine executor(front, front.outputBudget, Address(front.ipv6Address));
  EXPECT_TRUE(front.runUntil(
      [&] { return front.runRequestMs(0) > 0 && front.lastOutcome == Reply::Outcome::completed; }, 8000ms));
}

// Rule 3: an attempt that waits for a connection or a reroute does not reach an engine that drains by then.
TEST(AddressFailover, RejectsWithoutTryingOtherAddressWhenEngineDrains) {
  for (const bool dialling : {true, false}) {
    AddressFixture front;
    std::optional<UnresponsiveListener> mute;
    if (dialling) mute.emplace(Address(front.ipv6Address));
    FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
    const std::string first = dialling ? front.ipv6Address : front.unixAddress;
    if (!dialling) executor.setFault(executor.addAddress(Address(front.unixAddress)), Fault::unresponsive);
    front.loadGenerator.start(0,
                              {{"once", "", 1, 1ms, 1ms, 4000ms, std::string(dialling ? 10 : 5 << 20, 'x')}});
    front.updateEndpoint({first, front.ipv4Address});
    front.loadGenerator.send(0, 0);
    front.runUntil([&] { return front.router.attemptsInFlight() > 0; }, 500ms);
    front.runFor(5ms);
    front.updateEndpoint({first, front.ipv4Address}, "s-1", false, paddletrack::EndpointState::draining);
    front.runUntil([&] { return front.loadGenerator.counters().open == 0; }, 4500ms);
    EXPECT_EQ(front.loadGenerator.requests()[0].outcome, Reply::Outcome::rejected) << front.logText;
    EXPECT_EQ(executor.askCount(), 0U);
  }
}

// Connects beside the first of a race count as connections, for each holds a descriptor. With one connection
// busy and one left, an engine whose connects all hang holds one descriptor, not two; and an engine with a
// healthy second address is still reached.
TEST(AddressFailover, LimitsConnectRaceWhenConnectionLimitIsReached) {
  for (const bool good : {false, true}) {
    AddressFixture front(2);
    const UnresponsiveListener six(Address(front.ipv6Address));
    std::optional<UnresponsiveListener> mute;
    std::optional<FakeEngine> executor;
    if (good)
      executor.emplace(front, front.outputBudget, Address(front.ipv4Address));
    else
      mute.emplace(Address(front.ipv4Address));
    FakeEngine busy(front, front.outputBudget, Address("127.0.84.2:18443"));
    front.loadGenerator.start(0,
                              {{"again", "", 1, 900ms, 900ms, 4000ms}, {"again", "", 1, 1ms, 1ms, 4000ms}});
    front.updateEndpoint({"127.0.84.2:18443"}, "s-2", false);
    front.loadGenerator.send(0, 0);
    front.runUntil([&] { return busy.openAskCount() == 1; }, 500ms);
    front.updateEndpoint({front.ipv6Address, front.ipv4Address}, "s-1", false);
    const auto open = [] {
      std::size_t count = 0;
      for (const auto& item : std::filesystem::directory_iterator("/proc/self/fd"))
        count += item.path().empty() ? 0 : 1;
      return count;
    };
    const std::size_t before = open();
    const std::size_t job = front.loadGenerator.send(1, 0);
    std::size_t most = 0;
    front.runUntil([&] { return most = std::max(most, open()), false; }, 80ms);  // Shorter than the race.
    front.runUntil([&] { return front.loadGenerator.requests()[job].answerCount > 0; }, 3000ms);
    EXPECT_EQ(front.loadGenerator.requests()[job].outcome, Reply::Outcome::completed) << front.logText;
    EXPECT_EQ(most, before + (good ? 2 : 1)) << front.logText;  // Both ends of a second connection.
    EXPECT_TRUE(front.hasLogged("no answer"));
    EXPECT_EQ(good && executor->executionCount() == 1, good);
  }
}

// An address that is known to stall does not answer the probe when it is tried again: the race goes on after
// one delay, and no attempt has been sent there.
TEST(AddressFailover, DelaysOneStaggerWhenRetriedAddressStallsAgain) {
  AddressFixture front;
  FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
  const std::size_t stalls = executor.addAddress(Address(front.unixAddress));
  front.updateEndpoint({front.unixAddress, front.ipv4Address});
  front.runRequestMs(0);
  executor.setFault(stalls, Fault::unresponsive);
  front.loadGenerator.send(0, 0);
  EXPECT_TRUE(front.runUntil([&] { return front.hasLogged("silent"); }, 2000ms));
  EXPECT_TRUE(front.runUntil([&] { return front.loadGenerator.counters().open == 0; }, 5000ms));
  front.runRequestMs(0);
  front.runFor(700ms);  // Its backoff is over.
  executor.disconnect();
  front.runFor(5ms);
  const double took = front.runRequestMs(0);
  EXPECT_EQ(front.lastOutcome, Reply::Outcome::completed);
  EXPECT_GE(took, 19);
  EXPECT_LT(took, 60);
}

// Something else listens at the path, or the mode of the socket denies access to this user.
TEST(AddressFailover, UsesOtherAddressWhenUnixSocketIsForeignOrForbidden) {
  AddressFixture front;
  FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address)),
      other(front, front.outputBudget, Address(front.unixAddress));
  other.onCommand = [](FakeEngine&, transport::Connection& to, const std::string&, const std::string&) {
    to.send({transport::BufferSlice::fromStatic("HTTP/1.1 400 Bad Request\r\n\r\n")});
  };
  front.updateEndpoint({front.unixAddress, front.ipv4Address});
  front.runRequestMs(0);
  EXPECT_EQ(front.lastOutcome, Reply::Outcome::completed) << front.logText;
  EXPECT_LT(front.runRequestMs(2), 60);
  EXPECT_EQ(front.lastOutcome, Reply::Outcome::completed);
  EXPECT_TRUE(front.hasLogged("reset early")) << front.logText;
  if (::geteuid() != 0) return;  // Only root can drop to a user that has no access.
  const std::string shut = front.unixAddress + "-shut";
  FakeEngine kept(front, front.outputBudget, Address(shut)),
      open(front, front.outputBudget, Address("127.0.84.3:18443"));
  ::chmod(shut.substr(5).c_str(), 0600);
  ::chmod(front.folder.path().c_str(), 0755);
  front.updateEndpoint({shut, "127.0.84.3:18443"}, "s-3", true);
  ASSERT_EQ(::seteuid(65534), 0);
  front.runRequestMs(2);
  ASSERT_EQ(::seteuid(0), 0);
  EXPECT_EQ(front.lastOutcome, Reply::Outcome::completed) << front.logText;
  EXPECT_TRUE(front.hasLogged("Permission denied")) << front.logText;
  EXPECT_EQ(kept.askCount(), 0U);
}

// Rule 4: an engine that warms up gets no more than its part over several addresses, whichever serves.
TEST(AddressFailover, KeepsWarmupBudgetWhenEngineHasSeveralAddresses) {
  AddressFixture front(
      40, "rules.coldUs=60000000\nrules.startCapacity=0.03\nrules.fallMultiple=3\nrules.fallUs=2000000\n");
  const UnresponsiveListener mute(Address(front.ipv6Address));
  FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
  front.loadGenerator.start(0, {{"again", "", 1, 300ms, 300ms, 4000ms}});
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  front.updateEndpoint({front.unixAddress, front.ipv6Address, front.ipv4Address}, "s-1", true,
                       paddletrack::EndpointState::ready, now.count());
  for (int index = 0; index < 60; ++index) front.loadGenerator.send(0, 0);
  front.runFor(250ms);
  // 0.03 x 64 cores x 2 s x 3, half of it for safety: 5.76 s of work, in requests of 0.8 s while no duration
  // is known.
  EXPECT_GT(executor.askCount(), 0U);
  EXPECT_LE(executor.askCount(), 7U);
  front.runUntil([&] { return front.loadGenerator.counters().open == 0; }, 5000ms);
  EXPECT_EQ(front.loadGenerator.counters().lost + front.loadGenerator.counters().duplicateAnswers, 0U);
}

// One address family fails for all engines at once: each request is delayed by one refusal or one race delay,
// none fails, and attempts on the other families continue.
TEST(AddressFailover, ServesAllRequestsWhenOneAddressFamilyFailsOnAllEngines) {
  AddressFixture front;
  std::vector<std::unique_ptr<FakeEngine>> executors;
  for (int index = 1; index <= 6; ++index) {
    const std::string four = "127.0.84." + std::to_string(10 + index) + ":18443",
                      local = front.unixAddress + std::to_string(index);
    executors.push_back(std::make_unique<FakeEngine>(front, front.outputBudget, Address(four)));
    executors.back()->addAddress(Address(local));
    front.updateEndpoint({local, four}, "s-" + std::to_string(index), false);
  }
  for (int item = 0; item < 30; ++item) front.loadGenerator.send(2, 0);
  EXPECT_TRUE(front.runUntil([&] { return front.loadGenerator.counters().open == 0; }, 1000ms));
  for (const auto& executor : executors) executor->closeAddress(1);
  for (int element = 0; element < 60; ++element) front.loadGenerator.send(2, 0);
  EXPECT_TRUE(front.runUntil([&] { return front.loadGenerator.counters().open == 0; }, 1000ms));
  EXPECT_EQ(front.loadGenerator.counters().answersByOutcome[0], 90U) << front.logText;
  for (const auto& executor : executors) EXPECT_EQ(executor->duplicateExecutionCount(), 0U);
}

// An address goes up and down faster than its health expires: no request is delayed by more than one race
// delay, and none is lost.
TEST(AddressFailover, LosesNoRequestWhenAddressFlaps) {
  AddressFixture front;
  FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
  front.updateEndpoint({front.unixAddress, front.ipv4Address});
  for (int index = 0; index < 30; ++index) {
    std::optional<FakeEngine> flapping;
    if (index % 2 == 0) flapping.emplace(front, front.outputBudget, Address(front.unixAddress));
    EXPECT_LT(front.runRequestMs(0), 60) << index;
    EXPECT_EQ(front.lastOutcome, Reply::Outcome::completed) << index << front.logText;
    flapping.reset();
    ::unlink(front.unixAddress.substr(5).c_str());
    if (index % 3 == 0) executor.disconnect();
    front.runFor(20ms);
  }
  EXPECT_EQ(front.loadGenerator.counters().lost + front.loadGenerator.counters().duplicateAnswers, 0U);
}

TEST(AddressFailover, LogsInvalidAddressesAndServesThroughValidOneWhenListIsMixed) {
  AddressFixture front;
  std::ofstream(front.unixAddress.substr(5)) << "no socket";
  FakeEngine executor(front, front.outputBudget, Address(front.ipv4Address));
  std::vector<std::string> all{
      front.unixAddress, "unix:relative",  "host.example:80", "[::1", "", "unix:/" + std::string(200, 'x'),
      front.ipv4Address, front.ipv4Address};
  for (int index = 2; index < 64; ++index) all.push_back("127.0.83." + std::to_string(index) + ":18443");
  front.updateEndpoint(all);
  EXPECT_LT(front.runRequestMs(0), 40);
  EXPECT_EQ(front.lastOutcome, Reply::Outcome::completed);
  for (const char* character :
       {"unix:relative", "host.example:80", "'[::1'", "107 bytes at most", "48 addresses too many"})
    EXPECT_TRUE(front.hasLogged(character)) << character << front.logText;
}

TEST(EndpointEvent, ParsesAddressListAndRejectsNonArrayWhenEventIsRead) {
  const protocol::EndpointListLine line = protocol::parseEndpointListLine(
      R"({"seq":2,"fleet":{"version":1,"full":true,"servers":[{"id":"s","addr":"1.2.3.4:5","addrs":["unix:/a","[::1]:5",7],)"
      R"("zone":"a","kind":"m","cell":0,"state":"active","weight":1,"started_ms":0}]}})");
  EXPECT_EQ(line.event->entries[0].addresses, (std::vector<std::string>{"unix:/a", "[::1]:5", ""}));
  EXPECT_THROW(protocol::parseEndpointListLine(
                   R"({"seq":2,"fleet":{"full":true,"servers":[{"id":"s","addr":"1.2.3.4:5","addrs":"x",)"
                   R"("zone":"a","kind":"m","cell":0,"state":"active","started_ms":0}]}})"),
               protocol::ParseError);
}

}  // namespace
}  // namespace paddletrack::fakes
