// The program itself, started as the operators start it.
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

struct Program : transport::Scheduler {
  explicit Program(int log = -1) {
    configure("127.0.78.1:18443");
    child = ::fork();
    if (child == 0) {
      if (log >= 0) ::dup2(log, STDERR_FILENO);
      ::execl(PADDLETRACK_PROGRAM, "paddletrack", "serve", "--config", file.c_str(), nullptr);
      ::_exit(127);
    }
  }
  ~Program() {
    if (child > 0) ::kill(child, SIGKILL), ::waitpid(child, nullptr, 0);
    ::unlink(file.c_str());
  }
  void write(const std::string& text) const { std::ofstream(file) << text; }
  void configure(const std::string& log) const {
    write(
        R"({"name":"n","listen":"127.0.78.9:18443","seed":"7","limits":{"cores":1,"memory_mb":64,"sockets":64},)"
        R"("changelog":")" +
        log +
        R"(","known":{"seq":3,"results":[]},"settings":{"balancers":1,"zones":["a"],"machineTypes":["m"],)"
        R"("profiles":[{"name":"q","idempotency":"retryable","onTimeUs":400000,"giveUpUs":1000000}],)"
        R"("limits":{"dialTimeoutUs":20000,"idleCloseUs":400000},"tickUs":5000}})");
  }
  // A change log that accepts and keeps what it is asked.
  transport::Task<> log(const char* at, std::string& asked) {
    transport::Listener listener(*this, Address(at));
    for (;;) {
      auto accepted = co_await listener.accept();
      transport::Connection connection(*this, std::move(accepted), 4096, 65536, unsent);
      while (co_await connection.receive()) {
        asked += connection.input().view();
        connection.input().consume(connection.input().view().size());
      }
    }
  }
  void pass(std::chrono::milliseconds time) {
    transport::Call end(*this, [this] { stop(); });
    end.at(now() + time);
    run();
  }
  bool until(const std::function<bool()>& done) {
    for (int each = 0; each < 500; ++each) {
      if (done()) return true;
      pass(10ms);
    }
    return false;
  }
  std::string file = ::testing::TempDir() + "paddletrack_program_" + std::to_string(::getpid()) + ".json";
  transport::Unsent unsent{1 << 20, 0};
  transport::Group group{*this, [](const char*) {}};
  pid_t child = 0;
};

// Without a handler the first SIGHUP ended the program.
TEST(Program, SighupMovesTheChangeLogAndABadFileChangesNothing) {
  Program program;
  std::string first, second;
  program.group.spawn(program.log("127.0.78.1:18443", first));
  program.group.spawn(program.log("127.0.78.2:18443", second));
  ASSERT_TRUE(program.until([&] { return first.starts_with("since 3\n"); }));
  program.write("{");
  ::kill(program.child, SIGHUP);
  program.pass(100ms);
  EXPECT_EQ(second, "");
  program.configure("127.0.78.2:18443");
  ::kill(program.child, SIGHUP);
  EXPECT_TRUE(program.until([&] { return second.starts_with("since 3\n"); }));
  int status = -1;
  ::kill(program.child, SIGTERM);
  ::kill(program.child, SIGHUP);
  EXPECT_TRUE(program.until([&] { return ::waitpid(program.child, &status, WNOHANG) == program.child; }));
  program.child = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

// A client of the program, which keeps what it is answered.
struct Client {
  explicit Client(Program& of) : program(of) {
    program.group.spawn(hear());
    program.until([&] { return connection != nullptr; });
  }
  transport::Task<> hear() {
    transport::Dialled dialled =
        co_await transport::dial(program, Address("127.0.78.9:18443"), program.now() + 2s);
    if (!dialled.descriptor) co_return;
    connection = std::make_unique<transport::Connection>(program, std::move(dialled.descriptor), 4096, 65536,
                                                         program.unsent);
    while (co_await connection->receive()) {
      heard += connection->input().view();
      connection->input().consume(connection->input().view().size());
    }
    heard += "<closed>";
  }
  void say(std::string_view bytes) { connection->send({transport::Slice(std::string(bytes))}); }
  bool answered() const { return heard.find("refused") != heard.npos || heard.size() > 16; }
  Program& program;
  std::unique_ptr<transport::Connection> connection;
  std::string heard;
};

std::string request() {
  return protocol::thrift::submit(
      1, {{"service", "q"}, {"ref", "00000000000000a1"}, {"allow", "300"}, {"effort", "20.5"}},
      "select * from s_3.t");
}

struct Leaving : Program {
  explicit Leaving(int to = -1) : Program(to) {
    group.spawn(log("127.0.78.1:18443", asked));
    EXPECT_TRUE(until([&] { return asked.starts_with("since 3\n"); }));
  }
  int ended() {
    int status = -1;
    EXPECT_TRUE(until([&] { return ::waitpid(child, &status, WNOHANG) == child; }));
    child = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + status;
  }
  std::string asked;
};

// Told to end and then held off its core, it once ended at its first look at the time, before it had read
// what had come meanwhile: the request was taken and never answered.
TEST(Program, WhatCameWhileItStoodStillOnItsWayOutIsAnswered) {
  Leaving program;
  ::kill(program.child, SIGTERM);
  program.pass(100ms);
  ::kill(program.child, SIGSTOP);
  Client client(program);  // the kernel takes it
  client.say(request());
  program.pass(900ms);
  ::kill(program.child, SIGCONT);
  EXPECT_EQ(program.ended(), 0);
  program.pass(20ms);
  EXPECT_TRUE(client.answered()) << client.heard;
}

// One thread serves and logs: a line that waited for room in a full pipe once stopped all of it for good.
TEST(Program, WhoReadsItsLogNoMoreDoesNotStopIt) {
  int ends[2];
  ASSERT_EQ(::pipe2(ends, O_CLOEXEC), 0);
  ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
  const std::string filler(4096, '.');
  while (::write(ends[1], filler.data(), filler.size()) > 0) {
  }
  ::fcntl(ends[1], F_SETFL, 0);
  Leaving program(ends[1]);
  Client client(program);
  client.say(request());
  EXPECT_TRUE(program.until([&] { return client.answered(); }));
  std::string read(1 << 20, 0);
  ASSERT_GT(::read(ends[0], read.data(), read.size()), 0);  // its reader comes back
  ::kill(program.child, SIGTERM);
  EXPECT_EQ(program.ended(), 0);
  ::close(ends[1]);
  read.resize(static_cast<std::size_t>(::read(ends[0], read.data(), read.size())));
  EXPECT_NE(read.find("leaving: "), read.npos) << read;
  ::close(ends[0]);
}

// A message that is on its way when the process would end is waited for, for a while.
TEST(Program, ARequestHalfHereAtTheEndIsReadAndAnswered) {
  Leaving program;
  ::kill(program.child, SIGTERM);
  program.pass(680ms);
  Client client(program);
  client.say(request().substr(0, 30));
  program.pass(120ms);
  client.say(request().substr(30));
  EXPECT_EQ(program.ended(), 0);
  program.pass(20ms);
  EXPECT_TRUE(client.answered()) << client.heard;
}

}  // namespace
}  // namespace paddletrack

