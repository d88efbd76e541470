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
  std::signal(SIGPIPE, SIG_IGN);  // For writes to the log. Sockets are written to with MSG_NOSIGNAL.
}

SignalReceiver::SignalReceiver(transport::Scheduler& scheduler)
    : descriptor_(scheduler, openSignalDescriptor()) {}

transport::Task<int> SignalReceiver::receive() {
  for (;;) {
    signalfd_siginfo info{};
    const ssize_t received = PADDLETRACK_CALL(descriptor_.fd(), "read", "again EINTR",
                                              ::read(descriptor_.fd(), &info, sizeof info));
    if (received == static_cast<ssize_t>(sizeof info)) co_return static_cast<int>(info.ssi_signo);
    // The edge-triggered event of a pending signal is not repeated, so that the read is retried immediately.
    if (received < 0 && errno == EINTR) continue;
    co_await descriptor_.readable.wait();
  }
}

}  // namespace paddletrack::program
