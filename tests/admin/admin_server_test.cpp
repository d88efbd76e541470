// The drain on request as operators use it: a controller in its own process under load, its door, and
// stand-ins for all around it.
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

// A controller under load, and an operator at its door.
struct ControllerUnderLoad : TestScheduler {
  explicit ControllerUnderLoad(int subnet, FakeFleetOptions options = {}) {
    options.program = PADDLETRACK_PROGRAM;
    options.subnet = subnet;
    fleet.emplace(*this, outputBudget, options);
    loadGenerator.emplace(*this, outputBudget, fleet->frontAddresses(), 7);
    loadGenerator->setHeartbeatInterval(20ms);
    EXPECT_TRUE(runUntil([&] { return loadGenerator->isInService(0); })) << readLog();
    if (options.hasAdminSockets) adminClient.emplace(*this, outputBudget, fleet->adminSocketPath(0));
  }
  // Asks and waits for the answer.
  Json sendAdminRequest(const Json& request) {
    Json message = request;
    message["v"] = 1;
    message["id"] = ++lastRequestId;
    adminClient->send(message.dump() + "\n");
    Json answer;
    runUntil([&] {
      for (; readLines < adminClient->receivedLines.size(); ++readLines)
        if (Json response = Json::parse(adminClient->receivedLines[readLines]);
            response.contains("ok") && response["id"] == lastRequestId)
          answer = response;
      return !answer.is_null() || adminClient->isClosed;
    });
    return answer;
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
  // What must hold whatever was done.
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
  std::size_t readLines = 0;
  int lastRequestId = 0;
};

LoadGenerator::RequestProfile makeRequestKind(const std::string& type, const std::string& script,
                                              std::chrono::milliseconds executionTime,
                                              std::chrono::milliseconds timeout = 30s) {
  return {type, "acme", 1, executionTime, executionTime, timeout, script};
}

TEST(DrainUnderLoad, EndsWithLastRequestAndServesAgainWhenCancelled) {
  ControllerUnderLoad run(90);
  run.loadGenerator->start(100, {FakeFleet::lookUpProfile(), {"report", "acme", 0, 900ms, 900ms}});
  run.runFor(300ms);
  const std::size_t last = run.loadGenerator->send(1, 0);
  const Json asked = run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 8000}, {"come_back_ms", 1500}});
  ASSERT_TRUE(asked["ok"]) << asked;
  EXPECT_EQ(asked["status"]["state"], "leaving");
  ASSERT_TRUE(run.waitForState("drained"));
  const transport::TimePoint drained = run.now();
  const LoadGenerator::Request& report = run.loadGenerator->requests()[last];
  EXPECT_EQ(report.outcome, Reply::Outcome::completed);
  EXPECT_LT(drained - report.endedAt, 60ms);
  const Json status = run.queryStatus();
  EXPECT_FALSE(status["drain"]["missed"]);
  EXPECT_EQ(status["open"]["jobs"], 0);
  EXPECT_FALSE(run.loadGenerator->isInService(0));
  // A client that comes all the same is told when to come back.
  run.loadGenerator->send(0, 0);
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->counters().open == 0; }));
  EXPECT_EQ(run.loadGenerator->requests().back().outcome, Reply::Outcome::rejected);
  EXPECT_EQ(run.loadGenerator->requests().back().retryAfterMs, 1500);
  EXPECT_TRUE(run.sendAdminRequest({{"do", "cancel"}})["ok"]);
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->isInService(0); }, 120ms));
  EXPECT_EQ(run.queryState(), "serving");
  const auto done = run.loadGenerator->counters().answersByOutcome[0];
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->counters().answersByOutcome[0] > done + 5; }));
  run.expectNothingLost();
}

TEST(DrainUnderLoad, LosesAndDuplicatesNothingWhenRepeatedHundredTimes) {
  FakeFleetOptions terms;
  terms.drainNotice = "10ms";
  ControllerUnderLoad run(91, terms);
  run.loadGenerator->start(300, {FakeFleet::lookUpProfile(9), {"report", "acme", 1, 100ms, 400ms, 20s}});
  for (int index = 0; index < 100; ++index) {
    const int deadline = index % 4 == 0 ? 0 : 40 * (index % 7);
    ASSERT_TRUE(run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", deadline}})["ok"]);
    run.runFor(std::chrono::milliseconds(index * 13 % 45));
    ASSERT_TRUE(run.sendAdminRequest({{"do", "cancel"}})["ok"]) << index;
    ASSERT_TRUE(run.runUntil([&] { return run.loadGenerator->isInService(0); }, 500ms)) << index;
  }
  EXPECT_EQ(run.queryStatus()["drain"]["number"], 100);
  EXPECT_EQ(run.queryState(), "serving");
  const auto done = run.loadGenerator->counters().answersByOutcome[0];
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->counters().answersByOutcome[0] > done + 20; }));
  run.expectNothingLost();
  EXPECT_GT(run.loadGenerator->counters().answersByOutcome[1], 0U);
  EXPECT_EQ(
      run.loadGenerator->counters().answersByOutcome[2] + run.loadGenerator->counters().answersByOutcome[3],
      0U);
  EXPECT_EQ(run.fleet->duplicateRunCount(), 0U);
}

