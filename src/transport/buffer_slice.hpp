#pragma once

#include <algorithm>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>

#include "failpoint/failpoint.hpp"

namespace paddletrack::transport {

/// Immutable bytes with shared ownership, used to forward data without copying it.
class BufferSlice {
 public:
  BufferSlice() = default;
  BufferSlice(std::shared_ptr<const void> owner, std::string_view bytes)
      : owner_(std::move(owner)), bytes_(bytes) {}
  explicit BufferSlice(std::string text) {
    auto ownedText = std::make_shared<const std::string>(std::move(text));
    bytes_ = *ownedText;
    owner_ = std::move(ownedText);
  }
  static BufferSlice fromStatic(std::string_view literal) { return BufferSlice(nullptr, literal); }

  std::string_view view() const { return bytes_; }
  std::size_t size() const { return bytes_.size(); }

 private:
  std::shared_ptr<const void> owner_;
  std::string_view bytes_;
};

/// Contiguous input that was read and not yet parsed. Parsed parts can be retained as slices without a copy.
class InputBuffer {
 public:
  InputBuffer(std::size_t initialSize, std::size_t maxSize) : initialSize_(initialSize), maxSize_(maxSize) {}

  std::string_view view() const { return {storage_.get() + readOffset_, writeOffset_ - readOffset_}; }
  BufferSlice retain(std::string_view bytes) const { return BufferSlice(storage_, bytes); }
  void consume(std::size_t count) { readOffset_ += count; }
  /// Announces the total size of the message that has begun, so that prepareSpace() provides space for all of
  /// it.
  void expectSize(std::size_t size) { expectedSize_ = std::min(size, maxSize_); }

  /// Returns space for more input, which is never empty. The caller must stop reading when the unread input
  /// has reached the maximum size; see isFull().
  std::pair<char*, std::size_t> prepareSpace() {
    const std::size_t unreadBytes = writeOffset_ - readOffset_,
                      requiredSize = std::max(initialSize_, expectedSize_);
    if (unreadBytes == 0 && storage_.use_count() == 1 && capacity_ >= requiredSize &&
        capacity_ <= 2 * initialSize_)
      readOffset_ = writeOffset_ = 0;
    if (!storage_ || writeOffset_ == capacity_ || readOffset_ + expectedSize_ > capacity_) {
      // Twice the unread bytes, so that accumulating input is rarely copied, but not far beyond the maximum.
      const std::size_t grownSize = unreadBytes + initialSize_ / 2;
      const std::size_t size =
          std::max(requiredSize, std::max(grownSize, std::min(2 * unreadBytes, maxSize_)));
      PADDLETRACK_TABLE("input");
      std::shared_ptr<char[]> newStorage(new char[size]);
      if (unreadBytes > 0) std::memcpy(newStorage.get(), storage_.get() + readOffset_, unreadBytes);
      storage_ = std::move(newStorage);
      capacity_ = size;
      readOffset_ = 0;
      writeOffset_ = unreadBytes;
    }
    expectedSize_ = 0;
    return {storage_.get() + writeOffset_, capacity_ - writeOffset_};
  }
  void commit(std::size_t count) { writeOffset_ += count; }
  bool isFull() const { return writeOffset_ - readOffset_ >= maxSize_; }
  std::size_t maxSize() const { return maxSize_; }
  /// Frees the storage if nothing in it is unread.
  void releaseIfEmpty() {
    if (readOffset_ != writeOffset_) return;
    storage_.reset();
    readOffset_ = writeOffset_ = capacity_ = 0;
  }

 private:
  std::size_t initialSize_, maxSize_;
  std::shared_ptr<char[]> storage_;
  std::size_t capacity_ = 0, readOffset_ = 0, writeOffset_ = 0, expectedSize_ = 0;
};

}  // namespace paddletrack::transport
