/// @file
/// The ids of requests that must not be executed again.
#pragma once

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

namespace paddletrack::routing {

/// Remembers the latest ids of finished requests. An id has up to 16 hex digits.
class UsedRequestIds {
 public:
  explicit UsedRequestIds(std::size_t maxCount) : maxCount_(maxCount) {}

  /// Throws std::bad_alloc.
  void add(std::string_view requestId) {
    const std::uint64_t number = parse(requestId);
    if (numbers_.contains(number)) return;
    numbersByAge_.push_back(number);
    numbers_.insert(number);
    if (numbersByAge_.size() <= maxCount_) return;
    numbers_.erase(numbersByAge_.front());
    numbersByAge_.pop_front();
  }
  bool contains(std::string_view requestId) const { return numbers_.contains(parse(requestId)); }
  std::size_t size() const { return numbers_.size(); }

 private:
  static std::uint64_t parse(std::string_view requestId) {
    constexpr int kHexadecimal = 16;
    std::uint64_t number = 0;
    std::from_chars(requestId.data(), requestId.data() + requestId.size(), number, kHexadecimal);
    return number;
  }

  const std::size_t maxCount_;
  std::unordered_set<std::uint64_t> numbers_;
  std::deque<std::uint64_t> numbersByAge_;  // The oldest first.
};

}  // namespace paddletrack::routing
