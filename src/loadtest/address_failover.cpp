// Engines with several addresses, some of them faulty: whether any attempt is executed twice, and how long it
// takes to reach the first working address.
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "fakes/unresponsive_listener.hpp"
#include "loadtest/experiments.hpp"
#include "protocol/controller_config.hpp"
#include "routing/client_listener.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::loadtest {
namespace {

using fakes::FakeEngine;
using fakes::LoadGenerator;
using fakes::Reply;
using transport::Address;
using EngineFault = FakeEngine::Fault;

// As in makeSettings(). A connect race starts the next address after a fifth of it.
constexpr auto kConnectTimeout = 250ms;
constexpr auto kLatencyMargin = 5ms;

enum class AddressFault {
  refusesConnection,
  silent,
  acceptsButStalls,
  resetsOnConnect,
  resetsOnRequest,
  partialResponse
};
constexpr std::array<std::pair<AddressFault, const char*>, 6> kAddressFaults{
    {{AddressFault::refusesConnection, "refused"},
     {AddressFault::silent, "no answer"},
     {AddressFault::acceptsButStalls, "accepts, stalls"},
     {AddressFault::resetsOnConnect, "reset on accept"},
     {AddressFault::resetsOnRequest, "reset on request"},
     {AddressFault::partialResponse, "partial answer"}}};

// A controller within this process, and its clients.
struct InProcessController : TestScheduler {
  explicit InProcessController(const std::string& configLines)
      : config(protocol::decodeControllerConfig(protocol::flattenLines(configLines))),
        logger([](const LogRecord&) {}),
        router(*this, memoryBudget, config, {4000, {4, 400, config.connectTimeout, config.idleTimeout}}, 7,
               logger),
        clientListener(*this, memoryBudget, Address("127.0.73.9:18443"), {200, 1 << 20, 1 << 20}, router,
                       logger),
        loadGenerator(*this, memoryBudget, {Address("127.0.73.9:18443")}, 3) {}
  const protocol::ControllerConfig config;
  const Logger logger;
  routing::RequestRouter router;
  routing::ClientListener clientListener;
  LoadGenerator loadGenerator;
};

std::string makeSettings() {
  std::string lines =
      "balancers=1\nzones=a\nmachineTypes=m\nfamilyInfo.kindCores=512\nprofiles.count=3\nlimits.mostTries=3\n"
      "limits.cancelling=true\nlimits.retryAfter=true\nlimits.maxRetryAfterUs=900000\nlimits.streamsPerConn="
      "4\n"
      "limits.dialTimeoutUs=250000\nlimits.idleCloseUs=9000000\ntickUs=5000\n";
  const char* classNames[] = {"again", "keyed", "once"};
  const char* idempotencyNames[] = {"retryable", "dedup", "fragile"};
  for (int index = 0; index < 3; ++index) {
    const std::string prefix = "profiles." + std::to_string(index) + ".";
    lines += prefix + "name=" + classNames[index] + "\n" + prefix + "idempotency=" + idempotencyNames[index] +
             "\n" + prefix + "group=all\n" + prefix + "windowUs=60000000\n" + prefix + "onTimeUs=800000\n" +
             prefix + "giveUpUs=2000000\n";
  }
  return lines;
}

// The faulty address is the first in the list and the preferred one. Its family is one of three; the working
// address has another.
struct FailoverCase {
  AddressFault fault;
  int family;
  std::size_t requestClass;
};

struct FailoverTotals {
  std::uint64_t attempts = 0;
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
  std::uint64_t nonIdempotentRepeats = 0;
  std::uint64_t idempotentByKeyRepeats = 0;
  std::vector<double> firstLatenciesMs;
  std::vector<double> laterLatenciesMs;
};

bool runFailoverCase(const FailoverCase& failoverCase, std::uint64_t requestCount, FailoverTotals& totals) {
  InProcessController controller(makeSettings());
  const fakes::TemporaryDirectory folder;
  const std::array<std::string, 3> addresses{"unix:" + folder.path() + "/e", "[::1]:18473",
                                             "127.0.73.1:18443"};
  const std::string faultyAddress = addresses[static_cast<std::size_t>(failoverCase.family)],
                    workingAddress = addresses[(static_cast<std::size_t>(failoverCase.family) + 1) % 3];
  FakeEngine engine(controller, controller.memoryBudget, Address(workingAddress));
  std::optional<fakes::UnresponsiveListener> silentListener;
  if (failoverCase.fault == AddressFault::silent && failoverCase.family != 0) {
    silentListener.emplace(Address(faultyAddress));
  } else if (failoverCase.fault != AddressFault::refusesConnection &&
             failoverCase.fault != AddressFault::silent) {
    const std::size_t listenerIndex = engine.addAddress(Address(faultyAddress));
    engine.setFault(listenerIndex,
                    failoverCase.fault == AddressFault::acceptsButStalls  ? EngineFault::unresponsive
                    : failoverCase.fault == AddressFault::resetsOnConnect ? EngineFault::resetOnAccept
                    : failoverCase.fault == AddressFault::resetsOnRequest ? EngineFault::resetOnAsk
                                                                          : EngineFault::partialAnswer);
  }
  std::vector<addresses::AddressFamily> familyPreference{
      addresses::AddressFamily::unixSocket, addresses::AddressFamily::ipv6, addresses::AddressFamily::ipv4};
  std::rotate(familyPreference.begin(), familyPreference.begin() + failoverCase.family,
              familyPreference.end());
  controller.router.setFamilyPreference(familyPreference);
  protocol::EndpointEvent endpointEvent;
  endpointEvent.isSnapshot = true;
  protocol::EndpointEntry endpointEntry{"s-1", faultyAddress, "a", "m", 0, EndpointState::ready, 0};
  endpointEntry.addresses = {faultyAddress, workingAddress};
  endpointEvent.entries.push_back(endpointEntry);
  controller.router.onEndpointUpdate(endpointEvent);
  const char* classNames[] = {"again", "keyed", "once"};
  controller.loadGenerator.start(0, {{classNames[failoverCase.requestClass], "", 1, 1ms, 1ms, 2000ms}});
  // The first request alone measures the time to reach the working address.
  controller.loadGenerator.send(0, 0);
  controller.runUntil([&] { return controller.loadGenerator.counters().open == 0; }, 3s);
  if (controller.loadGenerator.requests()[0].outcome == Reply::Outcome::completed)
    totals.firstLatenciesMs.push_back(toMilliseconds(controller.loadGenerator.requests()[0].endedAt -
                                                     controller.loadGenerator.requests()[0].sentAt) -
                                      1);
  for (std::uint64_t sentCount = 1; sentCount < requestCount;) {
    for (int index = 0; index < 40 && sentCount < requestCount; ++index, ++sentCount)
      controller.loadGenerator.send(0, 0);
    controller.runUntil([&] { return controller.loadGenerator.counters().open < 10; }, 3s);
    if (sentCount % 400 == 1) engine.disconnect();  // Makes the controller connect again.
  }
  controller.runUntil([&] { return controller.loadGenerator.counters().open == 0; }, 4s);
  const auto& routerTotals = controller.router.totals();
  for (const std::uint64_t attemptOutcome : routerTotals.attemptOutcomes) totals.attempts += attemptOutcome;
  // Idempotent requests may be executed again, also those by key, whose engines recognize the repeat by the
  // key. Others may not.
  if (failoverCase.requestClass == 1) totals.idempotentByKeyRepeats += engine.duplicateExecutionCount();
  if (failoverCase.requestClass == 2) totals.nonIdempotentRepeats += engine.duplicateExecutionCount();
  for (std::size_t index = 0; index < controller.loadGenerator.requests().size(); ++index) {
    const LoadGenerator::Request& request = controller.loadGenerator.requests()[index];
    ++totals.requests;
    if (request.outcome != Reply::Outcome::completed || request.lost) continue;
    ++totals.completed;
    if (index > 0) totals.laterLatenciesMs.push_back(toMilliseconds(request.endedAt - request.sentAt) - 1);
  }
  const LoadGenerator::Counters& statistics = controller.loadGenerator.counters();
  return statistics.lost == 0 && statistics.duplicateAnswers == 0 && statistics.unsolicitedAnswers == 0 &&
         controller.loadGenerator.counters().open == 0;
}

}  // namespace

