// Runs random schedules of faults against three controllers. The invariant checker evaluates each run from
// the events that the fakes recorded. A failing seed is printed with its last steps.
// PADDLETRACK_CROSSINGS_SEED=N runs the seed N alone, PADDLETRACK_CROSSINGS_SEEDS=COUNT runs COUNT seeds from
// there on (from 1 if no seed is given).
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <set>

#include "base/error.hpp"
#include "fakes/admin_connection.hpp"
#include "fakes/fake_fleet.hpp"
#include "fakes/invariant_checker.hpp"
#include "fakes/misbehaving_clients.hpp"
#include "fakes/tcp_fault_proxy.hpp"
#include "fakes/test_scheduler.hpp"

namespace paddletrack::fakes {
namespace {

using namespace std::chrono_literals;
using EventKind = Event::Kind;
using AbandonMode = LoadGenerator::AbandonMode;
using ConnectionFilter = FakeEngine::ConnectionFilter;

constexpr unsigned kProxiedEngine = 4;  // This engine is reached through a proxy that delays by milliseconds.
constexpr unsigned kProxyHost = 100;
constexpr std::size_t kControllers = 3;
constexpr std::size_t kEngines = 5;
constexpr std::size_t kSteps = 75;

class RandomizedSchedule {
 public:
  explicit RandomizedSchedule(std::uint64_t seed)
      : seed_(seed),
        generator_(static_cast<std::uint32_t>(seed)),
        events_(loop_),
        triggerSignal_(loop_),
        resendCall_(loop_, [this] { resendInterrupted(); }),
        tasks_(loop_, [this](const char* reason) { failureReason_ = reason; }) {
    FakeFleetOptions options;
    options.program = PADDLETRACK_PROGRAM;
    options.engines = kEngines;
    options.controllers = kControllers;
    options.customizeEndpoint = [this](FakeEndpointList::Endpoint& endpoint, unsigned engine,
                                       const std::string&) {
      if (engine == kProxiedEngine)
        endpoint.address = "127.0." + std::to_string(subnet_) + "." + std::to_string(kProxyHost) + ":18443";
    };
    for (subnet_ = options.subnet = 190; !fleet_;) {  // The first subnet that is not in use.
      try {
        fleet_.emplace(loop_, loop_.memoryBudget, options);
      } catch (const ListenError&) {
        ++options.subnet;
        subnet_ = options.subnet;
        if (subnet_ > 230) throw;
      }
    }
    engineProxy_.emplace(loop_, loop_.memoryBudget, fleet_->addressOf(kProxyHost),
                         fleet_->addressOf(kProxiedEngine + 1), seed);
    engineProxy_->forwardFaults.maxDelay = engineProxy_->reverseFaults.maxDelay = 30ms;
    endpointListProxy_.emplace(loop_, loop_.memoryBudget, fleet_->addressOf(251), fleet_->addressOf(250),
                               seed);
    loadGenerator_.emplace(loop_, loop_.memoryBudget, fleet_->controllerAddresses(), seed);
    loadGenerator_->setHeartbeatInterval(20ms);
    loadGenerator_->recordTo(events_);
    // Late answers are checked by the invariant checker, which knows how long a process waited for a core.
    loadGenerator_->setLateTolerance(4s);
    tasks_.spawn(recordCpuWaits());
    for (std::size_t index = 0; index < kEngines; ++index) {
      fleet_->engine(index).recordTo(events_, index);
      fleet_->engine(index).overrideScript = [this](Script& script, const std::string& id) {
        chooseAttemptFault(script, id);
      };
    }
    events_.onEvent = [this](const Event& event) { onEvent(event); };
  }

