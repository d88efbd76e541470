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
struct Told {
  Deployment deployment;
  std::vector<std::string> typeNames, customerNames, locationNames, machineNames;
  std::vector<std::string> reportNames;  // the order of values in load reports
  std::size_t mostOpen = 0;              // jobs of this controller
  std::size_t sharedBy = 1;              // dispatches that one connection carries
  Span dialTimeout{0}, idleClose{0}, answerSlack{0};
};

// Values by path: "profiles.0.name"; lists of simple values joined by commas. Both forms of the settings, the
// lines of the simulator's wire and nested JSON, come down to it.
using Paths = std::map<std::string, std::string>;
Paths pathsOfLines(std::string_view lines);
Paths pathsOfJson(const Json& settings);

Told decode(const Paths& paths);

// The place of a name in one of these lists; throws with what it should have been.
std::size_t placeOf(const std::vector<std::string>& names, std::string_view name, const char* what);

}  // namespace paddletrack::protocol
