// How an engine with several addresses is reached: which address next, when the next dial starts beside a
// pending one, what each attempt has taught, and whether a dispatch whose connection ended may go another
// way. No I/O and no clock: every call brings the time.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace paddletrack::reach {

using Span = std::chrono::microseconds;

enum class Family { local, ipv6, ipv4 };
constexpr std::size_t kFamilies = 3;
const char* nameOf(Family family);

// What an attempt has taught of an address.
enum class Lesson {
  good,        // it answered
  refused,     // nobody listens there
  noAnswer,    // the dial came to its end without a word
  silent,      // it accepts and says nothing, or takes no bytes
  resetEarly,  // the connection ended before it said anything
};
const char* nameOf(Lesson lesson);

struct Terms {
  Span dial{0};  // the settings' dial time-out: of a race as a whole
  std::vector<Family> prefer{Family::local, Family::ipv6, Family::ipv4};
};

// One address of one engine.
struct Route {
  std::string name;  // as the list has it
  Family family = Family::ipv4;
  std::optional<Span> lastGood, lastBad;
  Lesson lesson = Lesson::good;  // the latest bad one
  unsigned badInRow = 0;
  Span restsUntil{0}, forgivenAt{0};              // due again then; as good as unknown then
  std::optional<Span> roundTrip;                  // mean of what it took to connect
  std::optional<Span> avoidedUntil, wantedUntil;  // by hand
  bool seen() const { return lastGood || lastBad; }
};

// What is thought of an address now, best first.
enum class Standing { wanted, good, unknown, due, resting, avoided };
const char* nameOf(Standing standing);
Standing standing(const Route& route, Span now);

// All addresses of one engine and what is known of them.
class Routes {
 public:
  static constexpr std::size_t kMost = 16;  // of one engine; what comes after is left out

  // The list as it is now, in the order of its preference; what is known of an address that stays is kept,
  // but not where another process answers there. Tells how many were left out.
  struct Named {
    std::string name;
    Family family;
  };
  std::size_t list(const std::vector<Named>& addresses, bool another);

  // Places in `all`, best first. None is ever left out for good: those that rest, and those avoided by hand,
  // come last.
  // One that is due again and preferred to all that are good comes first, to find out, unless `careful`.
  std::vector<std::size_t> order(Span now, const Terms& terms, bool careful = true) const;
  // `dice` from 0 to 1 spreads the rest, so that many that failed together are not tried again together.
  void learn(Span now, const std::string& name, Lesson lesson, std::optional<Span> roundTrip,
             const Terms& terms, double dice);
  // Whether it must show a sign of life before it takes a dispatch: it last accepted and did nothing good.
  bool doubted(const std::string& name) const;
  bool failed(const std::string& name) const;  // and has not been good since

  enum class ByHand { avoid, use, free };
  bool set(Span now, const std::string& name, ByHand what, Span until);  // false: no such address

  const std::vector<Route>& all() const { return routes_; }

 private:
  Route* find(const std::string& name);
  std::vector<Route> routes_;
};

// One connection's way up: dials that start one after the other, a stagger apart or as soon as one has
// failed, until the first is up. RFC 8305's manner, with delays as parts of the dial time-out.
class Race {
 public:
  Race(const Terms& terms, std::vector<std::string> order, Span now);

  struct Act {
    std::optional<std::string> dial{};  // begin this one, then look again
    bool inPlace = false;  // once those that are out have been ended: there is no room beside them
    bool over = false;     // nothing is left to wait for: it can't be reached
    Span next{0};          // else look again then, or when a dial has ended
  };
  Act look(Span now, bool beside);  // beside: the limits leave one more dial
  void up(Span now);                // one of them, and it is to show life: as long again as for a dial
  void failed(Span now);            // one that was begun
  std::size_t out() const { return out_; }
  Span end() const { return end_; }
  // Whether one that is still out has taught something when another is up: it had a stagger's start.
  bool slow(Span begun, Span winnerBegun) const { return begun + stagger_ <= winnerBegun; }

 private:
  std::vector<std::string> order_;
  std::size_t begun_ = 0, out_ = 0;
  Span dial_, stagger_, mayBegin_, end_;
};

// How many dials may be out: of one engine, and of all together.
class Dials {
 public:
  explicit Dials(std::size_t connections);  // that all engines together may have
  bool may(std::size_t ofEngine) const;     // one more, for an engine that has so many out
  void begun() { ++out_, ++ever_; }
  void ended() { --out_; }
  std::size_t out() const { return out_; }
  std::uint64_t ever() const { return ever_; }

 private:
  std::size_t most_, out_ = 0;
  std::uint64_t ever_ = 0;
};

// A dispatch that has not left yet: it waits for a dial, or its connection ended before it was whole.
struct Unsent {
  bool over = false;     // its job is: it has its answer, or its client has gone
  bool takesNew = true;  // its engine, and it is still the process that it was dispatched to
  Span left{0};          // until it may run no more: its own time, and its type's window for repeats
};
bool mayLeave(const Unsent& unsent);

// A dispatch whose connection has ended.
struct Parted {
  bool whole = false;   // the kernel took all of its bytes: its executor may have it
  bool spoilt = false;  // the connection was ended here, for what came over it
  bool wanted = true;   // it may leave all the same
  unsigned moved = 0;   // ways it has gone before
  Span left{0};         // of its job's time
};
enum class Fate {
  goesOn,       // the same dispatch, over another connection: it can't have run
  unreachable,  // it can't have run, and has no other way
  reset,        // it may have run
  spoilt,       // the same, and its connection is to blame
};
Fate fateOf(const Parted& parted, std::size_t addresses, const Terms& terms);

}  // namespace paddletrack::reach
