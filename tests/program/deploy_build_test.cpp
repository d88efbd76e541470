// Tests .ci/deploy-build, which checks that the build line of the deploy file depends only on declared
// packages and committed files. Each sample project violates one of its conditions.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "fakes/temporary_directory.hpp"

namespace paddletrack {
namespace {

namespace fs = std::filesystem;

// The folder of the system's libraries, which Debian names after the kind of machine.
#if defined(__x86_64__)
constexpr const char* kLibraryFolder = "/usr/lib/x86_64-linux-gnu/";
#elif defined(__aarch64__)
constexpr const char* kLibraryFolder = "/usr/lib/aarch64-linux-gnu/";
#else
#error "this kind of machine has no folder of libraries here"
#endif

struct CommandResult {
  int exitCode = -1;
  std::string output;
};

CommandResult runCommand(const std::string& command) {
  CommandResult result;
  FILE* pipe = ::popen((command + " 2>&1").c_str(), "r");
  char buffer[4096];
  while (std::fgets(buffer, sizeof buffer, pipe)) result.output += buffer;
  const int status = ::pclose(pipe);
  result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

// Creates a git repository with a project that passes the check: one program and one declared package.
class DeployBuild : public ::testing::Test {
 protected:
  DeployBuild() {
    // The unprivileged user that runs the build must be able to reach the directory for temporary files.
    fs::permissions(directory_.path(), fs::perms::others_exec, fs::perm_options::add);
    fs::create_directories(temporaryPath_);
    write("src/answer.hpp", "inline int answer() { return 0; }\n");
    write("src/main.cpp", kMainSource);
    write("CMakeLists.txt", kCMakeLists);
    write("deploy/balancer.toml", kDeployFile);
    write("examples/config.json", "{}\n");
    EXPECT_EQ(runCommand("git init --quiet " + root_).exitCode, 0);
  }

  void write(const std::string& path, const std::string& text) const {
    const fs::path file = fs::path(root_) / path;
    fs::create_directories(file.parent_path());
    std::ofstream(file) << text;
  }

  // Replaces `part` of the file, which must contain it.
  void replace(const std::string& path, const std::string& part, const std::string& replacement) const {
    std::ifstream file(fs::path(root_) / path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    const std::size_t position = text.find(part);
    ASSERT_NE(position, std::string::npos) << part;
    write(path, text.replace(position, part.size(), replacement));
  }

  // Commits everything except `uncommittedPath` and runs the check.
  CommandResult check(const std::string& uncommittedPath = "") const {
    const std::string git = "git -C " + root_ + " ";
    const std::string unstage =
        uncommittedPath.empty() ? "" : git + "rm --quiet --cached " + uncommittedPath + " && ";
    const CommandResult commit = runCommand(
        git + "add --all && " + unstage + git +
        "-c user.name=test -c user.email=test@localhost commit --quiet --allow-empty --message test");
    EXPECT_EQ(commit.exitCode, 0) << commit.output;
    // The check must ignore the caller's CPATH, with which a build that lacks a header of the project would
    // succeed.
    return runCommand("TMPDIR=" + temporaryPath_ + " CPATH=" + root_ +
                      "/src " PADDLETRACK_SOURCE "/.ci/deploy-build " + root_);
  }

  void expectRejected(const std::vector<std::string>& findings,
                      const std::string& uncommittedPath = "") const {
    const CommandResult result = check(uncommittedPath);
    EXPECT_EQ(result.exitCode, 1);
    for (const std::string& finding : findings)
      EXPECT_NE(result.output.find("deploy-build: " + finding), std::string::npos) << finding << "\n"
                                                                                   << result.output;
    EXPECT_TRUE(fs::is_empty(temporaryPath_));
  }

  // Runs the check with a deploy file that differs from the valid one in one part.
  void expectDeployFileRejected(const std::string& part, const std::string& replacement,
                                const std::string& finding) const {
    write("deploy/balancer.toml", kDeployFile);
    replace("deploy/balancer.toml", part, replacement);
    expectRejected({finding});
  }

  // Listens at GW_LISTEN, like a controller, until it is terminated. Aborts if it is given an argument.
  static constexpr const char* kMainSource = R"(#include <CLI/Version.hpp>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cstdlib>
#include <string>
#include "answer.hpp"
int main(int count, char**) {
  if (count > 1) std::abort();
  const char* address = std::getenv("GW_LISTEN");
  if (!address) return answer();
  const std::string text = address;
  sockaddr_in listener{};
  listener.sin_family = AF_INET;
  listener.sin_port = htons(static_cast<in_port_t>(std::stoi(text.substr(text.find(':') + 1))));
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&listener), sizeof listener) != 0) return 1;
  ::listen(descriptor, 1);
  ::pause();
}
)";
  static constexpr const char* kCMakeLists =
      "cmake_minimum_required(VERSION 3.25)\n"
      "project(sample LANGUAGES CXX)\n"
      "add_executable(sample src/main.cpp)\n";
  static constexpr const char* kDeployFile =
      "build = \"test $(id -u) != 0 && cmake -B build && cmake --build build\"\n"
      "run = \"exec build/sample\"\n"
      "sim = \"exec build/sample\"\n"
      "policy = [\"src/main.cpp\"]\n"
      "node = [\"src\"]\n"
      "packages = [\"libcli11-dev\"]\n";

