#include "transport/scheduler.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "base/error.hpp"
#include "fault/fault.hpp"

namespace paddletrack::transport {

void Call::soon() {
  cancel();
  soon_ = scheduler_.ready_.insert(scheduler_.ready_.end(), this);
}

void Call::at(Moment moment) {
  cancel();
  PADDLETRACK_TABLE("timers");
  later_ = scheduler_.timers_.emplace(PADDLETRACK_TIMER("at", moment), this);
}

void Call::cancel() {
  if (soon_) scheduler_.ready_.erase(*soon_);
  if (later_) scheduler_.timers_.erase(*later_);
  soon_.reset();
  later_.reset();
}

void Signal::set() {
  set_ = true;
  if (waiting_) waiting_->resume_->soon();
}

void Signal::Wait::await_suspend(std::coroutine_handle<> waiting) {
  signal_.waiting_ = this;
  resume_.emplace(signal_.scheduler_, [this, waiting] {
    signal_.waiting_ = nullptr;
    waiting.resume();
  });
  if (until_) resume_->at(*until_);
}

Signal::Wait::~Wait() {
  if (signal_.waiting_ == this) signal_.waiting_ = nullptr;
}

Scheduler::Scheduler()
    : epoll_(PADDLETRACK_CALL(-1, "epoll_create", "EMFILE ENOMEM", ::epoll_create1(EPOLL_CLOEXEC))) {
  if (epoll_ < 0) throw SystemFailed("the loop", "epoll_create1", errno);
}

Scheduler::~Scheduler() { ::close(epoll_); }

void Scheduler::run() {
  stopped_ = false;
  while (!stopped_) {
    runReady();
    fireDue();
    if (!stopped_) poll();
  }
}

void Scheduler::fire(Call& call) {
  call.cancel();
  const std::function<void()> action = call.action_;  // a copy: what is called may destroy the call
  action();
}

// Only what is due at the start: a timer set to the past from within waits for the next round.
void Scheduler::fireDue() {
  const Moment due = now();
  while (!stopped_ && !timers_.empty() && timers_.begin()->first <= due) {
    worstLateness_ = std::max(worstLateness_, now() - timers_.begin()->first);
    fire(*timers_.begin()->second);
    if (now() > due + std::chrono::milliseconds(5)) return;  // sockets are served in between
  }
}

// What is ready now gets one turn each; a timer that comes due meanwhile does not wait for the rest.
void Scheduler::runReady() {
  for (std::size_t left = ready_.size(); left > 0 && !ready_.empty() && !stopped_; --left) {
    fire(*ready_.front());
    if (!timers_.empty() && timers_.begin()->first <= now()) fireDue();
  }
}

void Scheduler::poll() {
  int wait = -1;
  if (!ready_.empty()) {
    wait = 0;
  } else if (!timers_.empty()) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(timers_.begin()->first - now()).count();
    wait = static_cast<int>(std::clamp<long long>(left, 0, 1000));
  }
  std::array<epoll_event, 64> events;
  const int count = PADDLETRACK_CALL(
      -1, "epoll_wait", "EINTR", ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), wait));
  if (count < 0 && errno != EINTR) throw SystemFailed("the loop", "epoll_wait", errno);
  for (int each = 0; each < count; ++each) {
    const epoll_event& event = events[static_cast<std::size_t>(each)];
    auto* descriptor = static_cast<Descriptor*>(event.data.ptr);
    if (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) descriptor->hungUp_ = true;
    if (event.events & ~static_cast<std::uint32_t>(EPOLLOUT)) descriptor->readable.set();
    if (event.events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) descriptor->writable.set();
  }
}

// Signals only queue their waiters, so no descriptor goes away while events are handed out.
Descriptor::Descriptor(Scheduler& scheduler, int fd)
    : readable(scheduler), writable(scheduler), scheduler_(scheduler), fd_(fd) {
  epoll_event wanted{};
  wanted.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  wanted.data.ptr = this;
  if (PADDLETRACK_CALL(fd_, "epoll_add", "ENOMEM ENOSPC",
                       ::epoll_ctl(scheduler_.epoll_, EPOLL_CTL_ADD, fd_, &wanted)) != 0) {
    const int error = errno;
    PADDLETRACK_MARK(forget(fd_));
    ::close(fd_);
    throw SystemFailed("the loop", "epoll_ctl", error);
  }
  PADDLETRACK_MARK(watched(scheduler_.epoll_, fd_, this));
}

Descriptor::~Descriptor() {
  PADDLETRACK_PASS(fd_, "close");
  PADDLETRACK_MARK(forget(fd_));
  ::epoll_ctl(scheduler_.epoll_, EPOLL_CTL_DEL, fd_, nullptr);
  ::close(fd_);
}

Group::Group(Scheduler& scheduler, Failed failed)
    : scheduler_(scheduler), failed_(std::move(failed)), reap_(scheduler, [this] { ended_.clear(); }) {}

void Group::spawn(Task<> task) {
  PADDLETRACK_TABLE("tasks");
  running_.emplace_back(scheduler_, std::move(task));
  const auto self = std::prev(running_.end());
  self->run = watch(self);
  self->begin.soon();
}

Task<> Group::watch(Roots::iterator self) {
  try {
    co_await self->task;
  } catch (const std::exception& error) {
    failed_(error.what());
  }
  ended_.splice(ended_.end(), running_, self);
  reap_.soon();
}

}  // namespace paddletrack::transport
