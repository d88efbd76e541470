// Every decision of a controller is made in this file. The caller (src/simwire/door.cpp on the bench) tells a
// Controller what happens, one call an event, with the time; the Controller answers at once through its Host.
// Both interfaces are in choice.hpp, what is told of jobs, engines and the deployment in model/.
//
// A job passes the stages turn (order by key), room (class checks) and draw (an engine, or a short wait).
// What comes back runs the other way: settle (counts), learn (health, cost), judge (answer or back to draw),
// and the next in turn. Every dispatch passes guarded(), where the seven rules are kept.
#include "choice.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace paddletrack {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kMark = 2.0;            // threads a core, the design's starting value
constexpr double kOverMark = 1.5;        // class bounds reach this far over the mark, for starts by chance
constexpr double kFloorShare = 0.3;      // of a bound: all floors together
constexpr double kLoadCeiling = 0.5;     // of a bound: a load has no floor and at most this
constexpr double kWaitShare = 1.0 / 20;  // of the job timeout: a queued job is throttled after this
constexpr double kColdSafety = 0.5;      // of what the cold rule allows: speeds and costs are only estimates
constexpr double kColdJobs = 8;     // at once are what a cold engine can do: their type is let in by chance
constexpr double kFewAnswers = 20;  // of a type: their mean may still be far from its usual work
constexpr double kGrantOver = 1.1;  // of the expected need, at least: the scatter of a good estimate
constexpr double kGrantMost = 2.5;  // of the expected need: more than this an estimate hardly errs
constexpr double kEngineGrantOver = 1.5;  // of the usual need: what engines grant where they decide
constexpr double kMemoryFull = 0.85;      // of the memory: grants beyond wait or page
constexpr double kRunaway = 3;            // times the time expected of a dispatch: its plan is bad
constexpr int kFreshSlas = 2;             // SLA times of the shortest type: how long a load report is fresh
constexpr double kTokenHorizon = 0.6;     // of the longest usual SLA time: work that a thread may have ahead
constexpr double kCopyShare = 0.05;       // of recent dispatches: second copies at most
constexpr double kLost = 4;  // dispatches without a sign, in 28 SLA times or a little more: answers get lost
constexpr double kLostBudget = 0.9;  // of the further dispatches: for what is given up by a time of its own
constexpr double kEaseDown = 0.9, kEaseUp = 0.05, kLeastEase = 0.3;
constexpr double kHeldOff = 3;     // times what the fleet held runs off: how fast its unheard mean fades
constexpr double kLooks = 3;       // engines that a controller with thin shares chooses among
constexpr double kCrossing = 10;   // times its price: the part that it takes of the room left elsewhere
constexpr int kTrialSlas = 2;      // SLA times of the shortest type between trials of a doubted engine
constexpr double kIllShare = 0.3;  // of recent outcomes: an engine that fails more is doubted
constexpr double kMostAway = 4;    // turned away for one done: one that turns away more is doubted as well

double seconds(Span span) { return Seconds(span).count(); }
Span span(double secs) { return std::chrono::duration_cast<Span>(Seconds(secs)); }

// A mean over the last hundred or so.
void blend(double& mean, double& seen, double value) {
  seen = std::min(seen + 1, 100.0);
  mean += (value - mean) / seen;
}

}  // namespace

Controller::Controller(Host& host, const Deployment& deployment, std::uint64_t seed, Span now)
    : host_(host),
      site_(deployment),
      dice_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
      now_(now),
      began_(now),
      lore_(deployment.types.size()),
      floors_(deployment.types.size()),
      customerTaken_(deployment.customers.size(), BucketRing<double>(span(1))),
      quotaTaken_(span(1)),
      taken_(deployment.furtherSpan / 8),
      further_(deployment.furtherSpan / 7 + Span{1}) {
  // Floors fall with the time and threads a type takes: the short, few-threaded hold the largest, loads none.
  double weights = 0, cores = 1;
  int widest = 1;
  for (const ReservationType& type : site_.types) {
    const double size = seconds(type.slaTime) * type.threads;
    lore_[type.index].meanCost = size;
    floors_[type.index] = type.load ? 0 : 1 / std::max(size, 1e-3);
    weights += floors_[type.index];
    widest = std::max(widest, type.threads);
    if (!shortest_ || size < seconds(shortest_->slaTime) * shortest_->threads) shortest_ = &type;
  }
  for (double& each : floors_) each *= weights > 0 ? kFloorShare / weights : 0;
  if (site_.listOnRequest) host_.watchList();
  nextAsk_ = now + site_.mustAskWithin / 3;
  lost_ = BucketRing<double>(shortest_->slaTime * 4);
  copies_ = started_ = BucketRing<double>(shortest_->slaTime);
  drawn_ = probes_ = ownThreads_ = BucketRing<double>(shortest_->slaTime / 2);
  for (const Customer& each : site_.customers) quotas_ += each.quotaPerSecond;
  for (const Machine& machine : site_.machines) cores = std::max(cores, machine.cores);
  told_ = site_.reportsOnProbe && site_.mayProbe;
  thin_ = cores * kMark * kOverMark / site_.controllers < widest;
}

// ---- events ---------------------------------------------------------------------------------------------

// A wake far behind its time shows that this controller stood still (stalled process, stolen cores). What it
// had out may have been answered meanwhile: that time is no evidence against an engine.
void Controller::clock(Span now) {
  now_ = now;
  if (!nextWake_ || now - *nextWake_ <= 4 * site_.tick) return;
  for (Dispatch* each : out_) each->unseen += now - *nextWake_;
  stalled_ = now - *nextWake_;
  stallEnded_ = nextWake_ = now;
}

// How long a dispatch has been out, as far as this controller was there to see it.
double Controller::age(const Dispatch& sent) const { return seconds(now_ - sent.sent - sent.unseen); }

