/// @file
/// The requests that the router has accepted and not removed.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "routing/request_context.hpp"
#include "routing/used_request_ids.hpp"

namespace paddletrack::routing {

/// Owns the requests from their acceptance until they are finished and none of their attempts is in flight.
/// Requests that may have reached this point are marked while a decision runs and removed after it, because
/// the decision still refers to them.
class RequestTable {
 public:
  /// Adds a request. Throws std::bad_alloc and then leaves the table unchanged.
  void add(std::unique_ptr<RequestContext> newContext);
  /// Destroys the request. Its id is remembered if its effect must not occur again.
  void remove(RequestContext& context);

  std::size_t size() const { return requests_.size(); }
  bool containsId(const std::string& requestId) const { return requestIds_.contains(requestId); }
  /// Whether a request with this id that is not idempotent may have been executed. Only the latest ones are
  /// remembered.
  bool mayHaveExecuted(const std::string& requestId) const { return usedIds_.contains(requestId); }
  std::size_t countAttemptsInFlight() const;

  /// Calls `visit` with each request, including finished ones, in the order of acceptance.
  template <typename Visitor>
  void forEach(Visitor visit) const {
    for (const auto& request : requests_) visit(*request);
  }

  void markForCleanup(RequestContext& context);
  /// Returns the marked requests in the order in which they were marked, and removes the marks.
  std::vector<RequestContext*> takeMarked();

 private:
  static constexpr std::size_t kMaxUsedIds = 16384;

  std::list<std::unique_ptr<RequestContext>> requests_;
  std::unordered_set<std::string> requestIds_;
  std::vector<RequestContext*> markedRequests_;
  UsedRequestIds usedIds_{kMaxUsedIds};
};

}  // namespace paddletrack::routing