int measureAddressFailover(unsigned requestsPerCase) {
  bool passed = true;
  std::printf(
      "A fake engine with two addresses, of which the preferred one is faulty; connect timeout %lld ms,\n"
      "race stagger %lld ms. Latency in ms beyond the execution time of 1 ms: of the first request and of\n"
      "all later ones that completed. Requests executed again: not idempotent (n.i. rerun) and idempotent\n"
      "by key (key rerun)\n\n",
      static_cast<long long>(kConnectTimeout.count()), static_cast<long long>(kConnectTimeout.count() / 5));
  std::printf("%-16s %8s %10s %10s %10s %10s %8s %10s %10s\n", "fault", "requests", "first p50", "first p99",
              "later p50", "later p99", "complete", "n.i. rerun", "key rerun");
  std::uint64_t attempts = 0, nonIdempotentRepeats = 0;
  for (const auto& [fault, name] : kAddressFaults) {
    FailoverTotals totals;
    for (int family = 0; family < 3; ++family)
      for (std::size_t requestClass = 0; requestClass < 3; ++requestClass)
        passed = runFailoverCase({fault, family, requestClass}, requestsPerCase, totals) && passed;
    // Once an attempt was sent completely to a faulty address, the retry is up to the admission module and
    // the latency has no limit here.
    const double maxFirstLatencyMs = fault == AddressFault::refusesConnection ? toMilliseconds(kLatencyMargin)
                                     : fault == AddressFault::silent
                                         ? toMilliseconds(kConnectTimeout / 5 + kLatencyMargin)
                                         : 1e9;
    const bool withinLimit =
        quantile(totals.firstLatenciesMs, 0.99) < maxFirstLatencyMs && totals.nonIdempotentRepeats == 0;
    passed = passed && withinLimit;
    attempts += totals.attempts;
    nonIdempotentRepeats += totals.nonIdempotentRepeats;
    std::printf("%-16s %8llu %10.1f %10.1f %10.1f %10.1f %7.2f%% %10llu %10llu%s\n", name,
                static_cast<unsigned long long>(totals.requests), quantile(totals.firstLatenciesMs, 0.5),
                quantile(totals.firstLatenciesMs, 0.99), quantile(totals.laterLatenciesMs, 0.5),
                quantile(totals.laterLatenciesMs, 0.99),
                100 * static_cast<double>(totals.completed) / static_cast<double>(totals.requests),
                static_cast<unsigned long long>(totals.nonIdempotentRepeats),
                static_cast<unsigned long long>(totals.idempotentByKeyRepeats), withinLimit ? "" : " FAILED");
    std::fflush(stdout);
  }
  std::printf("\n%llu attempts, requests that are not idempotent executed twice: %llu\n",
              static_cast<unsigned long long>(attempts),
              static_cast<unsigned long long>(nonIdempotentRepeats));
  return passed && nonIdempotentRepeats == 0 ? 0 : 1;
}