void Controller::take(Span now, Job& job) {
  clock(now);
  if (site_.furtherSpan > Span{0}) taken_.add(now, 1);
  TypeLore& lore = lore_[job.type->index];
  job.dice = chance();
  drawn_.add(now, 1);
  job.tokens = job.toldCost ? seconds(*job.toldCost) * lore.bias : lore.meanCost;
  // Each job of a type is worth the same, whatever its work: one that is told to take r times the work of all
  // that come needs the room of r, a thread at least. Refused alike at all sizes, a tenth took half of all
  // work.
  blend(lore.meanTaken, lore.takenSeen, job.tokens);
  const double dear = site_.valueByWork ? 1 : job.tokens / std::max(lore.meanTaken, 1e-9);
  job.room = std::max(1.0, job.type->threads * dear);
  // What a customer sends beyond its share is worth little: it gets idle room only. Where all send more than
  // this controller's part (another is away) nobody does, or half of what could run would be turned away.
  if (job.customer < customerTaken_.size()) {
    const double quota = site_.customers[job.customer].quotaPerSecond;
    BucketRing<double>& ring = customerTaken_[job.customer];
    ring.add(now, 1);
    if (quota > 0) quotaTaken_.add(now, 1);
    const double part = std::max(8.0 / site_.controllers, quotaTaken_.sum(now) / std::max(quotas_, 1e-9));
    job.overShare = quota > 0 && ring.sum(now) > quota * part;
  }
  if (job.type->inOrder && job.key) turns_[job.key].line.push_back(&job);
  run(job);
  look();
}

void Controller::run(Job& job) {
  static constexpr std::array<Stage, 3> kStages{&Controller::turn, &Controller::room, &Controller::draw};
  for (const Stage stage : kStages) {
    const Step step = (this->*stage)(job);
    if (step == Step::end) giveUp(job);
    if (step != Step::pass) return;
  }
}

void Controller::ended(Span now, Dispatch& dispatch, Outcome outcome, bool jobOver,
                       std::optional<TrueCost> cost, const LoadReport* report) {
  clock(now);
  Job& job = *dispatch.job;
  dispatch.provenUnrun =
      outcome == Outcome::turnedAway || outcome == Outcome::unreachable || outcome == Outcome::neverSent;
  settle(dispatch);
  if (report) read(*dispatch.engine, *report);
  learn(dispatch, outcome, cost);
  const bool mayStillRun = outcome == Outcome::timedOut || outcome == Outcome::reset ||
                           outcome == Outcome::withdrawn || outcome == Outcome::spoilt;
  if (job.type->inOrder && job.key && mayStillRun) turns_[job.key].restsUntil = now + site_.keyRest;
  if (jobOver && !job.over) finish(job);
  if (!job.over) judge(job);
  leaveLine(job);
  look();
}

void Controller::begun(Span now, Dispatch& dispatch) {
  clock(now);
  dispatch.job->streaming = true;
  dispatch.engine->lastGood = now;
  look();
}

void Controller::gaveUp(Span now, Job& job) {
  clock(now);
  if (!job.over) finish(job);
  leaveLine(job);
  look();
}

void Controller::noted(Span now, Dispatch& dispatch, Note note, double value) {
  clock(now);
  if (note == Note::progress && value > dispatch.progress) {
    dispatch.progress = value, dispatch.engine->lastGood = now;
    dispatch.engine->trialAt.reset();  // it lives; what it failed is still held against it
  }
  look();
}

void Controller::probed(Span now, Engine& engine, bool answered, const LoadReport* report) {
  clock(now);
  if (answered && report) read(engine, *report);
  look();
}

void Controller::heard(Span now, unsigned peer, const std::vector<PeerNote>& notes) {
  clock(now);
  if (peer >= site_.controllers || !peersTell()) return;
  for (Engine* engine : engines_) engine->byPeer[peer] = {0, 0, now};
  for (const PeerNote& note : notes) note.engine->byPeer[peer] = {note.threads, note.memoryMb, now};
  for (Engine* engine : engines_) {
    engine->othersThreads = engine->othersMemoryMb = 0;
    engine->othersSeen = now;
    for (const Engine::PeerWord& word : engine->byPeer) {
      if (now - word.heard > shortest_->slaTime * 3) continue;  // it is down; what it had out has run dry
      engine->othersThreads += word.threads;
      engine->othersMemoryMb += word.memoryMb;
    }
  }
  look();
}

void Controller::listed(Span now, bool whole, const Listings& listings) {
  clock(now);
  for (Engine* engine : engines_) engine->listed = engine->listed && !whole;
  for (const auto& [engine, listing] : listings) {
    if (std::find(engines_.begin(), engines_.end(), engine) == engines_.end()) {
      // The order is of chance, the larger rather first.
      engine->rank = -std::log(1 - 0.999 * chance()) / site_.machines[listing.kind].cores;
      const auto later = [&](const Engine* each) { return each->rank > engine->rank; };
      engines_.insert(std::find_if(engines_.begin(), engines_.end(), later), engine);
      engine->byType.resize(site_.types.size());
      if (peersTell()) engine->byPeer.resize(site_.controllers, {0, 0, now});
      const Span bucket = shortest_->slaTime * 4 / 7;
      for (auto* ring : {&engine->good, &engine->bad, &engine->away, &engine->spent, &engine->workDone})
        *ring = BucketRing<double>(bucket);
      engine->coldSent = BucketRing<double>(site_.fallSpan / 7 + Span{1});
    }
    // A process started anew has none of the old one's faults, nor its data sets.
    if (listing.started && listing.started != engine->listing.started) {
      engine->bad.clear(), engine->away.clear();
      engine->spent.clear();
      engine->workDone.clear();
      engine->warmSets.clear();
      engine->othersThreads = engine->othersMemoryMb = 0;
      engine->trialAt.reset();
    }
    engine->listing = listing;
    engine->listed = listing.standing == Standing::ready;
    weigh(*engine);
  }
  if (site_.listOnRequest) nextAsk_ = now + site_.mustAskWithin / 3;
  look();
}

void Controller::listFailed(Span now) {
  clock(now);
  nextAsk_ = now + site_.mustAskWithin / 8;
  look();
}

void Controller::woken(Span now) {
  clock(now);
  if (nextWake_ && *nextWake_ <= now) nextWake_.reset();
  look();
}

// Each gets its final answer before what that frees can start another.
void Controller::letGo(Span now, const std::vector<Job*>& jobs) {
  clock(now);
  for (Job* each : jobs)
    if (!each->over) giveUp(*each);
  look();
}

// ---- the way in -----------------------------------------------------------------------------------------

