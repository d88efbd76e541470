#pragma once

#include <nlohmann/json.hpp>

#include "admin/status.hpp"

namespace paddletrack::admin {

/// The JSON form of the status in the admin protocol. The keys are part of the protocol and do not change.
nlohmann::ordered_json toJson(const ControllerStatus& status);
nlohmann::ordered_json toJson(const EngineStatus& status);

}  // namespace paddletrack::admin
