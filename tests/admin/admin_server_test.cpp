// Drains on request, as operators use them: a controller process under load with its admin socket; clients,
// engines and the endpoint list are fakes.
#include "admin/admin_server.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "admin/admin_protocol.hpp"
#include "fakes/admin_connection.hpp"
#include "fakes/fake_fleet.hpp"
#include "fakes/misbehaving_clients.hpp"
#include "fakes/test_scheduler.hpp"
#include "fakes/unresponsive_listener.hpp"
#include "protocol/controller_config.hpp"
#include "routing/client_listener.hpp"

namespace paddletrack::fakes {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

// A controller process under load, with an admin client.
struct ControllerUnderLoad : TestScheduler {
  explicit ControllerUnderLoad(int subnet, FakeFleetOptions options = {}) {
    options.program = PADDLETRACK_PROGRAM;
    options.subnet = subnet;
    fleet.emplace(*this, memoryBudget, options);
    loadGenerator.emplace(*this, memoryBudget, fleet->controllerAddresses(), 7);
    loadGenerator->setHeartbeatInterval(20ms);
    EXPECT_TRUE(runUntil([&] { return loadGenerator->isInService(0); })) << readLog();
    if (options.hasAdminSockets) adminClient.emplace(*this, memoryBudget, fleet->adminSocketPath(0));
  }
  // Sends a request and waits for the response; null if the connection closes or the wait times out.
  Json sendAdminRequest(const Json& request) {
    Json message = request;
    message["v"] = 1;
    message["id"] = ++lastRequestId;
    adminClient->send(message.dump() + "\n");
    Json matchingResponse;
    runUntil([&] {
      for (; processedLines < adminClient->receivedLines.size(); ++processedLines)
        if (Json response = Json::parse(adminClient->receivedLines[processedLines]);
            response.contains("ok") && response["id"] == lastRequestId)
          matchingResponse = response;
      return !matchingResponse.is_null() || adminClient->isClosed;
    });
    return matchingResponse;
  }
  Json queryStatus() { return sendAdminRequest({{"do", "status"}})["status"]; }
  std::string queryState() { return queryStatus()["state"]; }
  bool waitForState(const std::string& expected, std::chrono::milliseconds timeout = 10s) {
    return runUntil([&] { return queryState() == expected; }, timeout);
  }
  std::string readLog() {
    std::ifstream file(fleet->logPath(0));
    return std::string(std::istreambuf_iterator<char>(file), {});
  }
  // Invariants of every test: each request gets exactly one answer.
  void expectNothingLost() {
    loadGenerator->stop();
    EXPECT_TRUE(runUntil([&] { return loadGenerator->counters().open == 0; }, 40s));
    EXPECT_EQ(loadGenerator->counters().lost, 0U) << readLog();
    EXPECT_EQ(loadGenerator->counters().duplicateAnswers, 0U);
    EXPECT_EQ(loadGenerator->counters().unsolicitedAnswers, 0U);
  }
  std::optional<FakeFleet> fleet;
  std::optional<LoadGenerator> loadGenerator;
  std::optional<AdminConnection> adminClient;
  std::size_t processedLines = 0;
  int lastRequestId = 0;
};

LoadGenerator::RequestProfile makeRequestProfile(const std::string& type, const std::string& script,
                                                 std::chrono::milliseconds executionTime,
                                                 std::chrono::milliseconds timeout = 30s) {
  return {type, "acme", 1, executionTime, executionTime, timeout, script};
}

TEST(DrainUnderLoad, EndsWithLastRequestAndServesAgainWhenCancelled) {
  ControllerUnderLoad run(90);
  run.loadGenerator->start(100, {FakeFleet::lookUpProfile(), {"report", "acme", 0, 900ms, 900ms}});
  run.runFor(300ms);
  const std::size_t reportIndex = run.loadGenerator->send(1, 0);
  const Json response =
      run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 8000}, {"come_back_ms", 1500}});
  ASSERT_TRUE(response["ok"]) << response;
  EXPECT_EQ(response["status"]["state"], "leaving");
  ASSERT_TRUE(run.waitForState("drained"));
  const transport::TimePoint drainedAt = run.now();
  const LoadGenerator::Request& report = run.loadGenerator->requests()[reportIndex];
  EXPECT_EQ(report.outcome, Reply::Outcome::completed);
  EXPECT_LT(drainedAt - report.endedAt, 60ms);
  const Json status = run.queryStatus();
  EXPECT_FALSE(status["drain"]["missed"]);
  EXPECT_EQ(status["open"]["jobs"], 0);
  EXPECT_FALSE(run.loadGenerator->isInService(0));
  // A client that sends a request during the drain is rejected with a Retry-After.
  run.loadGenerator->send(0, 0);
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->counters().open == 0; }));
  EXPECT_EQ(run.loadGenerator->requests().back().outcome, Reply::Outcome::rejected);
  EXPECT_EQ(run.loadGenerator->requests().back().retryAfterMs, 1500);
  EXPECT_TRUE(run.sendAdminRequest({{"do", "cancel"}})["ok"]);
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->isInService(0); }, 120ms));
  EXPECT_EQ(run.queryState(), "serving");
  const auto completedBefore = run.loadGenerator->counters().answersByOutcome[0];
  EXPECT_TRUE(
      run.runUntil([&] { return run.loadGenerator->counters().answersByOutcome[0] > completedBefore + 5; }));
  run.expectNothingLost();
}