// Rule 5: jobs of one key run one at a time, in the order taken.
Controller::Step Controller::turn(Job& job) {
  if (!job.type->inOrder || !job.key) return Step::pass;
  const Turn& turn = turns_[job.key];
  if (turn.line.front() == &job && now_ >= turn.restsUntil) return Step::pass;
  keepUntil(job, std::max(now_ + shortest_->slaTime / 40, turn.restsUntil));
  return Step::keep;
}

Span Controller::waitEnd(const Job& job) const {
  return std::min(now_ + span(seconds(job.type->jobTimeout) * kWaitShare), job.expires);
}

// Told to take more than the time left to it, as dispatches go of late: it would keep its threads from jobs
// that can still be done, and its client leaves before the end. How much they are missed goes by how much of
// its mark the engine drawn for it uses: idle threads are missed by nobody, and an estimate may be too high.
// With nothing out it is tried: how dispatches go is learned from them alone.
bool Controller::hopeless(const Job& job, double used) const {
  const double expected = job.tokens / job.type->threads * typicalSlowness_ * used;
  return job.toldCost && threadsOut_ > 0 && expected > seconds(job.expires - now_);
}

// The design's class checks: a job that fits on no engine is throttled at once, any other may queue.
Controller::Step Controller::room(Job& job) {
  if (job.waitEnds) return Step::pass;
  job.waitEnds = waitEnd(job);
  const bool any = std::any_of(engines_.begin(), engines_.end(), [&](Engine* engine) {
    return engine->listed && placed(job, *engine) && fits(job, *engine);
  });
  return any ? Step::pass : Step::end;
}

// How many engines this controller looks at. One with thin shares keeps to a part of the fleet of its own,
// the first in its order of chance, as many as the jobs it takes in an SLA time: these it sees afresh.
double Controller::reach() {
  return thin_ ? std::max(kLooks, drawn_.sum(now_) / 4) : static_cast<double>(engines_.size());
}

// The best fitting engine: least loaded for its cores, warm, near, not one that has failed this job. Never
// all engines excluded: the doubted count where no sound one may have the job.
Engine* Controller::choose(const Job& job) {
  Engine* best = nullptr;
  double bestScore = 0;
  bool anySound = false;
  weighed_.clear();
  for (const bool sound : {true, false}) {
    if (!sound && anySound) break;
    double looks = reach();
    for (Engine* engine : engines_) {
      if (looks <= 0 && !isCold(*engine)) continue;
      // A trial is a short job, which costs least; a controller that has none sends what it has, later.
      const Span patience = job.type == shortest_ ? Span{0} : shortest_->slaTime * 4 * kTrialSlas;
      const bool trial = engine->trialAt && now_ >= *engine->trialAt + patience;
      const bool ill = doubted(*engine) && !trial;
      if (!engine->listed || ill == sound || !guarded(job, *engine)) continue;
      anySound = true;
      const Dispatch* before = nullptr;
      for (const auto& each : job.dispatches) before = each->engine == engine ? each.get() : before;
      --looks;
      if ((before && before->out) || !fits(job, *engine)) continue;  // a copy there would share its fate
      const auto& warm = engine->warmSets;
      const bool isWarm = std::find(warm.begin(), warm.end(), job.dataSet) != warm.end();
      // Where many guess alike, the room one job takes would send all to large engines; and what this
      // controller sent last is not what an engine read last.
      const double more = thin_ ? engine->cores : job.type->threads;
      const double luck = 1 + 0.1 * chance();
      double used = markUsed(more, *engine);
      // Crossing has a price and gains nothing while there is room here: below its mark one elsewhere counts
      // as fuller than it is.
      const double left = 1 + (more - job.type->threads) / (engine->cores * kMark) - used;
      if (engine->listing.location != site_.location)
        used += std::max(0.0, left) * std::min(1.0, kCrossing * site_.crossLocationPrice);
      double score =
          used * (isWarm || thin_ ? 1 : 1.25) * (before ? 2 : 1) * luck * host_.leaning(job, *engine);
      // A load holds its data set on its engine, and jobs that read it stand still there: on half of the
      // engines, by a hash that all controllers share; what reads goes to the other half.
      if (site_.loadsHold && (job.type->load || job.type->waits)) {
        const std::uint32_t mixed = (engine->number ^ (job.dataSet * 2654435761U)) * 2654435769U;
        if ((mixed >> 31 != 0) != job.type->load) score *= 2;
      }
      // One that turns some away costs so many dispatches a job, not the work of those that it takes: left
      // out whole, three of five that did so left theirs to two, which then had too much.
      score *= 1 + engine->away.sum(now_) / (engine->good.sum(now_) + 1);
      if (telling_)
        weighed_.push_back(
            {engine, score / luck, score, markUsed(job.type->threads, *engine), startChance(job, *engine)});
      if (best && score >= bestScore) continue;
      best = engine;
      bestScore = score;
    }
  }
  return best;
}

// How much of its mark an engine uses with so many threads more on it.
double Controller::markUsed(double more, Engine& engine) {
  const double load = engine.threads + others(engine).threads + more;
  return load / (engine.cores * kMark * easing(engine).ease);
}

// That a job starts at once on an engine drawn for it.
double Controller::startChance(const Job& job, Engine& engine) {
  if (hopeless(job, markUsed(job.type->threads, engine))) return 0;
  const double over = markUsed(asks(job, engine), engine) - 1;
  const double mine = engine.byType[job.type->index].threads;
  const bool byFloor = mine + job.type->threads <= floorThreads(job, engine, others(engine));
  return over <= 0 || byFloor ? 1 : job.overShare ? 0 : std::exp(-16 * over) / 4;
}

// Start on a fitting engine under the mark, or above it by a falling chance; else draw again a little later.
Controller::Step Controller::draw(Job& job) {
  if (Engine* best = choose(job)) {
    if (telling_) host_.weighed(job, weighed_);
    const double starts = startChance(job, *best);
    if (starts <= 0 && hopeless(job, markUsed(job.type->threads, *best))) return Step::end;
    if (starts >= 1 || (!job.overShare && chance() < starts)) {
      start(job, *best);
      return Step::pass;
    }
  }
  if (now_ >= *job.waitEnds || (job.overShare && job.dispatches.empty()) || hopeless(job, 1))
    return Step::end;
  keepUntil(job, std::min(now_ + span(seconds(shortest_->slaTime) / 40 * (0.5 + chance())), *job.waitEnds));
  return Step::keep;
}

