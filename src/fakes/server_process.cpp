#include "fakes/server_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace paddletrack::fakes {

ServerProcess::ServerProcess(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& logPath) {
  std::vector<char*> argv{const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const int logFd = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    // The kernel sends SIGTERM to the child when the parent ends, even if the parent is killed and runs no
    // destructors.
    if (::prctl(PR_SET_PDEATHSIG, SIGTERM) != 0 || ::getppid() != parent) ::_exit(127);
    sigset_t emptySet;
    sigemptyset(&emptySet);
    ::sigprocmask(SIG_SETMASK, &emptySet, nullptr);
    ::dup2(logFd, STDERR_FILENO);
    ::dup2(logFd, STDOUT_FILENO);
    ::execv(program.c_str(), argv.data());
    ::_exit(127);
  }
  ::close(logFd);
}

ServerProcess::~ServerProcess() {
  if (exitCode()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void ServerProcess::sendSignal(int signalNumber) const { ::kill(pid_, signalNumber); }

std::optional<int> ServerProcess::exitCode() {
  int status = 0;
  if (!exitCode_ && ::waitpid(pid_, &status, WNOHANG) == pid_)
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return exitCode_;
}

}  // namespace paddletrack::fakes
