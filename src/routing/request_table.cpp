#include "routing/request_table.hpp"

#include <algorithm>
#include <new>
#include <utility>

#include "failpoint/failpoint.hpp"

namespace paddletrack::routing {

void RequestTable::add(std::unique_ptr<RequestContext> newContext) {
  RequestContext& context = *newContext;
  PADDLETRACK_TABLE("jobs");
  context.position = requests_.emplace(requests_.end());
  try {
    PADDLETRACK_TABLE("references");
    requestIds_.insert(context.requestId);
  } catch (const std::bad_alloc&) {
    requests_.erase(context.position);
    throw;
  }
  *context.position = std::move(newContext);
}

namespace {

bool mustNotRunAgain(const RequestContext& context) {
  if (context.requestClass->idempotency != Idempotency::notIdempotent) return false;
  return std::any_of(context.attempts.begin(), context.attempts.end(),
                     [](const auto& attempt) { return !attempt->provenNotExecuted; });
}

}  // namespace

void RequestTable::remove(RequestContext& context) {
  try {
    if (mustNotRunAgain(context)) usedIds_.add(context.requestId);
  } catch (const std::bad_alloc&) {
    // The id is not remembered. Its request ends all the same.
  }
  requestIds_.erase(context.requestId);
  requests_.erase(context.position);
}

std::size_t RequestTable::countAttemptsInFlight() const {
  std::size_t count = 0;
  for (const auto& request : requests_) count += static_cast<std::size_t>(request->inFlightCount());
  return count;
}

void RequestTable::markForCleanup(RequestContext& context) {
  if (context.markedForCleanup) return;
  context.markedForCleanup = true;
  markedRequests_.push_back(&context);
}

std::vector<RequestContext*> RequestTable::takeMarked() {
  for (RequestContext* const context : markedRequests_) context->markedForCleanup = false;
  return std::exchange(markedRequests_, {});
}

}  // namespace paddletrack::routing