// No wait outlasts the job: a key that rests past a job's time must not keep it from its answer. Nor is one
// drawn again in the same instant, whatever the settings leave at zero.
void Controller::keepUntil(Job& job, Span when) {
  if (job.waiting) std::erase_if(draws_, [&](const auto& each) { return each.second == &job; });
  job.waiting = true;
  draws_.emplace(std::max(now_ + std::max(site_.tick, Span{1}), std::min(when, job.expires - 2 * site_.tick)),
                 &job);
}

// Where nothing can be withdrawn and answers get lost (dispatches ran out of time without a note or an
// answer, which one that runs or waits would have brought), a short dispatch gets a time of its own, so that
// another can still be in time: twice the part of its SLA time that they take of late, 0.6 of it at least.
// One in five gets none: only these tell whether answers are lost still.
Span Controller::ownTime(const Job& job) {
  const double part = std::max(0.6, 2 * shortPart_);
  const bool another = static_cast<int>(job.dispatches.size()) + 1 < site_.mostDispatches &&
                       furtherLeft(kLostBudget) >= 1 && job.type->effect == Effect::restartable;
  if (site_.mayWithdraw || job.type != shortest_ || !another || part >= 1) return job.expires;
  if (lost_.sum(now_) < kLost || chance() < 0.2) return job.expires;
  return std::min(job.expires, now_ + span(part * slaSeconds(job)));
}

void Controller::start(Job& job, Engine& engine) {
  auto dispatch = std::make_unique<Dispatch>();
  dispatch->job = &job;
  dispatch->engine = &engine;
  dispatch->number = static_cast<std::uint8_t>(job.dispatches.size());
  dispatch->sent = now_;
  dispatch->location = engine.listing.location, dispatch->cell = engine.listing.cell;
  dispatch->until = ownTime(job);
  dispatch->threads = job.type->threads;
  dispatch->tokens = job.tokens;
  const double granted = grant(job, engine);
  dispatch->memoryMb = site_.memoryPages || granted <= 0 ? memoryNeed(job) : granted;
  InFlight& mine = engine.byType[job.type->index];
  mine.threads += dispatch->threads;
  mine.tokens += dispatch->tokens;
  engine.threads += dispatch->threads;
  engine.memoryMb += dispatch->memoryMb;
  threadsOut_ += dispatch->threads;
  shortsOut_ += job.type == shortest_ ? dispatch->threads : 0;
  if (!told_)
    fleetThreads_ = std::max(fleetThreads_, ofOthers(threadsOut_ / kMark));  // no burst after a stall
  engine.coldSent.add(now_, coldCost(job));
  started_.add(now_, 1);
  if (!job.dispatches.empty()) further_.add(now_, 1);
  if (site_.memoryHeeded || site_.prioritiesHeeded) host_.terms(job, granted, priority(job));
  auto& warm = engine.warmSets;
  warm.erase(std::remove(warm.begin(), warm.end(), job.dataSet), warm.end());
  warm.insert(warm.begin(), job.dataSet);
  if (warm.size() > 3) warm.pop_back();
  if (engine.trialAt) engine.trialAt = now_ + shortest_->slaTime * kTrialSlas;
  out_.push_back(dispatch.get());
  engine.out.push_back(dispatch.get());
  job.dispatches.push_back(std::move(dispatch));
  host_.dispatch(*job.dispatches.back());
}

// ---- the way back ---------------------------------------------------------------------------------------

void Controller::settle(Dispatch& dispatch) {
  Engine& engine = *dispatch.engine;
  dispatch.out = false;
  InFlight& mine = engine.byType[dispatch.job->type->index];
  mine.threads -= dispatch.threads;
  mine.tokens -= dispatch.tokens;
  engine.threads -= dispatch.threads;
  engine.memoryMb -= dispatch.memoryMb;
  threadsOut_ -= dispatch.threads;
  shortsOut_ -= dispatch.job->type == shortest_ ? dispatch.threads : 0;
  std::erase(engine.out, &dispatch);
  std::erase(out_, &dispatch);
}

void Controller::learn(Dispatch& dispatch, Outcome outcome, const std::optional<TrueCost>& cost) {
  Engine& engine = *dispatch.engine;
  const Job& job = *dispatch.job;
  TypeLore& lore = lore_[job.type->index];
  // A bad connection is no bad engine: peers spoil what any engine says, and a reset takes all along that was
  // out there, which is one sign, not many. An engine that has died is told by what is dispatched next.
  if (outcome == Outcome::withdrawn || outcome == Outcome::neverSent || outcome == Outcome::spoilt) return;
  const auto reset = outcome == Outcome::reset ? std::exchange(engine.lastReset, now_) : std::nullopt;
  if (reset && now_ - *reset < site_.tick) return;
  if (job.type == shortest_ && (outcome == Outcome::done || outcome == Outcome::timedOut))
    shortPart_ += (std::min(1.0, age(dispatch) / slaSeconds(job)) - shortPart_) / 50;
  // No answer and no note though time for one has passed, from an engine that has answered what was sent
  // later: the answer was lost, which is no fault of its and does not show it full.
  const bool own = dispatch.until < job.expires;
  const bool notable = site_.progressPace > Span{0} && age(dispatch) > seconds(site_.progressPace);
  if (outcome == Outcome::timedOut && (own || (notable && dispatch.progress <= 0))) {
    if (!own) lost_.add(now_, 1);
    if (engine.lastGood && *engine.lastGood > dispatch.sent) return;
    if (own) return engine.bad.add(now_, 1);
  }
  // Nor does it tell of an engine that a job was not done whose client gave it less than its own work takes.
  if (outcome == Outcome::timedOut && age(dispatch) < job.tokens / job.type->threads) return;
  ease(dispatch, outcome);
  if (outcome != Outcome::done) {
    (outcome == Outcome::turnedAway ? engine.away : engine.bad).add(now_, 1);
    // Turned away, or not answered in all its time: as good as a report of a full engine.
    if (engine.othersSeen && (outcome == Outcome::turnedAway || outcome == Outcome::timedOut)) {
      const Machine& machine = site_.machines[engine.listing.kind];
      engine.othersThreads = machine.cores * kMark * kMark;
      engine.othersMemoryMb = machine.memoryMb;
      engine.othersSeen = now_;
    }
    return;
  }
  engine.good.add(now_, 1);
  engine.lastGood = now_, engine.trialAt.reset();
  const double took = age(dispatch) * dispatch.threads;
  heldTime_ = heldTime_ * 0.99 + took / dispatch.threads;
  heldSquare_ = heldSquare_ * 0.99 + took * took / dispatch.threads;
  heldThreads_ = heldThreads_ * 0.99 + took;
  heldMemory_ = heldMemory_ * 0.99 + took / dispatch.threads * dispatch.memoryMb;
  engine.spent.add(now_, took);
  engine.workDone.add(now_, cost ? cost->threadSeconds : job.tokens);
  const double told = job.toldCost ? seconds(*job.toldCost) : took;
  blend(lore.meanCost, lore.costSeen, cost ? cost->threadSeconds : told);
  if (cost && job.toldCost) blend(lore.bias, lore.biasSeen, cost->threadSeconds / told);
  const double memory = job.toldMemoryMb;
  if (cost || memory > 0) blend(lore.meanMemoryMb, lore.memorySeen, cost ? cost->memoryMb : memory);
  if (cost && memory > 0) blend(lore.memoryBias, lore.memoryBiasSeen, cost->memoryMb / memory);
}

