/// @file
/// Whether this controller is in service, as its load balancers and its clients see it.
#pragma once

#include <optional>

#include "model/request.hpp"

namespace paddletrack::routing {

/// Decides whether heartbeats are answered as healthy and whether new requests are accepted. A listener
/// without a gate is always in service. The implementation outlives its use by the listener.
class ServiceGate {
 public:
  virtual ~ServiceGate() = default;

  /// Called for each heartbeat before it is answered. Returns whether the answer is "healthy".
  virtual bool onHeartbeat() = 0;

  /// Called for each valid request. Returns nothing if the request is to be accepted; otherwise the request
  /// is rejected with this retry-after duration, where 0 means that none is sent to the client.
  virtual std::optional<Duration> checkRejection() = 0;
};

}  // namespace paddletrack::routing
