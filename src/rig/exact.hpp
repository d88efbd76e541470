// The least bytes by GLPK, to hold the planner against. Only in the rig and the tests.
#pragma once

#include <optional>

#include "rebalance/view.hpp"

namespace paddletrack::rig {

// The least bytes that any homes within the bound and every engine's room take, their order left aside; none:
// no homes are. Throws std::runtime_error where it ends without an answer.
std::optional<rebalance::Bytes> leastBytes(const rebalance::View& view, const rebalance::Terms& terms);

// Whether any order of moves, stops on the way and all, leads to homes within the bound and never over an
// engine's headroom, by looking at every state that can be reached; none: more than `most` of them.
std::optional<bool> anyOrder(const rebalance::View& view, const rebalance::Terms& terms, std::size_t most);

}  // namespace paddletrack::rig