// The mark is fixed in the design; under shared slowness, or where engines thrash below it, it shrinks here
// while dispatches take longer than their SLA time, and grows back while they do not.
void Controller::ease(Dispatch& dispatch, Outcome outcome) {
  Engine& engine = *dispatch.engine;
  Easing& eased = easing(engine);
  const bool late = outcome == Outcome::timedOut || age(dispatch) > slaSeconds(*dispatch.job);
  if (outcome == Outcome::done && !late) {
    eased.ease = std::min(1.0, eased.ease + kEaseUp * dispatch.threads / engine.cores);
  } else if (late && (!eased.easedAt || *eased.easedAt < dispatch.sent)) {
    eased.ease = std::max(kLeastEase, eased.ease * kEaseDown);
    eased.easedAt = now_;
  }
}

// A dispatch has come back without an answer: another one if the rules and the time left allow it.
void Controller::judge(Job& job) {
  if (job.out() > 0 || job.waiting) return;
  const bool late = seconds(now_ - job.taken) > slaSeconds(job) && job.type->lateValue <= 0;
  const bool anywhere = std::any_of(engines_.begin(), engines_.end(), [&](const Engine* engine) {
    return engine->listed && repeatsSafely(job, *engine) && placed(job, *engine);
  });
  if (late || !anywhere || !mayRun(job) || now_ + site_.tick >= job.expires) return giveUp(job);
  job.waitEnds = waitEnd(job);
  job.dice = chance();
  drawn_.add(now_, 1);
  run(job);
}

// The final answer goes out at once, with a time to come back where the rules let the client try again.
void Controller::giveUp(Job& job) {
  const Span comeBack = span(slaSeconds(job) / 4 * (0.5 + chance()));
  const Span told = site_.comeBackHeard ? std::min(comeBack, site_.longestComeBack) : Span{0};
  // What has not left (its connection is still dialled) can be kept from leaving, and is then proven unrun.
  for (const auto& each : job.dispatches)
    if (each->out && !mayThrottle(job, told)) each->provenUnrun = host_.takeBack(*each);
  const bool harmless = mayThrottle(job, told);
  finish(job);
  harmless ? host_.throttle(job, told) : host_.cancelForGood(job);
  leaveLine(job);
}

void Controller::finish(Job& job) {
  job.over = true;
  if (job.waiting) std::erase_if(draws_, [&](const auto& each) { return each.second == &job; });
  job.waiting = false;
  if (!site_.mayWithdraw || job.streaming) return;
  for (const auto& each : job.dispatches)
    if (each->out) host_.withdraw(*each);
}

void Controller::leaveLine(Job& job) {
  if (!job.over || job.out() > 0 || !job.type->inOrder || !job.key) return;
  const auto at = turns_.find(job.key);
  if (at == turns_.end()) return;
  std::deque<Job*>& line = at->second.line;
  std::erase(line, &job);
  if (!line.empty() && line.front()->waiting) keepUntil(*line.front(), at->second.restsUntil);
}

// ---- the seven rules ------------------------------------------------------------------------------------

bool Controller::guarded(const Job& job, Engine& engine) {
  return mayRun(job) && engine.listed && repeatsSafely(job, engine) && placed(job, engine) &&
         furtherAllows(job) && coldAllows(job, engine);
}

// Rule 1, and the site's most dispatches.
bool Controller::mayRun(const Job& job) const {
  return !job.over && !job.streaming && now_ < job.expires &&
         static_cast<int>(job.dispatches.size()) < site_.mostDispatches;
}

// Rule 2.
bool Controller::repeatsSafely(const Job& job, const Engine& engine) const {
  if (!site_.secondCopies && job.out() > 0) return false;
  return std::all_of(job.dispatches.begin(), job.dispatches.end(), [&](const auto& each) {
    if (each->provenUnrun || job.type->effect == Effect::restartable) return true;
    if (job.type->effect == Effect::runOnce) return false;
    if (now_ + site_.tick - each->sent >= job.type->repeatWindow) return false;
    if (job.type->repeatGroup == RepeatGroup::location) return each->location == engine.listing.location;
    if (job.type->repeatGroup == RepeatGroup::cell) return each->cell == engine.listing.cell;
    return true;
  });
}

// The client tries again once it may come back, which has to be within the window as well.
bool Controller::mayThrottle(const Job& job, Span comeBackIn) const {
  if (job.type->effect == Effect::restartable) return true;
  return std::all_of(job.dispatches.begin(), job.dispatches.end(), [&](const auto& each) {
    return each->provenUnrun ||
           (job.type->effect == Effect::keyed && job.type->repeatGroup == RepeatGroup::all &&
            now_ + site_.tick + comeBackIn - each->sent < job.type->repeatWindow);
  });
}

// Rule 6.
bool Controller::placed(const Job& job, const Engine& engine) const {
  const auto holds = [](const std::optional<std::vector<unsigned>>& bound, unsigned value) {
    return !bound || std::find(bound->begin(), bound->end(), value) != bound->end();
  };
  return holds(job.type->locations, engine.listing.location) && holds(job.type->kinds, engine.listing.kind);
}

