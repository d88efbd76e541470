#include "loadtest/optimal_placement.hpp"

#include <glpk.h>

#include <algorithm>
#include <set>
#include <stdexcept>

#include "rebalance/load_lower_bound.hpp"

namespace paddletrack::loadtest {

using namespace rebalance;

namespace {

// What both functions derive from a view: the load limits, the eligible engines by group and the bytes held
// by engine.
struct PlacementContext {
  explicit PlacementContext(const ClusterView& view) : loadBound(view) {
    for (const GroupSnapshot& group : view.groups) {
      std::vector<int> eligibleEngines;
      for (std::size_t index = 0; index < view.engines.size(); ++index)
        if (view.engines[index].state == EndpointState::ready && canHold(group, view.engines[index]))
          eligibleEngines.push_back(static_cast<int>(index));
      allowedEngines.push_back(std::move(eligibleEngines));
    }
    heldBytes.resize(view.engines.size());
    for (const GroupSnapshot& group : view.groups)
      for (const std::uint32_t holder : group.holders) heldBytes[holder] += group.size;
  }
  const LoadLowerBound loadBound;
  std::vector<std::vector<int>> allowedEngines;
  std::vector<Bytes> heldBytes;
};

bool isHolder(const GroupSnapshot& group, int engine) {
  return std::binary_search(group.holders.begin(), group.holders.end(), static_cast<std::uint32_t>(engine));
}

}  // namespace

std::optional<Bytes> computeMinimumBytes(const ClusterView& view, const PlanOptions& options) {
  const PlacementContext context(view);
  glp_prob* problem = glp_create_prob();
  glp_term_out(GLP_OFF);
  glp_set_obj_dir(problem, GLP_MIN);
  std::vector<int> rows(1), columns(1);
  std::vector<double> values(1);
  const auto addEntry = [&](int row, int column, double value) {
    rows.push_back(row), columns.push_back(column), values.push_back(value);
  };
  // Two rows for each engine, its load and its capacity, and one row for each group, its number of replicas.
  const int engineCount = static_cast<int>(view.engines.size());
  glp_add_rows(problem, 2 * engineCount + static_cast<int>(view.groups.size()));
  for (int index = 0; index < engineCount; ++index) {
    const EngineSnapshot& engine = view.engines[static_cast<std::size_t>(index)];
    const Bytes heldBytes = context.heldBytes[static_cast<std::size_t>(index)];
    const Bytes usableBytes = std::max<Bytes>(0, std::min(engine.capacity, heldBytes + engine.headroom));
    glp_set_row_bnds(problem, 2 * index + 1, GLP_UP, 0,
                     static_cast<double>(context.loadBound.loadLimit(engine, options.maxOverloadPercent)));
    glp_set_row_bnds(problem, 2 * index + 2, GLP_UP, 0, static_cast<double>(usableBytes));
  }
  for (std::size_t group = 0; group < view.groups.size(); ++group) {
    const GroupSnapshot& groupView = view.groups[group];
    const auto& allowed = context.allowedEngines[group];
    const int row = 2 * engineCount + static_cast<int>(group) + 1;
    const double requiredCopies = static_cast<double>(replicaCount(groupView, allowed.size()));
    glp_set_row_bnds(problem, row, GLP_FX, requiredCopies, requiredCopies);
    for (const int engine : allowed) {
      const int column = glp_add_cols(problem, 1);
      const bool alreadyHeld = isHolder(groupView, engine);
      glp_set_col_kind(problem, column, GLP_BV);
      glp_set_obj_coef(problem, column, alreadyHeld ? 0 : static_cast<double>(groupView.size));
      addEntry(2 * engine + 1, column, static_cast<double>(readRatePerReplica(groupView, allowed.size())));
      addEntry(2 * engine + 2, column,
               static_cast<double>(groupView.size * (alreadyHeld ? 1 : options.headroomDivisor)));
      addEntry(row, column, 1);
    }
  }
  glp_load_matrix(problem, static_cast<int>(rows.size()) - 1, rows.data(), columns.data(), values.data());
  glp_iocp solverOptions;
  glp_init_iocp(&solverOptions);
  solverOptions.presolve = GLP_ON;
  solverOptions.msg_lev = GLP_MSG_OFF;
  const int solverError = glp_intopt(problem, &solverOptions);
  const int status = glp_mip_status(problem);
  const double minimumBytes = glp_mip_obj_val(problem);
  glp_delete_prob(problem);
  if (solverError == GLP_ENOPFS || solverError == GLP_ENODFS || status == GLP_NOFEAS) return std::nullopt;
  if (solverError != 0 || status != GLP_OPT)
    throw std::runtime_error("GLPK ended with " + std::to_string(solverError) + ", status " +
                             std::to_string(status));
  return static_cast<Bytes>(minimumBytes + 0.5);
}

// A state is the set of holders of each group, one bit for each engine. A step adds a replica or drops one of
// several. The load limits apply to goal states only.
std::optional<bool> hasFeasibleMoveOrder(const ClusterView& view, const PlanOptions& options,
                                         std::size_t maxStates) {
  const PlacementContext context(view);
  if (view.engines.size() > 32 || options.headroomDivisor != 1) return std::nullopt;
  using HolderState = std::vector<std::uint32_t>;
  HolderState initialState;
  for (const GroupSnapshot& group : view.groups) {
    std::uint32_t holderBits = 0;
    for (const std::uint32_t holder : group.holders) holderBits |= 1U << holder;
    initialState.push_back(holderBits);
  }
  const auto usedBytes = [&](const HolderState& state, std::size_t engine) {
    Bytes totalBytes = 0;
    for (std::size_t group = 0; group < state.size(); ++group)
      if (state[group] >> engine & 1) totalBytes += view.groups[group].size;
    return totalBytes;
  };
  const auto usableCapacity = [&](std::size_t engine) {
    return std::min(view.engines[engine].capacity, context.heldBytes[engine] + view.engines[engine].headroom);
  };
  // A goal state allows choosing replicas among the holders within the load limits, which is decided by
  // search.
  const auto isGoal = [&](const HolderState& state) {
    for (std::size_t engine = 0; engine < view.engines.size(); ++engine)
      if (view.engines[engine].state == EndpointState::ready &&
          usedBytes(state, engine) > usableCapacity(engine))
        return false;
    std::vector<std::int64_t> engineLoads(view.engines.size());
    const auto assignFrom = [&](auto&& self, std::size_t group, int firstEngine,
                                std::size_t assignedCopies) -> bool {
      if (group == state.size()) return true;
      if (assignedCopies == replicaCount(view.groups[group], context.allowedEngines[group].size()))
        return self(self, group + 1, 0, 0);
      for (int engine = firstEngine; engine < static_cast<int>(view.engines.size()); ++engine) {
        const auto engineIndex = static_cast<std::size_t>(engine);
        const auto& allowed = context.allowedEngines[group];
        if (!(state[group] >> engine & 1) ||
            std::find(allowed.begin(), allowed.end(), engine) == allowed.end())
          continue;
        const std::int64_t loadShare = readRatePerReplica(view.groups[group], allowed.size());
        if (engineLoads[engineIndex] + loadShare >
            context.loadBound.loadLimit(view.engines[engineIndex], options.maxOverloadPercent))
          continue;
        engineLoads[engineIndex] += loadShare;
        const bool found = self(self, group, engine + 1, assignedCopies + 1);
        engineLoads[engineIndex] -= loadShare;
        if (found) return true;
      }
      return false;
    };
    return assignFrom(assignFrom, 0, 0, 0);
  };
  std::set<HolderState> visitedStates{initialState};
  std::vector<HolderState> openStates{initialState};
  while (!openStates.empty()) {
    const HolderState state = openStates.back();
    openStates.pop_back();
    if (isGoal(state)) return true;
    if (visitedStates.size() > maxStates) return std::nullopt;
    for (std::size_t group = 0; group < state.size(); ++group) {
      for (int engine = 0; engine < static_cast<int>(view.engines.size()); ++engine) {
        const auto engineIndex = static_cast<std::size_t>(engine);
        const auto& allowed = context.allowedEngines[group];
        const bool isAllowed = std::find(allowed.begin(), allowed.end(), engine) != allowed.end();
        HolderState nextState = state;
        nextState[group] ^= 1U << engine;
        if (state[group] >> engine & 1) {
          if (nextState[group] == 0 && (isAllowed || view.engines[engineIndex].state != EndpointState::ready))
            continue;
        } else {
          if (!isAllowed) continue;
          if (usedBytes(state, engineIndex) + view.groups[group].size > usableCapacity(engineIndex)) continue;
        }
        if (visitedStates.insert(nextState).second) openStates.push_back(std::move(nextState));
      }
    }
  }
  return false;
}

}  // namespace paddletrack::loadtest
