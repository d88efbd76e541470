// Faults at numbered points, by the rig: a slice of all, and each one that was found to go wrong.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <string>

namespace paddletrack {
namespace {

struct Told {
  int code = -1;
  std::string text;
  bool has(const std::string& what) const { return text.find(what) != std::string::npos; }
};

Told rig(const std::string& arguments) {
  Told told;
  FILE* out = ::popen((PADDLETRACK_RIG " faults " + arguments + " 2>&1").c_str(), "r");
  std::array<char, 4096> bytes;
  for (std::size_t got; (got = std::fread(bytes.data(), 1, bytes.size(), out)) > 0;)
    told.text.append(bytes.data(), got);
  told.code = ::pclose(out);
  return told;
}

// One point: it was reached, and what came of it is as it should be.
Told only(const std::string& point) {
  Told told = rig("--only '" + point + "'");
  EXPECT_EQ(told.code, 0) << told.text;
  EXPECT_FALSE(told.has("not reached")) << told.text;
  return told;
}

TEST(Faults, ASliceOfAllPointsEndsEachJobOnceAndLeavesNothingBehind) {
  const Told told = rig("--most 24 --seed 7");
  EXPECT_EQ(told.code, 0) << told.text;
  EXPECT_TRUE(told.has(", 0 wrong;")) << told.text;
  EXPECT_TRUE(told.has("24 runs")) << told.text;
}

// The job stood among its connection's open ones and was gone: its client's end reached into freed memory.
TEST(Faults, WithoutMemoryForAJobItIsThrottledAndTheConnectionGoesOn) {
  for (const char* point :
       {"table.exchange#3=ENOMEM", "table.open#3=ENOMEM", "table.jobs#3=ENOMEM", "table.references#3=ENOMEM"})
    EXPECT_TRUE(only(point).has("throttled")) << point;
}

// The module's step broke off midway and the process went on from there, into null and freed pointers.
TEST(Faults, ADecisionThatBreaksOffEndsTheProcessWithAnErrorOfItsKind) {
  EXPECT_TRUE(only("table.dispatches#4=ENOMEM").has("(out_of_memory)"));
}

// Dispatches held for a dial were lost when the first of them could not be written.
TEST(Faults, WhatCouldNotBeWrittenIsStillHeld) { only("table.written#3=ENOMEM"); }

// The answer was lost on its way and nobody told: its client waited out its time.
TEST(Faults, AnAnswerThatCantBeQueuedEndsItsConnection) {
  for (const char* point : {"table.unsent#40=ENOMEM", "table.unsent#47=ENOMEM"}) only(point);
}

// An empty entry stayed in the table of executors, and the event counted as taken in.
TEST(Faults, AListEventThatCouldNotBeTakenInIsAskedForAgain) { only("table.executors#3=ENOMEM"); }

// A signal while the door's folder is locked by another that starts ended the process.
TEST(Faults, ASignalDoesNotEndTheWaitForTheDoorsFolder) {
  EXPECT_FALSE(only("socket_file.lock#1=EINTR").has("ended;"));
}

// The read that was broken off was not tried again: SIGTERM stayed unread, the process went on.
TEST(Faults, ASignalWhoseReadIsBrokenOffIsStillHeeded) {
  for (const char* point : {"signals.read#1=EINTR", "signals.read#2=EINTR", "signals.read#4=EINTR"})
    only(point);
}

// SIGTERM was half done: no time was set at which to look again, and the process went on for good.
TEST(Faults, AStopThatBreaksOffEndsTheProcess) {
  EXPECT_TRUE(only("table.answer_by#1=ENOMEM").has("a signal's work: no memory")) << "it went on";
}

TEST(Faults, WhatCantBeHadAtTheStartIsNamedWithItsPlaceAndItsKind) {
  const Told bind = only("front.bind#1=EADDRINUSE");
  EXPECT_TRUE(bind.has(":18443: listen: Address already in use")) << bind.text;
  EXPECT_TRUE(bind.has("(listen_failed)")) << bind.text;
  const Told signals = only("signals.open#1=EMFILE");
  EXPECT_TRUE(signals.has("signals: signalfd: Too many open files\n  (system_failed)")) << signals.text;
}

}  // namespace
}  // namespace paddletrack
