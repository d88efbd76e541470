#include "transport/scheduler.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "base/error.hpp"
#include "failpoint/failpoint.hpp"

namespace paddletrack::transport {
namespace {

// Longest wait for an event. A stall that ends within a wait cannot be told from the wait itself.
constexpr std::chrono::milliseconds kMaxPollWait{100};
// Time after which the sockets are polled before further due timers run.
constexpr std::chrono::milliseconds kMaxTimerRound{5};

}  // namespace

void ScheduledCall::runSoon() {
  cancel();
  readyPosition_ = scheduler_.ready_.insert(scheduler_.ready_.end(), this);
}

void ScheduledCall::runAt(TimePoint timePoint) {
  cancel();
  PADDLETRACK_TABLE("timers");
  timerPosition_ = scheduler_.timers_.emplace(PADDLETRACK_TIMER("at", timePoint), this);
}

void ScheduledCall::cancel() {
  if (readyPosition_) scheduler_.ready_.erase(*readyPosition_);
  if (timerPosition_) scheduler_.timers_.erase(*timerPosition_);
  readyPosition_.reset();
  timerPosition_.reset();
}

void Signal::set() {
  isSet_ = true;
  if (awaiter_) awaiter_->resume_->runSoon();
}

void Signal::SignalAwaiter::await_suspend(std::coroutine_handle<> waiting) {
  signal_.awaiter_ = this;
  resume_.emplace(signal_.scheduler_, [this, waiting] {
    signal_.awaiter_ = nullptr;
    waiting.resume();
  });
  if (deadline_) resume_->runAt(*deadline_);
}

Signal::SignalAwaiter::~SignalAwaiter() {
  if (signal_.awaiter_ == this) signal_.awaiter_ = nullptr;
}

Scheduler::Scheduler()
    : epoll_(PADDLETRACK_CALL(-1, "epoll_create", "EMFILE ENOMEM", ::epoll_create1(EPOLL_CLOEXEC))) {
  if (epoll_ < 0) throw SystemCallError("event loop", "epoll_create1", errno);
}

Scheduler::~Scheduler() { ::close(epoll_); }

void Scheduler::run() {
  stopped_ = false;
  stallRecovery_.onLoopStarted(now());
  while (!stopped_) {
    poll();
    runReady();
    if (stallRecovery_.allowsTimers(now())) runDueTimers();
  }
  stallRecovery_.onLoopStopped();
}

void Scheduler::runCall(ScheduledCall& scheduledCall) {
  scheduledCall.cancel();
  const std::function<void()> action =
      scheduledCall.action_;  // A copy, because the action may destroy the call.
  action();
}

// Runs only timers that were due when the sockets were last polled: what the sockets held by then has been
// read, and may have made a timer obsolete. A timer that an action sets to the past waits for the next round.
void Scheduler::runDueTimers() {
  const TimePoint startOfRound = now();
  while (!stopped_ && !timers_.empty() && timers_.begin()->first <= lastPollStartedAt_) {
    maxTimerLateness_ = std::max(maxTimerLateness_, now() - timers_.begin()->first);
    runCall(*timers_.begin()->second);
    if (now() > startOfRound + kMaxTimerRound) return;  // Poll the sockets in between.
  }
}

// Runs each call that is ready now once.
void Scheduler::runReady() {
  for (std::size_t remaining = ready_.size(); remaining > 0 && !ready_.empty() && !stopped_; --remaining)
    runCall(*ready_.front());
}

Clock::duration Scheduler::pollTimeout(TimePoint startedAt) const {
  if (!ready_.empty() || stallRecovery_.isActive(startedAt)) return {};
  if (timers_.empty()) return kMaxPollWait;
  return std::clamp<Clock::duration>(timers_.begin()->first - startedAt, {}, kMaxPollWait);
}

void Scheduler::poll() {
  lastPollStartedAt_ = now();
  stallRecovery_.onPollStarted(lastPollStartedAt_);
  const Clock::duration timeout = pollTimeout(lastPollStartedAt_);
  const int count = pollEvents(timeout);
  stallRecovery_.onPollFinished(now(), lastPollStartedAt_ + timeout, count == 0 && ready_.empty());
}

// Sets the signals of all descriptors that have an event. Returns the number of events, -1 if a signal
// interrupted the wait.
int Scheduler::pollEvents(Clock::duration timeout) {
  std::array<epoll_event, 64> events;
  const auto timeoutMs = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
  const int count = PADDLETRACK_CALL(
      -1, "epoll_wait", "EINTR",
      ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), static_cast<int>(timeoutMs)));
  if (count < 0 && errno != EINTR) throw SystemCallError("event loop", "epoll_wait", errno);
  for (int index = 0; index < count; ++index) {
    const epoll_event& event = events[static_cast<std::size_t>(index)];
    auto* descriptor = static_cast<Descriptor*>(event.data.ptr);
    if (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) descriptor->isHungUp_ = true;
    if (event.events & ~static_cast<std::uint32_t>(EPOLLOUT)) descriptor->readable.set();
    if (event.events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) descriptor->writable.set();
  }
  return count;
}

// Setting a signal only queues its awaiter, so no descriptor is destroyed while poll() distributes events.
Descriptor::Descriptor(Scheduler& scheduler, int fd)
    : readable(scheduler), writable(scheduler), scheduler_(scheduler), fd_(fd) {
  epoll_event registration{};
  registration.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  registration.data.ptr = this;
  if (PADDLETRACK_CALL(fd_, "epoll_add", "ENOMEM ENOSPC",
                       ::epoll_ctl(scheduler_.epoll_, EPOLL_CTL_ADD, fd_, &registration)) != 0) {
    const int error = errno;
    PADDLETRACK_IF_FAIL_POINTS(forgetDescriptor(fd_));
    ::close(fd_);
    throw SystemCallError("event loop", "epoll_ctl", error);
  }
  PADDLETRACK_IF_FAIL_POINTS(registerWatch(scheduler_.epoll_, fd_, this));
}

Descriptor::~Descriptor() {
  PADDLETRACK_HIT(fd_, "close");
  PADDLETRACK_IF_FAIL_POINTS(forgetDescriptor(fd_));
  ::epoll_ctl(scheduler_.epoll_, EPOLL_CTL_DEL, fd_, nullptr);
  ::close(fd_);
}

TaskGroup::TaskGroup(Scheduler& scheduler, FailureHandler failureHandler)
    : scheduler_(scheduler),
      failureHandler_(std::move(failureHandler)),
      reapCall_(scheduler, [this] { finished_.clear(); }) {}

void TaskGroup::spawn(Task<> task) {
  PADDLETRACK_TABLE("tasks");
  running_.emplace_back(scheduler_, std::move(task));
  const auto entry = std::prev(running_.end());
  entry->supervisor = supervise(entry);
  entry->startCall.runSoon();
}

Task<> TaskGroup::supervise(Entries::iterator entry) {
  try {
    co_await entry->task;
  } catch (const std::exception& error) {
    failureHandler_(error.what());
  }
  finished_.splice(finished_.end(), running_, entry);
  reapCall_.runSoon();
}

}  // namespace paddletrack::transport
