#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include "model/deployment.hpp"
#include "model/engine.hpp"
#include "model/job.hpp"

namespace paddletrack {

// An engine that was weighed for a job. It is taken where `score` times 1 to 1.1, by a chance of its own,
// comes out least; `starts` is the chance that the job then starts there at once.
struct Weighed {
  Engine* engine = nullptr;
  double score = 0, drawn = 0;  // without its chance, and with it
  double used = 0;              // of its mark, with this job
  double starts = 0;
};

// What a controller can do. It runs at once and never calls back into the controller.
class Host {
 public:
  virtual ~Host() = default;
  virtual void dispatch(Dispatch&) = 0;
  virtual void terms(Job&, double grantMb, int priority) = 0;
  virtual void throttle(Job&, Span comeBackIn) = 0;
  virtual void cancelForGood(Job&) = 0;
  virtual void withdraw(Dispatch&) = 0;
  // Keeps a dispatch from leaving; false: some of it may have. What was kept ends as never sent.
  virtual bool takeBack(Dispatch&) { return false; }
  virtual void wakeAt(Span) = 0;
  virtual void probe(Engine&) = 0;
  virtual void tellPeers(const std::vector<PeerNote>&) = 0;
  virtual void watchList() = 0;
  virtual void log(std::string_view) = 0;
  // Times an engine's score for a job: below 1 it is rather chosen (docs/rebalance.md).
  virtual double leaning(const Job&, const Engine&) { return 1; }
  // Where tellWeighed is on: at each draw that has an engine to take, before the job starts or waits.
  virtual void weighed(const Job&, const std::vector<Weighed>&) {}
};

struct TrueCost {
  double threadSeconds = 0;
  double memoryMb = 0;
};

using Listings = std::vector<std::pair<Engine*, Listing>>;

// One controller: told what happens, in the order it happens; answers through its Host.
// Jobs and engines belong to the caller. A job stays valid until it is over and has no dispatch out, an
// engine until it is forgotten: off the list, and no valid job has ever been dispatched to it.
class Controller {
 public:
  Controller(Host& host, const Deployment& deployment, std::uint64_t seed, Span now);

  void take(Span now, Job& job);
  void ended(Span now, Dispatch& dispatch, Outcome outcome, bool jobOver, std::optional<TrueCost> cost,
             const LoadReport* report);
  void begun(Span now, Dispatch& dispatch);
  void gaveUp(Span now, Job& job);  // the client has left
  void noted(Span now, Dispatch& dispatch, Note note, double value);
  void probed(Span now, Engine& engine, bool answered, const LoadReport* report);
  void heard(Span now, unsigned peer, const std::vector<PeerNote>& notes);
  void listed(Span now, bool whole, const Listings& listings);
  void forget(Engine& engine) { std::erase(engines_, &engine); }
  void listFailed(Span now);
  void woken(Span now);
  void letGo(Span now, const std::vector<Job*>& jobs);  // they are wanted here no longer
  void tellWeighed(bool on) { telling_ = on; }

 private:
  enum class Step { pass, keep, end };
  using Stage = Step (Controller::*)(Job&);

  // What is learned of a reservation type.
  struct TypeLore {
    double meanCost = 0, meanMemoryMb = 0, bias = 1, memoryBias = 1;
    double costSeen = 0, memorySeen = 0, biasSeen = 0, memoryBiasSeen = 0;
    double meanTaken = 0, takenSeen = 0;  // cost, of all that came
  };
  struct Turn {
    std::deque<Job*> line;
    Span restsUntil{0};
  };

  void run(Job& job);
  Step turn(Job& job);
  Step room(Job& job);
  Step draw(Job& job);

  void settle(Dispatch& dispatch);
  void learn(Dispatch& dispatch, Outcome outcome, const std::optional<TrueCost>& cost);
  void ease(Dispatch& dispatch, Outcome outcome);
  void judge(Job& job);
  void finish(Job& job);