bool Controller::isCold(const Engine& engine) const {
  return engine.listing.started && now_ - *engine.listing.started < site_.coldFor;
}

// Rule 4: this controller's part of what all together may send a cold engine in any window. The engine counts
// as no warmer than at its start. A part that holds no whole job is rounded by chance: one draw a job, so
// that waiting wins nothing, and only for jobs so small against what the engine can do at its start that the
// sum keeps close to what is expected.
bool Controller::coldAllows(const Job& job, Engine& engine) {
  if (!isCold(engine) || site_.fallMultiple <= 0) return true;
  const double cores = site_.machines[engine.listing.kind].cores, cost = coldCost(job);
  const double able = site_.coldStart * cores * seconds(site_.fallSpan);
  const double part = able * site_.fallMultiple * kColdSafety / site_.controllers;
  if (cost <= part) return engine.coldSent.sum(now_) + cost <= part;
  const double lived = std::min(seconds(now_ - began_), seconds(shortest_->slaTime) * 3.5);
  const double wanted = (drawn_.sum(now_) + 1) / std::max(lived, 1e-3) * cost * seconds(site_.fallSpan);
  const double dice = std::fmod(job.dice + engine.rank * cores * 64, 1);
  return cost * kColdJobs <= able && dice * wanted < part;
}

// A job counts as what it is told to take, its type's usual work at least: the usual, learned from a few
// answers, may be a tenth of what is. Where jobs tell nothing, no less than at the start until more have
// come.
double Controller::coldCost(const Job& job) const {
  const ReservationType& type = *job.type;
  const bool known = job.toldCost || lore_[type.index].costSeen >= kFewAnswers;
  return std::max({meanCost(type), job.tokens, known ? 0 : seconds(type.slaTime) * type.threads});
}

// Rule 7.
bool Controller::furtherAllows(const Job& job) {
  if (job.dispatches.empty() || site_.furtherSpan <= Span{0}) return true;
  return furtherLeft(1) >= 1;
}

double Controller::furtherLeft(double part) {
  const double all = site_.furtherFloor + site_.furtherRatio * taken_.sum(now_);
  return site_.furtherSpan > Span{0} ? part * all - further_.sum(now_) : site_.mostDispatches;
}

// ---- what an engine can take ----------------------------------------------------------------------------

// A cold or slow engine counts for less. Slow is meant against the others: all slow together are not ill.
double Controller::weigh(Engine& engine) {
  double& cores = engine.cores = site_.machines[engine.listing.kind].cores;
  if (isCold(engine)) {
    const double part = seconds(now_ - *engine.listing.started) / seconds(site_.coldFor);
    cores *= site_.coldStart + (1 - site_.coldStart) * std::clamp(part, 0.0, 1.0);
  }
  const double slow = slowness(engine);
  if (slow / typicalSlowness_ > 1.5) cores /= slow / typicalSlowness_;
  return slow;
}

// Threads for the work done, with what is out and overdue counted as it stands.
double Controller::slowness(Engine& engine) {
  double spent = engine.spent.sum(now_), work = engine.workDone.sum(now_);
  for (const Dispatch* each : engine.out) {
    const double took = age(*each) * each->threads;
    if (took > each->tokens * 2 * typicalSlowness_) {
      spent += took;
      work += each->tokens;
    }
  }
  const double prior = meanCost(*shortest_) * 2;
  return (spent + prior * typicalSlowness_) / (work + prior);
}

// What the other controllers have on an engine. A report or a peer's word fades into what is known of the
// whole fleet as what the engine held runs off: one seen idle is soon as full as any, one seen full stays so
// for long, but is not shut out for good because nobody looks again.
InFlight Controller::others(Engine& engine) {
  const Machine& machine = site_.machines[engine.listing.kind];
  const double age = engine.othersSeen ? seconds(now_ - *engine.othersSeen) : 99;
  const double drains = engine.othersThreads / machine.cores * heldSquare_ / heldThreads_;
  const double trust = std::exp(-age / std::max(drains, 1e-3));
  const auto blend = [&](double seen, double fleet) { return trust * seen + (1 - trust) * fleet; };
  const double part = isCold(engine) ? 0 : 1;  // what all send a cold one is rationed already
  return {blend(engine.othersThreads, fleetThreads_ * part * machine.cores), 0,
          blend(engine.othersMemoryMb, fleetMemory_ * part * machine.memoryMb)};
}

// The share of the mark, or all that the others are seen to leave of it: a busy controller among light ones
// passes its share below the mark.
double Controller::bound(Engine& engine, const InFlight& theirs) {
  const double whole = engine.cores * kMark * easing(engine).ease * kOverMark;
  const double share = whole / site_.controllers;
  return std::max(share, whole - theirs.threads);
}

// The floor of the shortest type holds one job at least, however thin the share, but on no engine that all
// together are told to have filled past any bound, nor, untold, past this controller's part of all marks.
double Controller::floorThreads(const Job& job, Engine& engine, const InFlight& theirs) {
  const double threads = floors_[job.type->index] * bound(engine, theirs), more = job.type->threads;
  const bool filled = told_ ? theirs.threads + engine.threads + more > engine.cores * kMark * kOverMark
                            : shortsOut_ + more > allCores_ * kMark / site_.controllers;
  return job.type != shortest_ || filled ? threads : std::max(threads, more);
}

// Threads that a job counts for where it asks to be let in: of a mark no more than is no floor, so that an
// engine that is all but idle takes any.
double Controller::asks(const Job& job, const Engine& engine) const {
  return std::min(job.room, std::max<double>(job.type->threads, engine.cores * kMark * (1 - kFloorShare)));
}

