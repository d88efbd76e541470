// How long open jobs will still take, from how long earlier ones took. An estimate, and told as one.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace paddletrack::drain {

using Span = std::chrono::microseconds;

class Outlook {
 public:
  explicit Outlook(std::size_t types) : types_(types) {}

  void done(std::size_t type, Span took);

  // An open job, by its type's index: how old it is, and how long until its client's time is up.
  struct Open {
    std::size_t type = 0;
    Span age{0}, left{0};
  };
  struct End {
    Span in{0};              // until the last of them has ended
    std::uint64_t from = 0;  // answers that the estimate rests on, of the job that decides; 0: its time-out
  };
  static constexpr double kSure = 0.9;                          // of jobs like it end by then
  std::optional<End> end(const std::vector<Open>& open) const;  // none: nothing is open

 private:
  // Answers by time taken, four cells to a doubling from a millisecond on; halved together now and then, so
  // that what has changed shows.
  static constexpr std::size_t kCells = 96;
  static constexpr std::uint32_t kMost = 4096;
  struct Lengths {
    std::array<std::uint32_t, kCells> cells{};
    std::uint32_t count = 0;
  };
  static std::size_t cellOf(Span took);
  static Span topOf(std::size_t cell);
  End endOf(const Open& job) const;

  std::vector<Lengths> types_;
};

}  // namespace paddletrack::drain
