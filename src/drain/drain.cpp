#include "drain/drain.hpp"

#include <algorithm>

namespace paddletrack::drain {
namespace {

// Where nobody asks for heartbeats there may be no front layer, or one that is late: so many notices.
constexpr int kUnaskedNotices = 2;
// In notices: what is answered may take so long to leave past the deadline. Who reads more slowly does not
// hold the drain.
constexpr int kFlushNotices = 1;
// A planned restart: connections and requests go on coming for a while after SIGTERM, and SIGKILL comes no
// sooner than the longest job timeout, at most so long, and a last stretch.
using std::chrono::milliseconds;
constexpr milliseconds kStillComing{760}, kLongestRest{3000}, kLastStretch{700}, kMargin{300};
// Of the margin, for connections to be half-closed and read out at the very end.
constexpr milliseconds kParting{150};

constexpr Span kPace = std::chrono::milliseconds(5);  // between looks while one is awaited
// A look that comes so late means that the process stood still: what came meanwhile has not been read yet.
constexpr Span kLate = kPace * 4, kReadsOn = kPace * 8;

}  // namespace

const char* nameOf(State state) {
  static constexpr std::array<const char*, kStates> kNames{"serving", "leaving",     "closing", "ending",
                                                           "drained", "coming-back", "stopping"};
  return kNames[static_cast<std::size_t>(state)];
}

Refusal Drain::ask(Span now, std::optional<Span> deadline, std::optional<Span> comeBack, const Books& books) {
  if (deadline && (*deadline < Span{0} || *deadline > terms_.longest)) return Refusal::badDeadline;
  if (comeBack && (*comeBack < Span{0} || *comeBack > terms_.longest)) return Refusal::badComeBack;
  if (state_ == State::ending || state_ == State::drained) return Refusal::none;
  const bool fresh = !underWay();
  if (fresh) {
    course_ = Course{};
    course_->number = ++drains_;
    course_->asked = now;
    course_->deadline = now + deadline.value_or(terms_.deadline);
    course_->comeBack = comeBack.value_or(terms_.comeBack);
    course_->before = books;
    state_ = State::leaving;
    since_ = now;
  }
  if (deadline) course_->deadline = now + *deadline;
  if (comeBack) course_->comeBack = *comeBack;
  if (last_) course_->deadline = std::min(course_->deadline, *answersBy());  // the earlier end holds
  return Refusal::none;
}

Refusal Drain::cancel(Span now) {
  if (last_) return Refusal::stopping;
  if (!underWay() && state_ != State::drained) return Refusal::notDraining;
  course_->cancelled = true;
  state_ = State::comingBack;
  since_ = now;
  return Refusal::none;
}

void Drain::stop(Span now, Span longestJob) {
  if (last_) return;
  last_ = now + std::min<Span>(longestJob, kLongestRest) + kLastStretch - kMargin;
  settledFrom_ = now + kStillComing;
  if (underWay()) {
    course_->deadline = std::min(course_->deadline, *answersBy());
  } else if (state_ != State::drained) {
    state_ = State::stopping;
    since_ = now;
  }
}

std::optional<Span> Drain::answersBy() const {
  return last_ ? std::optional(*last_ - kMargin) : std::nullopt;
}

bool Drain::beat(Span now) {
  if (state_ == State::leaving && !course_->told) course_->told = now;
  if (state_ == State::comingBack) state_ = State::serving, since_ = now;
  return state_ == State::serving;
}

std::optional<Span> Drain::turnsAway() const {
  const bool closed = state_ == State::closing || state_ == State::ending || state_ == State::drained;
  return closed ? std::optional(course_->comeBack) : std::nullopt;
}

// The front layer has noticed a notice after the first bad heartbeat.
Span Drain::closesAt() const {
  const Span noticed =
      course_->told ? *course_->told + terms_.notice : course_->asked + terms_.notice * kUnaskedNotices;
  return std::min(noticed, course_->deadline);
}

Drain::Act Drain::look(Span now, const Books& books) {
  Act act;
  const auto enter = [&](State next) { state_ = next, since_ = now; };
  if (state_ == State::comingBack && now >= since_ + terms_.notice * kUnaskedNotices) enter(State::serving);
  if (state_ == State::leaving && now >= closesAt()) enter(State::closing);
  if (state_ == State::closing && now >= course_->deadline) {
    course_->missed = books.jobs > 0;
    course_->endedByDeadline = books.jobs;
    enter(State::ending);
  }
  if (state_ == State::ending && books.jobs > 0) {
    act.endJobs = true;
    return act;
  }
  const bool flushed = books.unsent == 0 ||
                       (state_ == State::ending && now >= course_->deadline + terms_.notice * kFlushNotices);
  if ((state_ == State::closing || state_ == State::ending) && books.jobs == 0 && flushed) {
    course_->drained = now;
    enter(State::drained);
  }
  if (last_) {
    if (planned_ && now > *planned_ + kLate) readsUntil_ = now + kReadsOn;
    const bool nothingOwed = books.jobs == 0 && books.coming == 0 && flushed;
    const bool ripe = now >= readsUntil_ && (now >= *last_ || (now >= settledFrom_ && nothingOwed));
    closes_ = closes_ || ripe;
    act.close = closes_;
    act.exit = ripe && (books.connections == 0 || now >= *last_ + kParting);
    planned_ = nextLook(now);
  }
  return act;
}

std::optional<Span> Drain::nextLook(Span now) const {
  std::optional<Span> next;
  const auto sooner = [&](Span at) { next = next ? std::min(*next, at) : at; };
  if (state_ == State::comingBack) sooner(since_ + terms_.notice * kUnaskedNotices);
  if (state_ == State::leaving) sooner(closesAt());
  if (state_ == State::closing || state_ == State::ending) sooner(now + kPace);
  if (state_ == State::closing) sooner(course_->deadline);
  if (last_) {
    const Span usual = std::max(std::min(now + kPace * 4, *last_), std::min(settledFrom_, *last_));
    sooner(std::max(usual, readsUntil_));
    if (closes_) sooner(std::max(now + kPace, readsUntil_));
  }
  return next;
}

}  // namespace paddletrack::drain