  // Returns false if the run could not start or did not end.
  bool run() {
    if (!loop_.runUntil([this] { return countInService() == kControllers; }, 20s))
      return fail("not all controllers started serving within 20 s");
    for (std::size_t index = 0; index < kControllers; ++index) recordResourceUsage(index);
    startedAt_ = loop_.now();
    loadGenerator_->start(120, {{"look-up", "acme", 4, 3ms, 20ms, 1000ms},
                                {"report", "acme", 2, 20ms, 120ms, 1500ms, "pages=3"},
                                {"order", "acme", 2, 10ms, 60ms, 1500ms, "pages=2"},
                                {"load", "acme", 3, 10ms, 60ms, 1500ms}});
    tasks_.spawn(runSchedule());
    if (!loop_.runUntil([this] { return scheduleFinished_; }, 40s))
      return fail("the schedule did not end within 40 s");
    loadGenerator_->stop();
    faultsDisabled_ = true;
    if (!loop_.runUntil([this] { return stoppingControllers_ == 0 && countInService() == kControllers; },
                        20s))
      return fail("not all controllers returned to service within 20 s");
    loop_.runUntil([this] { return loadGenerator_->counters().open == 0; }, 5s);
    waitForResourceRelease();
    for (std::size_t index = 0; index < kControllers; ++index) stopController(index, SIGTERM, false);
    if (!loop_.runUntil([this] { return stoppingControllers_ == 0; }, 10s))
      return fail("not all controllers exited within 10 s");
    events_.onEvent = nullptr;
    return failureReason_.empty();
  }
  InvariantReport verdict() const { return checkInvariants(events_.events(), {}); }
  const std::string& failureReason() const { return failureReason_; }

  // The last steps, and the events around the first violations.
  std::string describeFailure(const InvariantReport& verdict) const {
    std::string text;
    for (const std::string& step : steps_) text += "  step " + step + "\n";
    for (std::size_t index = 0; index < std::min<std::size_t>(verdict.violations.size(), 3); ++index) {
      const Violation& violation = verdict.violations[index];
      text += std::string("  ") + nameOf(violation.invariant) + ": " + violation.description + "\n";
      if (violation.eventIndex >= events_.events().size()) continue;
      const Event& violatingEvent = events_.events()[violation.eventIndex];
      for (const Event& event : events_.events()) {
        const bool isSameRequest =
            !violatingEvent.reference.empty() && event.reference == violatingEvent.reference;
        const bool isNearby = event.reference.empty() && event.kind != EventKind::cpuWaitMeasured &&
                              event.kind != EventKind::idleMeasured &&
                              event.observedAt > violatingEvent.observedAt - 3s &&
                              event.observedAt < violatingEvent.observedAt + 100ms;
        if (isSameRequest || isNearby) text += "    " + formatEvent(event, startedAt_) + "\n";
      }
    }
    return text;
  }
  std::string readLogTails() const {
    std::string text;
    for (std::size_t index = 0; index < kControllers; ++index) {
      std::ifstream file(fleet_->logPath(index));
      std::deque<std::string> lastLines;
      for (std::string line; std::getline(file, line);) {
        lastLines.push_back("  log " + std::to_string(index) + ": " + line.substr(0, 220) + "\n");
        if (lastLines.size() > 25) lastLines.pop_front();
      }
      for (const std::string& line : lastLines) text += line;
    }
    return text;
  }

 private:
  bool fail(const char* reason) {
    failureReason_ = reason;
    return false;
  }
  std::uint32_t drawBelow(std::size_t limit) { return static_cast<std::uint32_t>(generator_() % limit); }
  std::size_t countInService() const {
    std::size_t count = 0;
    for (std::size_t index = 0; index < kControllers; ++index)
      count += loadGenerator_->isInService(index) && !controllerDown_[index];
    return count;
  }

  // Draws the fault of one attempt from the seed and the request alone, so that it does not depend on timing.
  void chooseAttemptFault(Script& script, const std::string& id) {
    std::minstd_rand generator(
        static_cast<std::uint32_t>(std::hash<std::string>()(id) + seed_ + ++attemptCounts_[id]));
    generator.discard(3);
    if (faultsDisabled_) return;
    switch (generator() % 30) {
      case 0:
        script.status = "500";
        return;
      case 1:
        script.status = "503";
        return;
      case 2:
        script.status = "504";
        return;
      case 3:
        script.duration += milliseconds(generator() % 1800);
        return;  // Late, sometimes past its timeout.
      case 4:
        script.firstPageOnly = true;
        return;  // Its further pages are lost.
      case 5:
        script.fault = FakeEngineFault::duplicateAnswer;
        return;
      case 6:
        script.fault = generator() % 4 ? FakeEngineFault::duplicateAnswer : FakeEngineFault::partialAnswer;
        return;
      case 7:
        script.fault = generator() % 2 ? FakeEngineFault::resetOnAsk : FakeEngineFault::none;
        return;
      case 8:
        script.duration = 60s;
        return;  // Never answered.
      default:
        return;
    }
  }