TEST(DrainUnderLoad, LosesAndDuplicatesNothingWhenRepeatedHundredTimes) {
  FakeFleetOptions fleetOptions;
  fleetOptions.drainNotice = "10ms";
  ControllerUnderLoad run(91, fleetOptions);
  run.loadGenerator->start(300, {FakeFleet::lookUpProfile(9), {"report", "acme", 1, 100ms, 400ms, 20s}});
  for (int round = 0; round < 100; ++round) {
    const int deadline = round % 4 == 0 ? 0 : 40 * (round % 7);
    ASSERT_TRUE(run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", deadline}})["ok"]);
    run.runFor(std::chrono::milliseconds(round * 13 % 45));
    ASSERT_TRUE(run.sendAdminRequest({{"do", "cancel"}})["ok"]) << round;
    ASSERT_TRUE(run.runUntil([&] { return run.loadGenerator->isInService(0); }, 500ms)) << round;
  }
  EXPECT_EQ(run.queryStatus()["drain"]["number"], 100);
  EXPECT_EQ(run.queryState(), "serving");
  const auto completedBefore = run.loadGenerator->counters().answersByOutcome[0];
  EXPECT_TRUE(
      run.runUntil([&] { return run.loadGenerator->counters().answersByOutcome[0] > completedBefore + 20; }));
  run.expectNothingLost();
  EXPECT_GT(run.loadGenerator->counters().answersByOutcome[1], 0U);
  EXPECT_EQ(
      run.loadGenerator->counters().answersByOutcome[2] + run.loadGenerator->counters().answersByOutcome[3],
      0U);
  EXPECT_EQ(run.fleet->duplicateExecutionCount(), 0U);
}

TEST(DrainUnderLoad, ReportsProgressMatchingObserversWhenWatched) {
  ControllerUnderLoad run(92);
  run.loadGenerator->start(0,
                           {makeRequestProfile("report", "", 400ms), makeRequestProfile("report", "", 800ms),
                            makeRequestProfile("load", "", 1200ms)});
  for (std::size_t index : {0, 0, 1, 2, 2, 2}) run.loadGenerator->send(index, 0);
  run.runFor(100ms);
  run.loadGenerator->setHeartbeatInterval(20s);  // a heartbeat response briefly counts as unsent bytes
  run.runFor(50ms);
  struct ProgressEvent {
    transport::TimePoint receivedAt;
    Json open, expectedEnd;
    std::size_t openRequests, openAttempts;  // as counted by the load generator and the fake engines
  };
  std::vector<ProgressEvent> events;
  run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 9000}});
  run.sendAdminRequest({{"do", "watch"}, {"every_ms", 100}});
  run.adminClient->onLine = [&](const std::string& line) {
    const Json event = Json::parse(line);
    if (event.contains("event"))
      events.push_back({run.now(), event["status"]["open"], event["status"]["expected_end"],
                        run.loadGenerator->openRequestsAt(0), run.fleet->openAskCount()});
  };
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->counters().open == 0; }));
  run.runFor(250ms);
  run.adminClient->onLine = nullptr;
  std::size_t comparedEvents = 0;
  std::set<std::size_t> openRequestCounts;
  for (const ProgressEvent& event : events) {
    // While an answer is in transit, controller, load generator and engines count it at different instants.
    const auto& requests = run.loadGenerator->requests();
    if (std::any_of(requests.begin(), requests.end(), [&](const LoadGenerator::Request& request) {
          return std::chrono::abs(request.endedAt - event.receivedAt) < 25ms;
        }))
      continue;
    ++comparedEvents;
    openRequestCounts.insert(event.openRequests);
    EXPECT_EQ(event.open["jobs"], event.openRequests);
    EXPECT_EQ(event.open["dispatches"], event.openAttempts);
    EXPECT_EQ(
        event.open["by_type"]["report"].get<std::size_t>() + event.open["by_type"]["load"].get<std::size_t>(),
        event.openRequests);
    EXPECT_EQ(event.open["bytes_unsent"], 0);
    if (event.openRequests == 0) continue;
    EXPECT_TRUE(event.expectedEnd["estimate"]);
    EXPECT_GT(event.open["longest_left_ms"], 27000);
  }
  EXPECT_GE(comparedEvents, 8U);
  EXPECT_EQ(openRequestCounts, (std::set<std::size_t>{0, 3, 4, 6}));
  run.expectNothingLost();
}

TEST(DrainUnderLoad, RefusesInvalidRequestsAndStaysOneDrainWhenTwoOperatorsAsk) {
  ControllerUnderLoad run(93);
  run.loadGenerator->start(0, {makeRequestProfile("report", "", 4000ms)});
  run.loadGenerator->send(0, 0);
  run.runFor(50ms);
  EXPECT_EQ(run.sendAdminRequest({{"do", "cancel"}})["error"]["code"], "not_draining");
  EXPECT_EQ(run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", -1}})["error"]["code"], "bad_deadline");
  EXPECT_EQ(run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 99999999999999}})["error"]["code"],
            "bad_deadline");
  EXPECT_EQ(run.queryState(), "serving");
  EXPECT_EQ(run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 20000}})["status"]["drain"]["number"], 1);
  {
    AdminConnection otherOperator(run, run.memoryBudget, run.fleet->adminSocketPath(0));
    otherOperator.send(R"({"v":1,"id":"o","do":"drain","deadline_ms":600})"
                       "\n"
                       R"({"v":1,"id":"w","do":"watch","every_ms":50})"
                       "\n");
    EXPECT_TRUE(run.runUntil([&] { return otherOperator.receivedLines.size() > 3; }));
    EXPECT_EQ(Json::parse(otherOperator.receivedLines[0])["status"]["drain"]["number"], 1);
  }  // the drain continues after the client that requested it disconnects
  ASSERT_TRUE(run.waitForState("drained", 2s));
  const Json drain = run.queryStatus()["drain"];
  EXPECT_TRUE(drain["missed"]);
  EXPECT_EQ(drain["ended_by_deadline"], 1);
  EXPECT_EQ(drain["since_ask"]["throttled"], 1);
  run.expectNothingLost();
  EXPECT_EQ(run.loadGenerator->requests()[0].outcome, Reply::Outcome::rejected);
  EXPECT_EQ(run.fleet->openAskCount(), 0U);                    // the attempt was cancelled
  EXPECT_TRUE(run.sendAdminRequest({{"do", "drain"}})["ok"]);  // already drained
  EXPECT_EQ(run.queryStatus()["drain"]["number"], 1);
}

