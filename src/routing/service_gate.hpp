/// @file
/// Whether this controller is in service for its load balancers and clients.
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

  /// Called for each valid request. Returns std::nullopt if the request is accepted; otherwise the request is
  /// rejected with this Retry-After duration, where 0 means that none is sent to the client.
  virtual std::optional<Duration> checkRejection() = 0;
};

}  // namespace paddletrack::routing
