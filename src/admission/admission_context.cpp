#include "admission/admission_context.hpp"

#include <algorithm>

namespace paddletrack {

const double kTargetThreadsPerCore = 2.0;
const double kLimitToTargetRatio = 1.5;

AdmissionContext::AdmissionContext(const Deployment& description, std::uint64_t seed, Duration startTime)
    : deployment(description),
      now(startTime),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
  const auto& classes = deployment.requestClasses;
  shortestClass = &*std::ranges::min_element(classes, {}, &RequestClass::nominalCost);
  double maxCores = 1;
  for (const MachineType& machineType : deployment.machineTypes)
    maxCores = std::max(maxCores, machineType.cores);
  hasFractionalShares = maxCores * kTargetThreadsPerCore * kLimitToTargetRatio / deployment.controllerCount <
                        std::ranges::max_element(classes, {}, &RequestClass::threads)->threads;
}

void AdmissionContext::advanceClock(Duration time) {
  now = time;
  if (!nextTimerAt || now - *nextTimerAt <= 4 * deployment.tickDuration) return;
  stallDuration = now - *nextTimerAt;
  for (Attempt* attempt : inFlightAttempts) attempt->unobservedTime += stallDuration;
  stallEndedAt = nextTimerAt = now;
}

double AdmissionContext::drawUniform() {
  constexpr auto kMin = std::minstd_rand::min();
  return static_cast<double>(random_() - kMin) / static_cast<double>(std::minstd_rand::max() - kMin);
}

}  // namespace paddletrack
