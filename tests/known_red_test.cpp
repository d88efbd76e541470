// What CI may pass over (.ci/known-red).
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

// Red where a test below asks for it.
TEST(KnownRed, Planted) { EXPECT_EQ(std::getenv("PADDLETRACK_PLANTED_RED"), nullptr); }

struct Ran {
  int exit = -1;
  std::string said;

  // With this very program, or none.
  explicit Ran(const std::string& lines, bool tests = true, const std::string& before = "") {
    const std::string list = ::testing::TempDir() + "paddletrack_red_" + std::to_string(::getpid());
    std::ofstream(list) << lines;
    const std::string self = std::filesystem::read_symlink("/proc/self/exe").string();
    const std::string command =
        before + PADDLETRACK_SOURCE "/.ci/known-red " + list + (tests ? " " + self : std::string()) + " 2>&1";
    FILE* out = ::popen(command.c_str(), "r");
    char bytes[4096];
    while (std::fgets(bytes, sizeof bytes, out)) said += bytes;
    const int status = ::pclose(out);
    exit = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    std::filesystem::remove(list);
  }
  bool says(const std::string& words) const { return said.find(words) != said.npos; }
};

TEST(KnownRed, LinesArePrintedAndRunAndNothingElseIsPassedOver) {
  const std::string line = "KnownRed.Planted, a cause, issue 40";
  EXPECT_EQ(Ran("").exit, 0);
  EXPECT_EQ(Ran("\n \n").said, "");
  EXPECT_TRUE(Ran(line, false).says("passed over: " + line));
  const Ran green(line), red(line, true, "PADDLETRACK_PLANTED_RED=1 ");
  EXPECT_TRUE(green.exit == 0 && green.says("passes again, take its line out: " + line)) << green.said;
  EXPECT_TRUE(red.exit == 0 && red.says("still red: " + line)) << red.said;
  // One that names no test, or several, or does not tell why, and a fourth.
  const Ran ghost("KnownRed.Ghost, a cause, issue 40");
  EXPECT_TRUE(ghost.exit == 1 && ghost.says("'KnownRed.Ghost' is no test")) << ghost.said;
  for (const char* bad : {"KnownRed.*, a cause, issue 40", "KnownRed.Planted", "KnownRed.Planted, a cause"})
    EXPECT_EQ(Ran(bad).exit, 1) << bad;
  const Ran four(line + "\n" + line + "\n" + line + "\n" + line + "\n");
  EXPECT_TRUE(four.exit == 1 && four.says("4 lines, three at most")) << four.said;
}

}  // namespace
}  // namespace paddletrack