// Floors first, then the shared remainder, in threads and in tokens.
bool Controller::fits(const Job& job, Engine& engine) {
  const Machine& machine = site_.machines[engine.listing.kind];
  const std::size_t type = job.type->index;
  const InFlight theirs = others(engine);
  const double threads = bound(engine, theirs);
  const double tokens = threads / kMark * horizon_;
  // A type with nothing in flight here may start one job below the mark: else a share thinner than a wide
  // job, or a budget smaller than a dear one, would shut it out for good.
  const double whole = engine.cores * kMark * easing(engine).ease, more = asks(job, engine);
  const bool alone = engine.byType[type].threads <= 0 &&
                     (theirs.threads <= 0 || engine.threads + theirs.threads + more <= whole);
  const InFlight& mine = engine.byType[type];
  const bool byFloor = mine.threads + job.type->threads <= floorThreads(job, engine, theirs) &&
                       (mine.threads <= 0 || mine.tokens + job.tokens <= floors_[type] * tokens);
  if (!alone && !byFloor) {
    double borrowedThreads = 0, borrowedTokens = 0;
    for (std::size_t each = 0; each < floors_.size(); ++each) {
      const InFlight& used = engine.byType[each];
      const double own = each == type ? 1 : 0;
      borrowedThreads += std::max(0.0, used.threads + own * more - floors_[each] * threads);
      borrowedTokens += std::max(0.0, used.tokens + own * job.tokens - floors_[each] * tokens);
    }
    const double ceiling = job.type->load ? kLoadCeiling : 1;
    if (mine.threads + more > ceiling * threads) return false;
    if (mine.tokens + job.tokens > ceiling * tokens) return false;
    if (std::max(borrowedThreads / threads, borrowedTokens / tokens) > 1 - kFloorShare) return false;
  }
  // Grants past the memory make the engine page, or its queue stand: they count like threads. A job that
  // needs under half its threads' part does not crowd it; an engine far past its memory is left alone by all.
  const double need = memoryNeed(job), used = engine.memoryMb + theirs.memoryMb;
  const double fair = machine.memoryMb * job.type->threads / (machine.cores * kMark) / 2;
  if (machine.memoryMb <= 0 || used <= 0) return true;
  return used + need <= machine.memoryMb * (need <= fair ? kEngineGrantOver : kMemoryFull);
}

// Doubted: it failed much of late, or holds overdue work and has shown no sign of life since that was sent.
// From then on it gets one short job a pause as a trial, until one comes back done.
bool Controller::doubted(Engine& engine) {
  const double bad = engine.bad.sum(now_), good = engine.good.sum(now_);
  bool ill = (bad >= 2 && bad > kIllShare * (bad + good)) || engine.away.sum(now_) > kMostAway * (good + 1);
  for (const Dispatch* each : engine.out) {
    const bool noSign = !engine.lastGood || *engine.lastGood < each->sent;
    ill = ill || (noSign && age(*each) > slaSeconds(*each->job));
  }
  if (ill && !engine.trialAt) engine.trialAt = now_ + shortest_->slaTime * kTrialSlas;
  return engine.trialAt.has_value();
}

// ---- estimates ------------------------------------------------------------------------------------------

double Controller::meanCost(const ReservationType& type) const { return lore_[type.index].meanCost; }

double Controller::slaSeconds(const Job& job) const {
  const double sla = seconds(job.type->slaTime) + job.type->slaStretch * job.tokens / job.type->threads;
  return std::min(sla, seconds(job.expires - job.taken));  // a client that leaves early is late early
}

// Memory a job will be granted. Until a type's need is known a wide job counts as its threads' part.
double Controller::memoryNeed(const Job& job) const {
  const TypeLore& lore = lore_[job.type->index];
  if (job.toldMemoryMb > 0) return job.toldMemoryMb * lore.memoryBias;
  if (lore.memorySeen > 0) return lore.meanMemoryMb * (site_.memoryHeeded ? 1 : kEngineGrantOver);
  const Machine& machine = site_.machines.front();
  const bool wide = job.type->threads > shortest_->threads;
  return wide ? machine.memoryMb * job.type->threads / (machine.cores * kMark) : 0;
}

// Where only memory in use slows an engine, what a grant has over the need costs nobody, and one below it
// makes the job spill and do its work several times: the most that one job gets. Where grants take memory
// from others and the need is known, by answers or as well as it ever will be, a little over it, and of what
// is free there its threads' part: an estimate may be too low. Elsewhere the engine's own choice.
double Controller::grant(const Job& job, Engine& engine) {
  const TypeLore& lore = lore_[job.type->index];
  if (site_.memoryHeeded && site_.memoryPages) return site_.mostGrantMb;
  const bool known = lore.memoryBiasSeen >= 10 || site_.needUntold;
  if (!known || !site_.memoryHeeded || job.toldMemoryMb <= 0) return 0;
  const double need = memoryNeed(job), memory = site_.machines[engine.listing.kind].memoryMb;
  const double free = std::max(0.0, memory - engine.memoryMb - others(engine).memoryMb - need);
  const double part = free * job.type->threads / (site_.machines[engine.listing.kind].cores * kMark);
  return std::clamp(need + part, need * kGrantOver, need * kGrantMost);
}

int Controller::priority(const Job& job) const {
  return job.type == shortest_ ? 3 : job.tokens < meanCost(*job.type) / 2 ? 2 : 1;
}

// A report is from a while back: what was sent since is not in it, and must not be taken off it as own.
void Controller::read(Engine& engine, const LoadReport& report) {
  if ((!report.jobsHeld && !report.coresBusy) || peersTell()) return;
  double held = 0, threads = 0, memory = 0;
  for (const Dispatch* each : engine.out) {
    if (now_ - each->sent < shortest_->slaTime) continue;
    held += 1;
    threads += each->threads;
    memory += each->memoryMb;
  }
  const Machine& machine = site_.machines[engine.listing.kind];
  const double granted = report.memoryGranted.value_or(0) * machine.memoryMb;
  // An engine whose cores or disks are busy all the time stands at its mark, as far as is told.
  const double busy = std::max(report.coresBusy.value_or(0), report.disksBusy.value_or(0));
  engine.othersThreads = report.jobsHeld ? std::max(0.0, *report.jobsHeld - held) * heldThreads_ / heldTime_
                                         : std::max(0.0, busy * machine.cores * kMark - threads);
  engine.othersMemoryMb = report.memoryGranted ? std::max(0.0, granted - memory)
                                               : engine.othersThreads * heldMemory_ / heldThreads_;
  engine.othersSeen = now_ == stallEnded_ ? now_ - stalled_ : now_;  // it may have waited as long
}

// ---- by the clock ---------------------------------------------------------------------------------------