// A large fleet, with one working address for each engine; with that address faulty at a third of the
// engines; and with three addresses for each engine, a third of them faulty, among them the preferred one at
// a third of the engines.
int measureFleet(const std::string& controllerProgram, const std::string& baselineProgram,
                 unsigned engineCount) {
  struct Variant {
    const char* name;
    const std::string& program;
    // 0: one working address; 1: one, a third of them refuse; 2: three, a third refuse; 3: three, a third are
    // silent.
    int addressLayout;
  };
  std::vector<Variant> variants;
  if (!baselineProgram.empty()) {
    variants.push_back({"baseline, one good", baselineProgram, 0});
    variants.push_back({"baseline, 1/3 refuse", baselineProgram, 1});
  }
  variants.push_back({"one good address", controllerProgram, 0});
  variants.push_back({"three, 1/3 refuse", controllerProgram, 2});
  variants.push_back({"three, 1/3 silent", controllerProgram, 3});
  const std::string silentAddress = "[::1]:18499";
  const fakes::UnresponsiveListener silentListener{Address(silentAddress)};
  std::printf("%u engines, 400 requests per second for 12 s\n\n", engineCount);
  std::printf("%-20s %8s %9s %9s %9s %9s %8s %8s\n", "", "requests", "in time", "p50 ms", "p99 ms",
              "connect/s", "max fds", "CPU %");
  for (const Variant& variant : variants) {
    TestScheduler loop;
    fakes::FakeFleetOptions options;
    options.program = variant.program;
    options.subnet = 74;
    options.hasAdminSockets = false;
    options.engines = engineCount;
    options.maxSockets = 4096;
    const fakes::TemporaryDirectory folder;
    const auto localAddress = [&](unsigned engineIndex) {
      return folder.path() + "/e" + std::to_string(engineIndex);
    };
    options.customizeEndpoint = [&](fakes::FakeEndpointList::Endpoint& endpoint, unsigned engineIndex,
                                    const std::string&) {
      const std::string refusedAddress = "127.0.75." + std::to_string(1 + engineIndex % 200) + ":" +
                                         std::to_string(19000 + engineIndex / 200);
      const bool isEveryThird = engineIndex % 3 == 0;
      if (variant.addressLayout == 1 && isEveryThird) endpoint.address = refusedAddress;
      if (variant.addressLayout < 2) return;
      endpoint.addresses = {"unix:" + (isEveryThird ? folder.path() + "/none" : localAddress(engineIndex)),
                            engineIndex % 3 == 1 ? "[::1]:1" : refusedAddress, endpoint.address};
      if (isEveryThird) endpoint.addresses[1] = endpoint.address;
      if (isEveryThird && variant.addressLayout == 3)
        endpoint.addresses = {silentAddress, endpoint.address, refusedAddress};
    };
    fakes::FakeFleet fleet(loop, loop.memoryBudget, options);
    for (unsigned engineIndex = 0; variant.addressLayout >= 2 && engineIndex < engineCount; ++engineIndex)
      if (engineIndex % 3 != 0)
        fleet.engine(engineIndex).addAddress(Address("unix:" + localAddress(engineIndex)));
    LoadGenerator loadGenerator(loop, loop.memoryBudget, fleet.controllerAddresses(), 4);
    if (!loop.runUntil([&] { return loadGenerator.isInService(0); }, 10s))
      throw std::runtime_error("the controller did not start serving within 10 s");
    const std::string processPath = "/proc/" + std::to_string(fleet.controller(0).pid());
    loadGenerator.start(400, {fakes::FakeFleet::lookUpProfile(9), {"report", "acme", 1, 200ms, 1000ms, 20s}});
    const pid_t controllerPid = fleet.controller(0).pid();
    const double cpuBefore = readCpuSeconds(controllerPid);
    const transport::TimePoint startedAt = loop.now();
    std::size_t maxDescriptors = 0;
    while (loop.now() < startedAt + 12s) {
      loop.runFor(500ms);
      const std::filesystem::directory_iterator descriptorEntries(processPath + "/fd");
      maxDescriptors = std::max(
          maxDescriptors, static_cast<std::size_t>(std::distance(std::filesystem::begin(descriptorEntries),
                                                                 std::filesystem::end(descriptorEntries))));
    }
    const double cpuSecondsUsed = readCpuSeconds(controllerPid) - cpuBefore;
    loadGenerator.stop();
    loop.runUntil([&] { return loadGenerator.counters().open == 0; }, 22s);
    std::size_t inTimeCount = 0;
    std::vector<double> latenciesMs;
    for (const LoadGenerator::Request& request : loadGenerator.requests()) {
      if (request.outcome != Reply::Outcome::completed || request.lost) continue;
      const double latencyMs = toMilliseconds(request.endedAt - request.sentAt);
      latenciesMs.push_back(latencyMs);
      if (latencyMs < (request.profile == 0 ? 600 : 2000)) ++inTimeCount;
    }
    std::ifstream file(fleet.logPath(0));
    double connectCount = 0;  // From the last log line with counters, which covers the first ten seconds.
    for (std::string line; std::getline(file, line);)
      if (const std::size_t position = line.find(" dialled"); position != std::string::npos)
        connectCount = std::stod(line.substr(line.rfind(' ', position - 1) + 1));
    std::printf("%-20s %8zu %8.2f%% %9.1f %9.1f %9.0f %8zu %8.1f\n", variant.name,
                loadGenerator.requests().size(),
                100 * static_cast<double>(inTimeCount) /
                    static_cast<double>(std::max<std::size_t>(1, loadGenerator.requests().size())),
                quantile(latenciesMs, 0.5), quantile(latenciesMs, 0.99), connectCount / 10, maxDescriptors,
                100 * cpuSecondsUsed / 12);
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace paddletrack::loadtest
