// Reference solutions by GLPK and by exhaustive search, to check the placement solver against. Used by the
// load test and the tests only.
#pragma once

#include <optional>

#include "rebalance/plan.hpp"

namespace paddletrack::loadtest {

/// The minimum number of bytes that must be copied to reach any placement within the load limit and the
/// usable capacity of every engine, regardless of the order of the moves. Returns std::nullopt if no such
/// placement exists. Throws std::runtime_error if GLPK ends without an answer.
std::optional<rebalance::Bytes> computeMinimumBytes(const rebalance::ClusterView& view,
                                                    const rebalance::PlanOptions& options);

/// Whether any order of moves, including detours over other engines, leads to a placement within the load
/// limit without ever exceeding an engine's headroom. Visits every reachable state. Returns std::nullopt if
/// there are more than `maxStates` of them, more than 32 engines, or a headroom divisor other than 1.
std::optional<bool> hasFeasibleMoveOrder(const rebalance::ClusterView& view,
                                         const rebalance::PlanOptions& options, std::size_t maxStates);

}  // namespace paddletrack::loadtest
