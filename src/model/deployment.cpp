#include "model/deployment.hpp"

#include "model/time_conversion.hpp"

namespace paddletrack {

double RequestClass::nominalCost() const { return toSeconds(latencyObjective) * threads; }

}  // namespace paddletrack
