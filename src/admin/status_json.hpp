#pragma once

#include <nlohmann/json.hpp>

#include "admin/status.hpp"

namespace paddletrack::admin {

/// Convert the status to the JSON of the admin protocol. The keys are part of the protocol and must not
/// change.
nlohmann::ordered_json toJson(const ControllerStatus& status);
nlohmann::ordered_json toJson(const EngineStatus& status);

}  // namespace paddletrack::admin
