// The rebalancing of one running controller: counts its reads, shares them, takes part in the agreement, and
// leans jobs as the plan says. On the scheduler; what it decides is decided in the modules beside it.
#pragma once

#include <functional>
#include <map>

#include "base/logger.hpp"
#include "rebalance/codec.hpp"
#include "rebalance/plan_follower.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::rebalance {

struct RebalanceOptions {
  Bytes engineCapacity = 0;  // of an engine, for groups that it keeps warm
  Bytes groupSize = 0;       // what one counts
  EpochSchedule epochSchedule;
  double placementBias = 0.5;  // times the score of an engine where a job's group should be
};

class RebalanceExecutor final : private routing::RequestRouter::PlacementBiasSource {
 public:
  RebalanceExecutor(transport::Scheduler& scheduler, routing::RequestRouter& router, gossip::Store& store,
                    std::function<Duration()> gossipClock, const RebalanceOptions& options,
                    const Logger& logger);
  ~RebalanceExecutor() override;
  RebalanceExecutor(const RebalanceExecutor&) = delete;
  RebalanceExecutor& operator=(const RebalanceExecutor&) = delete;

 private:
  double placementBias(std::uint32_t dataSet, const routing::EngineEndpoint& engine) const override;
  void onAttemptStarted(std::uint32_t dataSet, const routing::EngineEndpoint& engine) override;
  void onTimer();
  ControllerReport buildReport(std::size_t epochCount) const;
  ClusterView observeCluster() const;
  Duration wallTime() const;

  struct ReadCounter {
    std::int64_t currentEpoch = 0, previousEpoch = 0;  // in this epoch, in the last
    Duration lastReadAt{0};
    std::int64_t engineStartedAt = 0;  // of the engine's process
  };
  static constexpr std::size_t kMaxReadCounters = 50'000;  // of group and engine

  transport::Scheduler& scheduler_;
  routing::RequestRouter& router_;
  gossip::Store& store_;
  const std::function<Duration()> gossipClock_;
  const RebalanceOptions options_;
  const Logger& logger_;
  PlanAgreement agreement_;
  PlanFollower follower_{MoveLimits{}};
  std::map<std::pair<std::uint32_t, std::string>, ReadCounter> reads_;
  std::uint64_t publishedEpoch_ = 0, snapshotEpoch_ = 0,
                startedEpoch_ = 0;  // last put, last taken, last begun
  ClusterView view_;
  std::uint64_t viewDigest_ = 0;
  transport::ScheduledCall timer_;
};

}  // namespace paddletrack::rebalance