  fakes::TemporaryDirectory directory_;
  const std::string root_ = directory_.path() + "/project";
  const std::string temporaryPath_ = directory_.path() + "/temporary";
};

TEST_F(DeployBuild, PassesAndLeavesNothingWhenAllIsDeclaredAndCommitted) {
  const CommandResult result = check();
  EXPECT_EQ(result.exitCode, 0) << result.output;
  EXPECT_NE(result.output.find("'run' and 'sim' start"), std::string::npos) << result.output;
  EXPECT_TRUE(fs::is_empty(temporaryPath_));
}

TEST_F(DeployBuild, NamesHeaderAndPackageWhenPackageIsNoLongerDeclared) {
  replace("deploy/balancer.toml", "\"libcli11-dev\"", "");
  expectRejected(
      {"/usr/include/CLI/Version.hpp: belongs to libcli11-dev, which deploy/balancer.toml does not"});
}

TEST_F(DeployBuild, NamesHeaderWhenItsPackageIsUndeclared) {
  replace("src/main.cpp", "#include", "#include <glpk.h>\n#include");
  expectRejected({"/usr/include/glpk.h: belongs to libglpk-dev, which"});
}

TEST_F(DeployBuild, NamesHeaderWhenItBelongsToNoPackage) {
  write("../outside.hpp", "");
  const std::string outside = fs::canonical(root_ + "/../outside.hpp").string();
  replace("src/main.cpp", "#include", "#include \"" + outside + "\"\n#include");
  expectRejected({outside + ": belongs to no package"});
}

TEST_F(DeployBuild, NamesConfigurationWhenItsPackageIsUndeclared) {
  replace("CMakeLists.txt", "add_executable", "find_package(nlohmann_json REQUIRED)\nadd_executable");
  expectRejected(
      {"/usr/share/cmake/nlohmann_json/nlohmann_jsonConfig.cmake: belongs to nlohmann-json3-dev, which"});
}

// The runtime library is declared, but the symbolic link that the linker uses belongs to the development
// package.
TEST_F(DeployBuild, NamesLibraryWhenItsPackageIsUndeclared) {
  replace("deploy/balancer.toml", "\"libcli11-dev\"", "\"libcli11-dev\", \"libglpk40\"");
  write("CMakeLists.txt",
        std::string(kCMakeLists) + "target_link_libraries(sample PRIVATE -Wl,--no-as-needed glpk)\n");
  expectRejected({std::string(kLibraryFolder) + "libglpk.so: belongs to libglpk-dev, which"});
}

TEST_F(DeployBuild, NamesPackageWhenDeclaredPackageIsNotInstalled) {
  replace("deploy/balancer.toml", "\"libcli11-dev\"", "\"libcli11-dev\", \"libpaddletrack-unknown-dev\"");
  expectRejected({"package libpaddletrack-unknown-dev is not installed"});
}

TEST_F(DeployBuild, NamesFileWhenIncludedHeaderIsNotCommitted) {
  expectRejected({"git doesn't have src/answer.hpp"}, "src/answer.hpp");
}

TEST_F(DeployBuild, NamesFileWhenSourceIsNotCommitted) {
  write(".gitignore", "*.generated.cpp\n");
  write("src/table.generated.cpp", "");
  replace("CMakeLists.txt", "src/main.cpp", "src/main.cpp src/table.generated.cpp");
  expectRejected({"git doesn't have src/table.generated.cpp"});
}

