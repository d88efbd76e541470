// Keeps the records of one controller's decisions, as its Host is told of them. Bounded: so many finished
// ones, so many open; the oldest finished go first. No I/O, no clock, no chance.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "hindsight/record.hpp"

namespace paddletrack::hindsight {

class Recorder {
 public:
  struct Terms {
    std::size_t records = 4096;  // finished ones; as many may be open
    Span window{std::chrono::minutes(5)};
  };
  Recorder(const Deployment& site, Terms terms) : site_(site), terms_(terms) {}

  void weighed(const Job& job, const std::vector<Weighed>& all);
  void started(const Dispatch& dispatch);
  void over(Span now, const Job& job, bool done);  // its final answer, or its client has left

  // The finished ones of jobs that were taken within the window, oldest first.
  std::vector<const Record*> records(Span now) const;
  struct Counts {
    std::uint64_t finished = 0, dropped = 0;  // dropped: too many open
    std::size_t open = 0;
  };
  Counts counts() const { return {finished_, dropped_, open_.size()}; }
  const Terms& terms() const { return terms_; }

 private:
  struct Pending {
    const Job* job = nullptr;
    bool first = false;
    std::vector<const Engine*> engines;
    std::size_t best = 0;
    Draw draw;
  };
  void begin(const Job& job, const std::vector<Weighed>& all);
  void settle(std::size_t at);  // what the last draw came to: an index of what was weighed
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  const Deployment& site_;
  const Terms terms_;
  std::unordered_map<const Job*, Record> open_;
  std::vector<Record> ring_;
  std::size_t next_ = 0;
  std::uint64_t finished_ = 0, dropped_ = 0;
  Pending pending_;
};

}  // namespace paddletrack::hindsight