void Controller::survey() {
  if (now_ < nextSurvey_) return;
  nextSurvey_ = now_ + shortest_->slaTime / 8;
  ownThreads_.add(now_, threadsOut_);
  std::vector<double> all;
  double threads = 0, memory = 0, cores = 0, machines = 0;
  allCores_ = 0;
  for (Engine* engine : engines_) {
    if (!engine->listed) continue;
    allCores_ += site_.machines[engine->listing.kind].cores;
    const double slow = weigh(*engine);
    const bool ill = doubted(*engine);
    if (ill != engine->doubtLogged)
      host_.log("engine " + std::to_string(engine->number) + (ill ? " doubted" : " trusted"));
    engine->doubtLogged = ill;
    if (engine->workDone.sum(now_) > 0) all.push_back(slow);
    told_ = told_ || engine->othersSeen;
    if (!engine->othersSeen || now_ - *engine->othersSeen > shortest_->slaTime * kFreshSlas) continue;
    threads += engine->othersThreads;
    memory += engine->othersMemoryMb;
    cores += site_.machines[engine->listing.kind].cores;
    machines += std::max(1.0, site_.machines[engine->listing.kind].memoryMb);
  }
  if (cores > 0) {
    fleetThreads_ = threads / cores;
    fleetMemory_ = memory / machines;
  } else if (told_) {
    // Who sheds by an old word hears no new one: it fades, more slowly than what the fleet held runs off.
    const double drains = std::max(1e-3, kHeldOff * fleetThreads_ * heldSquare_ / heldThreads_);
    const double left = std::exp(-seconds(shortest_->slaTime) / 8 / drains);
    fleetThreads_ *= left, fleetMemory_ *= left;
  } else {
    // Nobody tells of the others: they do as this one did over a while. Its memory out is too little to tell.
    fleetThreads_ = ofOthers(ownThreads_.sum(now_) / 32);  // so many looks are summed
  }
  if (!all.empty()) {
    std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2), all.end());
    typicalSlowness_ = std::max(0.1, all[all.size() / 2]);
  }
  horizon_ = 0;
  for (const ReservationType& type : site_.types) {
    const double mean = type.slaStretch * meanCost(type) / type.threads;
    horizon_ = std::max(horizon_, kTokenHorizon * (seconds(type.slaTime) + mean));
  }
  std::erase_if(turns_,
                [&](const auto& at) { return at.second.line.empty() && now_ >= at.second.restsUntil; });
  rescue();
  tellPeers();
  probeUnseen();
  // Where the list must be asked for, one long unasked counts as told of all listed since: ask in time.
  if (!site_.listOnRequest || now_ < nextAsk_) return;
  nextAsk_ = now_ + site_.mustAskWithin / 3;
  host_.watchList();
}

// Where only probes bring load reports and no peer tells, an engine is probed when its last report has aged
// (of a thin share's part of the fleet, more rarely), one probe for two jobs at most. So each controller sees
// other engines afresh than the next: where all saw the same idle one, all went there until the next probe.
void Controller::probeUnseen() {
  if (!site_.reportsOnProbe || !site_.mayProbe || peersTell() || site_.controllers < 2) return;
  const Span aged = shortest_->slaTime * kFreshSlas * (thin_ ? 2 : 1);
  double looks = reach();
  for (Engine* engine : engines_) {
    if (--looks < 0 || 2 * probes_.sum(now_) >= drawn_.sum(now_)) return;
    const auto recent = [&](const std::optional<Span>& at) { return at && now_ - *at < aged; };
    if (!engine->listed || recent(engine->othersSeen) || recent(engine->probeSent)) continue;
    engine->probeSent = now_;
    probes_.add(now_, 1);
    host_.probe(*engine);
  }
}

// A dispatch far behind what its job should take (a bad plan, an engine that hangs or crawls, an answer lost)
// is withdrawn while another can still answer in time. Where an estimate is the only evidence it is left
// alone, and a second copy sent if the site allows one: to an engine under its mark, and a few in a hundred
// jobs at most.
void Controller::rescue() {
  const std::vector<Dispatch*> all = out_;
  for (Dispatch* each : all) {
    Job& job = *each->job;
    if (each->withdrawn || job.over || job.streaming || job.type->effect == Effect::runOnce || !mayRun(job))
      continue;
    const double usual = std::max(job.tokens, meanCost(*job.type) / 4) / job.type->threads * typicalSlowness_;
    const double took = age(*each);
    const double toGo = each->progress > 0 ? took / each->progress - took : took;
    if (seconds(job.expires - now_) < 2 * usual) continue;
    if (site_.mayWithdraw && (site_.progressPace > Span{0} || doubted(*each->engine))) {
      const bool seen = each->progress > 0 && took > usual * kRunaway / 2 && toGo > usual * kRunaway;
      if (!seen && (took < kRunaway * usual || toGo < 2 * usual)) continue;
      each->withdrawn = true;
      host_.withdraw(*each);
    } else if (site_.secondCopies && job.type == shortest_ && job.out() == 1 && took > slaSeconds(job) / 2 &&
               took > usual * kRunaway / 2 && copies_.sum(now_) < kCopyShare * started_.sum(now_)) {
      Engine* other = choose(job);
      if (!other || markUsed(job.type->threads, *other) > 1) continue;
      copies_.add(now_, 1);
      start(job, *other);
    }
  }
}

void Controller::tellPeers() {
  if (!peersTell() || site_.controllers < 2 || now_ < nextTell_) return;
  nextTell_ = now_ + shortest_->slaTime / 3;
  std::vector<PeerNote> notes;
  for (Engine* engine : engines_)
    if (engine->threads > 0)
      notes.push_back({engine, static_cast<float>(engine->threads), static_cast<float>(engine->memoryMb)});
  host_.tellPeers(notes);
}

void Controller::advance() {
  while (!draws_.empty() && draws_.begin()->first <= now_) {
    Job& job = *draws_.begin()->second;
    draws_.erase(draws_.begin());
    job.waiting = false;
    now_ + 2 * site_.tick >= job.expires ? giveUp(job) : run(job);
  }
  Span next = nextSurvey_;
  if (!draws_.empty()) next = std::min(next, draws_.begin()->first);
  if (nextWake_ && *nextWake_ <= next) return;
  nextWake_ = next;
  host_.wakeAt(next);
}

}  // namespace paddletrack
