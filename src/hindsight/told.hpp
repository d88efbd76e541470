// What an operator is told of looking back: plain figures out of a view of sums. Pure.
#pragma once

#include <string>
#include <vector>

#include "hindsight/fleet.hpp"

namespace paddletrack::hindsight {

struct Told {
  struct Other {  // policy
    const char* name = "";
    double reach = 0, beyond = 0, effective = 0;
    std::array<Estimate, kMeasures> value{}, better{};  // better: less what happened, told where it is sure
  };
  struct Class {
    std::string name;
    double jobs = 0, inTime = 0, latency = 0;
    std::vector<Other> others;
  };
  struct Place {
    std::string name;
    double jobs = 0;  // that could have gone there or elsewhere
    std::array<Estimate, kMeasures> regret{};
  };
  std::size_t controllers = 0;
  bool explained = true;
  std::vector<Class> classes;  // all of them together first, with an empty name
  std::vector<Place> engines, locations;
};
constexpr std::size_t kMostToldEngines = 64;  // those with the most jobs

Told toldOf(const Fleet& fleet);

}  // namespace paddletrack::hindsight
