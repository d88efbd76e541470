// Faults at numbered points, by the rig: a slice of all, and each one that was found to go wrong.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <string>

namespace paddletrack {
namespace {

struct RunOutput {
  int exitCode = -1;
  std::string text;
  bool contains(const std::string& part) const { return text.find(part) != std::string::npos; }
};

RunOutput runFailPoints(const std::string& arguments) {
  RunOutput result;
  FILE* pipe = ::popen((PADDLETRACK_LOADTEST " faults " + arguments + " 2>&1").c_str(), "r");
  std::array<char, 4096> buffer;
  for (std::size_t count; (count = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0;)
    result.text.append(buffer.data(), count);
  result.exitCode = ::pclose(pipe);
  return result;
}

// One point: it was reached, and what came of it is as it should be.
RunOutput runSinglePoint(const std::string& point) {
  RunOutput result = runFailPoints("--only '" + point + "'");
  EXPECT_EQ(result.exitCode, 0) << result.text;
  EXPECT_FALSE(result.contains("not reached")) << result.text;
  return result;
}

TEST(FailPoint, ReportsNothingWrongWhenSampleOfAllPointsFails) {
  const RunOutput told = runFailPoints("--most 24 --seed 7");
  EXPECT_EQ(told.exitCode, 0) << told.text;
  EXPECT_TRUE(told.contains(", 0 wrong;")) << told.text;
  EXPECT_TRUE(told.contains("24 runs")) << told.text;
}

// The job stood among its connection's open ones and was gone: its client's end reached into freed memory.
TEST(FailPoint, RejectsRequestWhenMemoryForItIsExhausted) {
  for (const char* point :
       {"table.exchange#3=ENOMEM", "table.open#3=ENOMEM", "table.jobs#3=ENOMEM", "table.references#3=ENOMEM"})
    EXPECT_TRUE(runSinglePoint(point).contains("throttled")) << point;
}

// The module's step broke off midway and the process went on from there, into null and freed pointers.
TEST(FailPoint, EndsProcessWithOutOfMemoryErrorWhenDecisionFails) {
  EXPECT_TRUE(runSinglePoint("table.dispatches#4=ENOMEM").contains("(out_of_memory)"));
}

// Dispatches held for a dial were lost when the first of them could not be written.
TEST(FailPoint, PassesRunChecksWhenHeldAttemptCannotBeWritten) { runSinglePoint("table.written#3=ENOMEM"); }

// The answer was lost on its way and nobody told: its client waited out its time.
TEST(FailPoint, PassesRunChecksWhenResponseCannotBeQueued) {
  for (const char* point : {"table.unsent#40=ENOMEM", "table.unsent#47=ENOMEM"}) runSinglePoint(point);
}

// An empty entry stayed in the table of executors, and the event counted as taken in.
TEST(FailPoint, PassesRunChecksWhenWatchEventCannotBeApplied) { runSinglePoint("table.executors#3=ENOMEM"); }

// A signal while the door's folder is locked by another that starts ended the process.
TEST(FailPoint, StartsWhenSignalInterruptsSocketFolderLock) {
  EXPECT_FALSE(runSinglePoint("socket_file.lock#1=EINTR").contains("ended;"));
}

// The read that was broken off was not tried again: SIGTERM stayed unread, the process went on.
TEST(FailPoint, PassesRunChecksWhenSignalReadIsInterrupted) {
  for (const char* point : {"signals.read#1=EINTR", "signals.read#2=EINTR", "signals.read#4=EINTR"})
    runSinglePoint(point);
}

// SIGTERM was half done: no time was set at which to look again, and the process went on for good.
TEST(FailPoint, EndsProcessWhenStopFails) {
  EXPECT_TRUE(runSinglePoint("table.answer_by#1=ENOMEM").contains("a signal's work: no memory"))
      << "it went on";
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
