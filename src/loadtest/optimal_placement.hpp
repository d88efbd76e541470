// The least bytes by GLPK, to hold the planner against. Only in the rig and the tests.
#pragma once

#include <optional>

#include "rebalance/plan.hpp"

namespace paddletrack::loadtest {

// The least bytes that any homes within the bound and every engine's room take, their order left aside; none:
// no homes are. Throws std::runtime_error where it ends without an answer.
std::optional<rebalance::Bytes> computeMinimumBytes(const rebalance::ClusterView& view,
                                                    const rebalance::PlanOptions& options);

// Whether any order of moves, stops on the way and all, leads to homes within the bound and never over an
// engine's headroom, by looking at every state that can be reached; none: more than `most` of them.
std::optional<bool> hasFeasibleMoveOrder(const rebalance::ClusterView& view,
                                         const rebalance::PlanOptions& options, std::size_t maxStates);

}  // namespace paddletrack::loadtest
