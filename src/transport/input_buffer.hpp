/// @file
/// The input of a connection.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string_view>
#include <utility>

#include "transport/buffer_slice.hpp"
#include "transport/memory_budget.hpp"

namespace paddletrack::transport {

/// Contiguous input that was read and not yet parsed. Parsed parts can be retained as slices. All storage is
/// counted in the memory budget, which must outlive the buffer and its slices.
class InputBuffer {
 public:
  /// `maxSize` bytes of unread input can always be held; see extendLimit() for more.
  InputBuffer(std::size_t initialSize, std::size_t maxSize, MemoryBudget& budget)
      : initialSize_(initialSize), maxSize_(maxSize), budget_(budget) {}

  std::string_view view() const { return {storage_.get() + readOffset_, writeOffset_ - readOffset_}; }
  /// Returns a slice with the bytes, which are a part of view(). A small part is copied, so that a slice
  /// keeps no more than twice its size in memory.
  BufferSlice retain(std::string_view bytes) const;
  void consume(std::size_t count);
  /// Announces the total size of the message that has begun, so that prepareSpace() provides space for all of
  /// it, up to the maximum size.
  void expectSize(std::size_t size);
  /// Lets the unread input grow to `size` bytes until some of it is consumed, as far as the memory budget
  /// allows.
  void extendLimit(std::size_t size) { extendedSize_ = size; }

  /// Returns space for more input. It is empty if the memory budget does not allow any, and then isFull() is
  /// true until some input is consumed. The caller must stop reading when isFull() is true.
  std::pair<char*, std::size_t> prepareSpace();
  void commit(std::size_t count) { writeOffset_ += count; }
  bool isFull() const { return wasGrowthRefused_ || unreadBytes() >= limit(); }
  /// Whether the memory budget did not allow what extendLimit() asked for.
  bool wasGrowthRefused() const { return wasGrowthRefused_; }
  std::size_t maxSize() const { return maxSize_; }
  /// Frees the storage if nothing in it is unread.
  void releaseIfEmpty();

 private:
  std::size_t unreadBytes() const { return writeOffset_ - readOffset_; }
  std::size_t limit() const { return std::max(maxSize_, extendedSize_); }
  bool needsStorage() const;
  std::size_t sizeOfNextStorage() const;
  void moveToNewStorage(std::size_t size);

  const std::size_t initialSize_;
  const std::size_t maxSize_;
  MemoryBudget& budget_;
  std::shared_ptr<char[]> storage_;
  std::size_t capacity_ = 0;
  std::size_t readOffset_ = 0;
  std::size_t writeOffset_ = 0;
  std::size_t expectedSize_ = 0;
  std::size_t extendedSize_ = 0;
  bool wasGrowthRefused_ = false;
};

}  // namespace paddletrack::transport