TEST(DrainUnderLoad, KeepsEarlierDeadlineWhenSigtermArrives) {
  ControllerUnderLoad run(94);
  run.loadGenerator->start(
      0, {makeRequestProfile("report", "", 9000ms), makeRequestProfile("load", "", 9000ms)});
  for (const std::size_t index : {0, 0, 1}) run.loadGenerator->send(index, 0);
  run.runFor(50ms);
  run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 1200}});
  run.fleet->controller(0).sendSignal(SIGTERM);
  run.runFor(20ms);
  EXPECT_EQ(run.sendAdminRequest({{"do", "cancel"}})["error"]["code"], "stopping");
  const transport::TimePoint sigtermAt = run.now();
  ASSERT_TRUE(run.runUntil([&] { return run.fleet->controller(0).exitCode().has_value(); }, 4s));
  EXPECT_EQ(run.fleet->controller(0).exitCode(), 0);
  EXPECT_LT(run.now() - sigtermAt, 1700ms);  // well before the final deadline of SIGTERM alone
  EXPECT_NE(::access(run.fleet->adminSocketPath(0).c_str(), F_OK), 0);
  run.expectNothingLost();
  EXPECT_EQ(run.loadGenerator->counters().answersByOutcome[1], 2U);
  EXPECT_EQ(run.loadGenerator->counters().answersByOutcome[2], 1U);
}

TEST(DrainUnderLoad, CompletesWhenReloadListEnginesAndClientsFail) {
  ControllerUnderLoad run(95);
  run.loadGenerator->start(60, {FakeFleet::lookUpProfile(), makeRequestProfile("report", "", 1500ms)});
  run.runFor(300ms);
  run.loadGenerator->start(60, {FakeFleet::lookUpProfile(), {"report", "acme", 0.2, 800ms, 1500ms, 20s}});
  run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 3000}});
  {  // SIGHUP with an invalid file, then with a valid one
    std::ofstream(run.fleet->operatorConfigPath(0)) << "drain { deadlin = \"1s\" }";
    run.fleet->controller(0).sendSignal(SIGHUP);
    EXPECT_TRUE(
        run.runUntil([&] { return run.readLog().find("deadlin: unknown key") != std::string::npos; }));
    std::ofstream(run.fleet->operatorConfigPath(0))
        << "door { socket = \"" << run.fleet->adminSocketPath(0) << "\" }\ndrain { deadline = \"1s\" }";
    run.fleet->controller(0).sendSignal(SIGHUP);
    EXPECT_TRUE(
        run.runUntil([&] { return run.readLog().find("operator's file reloaded") != std::string::npos; }));
  }
  {  // the endpoint list moves to another address
    const std::string configPath = run.fleet->directory() + "/config0.json";
    std::ifstream file(configPath);
    std::string configText(std::istreambuf_iterator<char>(file), {});
    configText.replace(configText.find("127.0.95.250"), 12, "127.0.95.249");
    std::ofstream(configPath) << configText;
  }
  FakeEndpointList secondEndpointList(run, run.memoryBudget, transport::Address("127.0.95.249:18443"));
  secondEndpointList.publish({}, false);  // no records beyond those already known
  run.fleet->controller(0).sendSignal(SIGHUP);
  EXPECT_TRUE(
      run.runUntil([&] { return run.readLog().find("endpoint list address changed") != std::string::npos; }));
  run.fleet->engine(0).disconnect();  // an engine disconnects, one leaves, then all leave
  secondEndpointList.publish({{"s-2", "127.0.95.2:18443", "left"}});
  run.runFor(200ms);
  std::vector<FakeEndpointList::Endpoint> leavingEndpoints;
  for (int index = 1; index <= 4; ++index)
    leavingEndpoints.push_back(
        {"s-" + std::to_string(index), "127.0.95." + std::to_string(index) + ":18443", "left"});
  secondEndpointList.publish(leavingEndpoints);
  {  // many connections that send nothing
    std::vector<std::unique_ptr<AdminConnection>> adminClients;
    std::vector<int> sockets;
    const transport::Address front = run.fleet->controllerAddresses()[0];
    for (int index = 0; index < 700; ++index) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)!::connect(fd, front.nativeHandle(), front.length());
      sockets.push_back(fd);
    }
    EXPECT_TRUE(run.waitForState("drained", 5s)) << run.readLog();
    for (const int socket : sockets) ::close(socket);
  }
  EXPECT_EQ(run.queryStatus()["open"]["jobs"], 0);
  EXPECT_TRUE(run.sendAdminRequest({{"do", "cancel"}})["ok"]);
  run.loadGenerator->stop();
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->counters().open == 0; }, 5s));
  EXPECT_EQ(run.loadGenerator->counters().duplicateAnswers, 0U);
  EXPECT_EQ(run.loadGenerator->counters().lost, 0U) << run.readLog();
}

