#pragma once

#include <algorithm>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>

#include "fault/fault.hpp"

namespace paddletrack::transport {

// Bytes that stay where they were read or made for as long as anyone holds them.
class Slice {
 public:
  Slice() = default;
  Slice(std::shared_ptr<const void> owner, std::string_view bytes)
      : owner_(std::move(owner)), bytes_(bytes) {}
  explicit Slice(std::string made) {
    auto kept = std::make_shared<const std::string>(std::move(made));
    bytes_ = *kept;
    owner_ = std::move(kept);
  }
  static Slice lasting(std::string_view literal) { return Slice(nullptr, literal); }

  std::string_view view() const { return bytes_; }
  std::size_t size() const { return bytes_.size(); }

 private:
  std::shared_ptr<const void> owner_;
  std::string_view bytes_;
};

// What was read and not yet parsed, in one piece. Parsed parts may be kept as slices, without a copy.
class Inbox {
 public:
  Inbox(std::size_t usual, std::size_t most) : usual_(usual), most_(most) {}

  std::string_view view() const { return {slab_.get() + begin_, end_ - begin_}; }
  Slice keep(std::string_view part) const { return Slice(slab_, part); }
  void consume(std::size_t count) { begin_ += count; }
  // The message that has begun is so long in all: room is made for the whole of it.
  void expect(std::size_t size) { expected_ = std::min(size, most_); }

  // Room for more, never none; a message as long as the bound leaves none to be read, see full().
  std::pair<char*, std::size_t> space() {
    const std::size_t held = end_ - begin_, wanted = std::max(usual_, expected_);
    if (held == 0 && slab_.use_count() == 1 && size_ >= wanted && size_ <= 2 * usual_) begin_ = end_ = 0;
    if (!slab_ || end_ == size_ || begin_ + expected_ > size_) {
      // Twice what is held, so that what piles up is not copied over and over; not far past the bound.
      const std::size_t more = held + usual_ / 2;
      const std::size_t size = std::max(wanted, std::max(more, std::min(2 * held, most_)));
      PADDLETRACK_TABLE("input");
      std::shared_ptr<char[]> fresh(new char[size]);
      if (held > 0) std::memcpy(fresh.get(), slab_.get() + begin_, held);
      slab_ = std::move(fresh);
      size_ = size;
      begin_ = 0;
      end_ = held;
    }
    expected_ = 0;
    return {slab_.get() + end_, size_ - end_};
  }
  void grew(std::size_t count) { end_ += count; }
  bool full() const { return end_ - begin_ >= most_; }
  std::size_t most() const { return most_; }
  // Gives the slab back while nothing waits in it.
  void rest() {
    if (begin_ != end_) return;
    slab_.reset();
    begin_ = end_ = size_ = 0;
  }

 private:
  std::size_t usual_, most_;
  std::shared_ptr<char[]> slab_;
  std::size_t size_ = 0, begin_ = 0, end_ = 0, expected_ = 0;
};

}  // namespace paddletrack::transport
