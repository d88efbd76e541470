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

// One dispatch on its way over a socket.
struct AttemptContext {
  AttemptContext(RequestContext& context, Attempt& startedAttempt, transport::Scheduler& scheduler)
      : requestContext(context), attempt(startedAttempt), timeoutCall(scheduler) {}
  RequestContext& requestContext;
  Attempt& attempt;
  transport::ScheduledCall timeoutCall;
  transport::TimePoint timesOutAt{};
  transport::TimePoint sendDeadline{};  // no byte of it leaves for the first time from then on
  std::uint64_t incarnation = 0;        // of its executor, when it was dispatched
  bool recalled = false;                // by the desk, before it left

  // Of the server side, which alone reads and writes it. No link: it is over there.
  EngineConnection* connection = nullptr;
  std::uint64_t connectionSerial = 0;  // of the link that took it, kept when that has gone
  unsigned rerouteCount = 0;           // connections that ended before they had it whole
  std::uint64_t streamEndOffset =
      0;  // position in the link's stream at which all of it is written; 0: still held
  std::uint32_t expectedPages = 0;  // 0: no page has come
  std::uint32_t receivedPages = 0;
  std::vector<BufferSlice> pages;
};

// One taken request, and the only thing that the client side and the server side both know. The desk owns it
// until its job is over and nothing of it is out.
struct RequestContext : Request {
  // Who took it. Told of the final answer; forgotten once told, or once the client has left.
  class ResponseListener {
   public:
    virtual ~ResponseListener() = default;
    virtual void onResponseReady(RequestContext& context) = 0;
  };
  enum class ResponseKind { none, succeeded, rejected, failed };

  // Written by the client side.
  ResponseListener* responseListener = nullptr;
  std::int32_t sequenceId = 0;
  std::string requestId, requestClassName, idempotencyKey;
  BufferSlice statement;

  // Written by the desk.
  double grantMb = 0;
  std::optional<int> priority;
  std::vector<std::unique_ptr<AttemptContext>> attemptContexts;  // as numbered in Job::dispatches
  ResponseKind responseKind = ResponseKind::none;
  Duration retryAfter{0};
  std::vector<BufferSlice> pages;
  std::list<std::unique_ptr<RequestContext>>::iterator position;
  bool markedForCleanup = false;
};

}  // namespace paddletrack::routing