TEST(DrainUnderLoad, CompletesWithoutLossWhenClientsMisbehave) {
  ControllerUnderLoad run(88);
  MisbehavingClients misbehavingClients(run, run.memoryBudget, run.fleet->controllerAddresses()[0], 40);
  run.loadGenerator->start(300, {FakeFleet::lookUpProfile(), {"report", "acme", 0.02, 100ms, 900ms, 20s}});
  run.runFor(500ms);
  for (int round = 0; round < 3; ++round) {
    ASSERT_TRUE(run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", round == 1 ? 350 : 5000}})["ok"]);
    ASSERT_TRUE(run.waitForState("drained", 6s));
    ASSERT_TRUE(run.sendAdminRequest({{"do", "cancel"}})["ok"]);
    ASSERT_TRUE(run.runUntil([&] { return run.loadGenerator->isInService(0); }, 300ms));
    run.runFor(200ms);
  }
  EXPECT_GT(misbehavingClients.closedCount(), 100U);
  run.expectNothingLost();
  EXPECT_GT(run.loadGenerator->counters().answersByOutcome[0], 200U);
}

// ---- commands ------------------------------------------------------------------------------------------

struct CommandRun {
  CommandRun(ControllerUnderLoad& controller, std::vector<std::string> arguments,
             const char* program = PADDLETRACK_PROGRAM) {
    static int count = 0;
    const std::string outputPath = controller.fleet->directory() + "/command" + std::to_string(++count);
    ServerProcess process(program, arguments, outputPath);
    controller.runUntil([&] { return process.exitCode().has_value(); }, 20s);
    exitCode = process.exitCode().value_or(-1);
    std::ifstream file(outputPath);
    output.assign(std::istreambuf_iterator<char>(file), {});
  }
  bool hasOutput(const std::string& part) const { return output.find(part) != std::string::npos; }
  int exitCode = -1;
  std::string output;
};

TEST(AdminCommands, ReturnOutcomeAsExitCodeWhenRun) {
  ControllerUnderLoad run(87);
  const std::string adminSocket = run.fleet->adminSocketPath(0);
  run.loadGenerator->start(
      0, {makeRequestProfile("report", "", 900ms), makeRequestProfile("report", "", 9000ms)});
  const CommandRun status(run, {"status", "--socket", adminSocket});
  EXPECT_EQ(status.exitCode, 0);
  EXPECT_TRUE(status.hasOutput("state          serving")) << status.output;
  run.loadGenerator->send(0, 0);
  const CommandRun drained(
      run, {"drain", "--deadline", "5s", "--watch", "--operator", run.fleet->operatorConfigPath(0)});
  EXPECT_EQ(drained.exitCode, 0) << drained.output;
  EXPECT_TRUE(drained.hasOutput("estimated completion") && drained.hasOutput("1 done, 0 rejected"))
      << drained.output;
  const CommandRun cancelled(run, {"drain", "--cancel", "-s", adminSocket});
  EXPECT_EQ(cancelled.exitCode, 0);
  EXPECT_EQ(CommandRun(run, {"drain", "--cancel", "-s", adminSocket}).exitCode, 6);
  EXPECT_EQ(CommandRun(run, {"drain", "--deadline=-2s", "-s", adminSocket}).exitCode, 6);
  EXPECT_GT(CommandRun(run, {"drain", "--deadline", "soon", "-s", adminSocket}).exitCode, 100);
  EXPECT_GT(CommandRun(run, {"drain", "--deadline", "2s", "--cancel", "-s", adminSocket}).exitCode, 100);
  EXPECT_EQ(CommandRun(run, {"drain", "-s", run.fleet->directory() + "/nobody"}).exitCode, 5);
  EXPECT_EQ(CommandRun(run, {"status"}).exitCode, 2);
  run.loadGenerator->send(1, 0);
  run.runFor(50ms);
  const CommandRun missedDeadline(run,
                                  {"drain", "--deadline", "400ms", "--watch", "--json", "-s", adminSocket});
  EXPECT_EQ(missedDeadline.exitCode, 3) << missedDeadline.output;
  EXPECT_TRUE(Json::parse(missedDeadline.output.substr(
      missedDeadline.output.rfind('\n', missedDeadline.output.size() - 2) + 1))["drain"]["missed"]);
  CommandRun(run, {"drain", "--cancel", "-s", adminSocket});
  EXPECT_TRUE(run.waitForState("serving"));
  run.loadGenerator->send(1, 0);
  ServerProcess watchingDrain(PADDLETRACK_PROGRAM,
                              {"drain", "--deadline", "9s", "--watch", "-s", adminSocket},
                              run.fleet->directory() + "/w");
  EXPECT_TRUE(run.waitForState("closing"));
  run.sendAdminRequest({{"do", "cancel"}});
  EXPECT_TRUE(run.runUntil([&] { return watchingDrain.exitCode().has_value(); }));
  EXPECT_EQ(watchingDrain.exitCode(), 4);
  const CommandRun completion(run, {"completion", "bash"});
  EXPECT_TRUE(completion.hasOutput("complete -F _paddletrack paddletrack") &&
              completion.hasOutput("--come-back"));
  EXPECT_EQ(CommandRun(run, {"check-config", "--config", run.fleet->directory() + "/config0.json",
                             "--operator", run.fleet->operatorConfigPath(0), "--print"})
                .exitCode,
            0);
  run.expectNothingLost();
}

TEST(AdminCommands, RollDrainsOneAtATimeAndStopsWhenDeadlineIsMissed) {
  FakeFleetOptions fleetOptions;
  fleetOptions.controllers = 3;
  ControllerUnderLoad run(86, fleetOptions);
  EXPECT_TRUE(
      run.runUntil([&] { return run.loadGenerator->isInService(1) && run.loadGenerator->isInService(2); }));
  run.loadGenerator->start(150, {FakeFleet::lookUpProfile(), {"report", "acme", 0, 20s, 20s, 25s}});
  std::size_t maxOutOfService = 0;
  bool isFinished = false;
  const auto countOutOfService = [&]() -> transport::Task<> {
    while (!isFinished) {
      std::size_t outOfService = 0;
      for (std::size_t index = 0; index < 3; ++index)
        outOfService += run.loadGenerator->isInService(index) ? 0 : 1;
      maxOutOfService = std::max(maxOutOfService, outOfService);
      co_await run.sleepUntil(run.now() + 5ms);
    }
  };
  transport::TaskGroup taskGroup(run, [](const char*) {});
  taskGroup.spawn(countOutOfService());
  std::vector<std::string> rollArguments{"roll", "--deadline", "3s"};
  for (std::size_t index = 0; index < 3; ++index) rollArguments.push_back(run.fleet->adminSocketPath(index));
  const CommandRun completedRoll(run, rollArguments);
  EXPECT_EQ(completedRoll.exitCode, 0) << completedRoll.output;
  EXPECT_TRUE(completedRoll.hasOutput("all 3 controllers drained and serving again"));
  EXPECT_EQ(maxOutOfService, 1U);
  run.loadGenerator->send(1, 1);
  rollArguments[2] = "600ms";
  const CommandRun stoppedRoll(run, rollArguments);
  EXPECT_EQ(stoppedRoll.exitCode, 3) << stoppedRoll.output;
  EXPECT_TRUE(stoppedRoll.hasOutput("requests were still open at the drain deadline (1 of 3 done)"))
      << stoppedRoll.output;
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->isInService(1); }, 2s));
  EXPECT_EQ(maxOutOfService, 1U);
  isFinished = true;
  run.expectNothingLost();
}

