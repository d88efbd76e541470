// One day of one controller in virtual time: the real Controller behind its Host, stand-in engines that share
// their cores among what runs, the other controllers as work that comes to the engines by itself. The same
// terms give the same day; a policy may be forced on one job or on all.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "choice.hpp"
#include "hindsight/recorder.hpp"

namespace paddletrack::rig {

enum class DayKind { calm, hang, slow, cold, partition, burst, mixed };
constexpr unsigned kDayKinds = 7;
const char* nameOf(DayKind kind);

struct DayTerms {
  std::uint64_t seed = 1;
  DayKind kind = DayKind::calm;
  Span length{std::chrono::seconds(12)};
  double perSecond = 54;  // jobs of this controller
  unsigned engines = 6;
  std::optional<hindsight::Policy> forced;  // on all jobs
};

class Replay final : public Host {
 public:
  explicit Replay(const DayTerms& terms);

  // What a job comes to under a policy that is forced on it alone, as far as the policy is within chance's
  // reach. Called at its first draw wherever the policy may do another thing than the module, for the caller
  // to fork: 0 in the day that goes on, in each copy another number, for the copy's own chance. `sure`: the
  // engine at which it starts there without any chance.
  using Fork = std::function<unsigned(std::size_t job, hindsight::Policy policy, const Engine* sure)>;
  void forkAt(Fork fork) { fork_ = std::move(fork); }
  using Over = std::function<void(std::size_t job, double latency, bool inTime)>;
  void run(const Over& over = nullptr);  // to the day's end and until all jobs are over

  struct Outcome {
    double latency = 0;
    bool inTime = false;
  };
  const std::vector<Outcome>& outcomes() const { return outcomes_; }
  hindsight::Recorder& recorder() { return *recorder_; }
  Span now() const { return now_; }
  std::size_t forced() const { return forcedCount_; }

 private:
  struct Running {
    Dispatch* dispatch = nullptr;  // none: of another controller
    double left = 0;               // seconds of one thread
    double threads = 1;
  };
  struct Machinery {
    double speed = 1;
    bool hangs = false;
    std::optional<Span> coldSince;
    std::vector<Running> running;
    Span looked{0};
  };

  void dispatch(Dispatch& made) override;
  void terms(Job&, double, int) override {}
  void throttle(Job& job, Span) override { finish(job, false); }
  void cancelForGood(Job& job) override { finish(job, false); }
  void withdraw(Dispatch& made) override;
  void wakeAt(Span when) override { wake_ = wake_ ? std::min(*wake_, when) : when; }
  void probe(Engine&) override {}
  void tellPeers(const std::vector<PeerNote>&) override {}
  void watchList() override {}
  void log(std::string_view) override {}
  void weighed(const Job& job, const std::vector<Weighed>& all) override;

  void plan();
  void at(Span when, std::function<void()> what) { events_.emplace(when, std::move(what)); }
  void take(std::size_t job);
  void tell(const std::function<void()>& call);
  void end(Dispatch& sent, paddletrack::Outcome outcome);
  void finish(Job& job, bool done);
  void pass(Machinery& machine, Span until);
  double rate(const Machinery& machine) const;
  std::optional<Span> nextDone(const Machinery& machine) const;
  void background(unsigned engine);
  void restart(unsigned engine);
  void force(const Job& job, const std::vector<Weighed>& all, hindsight::Policy policy);
  void move(Dispatch& made, Engine& to);
  double chance(std::mt19937_64& of) { return static_cast<double>(of() >> 11) * 0x1p-53; }
  double spread(std::mt19937_64& of, double sigma);  // lognormal, median 1
  Span after(std::mt19937_64& of, double perSecond);

  const DayTerms terms_;
  Deployment site_;
  std::mt19937_64 days_, others_, forcing_;
  Span now_{0};
  std::deque<Engine> engines_;
  std::vector<Machinery> machines_;
  std::deque<Job> jobs_;
  std::vector<double> work_;  // what each job really takes
  std::vector<Outcome> outcomes_;
  std::vector<char> drawn_;  // jobs that have had their first draw
  std::multimap<Span, std::function<void()>> events_;
  std::optional<Span> wake_;
  std::pair<Span, Span> cut_{};  // the far location is out of reach
  std::pair<Span, Span> busy_{};
  std::size_t open_ = 0, forcedCount_ = 0;
  bool planned_ = false;
  Over over_;
  Fork fork_;

  // Of a forced draw, until the module has acted on it.
  std::optional<std::pair<std::size_t, hindsight::Policy>> alone_;
  struct Hold {
    Engine* engine = nullptr;
    double cores = 0, forcedCores = 0;
    std::size_t type = 0;
    double threads = 0;
    std::vector<std::uint32_t> warm;
    std::optional<Span> trialAt;
    Engine* to = nullptr;
  };
  std::optional<Hold> hold_;
  void release();
  std::unique_ptr<hindsight::Recorder> recorder_;
  std::unique_ptr<Controller> controller_;
};

}  // namespace paddletrack::rig
