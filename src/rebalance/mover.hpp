// The rebalancing of one running controller: counts its reads, shares them, takes part in the agreement, and
// leans jobs as the plan says. On the scheduler; what it decides is decided in the modules beside it.
#pragma once

#include <functional>
#include <map>

#include "base/say.hpp"
#include "rebalance/follower.hpp"
#include "rebalance/words.hpp"
#include "routing/desk.hpp"

namespace paddletrack::rebalance {

struct MoverTerms {
  Bytes capacity = 0;  // of an engine, for groups that it keeps warm
  Bytes group = 0;     // what one counts
  Windows windows;
  double lean = 0.5;  // times the score of an engine where a job's group should be
};

class Mover final : private routing::Desk::Leaning {
 public:
  Mover(transport::Scheduler& scheduler, routing::Desk& desk, share::Store& store,
        std::function<Span()> shared, const MoverTerms& terms, const Say& say);
  ~Mover() override;
  Mover(const Mover&) = delete;
  Mover& operator=(const Mover&) = delete;

 private:
  double leaning(std::uint32_t dataSet, const routing::Executor& engine) const override;
  void dispatched(std::uint32_t dataSet, const routing::Executor& engine) override;
  void look();
  Account account(std::size_t epochs) const;
  View seen() const;
  Span wall() const;

  struct Reads {
    std::int64_t now = 0, before = 0;  // in this epoch, in the last
    Span last{0};
    std::int64_t started = 0;  // of the engine's process
  };
  static constexpr std::size_t kMostReads = 50'000;  // of group and engine

  transport::Scheduler& scheduler_;
  routing::Desk& desk_;
  share::Store& store_;
  const std::function<Span()> shared_;
  const MoverTerms terms_;
  const Say& say_;
  Agreement agreement_;
  Follower follower_{Pace{}};
  std::map<std::pair<std::uint32_t, std::string>, Reads> reads_;
  std::uint64_t epoch_ = 0, taken_ = 0, begun_ = 0;  // last put, last taken, last begun
  View view_;
  std::uint64_t digest_ = 0;
  transport::Call look_;
};

}  // namespace paddletrack::rebalance
