#pragma once

#include <map>
#include <optional>

#include "model/request.hpp"

namespace paddletrack {

/// Requests sorted by the time at which they are due. The queue maintains Request::queued. The requests are
/// owned by the caller.
class RequestQueue {
 public:
  /// Adds the request, or reschedules it if it is already queued.
  void enqueue(Request& request, Duration dueAt);

  /// Removes the request if it is queued.
  void dequeue(Request& request);

  /// Removes and returns the first request that is due by `now`; returns null if there is none.
  Request* takeDue(Duration now);

  /// Returns the time at which the first request is due; std::nullopt if the queue is empty.
  std::optional<Duration> nextDueAt() const;

 private:
  std::multimap<Duration, Request*> requests_;
};

}  // namespace paddletrack
