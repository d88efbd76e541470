#include "transport/input_buffer.hpp"

#include <algorithm>
#include <cstring>

#include "failpoint/failpoint.hpp"

namespace paddletrack::transport {
namespace {

// Storage is shared with a slice only if the slice has at least one in this many bytes of it.
constexpr std::size_t kMinSharedPart = 2;

std::shared_ptr<char[]> allocateCounted(MemoryBudget& budget, std::size_t size) {
  std::unique_ptr<char[]> bytes(new char[size]);
  budget.add(size);
  const auto release = [&budget, size](const char* released) {
    delete[] released;
    budget.remove(size);
  };
  // If this throws std::bad_alloc, it has called `release`.
  return std::shared_ptr<char[]>(bytes.release(), release);
}

}  // namespace

BufferSlice InputBuffer::retain(std::string_view bytes) const {
  if (bytes.size() >= capacity_ / kMinSharedPart) return BufferSlice(storage_, bytes, true);
  if (bytes.empty()) return BufferSlice::fromStatic("");
  std::shared_ptr<char[]> copy = allocateCounted(budget_, bytes.size());
  std::memcpy(copy.get(), bytes.data(), bytes.size());
  const std::string_view copiedBytes(copy.get(), bytes.size());
  return BufferSlice(std::move(copy), copiedBytes, true);
}

void InputBuffer::consume(std::size_t count) {
  readOffset_ += count;
  extendedSize_ = 0;
  wasGrowthRefused_ = false;
}

void InputBuffer::expectSize(std::size_t size) { expectedSize_ = std::min(size, maxSize_); }

std::pair<char*, std::size_t> InputBuffer::prepareSpace() {
  const std::size_t requiredSize = std::max(initialSize_, expectedSize_);
  if (unreadBytes() == 0 && storage_.use_count() == 1 && capacity_ >= requiredSize &&
      capacity_ <= 2 * initialSize_)
    readOffset_ = writeOffset_ = 0;
  if (needsStorage()) {
    const std::size_t size = sizeOfNextStorage();
    wasGrowthRefused_ = unreadBytes() >= maxSize_ && !budget_.allows(size, MemoryBudget::Purpose::excess);
    if (wasGrowthRefused_) return {nullptr, 0};
    moveToNewStorage(size);
  }
  expectedSize_ = 0;
  return {storage_.get() + writeOffset_, capacity_ - writeOffset_};
}

bool InputBuffer::needsStorage() const {
  return !storage_ || writeOffset_ == capacity_ || readOffset_ + expectedSize_ > capacity_;
}

// Twice the unread bytes, so that accumulating input is rarely copied, but not far beyond the limit.
std::size_t InputBuffer::sizeOfNextStorage() const {
  const std::size_t grownSize = unreadBytes() + initialSize_ / 2;
  const std::size_t doubledSize = std::min(2 * unreadBytes(), limit());
  return std::max({initialSize_, expectedSize_, grownSize, doubledSize});
}

void InputBuffer::moveToNewStorage(std::size_t size) {
  PADDLETRACK_TABLE("input");
  std::shared_ptr<char[]> newStorage = allocateCounted(budget_, size);
  const std::size_t unread = unreadBytes();
  if (unread > 0) std::memcpy(newStorage.get(), storage_.get() + readOffset_, unread);
  storage_ = std::move(newStorage);
  capacity_ = size;
  readOffset_ = 0;
  writeOffset_ = unread;
}

void InputBuffer::releaseIfEmpty() {
  if (readOffset_ != writeOffset_) return;
  storage_.reset();
  readOffset_ = writeOffset_ = capacity_ = 0;
}

}  // namespace paddletrack::transport