TEST(DrainUnderLoad, ReportsProgressMatchingObserversWhenWatched) {
  ControllerUnderLoad run(92);
  run.loadGenerator->start(0, {makeRequestKind("report", "", 400ms), makeRequestKind("report", "", 800ms),
                               makeRequestKind("load", "", 1200ms)});
  for (std::size_t index : {0, 0, 1, 2, 2, 2}) run.loadGenerator->send(index, 0);
  run.runFor(100ms);
  run.loadGenerator->setHeartbeatInterval(20s);  // an answer to one is bytes unsent too, for an instant
  run.runFor(50ms);
  struct Line {
    transport::TimePoint at;
    Json open, end;
    std::size_t jobs, dispatches;  // by the outside books
  };
  std::vector<Line> lines;
  run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 9000}});
  run.sendAdminRequest({{"do", "watch"}, {"every_ms", 100}});
  run.adminClient->onLine = [&](const std::string& line) {
    const Json read = Json::parse(line);
    if (read.contains("event"))
      lines.push_back({run.now(), read["status"]["open"], read["status"]["expected_end"],
                       run.loadGenerator->openRequestsAt(0), run.fleet->openAskCount()});
  };
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->counters().open == 0; }));
  run.runFor(250ms);
  run.adminClient->onLine = nullptr;
  std::size_t compared = 0;
  std::set<std::size_t> seen;
  for (const Line& line : lines) {
    // While an answer is on its way the three see it at different instants.
    const auto& jobs = run.loadGenerator->requests();
    if (std::any_of(jobs.begin(), jobs.end(), [&](const LoadGenerator::Request& job) {
          return std::chrono::abs(job.endedAt - line.at) < 25ms;
        }))
      continue;
    ++compared;
    seen.insert(line.jobs);
    EXPECT_EQ(line.open["jobs"], line.jobs);
    EXPECT_EQ(line.open["dispatches"], line.dispatches);
    EXPECT_EQ(
        line.open["by_type"]["report"].get<std::size_t>() + line.open["by_type"]["load"].get<std::size_t>(),
        line.jobs);
    EXPECT_EQ(line.open["bytes_unsent"], 0);
    if (line.jobs == 0) continue;
    EXPECT_TRUE(line.end["estimate"]);
    EXPECT_GT(line.open["longest_left_ms"], 27000);
  }
  EXPECT_GE(compared, 8U);
  EXPECT_EQ(seen, (std::set<std::size_t>{0, 3, 4, 6}));
  run.expectNothingLost();
}

TEST(DrainUnderLoad, RefusesInvalidRequestsAndStaysOneDrainWhenTwoOperatorsAsk) {
  ControllerUnderLoad run(93);
  run.loadGenerator->start(0, {makeRequestKind("report", "", 4000ms)});
  run.loadGenerator->send(0, 0);
  run.runFor(50ms);
  EXPECT_EQ(run.sendAdminRequest({{"do", "cancel"}})["error"]["code"], "not_draining");
  EXPECT_EQ(run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", -1}})["error"]["code"], "bad_deadline");
  EXPECT_EQ(run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 99999999999999}})["error"]["code"],
            "bad_deadline");
  EXPECT_EQ(run.queryState(), "serving");
  EXPECT_EQ(run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 20000}})["status"]["drain"]["number"], 1);
  {
    AdminConnection other(run, run.outputBudget, run.fleet->adminSocketPath(0));
    other.send(R"({"v":1,"id":"o","do":"drain","deadline_ms":600})"
               "\n"
               R"({"v":1,"id":"w","do":"watch","every_ms":50})"
               "\n");
    EXPECT_TRUE(run.runUntil([&] { return other.receivedLines.size() > 3; }));
    EXPECT_EQ(Json::parse(other.receivedLines[0])["status"]["drain"]["number"], 1);
  }  // the asking client goes, the drain stays
  ASSERT_TRUE(run.waitForState("drained", 2s));
  const Json drain = run.queryStatus()["drain"];
  EXPECT_TRUE(drain["missed"]);
  EXPECT_EQ(drain["ended_by_deadline"], 1);
  EXPECT_EQ(drain["since_ask"]["throttled"], 1);
  run.expectNothingLost();
  EXPECT_EQ(run.loadGenerator->requests()[0].outcome, Reply::Outcome::rejected);
  EXPECT_EQ(run.fleet->openAskCount(), 0U);                    // withdrawn
  EXPECT_TRUE(run.sendAdminRequest({{"do", "drain"}})["ok"]);  // drained already
  EXPECT_EQ(run.queryStatus()["drain"]["number"], 1);
}

