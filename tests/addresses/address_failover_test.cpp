// Tests failover between the addresses of an engine: fake engines listen on IPv4, IPv6 and Unix sockets, and
// each address fails in every supported way.
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

constexpr auto kConnectTimeout =
    100ms;  // As in the settings below; successive connects of a race start 20 ms apart.

struct AddressFixture : TestScheduler {
  explicit AddressFixture(std::size_t connectionLimit = 40, const std::string& settings = "")
      : maxEngineConnections(connectionLimit),
        extraSettings(settings),
        loadGenerator(*this, memoryBudget, {Address("127.0.84.9:18443")}, 3) {
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
  // Runs one request to completion and returns its duration in ms.
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
      memoryBudget,
      config,
      {100,
       {config.maxAttemptsPerConnection, maxEngineConnections, config.connectTimeout, config.idleTimeout}},
      7,
      logger};
  routing::ClientListener clientListener{
      *this, memoryBudget, Address("127.0.84.9:18443"), {20, 40 << 20, 1 << 20}, router, logger};
  TemporaryDirectory folder;
  const std::string ipv4Address = "127.0.84.1:18443", ipv6Address = "[::1]:18484",
                    unixAddress = "unix:" + folder.path() + "/engine";
  LoadGenerator loadGenerator;
  Reply::Outcome lastOutcome = Reply::Outcome::exception;
};

TEST(AddressFailover, ConnectsAtOnceWhenOnlyOneAddressAcceptsConnections) {
  for (int workingIndex = 0; workingIndex < 3; ++workingIndex) {
    AddressFixture fixture;
    const std::vector<std::string> addresses{fixture.unixAddress, fixture.ipv6Address, fixture.ipv4Address};
    FakeEngine engine(fixture, fixture.memoryBudget,
                      Address(addresses[static_cast<std::size_t>(workingIndex)]));
    fixture.updateEndpoint(addresses);
    EXPECT_LT(fixture.runRequestMs(2), 15) << workingIndex;
    EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::completed) << fixture.logText;
    EXPECT_LT(fixture.runRequestMs(2), 15) << workingIndex;
    EXPECT_EQ(engine.executionCount(), 2U);
    EXPECT_EQ(engine.duplicateExecutionCount(), 0U);
    EXPECT_EQ(fixture.hasLogged("unreachable"), false);
  }
}

TEST(AddressFailover, DelaysOneStaggerAndDemotesAddressWhenConnectIsUnanswered) {
  AddressFixture fixture;
  const UnresponsiveListener unresponsiveListener(Address(fixture.ipv6Address));
  FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
  fixture.updateEndpoint({fixture.ipv6Address, fixture.ipv4Address});
  const double firstMs = fixture.runRequestMs(2);
  EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::completed) << fixture.logText;
  EXPECT_GE(firstMs, 19);
  EXPECT_LT(firstMs, 40);
  EXPECT_TRUE(fixture.hasLogged("no answer"));
  engine.disconnect();
  fixture.runFor(5ms);
  EXPECT_LT(fixture.runRequestMs(2), 15);
}

TEST(AddressFailover, FailsUnsafeRequestAndAvoidsAddressWhenItAcceptsButNeverResponds) {
  AddressFixture fixture;
  FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
  const std::size_t unresponsiveIndex = engine.addAddress(Address(fixture.unixAddress));
  engine.setFault(unresponsiveIndex, Fault::unresponsive);
  fixture.updateEndpoint({fixture.unixAddress, fixture.ipv4Address});
  fixture.runRequestMs(2);  // Fully written: it may have been executed and is not retried.
  EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::failed);
  EXPECT_EQ(engine.executionCount(), 0U);
  EXPECT_TRUE(fixture.hasLogged("silent"));
  EXPECT_LT(fixture.runRequestMs(2), 60) << fixture.logText;
  EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::completed);
  EXPECT_EQ(engine.executionCount(), 1U);
}

