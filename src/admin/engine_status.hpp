#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "admin/status.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::admin {

/// Returns the status of at most `limit` engines, ordered by id, starting at `firstEngineId`.
std::vector<EngineStatus> listEngineStatuses(const routing::RequestRouter& router,
                                             const std::string& firstEngineId, std::size_t limit);

}  // namespace paddletrack::admin