TEST(DrainUnderLoad, KeepsEarlierDeadlineWhenSigtermArrives) {
  ControllerUnderLoad run(94);
  run.loadGenerator->start(0, {makeRequestKind("report", "", 9000ms), makeRequestKind("load", "", 9000ms)});
  for (const std::size_t index : {0, 0, 1}) run.loadGenerator->send(index, 0);
  run.runFor(50ms);
  run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 1200}});
  run.fleet->controller(0).sendSignal(SIGTERM);
  run.runFor(20ms);
  EXPECT_EQ(run.sendAdminRequest({{"do", "cancel"}})["error"]["code"], "stopping");
  const transport::TimePoint told = run.now();
  ASSERT_TRUE(run.runUntil([&] { return run.fleet->controller(0).exitCode().has_value(); }, 4s));
  EXPECT_EQ(run.fleet->controller(0).exitCode(), 0);
  EXPECT_LT(run.now() - told, 1700ms);  // well before what SIGTERM alone would allow
  EXPECT_NE(::access(run.fleet->adminSocketPath(0).c_str(), F_OK), 0);
  run.expectNothingLost();
  EXPECT_EQ(run.loadGenerator->counters().answersByOutcome[1], 2U);
  EXPECT_EQ(run.loadGenerator->counters().answersByOutcome[2], 1U);
}