// The engine reads nothing, so the kernel accepts only a part of a long statement: the attempt is rerouted.
TEST(AddressFailover, MovesAttemptToOtherAddressWhenMessageIsOnlyPartlyWritten) {
  for (const std::size_t profileIndex : {0U, 1U, 2U}) {
    AddressFixture fixture;
    FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
    const std::size_t unresponsiveIndex = engine.addAddress(Address(fixture.unixAddress));
    engine.setFault(unresponsiveIndex, Fault::unresponsive);
    fixture.updateEndpoint({fixture.unixAddress, fixture.ipv4Address});
    std::vector<LoadGenerator::RequestProfile> profiles(
        3, {"", "", 1, 1ms, 1ms, 4000ms, std::string(5 << 20, 'x')});
    profiles[0].requestClass = "again", profiles[1].requestClass = "keyed", profiles[2].requestClass = "once";
    fixture.loadGenerator.start(0, profiles);
    fixture.loadGenerator.send(profileIndex, 0);
    fixture.runUntil([&] { return fixture.loadGenerator.counters().open == 0; }, 3000ms);
    EXPECT_TRUE(fixture.hasLogged("silent")) << fixture.logText;
    EXPECT_TRUE(fixture.router.formatCounts().find("1 attempts rerouted") != std::string::npos)
        << fixture.router.formatCounts();
    EXPECT_EQ(engine.askCountAt(unresponsiveIndex), 0U);
    EXPECT_EQ(engine.askCountAt(0), 1U);
    EXPECT_EQ(fixture.loadGenerator.requests()[0].outcome, Reply::Outcome::completed)
        << profileIndex << fixture.logText;
  }
}

TEST(AddressFailover, RetriesOnlyIdempotentRequestWhenConnectionIsResetAfterSend) {
  for (const Fault fault : {Fault::resetOnAccept, Fault::resetOnAsk, Fault::partialAnswer})
    for (const std::size_t profileIndex : {0U, 2U}) {
      AddressFixture fixture;
      FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
      const std::size_t faultyIndex = engine.addAddress(Address(fixture.unixAddress));
      engine.setFault(faultyIndex, fault);
      fixture.updateEndpoint({fixture.unixAddress, fixture.ipv4Address});
      fixture.runRequestMs(profileIndex);
      const bool isIdempotent = profileIndex == 0;
      EXPECT_EQ(fixture.lastOutcome, isIdempotent ? Reply::Outcome::completed : Reply::Outcome::failed)
          << static_cast<int>(fault) << fixture.logText;
      EXPECT_LT(fixture.runRequestMs(2), 130);
      EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::completed) << static_cast<int>(fault) << fixture.logText;
      EXPECT_LE(engine.duplicateExecutionCount(), isIdempotent ? 1U : 0U);
    }
}

TEST(AddressFailover, FinishesOpenAttemptsAndSendsNoNewOnesWhenAddressIsDelisted) {
  AddressFixture fixture;
  FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
  const std::size_t delistedIndex = engine.addAddress(Address(fixture.unixAddress));
  fixture.loadGenerator.start(0, {{"once", "", 1, 150ms, 150ms, 4000ms}, {"again", "", 1, 1ms, 1ms, 4000ms}});
  fixture.updateEndpoint({fixture.unixAddress, fixture.ipv4Address});
  fixture.loadGenerator.send(0, 0);
  fixture.runFor(50ms);
  EXPECT_EQ(engine.askCountAt(delistedIndex), 1U);
  fixture.updateEndpoint({fixture.ipv4Address});
  fixture.runRequestMs(1);
  EXPECT_EQ(engine.askCountAt(delistedIndex), 1U);
  EXPECT_EQ(engine.askCountAt(0), 1U);
  fixture.runUntil([&] { return fixture.loadGenerator.counters().open == 0; }, 1000ms);
  EXPECT_EQ(fixture.loadGenerator.requests()[0].outcome, Reply::Outcome::completed);
  EXPECT_EQ(engine.duplicateExecutionCount(), 0U);
  fixture.updateEndpoint({fixture.unixAddress}, "s-2", false);  // The address belongs to another engine now.
  fixture.updateEndpoint({fixture.ipv4Address}, "s-1", false);
  EXPECT_LT(fixture.runRequestMs(1), 30);
}