namespace paddletrack {
namespace {

// The children of a process's main thread, from /proc/PID/task/PID/children, as deploy_test reads them.
std::vector<pid_t> childrenOf(pid_t parent) {
  const std::string at = std::to_string(parent);
  std::ifstream listed("/proc/" + at + "/task/" + at + "/children");
  std::vector<pid_t> found;
  for (pid_t each = 0; listed >> each;) found.push_back(each);
  return found;
}

// Whether a process blocks SIGTERM, as `serve` does once it reads its signals from a signalfd.
bool holdsTerm(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.rfind("SigBlk:", 0) == 0) return (std::stoull(line.substr(7), nullptr, 16) >> (SIGTERM - 1)) & 1;
  return false;
}

// A rig killed with SIGKILL (no Ctrl-C, no destructors) takes its controller along: the controller is told by
// the kernel that its parent died and ends as on SIGTERM. This test is the subreaper, so the orphan comes
// here.
TEST(Rig, AKilledRigLeavesNoControllerBehind) {
  ASSERT_EQ(::prctl(PR_SET_CHILD_SUBREAPER, 1), 0);
  const pid_t rig = ::fork();
  if (rig == 0) {
    const int quiet = ::open("/dev/null", O_WRONLY);
    ::dup2(quiet, STDOUT_FILENO), ::dup2(quiet, STDERR_FILENO);
    ::execl(PADDLETRACK_RIG, "paddletrack_rig", "soak", "--minutes", "0.5", "--rate", "20", nullptr);
    ::_exit(127);
  }
  std::vector<pid_t> controllers;
  for (int wait = 0; wait < 100 && controllers.empty(); ++wait) {
    std::this_thread::sleep_for(50ms);
    controllers = childrenOf(rig);
  }
  ASSERT_EQ(controllers.size(), 1U) << "the rig started no controller";
  const pid_t controller = controllers.front();
  // Killed before it holds SIGTERM for itself (signalfd), it would end by the signal: wait for that mask.
  for (int wait = 0; wait < 200 && !holdsTerm(controller); ++wait) std::this_thread::sleep_for(25ms);
  ASSERT_TRUE(holdsTerm(controller)) << "the controller did not start within 5 s";
  ::kill(rig, SIGKILL);
  ::waitpid(rig, nullptr, 0);
  int status = 0;
  pid_t ended = 0;
  for (int wait = 0; wait < 100 && ended == 0; ++wait) {
    std::this_thread::sleep_for(50ms);
    ended = ::waitpid(controller, &status, WNOHANG);
  }
  if (ended == 0) ::kill(controller, SIGKILL), ::waitpid(controller, nullptr, 0);
  ::prctl(PR_SET_CHILD_SUBREAPER, 0);
  ASSERT_EQ(ended, controller) << "the controller outlived its rig by 5 s";
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "it ended as on SIGTERM, with 0";
}

}  // namespace
}  // namespace paddletrack
