// Injects failures with paddletrack_loadtest: at a sample of all fail points, and at each fail point that has
// revealed a bug before.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <string>

namespace paddletrack {
namespace {

struct RunOutput {
  int exitCode = -1;
  std::string text;
  bool contains(const std::string& fragment) const { return text.find(fragment) != std::string::npos; }
};

RunOutput runFailPoints(const std::string& arguments) {
  RunOutput result;
  FILE* pipe = ::popen((PADDLETRACK_LOADTEST " faults " + arguments + " 2>&1").c_str(), "r");
  std::array<char, 4096> buffer{};
  for (;;) {
    const std::size_t count = std::fread(buffer.data(), 1, buffer.size(), pipe);
    if (count == 0) break;
    result.text.append(buffer.data(), count);
  }
  result.exitCode = ::pclose(pipe);
  return result;
}

// Expects that the fail point was reached and that the checks of the run passed.
RunOutput runSinglePoint(const std::string& point) {
  RunOutput result = runFailPoints("--only '" + point + "'");
  EXPECT_EQ(result.exitCode, 0) << result.text;
  EXPECT_FALSE(result.contains("not reached")) << result.text;
  return result;
}

TEST(FailPoint, ReportsNothingWrongWhenSampleOfAllPointsFails) {
  const RunOutput output = runFailPoints("--most 24 --seed 7");
  EXPECT_EQ(output.exitCode, 0) << output.text;
  EXPECT_TRUE(output.contains(", 0 failed;")) << output.text;
  EXPECT_TRUE(output.contains("24 runs")) << output.text;
}

// A connection kept a pointer to a freed request and used it when the client disconnected.
TEST(FailPoint, RejectsRequestWhenMemoryForItIsExhausted) {
  for (const char* point :
       {"table.exchange#3=ENOMEM", "table.open#3=ENOMEM", "table.jobs#3=ENOMEM", "table.references#3=ENOMEM"})
    EXPECT_TRUE(runSinglePoint(point).contains("out of memory, rejected")) << point;
}

// The process kept running after a decision had been interrupted, with null and freed pointers in its state.
TEST(FailPoint, EndsProcessWithOutOfMemoryErrorWhenDecisionFails) {
  EXPECT_TRUE(runSinglePoint("table.dispatches#4=ENOMEM").contains("(out_of_memory)"));
}

// Attempts that waited for a connection were lost if the first of them could not be written.
TEST(FailPoint, PassesRunChecksWhenHeldAttemptCannotBeWritten) { runSinglePoint("table.written#3=ENOMEM"); }

// The response was lost without an error, and the client waited until its timeout.
TEST(FailPoint, PassesRunChecksWhenResponseCannotBeQueued) {
  for (const char* point : {"table.unsent#40=ENOMEM", "table.unsent#47=ENOMEM"}) runSinglePoint(point);
}

// An empty entry remained in the engine registry, and the watch event was considered applied.
TEST(FailPoint, PassesRunChecksWhenWatchEventCannotBeApplied) { runSinglePoint("table.executors#3=ENOMEM"); }

// A signal ended the process while it waited for the lock of the socket's directory, which another starting
// process held.
TEST(FailPoint, StartsWhenSignalInterruptsSocketFolderLock) {
  EXPECT_FALSE(runSinglePoint("socket_file.lock#1=EINTR").contains("exited;"));
}

// An interrupted read was not retried, so SIGTERM remained unread and the process kept running.
TEST(FailPoint, PassesRunChecksWhenSignalReadIsInterrupted) {
  for (const char* point : {"signals.read#1=EINTR", "signals.read#2=EINTR", "signals.read#4=EINTR"})
    runSinglePoint(point);
}

// SIGTERM was handled only in part: no timer was set to check for the end, and the process never ended.
TEST(FailPoint, EndsProcessWhenStopFails) {
  EXPECT_TRUE(runSinglePoint("table.answer_by#1=ENOMEM").contains("a signal's work: no memory"))
      << "the process kept running";
}

TEST(FailPoint, NamesResourceAndErrorKindWhenStartFails) {
  const RunOutput bind = runSinglePoint("front.bind#1=EADDRINUSE");
  EXPECT_TRUE(bind.contains(":18443: listen: Address already in use")) << bind.text;
  EXPECT_TRUE(bind.contains("(listen_failed)")) << bind.text;
  const RunOutput signals = runSinglePoint("signals.open#1=EMFILE");
  EXPECT_TRUE(signals.contains("signals: signalfd: Too many open files\n  (system_failed)")) << signals.text;
}

}  // namespace
}  // namespace paddletrack
