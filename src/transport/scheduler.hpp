#pragma once

#include <chrono>
#include <coroutine>
#include <functional>
#include <list>
#include <map>
#include <optional>

#include "transport/task.hpp"

namespace paddletrack::transport {

using Clock = std::chrono::steady_clock;
using Moment = Clock::time_point;

class Scheduler;
class Descriptor;

// Something that the loop calls once: soon, or at a moment. Asking anew replaces what was asked before;
// destroying it takes it back.
class Call {
 public:
  Call(Scheduler& scheduler, std::function<void()> action)
      : scheduler_(scheduler), action_(std::move(action)) {}
  explicit Call(Scheduler& scheduler) : scheduler_(scheduler) {}
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  ~Call() { cancel(); }

  void then(std::function<void()> action) { action_ = std::move(action); }
  void soon();
  void at(Moment moment);
  void cancel();

 private:
  friend class Scheduler;
  Scheduler& scheduler_;
  std::function<void()> action_;
  std::optional<std::list<Call*>::iterator> soon_;
  std::optional<std::multimap<Moment, Call*>::iterator> later_;
};

// Set by one side, awaited by one coroutine at a time. It stays set until a wait takes it.
class Signal {
 public:
  explicit Signal(Scheduler& scheduler) : scheduler_(scheduler) {}

  void set();

  // True when it was set, false when the moment came first.
  class Wait {
   public:
    Wait(Signal& signal, std::optional<Moment> until) : signal_(signal), until_(until) {}
    Wait(const Wait&) = delete;
    Wait& operator=(const Wait&) = delete;
    ~Wait();
    bool await_ready() const noexcept { return signal_.set_; }
    void await_suspend(std::coroutine_handle<> waiting);
    bool await_resume() noexcept { return std::exchange(signal_.set_, false); }

   private:
    friend class Signal;
    Signal& signal_;
    std::optional<Moment> until_;
    std::optional<Call> resume_;
  };
  Wait wait(std::optional<Moment> until = std::nullopt) { return Wait(*this, until); }

 private:
  Scheduler& scheduler_;
  bool set_ = false;
  Wait* waiting_ = nullptr;
};

// The loop of one thread: a run queue, timers and epoll.
class Scheduler {
 public:
  Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;
  ~Scheduler();

  Moment now() const { return Clock::now(); }
  void run();  // until stop
  void stop() { stopped_ = true; }

  // How late a timer has been at most since this was last asked.
  Clock::duration worstLateness() { return std::exchange(worstLateness_, {}); }

  // Lets all others that are ready have their turn.
  auto turn() { return Pause(*this, std::nullopt); }
  auto sleepUntil(Moment moment) { return Pause(*this, moment); }

 private:
  friend class Call;
  friend class Descriptor;
  class Pause {
   public:
    Pause(Scheduler& scheduler, std::optional<Moment> until) : scheduler_(scheduler), until_(until) {}
    Pause(const Pause&) = delete;
    Pause& operator=(const Pause&) = delete;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> waiting) {
      resume_.emplace(scheduler_, [waiting] { waiting.resume(); });
      until_ ? resume_->at(*until_) : resume_->soon();
    }
    void await_resume() const noexcept {}

   private:
    Scheduler& scheduler_;
    std::optional<Moment> until_;
    std::optional<Call> resume_;
  };

  void fireDue();
  void runReady();
  void poll();
  static void fire(Call& call);

  int epoll_;
  bool stopped_ = false;
  std::list<Call*> ready_;
  std::multimap<Moment, Call*> timers_;
  Clock::duration worstLateness_{};
};

// One open file descriptor and its place in the loop; both end with it.
class Descriptor {
 public:
  Descriptor(Scheduler& scheduler, int fd);
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor();

  int fd() const { return fd_; }
  bool hungUp() const { return hungUp_; }  // the peer has ended: what is left to read ends too
  void clearHungUp() { hungUp_ = false; }
  Signal readable, writable;

 private:
  friend class Scheduler;
  Scheduler& scheduler_;
  int fd_;
  bool hungUp_ = false;
};

// Coroutines that run by themselves. Each is destroyed when it has ended, all of them with the group.
class Group {
 public:
  using Failed = std::function<void(const char* what)>;
  Group(Scheduler& scheduler, Failed failed);
  void spawn(Task<> task);
  std::size_t size() const { return running_.size(); }

 private:
  struct Root;
  using Roots = std::list<Root>;
  struct Root {
    Root(Scheduler& scheduler, Task<> made)
        : task(std::move(made)), begin(scheduler, [this] { run.start(); }) {}
    Task<> task;
    Task<> run;
    Call begin;
  };
  Task<> watch(Roots::iterator self);

  Scheduler& scheduler_;
  Failed failed_;
  Roots running_, ended_;
  Call reap_;
};

}  // namespace paddletrack::transport