TEST_F(DeployBuild, NamesPlaceWhenLookupIsOptionalAndLibraryIsThere) {
  replace("CMakeLists.txt", "add_executable", "find_library(GLPK glpk)\nadd_executable");
  expectRejected({"CMakeLists.txt:3: find_library(GLPK glpk): is not REQUIRED: what is built turns on"});
}

TEST_F(DeployBuild, NamesPlaceWhenLookupIsOptionalAndLibraryIsMissing) {
  replace("CMakeLists.txt", "add_executable", "find_library(ABSENT paddletrack_unknown)\nadd_executable");
  expectRejected(
      {"CMakeLists.txt:3: find_library(ABSENT paddletrack_unknown): is not REQUIRED: what is built"});
}

TEST_F(DeployBuild, NamesPlaceWhenProjectProbesForHeaders) {
  replace("CMakeLists.txt", "add_executable",
          "if(EXISTS /usr/include/paddletrack_unknown.h)\nendif()\n"
          "include(CheckIncludeFileCXX)\ncheck_include_file_cxx(paddletrack_unknown.h HAS_UNKNOWN)\n"
          "add_executable");
  replace("src/main.cpp", "#include", "#if __has_include(<paddletrack_unknown.h>)\n#endif\n#include");
  expectRejected(
      {"CMakeLists.txt:3: if(EXISTS /usr/include/paddletrack_unknown.h): what is built turns on",
       "CMakeLists.txt:6: check_include_file_cxx(paddletrack_unknown.h HAS_UNKNOWN): what is built",
       "src/main.cpp:1: #if __has_include(<paddletrack_unknown.h>): what is built turns on"});
}

TEST_F(DeployBuild, NamesKeyAndPathWhenPathIsMissingAfterBuild) {
  expectDeployFileRejected("run = \"exec build/sample", "run = \"exec build/other",
                           "'run' of deploy/balancer.toml: build/other is not there after the build");
  expectDeployFileRejected("sim = \"exec build/sample", "sim = \"exec build/other",
                           "'sim' of deploy/balancer.toml: build/other is not there after the build");
  expectDeployFileRejected("src/main.cpp", "src/other.cpp",
                           "'policy' of deploy/balancer.toml: src/other.cpp is not there after the build");
  expectDeployFileRejected("node = [\"src\"", "node = [\"src\", \"net\"",
                           "'node' of deploy/balancer.toml: net is not there after the build");
}

TEST_F(DeployBuild, NamesProgramWhenItCannotBeStarted) {
  write("src/not_a_program",
        "\x7f"
        "ELF");
  fs::permissions(root_ + "/src/not_a_program", fs::perms::all);
  expectDeployFileRejected(
      "run = \"exec build/sample", "run = \"exec src/not_a_program",
      "'run' of deploy/balancer.toml: src/not_a_program can't be started: it ended with 126");
  expectDeployFileRejected("run = \"exec build/sample", "run = \"exec build/sample crash",
                           "'run' of deploy/balancer.toml: build/sample can't be started: it ended with -6");
  expectDeployFileRejected("sim = \"exec build/sample", "sim = \"exec build/sample crash",
                           "'sim' of deploy/balancer.toml: build/sample can't be started: it ended with -6");
}

TEST_F(DeployBuild, ReportsExitCodeAndErrorWhenBuildFails) {
  write("src/answer.hpp", "inline int answer() { return zero; }\n");
  expectRejected({"the build ended with 2:", "src/answer.hpp:1:30: error: "});
}

TEST_F(DeployBuild, ReportsKeyWhenDeployFileIsIncomplete) {
  for (const char* key : {"build", "run", "sim", "policy", "node", "packages"})
    expectDeployFileRejected(std::string(key) + " = ",
                             "other = ", std::string("deploy/balancer.toml: key '") + key + "' is missing");
  for (const char* value : {"[]", "\" \"", "\"exec 'build\""})
    expectDeployFileRejected("\"exec build/sample\"", value,
                             "deploy/balancer.toml: 'run' has to be a command line");
  expectDeployFileRejected("[\"src\"]", "\"src\"",
                           "deploy/balancer.toml: 'node' has to be a list of strings");
}

TEST_F(DeployBuild, ReportsErrorWhenDeployFileCannotBeRead) {
  expectDeployFileRejected("[", "", "deploy/balancer.toml: can't be read: ");
  fs::remove(root_ + "/deploy/balancer.toml");
  expectRejected({"deploy/balancer.toml: not among the committed files"});
}

}  // namespace
}  // namespace paddletrack
