#include "rig/replay.hpp"

#include <algorithm>
#include <cmath>

namespace paddletrack::rig {
namespace {

using namespace std::chrono_literals;
using hindsight::Policy;

constexpr double kForcedStart = 1e12, kForcedWait = 1e-9, kHeavy = 1e9;
constexpr unsigned kControllers = 4;
constexpr double kCores = 8;
constexpr double kMostThere = 40;  // threads of others on one engine: they throttle past it
constexpr Span kNear = 1ms, kFar = 12ms, kDialTimeout = 100ms;

double seconds(Span span) { return std::chrono::duration<double>(span).count(); }
Span span(double secs) { return Span{std::llround(secs * 1e6)}; }
std::size_t placeOf(const Engine& engine) { return engine.number; }

}  // namespace

const char* nameOf(DayKind kind) {
  static constexpr const char* kNames[] = {"calm", "hang", "slow", "cold", "partition", "burst", "mixed"};
  return kNames[static_cast<std::size_t>(kind)];
}

double Replay::spread(std::mt19937_64& of, double sigma) {
  const double a = chance(of), b = chance(of);
  return std::exp(sigma * std::sqrt(-2 * std::log(1 - a)) * std::cos(6.283185307179586 * b));
}

Span Replay::after(std::mt19937_64& of, double perSecond) {
  return span(-std::log(1 - chance(of)) / perSecond) + Span{1};
}

Replay::Replay(const DayTerms& terms)
    : terms_(terms), days_(terms.seed), others_(terms.seed * 7919 + 1), forcing_(terms.seed * 104729 + 2) {
  site_.controllers = kControllers;
  site_.types.resize(2);
  site_.types[0] = {.slaTime = 400ms, .slaStretch = 2, .jobTimeout = 3s, .threads = 1};
  site_.types[1] = {.index = 1, .slaTime = 1500ms, .slaStretch = 1, .jobTimeout = 8s, .threads = 3};
  site_.machines = {{kCores, 0}};
  site_.mostDispatches = 3;
  site_.mayWithdraw = true;
  site_.tick = 5ms;
  site_.coldFor = 6s;
  site_.coldStart = 0.3;
  site_.fallMultiple = 3;
  site_.fallSpan = 2s;
  site_.crossLocationPrice = 0.04;
  controller_ = std::make_unique<Controller>(*this, site_, terms.seed, now_);
  controller_->tellWeighed(true);
  recorder_ = std::make_unique<hindsight::Recorder>(site_, hindsight::Recorder::Terms{16384, 1h});
  machines_.resize(terms.engines);
  Listings all;
  for (unsigned each = 0; each < terms.engines; ++each) {
    engines_.emplace_back().number = each;
    machines_[each].speed = 0.75 + 0.5 * chance(days_);  // nobody tells the controller
    all.emplace_back(&engines_.back(), Listing{.location = each % 2});
  }
  controller_->listed(now_, true, all);
  plan();
}

// The trace and the faults: of the day's own seed alone, whatever the controller does.
void Replay::plan() {
  const auto within = [&](double from, double to) {
    return span(seconds(terms_.length) * (from + (to - from) * chance(days_)));
  };
  const auto any = [&] { return static_cast<unsigned>(chance(days_) * terms_.engines); };
  const auto is = [&](DayKind kind) {
    return terms_.kind == kind || (terms_.kind == DayKind::mixed && chance(days_) < 0.6);
  };
  if (is(DayKind::hang))
    for (int each = 0; each < 2; ++each) {
      const unsigned engine = any();
      const Span from = within(0.1, 0.8), to = from + span(0.5 + 2 * chance(days_));
      at(from, [this, engine] { pass(machines_[engine], now_), machines_[engine].hangs = true; });
      at(to, [this, engine] { pass(machines_[engine], now_), machines_[engine].hangs = false; });
    }
  if (is(DayKind::slow)) {
    const unsigned engine = any();
    at(within(0.05, 0.4), [this, engine, part = 0.25 + 0.3 * chance(days_)] {
      pass(machines_[engine], now_), machines_[engine].speed *= part;
    });
  }
  if (is(DayKind::cold))
    for (int each = 0; each < 2; ++each) at(within(0.1, 0.7), [this, engine = any()] { restart(engine); });
  if (is(DayKind::partition)) {
    const Span from = within(0.2, 0.6);
    cut_ = {from, from + span(1 + 2 * chance(days_))};
  }
  if (is(DayKind::burst)) {
    const Span from = within(0.1, 0.6);
    busy_ = {from, from + span(3 + 3 * chance(days_))};
  }
  const auto pace = [&](Span when) { return when >= busy_.first && when < busy_.second ? 1.9 : 1.0; };
  for (Span when{0}; when < terms_.length;) {
    when += after(days_, terms_.perSecond * pace(when));
    const bool report = chance(days_) < 0.08;
    Job& job = jobs_.emplace_back();
    job.number = static_cast<std::uint32_t>(jobs_.size() - 1);
    job.type = &site_.types[report ? 1 : 0];
    job.taken = when;
    job.expires = when + job.type->jobTimeout;
    const double told = (report ? 0.9 : 0.1) * spread(days_, 0.5);
    job.toldCost = span(told);
    work_.push_back(told * spread(days_, 0.4));
    at(when, [this, number = jobs_.size() - 1] { take(number); });
  }
  outcomes_.resize(jobs_.size());
  drawn_.resize(jobs_.size());
  for (unsigned each = 0; each < terms_.engines; ++each) background(each);
}

// The other controllers' jobs at one engine.
void Replay::background(unsigned engine) {
  const double whole = terms_.perSecond * (kControllers - 1) / terms_.engines;
  const bool busy = now_ >= busy_.first && now_ < busy_.second;
  at(now_ + after(others_, whole * (busy ? 1.6 : 1)), [this, engine] {
    const bool report = chance(others_) < 0.08;
    const double work = (report ? 0.9 : 0.1) * spread(others_, 0.64);
    Machinery& machine = machines_[engine];
    double threads = 0;
    for (const Running& each : machine.running) threads += each.dispatch ? 0 : each.threads;
    pass(machine, now_);
    if (threads < kMostThere) machine.running.push_back({nullptr, work, report ? 3.0 : 1.0});
    if (now_ < terms_.length + 12s) background(engine);
  });
}

double Replay::rate(const Machinery& machine) const {
  if (machine.hangs) return 0;
  double threads = 0;
  for (const Running& each : machine.running) threads += each.threads;
  double speed = machine.speed;
  if (machine.coldSince) {
    const double warm = std::clamp(seconds(now_ - *machine.coldSince) / seconds(site_.coldFor), 0.0, 1.0);
    speed *= site_.coldStart + (1 - site_.coldStart) * warm;
  }
  return speed * std::min(1.0, kCores / std::max(threads, 1e-9));
}

void Replay::pass(Machinery& machine, Span until) {
  const double each = rate(machine) * seconds(until - machine.looked);
  for (Running& running : machine.running) running.left -= each * running.threads;
  machine.looked = until;
}

std::optional<Span> Replay::nextDone(const Machinery& machine) const {
  const double each = rate(machine);
  std::optional<Span> next;
  if (each <= 0) return next;
  for (const Running& running : machine.running) {
    const Span done = machine.looked + span(std::max(0.0, running.left) / (each * running.threads)) + Span{1};
    if (!next || done < *next) next = done;
  }
  return next;
}

void Replay::restart(unsigned engine) {
  Machinery& machine = machines_[engine];
  pass(machine, now_);
  for (const Running& each : std::exchange(machine.running, {}))
    if (each.dispatch) at(now_, [this, sent = each.dispatch] { end(*sent, paddletrack::Outcome::reset); });
  machine.coldSince = now_;
  Listing listing = engines_[engine].listing;
  listing.started = now_;
  tell([&] { controller_->listed(now_, false, {{&engines_[engine], listing}}); });
}

void Replay::tell(const std::function<void()>& call) {
  call();
  release();
}

void Replay::take(std::size_t number) {
  ++open_;
  tell([&] { controller_->take(now_, jobs_[number]); });
}

void Replay::run(const Over& over) {
  over_ = over;
  while (now_ < terms_.length || open_ > 0) {
    Span next = events_.empty() ? Span::max() : events_.begin()->first;
    Machinery* first = nullptr;
    if (wake_ && *wake_ < next) next = *wake_;
    for (Machinery& each : machines_)
      if (const auto done = nextDone(each); done && *done < next) next = *done, first = &each;
    if (next == Span::max()) break;
    now_ = std::max(now_, next);
    if (first) {
      pass(*first, now_);
      const auto done = std::min_element(first->running.begin(), first->running.end(),
                                         [](const auto& a, const auto& b) { return a.left < b.left; });
      if (done->left > 1e-6) continue;  // a cold engine has become faster meanwhile
      Dispatch* sent = done->dispatch;
      first->running.erase(done);
      if (!sent) continue;
      const bool far = sent->engine->listing.location != site_.location;
      Span back = now_ + (far ? kFar : kNear);
      if (far && back >= cut_.first && back < cut_.second) back = cut_.second;
      at(back, [this, sent] { end(*sent, paddletrack::Outcome::done); });
    } else if (wake_ && *wake_ <= now_) {
      wake_.reset();
      tell([&] { controller_->woken(now_); });
    } else {
      const auto event = std::move(events_.extract(events_.begin()).mapped());
      for (Machinery& each : machines_)
        if (each.coldSince) pass(each, now_);  // its pace changes with time: in small steps
      event();
    }
  }
}

void Replay::dispatch(Dispatch& made) {
  if (hold_ && hold_->to) {
    Engine& to = *hold_->to;
    hold_->engine->cores = hold_->cores;
    if (&to != made.engine) move(made, to);
    hold_.reset();
  }
  if (!alone_) recorder_->started(made);
  Dispatch* sent = &made;
  const bool far = made.engine->listing.location != site_.location;
  const Span there = now_ + (far ? kFar : kNear);
  at(made.until, [this, sent] { end(*sent, paddletrack::Outcome::timedOut); });
  if (far && there >= cut_.first && there < cut_.second)
    return at(now_ + kDialTimeout, [this, sent] { end(*sent, paddletrack::Outcome::unreachable); });
  at(there, [this, sent] {
    if (!sent->out) return;
    Machinery& machine = machines_[placeOf(*sent->engine)];
    pass(machine, now_);
    machine.running.push_back(
        {sent, work_[sent->job->number], static_cast<double>(sent->job->type->threads)});
  });
}

void Replay::withdraw(Dispatch& made) {
  at(now_, [this, sent = &made] { end(*sent, paddletrack::Outcome::withdrawn); });
}

void Replay::end(Dispatch& sent, paddletrack::Outcome outcome) {
  if (!sent.out) return;
  Machinery& machine = machines_[placeOf(*sent.engine)];
  pass(machine, now_);
  std::erase_if(machine.running, [&](const Running& each) { return each.dispatch == &sent; });
  const bool done = outcome == paddletrack::Outcome::done && !sent.job->over;
  if (done) finish(*sent.job, true);
  const bool over = sent.job->over || done;
  tell([&] { controller_->ended(now_, sent, outcome, over, std::nullopt, nullptr); });
}

void Replay::finish(Job& job, bool done) {
  if (!alone_) recorder_->over(now_, job, done);
  const double took = seconds(now_ - job.taken), whole = seconds(job.expires - job.taken);
  const double sla = seconds(job.type->slaTime) + job.type->slaStretch * job.tokens / job.type->threads;
  outcomes_[job.number] = {done ? took : std::max(took, whole), done && took <= std::min(sla, whole)};
  --open_;
  if (over_) over_(job.number, outcomes_[job.number].latency, outcomes_[job.number].inTime);
}

void Replay::weighed(const Job& job, const std::vector<Weighed>& all) {
  if (alone_) {
    if (alone_->first == job.number && job.dispatches.empty()) force(job, all, alone_->second);
    return;
  }
  if (terms_.forced) {
    if (job.dispatches.empty()) force(job, all, *terms_.forced);
    return;
  }
  recorder_->weighed(job, all);
  if (!fork_ || !job.dispatches.empty() || std::exchange(drawn_[job.number], true)) return;
  const hindsight::Draw draw = hindsight::drawOf(all, site_.location);
  const auto best = static_cast<std::size_t>(
      std::min_element(all.begin(), all.end(),
                       [](const auto& a, const auto& b) { return a.drawn < b.drawn; }) -
      all.begin());
  for (std::size_t policy = 0; policy < hindsight::kPolicies; ++policy) {
    const hindsight::Wish& wish = draw.wishes[policy];
    if (all[best].starts >= 1 && (wish.left >= 1 || wish.starts[best] >= 1)) continue;  // it does the same
    const auto most = std::max_element(wish.starts.begin(), wish.starts.end());
    const Engine* sure =
        *most < 1 ? nullptr : all[static_cast<std::size_t>(most - wish.starts.begin())].engine;
    const unsigned copy = fork_(job.number, static_cast<Policy>(policy), sure);
    if (copy == 0) continue;
    alone_ = {job.number, static_cast<Policy>(policy)};
    forcing_.seed(terms_.seed * 1000003 + (job.number * hindsight::kPolicies + policy) * 64 + copy);
    return force(job, all, static_cast<Policy>(policy));
  }
}

// Makes the module start the job, or keep it, whatever its chance says, by what an engine shows for a moment;
// and what it starts goes where the policy wants it.
void Replay::force(const Job& job, const std::vector<Weighed>& all, Policy policy) {
  release();
  const hindsight::Draw draw = hindsight::drawOf(all, site_.location);
  const hindsight::Wish& wish = draw.wishes[static_cast<std::size_t>(policy)];
  double dice = chance(forcing_);
  const Weighed* best = &all.front();
  for (const Weighed& each : all)
    if (each.drawn < best->drawn) best = &each;
  Engine& engine = *best->engine;
  if (wish.waits > 0 && (dice -= wish.waits) < 0) {
    hold_ = Hold{&engine, engine.cores, kForcedWait, job.type->index, kHeavy, {}, {}, nullptr};
  } else {
    for (std::size_t each = 0; each < all.size() && dice >= 0; ++each) {
      if (wish.starts[each] <= 0 || (dice -= wish.starts[each]) >= 0) continue;
      hold_ = Hold{&engine, engine.cores,    kForcedStart,   job.type->index,
                   0,       engine.warmSets, engine.trialAt, all[each].engine};
    }
    if (dice >= 0) return;  // out of reach: as the module does
  }
  ++forcedCount_;
  engine.cores = hold_->forcedCores;
  engine.byType[hold_->type].threads += hold_->threads;
}

void Replay::release() {
  if (!hold_) return;
  Engine& engine = *hold_->engine;
  if (engine.cores == hold_->forcedCores) engine.cores = hold_->cores;
  engine.byType[hold_->type].threads -= hold_->threads;
  hold_.reset();
}

void Replay::move(Dispatch& made, Engine& to) {
  Engine& from = *made.engine;
  const std::size_t type = made.job->type->index;
  from.byType[type].threads -= made.threads, to.byType[type].threads += made.threads;
  from.byType[type].tokens -= made.tokens, to.byType[type].tokens += made.tokens;
  from.threads -= made.threads, to.threads += made.threads;
  from.memoryMb -= made.memoryMb, to.memoryMb += made.memoryMb;
  from.coldSent.add(now_, -made.tokens), to.coldSent.add(now_, made.tokens);
  std::erase(from.out, &made), to.out.push_back(&made);
  from.warmSets = hold_->warm, from.trialAt = hold_->trialAt;
  made.engine = &to;
}

}  // namespace paddletrack::rig
