// The program itself, started as the operators start it.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

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