TEST(AddressFailover, RetriesOnOtherAddressUnlessNotIdempotentWhenAddressVanishesInFlight) {
  for (const std::size_t profileIndex : {0U, 1U, 2U}) {
    AddressFixture fixture;
    FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
    const std::size_t closedIndex = engine.addAddress(Address(fixture.unixAddress));
    std::vector<LoadGenerator::RequestProfile> profiles(3, {"", "", 1, 120ms, 120ms, 4000ms});
    profiles[0].requestClass = "again", profiles[1].requestClass = "keyed", profiles[2].requestClass = "once";
    fixture.loadGenerator.start(0, profiles);
    fixture.updateEndpoint({fixture.unixAddress, fixture.ipv4Address});
    fixture.loadGenerator.send(profileIndex, 0);
    fixture.runFor(40ms);
    engine.closeAddress(closedIndex);
    ::unlink(fixture.unixAddress.substr(5).c_str());
    fixture.runUntil([&] { return fixture.loadGenerator.counters().open == 0; }, 3000ms);
    EXPECT_EQ(fixture.loadGenerator.requests()[0].outcome,
              profileIndex == 2 ? Reply::Outcome::failed : Reply::Outcome::completed)
        << profileIndex;
    EXPECT_EQ(engine.duplicateExecutionCount(), 0U);  // The first execution was interrupted.
    EXPECT_EQ(engine.askCountAt(0), profileIndex == 2 ? 0U : 1U);
  }
}

// An idempotent request serves as the trial that detects the recovery of a failed, preferred address.
TEST(AddressFailover, ReusesPreferredAddressWhenItRecovers) {
  AddressFixture fixture;
  FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
  fixture.updateEndpoint({fixture.unixAddress, fixture.ipv4Address});
  fixture.runRequestMs(0);
  const std::size_t recoveredIndex = engine.addAddress(Address(fixture.unixAddress));
  EXPECT_TRUE(fixture.runUntil(
      [&] {
        engine.disconnect();  // Open connections would be reused.
        fixture.runRequestMs(0);
        return engine.askCountAt(recoveredIndex) > 0;
      },
      3000ms));
  EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::completed);
  EXPECT_EQ(fixture.loadGenerator.counters().answersByOutcome[0], fixture.loadGenerator.counters().sent);
}

TEST(AddressFailover, RejectsRequestAndLaterRecoversWhenAllAddressesFail) {
  AddressFixture fixture;
  fixture.updateEndpoint({fixture.unixAddress, fixture.ipv6Address, fixture.ipv4Address});
  EXPECT_LT(fixture.runRequestMs(2), 800);
  EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::rejected) << fixture.logText;
  FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv6Address));
  EXPECT_TRUE(fixture.runUntil(
      [&] { return fixture.runRequestMs(0) > 0 && fixture.lastOutcome == Reply::Outcome::completed; },
      8000ms));
}