TEST(DrainUnderLoad, CompletesWhenReloadListEnginesAndClientsFail) {
  ControllerUnderLoad run(95);
  run.loadGenerator->start(60, {FakeFleet::lookUpProfile(), makeRequestKind("report", "", 1500ms)});
  run.runFor(300ms);
  run.loadGenerator->start(60, {FakeFleet::lookUpProfile(), {"report", "acme", 0.2, 800ms, 1500ms, 20s}});
  run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 3000}});
  {  // SIGHUP, with a file that is wrong and one that is right
    std::ofstream(run.fleet->operatorConfigPath(0)) << "drain { deadlin = \"1s\" }";
    run.fleet->controller(0).sendSignal(SIGHUP);
    EXPECT_TRUE(
        run.runUntil([&] { return run.readLog().find("deadlin: no such key") != std::string::npos; }));
    std::ofstream(run.fleet->operatorConfigPath(0))
        << "door { socket = \"" << run.fleet->adminSocketPath(0) << "\" }\ndrain { deadline = \"1s\" }";
    run.fleet->controller(0).sendSignal(SIGHUP);
    EXPECT_TRUE(run.runUntil(
        [&] { return run.readLog().find("operator's file is read again") != std::string::npos; }));
  }
  {  // the change log moves
    const std::string config = run.fleet->directory() + "/config0.json";
    std::ifstream read(config);
    std::string text(std::istreambuf_iterator<char>(read), {});
    text.replace(text.find("127.0.95.250"), 12, "127.0.95.249");
    std::ofstream(config) << text;
  }
  FakeEndpointList moved(run, run.outputBudget, transport::Address("127.0.95.249:18443"));
  moved.publish({}, false);  // what it knows already
  run.fleet->controller(0).sendSignal(SIGHUP);
  EXPECT_TRUE(
      run.runUntil([&] { return run.readLog().find("the change log has moved") != std::string::npos; }));
  run.fleet->engine(0).disconnect();  // engines die, one goes, then all
  moved.publish({{"s-2", "127.0.95.2:18443", "left"}});
  run.runFor(200ms);
  std::vector<FakeEndpointList::Endpoint> all;
  for (int index = 1; index <= 4; ++index)
    all.push_back({"s-" + std::to_string(index), "127.0.95." + std::to_string(index) + ":18443", "left"});
  moved.publish(all);
  {  // a full house
    std::vector<std::unique_ptr<AdminConnection>> crowd;
    std::vector<int> sockets;
    const transport::Address front = run.fleet->frontAddresses()[0];
    for (int item = 0; item < 700; ++item) {
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
  MisbehavingClients vandals(run, run.outputBudget, run.fleet->frontAddresses()[0], 40);
  run.loadGenerator->start(300, {FakeFleet::lookUpProfile(), {"report", "acme", 0.02, 100ms, 900ms, 20s}});
  run.runFor(500ms);
  for (int index = 0; index < 3; ++index) {
    ASSERT_TRUE(run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", index == 1 ? 350 : 5000}})["ok"]);
    ASSERT_TRUE(run.waitForState("drained", 6s));
    ASSERT_TRUE(run.sendAdminRequest({{"do", "cancel"}})["ok"]);
    ASSERT_TRUE(run.runUntil([&] { return run.loadGenerator->isInService(0); }, 300ms));
    run.runFor(200ms);
  }
  EXPECT_GT(vandals.closedCount(), 100U);
  run.expectNothingLost();
  EXPECT_GT(run.loadGenerator->counters().answersByOutcome[0], 200U);
}

// ---- the commands --------------------------------------------------------------------------------------

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
  const std::string door = run.fleet->adminSocketPath(0);
  run.loadGenerator->start(0, {makeRequestKind("report", "", 900ms), makeRequestKind("report", "", 9000ms)});
  const CommandRun status(run, {"status", "--socket", door});
  EXPECT_EQ(status.exitCode, 0);
  EXPECT_TRUE(status.hasOutput("state          serving")) << status.output;
  run.loadGenerator->send(0, 0);
  const CommandRun well(
      run, {"drain", "--deadline", "5s", "--watch", "--operator", run.fleet->operatorConfigPath(0)});
  EXPECT_EQ(well.exitCode, 0) << well.output;
  EXPECT_TRUE(well.hasOutput("expected end (estimate)") && well.hasOutput("1 done, 0 throttled"))
      << well.output;
  const CommandRun back(run, {"drain", "--cancel", "-s", door});
  EXPECT_EQ(back.exitCode, 0);
  EXPECT_EQ(CommandRun(run, {"drain", "--cancel", "-s", door}).exitCode, 6);
  EXPECT_EQ(CommandRun(run, {"drain", "--deadline=-2s", "-s", door}).exitCode, 6);
  EXPECT_GT(CommandRun(run, {"drain", "--deadline", "soon", "-s", door}).exitCode, 100);
  EXPECT_GT(CommandRun(run, {"drain", "--deadline", "2s", "--cancel", "-s", door}).exitCode, 100);
  EXPECT_EQ(CommandRun(run, {"drain", "-s", run.fleet->directory() + "/nobody"}).exitCode, 5);
  EXPECT_EQ(CommandRun(run, {"status"}).exitCode, 2);
  run.loadGenerator->send(1, 0);
  run.runFor(50ms);
  const CommandRun missed(run, {"drain", "--deadline", "400ms", "--watch", "--json", "-s", door});
  EXPECT_EQ(missed.exitCode, 3) << missed.output;
  EXPECT_TRUE(Json::parse(
      missed.output.substr(missed.output.rfind('\n', missed.output.size() - 2) + 1))["drain"]["missed"]);
  CommandRun(run, {"drain", "--cancel", "-s", door});
  EXPECT_TRUE(run.waitForState("serving"));
  run.loadGenerator->send(1, 0);
  ServerProcess watching(PADDLETRACK_PROGRAM, {"drain", "--deadline", "9s", "--watch", "-s", door},
                         run.fleet->directory() + "/w");
  EXPECT_TRUE(run.waitForState("closing"));
  run.sendAdminRequest({{"do", "cancel"}});
  EXPECT_TRUE(run.runUntil([&] { return watching.exitCode().has_value(); }));
  EXPECT_EQ(watching.exitCode(), 4);
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
  FakeFleetOptions terms;
  terms.controllers = 3;
  ControllerUnderLoad run(86, terms);
  EXPECT_TRUE(
      run.runUntil([&] { return run.loadGenerator->isInService(1) && run.loadGenerator->isInService(2); }));
  run.loadGenerator->start(150, {FakeFleet::lookUpProfile(), {"report", "acme", 0, 20s, 20s, 25s}});
  std::size_t most = 0;
  bool over = false;
  const auto counting = [&]() -> transport::Task<> {
    while (!over) {
      std::size_t out = 0;
      for (std::size_t index = 0; index < 3; ++index) out += run.loadGenerator->isInService(index) ? 0 : 1;
      most = std::max(most, out);
      co_await run.sleepUntil(run.now() + 5ms);
    }
  };
  transport::TaskGroup group(run, [](const char*) {});
  group.spawn(counting());
  std::vector<std::string> roll{"roll", "--deadline", "3s"};
  for (std::size_t index = 0; index < 3; ++index) roll.push_back(run.fleet->adminSocketPath(index));
  const CommandRun well(run, roll);
  EXPECT_EQ(well.exitCode, 0) << well.output;
  EXPECT_TRUE(well.hasOutput("all 3 have been out and serve again"));
  EXPECT_EQ(most, 1U);
  run.loadGenerator->send(1, 1);
  roll[2] = "600ms";
  const CommandRun missed(run, roll);
  EXPECT_EQ(missed.exitCode, 3) << missed.output;
  EXPECT_TRUE(missed.hasOutput("requests were still open at the drain deadline (1 of 3 done)"))
      << missed.output;
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->isInService(1); }, 2s));
  EXPECT_EQ(most, 1U);
  over = true;
  run.expectNothingLost();
}

