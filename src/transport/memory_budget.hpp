/// @file
/// The memory that the peers of this process make it hold.
#pragma once

#include <cstddef>
#include <utility>

namespace paddletrack::transport {

/// Counts the bytes that are held for the peers of all connections together, and decides which new ones are
/// allowed: buffers for input, parts of requests and results that were received, and output that the peers
/// have not read. Each byte is counted once, from its allocation until the last reference to it is gone. The
/// budget must outlive everything that is counted in it.
struct MemoryBudget {
  /// What memory is requested for. The less harm a refusal does, the earlier it is refused.
  enum class Purpose {
    excess,       ///< More than a connection's share: a long message, or output to a peer that does not read.
    newRequest,   ///< A request that can still be rejected without harm.
    openRequest,  ///< The result of a request that has been accepted.
    output,       ///< Output to a peer that reads.
  };
  /// A connection's fair share of the budget is one in this many parts.
  static constexpr std::size_t kFairShareDivisor = 64;

  std::size_t maxBytes = 0;
  std::size_t usedBytes = 0;

  /// Whether `bytes` more may be held for the purpose.
  bool allows(std::size_t bytes, Purpose purpose) const { return usedBytes + bytes <= limitFor(purpose); }
  void add(std::size_t bytes) { usedBytes += bytes; }
  void remove(std::size_t bytes) { usedBytes -= bytes; }

 private:
  std::size_t limitFor(Purpose purpose) const {
    switch (purpose) {
      case Purpose::excess:
        return maxBytes / 2;
      case Purpose::newRequest:
        return maxBytes / 8 * 5;
      case Purpose::openRequest:
        return maxBytes / 4 * 3;
      case Purpose::output:
        break;
    }
    return maxBytes;
  }
};

/// A number of bytes that is counted in a budget as long as this object exists.
class MemoryCharge {
 public:
  explicit MemoryCharge(MemoryBudget& budget, std::size_t bytes = 0) : budget_(budget), bytes_(bytes) {
    budget_.add(bytes_);
  }
  ~MemoryCharge() { budget_.remove(bytes_); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void add(std::size_t bytes) {
    budget_.add(bytes);
    bytes_ += bytes;
  }
  void remove(std::size_t bytes) {
    budget_.remove(bytes);
    bytes_ -= bytes;
  }

 private:
  MemoryBudget& budget_;
  std::size_t bytes_;
};

}  // namespace paddletrack::transport
