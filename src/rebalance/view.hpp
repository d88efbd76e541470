// What a plan of moves is made from, and what it is. Nothing here does I/O or reads a clock; all figures are
// whole numbers, so that every controller computes the same plan from the same view.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/engine.hpp"

namespace paddletrack::rebalance {

using Bytes = std::int64_t;

struct EngineView {
  std::string name;           // the same at every controller
  Bytes capacity = 0;         // for groups that it keeps warm, in all
  Bytes headroom = 0;         // it may take on so much beyond what it holds; below 0: it holds too much
  std::int64_t strength = 1;  // its part of all reading is as its part of all strength
  Standing standing = Standing::ready;
  bool cold = false;  // of engines equally good a warm one is chosen
  unsigned location = 0, kind = 0;
};

struct GroupView {
  std::uint32_t number = 0;            // of tables, as in Job::dataSet
  Bytes size = 0;                      // that are read where it comes to an engine that does not hold it
  std::int64_t rate = 0;               // how much it is read in all, one unit for all groups
  unsigned copies = 1;                 // engines that it is to be served at, each with its part of the rate
  std::vector<std::uint32_t> holders;  // places in View::engines; one gone holds nothing
  std::optional<std::vector<unsigned>> locations{}, kinds{};  // bound to these, where given
  bool resting = false;  // it was moved of late: it is moved again only where others do not do
};

struct View {
  std::vector<EngineView> engines;
  std::vector<GroupView> groups;
};

// The same view however its parts came together: engines by name, groups by number, holders in order; of two
// with one name the first counts. Holders that are no place in `engines` are left out.
View inOrder(View view);
std::uint64_t digest(const View& view);                          // of one in order (FNV-1a)
bool mayHold(const GroupView& group, const EngineView& engine);  // by placement

struct Terms {
  int bound = 25;        // per cent over the best load that an engine may have after the plan
  int act = 25;          // per cent over it from which an engine gives groups away; at least `bound`
  int parts = 1;         // a plan uses this part of a headroom, and of what it frees
  int work = 1'000'000;  // placements weighed at most
};

// One group comes to an engine. A step without `to` brings nothing: `from` gives way, as others serve it.
struct Move {
  std::uint32_t group = 0;                // place in View::groups
  std::optional<std::uint32_t> from, to;  // places in View::engines; `from` gives way once `to` has it
  Bytes bytes = 0;
  std::vector<std::uint32_t> after;  // places in Plan::moves, all before this one, that end first
};

struct Plan {
  std::vector<Move> moves;
  std::vector<std::vector<std::uint32_t>> homes;  // of each group, once all moves are done
  Bytes bytes = 0;                                // all moves
  Bytes forced = 0;          // of these, no plan is without: no engine that may serve the group holds it
  Bytes detours = 0;         // of these, for a stop on the way where no order has room without
  std::size_t overfull = 0;  // engines that hold more than they may and can't give enough away
  std::size_t homeless = 0;  // copies for which no engine has room
  std::size_t putOff = 0;    // moves left out: no order has room for them
  bool balanced = true;      // no engine is over the bound
  bool whole() const { return balanced && overfull == 0 && homeless == 0 && putOff == 0; }
};

Plan plan(const View& view, const Terms& terms);  // of one in order

// The least load for its strength that the most loaded engine can have, from below; and what an engine may
// have at so many per cent over it.
class Best {
 public:
  Best(const View& view);
  std::int64_t limit(const EngineView& engine, int over) const;

 private:
  std::int64_t load_ = 0, strength_ = 1;
};
std::int64_t partOf(const GroupView& group, std::size_t able);   // of the rate, at one of its engines
std::size_t copiesOf(const GroupView& group, std::size_t able);  // that there can be

}  // namespace paddletrack::rebalance
