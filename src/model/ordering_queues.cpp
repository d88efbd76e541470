#include "model/ordering_queues.hpp"

namespace paddletrack {

void OrderingQueues::add(Request& request) {
  if (request.isOrdered()) keyQueues_[request.key].requests.push_back(&request);
}

bool OrderingQueues::isFirst(const Request& request) const {
  const auto entry = keyQueues_.find(request.key);
  return !request.isOrdered() || entry == keyQueues_.end() || entry->second.requests.front() == &request;
}

void OrderingQueues::hold(const Request& request, Duration until) {
  if (request.isOrdered()) keyQueues_[request.key].heldUntil = until;
}

Duration OrderingQueues::heldUntil(const Request& request) const {
  const auto entry = keyQueues_.find(request.key);
  return request.isOrdered() && entry != keyQueues_.end() ? entry->second.heldUntil : Duration{0};
}

Request* OrderingQueues::remove(Request& request) {
  const auto entry = keyQueues_.find(request.key);
  if (!request.isOrdered() || entry == keyQueues_.end()) return nullptr;
  std::deque<Request*>& requests = entry->second.requests;
  std::erase(requests, &request);
  return requests.empty() ? nullptr : requests.front();
}

void OrderingQueues::dropIdleKeys(Duration now) {
  std::erase_if(keyQueues_, [&](const auto& entry) {
    return entry.second.requests.empty() && now >= entry.second.heldUntil;
  });
}

}  // namespace paddletrack
