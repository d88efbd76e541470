#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <stdexcept>
#include <vector>

#include "transport/connection.hpp"

namespace paddletrack::standin {

// A loop that runs for a while, or until something holds.
struct Loop : transport::Scheduler {
  void pass(std::chrono::milliseconds time) {
    transport::Call end(*this, [this] { stop(); });
    end.at(now() + time);
    run();
  }
  bool until(const std::function<bool()>& done, std::chrono::milliseconds most = std::chrono::seconds(10)) {
    for (const transport::Moment end = now() + most; now() < end; pass(std::chrono::milliseconds(1)))
      if (done()) return true;
    return done();
  }
  transport::Unsent unsent{256 << 20, 0};
};

// A listener whose backlog is full: a dial to it hears nothing at all.
class Mute {
 public:
  explicit Mute(const transport::Address& at) {
    const int listening = ::socket(at.family(), SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    sockets_.push_back(listening);
    ::setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(listening, at.raw(), at.length()) != 0 || ::listen(listening, 0) != 0)
      throw std::runtime_error("no mute listener");
    for (int each = 0; each < 4; ++each) {
      sockets_.push_back(::socket(at.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      (void)!::connect(sockets_.back(), at.raw(), at.length());
    }
  }
  Mute(const Mute&) = delete;
  Mute& operator=(const Mute&) = delete;
  ~Mute() {
    for (const int each : sockets_) ::close(each);
  }

 private:
  std::vector<int> sockets_;
};

}  // namespace paddletrack::standin