TEST(AdminCommands, ShowAndOverrideAddressStateWhenOperatorAsks) {
  ControllerUnderLoad run(82);
  const std::string local = "unix:" + run.fleet->directory() + "/engine";
  run.fleet->engine(0).addAddress(transport::Address(local));
  run.fleet->endpointList().publish(
      {{"s-1", "127.0.82.1:18443", "active", "hall", "std-8", 0, {local, "[::1]:18483", "odd:"}}});
  EXPECT_TRUE(
      run.runUntil([&] { return run.readLog().find("address passed over: 'odd:'") != std::string::npos; }));
  run.loadGenerator->start(0, {FakeFleet::lookUpProfile()});
  for (int index = 0; index < 40; ++index) run.loadGenerator->send(0, 0);
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->counters().open == 0; }));
  EXPECT_GT(run.fleet->engine(0).askCountAt(1), 0U);
  const std::string door = run.fleet->adminSocketPath(0);
  const CommandRun shown(run, {"engines", "-s", door, "s-1"});
  EXPECT_EQ(shown.exitCode, 0);
  EXPECT_TRUE(shown.hasOutput("good      " + local) && shown.hasOutput("unknown   127.0.82.1:18443"))
      << shown.output;
  EXPECT_EQ(CommandRun(run, {"engines", "-s", door, "s-9"}).exitCode, 6);
  EXPECT_EQ(CommandRun(run, {"address", "-s", door, "s-9", local, "--avoid", "10m"}).exitCode, 6);
  EXPECT_EQ(CommandRun(run, {"address", "-s", door, "s-1", "x", "--avoid", "10m"}).exitCode, 6);
  EXPECT_GT(CommandRun(run, {"address", "-s", door, "s-1", local}).exitCode, 100);
  EXPECT_EQ(CommandRun(run, {"address", "-s", door, "s-1", local, "--avoid", "2s"}).exitCode, 0);
  const Json engines = run.sendAdminRequest({{"do", "engines"}})["engines"];
  ASSERT_EQ(engines.size(), 4U);
  EXPECT_EQ(engines[0]["addresses"][1]["state"], "avoided");
  EXPECT_GT(engines[0]["addresses"][1]["by_hand_left_ms"], 1000);
  run.fleet->engine(0).disconnect();
  const auto before = run.fleet->engine(0).askCountAt(1);
  for (int item = 0; item < 40; ++item) run.loadGenerator->send(0, 0);
  EXPECT_TRUE(run.runUntil([&] { return run.loadGenerator->counters().open == 0; }));
  EXPECT_EQ(run.fleet->engine(0).askCountAt(1), before);
  EXPECT_TRUE(run.runUntil(
      [&] {
        return run.sendAdminRequest({{"do", "engines"}})["engines"][0]["addresses"][1]["state"] == "good";
      },
      4s));
  run.expectNothingLost();
}

TEST(ExampleClient, ReturnsOutcomeAsExitCodeWhenRequestEnds) {
  ControllerUnderLoad run(80);
  const auto ask = [&](const std::string& type, const std::string& script) {
    return CommandRun(run, {"127.0.80.200:18443", type, "acme", "select 1 /* " + script + " */"},
                      PADDLETRACK_EXAMPLE_CLIENT);
  };
  const CommandRun done = ask("look-up", "pages=2");
  EXPECT_EQ(done.exitCode, 0);
  EXPECT_TRUE(done.hasOutput("\t0\trow\n") && done.hasOutput("\t1\trow\n")) << done.output;
  EXPECT_EQ(ask("load", "answer=500").exitCode, 4);
  EXPECT_EQ(ask("nothing", "").exitCode, 5);
  run.sendAdminRequest({{"do", "drain"}, {"deadline_ms", 0}});
  const CommandRun throttled = ask("look-up", "");
  EXPECT_EQ(throttled.exitCode, 3);
  EXPECT_TRUE(throttled.hasOutput("come back in 2000 ms")) << throttled.output;
}

TEST(Demo, ExitsCleanlyWhenInterrupted) {
  ControllerUnderLoad run(79);
  ServerProcess live(PADDLETRACK_LOADTEST, {"try", "--rate", "50"}, run.fleet->directory() + "/try");
  run.runFor(3500ms);
  live.sendSignal(SIGINT);
  EXPECT_TRUE(run.runUntil([&] { return live.exitCode().has_value(); }));
  EXPECT_EQ(live.exitCode(), 0);
  std::ifstream file(run.fleet->directory() + "/try");
  const std::string said(std::istreambuf_iterator<char>(file), {});
  EXPECT_NE(said.find("c2           in"), std::string::npos) << said;
  EXPECT_NE(said.find(" 0 lost, 0 doubled"), std::string::npos) << said;
}

TEST(JsonLog, WritesOneObjectPerLineWhenFormatIsJson) {
  ControllerUnderLoad run(85);
  run.fleet->controller(0).sendSignal(SIGTERM);
  EXPECT_TRUE(run.runUntil([&] { return run.fleet->controller(0).exitCode().has_value(); }));
  const CommandRun wrong(run,
                         {"serve", "--config", run.fleet->directory() + "/config0.json", "--log", "xml"});
  EXPECT_GT(wrong.exitCode, 100);
  ServerProcess json(PADDLETRACK_PROGRAM,
                     {"serve", "--config", run.fleet->directory() + "/config0.json", "--log", "json",
                      "--log-level", "warning"},
                     run.fleet->directory() + "/json");
  MisbehavingClients vandals(run, run.outputBudget, run.fleet->frontAddresses()[0], 10);
  run.fleet->engine(0).setFault(0, FakeEngine::Fault::unresponsive);
  run.runFor(700ms);
  json.sendSignal(SIGTERM);
  EXPECT_TRUE(run.runUntil([&] { return json.exitCode().has_value(); }));
  std::ifstream file(run.fleet->directory() + "/json");
  std::size_t lines = 0;
  for (std::string line; std::getline(file, line); ++lines) {
    const Json read = Json::parse(line, nullptr, false);
    ASSERT_TRUE(read.is_object()) << line;
    EXPECT_TRUE(read.contains("time") && read.contains("text") && read["topic"] != "serving") << line;
    EXPECT_EQ(read["level"], "warning");
    EXPECT_TRUE(read["topic"] != "request" || read.contains("job")) << line;
  }
  EXPECT_GT(lines, 2U);
}

