#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "admin/status.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::admin {

/// Reports the engines in the order of their ids, from `firstEngineId` on, at most `limit` of them.
std::vector<EngineStatus> listEngineStatuses(const routing::RequestRouter& router,
                                             const std::string& firstEngineId, std::size_t limit);

}  // namespace paddletrack::admin