TEST(AdminCommands, ShowAndOverrideAddressStateWhenOperatorAsks) {
  ControllerUnderLoad run(82);
  const std::string unixAddress = "unix:" + run.fleet->directory() + "/engine";
  run.fleet->engine(0).addAddress(transport::Address(unixAddress));
  run.fleet->endpointList().publish(
      {{"s-1", "127.0.82.1:18443", "active", "hall", "std-8", 0, {unixAddress, "[::1]:18483", "odd:"}}});
  EXPECT_TRUE(
      run.runUntil([&] { return run.readLog().find("address skipped: 'odd:'") != std::string::npos; }));
  run.loadGenerator->start(0, {FakeFleet::lookUpProfile()});
  for (int index = 0; index < 40; ++index) run.loadGenerator->send(0, 0);
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->counters().open == 0; }));
  EXPECT_GT(run.fleet->engine(0).askCountAt(1), 0U);
  const std::string adminSocket = run.fleet->adminSocketPath(0);
  const CommandRun enginesCommand(run, {"engines", "-s", adminSocket, "s-1"});
  EXPECT_EQ(enginesCommand.exitCode, 0);
  EXPECT_TRUE(enginesCommand.hasOutput("good      " + unixAddress) &&
              enginesCommand.hasOutput("unknown   127.0.82.1:18443"))
      << enginesCommand.output;
  EXPECT_EQ(CommandRun(run, {"engines", "-s", adminSocket, "s-9"}).exitCode, 6);
  EXPECT_EQ(CommandRun(run, {"address", "-s", adminSocket, "s-9", unixAddress, "--avoid", "10m"}).exitCode,
            6);
  EXPECT_EQ(CommandRun(run, {"address", "-s", adminSocket, "s-1", "x", "--avoid", "10m"}).exitCode, 6);
  EXPECT_GT(CommandRun(run, {"address", "-s", adminSocket, "s-1", unixAddress}).exitCode, 100);
  EXPECT_EQ(CommandRun(run, {"address", "-s", adminSocket, "s-1", unixAddress, "--avoid", "2s"}).exitCode, 0);
  const Json engines = run.sendAdminRequest({{"do", "engines"}})["engines"];
  ASSERT_EQ(engines.size(), 4U);
  EXPECT_EQ(engines[0]["addresses"][1]["state"], "avoided");
  EXPECT_GT(engines[0]["addresses"][1]["by_hand_left_ms"], 1000);
  run.fleet->engine(0).disconnect();
  const auto attemptsBefore = run.fleet->engine(0).askCountAt(1);
  for (int index = 0; index < 40; ++index) run.loadGenerator->send(0, 0);
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->counters().open == 0; }));
  EXPECT_EQ(run.fleet->engine(0).askCountAt(1), attemptsBefore);
  EXPECT_TRUE(run.runUntil(
      [&] {
        return run.sendAdminRequest({{"do", "engines"}})["engines"][0]["addresses"][1]["state"] == "good";
      },
      4s));
  run.expectNothingLost();
}

TEST(ExampleClient, ReturnsOutcomeAsExitCodeWhenRequestEnds) {
  ControllerUnderLoad run(80);
  const auto runClient = [&](const std::string& type, const std::string& script) {
    return CommandRun(run, {"127.0.80.200:18443", type, "acme", "select 1 /* " + script + " */"},
                      PADDLETRACK_EXAMPLE_CLIENT);
  };
  const CommandRun completed = runClient("look-up", "pages=2");
  EXPECT_EQ(completed.exitCode, 0);
  EXPECT_TRUE(completed.hasOutput("\t0\trow\n") && completed.hasOutput("\t1\trow\n")) << completed.output;
  EXPECT_EQ(runClient("load", "answer=500").exitCode, 4);
  EXPECT_EQ(runClient("nothing", "").exitCode, 5);
  run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 0}});
  const CommandRun rejected = runClient("look-up", "");
  EXPECT_EQ(rejected.exitCode, 3);
  EXPECT_TRUE(rejected.hasOutput("retry after 2000 ms")) << rejected.output;
}

TEST(Demo, ExitsCleanlyWhenInterrupted) {
  ControllerUnderLoad run(79);
  ServerProcess demo(PADDLETRACK_LOADTEST, {"try", "--rate", "50"}, run.fleet->directory() + "/try");
  run.runFor(3500ms);
  demo.sendSignal(SIGINT);
  EXPECT_TRUE(run.runUntil([&] { return demo.exitCode().has_value(); }));
  EXPECT_EQ(demo.exitCode(), 0);
  std::ifstream file(run.fleet->directory() + "/try");
  const std::string output(std::istreambuf_iterator<char>(file), {});
  EXPECT_NE(output.find("c2           in"), std::string::npos) << output;
  EXPECT_NE(output.find(" 0 lost, 0 answered twice"), std::string::npos) << output;
}

TEST(JsonLog, WritesOneObjectPerLineWhenFormatIsJson) {
  ControllerUnderLoad run(85);
  run.fleet->controller(0).sendSignal(SIGTERM);
  EXPECT_TRUE(run.runUntil([&] { return run.fleet->controller(0).exitCode().has_value(); }));
  const CommandRun invalidFormat(
      run, {"serve", "--config", run.fleet->directory() + "/config0.json", "--log", "xml"});
  EXPECT_GT(invalidFormat.exitCode, 100);
  ServerProcess jsonController(PADDLETRACK_PROGRAM,
                               {"serve", "--config", run.fleet->directory() + "/config0.json", "--log",
                                "json", "--log-level", "warning"},
                               run.fleet->directory() + "/json");
  MisbehavingClients misbehavingClients(run, run.memoryBudget, run.fleet->controllerAddresses()[0], 10);
  run.fleet->engine(0).setFault(0, FakeEngine::Fault::unresponsive);
  run.runFor(700ms);
  jsonController.sendSignal(SIGTERM);
  EXPECT_TRUE(run.runUntil([&] { return jsonController.exitCode().has_value(); }));
  std::ifstream file(run.fleet->directory() + "/json");
  std::size_t lineCount = 0;
  for (std::string line; std::getline(file, line); ++lineCount) {
    const Json record = Json::parse(line, nullptr, false);
    ASSERT_TRUE(record.is_object()) << line;
    EXPECT_TRUE(record.contains("time") && record.contains("text") && record["topic"] != "serving") << line;
    EXPECT_EQ(record["level"], "warning");
    EXPECT_TRUE(record["topic"] != "request" || record.contains("job")) << line;
  }
  EXPECT_GT(lineCount, 2U);
}