// ---- clients of the door that mean no good -------------------------------------------------------------

TEST(AdminServer, DisturbsNoRequestWhenAdminClientsMisbehave) {
  ControllerUnderLoad run(96);
  run.loadGenerator->start(100, {FakeFleet::lookUpProfile()});
  AdminConnection garbage(run, run.outputBudget, run.fleet->adminSocketPath(0));
  garbage.send("\xff\xfe{{{\nGET / HTTP/1.1\r\n\r\n{\"v\":9}\n");
  EXPECT_TRUE(run.runUntil([&] { return garbage.receivedLines.size() >= 4; }));
  for (const std::string& receivedLine : garbage.receivedLines)
    EXPECT_FALSE(Json::parse(receivedLine)["ok"]) << receivedLine;
  AdminConnection endless(run, run.outputBudget, run.fleet->adminSocketPath(0));
  endless.send(std::string(40000, 'x'));
  EXPECT_TRUE(run.runUntil([&] { return endless.isClosed; }));
  ASSERT_EQ(endless.receivedLines.size(), 1U);
  EXPECT_EQ(Json::parse(endless.receivedLines[0])["error"]["code"], "too_long");
  // One that asks and asks, and reads nothing.
  const transport::Address address("unix:" + run.fleet->adminSocketPath(0));
  const int deaf = ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0);
  ASSERT_EQ(::connect(deaf, address.nativeHandle(), address.length()), 0);
  const std::string wish = "{\"v\":1,\"do\":\"status\"}\n";
  for (int index = 0; index < 20000; ++index)
    if (::send(deaf, wish.data(), wish.size(), MSG_NOSIGNAL) < 0) {
      if (errno == EPIPE || errno == ECONNRESET) break;
      run.runFor(1ms);
    }
  EXPECT_EQ(run.queryState(), "serving");
  // More than it has room for.
  std::vector<std::unique_ptr<AdminConnection>> crowd;
  for (int item = 0; item < 12; ++item)
    crowd.push_back(std::make_unique<AdminConnection>(run, run.outputBudget, run.fleet->adminSocketPath(0)));
  EXPECT_TRUE(run.runUntil([&] {
    return std::count_if(crowd.begin(), crowd.end(), [](const auto& element) { return element->isClosed; }) >=
           4;
  }));
  EXPECT_EQ(run.queryState(), "serving");  // who was in stays in
  ::close(deaf);
  run.expectNothingLost();
  EXPECT_EQ(run.loadGenerator->counters().answersByOutcome[0], run.loadGenerator->counters().sent);
}

TEST(AdminServer, ClosesIdleAndPartialLineConnectionsButKeepsWatcherWhenIdleTimeoutPasses) {
  TestScheduler loop;
  const TemporaryDirectory folder;
  const std::string path = folder.path() + "/door";
  // In this process: the limits are short here.
  protocol::ControllerConfig told = protocol::decodeControllerConfig(protocol::flattenLines(
      "balancers=1\nzones=a\nmachineTypes=m\nfamilyInfo.kindCores=8\nprofiles.count=1\nprofiles.0.name=q\n"
      "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=400000\nprofiles.0.giveUpUs=2000000\ntickUs="
      "5000\n"));
  const Logger say([](const LogRecord&) {});
  routing::RequestRouter desk(loop, loop.outputBudget, told, {100, {4, 20, 20ms, 400ms}}, 7, say);
  routing::ClientListener clients(loop, loop.outputBudget, transport::Address("127.0.98.9:18443"),
                                  {10, 4096, 65536}, desk, say);
  admin::ServiceLifecycle keeper(loop, desk, clients, "n", {}, say, [] {});
  admin::AdminServerOptions door;
  door.socketPath = path;
  door.idleTimeout = 200ms;
  door.maxUnsentBytes = 8192;
  admin::AdminServer opened(loop, door, keeper, say);
  AdminConnection idle(loop, loop.outputBudget, path), watcher(loop, loop.outputBudget, path),
      half(loop, loop.outputBudget, path);
  watcher.send("{\"v\":1,\"do\":\"watch\",\"every_ms\":20}\n");
  half.send("{\"v\":1,\"do\":\"watch\",\"every_ms\":20}\n{\"v\":");
  const transport::Address address("unix:" + path);
  const int deaf = ::socket(AF_UNIX, SOCK_STREAM, 0);
  const int small = 4096;
  ::setsockopt(deaf, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  ASSERT_EQ(::connect(deaf, address.nativeHandle(), address.length()), 0);
  const std::string wish = "{\"v\":1,\"do\":\"watch\",\"every_ms\":20}\n";
  ASSERT_GT(::send(deaf, wish.data(), wish.size(), MSG_NOSIGNAL), 0);
  loop.runFor(700ms);
  EXPECT_TRUE(idle.isClosed);
  EXPECT_TRUE(half.isClosed);
  EXPECT_FALSE(watcher.isClosed);
  EXPECT_GT(watcher.receivedLines.size(), 20U);
  ::close(deaf);
}

// ---- the socket's path ---------------------------------------------------------------------------------

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
  const TemporaryDirectory folder;
  const std::string path = folder.path() + "/door";
  const auto has = [](const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  };
  EXPECT_EQ(openSocketFile(path), "");
  EXPECT_NE(::access(path.c_str(), F_OK), 0);  // gone with its owner
  {
    admin::SocketFile live(path);
    EXPECT_TRUE(has(openSocketFile(path), "another process listens there"));
    EXPECT_EQ(::access(path.c_str(), F_OK), 0);
    ::unlink(path.c_str());  // replaced while it lives: the other's stays
    admin::SocketFile other(path);
    ::close(live.release());
  }
  const transport::Address address("unix:" + path);
  const int dead = ::socket(AF_UNIX, SOCK_STREAM, 0);
  ASSERT_EQ(::bind(dead, address.nativeHandle(), address.length()), 0);
  ::close(dead);
  EXPECT_EQ(::access(path.c_str(), F_OK), 0);
  EXPECT_EQ(openSocketFile(path), "");
  std::ofstream(path) << "a file";
  EXPECT_TRUE(has(openSocketFile(path), "no socket stands there"));
  EXPECT_EQ(::access(path.c_str(), F_OK), 0);
  EXPECT_TRUE(has(openSocketFile(folder.path() + "/none/door"), "its folder: No such file"));
  EXPECT_TRUE(has(openSocketFile("/proc/door"), "can't be made"));
  EXPECT_TRUE(has(openSocketFile("/" + std::string(200, 'x')), "107 bytes at most"));
  EXPECT_TRUE(has(openSocketFile("run/door"), "a path from the root"));
}

