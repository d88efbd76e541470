#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "choice.hpp"
#include "hindsight/recorder.hpp"
#include "protocol/change_log.hpp"
#include "protocol/settings.hpp"
#include "routing/exchange.hpp"
#include "routing/server_side.hpp"

namespace paddletrack::routing {

// Where events of the protocols become calls on the Controller, and its answers become messages. Owns the
// exchanges and the executors. The Controller is called from here only, and never from within its own call.
class Desk final : private Host, private ServerSide::Ends {
 public:
  struct Bounds {
    std::size_t open = 1;  // requests at once
    ServerSide::Bounds links;
  };
  Desk(transport::Scheduler& scheduler, transport::Unsent& unsent, const protocol::Told& told,
       const Bounds& bounds, std::uint64_t seed, const Say& say);

  const protocol::Told& told() const { return told_; }
  Span now() const;
  std::size_t open() const { return exchanges_.size(); }
  bool ready() const { return !executors_.empty(); }  // it knows where jobs could go
  bool full() const { return exchanges_.size() >= bounds_.open; }
  bool holds(const std::string& reference) const {
    return held_.count(reference) > 0;
  }  // a job of it is alive

  // Throws std::bad_alloc where there is no room for it: then it was never here.
  void take(std::unique_ptr<Exchange> taken);
  void left(Exchange& exchange);  // its client has
  void listed(const protocol::Change& change);
  void listFailed();
  std::string counts() const;  // for the log
  void answerBy(Span end);     // this process ends then: nothing is awaited for longer
  void endAll();               // each open job gets its final answer now

  void lookBack(hindsight::Recorder& recorder);  // keeps records of all decisions from here on
  // Told where a decision could not be brought to its end: nothing it holds can be trusted any more. It must
  // not return. Not set: std::terminate.
  void tellBroken(std::function<void(const Error&)> to) { broken_ = std::move(to); }

  // Told of each job that got one, as soon as that is on its way.
  using Answered = std::function<void(const Exchange&)>;
  void tellAnswered(Answered to) { answered_ = std::move(to); }
  struct Totals {
    std::uint64_t taken = 0, left = 0;
    std::array<std::uint64_t, 4> answers{};  // as Exchange::Answer
    std::array<std::uint64_t, 9> ends{};     // of dispatches, as Outcome
  };
  const Totals& totals() const { return counts_; }
  template <typename Look>
  void eachOpen(Look look) const {  // of the jobs without a final answer
    for (const auto& each : exchanges_)
      if (!each->over) look(*each);
  }
  std::size_t dispatchesOut() const;
  template <typename Look>
  void eachExecutor(Look look) const {
    for (const auto& [id, each] : executors_) look(*each);
  }
  // By hand, for a while: whether there is such an engine and such an address of it.
  enum class Found { yes, noEngine, noAddress };
  Found setAddress(const std::string& engine, const std::string& address, reach::Routes::ByHand what,
                   Span until);
  Span reachClock() const { return servers_.clock(); }  // of what is known of addresses
  // Who says where a group's jobs should rather go, and is told where each goes. It outlives its use here.
  class Leaning {
   public:
    virtual ~Leaning() = default;
    virtual double leaning(std::uint32_t dataSet, const Executor& engine) const = 0;  // times its score
    virtual void dispatched(std::uint32_t dataSet, const Executor& engine) = 0;
  };
  void lean(Leaning* to) { leaning_ = to; }
  void prefer(std::vector<reach::Family> families) { servers_.prefer(std::move(families)); }

 private:
  void dispatch(Dispatch& made) override;
  void terms(Job& job, double grantMb, int priority) override;
  void throttle(Job& job, Span comeBackIn) override;
  void cancelForGood(Job& job) override;
  void withdraw(Dispatch& made) override;
  bool takeBack(Dispatch& made) override;
  void wakeAt(Span when) override;
  void probe(Engine& engine) override;
  void tellPeers(const std::vector<PeerNote>& notes) override;
  void watchList() override;
  void log(std::string_view text) override;
  double leaning(const Job& job, const Engine& engine) override {
    return leaning_ ? leaning_->leaning(job.dataSet, static_cast<const Executor&>(engine)) : 1;
  }
  void weighed(const Job& job, const std::vector<Weighed>& all) override;

  void ended(Sending& sending, Outcome outcome) override;

  template <typename Step>
  void decide(Step step);
  void tell(Sending& sending, Outcome outcome);
  void timedOut(Sending& sending);
  void tellWithdrawn();
  void answer(Exchange& exchange, Exchange::Answer answer);
  void touch(Exchange& exchange);
  transport::Moment leaveBy(const Dispatch& made) const;
  void forgetEnded();
  transport::Moment outside(Span time) const { return start_ + time; }

  transport::Scheduler& scheduler_;
  const protocol::Told& told_;
  const Bounds bounds_;
  const Say& say_;
  const transport::Moment start_;
  const std::chrono::system_clock::time_point startOnClock_;
  std::optional<Span> end_;
  bool asked_ = false;  // for the list
  Totals counts_;
  Answered answered_;
  Leaning* leaning_ = nullptr;
  hindsight::Recorder* recorder_ = nullptr;
  std::function<void(const Error&)> broken_;
  std::list<std::unique_ptr<Exchange>> exchanges_;
  std::unordered_set<std::string> held_;  // their references
  std::unordered_map<std::string, std::unique_ptr<Executor>> executors_;
  std::unordered_set<Executor*> gone_;  // off the list, to be forgotten once nothing knows them any more
  std::uint32_t numbers_ = 0;           // of executors ever known
  std::vector<Exchange*> touched_;
  std::vector<Sending*> withdrawn_;
  transport::Call tellWithdrawn_, wake_;
  ServerSide servers_;
  Controller controller_;
};

}  // namespace paddletrack::routing
