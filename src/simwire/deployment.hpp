#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "model/deployment.hpp"

namespace paddletrack::simwire {

// What the start message tells, with the order of values in load reports, which only the door needs.
struct Told {
  Deployment deployment;
  std::vector<std::string> reportNames;
};

Told decode(std::string_view settings);

}  // namespace paddletrack::simwire
