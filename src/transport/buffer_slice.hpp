/// @file
/// Bytes that several owners share.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace paddletrack::transport {

/// Immutable bytes with shared ownership, used to forward data without copying it.
class BufferSlice {
 public:
  BufferSlice() = default;
  /// `isCounted` tells that the owner's memory is counted in a memory budget as long as it exists.
  BufferSlice(std::shared_ptr<const void> owner, std::string_view bytes, bool isCounted = false)
      : owner_(std::move(owner)), bytes_(bytes), isCounted_(isCounted) {}
  explicit BufferSlice(std::string text) {
    auto ownedText = std::make_shared<const std::string>(std::move(text));
    bytes_ = *ownedText;
    owner_ = std::move(ownedText);
  }
  static BufferSlice fromStatic(std::string_view literal) { return BufferSlice(nullptr, literal, true); }

  std::string_view view() const { return bytes_; }
  std::size_t size() const { return bytes_.size(); }
  /// Whether the bytes are counted in a memory budget, or need not be.
  bool isCounted() const { return isCounted_; }

 private:
  std::shared_ptr<const void> owner_;
  std::string_view bytes_;
  bool isCounted_ = false;
};

}  // namespace paddletrack::transport