// Rule 3: an attempt that waits for a connection or a reroute is not sent to an engine that has started to
// drain.
TEST(AddressFailover, RejectsWithoutTryingOtherAddressWhenEngineDrains) {
  for (const bool isConnecting : {true, false}) {
    AddressFixture fixture;
    std::optional<UnresponsiveListener> unresponsiveListener;
    if (isConnecting) unresponsiveListener.emplace(Address(fixture.ipv6Address));
    FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
    const std::string firstAddress = isConnecting ? fixture.ipv6Address : fixture.unixAddress;
    if (!isConnecting) engine.setFault(engine.addAddress(Address(fixture.unixAddress)), Fault::unresponsive);
    fixture.loadGenerator.start(
        0, {{"once", "", 1, 1ms, 1ms, 4000ms, std::string(isConnecting ? 10 : 5 << 20, 'x')}});
    fixture.updateEndpoint({firstAddress, fixture.ipv4Address});
    fixture.loadGenerator.send(0, 0);
    fixture.runUntil([&] { return fixture.router.attemptsInFlight() > 0; }, 500ms);
    fixture.runFor(5ms);
    fixture.updateEndpoint({firstAddress, fixture.ipv4Address}, "s-1", false,
                           paddletrack::EndpointState::draining);
    fixture.runUntil([&] { return fixture.loadGenerator.counters().open == 0; }, 4500ms);
    EXPECT_EQ(fixture.loadGenerator.requests()[0].outcome, Reply::Outcome::rejected) << fixture.logText;
    EXPECT_EQ(engine.askCount(), 0U);
  }
}

// Every connect of a race after the first counts towards the connection limit, because it holds a descriptor.
// With one connection in use and one left, an engine whose connects all hang holds one descriptor, not two,
// and an engine with a healthy second address can still be reached.
TEST(AddressFailover, LimitsConnectRaceWhenConnectionLimitIsReached) {
  for (const bool hasWorkingAddress : {false, true}) {
    AddressFixture fixture(2);
    const UnresponsiveListener ipv6Listener(Address(fixture.ipv6Address));
    std::optional<UnresponsiveListener> ipv4Listener;
    std::optional<FakeEngine> engine;
    if (hasWorkingAddress)
      engine.emplace(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
    else
      ipv4Listener.emplace(Address(fixture.ipv4Address));
    FakeEngine busyEngine(fixture, fixture.memoryBudget, Address("127.0.84.2:18443"));
    fixture.loadGenerator.start(0,
                                {{"again", "", 1, 900ms, 900ms, 4000ms}, {"again", "", 1, 1ms, 1ms, 4000ms}});
    fixture.updateEndpoint({"127.0.84.2:18443"}, "s-2", false);
    fixture.loadGenerator.send(0, 0);
    fixture.runUntil([&] { return busyEngine.openAskCount() == 1; }, 500ms);
    fixture.updateEndpoint({fixture.ipv6Address, fixture.ipv4Address}, "s-1", false);
    const auto countDescriptors = [] {
      std::size_t count = 0;
      for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd"))
        count += entry.path().empty() ? 0 : 1;
      return count;
    };
    const std::size_t descriptorsBefore = countDescriptors();
    const std::size_t requestIndex = fixture.loadGenerator.send(1, 0);
    std::size_t peakDescriptors = 0;
    fixture.runUntil([&] { return peakDescriptors = std::max(peakDescriptors, countDescriptors()), false; },
                     80ms);  // Shorter than the race's timeout.
    fixture.runUntil([&] { return fixture.loadGenerator.requests()[requestIndex].answerCount > 0; }, 3000ms);
    EXPECT_EQ(fixture.loadGenerator.requests()[requestIndex].outcome, Reply::Outcome::completed)
        << fixture.logText;
    EXPECT_EQ(peakDescriptors, descriptorsBefore + (hasWorkingAddress ? 2 : 1))
        << fixture.logText;  // Both ends of a second connection.
    EXPECT_TRUE(fixture.hasLogged("no answer"));
    EXPECT_EQ(hasWorkingAddress && engine->executionCount() == 1, hasWorkingAddress);
  }
}

// A suspect address does not respond to the probe of its retry: the race continues after one delay, without
// having sent an attempt to that address.
TEST(AddressFailover, DelaysOneStaggerWhenRetriedAddressStallsAgain) {
  AddressFixture fixture;
  FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
  const std::size_t unresponsiveIndex = engine.addAddress(Address(fixture.unixAddress));
  fixture.updateEndpoint({fixture.unixAddress, fixture.ipv4Address});
  fixture.runRequestMs(0);
  engine.setFault(unresponsiveIndex, Fault::unresponsive);
  fixture.loadGenerator.send(0, 0);
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.hasLogged("silent"); }, 2000ms));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.loadGenerator.counters().open == 0; }, 5000ms));
  fixture.runRequestMs(0);
  fixture.runFor(700ms);  // Its backoff is over.
  engine.disconnect();
  fixture.runFor(5ms);
  const double requestMs = fixture.runRequestMs(0);
  EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::completed);
  EXPECT_GE(requestMs, 19);
  EXPECT_LT(requestMs, 60);
}

