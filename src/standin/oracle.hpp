// Judges a run by what the stand-ins saw: a pure function, so that each rule can be shown to break.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "standin/events.hpp"

namespace paddletrack::standin {

enum class Rule {
  oneAnswer,       // a job that was taken gets one whole final answer in time, and no second
  ownRows,         // an answer 'done' holds the rows that an executor made for this job, all in order
  runsOnce,        // a run-once job is attempted again only where the attempt before never ran
  throttledUnrun,  // a run-once job that is answered 'throttled' has not run
  gone,            // no attempt begins once its client has gone
  drains,          // an executor gets nothing new after the grace of its drain
  exits,           // SIGTERM: it ends with code 0, in time; without a signal it does not end
  idle,            // with nothing to do it holds no job, no more descriptors and memory than at its start
};
const char* nameOf(Rule rule);

struct OracleTerms {
  std::string runOnce = "load";         // the type that may not be repeated
  std::chrono::milliseconds slack{50};  // of the protocol, on each time limit
  std::chrono::milliseconds gone{100};  // from a client's end on
  std::chrono::milliseconds late{350};  // after its time: an answer is late, past it and the slack lost
  std::chrono::milliseconds drainGrace{1000};  // from when the list told
  std::chrono::milliseconds relist{2000};      // after a silence of the list: by then it is heard again
  std::chrono::milliseconds cross{50};         // a job whose connection ends so soon is sent once more
  std::chrono::milliseconds stop{3700};        // SIGTERM to the end
  std::int64_t descriptors = 0, memoryKb = 64 << 10;  // more than at its start
};

struct Break {
  Rule rule;
  std::string what;
  std::size_t event;  // by which it was seen
};

struct Verdict {
  std::vector<Break> breaks;
  // Cases looked at, by rule; and what is allowed but worth telling.
  std::array<std::uint64_t, 8> cases{};
  std::uint64_t jobs = 0, attempts = 0, late = 0, crossed = 0, killed = 0, unsent = 0, departed = 0,
                afterGone = 0;
  std::chrono::milliseconds worstGone{0};  // from a client's end to an attempt that began after it
  bool holds() const { return breaks.empty(); }
  std::string text() const;
};
Verdict judge(const std::vector<Event>& events, const OracleTerms& terms);

}  // namespace paddletrack::standin
