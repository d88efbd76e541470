#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "model/request.hpp"

namespace paddletrack {

/// Ordering queues: the ordered requests of each key in the order of their arrival. Requests that are not
/// ordered are ignored. The requests are owned by the caller.
class OrderingQueues {
 public:
  /// Adds the request behind the earlier requests of its key.
  void add(Request& request);

  /// Returns true if the request is the first of its key or is not ordered.
  bool isFirst(const Request& request) const;

  /// Starts an ordering hold on the key of the request that lasts until `until`.
  void hold(const Request& request, Duration until);

  /// Returns the end of the ordering hold on the key of the request; 0 if there was none.
  Duration heldUntil(const Request& request) const;

  /// Removes the request. Returns the first remaining request of its key, or null if there is none.
  Request* remove(Request& request);

  /// Drops the keys that have neither requests nor an ordering hold.
  void dropIdleKeys(Duration now);

 private:
  struct KeyQueue {
    std::deque<Request*> requests;
    Duration heldUntil{0};
  };

  std::map<std::uint64_t, KeyQueue> keyQueues_;
};

}  // namespace paddletrack
