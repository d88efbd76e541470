#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "model/request.hpp"

namespace paddletrack {

/// The ordered requests of each key, in the order of their arrival. The functions do nothing for requests
/// that are not ordered. It does not own the requests.
class OrderingQueues {
 public:
  /// Adds a request behind the earlier ones of its key.
  void add(Request& request);

  /// True if the request is the first of its key.
  bool isFirst(const Request& request) const;

  /// Holds the key of the request back until `until`.
  void hold(const Request& request, Duration until);

  /// Until when the key of the request is held back.
  Duration heldUntil(const Request& request) const;

  /// Removes the request; returns the first of its key that is left, null if there is none.
  Request* remove(Request& request);

  /// Drops the keys that no request waits for and that are not held back any more.
  void dropIdleKeys(Duration now);

 private:
  struct KeyQueue {
    std::deque<Request*> requests;
    Duration heldUntil{0};
  };

  std::map<std::uint64_t, KeyQueue> keyQueues_;
};

}  // namespace paddletrack