// ---- misbehaving admin clients -------------------------------------------------------------------------

TEST(AdminServer, DisturbsNoRequestWhenAdminClientsMisbehave) {
  ControllerUnderLoad run(96);
  run.loadGenerator->start(100, {FakeFleet::lookUpProfile()});
  AdminConnection garbageClient(run, run.memoryBudget, run.fleet->adminSocketPath(0));
  garbageClient.send("\xff\xfe{{{\nGET / HTTP/1.1\r\n\r\n{\"v\":9}\n");
  EXPECT_TRUE(run.runUntil([&] { return garbageClient.receivedLines.size() >= 4; }));
  for (const std::string& receivedLine : garbageClient.receivedLines)
    EXPECT_FALSE(Json::parse(receivedLine)["ok"]) << receivedLine;
  AdminConnection endlessLineClient(run, run.memoryBudget, run.fleet->adminSocketPath(0));
  endlessLineClient.send(std::string(40000, 'x'));
  EXPECT_TRUE(run.runUntil([&] { return endlessLineClient.isClosed; }));
  ASSERT_EQ(endlessLineClient.receivedLines.size(), 1U);
  EXPECT_EQ(Json::parse(endlessLineClient.receivedLines[0])["error"]["code"], "too_long");
  // A client that sends many requests and reads no responses.
  const transport::Address address("unix:" + run.fleet->adminSocketPath(0));
  const int unreadSocket = ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0);
  ASSERT_EQ(::connect(unreadSocket, address.nativeHandle(), address.length()), 0);
  const std::string request = "{\"v\":1,\"do\":\"status\"}\n";
  for (int index = 0; index < 20000; ++index)
    if (::send(unreadSocket, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
      if (errno == EPIPE || errno == ECONNRESET) break;
      run.runFor(1ms);
    }
  EXPECT_EQ(run.queryState(), "serving");
  // More clients than the limit.
  std::vector<std::unique_ptr<AdminConnection>> clients;
  for (int index = 0; index < 12; ++index)
    clients.push_back(
        std::make_unique<AdminConnection>(run, run.memoryBudget, run.fleet->adminSocketPath(0)));
  EXPECT_TRUE(run.runUntil([&] {
    return std::count_if(clients.begin(), clients.end(),
                         [](const auto& client) { return client->isClosed; }) >= 4;
  }));
  EXPECT_EQ(run.queryState(), "serving");  // existing connections are kept
  ::close(unreadSocket);
  run.expectNothingLost();
  EXPECT_EQ(run.loadGenerator->counters().answersByOutcome[0], run.loadGenerator->counters().sent);
}