// Another program listens on the socket path, or the socket's mode denies access to this user.
TEST(AddressFailover, UsesOtherAddressWhenUnixSocketIsForeignOrForbidden) {
  AddressFixture fixture;
  FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address)),
      foreignServer(fixture, fixture.memoryBudget, Address(fixture.unixAddress));
  foreignServer.onCommand = [](FakeEngine&, transport::Connection& connection, const std::string&,
                               const std::string&) {
    connection.send({transport::BufferSlice::fromStatic("HTTP/1.1 400 Bad Request\r\n\r\n")});
  };
  fixture.updateEndpoint({fixture.unixAddress, fixture.ipv4Address});
  fixture.runRequestMs(0);
  EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::completed) << fixture.logText;
  EXPECT_LT(fixture.runRequestMs(2), 60);
  EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::completed);
  EXPECT_TRUE(fixture.hasLogged("reset early")) << fixture.logText;
  if (::geteuid() != 0) return;  // Only root can drop to a user that has no access.
  const std::string forbiddenAddress = fixture.unixAddress + "-shut";
  FakeEngine forbiddenEngine(fixture, fixture.memoryBudget, Address(forbiddenAddress)),
      openEngine(fixture, fixture.memoryBudget, Address("127.0.84.3:18443"));
  ::chmod(forbiddenAddress.substr(5).c_str(), 0600);
  ::chmod(fixture.folder.path().c_str(), 0755);
  fixture.updateEndpoint({forbiddenAddress, "127.0.84.3:18443"}, "s-3", true);
  ASSERT_EQ(::seteuid(65534), 0);
  fixture.runRequestMs(2);
  ASSERT_EQ(::seteuid(0), 0);
  EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::completed) << fixture.logText;
  EXPECT_TRUE(fixture.hasLogged("Permission denied")) << fixture.logText;
  EXPECT_EQ(forbiddenEngine.askCount(), 0U);
}

// Rule 4: a warming-up engine gets no more than its warm-up budget, however many addresses it has and
// whichever of them serves.
TEST(AddressFailover, KeepsWarmupBudgetWhenEngineHasSeveralAddresses) {
  AddressFixture fixture(
      40, "rules.coldUs=60000000\nrules.startCapacity=0.03\nrules.fallMultiple=3\nrules.fallUs=2000000\n");
  const UnresponsiveListener unresponsiveListener(Address(fixture.ipv6Address));
  FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
  fixture.loadGenerator.start(0, {{"again", "", 1, 300ms, 300ms, 4000ms}});
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  fixture.updateEndpoint({fixture.unixAddress, fixture.ipv6Address, fixture.ipv4Address}, "s-1", true,
                         paddletrack::EndpointState::ready, now.count());
  for (int index = 0; index < 60; ++index) fixture.loadGenerator.send(0, 0);
  fixture.runFor(250ms);
  // 0.03 x 64 cores x 2 s x 3, halved as a safety margin, is 5.76 s of work; a request counts as 0.8 s as
  // long as no duration has been measured.
  EXPECT_GT(engine.askCount(), 0U);
  EXPECT_LE(engine.askCount(), 7U);
  fixture.runUntil([&] { return fixture.loadGenerator.counters().open == 0; }, 5000ms);
  EXPECT_EQ(fixture.loadGenerator.counters().lost + fixture.loadGenerator.counters().duplicateAnswers, 0U);
}

