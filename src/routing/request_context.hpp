/// @file
/// A client's request and its attempts, as the parts of the routing module share them.
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
  transport::TimePoint sendDeadline{};  ///< Sending does not begin from then on.
  std::uint64_t incarnation = 0;        ///< Of the engine, when the attempt started.
  bool recalled = false;                ///< By the router, before the attempt was sent.

  // Used by the connection pool only.
  EngineConnection* connection = nullptr;  ///< None once the pool is done with the attempt.
  std::uint64_t connectionSerial = 0;      ///< Of the last connection, kept when that has ended.
  unsigned rerouteCount = 0;               ///< Connections that ended before they had sent all of it.
  /// Offset in the connection's output stream at which all of the attempt is written; 0 while it is queued.
  std::uint64_t streamEndOffset = 0;
  std::uint32_t expectedPages = 0;  ///< 0 while no page has come.
  std::uint32_t receivedPages = 0;
  std::vector<BufferSlice> pages;
};

/// One accepted request, which the client's session and the connection pool share. The router owns it until
/// the request is finished and none of its attempts is in flight.
struct RequestContext : Request {
  /// Receives the final response. The router drops it after that, or when the client is gone.
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
