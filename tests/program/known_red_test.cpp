// Tests .ci/known-red, which runs the listed tests that CI tolerates as failing.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace paddletrack {
namespace {

// Fails when the test below requests it.
TEST(KnownRed, PassesUnlessPlantedFailureIsRequested) {
  EXPECT_EQ(std::getenv("PADDLETRACK_PLANTED_RED"), nullptr);
}

struct KnownRedRun {
  int exitCode = -1;
  std::string output;

  // Runs the script on a list with this test program, or without a program if `passesProgram` is false.
  explicit KnownRedRun(const std::string& listText, bool passesProgram = true,
                       const std::string& environment = "") {
    const std::string listPath = ::testing::TempDir() + "paddletrack_red_" + std::to_string(::getpid());
    std::ofstream(listPath) << listText;
    const std::string testProgram = std::filesystem::read_symlink("/proc/self/exe").string();
    const std::string command = environment + PADDLETRACK_SOURCE "/.ci/known-red " + listPath +
                                (passesProgram ? " " + testProgram : std::string()) + " 2>&1";
    FILE* pipe = ::popen(command.c_str(), "r");
    char buffer[4096];
    while (std::fgets(buffer, sizeof buffer, pipe)) output += buffer;
    const int status = ::pclose(pipe);
    exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    std::filesystem::remove(listPath);
  }
  bool outputContains(const std::string& text) const { return output.find(text) != output.npos; }
};

TEST(KnownRed, ReportsListedTestsAndRejectsInvalidListsWhenListIsRun) {
  const std::string entry = "KnownRed.PassesUnlessPlantedFailureIsRequested, a cause, issue 40";
  EXPECT_EQ(KnownRedRun("").exitCode, 0);
  EXPECT_EQ(KnownRedRun("\n \n").output, "");
  EXPECT_TRUE(KnownRedRun(entry, false).outputContains("passed over: " + entry));
  const KnownRedRun passingRun(entry), failingRun(entry, true, "PADDLETRACK_PLANTED_RED=1 ");
  EXPECT_TRUE(passingRun.exitCode == 0 &&
              passingRun.outputContains("passes again, take its line out: " + entry))
      << passingRun.output;
  EXPECT_TRUE(failingRun.exitCode == 0 && failingRun.outputContains("still red: " + entry))
      << failingRun.output;
  // Invalid entries: an unknown test, several tests, a missing cause or issue, and a fourth entry.
  const KnownRedRun unknownTest("KnownRed.Unknown, a cause, issue 40");
  EXPECT_TRUE(unknownTest.exitCode == 1 && unknownTest.outputContains("'KnownRed.Unknown' is no test"))
      << unknownTest.output;
  for (const char* invalidEntry :
       {"KnownRed.*, a cause, issue 40", "KnownRed.PassesUnlessPlantedFailureIsRequested",
        "KnownRed.PassesUnlessPlantedFailureIsRequested, a cause"})
    EXPECT_EQ(KnownRedRun(invalidEntry).exitCode, 1) << invalidEntry;
  const KnownRedRun fourEntries(entry + "\n" + entry + "\n" + entry + "\n" + entry + "\n");
  EXPECT_TRUE(fourEntries.exitCode == 1 && fourEntries.outputContains("4 lines, three at most"))
      << fourEntries.output;
}

}  // namespace
}  // namespace paddletrack
