#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "model/deployment.hpp"
#include "protocol/json.hpp"

namespace paddletrack::protocol {

// What a controller is told at its start: the deployment, and what only the code at its doors needs.
struct ControllerConfig {
  Deployment deployment;
  std::vector<std::string> requestClassNames, tenantNames, zoneNames, machineTypeNames;
  std::vector<std::string> loadReportNames;  // the order of values in load reports
  std::size_t maxOpenRequests = 0;           // jobs of this controller
  std::size_t maxAttemptsPerConnection = 1;  // dispatches that one connection carries
  Duration connectTimeout{0}, idleTimeout{0}, responseSlack{0};
};

// Values by path: "profiles.0.name"; lists of simple values joined by commas. Both forms of the settings, the
// lines of the simulator's wire and nested JSON, come down to it.
using FlatSettings = std::map<std::string, std::string>;
FlatSettings flattenLines(std::string_view text);
FlatSettings flattenJson(const Json& json);

ControllerConfig decodeControllerConfig(const FlatSettings& settings);

// The place of a name in one of these lists; throws with what it should have been.
std::size_t indexOfName(const std::vector<std::string>& names, std::string_view name, const char* subject);

}  // namespace paddletrack::protocol
