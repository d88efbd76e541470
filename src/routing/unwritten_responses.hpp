/// @file
/// The responses of a client's connection that the kernel has not taken entirely.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace paddletrack::routing {

/// Remembers where each response ends in the connection's output stream. To its client a request is open
/// until the whole response was written, so these count with the open requests.
class UnwrittenResponses {
 public:
  /// `streamEndOffset`: bytes given to the connection so far, this response included.
  void add(std::int32_t sequenceId, std::uint64_t streamEndOffset) {
    responses_.push_back({sequenceId, streamEndOffset});
  }
  /// The client has revoked the request and does not wait for the response any more.
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
