// Tests the paddletrack program as a process with its command line and signals.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <thread>
#include <vector>

#include "protocol/thrift.hpp"
#include "transport/connection.hpp"

namespace paddletrack {
namespace {

using namespace std::chrono_literals;
using transport::Address;

struct ServerProcess : transport::Scheduler {
  explicit ServerProcess(int logDescriptor = -1) {
    configureEndpointList("127.0.78.1:18443");
    pid = ::fork();
    if (pid == 0) {
      if (logDescriptor >= 0) ::dup2(logDescriptor, STDERR_FILENO);
      ::execl(PADDLETRACK_PROGRAM, "paddletrack", "serve", "--config", configPath.c_str(), nullptr);
      ::_exit(127);
    }
  }
  ~ServerProcess() {
    if (pid > 0) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
    ::unlink(configPath.c_str());
  }
  void writeConfig(const std::string& text) const { std::ofstream(configPath) << text; }
  void configureEndpointList(const std::string& listAddress) const {
    writeConfig(
        R"({"name":"n","listen":"127.0.78.9:18443","seed":"7","limits":{"cores":1,"memory_mb":64,"sockets":64},)"
        R"("changelog":")" +
        listAddress +
        R"(","known":{"seq":3,"results":[]},"settings":{"balancers":1,"zones":["a"],"machineTypes":["m"],)"
        R"("profiles":[{"name":"q","idempotency":"retryable","onTimeUs":400000,"giveUpUs":1000000}],)"
        R"("limits":{"dialTimeoutUs":20000,"idleCloseUs":400000},"tickUs":5000}})");
  }
  // An endpoint list that accepts connections and records the requests without answering them.
  transport::Task<> serveEndpointList(const char* address, std::string& received) {
    transport::Listener listener(*this, Address(address));
    for (;;) {
      auto accepted = co_await listener.accept();
      transport::Connection connection(*this, std::move(accepted), 4096, 65536, memoryBudget);
      while (co_await connection.receive()) {
        received += connection.input().view();
        connection.input().consume(connection.input().view().size());
      }
    }
  }
  void runFor(std::chrono::milliseconds duration) {
    transport::ScheduledCall stopTimer(*this, [this] { stop(); });
    stopTimer.runAt(now() + duration);
    run();
  }
  bool waitUntil(const std::function<bool()>& condition) {
    for (int index = 0; index < 500; ++index) {
      if (condition()) return true;
      runFor(10ms);
    }
    return false;
  }
  std::string configPath =
      ::testing::TempDir() + "paddletrack_program_" + std::to_string(::getpid()) + ".json";
  transport::MemoryBudget memoryBudget{1 << 20, 0};
  transport::TaskGroup tasks{*this, [](const char*) {}};
  pid_t pid = 0;
};

// Guards against a missing SIGHUP handler, with which the first SIGHUP terminated the program.
TEST(ServerProcess, FollowsNewEndpointListOnSighupOnlyWhenConfigIsValid) {
  ServerProcess program;
  std::string firstRequests, secondRequests;
  program.tasks.spawn(program.serveEndpointList("127.0.78.1:18443", firstRequests));
  program.tasks.spawn(program.serveEndpointList("127.0.78.2:18443", secondRequests));
  ASSERT_TRUE(program.waitUntil([&] { return firstRequests.starts_with("since 3\n"); }));
  program.writeConfig("{");
  ::kill(program.pid, SIGHUP);
  program.runFor(100ms);
  EXPECT_EQ(secondRequests, "");
  program.configureEndpointList("127.0.78.2:18443");
  ::kill(program.pid, SIGHUP);
  EXPECT_TRUE(program.waitUntil([&] { return secondRequests.starts_with("since 3\n"); }));
  int status = -1;
  ::kill(program.pid, SIGTERM);
  ::kill(program.pid, SIGHUP);
  EXPECT_TRUE(program.waitUntil([&] { return ::waitpid(program.pid, &status, WNOHANG) == program.pid; }));
  program.pid = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

// A client of the program that records the bytes it receives.
struct TestClient {
  explicit TestClient(ServerProcess& serverProcess) : server(serverProcess) {
    server.tasks.spawn(readResponses());
    server.waitUntil([&] { return connection != nullptr; });
  }
  transport::Task<> readResponses() {
    transport::ConnectResult connectResult =
        co_await transport::connect(server, Address("127.0.78.9:18443"), server.now() + 2s);
    if (!connectResult.descriptor) co_return;
    connection = std::make_unique<transport::Connection>(server, std::move(connectResult.descriptor), 4096,
                                                         65536, server.memoryBudget);
    while (co_await connection->receive()) {
      received += connection->input().view();
      connection->input().consume(connection->input().view().size());
    }
    received += "<closed>";
  }
  void sendBytes(std::string_view bytes) { connection->send({transport::BufferSlice(std::string(bytes))}); }
  bool hasAnswer() const { return received.find("refused") != received.npos || received.size() > 16; }
  ServerProcess& server;
  std::unique_ptr<transport::Connection> connection;
  std::string received;
};

std::string submitFrame() {
  return protocol::thrift::encodeSubmit(
      1, {{"service", "q"}, {"ref", "00000000000000a1"}, {"allow", "300"}, {"effort", "20.5"}},
      "select * from s_3.t");
}

struct FollowingServer : ServerProcess {
  explicit FollowingServer(int logDescriptor = -1) : ServerProcess(logDescriptor) {
    tasks.spawn(serveEndpointList("127.0.78.1:18443", received));
    EXPECT_TRUE(waitUntil([&] { return received.starts_with("since 3\n"); }));
  }
  int waitForExit() {
    int status = -1;
    EXPECT_TRUE(waitUntil([&] { return ::waitpid(pid, &status, WNOHANG) == pid; }));
    pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + status;
  }
  std::string received;
};

// Guards against losing a request that arrives while the stopping process is not scheduled: the process once
// exited at its first check of the time, before it had read its sockets, so that the request was never
// answered.
TEST(ServerProcess, AnswersRequestReceivedWhenStoppedDuringShutdown) {
  FollowingServer program;
  ::kill(program.pid, SIGTERM);
  program.runFor(100ms);
  ::kill(program.pid, SIGSTOP);
  TestClient client(program);  // the kernel accepts the connection
  client.sendBytes(submitFrame());
  program.runFor(900ms);
  ::kill(program.pid, SIGCONT);
  EXPECT_EQ(program.waitForExit(), 0);
  program.runFor(20ms);
  EXPECT_TRUE(client.hasAnswer()) << client.received;
}

// The same thread serves and logs: a log line that blocked on a full pipe once stopped the program
// permanently.
TEST(ServerProcess, KeepsServingWhenLogPipeIsFull) {
  int pipeEnds[2];
  ASSERT_EQ(::pipe2(pipeEnds, O_CLOEXEC), 0);
  ::fcntl(pipeEnds[1], F_SETFL, O_NONBLOCK);
  const std::string filler(4096, '.');
  while (::write(pipeEnds[1], filler.data(), filler.size()) > 0) {
  }
  ::fcntl(pipeEnds[1], F_SETFL, 0);
  FollowingServer program(pipeEnds[1]);
  TestClient client(program);
  client.sendBytes(submitFrame());
  EXPECT_TRUE(program.waitUntil([&] { return client.hasAnswer(); }));
  std::string logText(1 << 20, 0);
  ASSERT_GT(::read(pipeEnds[0], logText.data(), logText.size()), 0);  // the reader resumes
  ::kill(program.pid, SIGTERM);
  EXPECT_EQ(program.waitForExit(), 0);
  ::close(pipeEnds[1]);
  logText.resize(static_cast<std::size_t>(::read(pipeEnds[0], logText.data(), logText.size())));
  EXPECT_NE(logText.find("leaving: "), logText.npos) << logText;
  ::close(pipeEnds[0]);
}

// A process that is about to exit waits for a limited time for the rest of a partially received message.
TEST(ServerProcess, AnswersRequestWhenItsFrameCompletesDuringShutdown) {
  FollowingServer program;
  ::kill(program.pid, SIGTERM);
  program.runFor(680ms);
  TestClient client(program);
  client.sendBytes(submitFrame().substr(0, 30));
  program.runFor(120ms);
  client.sendBytes(submitFrame().substr(30));
  EXPECT_EQ(program.waitForExit(), 0);
  program.runFor(20ms);
  EXPECT_TRUE(client.hasAnswer()) << client.received;
}

}  // namespace
}  // namespace paddletrack

