#include "program/signals.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

#include "base/error.hpp"
#include "fault/fault.hpp"

namespace paddletrack::program {
namespace {

sigset_t heeded() {
  sigset_t wanted;
  sigemptyset(&wanted);
  for (const int each : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&wanted, each);
  return wanted;
}

int opened() {
  const sigset_t wanted = heeded();
  const int fd = PADDLETRACK_CALL(-1, "signals.open", "EMFILE ENOMEM",
                                  ::signalfd(-1, &wanted, SFD_NONBLOCK | SFD_CLOEXEC));
  if (fd < 0) throw SystemFailed("signals", "signalfd", errno);
  PADDLETRACK_MARK(role(fd, "signals"));
  return fd;
}

}  // namespace

void holdSignals() {
  const sigset_t wanted = heeded();
  sigprocmask(SIG_BLOCK, &wanted, nullptr);
  std::signal(SIGPIPE, SIG_IGN);  // for the log; sockets do without
}

Signals::Signals(transport::Scheduler& scheduler) : descriptor_(scheduler, opened()) {}

transport::Task<int> Signals::next() {
  for (;;) {
    signalfd_siginfo told{};
    const ssize_t got = PADDLETRACK_CALL(descriptor_.fd(), "read", "again EINTR",
                                         ::read(descriptor_.fd(), &told, sizeof told));
    if (got == static_cast<ssize_t>(sizeof told)) co_return static_cast<int>(told.ssi_signo);
    if (got < 0 && errno == EINTR) continue;  // no new event comes for what is there already
    co_await descriptor_.readable.wait();
  }
}

}  // namespace paddletrack::program