  void onEvent(const Event& event) {
    if (event.kind == EventKind::requestLost && event.detail == "closed") {
      interruptedRequests_.push_back(event.reference);
      resendCall_.runSoon();
    }
    if (!triggerArmed_ || event.kind != triggerKind_) return;
    --triggersLeft_;
    if (triggersLeft_ > 0) return;
    triggerArmed_ = false;
    triggerEvent_ = event;
    triggerSignal_.set();
  }

  transport::Task<> runSchedule() {
    static constexpr std::array kTriggerKinds{EventKind::requestSent,      EventKind::requestSent,
                                              EventKind::attemptReceived,  EventKind::attemptReceived,
                                              EventKind::attemptReceived,  EventKind::attemptFinished,
                                              EventKind::attemptFinished,  EventKind::requestAnswered,
                                              EventKind::attemptCancelled, EventKind::clientGone};
    for (std::size_t step = 0; step < kSteps; ++step) {
      triggerKind_ = kTriggerKinds[drawBelow(kTriggerKinds.size())];
      triggersLeft_ = 1 + drawBelow(6);
      const std::uint32_t loopTurns = drawBelow(4);
      triggerArmed_ = true;
      triggerEvent_.reset();
      (void)co_await triggerSignal_.wait(loop_.now() + 120ms);  // A trigger that does not occur is skipped.
      triggerArmed_ = false;
      for (std::uint32_t turn = 0; turn < loopTurns; ++turn) co_await loop_.yield();
      performRandomAction();
    }
    restoreEndpointList();
    for (std::size_t index = 0; index < kEngines; ++index) returnEngine(index);
    scheduleFinished_ = true;
  }

  // Sends a request again, once, if its connection was closed just after it was sent. Clients may do so.
  void resendInterrupted() {
    for (const std::string& reference : std::exchange(interruptedRequests_, {})) {
      const std::size_t controller = pickControllerInService();
      for (std::size_t requestIndex = loadGenerator_->requests().size();
           controller < kControllers && requestIndex-- > 0;) {
        const LoadGenerator::Request& request = loadGenerator_->requests()[requestIndex];
        if (request.reference != reference || request.endedAt - request.sentAt > 50ms ||
            resentRequests_.count(reference) > 0)
          continue;
        resentRequests_.insert(
            loadGenerator_->requests()[loadGenerator_->resend(requestIndex, controller)].reference);
        break;
      }
    }
  }
  // Returns kControllers if none is in service.
  std::size_t pickControllerInService() {
    const std::size_t first = drawBelow(kControllers);
    for (std::size_t index = 0; index < kControllers; ++index)
      if (loadGenerator_->isInService((first + index) % kControllers)) return (first + index) % kControllers;
    return kControllers;
  }

  void recordStep(const std::string& description) {
    const auto elapsedMs = std::chrono::duration_cast<milliseconds>(loop_.now() - startedAt_).count();
    std::string trigger =
        triggerEvent_ ? std::string(" on ") + nameOf(triggerEvent_->kind) + " " + triggerEvent_->reference
                      : std::string(" after the trigger timeout");
    steps_.push_back(std::to_string(elapsedMs) + " ms: " + description + trigger);
    if (steps_.size() > 40) steps_.pop_front();
  }