TEST(AdminServer, ClosesIdleAndPartialLineConnectionsButKeepsWatcherWhenIdleTimeoutPasses) {
  TestScheduler scheduler;
  const TemporaryDirectory directory;
  const std::string path = directory.path() + "/door";
  // Runs the server in this process, to set short limits.
  protocol::ControllerConfig config = protocol::decodeControllerConfig(protocol::flattenLines(
      "balancers=1\nzones=a\nmachineTypes=m\nfamilyInfo.kindCores=8\nprofiles.count=1\nprofiles.0.name=q\n"
      "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=400000\nprofiles.0.giveUpUs=2000000\ntickUs="
      "5000\n"));
  const Logger logger([](const LogRecord&) {});
  routing::RequestRouter router(scheduler, scheduler.memoryBudget, config, {100, {4, 20, 20ms, 400ms}}, 7,
                                logger);
  routing::ClientListener clientListener(scheduler, scheduler.memoryBudget,
                                         transport::Address("127.0.98.9:18443"), {10, 4096, 65536}, router,
                                         logger);
  admin::ServiceLifecycle lifecycle(scheduler, router, clientListener, "n", {}, logger, [] {});
  admin::AdminServerOptions options;
  options.socketPath = path;
  options.idleTimeout = 200ms;
  options.maxUnsentBytes = 8192;
  admin::AdminServer server(scheduler, options, lifecycle, logger);
  AdminConnection idleClient(scheduler, scheduler.memoryBudget, path),
      watcher(scheduler, scheduler.memoryBudget, path),
      partialLineWatcher(scheduler, scheduler.memoryBudget, path);
  watcher.send("{\"v\":1,\"do\":\"watch\",\"every_ms\":20}\n");
  partialLineWatcher.send("{\"v\":1,\"do\":\"watch\",\"every_ms\":20}\n{\"v\":");
  const transport::Address address("unix:" + path);
  const int unreadSocket = ::socket(AF_UNIX, SOCK_STREAM, 0);
  const int receiveBufferBytes = 4096;
  ::setsockopt(unreadSocket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
  ASSERT_EQ(::connect(unreadSocket, address.nativeHandle(), address.length()), 0);
  const std::string watchRequest = "{\"v\":1,\"do\":\"watch\",\"every_ms\":20}\n";
  ASSERT_GT(::send(unreadSocket, watchRequest.data(), watchRequest.size(), MSG_NOSIGNAL), 0);
  scheduler.runFor(700ms);
  EXPECT_TRUE(idleClient.isClosed);
  EXPECT_TRUE(partialLineWatcher.isClosed);
  EXPECT_FALSE(watcher.isClosed);
  EXPECT_GT(watcher.receivedLines.size(), 20U);
  ::close(unreadSocket);
}

// ---- socket file ---------------------------------------------------------------------------------------

std::string openSocketFile(const std::string& path) {
  try {
    admin::SocketFile socketFile(path);
    struct stat fileStatus {};
    if (::lstat(path.c_str(), &fileStatus) != 0 || (fileStatus.st_mode & 0777) != 0600) return "mode";
    return "";
  } catch (const std::exception& error) {
    return error.what();
  }
}

TEST(SocketFile, ReplacesPathOnlyWhenItsListenerIsDead) {
  const TemporaryDirectory directory;
  const std::string path = directory.path() + "/door";
  const auto contains = [](const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  };
  EXPECT_EQ(openSocketFile(path), "");
  EXPECT_NE(::access(path.c_str(), F_OK), 0);  // removed by the destructor
  {
    admin::SocketFile liveSocket(path);
    EXPECT_TRUE(contains(openSocketFile(path), "another process is listening on this socket"));
    EXPECT_EQ(::access(path.c_str(), F_OK), 0);
    ::unlink(path.c_str());  // replaced while the owner lives: the new file must stay
    admin::SocketFile otherSocket(path);
    ::close(liveSocket.release());
  }
  const transport::Address address("unix:" + path);
  const int deadSocket = ::socket(AF_UNIX, SOCK_STREAM, 0);
  ASSERT_EQ(::bind(deadSocket, address.nativeHandle(), address.length()), 0);
  ::close(deadSocket);
  EXPECT_EQ(::access(path.c_str(), F_OK), 0);
  EXPECT_EQ(openSocketFile(path), "");
  std::ofstream(path) << "a file";
  EXPECT_TRUE(contains(openSocketFile(path), "the existing file is not a socket"));
  EXPECT_EQ(::access(path.c_str(), F_OK), 0);
  EXPECT_TRUE(
      contains(openSocketFile(directory.path() + "/none/door"), "cannot open its directory: No such file"));
  EXPECT_TRUE(contains(openSocketFile("/proc/door"), "cannot create the socket"));
  EXPECT_TRUE(contains(openSocketFile("/" + std::string(200, 'x')), "107 bytes at most"));
  EXPECT_TRUE(contains(openSocketFile("run/door"), "path must be absolute"));
}

// The mode of the socket file rejects other users. If the mode has been opened up, the admin server rejects
// them itself.
TEST(AdminServer, RefusesConnectionWhenPeerIsAnotherUser) {
  if (::geteuid() != 0) GTEST_SKIP() << "only root can switch to another user";
  ControllerUnderLoad run(81);
  ::chmod(run.fleet->directory().c_str(), 0755);
  ::chmod(run.fleet->adminSocketPath(0).c_str(), 0666);
  const transport::Address address("unix:" + run.fleet->adminSocketPath(0));
  const pid_t child = ::fork();
  if (child == 0) {
    const int fd = ::socket(AF_UNIX, SOCK_STREAM, 0);
    const std::string request = "{\"v\":1,\"do\":\"drain\"}\n";
    if (::setgid(65534) != 0 || ::setuid(65534) != 0) ::_exit(9);
    if (::connect(fd, address.nativeHandle(), address.length()) != 0) ::_exit(8);
    char byte = 0;
    (void)!::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    ::_exit(::read(fd, &byte, 1) > 0 ? 1 : 0);  // no response
  }
  int status = -1;
  EXPECT_TRUE(run.runUntil([&] { return ::waitpid(child, &status, WNOHANG) == child; }));
  EXPECT_EQ(status, 0);
  EXPECT_NE(run.readLog().find("user 65534"), std::string::npos) << run.readLog();
  EXPECT_EQ(run.queryState(), "serving");
}

TEST(AdminServer, ExitsWithErrorWhenSocketCannotBeOpened) {
  TestScheduler scheduler;
  FakeFleetOptions fleetOptions;
  fleetOptions.program = PADDLETRACK_PROGRAM;
  fleetOptions.subnet = 99;
  FakeFleet fleet(scheduler, scheduler.memoryBudget, fleetOptions);
  scheduler.runFor(300ms);
  ServerProcess secondController(
      PADDLETRACK_PROGRAM,
      {"serve", "--config", fleet.directory() + "/config0.json", "--operator", fleet.operatorConfigPath(0)},
      fleet.directory() + "/second");
  EXPECT_TRUE(scheduler.runUntil([&] { return secondController.exitCode().has_value(); }));
  EXPECT_NE(secondController.exitCode(), 0);
}

// ---- drain deadline, for each request class and stage of an attempt ------------------------------------

struct DrainFixture : TestScheduler {
  DrainFixture() {
    protocol::EndpointEvent event;
    event.isSnapshot = true;
    event.entries.push_back({"s-1", "127.0.89.1:18443", "a", "m", 0, EndpointState::ready, 0});
    router.onEndpointUpdate(event);
    loadGenerator.emplace(*this, memoryBudget, std::vector{transport::Address("127.0.89.9:18443")}, 3);
    loadGenerator->start(0, {});
  }
  const Logger logger{[](const LogRecord&) {}};
  const protocol::ControllerConfig config = protocol::decodeControllerConfig(protocol::flattenLines(
      "balancers=1\nzones=a\nmachineTypes=m\nfamilyInfo.kindCores=64\nprofiles.count=3\nprofiles.0.name="
      "again\n"
      "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=400000\nprofiles.0.giveUpUs=9000000\nprofiles.1."
      "name=keyed\n"
      "profiles.1.idempotency=dedup\nprofiles.1.group=cell\nprofiles.1.windowUs=60000000\nprofiles.1."
      "onTimeUs=400000\n"
      "profiles.1.giveUpUs=9000000\nprofiles.2.name=once\nprofiles.2.idempotency=fragile\nprofiles.2."
      "onTimeUs=400000\n"
      "profiles.2.giveUpUs=9000000\nlimits.mostTries=3\nlimits.cancelling=true\nlimits.retryAfter=true\n"
      "limits.maxRetryAfterUs=900000\nlimits.streamsPerConn=4\nlimits.dialTimeoutUs=3000000\n"
      "limits.idleCloseUs=9000000\ntickUs=5000\n"));
  routing::RequestRouter router{
      *this,  memoryBudget,
      config, {100, {config.maxAttemptsPerConnection, 20, config.connectTimeout, config.idleTimeout}},
      7,      logger};
  routing::ClientListener clientListener{
      *this, memoryBudget, transport::Address("127.0.89.9:18443"), {20, 4096, 65536}, router, logger};
  admin::ServiceLifecycle lifecycle{*this, router, clientListener, "n", {}, logger, [] {}};
  std::optional<LoadGenerator> loadGenerator;
};

TEST(DrainDeadline, AnswersEachRequestOnceRejectingOnlyWhenRetryIsSafe) {
  enum class AttemptStage { connecting, sent, partlyAnswered };
  for (const AttemptStage stage :
       {AttemptStage::connecting, AttemptStage::sent, AttemptStage::partlyAnswered}) {
    DrainFixture fixture;
    std::optional<FakeEngine> engine;
    std::optional<UnresponsiveListener> unresponsiveEngine;
    const transport::Address engineAddress("127.0.89.1:18443");
    if (stage == AttemptStage::connecting) {
      unresponsiveEngine.emplace(engineAddress);
      fixture.runFor(20ms);
    } else {
      engine.emplace(fixture, fixture.memoryBudget, engineAddress);
    }
    std::vector<LoadGenerator::RequestProfile> profiles;
    for (const char* requestClass : {"again", "keyed", "once"})
      profiles.push_back({requestClass, "", 1, stage == AttemptStage::partlyAnswered ? 1ms : 8000ms,
                          stage == AttemptStage::partlyAnswered ? 1ms : 8000ms, 9000ms,
                          stage == AttemptStage::partlyAnswered ? "pages=3 half" : ""});
    fixture.loadGenerator->start(0, profiles);
    for (std::size_t index = 0; index < 3; ++index) fixture.loadGenerator->send(index, 0);
    fixture.runFor(150ms);
    ASSERT_EQ(fixture.lifecycle.status().open.requests, 3U);
    ASSERT_EQ(fixture.lifecycle.status().open.attempts, 3U);
    EXPECT_EQ(fixture.lifecycle.requestDrain(0ms, {}, "test"), drain::DrainError::none);
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.loadGenerator->counters().open == 0; }, 200ms));
    EXPECT_EQ(fixture.lifecycle.status().open.requests, 0U);
    const bool isProvenNotRun = stage == AttemptStage::connecting;
    const auto& requests = fixture.loadGenerator->requests();
    EXPECT_EQ(requests[0].outcome, Reply::Outcome::rejected);
    EXPECT_EQ(requests[1].outcome, isProvenNotRun ? Reply::Outcome::rejected : Reply::Outcome::failed);
    EXPECT_EQ(requests[2].outcome, isProvenNotRun ? Reply::Outcome::rejected : Reply::Outcome::failed);
    fixture.runFor(400ms);  // no late answers
    EXPECT_EQ(fixture.loadGenerator->counters().duplicateAnswers +
                  fixture.loadGenerator->counters().unsolicitedAnswers +
                  fixture.loadGenerator->counters().lost,
              0U);
    EXPECT_EQ(fixture.lifecycle.status().open.attempts, 0U);
    EXPECT_EQ(fixture.lifecycle.state(), drain::State::drained);
    if (engine) {
      EXPECT_EQ(engine->openAskCount(), 0U);  // the attempts were cancelled
    }
  }
}

