// Runs rebalancing on one controller: counts reads and publishes them, participates in the agreement on a
// view, and biases the placement of requests towards the engines that the plan prefers. Everything runs on
// the scheduler's thread.
#pragma once

#include <functional>
#include <map>

#include "base/logger.hpp"
#include "rebalance/codec.hpp"
#include "rebalance/plan_follower.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::rebalance {

struct RebalanceOptions {
  Bytes engineCapacity = 0;  ///< Memory of each engine for the groups that it keeps in its cache.
  Bytes groupSize = 0;       ///< Assumed size of every group.
  EpochSchedule epochSchedule;
  /// Factor on the score of an engine that the plan prefers for the request's group.
  double placementBias = 0.5;
};

class RebalanceExecutor final : private routing::RequestRouter::PlacementBiasSource {
 public:
  /// Registers with the router until destruction. Keeps references to all arguments except `gossipClock` and
  /// `options`, which are copied; the others must outlive the object.
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
  void startEpoch(std::uint64_t epoch);
  void advanceReadCounters();
  void agreeOnPlan(Duration wallNow, std::uint64_t epoch);
  void takeSnapshot(const ReceivedReports& received, std::uint64_t epoch);
  void startPlan(Duration wallNow, std::uint64_t epoch);
  void followPlan(Duration wallNow);
  enum class ReportPeriod : std::uint8_t { previousEpoch, previousAndCurrentEpoch };
  ControllerReport buildReport(ReportPeriod period) const;
  ClusterView observeCluster() const;
  bool isObservedHolder(const GroupSnapshot& group, std::uint32_t engineIndex, const std::string& engineName,
                        Duration now) const;
  Duration wallTime() const;

  struct ReadCounter {
    std::int64_t currentEpoch = 0, previousEpoch = 0;
    Duration lastReadAt{0};
    std::int64_t engineStartedAt = 0;  // start time of the engine process that served the reads
  };
  static constexpr std::size_t kMaxReadCounters = 50'000;  // (group, engine) pairs

  transport::Scheduler& scheduler_;
  routing::RequestRouter& router_;
  gossip::Store& store_;
  const std::function<Duration()> gossipClock_;
  const RebalanceOptions options_;
  const Logger& logger_;
  PlanAgreement agreement_;
  PlanFollower follower_{MoveLimits{}};
  std::map<std::pair<std::uint32_t, std::string>, ReadCounter> readCounters_;
  std::uint64_t publishedEpoch_ = 0;  // last epoch whose start was handled
  std::uint64_t snapshotEpoch_ = 0;   // last epoch for which a view was built
  std::uint64_t startedEpoch_ = 0;    // last epoch whose plan was started
  ClusterView view_;
  std::uint64_t viewDigest_ = 0;
  transport::ScheduledCall timer_;
};

}  // namespace paddletrack::rebalance
