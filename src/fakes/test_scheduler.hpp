#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <stdexcept>
#include <vector>

#include "transport/connection.hpp"

namespace paddletrack::fakes {

// A loop that runs for a while, or until something holds.
struct TestScheduler : transport::Scheduler {
  void runFor(std::chrono::milliseconds duration) {
    transport::ScheduledCall timer(*this, [this] { stop(); });
    timer.runAt(now() + duration);
    run();
  }
  bool runUntil(const std::function<bool()>& predicate,
                std::chrono::milliseconds timeout = std::chrono::seconds(10)) {
    for (const transport::TimePoint deadline = now() + timeout; now() < deadline;
         runFor(std::chrono::milliseconds(1)))
      if (predicate()) return true;
    return predicate();
  }
  transport::OutputBudget outputBudget{256 << 20, 0};
};

// A listener whose backlog is full: a dial to it hears nothing at all.
class UnresponsiveListener {
 public:
  explicit UnresponsiveListener(const transport::Address& address) {
    const int listener = ::socket(address.family(), SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    sockets_.push_back(listener);
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(listener, address.nativeHandle(), address.length()) != 0 || ::listen(listener, 0) != 0)
      throw std::runtime_error("no mute listener");
    for (int index = 0; index < 4; ++index) {
      sockets_.push_back(::socket(address.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      (void)!::connect(sockets_.back(), address.nativeHandle(), address.length());
    }
  }
  UnresponsiveListener(const UnresponsiveListener&) = delete;
  UnresponsiveListener& operator=(const UnresponsiveListener&) = delete;
  ~UnresponsiveListener() {
    for (const int socket : sockets_) ::close(socket);
  }

 private:
  std::vector<int> sockets_;
};

}  // namespace paddletrack::fakes
