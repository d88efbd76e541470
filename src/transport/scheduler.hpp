#pragma once

#include <chrono>
#include <coroutine>
#include <functional>
#include <list>
#include <map>
#include <optional>

#include "transport/stall_recovery.hpp"
#include "transport/task.hpp"

namespace paddletrack::transport {

class Scheduler;
class Descriptor;

/// A function that the scheduler calls once, in the next iteration of the loop or at a given time. Scheduling
/// it again replaces the earlier schedule; destroying it cancels the call.
class ScheduledCall {
 public:
  ScheduledCall(Scheduler& scheduler, std::function<void()> action)
      : scheduler_(scheduler), action_(std::move(action)) {}
  explicit ScheduledCall(Scheduler& scheduler) : scheduler_(scheduler) {}
  ScheduledCall(const ScheduledCall&) = delete;
  ScheduledCall& operator=(const ScheduledCall&) = delete;
  ~ScheduledCall() { cancel(); }

  void setAction(std::function<void()> action) { action_ = std::move(action); }
  void runSoon();
  void runAt(TimePoint timePoint);
  void cancel();

 private:
  friend class Scheduler;
  Scheduler& scheduler_;
  std::function<void()> action_;
  std::optional<std::list<ScheduledCall*>::iterator> readyPosition_;
  std::optional<std::multimap<TimePoint, ScheduledCall*>::iterator> timerPosition_;
};

/// An event that can be set, and awaited by one coroutine at a time. It stays set until a wait consumes it.
class Signal {
 public:
  explicit Signal(Scheduler& scheduler) : scheduler_(scheduler) {}

  void set();

  /// Yields true if the signal was set, false if the deadline passed first.
  class SignalAwaiter {
   public:
    SignalAwaiter(Signal& signal, std::optional<TimePoint> deadline) : signal_(signal), deadline_(deadline) {}
    SignalAwaiter(const SignalAwaiter&) = delete;
    SignalAwaiter& operator=(const SignalAwaiter&) = delete;
    ~SignalAwaiter();
    bool await_ready() const noexcept { return signal_.isSet_; }
    void await_suspend(std::coroutine_handle<> waiting);
    bool await_resume() noexcept { return std::exchange(signal_.isSet_, false); }

   private:
    friend class Signal;
    Signal& signal_;
    std::optional<TimePoint> deadline_;
    std::optional<ScheduledCall> resume_;
  };
  SignalAwaiter wait(std::optional<TimePoint> deadline = std::nullopt) {
    return SignalAwaiter(*this, deadline);
  }

 private:
  Scheduler& scheduler_;
  bool isSet_ = false;
  SignalAwaiter* awaiter_ = nullptr;
};

/// The event loop of one thread: a run queue, timers and epoll. All objects that refer to it must be
/// destroyed before it.
///
/// Input comes before timers: a timer runs only after the sockets have been polled at or after its due time
/// and the calls that this made ready have run. After a stall of the process, timers wait until all input
/// that arrived meanwhile has been read (see StallRecovery).
class Scheduler {
 public:
  Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;
  ~Scheduler();

  TimePoint now() const { return Clock::now(); }
  /// Runs until stop() is called.
  void run();
  void stop() { stopped_ = true; }

  /// Whether the input that arrived during a stall of this process is still being read.
  bool isRecovering() const { return stallRecovery_.isActive(now()); }
  /// The earliest time at which input that is being read now can have arrived: after a stall its beginning,
  /// otherwise the current time.
  TimePoint earliestArrival() const { return stallRecovery_.earliestArrival(now()); }

  /// Returns the greatest delay of a timer since the last call of this function.
  Clock::duration takeMaxTimerLateness() { return std::exchange(maxTimerLateness_, {}); }

  /// Returns an awaitable that resumes after all other calls that are ready now.
  auto yield() { return SleepAwaiter(*this, std::nullopt); }
  auto sleepUntil(TimePoint timePoint) { return SleepAwaiter(*this, timePoint); }

 private:
  friend class ScheduledCall;
  friend class Descriptor;
  class SleepAwaiter {
   public:
    SleepAwaiter(Scheduler& scheduler, std::optional<TimePoint> deadline)
        : scheduler_(scheduler), deadline_(deadline) {}
    SleepAwaiter(const SleepAwaiter&) = delete;
    SleepAwaiter& operator=(const SleepAwaiter&) = delete;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> waiting) {
      resume_.emplace(scheduler_, [waiting] { waiting.resume(); });
      deadline_ ? resume_->runAt(*deadline_) : resume_->runSoon();
    }
    void await_resume() const noexcept {}

   private:
    Scheduler& scheduler_;
    std::optional<TimePoint> deadline_;
    std::optional<ScheduledCall> resume_;
  };

  void runDueTimers();
  void runReady();
  void poll();
  Clock::duration pollTimeout(TimePoint startedAt) const;
  int pollEvents(Clock::duration timeout);
  static void runCall(ScheduledCall& scheduledCall);

  int epoll_;
  bool stopped_ = false;
  TimePoint lastPollStartedAt_{};
  StallRecovery stallRecovery_;
  std::list<ScheduledCall*> ready_;
  std::multimap<TimePoint, ScheduledCall*> timers_;
  Clock::duration maxTimerLateness_{};
};

/// Owns an open file descriptor and its epoll registration. The signals are edge-triggered.
class Descriptor {
 public:
  Descriptor(Scheduler& scheduler, int fd);
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor();

  int fd() const { return fd_; }
  bool isHungUp() const { return isHungUp_; }  ///< The peer has closed; unread input may remain.
  void clearHangUp() { isHungUp_ = false; }
  Signal readable, writable;

 private:
  friend class Scheduler;
  Scheduler& scheduler_;
  int fd_;
  bool isHungUp_ = false;
};

/// Runs coroutines independently of each other. A coroutine is destroyed when it has finished or with the
/// group. The message of an exception that a coroutine throws is passed to the failure handler.
class TaskGroup {
 public:
  using FailureHandler = std::function<void(const char* message)>;
  TaskGroup(Scheduler& scheduler, FailureHandler failureHandler);
  void spawn(Task<> task);
  std::size_t size() const { return running_.size(); }

 private:
  struct Entry;
  using Entries = std::list<Entry>;
  struct Entry {
    Entry(Scheduler& scheduler, Task<> rootTask)
        : task(std::move(rootTask)), startCall(scheduler, [this] { supervisor.start(); }) {}
    Task<> task;
    Task<> supervisor;
    ScheduledCall startCall;
  };
  Task<> supervise(Entries::iterator entry);

  Scheduler& scheduler_;
  FailureHandler failureHandler_;
  Entries running_, finished_;
  ScheduledCall reapCall_;
};

}  // namespace paddletrack::transport
