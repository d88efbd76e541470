// When a controller turns to the list service: at its start, after a session with it has ended, and when it
// is told of another one. Told times and what became of each session; no I/O, no clock; chance from a seed.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <utility>

namespace paddletrack::coldstart {

using Span = std::chrono::microseconds;

struct Terms {
  unsigned controllers = 1;  // of the deployment: so many may start, or lose the list, at once
  // Dials a second that all of them together are to make, by those that know a list already (from their
  // configuration or an earlier session) and by those that know none, which serve nobody until they have
  // one. 0: not spread by the number of controllers.
  double follows = 0, reads = 0;
  Span longest{std::chrono::seconds(30)};  // no wait is longer
};

class ListDials {
 public:
  // How a session ended: no connection; ended by the other side before a line that can be used, or with one
  // that can't; not a byte in all our patience; or after it had told something.
  enum class End { unreachable, refused, silent, told };

  ListDials(const Terms& terms, bool knows, std::uint64_t seed, Span now);

  Span due() const { return due_; }  // the next dial begins then
  Span patience() const;             // how long a session is waited for until its first line
  void told() { mute_ = failures_ = 0, spared_ = true; }  // a line that can be used has come
  void ended(Span now, End how, bool knows);              // and the next dial's time is drawn
  Span moves(Span now, bool knows);                       // to another list service: then
  void moved(Span now);                                   // and it is dialled at once
  // An engine of the list can't be reached: what is known may be old. Brings the next dial forward, once.
  void doubt(Span now);

  unsigned failures() const { return failures_; }  // sessions in a row that told nothing
  Span window(bool knows) const;                   // in which all controllers' dials are spread

 private:
  Span drawn(Span least, Span most);

  const Terms terms_;
  std::minstd_rand dice_;
  Span due_{0}, again_{0};  // the last wait of a row of them; 0: none has been yet
  unsigned failures_ = 0, mute_ = 0;
  bool spared_;  // a list is known: the first silence in a row does not make it more patient
  bool hurried_ = false;
};

}  // namespace paddletrack::coldstart
