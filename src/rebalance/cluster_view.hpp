// What a plan of moves is made from, and what it is. Nothing here does I/O or reads a clock; all figures are
// whole numbers, so that every controller computes the same plan from the same view.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/engine.hpp"

namespace paddletrack::rebalance {

using Bytes = std::int64_t;

struct EngineSnapshot {
  std::string name;         // the same at every controller
  Bytes capacity = 0;       // for groups that it keeps warm, in all
  Bytes headroom = 0;       // it may take on so much beyond what it holds; below 0: it holds too much
  std::int64_t weight = 1;  // its part of all reading is as its part of all strength
  EndpointState state = EndpointState::ready;
  bool warmingUp = false;  // of engines equally good a warm one is chosen
  unsigned zone = 0, machineType = 0;
};

struct GroupSnapshot {
  std::uint32_t groupId = 0;           // of tables, as in Job::dataSet
  Bytes size = 0;                      // that are read where it comes to an engine that does not hold it
  std::int64_t readRate = 0;           // how much it is read in all, one unit for all groups
  unsigned wantedReplicas = 1;         // engines that it is to be served at, each with its part of the rate
  std::vector<std::uint32_t> holders;  // places in View::engines; one gone holds nothing
  std::optional<std::vector<unsigned>> allowedZones{}, allowedMachineTypes{};  // bound to these, where given
  bool recentlyMoved = false;  // it was moved of late: it is moved again only where others do not do
};

struct ClusterView {
  std::vector<EngineSnapshot> engines;
  std::vector<GroupSnapshot> groups;
};

// The same view however its parts came together: engines by name, groups by number, holders in order; of two
// with one name the first counts. Holders that are no place in `engines` are left out.
ClusterView canonicalize(ClusterView cluster);
std::uint64_t computeDigest(const ClusterView& cluster);                 // of one in order (FNV-1a)
bool canHold(const GroupSnapshot& group, const EngineSnapshot& engine);  // by placement

struct PlanOptions {
  int maxOverloadPercent = 25;  // per cent over the best load that an engine may have after the plan
  int triggerOverloadPercent =
      25;                      // per cent over it from which an engine gives groups away; at least `bound`
  int headroomDivisor = 1;     // a plan uses this part of a headroom, and of what it frees
  int workBudget = 1'000'000;  // placements weighed at most
};

// One group comes to an engine. A step without `to` brings nothing: `from` gives way, as others serve it.
struct Move {
  std::uint32_t group = 0;                      // place in View::groups
  std::optional<std::uint32_t> source, target;  // places in View::engines; `from` gives way once `to` has it
  Bytes bytes = 0;
  std::vector<std::uint32_t> dependencies;  // places in Plan::moves, all before this one, that end first
};

struct Plan {
  std::vector<Move> moves;
  std::vector<std::vector<std::uint32_t>> placements;  // of each group, once all moves are done
  Bytes totalBytes = 0;                                // all moves
  Bytes forcedBytes = 0;  // of these, no plan is without: no engine that may serve the group holds it
  Bytes detourBytes = 0;  // of these, for a stop on the way where no order has room without
  std::size_t overfullEngines = 0;   // engines that hold more than they may and can't give enough away
  std::size_t unplacedReplicas = 0;  // copies for which no engine has room
  std::size_t deferredMoves = 0;     // moves left out: no order has room for them
  bool isBalanced = true;            // no engine is over the bound
  bool isComplete() const {
    return isBalanced && overfullEngines == 0 && unplacedReplicas == 0 && deferredMoves == 0;
  }
};

Plan computePlan(const ClusterView& cluster, const PlanOptions& options);  // of one in order

// The least load for its strength that the most loaded engine can have, from below; and what an engine may
// have at so many per cent over it.
class LoadLowerBound {
 public:
  LoadLowerBound(const ClusterView& cluster);
  std::int64_t loadLimit(const EngineSnapshot& engine, int overloadPercent) const;

 private:
  std::int64_t load_ = 0, weight_ = 1;
};
std::int64_t readRatePerReplica(const GroupSnapshot& group,
                                std::size_t eligibleEngines);  // of the rate, at one of its engines
std::size_t replicaCount(const GroupSnapshot& group, std::size_t eligibleEngines);  // that there can be

}  // namespace paddletrack::rebalance
