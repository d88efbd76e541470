// Taking several controllers out in turn, one at a time. No I/O and no clock, as the drain.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "drain/drain.hpp"

namespace paddletrack::drain {

// What a controller's door last told of it.
struct Seen {
  bool reached = false;
  std::string state;        // as nameOf
  std::uint64_t drain = 0;  // the number of its latest drain; 0: none
  bool missed = false;      // that drain's deadline found jobs open
  std::uint64_t process = 0;
};

class Roll {
 public:
  struct Terms {
    Span deadline{std::chrono::seconds(20)};  // of each drain
    Span grace{std::chrono::seconds(2)};      // past it, until the controller must say that it is drained
    Span back{std::chrono::seconds(30)};      // from then on, until it must serve again
    bool restarts = false;  // something is done to each while it is out, which may start it anew
  };
  Roll(std::size_t controllers, const Terms& terms) : terms_(terms), seen_(controllers) {}

  void saw(std::size_t which, Seen seen) { seen_[which] = std::move(seen); }
  void worked(bool well) { worked_ = well; }  // what was done to the one that is out has ended

  enum class Do { wait, ask, work, bringBack, finished, failed };
  struct Act {
    Do what = Do::wait;
    std::size_t which = 0;
  };
  // What to do now. Each is to be done once, and what then is seen to be told by saw or worked.
  Act look(Span now);

  std::size_t back() const { return back_; }  // so many have been out and serve again
  const std::string& why() const { return why_; }

 private:
  enum class Step { before, asked, working, returning, undoing, over };
  Act fail(Span now, std::string why);
  bool serves(std::size_t which) const { return seen_[which].reached && seen_[which].state == "serving"; }

  Terms terms_;
  std::vector<Seen> seen_;
  std::size_t at_ = 0, back_ = 0;
  Step step_ = Step::before;
  Span since_{0};
  std::uint64_t drainBefore_ = 0, processBefore_ = 0;
  std::optional<bool> worked_;
  bool broughtBack_ = false;
  std::string why_;
};

}  // namespace paddletrack::drain
