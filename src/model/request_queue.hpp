#pragma once

#include <map>
#include <optional>

#include "model/request.hpp"

namespace paddletrack {

/// Requests by the time at which they are due. It keeps their `queued` and does not own them.
class RequestQueue {
 public:
  /// Queues the request, or moves it if it is queued already.
  void enqueue(Request& request, Duration dueAt);

  /// Takes the request off the queue if it is queued.
  void dequeue(Request& request);

  /// Takes the first request that is due by `now` off the queue; null if there is none.
  Request* takeDue(Duration now);

  /// When the first request is due; absent if the queue is empty.
  std::optional<Duration> nextDueAt() const;

 private:
  std::multimap<Duration, Request*> requests_;
};

}  // namespace paddletrack
