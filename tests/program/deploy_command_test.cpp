// Checks the `run` command of the deploy file against the restrictions of the benchmark environment, without
// that environment. The command is started under a system call filter that denies what the environment denies
// (other programs, fork, io_uring, splice, sendfile; sockets other than IPv4). The program must serve a query
// end to end, and /proc must show one process without children, no Unix or UDP socket, a dynamically linked C
// library, and almost no processor time while the program is idle.
#include <elf.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/sched.h>
#include <linux/seccomp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

namespace paddletrack {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

std::string readFile(const fs::path& path) {
  std::ifstream file(path);
  std::stringstream contents;
  contents << file.rdbuf();
  return contents.str();
}

// Returns the words of `run` after `exec`, or nothing if the line is not a single `exec` of plain words.
std::vector<std::string> parseRunCommand(const std::string& toml) {
  std::smatch match;
  if (!std::regex_search(toml, match, std::regex(R"re(\nrun = "([^"]*)")re"))) return {};
  std::istringstream line(match[1].str());
  std::vector<std::string> words;
  for (std::string word; line >> word;) {
    if (word.find_first_of("|&;<>()$`\\'\"*?") != std::string::npos) return {};
    words.push_back(word);
  }
  if (words.size() < 2 || words.front() != "exec") return {};
  words.erase(words.begin());
  return words;
}

// The audit architecture of the kind of machine that this is built for. A call of another kind ends the
// process.
#if defined(__x86_64__)
constexpr unsigned kAuditArchitecture = AUDIT_ARCH_X86_64;
#elif defined(__aarch64__)
constexpr unsigned kAuditArchitecture = AUDIT_ARCH_AARCH64;
#else
#error "this kind of machine has no audit architecture here"
#endif

// Denies the system calls that the benchmark environment denies. ENOSYS: execve (the launcher itself uses
// execveat), fork, vfork, clone without CLONE_THREAD, clone3, io_uring and sendfile. EINVAL: splice.
// EAFNOSUPPORT: socket() of any family but AF_INET. All other calls are allowed. arm64 has no calls fork and
// vfork; a process begins there by clone or clone3 alone.
void installSystemCallFilter() {
  constexpr auto kDeny = [](int error) { return SECCOMP_RET_ERRNO | (error & SECCOMP_RET_DATA); };
  constexpr unsigned kNr = offsetof(seccomp_data, nr), kArch = offsetof(seccomp_data, arch);
  constexpr unsigned kArg0 = offsetof(seccomp_data, args[0]);
  std::vector<sock_filter> instructions = {
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, kArch),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kAuditArchitecture, 1, 0),
      BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_KILL_PROCESS),
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, kNr),
  };
  const auto refuse = [&](long nr, int error) {
    instructions.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, static_cast<unsigned>(nr), 0, 1));
    instructions.push_back(BPF_STMT(BPF_RET | BPF_K, kDeny(error)));
  };
  refuse(SYS_execve, ENOSYS);
#ifdef SYS_fork
  refuse(SYS_fork, ENOSYS);
#endif
#ifdef SYS_vfork
  refuse(SYS_vfork, ENOSYS);
#endif
  for (long nr : {SYS_clone3, SYS_io_uring_setup, SYS_io_uring_enter, SYS_io_uring_register, SYS_sendfile})
    refuse(nr, ENOSYS);
  refuse(SYS_splice, EINVAL);
  // clone: allowed for threads (CLONE_THREAD), denied for processes.
  instructions.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_clone, 0, 4));
  instructions.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, kArg0));
  instructions.push_back(BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, CLONE_THREAD, 1, 0));
  instructions.push_back(BPF_STMT(BPF_RET | BPF_K, kDeny(ENOSYS)));
  instructions.push_back(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW));
  // socket: only AF_INET is allowed.
  instructions.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_socket, 0, 4));
  instructions.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, kArg0));
  instructions.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, AF_INET, 1, 0));
  instructions.push_back(BPF_STMT(BPF_RET | BPF_K, kDeny(EAFNOSUPPORT)));
  instructions.push_back(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW));
  instructions.push_back(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW));  // all other calls
  sock_fprog program{static_cast<unsigned short>(instructions.size()), instructions.data()};
  if (::prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0 ||
      ::syscall(SYS_seccomp, SECCOMP_SET_MODE_FILTER, 0, &program))
    ::_exit(126);
}

