// The program itself, started as the operators start it.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <vector>

#include "transport/connection.hpp"

namespace paddletrack {
namespace {

using namespace std::chrono_literals;
using transport::Address;

struct Program : transport::Scheduler {
  Program() {
    configure("127.0.78.1:18443");
    child = ::fork();
    if (child == 0) {
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
