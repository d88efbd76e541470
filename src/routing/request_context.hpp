/// @file
/// A client's request and its attempts, as shared by the classes of the routing module.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/logger.hpp"
#include "model/request.hpp"
#include "transport/buffer_slice.hpp"
#include "transport/scheduler.hpp"

namespace paddletrack::routing {

using transport::BufferSlice;

class EngineConnection;
struct RequestContext;

/// One attempt of a request on one engine. The request's context owns it.
struct AttemptContext {
  AttemptContext(RequestContext& context, Attempt& startedAttempt, transport::Scheduler& scheduler)
      : requestContext(context), attempt(startedAttempt), timeoutCall(scheduler) {}
  RequestContext& requestContext;
  Attempt& attempt;
  transport::ScheduledCall timeoutCall;
  transport::TimePoint timesOutAt{};
  transport::TimePoint sendDeadline{};  ///< Sending must not start at or after this time.
  std::uint64_t incarnation = 0;        ///< Of the engine, when the attempt started.
  bool recalled = false;                ///< By the router, before the attempt was sent.

  // Used by the connection pool only.
  EngineConnection* connection = nullptr;  ///< nullptr once the pool has finished the attempt.
  std::uint64_t connectionSerial = 0;      ///< Of the last connection, kept after that has closed.
  unsigned rerouteCount = 0;               ///< Connections that closed before all of it was written.
  /// Offset in the connection's output stream at which the attempt is fully written; 0 while it is queued.
  std::uint64_t streamEndOffset = 0;
  std::uint32_t expectedPages = 0;  ///< 0 until the first page has arrived.
  std::uint32_t receivedPages = 0;
  std::vector<BufferSlice> pages;
};

/// One accepted request, which the client's session and the connection pool share. The router owns it until
/// the request is finished and none of its attempts is in flight.
struct RequestContext : Request {
  /// Receives the final response. The router clears its pointer after that, or when the client is gone.
  class ResponseListener {
   public:
    virtual ~ResponseListener() = default;
    virtual void onResponseReady(RequestContext& context) = 0;
  };
  enum class ResponseKind { none, succeeded, rejected, failed };

  // Written by the client's session.
  ResponseListener* responseListener = nullptr;
  std::int32_t sequenceId = 0;
  std::string requestId;
  std::string requestClassName;
  std::string idempotencyKey;
  BufferSlice statement;

  // Written by the router.
  double grantMb = 0;
  std::optional<int> priority;
  std::vector<std::unique_ptr<AttemptContext>> attemptContexts;  ///< Indexed as Request::attempts.
  ResponseKind responseKind = ResponseKind::none;
  Duration retryAfter{0};
  std::vector<BufferSlice> pages;

  // Written by the request table.
  std::list<std::unique_ptr<RequestContext>>::iterator position;
  bool markedForCleanup = false;
};

}  // namespace paddletrack::routing