  bool mayRun(const Job& job) const;
  bool mayThrottle(const Job& job, Span comeBackIn) const;
  bool repeatsSafely(const Job& job, const Engine& engine) const;
  bool placed(const Job& job, const Engine& engine) const;
  double coldCost(const Job& job) const;
  bool coldAllows(const Job& job, Engine& engine);
  bool furtherAllows(const Job& job);
  double furtherLeft(double part);  // of the budget, or of a part of it
  Span ownTime(const Job& job);
  bool guarded(const Job& job, Engine& engine);
  bool isCold(const Engine& engine) const;

  double weigh(Engine& engine);  // and tells its slowness
  InFlight others(Engine& engine);
  double ofOthers(double own) const { return own * (site_.controllers - 1) / std::max(1.0, allCores_); }
  Easing& easing(Engine& engine) { return thin_ && !told_ ? fleetEase_ : engine.easing; }
  double bound(Engine& engine, const InFlight& theirs);
  double floorThreads(const Job& job, Engine& engine, const InFlight& theirs);
  double asks(const Job& job, const Engine& engine) const;
  bool fits(const Job& job, Engine& engine);
  bool doubted(Engine& engine);
  double slowness(Engine& engine);
  // The peers' own counts tell little where each is less than a job, and cost the square of their number.
  bool peersTell() const { return site_.mayTellPeers && !thin_; }
  double reach();
  void survey();
  Engine* choose(const Job& job);
  double markUsed(double more, Engine& engine);
  double startChance(const Job& job, Engine& engine);
  void start(Job& job, Engine& engine);
  void giveUp(Job& job);

  double slaSeconds(const Job& job) const;
  double meanCost(const ReservationType& type) const;
  double memoryNeed(const Job& job) const;
  double grant(const Job& job, Engine& engine);
  int priority(const Job& job) const;
  void read(Engine& engine, const LoadReport& report);
  void clock(Span now);
  double age(const Dispatch& sent) const;
  void look() { survey(), advance(); }
  void advance();
  void leaveLine(Job& job);
  Span waitEnd(const Job& job) const;
  bool hopeless(const Job& job, double used) const;
  void keepUntil(Job& job, Span when);
  void rescue();
  void tellPeers();
  void probeUnseen();
  double chance() {
    return static_cast<double>(dice_() - dice_.min()) / static_cast<double>(dice_.max() - dice_.min());
  }

  Host& host_;
  const Deployment& site_;
  std::minstd_rand dice_;
  Span now_, began_;
  std::vector<Engine*> engines_;
  std::vector<TypeLore> lore_;
  std::vector<double> floors_;
  std::vector<BucketRing<double>> customerTaken_;
  BucketRing<double> quotaTaken_;  // of all customers that have a quota, which come to this sum
  double quotas_ = 0;
  BucketRing<double> taken_, further_;  // for the budget of further dispatches
  BucketRing<double> lost_;             // dispatches that ran out of time without any sign
  double shortPart_ = 0.25;             // of the SLA time: what the shortest type takes of late
  BucketRing<double> copies_, drawn_, started_, probes_;
  const ReservationType* shortest_ = nullptr;
  std::multimap<Span, Job*> draws_;
  std::map<std::uint64_t, Turn> turns_;
  std::vector<Dispatch*> out_;
  double typicalSlowness_ = 1;
  double horizon_ = 0;  // seconds of work for each thread
  bool told_ = false;   // reports or peers have told of the others
  bool thin_ = false;   // a controller's share of an engine is less than the widest job
  double fleetThreads_ = 0, fleetMemory_ = 0;             // of the others: threads a core, part of the memory
  double threadsOut_ = 0, shortsOut_ = 0, allCores_ = 0;  // own, on all engines
  BucketRing<double> ownThreads_;
  Easing fleetEase_;
  double heldTime_ = 1e-3, heldThreads_ = 1e-3, heldSquare_ = 1e-3, heldMemory_ = 0;
  std::optional<Span> nextWake_, stallEnded_;
  Span stalled_{0};
  Span nextSurvey_{0}, nextTell_{0}, nextAsk_{0};
  bool telling_ = false;
  std::vector<Weighed> weighed_;
};

}  // namespace paddletrack