  // The request of the trigger or another open one.
  std::optional<std::size_t> pickOpenRequest() {
    std::vector<std::size_t> openRequests;
    for (std::size_t index = loadGenerator_->requests().size(); index-- > 0 && openRequests.size() < 40;) {
      const LoadGenerator::Request& request = loadGenerator_->requests()[index];
      if (request.endedAt != transport::TimePoint{} || request.clientGone) continue;
      if (triggerEvent_ && request.reference == triggerEvent_->reference && drawBelow(3) > 0) return index;
      openRequests.push_back(index);
    }
    if (openRequests.empty()) return std::nullopt;
    return openRequests[drawBelow(openRequests.size())];
  }

  void performRandomAction() {
    const std::uint32_t action = drawBelow(100);
    if (action < 34) {
      static constexpr std::array kNames{"revoke", "close", "half-close", "reset"};
      const std::uint32_t departure = action < 13 ? 0 : action < 20 ? 1 : action < 27 ? 2 : 3;
      const auto requestIndex = pickOpenRequest();
      if (requestIndex && loadGenerator_->abandonRequest(*requestIndex, static_cast<AbandonMode>(departure)))
        recordStep(std::string(kNames[departure]) + " " +
                   loadGenerator_->requests()[*requestIndex].reference);
      return;
    }
    const std::size_t engine = triggerEvent_ && triggerEvent_->attempt > 0 && drawBelow(2)
                                   ? triggerEvent_->engine
                                   : drawBelow(kEngines);
    const std::size_t controller = triggerEvent_ && !triggerEvent_->reference.empty() && drawBelow(2)
                                       ? triggerEvent_->controller
                                       : drawBelow(kControllers);
    const std::string engineText = " at engine " + std::to_string(engine),
                      controllerText = " controller " + std::to_string(controller);
    if (action < 42) {
      recordStep("connection of the attempt is reset" + engineText);
      return fleet_->engine(engine).disconnect(ConnectionFilter::withAttempt, drawBelow(2) == 0,
                                               triggerEvent_ ? triggerEvent_->attempt : 0);
    }
    if (action < 44) {
      recordStep("the proxied connections to engine 4 are reset");
      return engineProxy_->resetAll();
    }
    if (action < 48) {
      recordStep("idle connections are closed" + engineText);
      return fleet_->engine(engine).disconnect(ConnectionFilter::idle, false);
    }
    if (action < 52) return restartEngine(engine, engineText);
    if (action < 57) return drainEngine(engine, "leaving", engineText);
    if (action < 60) return drainEngine(engine, "left", engineText);
    if (action < 66) return returnEngine(engine);
    if (action < 72) return disruptEndpointList();
    if (action < 80) return reloadController(controller, drawBelow(3), controllerText);
    if (action < 87) return terminateOneController(controller, SIGTERM, controllerText);
    if (action < 91) return terminateOneController(controller, SIGKILL, controllerText);
    if (action < 97) {
      recordStep("twelve concurrent requests" + controllerText);
      for (int index = 0; loadGenerator_->isInService(controller) && index < 12; ++index)
        loadGenerator_->send(drawBelow(4), controller);
      return;
    }
    recordStep("misbehaving clients" + controllerText);
    misbehavingClients_.emplace(loop_, loop_.memoryBudget, fleet_->controllerAddresses()[controller], 2);
  }