// If the kernel has taken only part of a long statement, the controller closes the connection: the engine
// never receives the complete request, which is thus proven not to have run. A request that was sent
// completely is not proven.
TEST(DrainDeadline, RejectsAndNeverDeliversWholeRequestWhenAttemptIsRecalled) {
  for (const bool isLongRequest : {false, true}) {
    DrainFixture fixture;
    routing::ClientListener largeMessageListener(fixture, fixture.memoryBudget,
                                                 transport::Address("127.0.89.8:18443"),
                                                 {20, 40 << 20, 1 << 20}, fixture.router, fixture.logger);
    const transport::Address engineAddress("127.0.89.1:18443");
    const int listeningSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listeningSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ASSERT_EQ(::bind(listeningSocket, engineAddress.nativeHandle(), engineAddress.length()), 0);
    ASSERT_EQ(::listen(listeningSocket, 8), 0);  // the kernel accepts; no process reads
    LoadGenerator client(fixture, fixture.memoryBudget, {transport::Address("127.0.89.8:18443")}, 5);
    const std::size_t statementBytes = isLongRequest ? 24 << 20 : 100;
    client.start(0, {{"once", "", 1, 10ms, 10ms, 9000ms, std::string(statementBytes, 'x')}});
    client.send(0, 0);
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.lifecycle.status().open.attempts == 1; }));
    fixture.runFor(200ms);
    EXPECT_EQ(fixture.lifecycle.requestDrain(0ms, {}, "test"), drain::DrainError::none);
    EXPECT_TRUE(fixture.runUntil([&] { return client.counters().open == 0; }, 500ms));
    EXPECT_EQ(client.requests()[0].outcome,
              isLongRequest ? Reply::Outcome::rejected : Reply::Outcome::failed);
    fixture.runFor(50ms);
    const int engineSocket = ::accept4(listeningSocket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    ASSERT_GE(engineSocket, 0);
    std::size_t receivedBytes = 0;
    std::vector<char> bytes(1 << 20);
    for (int idleReads = 0; idleReads < 20;) {
      const ssize_t count = ::read(engineSocket, bytes.data(), bytes.size());
      if (count > 0) receivedBytes += static_cast<std::size_t>(count), idleReads = 0;
      if (count == 0 || (count < 0 && errno != EAGAIN)) break;
      if (count < 0) ++idleReads, fixture.runFor(5ms);
    }
    EXPECT_EQ(receivedBytes < statementBytes, isLongRequest) << receivedBytes;
    ::close(engineSocket);
    ::close(listeningSocket);
  }
}

}  // namespace
}  // namespace paddletrack::fakes