// The file's mode keeps others out; where somebody has opened that, the door itself does.
TEST(AdminServer, RefusesConnectionWhenPeerIsAnotherUser) {
  if (::geteuid() != 0) GTEST_SKIP() << "only root can be somebody else";
  ControllerUnderLoad run(81);
  ::chmod(run.fleet->directory().c_str(), 0755);
  ::chmod(run.fleet->adminSocketPath(0).c_str(), 0666);
  const transport::Address address("unix:" + run.fleet->adminSocketPath(0));
  const pid_t child = ::fork();
  if (child == 0) {
    const int fd = ::socket(AF_UNIX, SOCK_STREAM, 0);
    const std::string wish = "{\"v\":1,\"do\":\"drain\"}\n";
    if (::setgid(65534) != 0 || ::setuid(65534) != 0) ::_exit(9);
    if (::connect(fd, address.nativeHandle(), address.length()) != 0) ::_exit(8);
    char byte = 0;
    (void)!::send(fd, wish.data(), wish.size(), MSG_NOSIGNAL);
    ::_exit(::read(fd, &byte, 1) > 0 ? 1 : 0);  // nothing comes
  }
  int status = -1;
  EXPECT_TRUE(run.runUntil([&] { return ::waitpid(child, &status, WNOHANG) == child; }));
  EXPECT_EQ(status, 0);
  EXPECT_NE(run.readLog().find("user 65534"), std::string::npos) << run.readLog();
  EXPECT_EQ(run.queryState(), "serving");
}

TEST(AdminServer, ExitsWithErrorWhenSocketCannotBeOpened) {
  TestScheduler loop;
  FakeFleetOptions terms;
  terms.program = PADDLETRACK_PROGRAM;
  terms.subnet = 99;
  FakeFleet site(loop, loop.outputBudget, terms);
  loop.runFor(300ms);
  ServerProcess second(
      PADDLETRACK_PROGRAM,
      {"serve", "--config", site.directory() + "/config0.json", "--operator", site.operatorConfigPath(0)},
      site.directory() + "/second");
  EXPECT_TRUE(loop.runUntil([&] { return second.exitCode().has_value(); }));
  EXPECT_NE(second.exitCode(), 0);
}

// ---- the deadline, for each kind of job and wherever its dispatch is -----------------------------------

struct DrainFixture : TestScheduler {
  DrainFixture() {
    protocol::EndpointEvent event;
    event.isSnapshot = true;
    event.entries.push_back({"s-1", "127.0.89.1:18443", "a", "m", 0, EndpointState::ready, 0});
    router.onEndpointUpdate(event);
    loadGenerator.emplace(*this, outputBudget, std::vector{transport::Address("127.0.89.9:18443")}, 3);
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
      *this,  outputBudget,
      config, {100, {config.maxAttemptsPerConnection, 20, config.connectTimeout, config.idleTimeout}},
      7,      logger};
  routing::ClientListener clientListener{
      *this, outputBudget, transport::Address("127.0.89.9:18443"), {20, 4096, 65536}, router, logger};
  admin::ServiceLifecycle lifecycle{*this, router, clientListener, "n", {}, logger, [] {}};
  std::optional<LoadGenerator> loadGenerator;
};