  void publishEngineState(std::size_t engine, const std::string& id, const std::string& state,
                          std::int64_t startedMs = 0) {
    fleet_->endpointList().publish(
        {{id, fleet_->endpoints()[engine].address, state, "hall", "std-8", startedMs}});
    if (state == engineStates_[engine] && state != "active") return;
    engineStates_[engine] = state;
    events_.append({.kind = EventKind::endpointUpdated, .engine = engine, .detail = state});
  }
  std::string engineId(std::size_t engine) const {
    return fleet_->endpoints()[engine].id +
           (engineStarts_[engine] ? "-" + std::to_string(engineStarts_[engine]) : "");
  }
  std::size_t countActiveEngines() const {
    return static_cast<std::size_t>(std::count(engineStates_.begin(), engineStates_.end(), "active"));
  }
  std::int64_t unixMs() const {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  void republishEngine(std::size_t engine) {
    const std::string previousId = engineId(engine);
    ++engineStarts_[engine];
    fleet_->endpointList().publish(
        {{previousId, fleet_->endpoints()[engine].address, "left"},
         {engineId(engine), fleet_->endpoints()[engine].address, "active", "hall", "std-8", unixMs()}});
    engineStates_[engine] = "active";
    events_.append({.kind = EventKind::endpointUpdated, .engine = engine, .detail = "active"});
  }
  void restartEngine(std::size_t engine, const std::string& engineText) {
    if (engineStates_[engine] != "active") return;
    recordStep("restart with an unchanged address" + engineText);
    fleet_->engine(engine).disconnect(ConnectionFilter::all, true);
    republishEngine(engine);
  }
  void drainEngine(std::size_t engine, const std::string& state, const std::string& engineText) {
    if (countActiveEngines() <= 2 || engineStates_[engine] != "active") return;
    recordStep(state + engineText);
    publishEngineState(engine, engineId(engine), state);
    if (state == "leaving") return;
    fleet_->engine(engine).closeAddress(listenerIndices_[engine]);
    listenerClosed_[engine] = true;
  }
  void returnEngine(std::size_t engine) {
    if (engineStates_[engine] == "active") return;
    recordStep("restart with an unchanged address: engine " + std::to_string(engine));
    if (listenerClosed_[engine])
      listenerIndices_[engine] =
          fleet_->engine(engine).addAddress(fleet_->addressOf(static_cast<unsigned>(engine + 1)));
    listenerClosed_[engine] = false;
    republishEngine(engine);
  }
  void disruptEndpointList() {
    if (endpointListDown_) return restoreEndpointList();
    const std::uint32_t disruption = drawBelow(3);
    recordStep(disruption == 0   ? "the endpoint list stops answering"
               : disruption == 1 ? "the endpoint list is closed"
                                 : "the proxied connections to the endpoint list are reset");
    if (disruption == 2) return endpointListProxy_->resetAll();
    endpointListDown_ = true;
    disruption == 0 ? fleet_->endpointList().setSilent(true) : fleet_->endpointList().close();
    events_.append({.kind = EventKind::endpointListLost});
  }
  void restoreEndpointList() {
    if (!std::exchange(endpointListDown_, false)) return;
    recordStep("the endpoint list is restored");
    fleet_->endpointList().setSilent(false);
    if (!fleet_->endpointList().isOpen()) fleet_->endpointList().open();
    events_.append({.kind = EventKind::endpointListRestored});
  }

  void reloadController(std::size_t controller, std::uint32_t variant, const std::string& controllerText) {
    if (controllerDown_[controller]) return;  // Its next start writes its configuration.
    recordStep((variant == 0   ? "SIGHUP"
                : variant == 1 ? "SIGHUP, endpoint list at another address"
                               : "SIGHUP, truncated configuration") +
               controllerText);
    if (variant == 2) {
      std::error_code ignoredError;
      std::filesystem::resize_file(fleet_->configPath(controller),
                                   std::filesystem::file_size(fleet_->configPath(controller)) / 2,
                                   ignoredError);
      fleet_->controller(controller).sendSignal(SIGHUP);
    } else {
      fleet_->changeEndpointList(controller, fleet_->addressText(variant == 0 ? 250 : 251));
    }
    events_.append({.kind = EventKind::signalSent, .controller = controller, .value = SIGHUP});
  }
  void terminateOneController(std::size_t controller, int signalNumber, const std::string& controllerText) {
    if (stoppingControllers_ > 0 || countInService() < kControllers)
      return;  // One at a time, as in a rollout.
    recordStep((signalNumber == SIGTERM ? "SIGTERM" : "SIGKILL") + controllerText);
    stopController(controller, signalNumber, true);
  }
  void stopController(std::size_t controller, int signalNumber, bool restart) {
    ++stoppingControllers_;
    controllerDown_[controller] = true;
    events_.append({.kind = EventKind::signalSent, .controller = controller, .value = signalNumber});
    fleet_->controller(controller).sendSignal(signalNumber);
    tasks_.spawn(awaitExit(controller, restart));
    if (restart && signalNumber == SIGTERM) tasks_.spawn(sendDuringShutdown(controller));
  }
  // Until the next heartbeat clients keep sending to the controller, also on new connections.
  transport::Task<> sendDuringShutdown(std::size_t controller) {
    const transport::TimePoint deadline = loop_.now() + 200ms + milliseconds(drawBelow(200));
    while (loop_.now() < deadline && !fleet_->controller(controller).exitCode()) {
      loadGenerator_->send(drawBelow(4), controller);
      co_await loop_.sleepUntil(loop_.now() + milliseconds(5 + drawBelow(25)));
    }
  }
  transport::Task<> awaitExit(std::size_t controller, bool restart) {
    while (!fleet_->controller(controller).exitCode()) co_await loop_.sleepUntil(loop_.now() + 1ms);
    events_.append({.kind = EventKind::processExited,
                    .controller = controller,
                    .value = *fleet_->controller(controller).exitCode()});
    while (restart && loadGenerator_->isInService(controller)) co_await loop_.yield();
    if (restart) {
      fleet_->startController(controller);
      while (!loadGenerator_->isInService(controller)) co_await loop_.sleepUntil(loop_.now() + 1ms);
      events_.append({.kind = EventKind::serviceStarted, .controller = controller});
      controllerDown_[controller] = false;
    }
    --stoppingControllers_;
  }

  // Records how long each process waited for a processor core, according to the kernel. The time that it ran
  // is not excused.
  transport::Task<> recordCpuWaits() {
    std::map<std::pair<std::size_t, pid_t>, std::int64_t> previousWaits;
    for (;;) {
      for (std::size_t index = 0; index <= kControllers; ++index) {
        const pid_t process = index < kControllers ? fleet_->controller(index).pid() : ::getpid();
        std::ifstream file("/proc/" + std::to_string(process) + "/schedstat");
        std::int64_t ranNs = 0, waitedNs = 0;
        file >> ranNs >> waitedNs;
        auto [previous, isNew] = previousWaits.emplace(std::pair(index, process), waitedNs);
        const std::int64_t waitedUs = isNew ? 0 : (waitedNs - previous->second) / 1000;
        if (waitedUs < 500) continue;
        previous->second = waitedNs;
        events_.append({.kind = EventKind::cpuWaitMeasured,
                        .controller = index < kControllers ? index : Event::kTestProcess,
                        .value = waitedUs});
      }
      co_await loop_.sleepUntil(loop_.now() + 5ms);
    }
  }

  struct ResourceUsage {
    std::int64_t descriptors = 0, memory = 0, openRequests = -1;
  };
  ResourceUsage readResourceUsage(std::size_t controller) {
    ResourceUsage usage;
    AdminConnection adminClient(loop_, loop_.memoryBudget, fleet_->adminSocketPath(controller));
    adminClient.send("{\"v\":1,\"id\":1,\"do\":\"status\"}\n");
    loop_.runUntil([&] { return !adminClient.receivedLines.empty() || adminClient.isClosed; }, 2s);
    const std::string openPrefix = "\"open\":{\"jobs\":";
    if (!adminClient.receivedLines.empty())
      if (const auto position = adminClient.receivedLines.front().find(openPrefix);
          position != std::string::npos)
        usage.openRequests =
            std::atoll(adminClient.receivedLines.front().c_str() + position + openPrefix.size());
    const std::string folder = "/proc/" + std::to_string(fleet_->controller(controller).pid());
    for (const auto& item : std::filesystem::directory_iterator(folder + "/fd"))
      usage.descriptors += !item.path().empty();
    std::ifstream status(folder + "/status");
    for (std::string statusLine; std::getline(status, statusLine);)
      if (statusLine.starts_with("VmRSS:")) usage.memory = std::atoll(statusLine.c_str() + 6);
    return usage;
  }
  void recordResourceUsage(std::size_t controller) {
    const ResourceUsage usage = readResourceUsage(controller);
    for (const auto& [name, amount] :
         {std::pair("jobs", usage.openRequests), std::pair("descriptors", usage.descriptors),
          std::pair("memory", usage.memory)})
      events_.append(
          {.kind = EventKind::idleMeasured, .controller = controller, .detail = name, .value = amount});
  }
  // Waits until the controllers have released the resources of all requests, which have ended by now.
  void waitForResourceRelease() {
    misbehavingClients_.reset();
    loadGenerator_->pauseClients();
    for (std::size_t index = 0; index < kControllers; ++index) {
      std::int64_t initialDescriptors = 0;
      for (const Event& event : events_.events())
        if (event.kind == EventKind::idleMeasured && event.controller == index &&
            event.detail == "descriptors")
          initialDescriptors = event.value;
      for (const transport::TimePoint deadline = loop_.now() + 4s; loop_.now() < deadline;) {
        for (std::size_t engine = 0; engine < kEngines; ++engine)
          fleet_->engine(engine).disconnect(ConnectionFilter::idle, false);
        const ResourceUsage usage = readResourceUsage(index);
        if (usage.openRequests == 0 && usage.descriptors <= initialDescriptors) break;
      }
      recordResourceUsage(index);
    }
  }

  const std::uint64_t seed_;
  TestScheduler loop_;
  std::mt19937 generator_;
  EventLog events_;
  std::optional<FakeFleet> fleet_;
  int subnet_ = 0;
  std::optional<TcpFaultProxy> engineProxy_;
  std::optional<TcpFaultProxy> endpointListProxy_;  // The same list at another address.
  std::optional<LoadGenerator> loadGenerator_;
  std::optional<MisbehavingClients> misbehavingClients_;
  std::map<std::string, unsigned> attemptCounts_;
  std::deque<std::string> steps_, interruptedRequests_;
  std::set<std::string> resentRequests_;
  std::array<std::string, kEngines> engineStates_{"active", "active", "active", "active", "active"};
  std::array<unsigned, kEngines> engineStarts_{};
  std::array<std::size_t, kEngines> listenerIndices_{};
  std::array<bool, kEngines> listenerClosed_{};
  std::array<bool, kControllers> controllerDown_{};
  std::size_t stoppingControllers_ = 0;
  bool triggerArmed_ = false, scheduleFinished_ = false, faultsDisabled_ = false, endpointListDown_ = false;
  EventKind triggerKind_{};
  std::uint32_t triggersLeft_ = 0;
  std::optional<Event> triggerEvent_;
  transport::Signal triggerSignal_;
  transport::ScheduledCall resendCall_;
  transport::TimePoint startedAt_{};
  std::string failureReason_;
  transport::TaskGroup tasks_;
};

std::uint64_t readEnvironmentNumber(const char* name, std::uint64_t defaultValue) {
  const char* text = std::getenv(name);
  return text && *text ? std::strtoull(text, nullptr, 10) : defaultValue;
}

TEST(RandomizedFaults, BreakNoInvariantWhenSchedulesAreSeeded) {
  const bool hasSingleSeed = std::getenv("PADDLETRACK_CROSSINGS_SEED") != nullptr;
  const std::uint64_t firstSeed = readEnvironmentNumber("PADDLETRACK_CROSSINGS_SEED", 1);
  const std::uint64_t count = readEnvironmentNumber("PADDLETRACK_CROSSINGS_SEEDS", hasSingleSeed ? 1 : 3);
  for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
    const auto startedAt = std::chrono::steady_clock::now();
    RandomizedSchedule schedule(seed);
    const bool finished = schedule.run();
    const InvariantReport verdict = schedule.verdict();
    const auto elapsedMs =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - startedAt).count();
    std::cout << "seed " << seed << ", " << elapsedMs << " ms: " << verdict.summary() << std::endl;
    EXPECT_TRUE(finished && verdict.isClean())
        << "PADDLETRACK_CROSSINGS_SEED=" << seed << " " << schedule.failureReason() << verdict.summary()
        << "\n"
        << schedule.describeFailure(verdict) << schedule.readLogTails();
  }
}

}  // namespace
}  // namespace paddletrack::fakes