// One address family fails on all engines at once: no request fails, each is delayed by at most one refused
// connect or one race delay, and attempts over the other families continue.
TEST(AddressFailover, ServesAllRequestsWhenOneAddressFamilyFailsOnAllEngines) {
  AddressFixture fixture;
  std::vector<std::unique_ptr<FakeEngine>> engines;
  for (int index = 1; index <= 6; ++index) {
    const std::string ipv4Address = "127.0.84." + std::to_string(10 + index) + ":18443",
                      unixAddress = fixture.unixAddress + std::to_string(index);
    engines.push_back(std::make_unique<FakeEngine>(fixture, fixture.memoryBudget, Address(ipv4Address)));
    engines.back()->addAddress(Address(unixAddress));
    fixture.updateEndpoint({unixAddress, ipv4Address}, "s-" + std::to_string(index), false);
  }
  for (int index = 0; index < 30; ++index) fixture.loadGenerator.send(2, 0);
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.loadGenerator.counters().open == 0; }, 1000ms));
  for (const auto& engine : engines) engine->closeAddress(1);
  for (int index = 0; index < 60; ++index) fixture.loadGenerator.send(2, 0);
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.loadGenerator.counters().open == 0; }, 1000ms));
  EXPECT_EQ(fixture.loadGenerator.counters().answersByOutcome[0], 90U) << fixture.logText;
  for (const auto& engine : engines) EXPECT_EQ(engine->duplicateExecutionCount(), 0U);
}

// An address goes up and down faster than its health record expires: no request is lost or delayed by more
// than one race delay.
TEST(AddressFailover, LosesNoRequestWhenAddressFlaps) {
  AddressFixture fixture;
  FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
  fixture.updateEndpoint({fixture.unixAddress, fixture.ipv4Address});
  for (int index = 0; index < 30; ++index) {
    std::optional<FakeEngine> flappingEngine;
    if (index % 2 == 0) flappingEngine.emplace(fixture, fixture.memoryBudget, Address(fixture.unixAddress));
    EXPECT_LT(fixture.runRequestMs(0), 60) << index;
    EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::completed) << index << fixture.logText;
    flappingEngine.reset();
    ::unlink(fixture.unixAddress.substr(5).c_str());
    if (index % 3 == 0) engine.disconnect();
    fixture.runFor(20ms);
  }
  EXPECT_EQ(fixture.loadGenerator.counters().lost + fixture.loadGenerator.counters().duplicateAnswers, 0U);
}

TEST(AddressFailover, LogsInvalidAddressesAndServesThroughValidOneWhenListIsMixed) {
  AddressFixture fixture;
  std::ofstream(fixture.unixAddress.substr(5)) << "no socket";
  FakeEngine engine(fixture, fixture.memoryBudget, Address(fixture.ipv4Address));
  std::vector<std::string> addresses{fixture.unixAddress,
                                     "unix:relative",
                                     "host.example:80",
                                     "[::1",
                                     "",
                                     "unix:/" + std::string(200, 'x'),
                                     fixture.ipv4Address,
                                     fixture.ipv4Address};
  for (int index = 2; index < 64; ++index)
    addresses.push_back("127.0.83." + std::to_string(index) + ":18443");
  fixture.updateEndpoint(addresses);
  EXPECT_LT(fixture.runRequestMs(0), 40);
  EXPECT_EQ(fixture.lastOutcome, Reply::Outcome::completed);
  for (const char* fragment :
       {"unix:relative", "host.example:80", "'[::1'", "107 bytes at most", "48 addresses over the limit"})
    EXPECT_TRUE(fixture.hasLogged(fragment)) << fragment << fixture.logText;
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