namespace paddletrack {
namespace {

// Returns the children of a process's main thread, from /proc/PID/task/PID/children.
std::vector<pid_t> findChildren(pid_t parent) {
  const std::string pidText = std::to_string(parent);
  std::ifstream childrenFile("/proc/" + pidText + "/task/" + pidText + "/children");
  std::vector<pid_t> children;
  for (pid_t child = 0; childrenFile >> child;) children.push_back(child);
  return children;
}

// Whether a process blocks SIGTERM, as `serve` does when it receives signals by a signalfd.
bool blocksSigterm(pid_t pid) {
  std::ifstream statusFile("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(statusFile, line);)
    if (line.rfind("SigBlk:", 0) == 0) return (std::stoull(line.substr(7), nullptr, 16) >> (SIGTERM - 1)) & 1;
  return false;
}

// A load test killed with SIGKILL (no Ctrl-C, no destructors) must not leave its controller running: the
// kernel signals the parent's death to the controller, which exits as on SIGTERM. This test is the subreaper,
// so that it becomes the parent of the orphan.
TEST(Loadtest, LeavesNoControllerRunningWhenKilled) {
  ASSERT_EQ(::prctl(PR_SET_CHILD_SUBREAPER, 1), 0);
  const pid_t loadTest = ::fork();
  if (loadTest == 0) {
    const int devNull = ::open("/dev/null", O_WRONLY);
    ::dup2(devNull, STDOUT_FILENO), ::dup2(devNull, STDERR_FILENO);
    ::execl(PADDLETRACK_LOADTEST, "paddletrack_loadtest", "soak", "--minutes", "0.5", "--rate", "20",
            nullptr);
    ::_exit(127);
  }
  std::vector<pid_t> controllers;
  for (int attempt = 0; attempt < 100 && controllers.empty(); ++attempt) {
    std::this_thread::sleep_for(50ms);
    controllers = findChildren(loadTest);
  }
  ASSERT_EQ(controllers.size(), 1U) << "the load test started no controller";
  const pid_t controller = controllers.front();
  // A controller that does not block SIGTERM yet (signalfd) would be terminated by it: wait for the signal
  // mask.
  for (int attempt = 0; attempt < 200 && !blocksSigterm(controller); ++attempt)
    std::this_thread::sleep_for(25ms);
  ASSERT_TRUE(blocksSigterm(controller)) << "the controller did not start within 5 s";
  ::kill(loadTest, SIGKILL);
  ::waitpid(loadTest, nullptr, 0);
  int status = 0;
  pid_t exitedPid = 0;
  for (int attempt = 0; attempt < 100 && exitedPid == 0; ++attempt) {
    std::this_thread::sleep_for(50ms);
    exitedPid = ::waitpid(controller, &status, WNOHANG);
  }
  if (exitedPid == 0) ::kill(controller, SIGKILL), ::waitpid(controller, nullptr, 0);
  ::prctl(PR_SET_CHILD_SUBREAPER, 0);
  ASSERT_EQ(exitedPid, controller) << "the controller outlived the load test by 5 s";
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0)
      << "the controller must exit with 0, as on SIGTERM";
}

}  // namespace
}  // namespace paddletrack