TEST(DrainDeadline, AnswersEachRequestOnceRejectingOnlyWhenRetryIsSafe) {
  enum class Where { dialling, sent, midway };
  for (const Where where : {Where::dialling, Where::sent, Where::midway}) {
    DrainFixture front;
    std::optional<FakeEngine> executor;
    std::optional<UnresponsiveListener> full;
    const transport::Address at("127.0.89.1:18443");
    if (where == Where::dialling) {
      full.emplace(at);
      front.runFor(20ms);
    } else {
      executor.emplace(front, front.outputBudget, at);
    }
    std::vector<LoadGenerator::RequestProfile> kinds;
    for (const char* character : {"again", "keyed", "once"})
      kinds.push_back({character, "", 1, where == Where::midway ? 1ms : 8000ms,
                       where == Where::midway ? 1ms : 8000ms, 9000ms,
                       where == Where::midway ? "pages=3 half" : ""});
    front.loadGenerator->start(0, kinds);
    for (std::size_t index = 0; index < 3; ++index) front.loadGenerator->send(index, 0);
    front.runFor(150ms);
    ASSERT_EQ(front.lifecycle.status().open.requests, 3U);
    ASSERT_EQ(front.lifecycle.status().open.attempts, 3U);
    EXPECT_EQ(front.lifecycle.requestDrain(0ms, {}, "test"), drain::DrainError::none);
    EXPECT_TRUE(front.runUntil([&] { return front.loadGenerator->counters().open == 0; }, 200ms));
    EXPECT_EQ(front.lifecycle.status().open.requests, 0U);
    const bool proven = where == Where::dialling;
    const auto& jobs = front.loadGenerator->requests();
    EXPECT_EQ(jobs[0].outcome, Reply::Outcome::rejected);
    EXPECT_EQ(jobs[1].outcome, proven ? Reply::Outcome::rejected : Reply::Outcome::failed);
    EXPECT_EQ(jobs[2].outcome, proven ? Reply::Outcome::rejected : Reply::Outcome::failed);
    front.runFor(400ms);  // nothing comes after
    EXPECT_EQ(front.loadGenerator->counters().duplicateAnswers +
                  front.loadGenerator->counters().unsolicitedAnswers + front.loadGenerator->counters().lost,
              0U);
    EXPECT_EQ(front.lifecycle.status().open.attempts, 0U);
    EXPECT_EQ(front.lifecycle.state(), drain::State::drained);
    if (executor) {
      EXPECT_EQ(executor->openAskCount(), 0U);  // withdrawn
    }
  }
}

// The kernel took a part of a long statement: its connection is ended, the executor never has the whole, and
// the job is proven not to have run. One that has left whole is not.
TEST(DrainDeadline, RejectsAndNeverDeliversWholeRequestWhenAttemptIsRecalled) {
  for (const bool longOne : {false, true}) {
    DrainFixture front;
    routing::ClientListener wide(front, front.outputBudget, transport::Address("127.0.89.8:18443"),
                                 {20, 40 << 20, 1 << 20}, front.router, front.logger);
    const transport::Address at("127.0.89.1:18443");
    const int listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ASSERT_EQ(::bind(listening, at.nativeHandle(), at.length()), 0);
    ASSERT_EQ(::listen(listening, 8), 0);  // the kernel accepts; nobody reads
    LoadGenerator client(front, front.outputBudget, {transport::Address("127.0.89.8:18443")}, 5);
    const std::size_t length = longOne ? 24 << 20 : 100;
    client.start(0, {{"once", "", 1, 10ms, 10ms, 9000ms, std::string(length, 'x')}});
    client.send(0, 0);
    ASSERT_TRUE(front.runUntil([&] { return front.lifecycle.status().open.attempts == 1; }));
    front.runFor(200ms);
    EXPECT_EQ(front.lifecycle.requestDrain(0ms, {}, "test"), drain::DrainError::none);
    EXPECT_TRUE(front.runUntil([&] { return client.counters().open == 0; }, 500ms));
    EXPECT_EQ(client.requests()[0].outcome, longOne ? Reply::Outcome::rejected : Reply::Outcome::failed);
    front.runFor(50ms);
    const int reading = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    ASSERT_GE(reading, 0);
    std::size_t read = 0;
    std::vector<char> bytes(1 << 20);
    for (int idle = 0; idle < 20;) {
      const ssize_t got = ::read(reading, bytes.data(), bytes.size());
      if (got > 0) read += static_cast<std::size_t>(got), idle = 0;
      if (got == 0 || (got < 0 && errno != EAGAIN)) break;
      if (got < 0) ++idle, front.runFor(5ms);
    }
    EXPECT_EQ(read < length, longOne) << read;
    ::close(reading);
    ::close(listening);
  }
}

}  // namespace
}  // namespace paddletrack::fakes
