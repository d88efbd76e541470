#include "program/signal_receiver.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

#include "base/error.hpp"
#include "failpoint/failpoint.hpp"

namespace paddletrack::program {
namespace {

sigset_t handledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  return signals;
}

int openSignalDescriptor() {
  const sigset_t signals = handledSignals();
  const int fd = PADDLETRACK_CALL(-1, "signals.open", "EMFILE ENOMEM",
                                  ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
  if (fd < 0) throw SystemCallError("signals", "signalfd", errno);
  PADDLETRACK_IF_FAIL_POINTS(setRole(fd, "signals"));
  return fd;
}

}  // namespace

void blockSignals() {
  const sigset_t signals = handledSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);  // For the log: sockets are written to with MSG_NOSIGNAL.
}

SignalReceiver::SignalReceiver(transport::Scheduler& scheduler)
    : descriptor_(scheduler, openSignalDescriptor()) {}

transport::Task<int> SignalReceiver::receive() {
  for (;;) {
    signalfd_siginfo info{};
    const ssize_t received = PADDLETRACK_CALL(descriptor_.fd(), "read", "again EINTR",
                                              ::read(descriptor_.fd(), &info, sizeof info));
    if (received == static_cast<ssize_t>(sizeof info)) co_return static_cast<int>(info.ssi_signo);
    // A signal that is pending already causes no new event, so that the read has to be repeated at once.
    if (received < 0 && errno == EINTR) continue;
    co_await descriptor_.readable.wait();
  }
}

}  // namespace paddletrack::program
