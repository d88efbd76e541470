#include "model/request_queue.hpp"

namespace paddletrack {

void RequestQueue::enqueue(Request& request, Duration dueAt) {
  dequeue(request);
  request.queued = true;
  requests_.emplace(dueAt, &request);
}

void RequestQueue::dequeue(Request& request) {
  if (request.queued) std::erase_if(requests_, [&](const auto& entry) { return entry.second == &request; });
  request.queued = false;
}

Request* RequestQueue::takeDue(Duration now) {
  if (requests_.empty() || requests_.begin()->first > now) return nullptr;
  Request* request = requests_.begin()->second;
  requests_.erase(requests_.begin());
  request->queued = false;
  return request;
}

std::optional<Duration> RequestQueue::nextDueAt() const {
  if (requests_.empty()) return std::nullopt;
  return requests_.begin()->first;
}

}  // namespace paddletrack