// Whether the ELF file has an interpreter, which means that it is dynamically linked.
bool isDynamicallyLinked(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  Elf64_Ehdr elfHeader{};
  file.read(reinterpret_cast<char*>(&elfHeader), sizeof elfHeader);
  for (int index = 0; file && index < elfHeader.e_phnum; ++index) {
    Elf64_Phdr programHeader{};
    file.seekg(static_cast<std::streamoff>(elfHeader.e_phoff + index * elfHeader.e_phentsize));
    file.read(reinterpret_cast<char*>(&programHeader), sizeof programHeader);
    if (programHeader.p_type == PT_INTERP) return true;
  }
  return false;
}

// Returns the processor time of the process in clock ticks, from /proc/PID/stat (utime + stime).
long readCpuTicks(pid_t pid) {
  std::string stat = readFile("/proc/" + std::to_string(pid) + "/stat");
  std::istringstream fields(stat.substr(stat.rfind(')') + 2));
  std::string field;
  long userTicks = 0, systemTicks = 0;
  for (int index = 3; index <= 15 && fields >> field; ++index) {
    if (index == 14) userTicks = std::stol(field);
    if (index == 15) systemTicks = std::stol(field);
  }
  return userTicks + systemTicks;
}

struct ChildProcess {
  pid_t pid = 0;
  ~ChildProcess() {
    if (pid > 0) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
  }
};

