/// @file
/// The responses of a client connection that the kernel has not fully accepted yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace paddletrack::routing {

/// Records where each response ends in the connection's output stream. For its client, a request is open
/// until its response has been fully written, so these count as open requests.
class UnwrittenResponses {
 public:
  /// `streamEndOffset` is the number of bytes passed to the connection so far, including this response.
  void add(std::int32_t sequenceId, std::uint64_t streamEndOffset) {
    responses_.push_back({sequenceId, streamEndOffset});
  }
  /// Removes a response whose request the client has revoked, as the client no longer waits for it.
  void drop(std::int32_t sequenceId) {
    std::erase_if(responses_, [&](const Response& response) { return response.sequenceId == sequenceId; });
  }
  void removeWritten(std::uint64_t writtenBytes) {
    while (!responses_.empty() && responses_.front().streamEndOffset <= writtenBytes) responses_.pop_front();
  }
  bool empty() const { return responses_.empty(); }
  std::size_t size() const { return responses_.size(); }

 private:
  struct Response {
    std::int32_t sequenceId = 0;
    std::uint64_t streamEndOffset = 0;
  };
  std::deque<Response> responses_;
};

}  // namespace paddletrack::routing
