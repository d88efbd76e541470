#pragma once

#include <cstdint>

namespace paddletrack::simulator {

/// Codes of the events that the simulator sends.
enum class EventCode : std::uint8_t {
  peerMessage = 0,
  healthCheckResult = 1,
  progress = 2,
  start = 3,
  timer = 4,
  responseStarted = 5,
  attemptFinished = 6,
  endpointUpdate = 7,
  registerEndpointList = 8,
  clientGone = 9,
  stop = 10,
  request = 11
};
constexpr std::uint8_t kMaxEventCode = static_cast<std::uint8_t>(EventCode::request);

/// Codes of the commands that a controller replies with.
enum class CommandCode : std::uint8_t {
  scheduleTimer = 0,
  cancel = 1,
  fail = 2,
  reject = 3,
  assignResources = 4,
  sendPeerReport = 6,
  log = 7,
  requestEndpoints = 9,
  reportFault = 10,
  sendHealthCheck = 11,
  sendAttempt = 12
};

}  // namespace paddletrack::simulator