pid_t spawnProcess(const std::vector<std::string>& arguments, const fs::path& directory,
                   bool filterSystemCalls, const std::string& outputPath = "/dev/null") {
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  ::chdir(directory.c_str());
  const int outputDescriptor = ::open(outputPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  ::dup2(outputDescriptor, 1), ::dup2(outputDescriptor, 2);
  std::vector<char*> argv;
  for (const std::string& word : arguments) argv.push_back(const_cast<char*>(word.c_str()));
  argv.push_back(nullptr);
  ::unsetenv("GW_OPERATOR");
  if (filterSystemCalls) {
    ::setenv("ASAN_OPTIONS", "detect_leaks=0", 1);  // the leak check calls clone() itself
    installSystemCallFilter();
  }
  ::syscall(SYS_execveat, AT_FDCWD, argv[0], argv.data(), environ, 0);
  ::_exit(127);
}

TEST(DeployCommand, ExecsOneControllerAndServesWhenSystemCallsAreRestricted) {
  const std::vector<std::string> words =
      parseRunCommand(readFile(fs::path(PADDLETRACK_SOURCE) / "deploy/balancer.toml"));
  ASSERT_GE(words.size(), 2u) << "run is not a single exec of plain words";
  ASSERT_EQ(words[0], "build/paddletrack");
  ASSERT_TRUE(isDynamicallyLinked(PADDLETRACK_PROGRAM));

  // A root directory where build/paddletrack is the program under test, with a configuration like that of the
  // benchmark environment.
  const fs::path root = fs::path(::testing::TempDir()) / ("paddletrack_deploy_" + std::to_string(::getpid()));
  fs::create_directories(root / "build");
  fs::create_symlink(PADDLETRACK_PROGRAM, root / "build/paddletrack");
  std::string config = readFile(fs::path(PADDLETRACK_SOURCE) / "examples/config.json");
  config = std::regex_replace(config, std::regex("127\\.0\\.0\\.1:18443"), "127.0.79.1:18443");
  config = std::regex_replace(config, std::regex("127\\.0\\.0\\.1:19443"), "127.0.79.2:19443");
  config = std::regex_replace(config, std::regex("127\\.0\\.0\\.1:12379"), "127.0.79.2:12379");
  std::ofstream(root / "config.json") << config;
  ::setenv("GW_CONFIG", (root / "config.json").c_str(), 1);

  ChildProcess exampleServer, program;
  exampleServer.pid =
      spawnProcess({PADDLETRACK_EXAMPLE_SERVER, "127.0.79.2:19443", "127.0.79.2:12379"}, root, false);
  program.pid = spawnProcess(words, root, true, (root / "output.txt").string());
  ::unsetenv("GW_CONFIG");

  // Sends a query end to end through the filtered program, retrying until the program has started.
  int queryExitCode = -1;
  for (int index = 0; index < 50 && queryExitCode != 0; ++index) {
    std::this_thread::sleep_for(100ms);
    ChildProcess client;
    client.pid = spawnProcess(
        {PADDLETRACK_EXAMPLE_CLIENT, "127.0.79.1:18443", "look-up", "acme", "select 1 /* ms=5 */"}, root,
        false);
    int status = 0;
    ::waitpid(client.pid, &status, 0);
    client.pid = 0;
    queryExitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  int exitStatus = 0;
  ASSERT_EQ(::waitpid(program.pid, &exitStatus, WNOHANG), 0)
      << "the program exited (" << exitStatus << "): " << readFile(root / "output.txt");
  ASSERT_EQ(queryExitCode, 0) << readFile(root / "output.txt");

  const fs::path proc = "/proc/" + std::to_string(program.pid);
  EXPECT_EQ(fs::read_symlink(proc / "exe"), fs::canonical(PADDLETRACK_PROGRAM))
      << "run did not exec the program";
  EXPECT_NE(readFile(proc / "maps").find("libc.so.6"), std::string::npos);
  // No thread has a child process.
  for (const auto& task : fs::directory_iterator(proc / "task"))
    EXPECT_EQ(readFile(task.path() / "children"), "") << task.path();
  // None of its sockets is a Unix socket.
  std::set<std::string> sockets;
  for (const auto& fd : fs::directory_iterator(proc / "fd")) {
    std::error_code error;
    const std::string target = fs::read_symlink(fd.path(), error).string();
    if (target.starts_with("socket:[")) sockets.insert(target.substr(8, target.size() - 9));
  }
  EXPECT_FALSE(sockets.empty());
  std::istringstream unixSockets(readFile(proc / "net/unix"));
  std::string line;
  std::getline(unixSockets, line);
  while (std::getline(unixSockets, line)) {
    std::istringstream fields(line);
    std::string num, refs, protocol, flags, type, state, inode;
    fields >> num >> refs >> protocol >> flags >> type >> state >> inode;
    EXPECT_FALSE(sockets.contains(inode)) << "a Unix socket: " << line;
  }
  // None of them is a UDP socket.
  for (const char* table : {"net/udp", "net/udp6"}) {
    std::istringstream udpSockets(readFile(proc / table));
    std::getline(udpSockets, line);
    while (std::getline(udpSockets, line)) {
      std::istringstream fields(line);
      std::string field;
      for (int index = 0; index < 10; ++index) fields >> field;  // the tenth field is the inode
      EXPECT_FALSE(sockets.contains(field)) << "a UDP socket: " << line;
    }
  }
  // An idle program waits for events; a spinning thread would use the whole second.
  const long ticksBefore = readCpuTicks(program.pid);
  std::this_thread::sleep_for(1s);
  EXPECT_LT(readCpuTicks(program.pid) - ticksBefore, ::sysconf(_SC_CLK_TCK) / 5);

  ::kill(program.pid, SIGTERM);
  int status = -1;
  ::waitpid(program.pid, &status, 0);
  program.pid = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status << readFile(root / "output.txt");
  fs::remove_all(root);
}

}  // namespace
}  // namespace paddletrack
