// Copies that may stay stay; engines over their bound give away what costs least; what needs a place gets
// one, the hardest first; small windows of a few engines are then searched whole, for a place or for fewer
// bytes. Last an order in which no engine is ever over its headroom.
#include <algorithm>
#include <bit>
#include <map>
#include <queue>
#include <random>
#include <utility>

#include "rebalance/view.hpp"

namespace paddletrack::rebalance {
namespace {

constexpr int kNone = -1;
constexpr std::int64_t kRests = 4;       // times its size: what moving a resting group counts
constexpr std::size_t kWholeUnits = 16;  // up to so many copies and engines one window holds all
constexpr std::size_t kWholeEngines = 10;
constexpr std::size_t kMostWhole = 32;  // the same, where else a copy has no place
constexpr std::size_t kWindowUnits = 11;
constexpr std::size_t kStateEngines = 16, kStateGroups = 16;
constexpr int kWholePart = 5, kMostPart = 2, kStatesPart = 8;  // of the work
constexpr int kWindowNodes = 1'500, kShedNodes = 2'000;

struct Unit {  // one copy that is wanted
  std::uint32_t group = 0;
  int home = kNone;
  std::int64_t part = 0;
};

class Placing {
 public:
  Placing(const View& view, const Terms& terms)
      : view_(view),
        terms_(terms),
        work_(terms.work),
        at_(view.engines.size()),
        ofGroup_(view.groups.size()) {}

  void run(Plan& made) {
    begin();
    shed();
    place();
    search();
    settle(made);
    made.homes.resize(view_.groups.size());
    for (const Unit& unit : units_)
      if (unit.home != kNone) made.homes[unit.group].push_back(static_cast<std::uint32_t>(unit.home));
    for (auto& each : made.homes) std::sort(each.begin(), each.end());
  }

 private:
  struct At {
    std::int64_t load = 0, limit = 0;
    Bytes used = 0, room = 0;
    std::vector<int> units;
    bool ready = false;
  };

  bool held(const Unit& unit, int engine) const {
    const auto& holders = view_.groups[unit.group].holders;
    return std::binary_search(holders.begin(), holders.end(), static_cast<std::uint32_t>(engine));
  }
  bool allowed(const Unit& unit, int engine) const {
    const auto place = static_cast<std::size_t>(engine);
    return at_[place].ready && mayHold(view_.groups[unit.group], view_.engines[place]);
  }
  bool twice(const Unit& unit, int engine) const {
    const auto& all = ofGroup_[unit.group];
    return std::any_of(all.begin(), all.end(), [&](int each) {
      return &units_[static_cast<std::size_t>(each)] != &unit &&
             units_[static_cast<std::size_t>(each)].home == engine;
    });
  }
  bool couldStay(const Unit& unit) const {  // somewhere, for nothing
    const auto& holders = view_.groups[unit.group].holders;
    return std::any_of(holders.begin(), holders.end(),
                       [&](std::uint32_t each) { return allowed(unit, static_cast<int>(each)); });
  }
  Bytes weight(const Unit& unit, int engine) const {
    return view_.groups[unit.group].size * (held(unit, engine) ? 1 : terms_.parts);
  }
  std::int64_t cost(const Unit& unit, int engine) const {
    const GroupView& group = view_.groups[unit.group];
    if (held(unit, engine)) return 0;
    return group.size * (group.resting && couldStay(unit) ? kRests : 1) + 1;
  }
  bool room(const Unit& unit, int engine) const {
    const At& at = at_[static_cast<std::size_t>(engine)];
    return at.used + weight(unit, engine) <= at.room;
  }
  bool fits(const Unit& unit, int engine) const {
    const At& at = at_[static_cast<std::size_t>(engine)];
    return at.load + unit.part <= at.limit && room(unit, engine);
  }
  void put(int number, int engine) {
    Unit& unit = units_[static_cast<std::size_t>(number)];
    unit.home = engine;
    At& at = at_[static_cast<std::size_t>(engine)];
    at.load += unit.part, at.used += weight(unit, engine);
    at.units.push_back(number);
  }
  void take(int number) {
    Unit& unit = units_[static_cast<std::size_t>(number)];
    if (unit.home == kNone) return;
    At& at = at_[static_cast<std::size_t>(unit.home)];
    at.load -= unit.part, at.used -= weight(unit, unit.home);
    std::erase(at.units, number);
    unit.home = kNone;
  }

  // What may stay stays; of more copies than wanted those on the less loaded engines.
  void begin() {
    const Best best(view_);
    std::vector<Bytes> heldBytes(view_.engines.size());
    for (const GroupView& group : view_.groups)
      for (const std::uint32_t each : group.holders) heldBytes[each] += group.size;
    for (std::size_t each = 0; each < at_.size(); ++each) {
      const EngineView& engine = view_.engines[each];
      at_[each].ready = engine.standing == Standing::ready && engine.strength > 0;
      at_[each].limit = best.limit(engine, terms_.bound);
      at_[each].room = std::max<Bytes>(0, std::min(engine.capacity, heldBytes[each] + engine.headroom));
    }
    for (const At& each : at_) {
      if (!each.ready) continue;
      allRoom_ += static_cast<double>(std::max<Bytes>(each.room, 0));
      allLimit_ += static_cast<double>(each.limit);
    }
    std::vector<std::uint32_t> many;
    for (std::uint32_t group = 0; group < view_.groups.size(); ++group) {
      const GroupView& one = view_.groups[group];
      std::size_t able = 0, kept = 0;
      for (int engine = 0; engine < static_cast<int>(at_.size()); ++engine)
        able += allowed(Unit{group}, engine) ? 1 : 0;
      for (std::size_t copy = copiesOf(one, able); copy > 0; --copy) {
        ofGroup_[group].push_back(static_cast<int>(units_.size()));
        units_.push_back({group, kNone, partOf(one, able)});
      }
      for (const std::uint32_t holder : one.holders)
        kept += allowed(Unit{group}, static_cast<int>(holder)) ? 1 : 0;
      if (kept > ofGroup_[group].size())
        many.push_back(group);
      else
        stay(group);
    }
    std::stable_sort(many.begin(), many.end(),
                     [&](auto one, auto other) { return view_.groups[one].rate > view_.groups[other].rate; });
    for (const std::uint32_t each : many) stay(each);
    const Best again(view_);
    for (std::size_t each = 0; each < at_.size(); ++each)
      if (at_[each].load <= again.limit(view_.engines[each], std::max(terms_.act, terms_.bound)))
        at_[each].limit = std::max(at_[each].limit, at_[each].load);
  }
  void stay(std::uint32_t group) {
    for (const int each : ofGroup_[group]) {
      int best = kNone;
      for (const std::uint32_t place : view_.groups[group].holders) {
        const int holder = static_cast<int>(place);
        const Unit& unit = units_[static_cast<std::size_t>(each)];
        if (!allowed(unit, holder) || twice(unit, holder)) continue;
        if (best == kNone || fuller(best, holder)) best = holder;
      }
      if (best == kNone) return;
      put(each, best);
    }
  }
  bool fuller(int one, int than) const {
    const At &a = at_[static_cast<std::size_t>(one)], &b = at_[static_cast<std::size_t>(than)];
    return static_cast<double>(a.load) * static_cast<double>(b.limit) >
           static_cast<double>(b.load) * static_cast<double>(a.limit);
  }

  // From each engine over its bound, or over its room, the set that costs least and takes the excess away.
  void shed() {
    for (std::size_t each = 0; each < at_.size(); ++each) {
      At& at = at_[each];
      if (at.load <= at.limit && at.used <= at.room) continue;
      std::vector<int> movable;
      for (const int number : at.units) {
        const Unit& unit = units_[static_cast<std::size_t>(number)];
        // Another holder may serve it for nothing.
        int other = kNone;
        for (const std::uint32_t place : view_.groups[unit.group].holders) {
          const int holder = static_cast<int>(place);
          if (holder != unit.home && allowed(unit, holder) && !twice(unit, holder) && fits(unit, holder))
            other = other == kNone || fuller(other, holder) ? holder : other;
        }
        movable.push_back(number);
        if (other != kNone) free_.emplace_back(number, other);
      }
      for (const auto& [number, other] : free_) {
        if (at.load <= at.limit && at.used <= at.room) break;
        if (!fits(units_[static_cast<std::size_t>(number)], other)) continue;
        take(number), put(number, other);
        std::erase(movable, number);
      }
      free_.clear();
      if (at.load <= at.limit && at.used <= at.room) continue;
      for (const int number : cheapest(movable, at.load - at.limit, at.used - at.room)) {
        take(number);
      }
    }
    pool_.clear();
    for (std::size_t each = 0; each < units_.size(); ++each)
      if (units_[each].home == kNone) pool_.push_back(static_cast<int>(each));
  }

  std::int64_t sheds(const Unit& unit) const {
    const GroupView& group = view_.groups[unit.group];
    return group.size * (group.resting ? kRests : 1) + 1;
  }
  std::vector<int> cheapest(std::vector<int> from, std::int64_t load, Bytes bytes) {
    const auto worth = [&](int number) {
      const Unit& unit = units_[static_cast<std::size_t>(number)];
      const double gain =
          (load > 0 ? static_cast<double>(std::min(unit.part, load)) / static_cast<double>(load) : 0) +
          (bytes > 0 ? static_cast<double>(std::min(view_.groups[unit.group].size, bytes)) /
                           static_cast<double>(bytes)
                     : 0);
      return gain / static_cast<double>(sheds(unit));
    };
    std::stable_sort(from.begin(), from.end(), [&](int one, int other) { return worth(one) > worth(other); });
    struct Search {
      std::vector<int> taken, best;
      std::int64_t cost = 0, least = INT64_MAX;
      int nodes = kShedNodes;
    } search;
    const auto down = [&](auto&& self, std::size_t next, std::int64_t loadLeft, Bytes bytesLeft) -> void {
      if (search.cost >= search.least || (--search.nodes < 0 && search.least != INT64_MAX)) return;
      if (loadLeft <= 0 && bytesLeft <= 0) {
        search.least = search.cost, search.best = search.taken;
        return;
      }
      if (next == from.size()) return;
      const Unit& unit = units_[static_cast<std::size_t>(from[next])];
      const bool helps =
          (loadLeft > 0 && unit.part > 0) || (bytesLeft > 0 && view_.groups[unit.group].size > 0);
      if (helps) {
        search.taken.push_back(from[next]), search.cost += sheds(unit);
        self(self, next + 1, loadLeft - unit.part, bytesLeft - view_.groups[unit.group].size);
        search.taken.pop_back(), search.cost -= sheds(unit);
      }
      self(self, next + 1, loadLeft, bytesLeft);
    };
    down(down, 0, load, bytes);
    return search.least == INT64_MAX ? from : search.best;
  }

  // The hardest to place first.
  void place() {
    std::vector<std::pair<double, int>> order;
    for (const int each : pool_) {
      const Unit& unit = units_[static_cast<std::size_t>(each)];
      order.emplace_back(-hard(unit), each);
    }
    std::sort(order.begin(), order.end());
    pool_.clear();
    for (const auto& [hard, number] : order)
      if (!placeOne(number, false)) pool_.push_back(number);
    if (pool_.empty()) return;
    // Another way: fill the fullest first, which leaves larger holes.
    for (const auto& [hard, number] : order) take(number);
    std::vector<int> left;
    for (const auto& [hard, number] : order)
      if (!placeOne(number, true)) left.push_back(number);
    pool_ = std::move(left);
  }

  double hard(const Unit& unit) const {
    return static_cast<double>(view_.groups[unit.group].size) / allRoom_ +
           static_cast<double>(unit.part) / allLimit_;
  }

  bool placeOne(int number, bool tight) {
    const Unit& unit = units_[static_cast<std::size_t>(number)];
    int best = kNone;
    std::pair<std::int64_t, double> least{};
    work_ -= static_cast<int>(at_.size() / 64 + 1);
    for (int engine = 0; engine < static_cast<int>(at_.size()); ++engine) {
      if (!allowed(unit, engine) || !fits(unit, engine) || twice(unit, engine)) continue;
      const auto place = static_cast<std::size_t>(engine);
      const At& at = at_[place];
      const double full =
          static_cast<double>(at.load + unit.part) / static_cast<double>(std::max<std::int64_t>(1, at.limit));
      const bool now = held(unit, engine) || view_.engines[place].headroom >= weight(unit, engine);
      const double score = (tight ? -full : full) + (view_.engines[place].cold ? 0.1 : 0) + (now ? 0 : 0.2);
      const std::pair<std::int64_t, double> one{cost(unit, engine), score};
      if (best == kNone || one < least) best = engine, least = one;
    }
    if (best != kNone) put(number, best);
    return best != kNone;
  }

  // ---- windows --------------------------------------------------------------------------------------------

  struct Worth {
    std::size_t homeless = 0;
    std::int64_t cost = 0;
    auto operator<=>(const Worth&) const = default;
  };

  bool window(const std::vector<int>& engines, std::vector<int> numbers, int nodes) {
    std::vector<int> before, best;
    Worth was;
    std::stable_sort(numbers.begin(), numbers.end(), [&](int one, int other) {
      return hard(units_[static_cast<std::size_t>(one)]) > hard(units_[static_cast<std::size_t>(other)]);
    });
    for (const int each : numbers) {
      const Unit& unit = units_[static_cast<std::size_t>(each)];
      before.push_back(unit.home);
      unit.home == kNone ? void(++was.homeless) : void(was.cost += cost(unit, unit.home));
    }
    for (const int each : numbers) take(each);
    // The least that those still to come cost.
    std::vector<std::int64_t> rest(numbers.size() + 1, 0);
    std::vector<std::vector<std::pair<std::int64_t, int>>> options(numbers.size());
    for (std::size_t at = numbers.size(); at-- > 0;) {
      const Unit& unit = units_[static_cast<std::size_t>(numbers[at])];
      std::vector<int> where = engines;
      if (before[at] != kNone && std::find(where.begin(), where.end(), before[at]) == where.end())
        where.push_back(before[at]);
      for (const int engine : where)
        if (allowed(unit, engine)) options[at].emplace_back(cost(unit, engine), engine);
      std::stable_sort(options[at].begin(), options[at].end(),
                       [](const auto& one, const auto& other) { return one.first < other.first; });
      rest[at] = rest[at + 1] + (options[at].empty() ? 0 : options[at].front().first);
    }
    Worth least = was, now;
    std::vector<int> chosen(numbers.size(), kNone);
    const int given = nodes;
    const auto down = [&](auto&& self, std::size_t next) -> void {
      if (--nodes < 0) return;
      const Worth bound{now.homeless, now.cost + (now.homeless < least.homeless ? 0 : rest[next])};
      if (bound >= least) return;
      if (next == numbers.size()) {
        least = now, best = chosen;
        return;
      }
      const Unit& unit = units_[static_cast<std::size_t>(numbers[next])];
      for (const auto& [price, engine] : options[next]) {
        if (!fits(unit, engine) || twice(unit, engine)) continue;
        At& at = at_[static_cast<std::size_t>(engine)];
        const Bytes weighs = weight(unit, engine);
        chosen[next] = units_[static_cast<std::size_t>(numbers[next])].home = engine;
        at.load += unit.part, at.used += weighs, now.cost += price;
        self(self, next + 1);
        at.load -= unit.part, at.used -= weighs, now.cost -= price;
        chosen[next] = units_[static_cast<std::size_t>(numbers[next])].home = kNone;
      }
      ++now.homeless;
      if (now.homeless <= least.homeless) self(self, next + 1);
      --now.homeless;
    };
    down(down, 0);
    work_ -= given - std::max(nodes, 0);
    const std::vector<int>& last = best.empty() ? before : best;
    for (std::size_t at = 0; at < numbers.size(); ++at)
      if (last[at] != kNone) put(numbers[at], last[at]);
    return !best.empty();
  }

  void search() {
    const auto misplaced = [&](const Unit& unit) {
      return unit.home == kNone || (cost(unit, unit.home) > 0 && couldStay(unit));
    };
    if (std::none_of(units_.begin(), units_.end(), misplaced)) return;
    std::vector<int> ready, all;
    for (int each = 0; each < static_cast<int>(at_.size()); ++each)
      if (at_[static_cast<std::size_t>(each)].ready) ready.push_back(each);
    for (int each = 0; each < static_cast<int>(units_.size()); ++each) all.push_back(each);
    if (units_.size() <= kWholeUnits && ready.size() <= kWholeEngines) {
      window(ready, all, terms_.work / kWholePart);
      return;
    }
    windows(ready, misplaced);
    const bool whole =
        std::all_of(units_.begin(), units_.end(), [](const Unit& each) { return each.home != kNone; });
    if (!whole && units_.size() <= kMostWhole && ready.size() <= kWholeEngines)
      window(ready, all, terms_.work / kMostPart);
  }

  template <typename Misplaced>
  void windows(const std::vector<int>& ready, const Misplaced& misplaced) {
    std::minstd_rand dice(1);
    int idle = 0;
    while (work_ > 0 && idle < 2) {
      bool better = false;
      std::vector<int> wanted;
      for (int each = 0; each < static_cast<int>(units_.size()); ++each)
        if (misplaced(units_[static_cast<std::size_t>(each)])) wanted.push_back(each);
      if (wanted.empty()) return;
      std::stable_sort(wanted.begin(), wanted.end(), [&](int one, int other) {
        return (units_[static_cast<std::size_t>(one)].home == kNone) >
               (units_[static_cast<std::size_t>(other)].home == kNone);
      });
      for (const int number : wanted) {
        if (work_ <= 0) break;
        const Unit& unit = units_[static_cast<std::size_t>(number)];
        std::vector<int> engines, units{number};
        const auto add = [&](int engine) {
          if (engine != kNone && allowed(unit, engine) &&
              std::find(engines.begin(), engines.end(), engine) == engines.end())
            engines.push_back(engine);
        };
        for (const std::uint32_t each : view_.groups[unit.group].holders) add(static_cast<int>(each));
        if (engines.size() > 2) engines.resize(2);
        add(unit.home);
        for (int tried = 0; tried < 8 && engines.size() < 4; ++tried) add(ready[dice() % ready.size()]);
        std::vector<int> near;
        for (const int engine : engines)
          for (const int each : at_[static_cast<std::size_t>(engine)].units)
            if (each != number) near.push_back(each);
        // Those that have come, and others by chance.
        for (std::size_t each = near.size(); each > 1; --each) std::swap(near[each - 1], near[dice() % each]);
        std::stable_sort(near.begin(), near.end(), [&](int one, int other) {
          return misplaced(units_[static_cast<std::size_t>(one)]) >
                 misplaced(units_[static_cast<std::size_t>(other)]);
        });
        if (near.size() > kWindowUnits - 1) near.resize(kWindowUnits - 1);
        units.insert(units.end(), near.begin(), near.end());
        better = window(engines, std::move(units), kWindowNodes) || better;
      }
      idle = better ? 0 : idle + 1;
    }
  }

  // What has found no place within the bounds: where it is, else where there is room at all.
  void settle(Plan& made) {
    std::vector<int> left;
    for (int each = 0; each < static_cast<int>(units_.size()); ++each)
      if (units_[static_cast<std::size_t>(each)].home == kNone) left.push_back(each);
    std::vector<int> pushed;
    for (const int number : left) {
      const Unit& unit = units_[static_cast<std::size_t>(number)];
      if (!couldStay(unit)) {
        pushed.push_back(number);
        continue;
      }
      for (const std::uint32_t place : view_.groups[unit.group].holders) {
        const int holder = static_cast<int>(place);
        if (!allowed(unit, holder) || twice(unit, holder)) continue;
        put(number, holder);
        break;
      }
      if (unit.home == kNone) {
        pushed.push_back(number);
        continue;
      }
      At& at = at_[static_cast<std::size_t>(unit.home)];
      const int home = unit.home;
      while (at.used > at.room) {  // what came there gives way to what was there
        const auto came = std::find_if(at.units.begin(), at.units.end(), [&](int each) {
          return !held(units_[static_cast<std::size_t>(each)], home);
        });
        if (came == at.units.end()) break;
        pushed.push_back(*came);
        take(*came);
      }
    }
    for (const int number : pushed) {
      const Unit& unit = units_[static_cast<std::size_t>(number)];
      int best = kNone;
      for (int engine = 0; engine < static_cast<int>(at_.size()); ++engine)
        if (allowed(unit, engine) && !twice(unit, engine) && room(unit, engine) &&
            (best == kNone || fuller(best, engine)))
          best = engine;
      if (best != kNone)
        put(number, best);
      else
        ++made.homeless;
    }
    for (const At& at : at_) {
      made.balanced = made.balanced && (!at.ready || at.load <= at.limit);
      made.overfull += at.ready && at.used > at.room ? 1 : 0;
    }
  }

  const View& view_;
  const Terms& terms_;
  int work_;
  double allRoom_ = 1, allLimit_ = 1;
  std::vector<At> at_;
  std::vector<std::vector<int>> ofGroup_;
  std::vector<Unit> units_;
  std::vector<int> pool_;
  std::vector<std::pair<int, int>> free_;
};

// ---- the order --------------------------------------------------------------------------------------------

class Ordering {
 public:
  Ordering(const View& view, const Terms& terms, std::vector<Move> wanted)
      : view_(view), terms_(terms), wanted_(std::move(wanted)) {}

  // The smallest first; or, where that gets stuck, first what frees an engine that others wait for.
  void run(Plan& made) {
    std::vector<Move> moves = attempt(false, false);
    if (!stuck_.empty()) moves = attempt(true, false);
    if (!stuck_.empty()) moves = attempt(true, true);
    if (!stuck_.empty() && byStates(made, moves)) {
      made.detours = made.bytes = 0;
      for (const Move& each : wanted_) made.detours -= each.bytes;
      for (const Move& each : moves) made.detours += each.bytes, made.bytes += each.bytes;
      made.moves = std::move(moves);
      return;
    }
    made.putOff = stuck_.size();
    made.detours = detours_;
    for (const std::uint32_t each : stuck_) {  // it stays where it is, if anywhere
      const Move& move = wanted_[each];
      auto& homes = made.homes[move.group];
      std::erase(homes, *move.to);
      if (move.from && view_.engines[*move.from].standing == Standing::ready) homes.push_back(*move.from);
      std::sort(homes.begin(), homes.end());
    }
    waits(moves);
    made.moves = std::move(moves);
    for (const Move& each : made.moves) made.bytes += each.bytes;
  }

 private:
  using State = std::vector<std::uint16_t>;  // of each group the engines that hold it, a bit each
  struct Node {
    State state;
    std::size_t before = 0;
    Bytes gone = 0;
  };
  struct At {
    Bytes in = 0, freed = 0;
  };
  bool fits(const Move& move) const {
    if (!move.to) return true;
    const At& at = at_[*move.to];
    const EngineView& engine = view_.engines[*move.to];
    return (at.in + move.bytes) * terms_.parts <= engine.headroom + at.freed;
  }
  void done(const Move& move) {
    if (move.to) at_[*move.to].in += move.bytes;
    if (move.from) at_[*move.from].freed += view_.groups[move.group].size;
  }

  std::vector<Move> attempt(bool freeing, bool detours) {
    at_.assign(view_.engines.size(), {});
    stuck_.clear();
    detours_ = 0;
    std::vector<Bytes> awaited(view_.engines.size());
    for (const Move& each : wanted_)
      if (each.to) awaited[*each.to] += each.bytes;
    using Entry = std::pair<std::pair<Bytes, Bytes>, std::uint32_t>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> open;
    std::vector<std::vector<std::uint32_t>> waiting(view_.engines.size());
    const auto offer = [&](std::uint32_t each) {
      const Move& move = wanted_[each];
      const Bytes helps = freeing && move.from ? std::min<Bytes>(awaited[*move.from], 1) : 0;
      open.push({{-helps, move.bytes}, each});
    };
    for (std::uint32_t each = 0; each < wanted_.size(); ++each) offer(each);
    std::vector<Move> made;
    std::vector<Move> hops = wanted_;  // from where each goes on
    const auto drain = [&] {
      while (!open.empty()) {
        const std::uint32_t each = open.top().second;
        open.pop();
        const Move& move = hops[each];
        if (!fits(move)) {
          waiting[*move.to].push_back(each);
          continue;
        }
        done(move);
        made.push_back(move);
        if (!move.from) continue;
        for (const std::uint32_t other : std::exchange(waiting[*move.from], {})) offer(other);
      }
    };
    drain();
    while (detours) {
      // The smallest that some third engine has room for: it steps aside, and goes on later.
      std::vector<std::uint32_t> left;
      for (const auto& each : waiting) left.insert(left.end(), each.begin(), each.end());
      std::sort(left.begin(), left.end(), [&](auto one, auto other) {
        return std::pair(hops[one].bytes, one) < std::pair(hops[other].bytes, other);
      });
      bool stepped = false;
      for (const std::uint32_t each : left) {
        Move aside = hops[each];
        const GroupView& group = view_.groups[aside.group];
        const bool away = aside.from && wanted_[each].from != aside.from;  // it has stepped aside already
        if (!aside.from || away) continue;
        for (std::uint32_t engine = 0; engine < view_.engines.size() && !stepped; ++engine) {
          const EngineView& third = view_.engines[engine];
          if (third.standing != Standing::ready || third.strength <= 0 || !mayHold(group, third)) continue;
          if (engine == *wanted_[each].to || engine == *aside.from) continue;
          if (std::binary_search(group.holders.begin(), group.holders.end(), engine)) continue;
          if (!waiting[engine].empty()) continue;
          aside.to = engine;
          if (!fits(aside)) continue;
          stepped = true;
        }
        if (!stepped) continue;
        done(aside);
        made.push_back(aside);
        detours_ += aside.bytes;
        auto& line = waiting[*wanted_[each].to];
        std::erase(line, each);
        hops[each].from = aside.to;
        offer(each);
        for (const std::uint32_t other : std::exchange(waiting[*aside.from], {})) offer(other);
        break;
      }
      if (!stepped) break;
      drain();
    }
    for (const auto& each : waiting) stuck_.insert(stuck_.end(), each.begin(), each.end());
    std::sort(stuck_.begin(), stuck_.end());
    return made;
  }

  // The last resort of small fleets: the cheapest way from the holders to the homes through states in which
  // every engine has room, others stepping aside as well (A*; what is still to come is the least to go).
  bool byStates(const Plan& made, std::vector<Move>& moves) const {
    const std::size_t engines = view_.engines.size(), groups = view_.groups.size();
    if (terms_.parts != 1 || engines > kStateEngines || groups > kStateGroups) return false;
    const auto most = static_cast<std::size_t>(terms_.work / kStatesPart);
    State first(groups), last(groups);
    std::vector<Bytes> room(engines);
    for (std::size_t group = 0; group < groups; ++group) {
      for (const std::uint32_t each : view_.groups[group].holders) {
        first[group] = static_cast<std::uint16_t>(first[group] | 1U << each);
        room[each] += view_.groups[group].size;
      }
      for (const std::uint32_t each : made.homes[group])
        last[group] = static_cast<std::uint16_t>(last[group] | 1U << each);
      if (made.homes[group].empty()) last[group] = first[group];
    }
    for (std::size_t each = 0; each < engines; ++each) {
      const EngineView& engine = view_.engines[each];
      room[each] = std::max(room[each], std::min(engine.capacity, room[each] + engine.headroom));
    }
    const auto left = [&](const State& state) {
      Bytes sum = 0;
      for (std::size_t group = 0; group < groups; ++group)
        sum += view_.groups[group].size * std::popcount(static_cast<unsigned>(last[group] & ~state[group]));
      return sum;
    };
    std::vector<Node> nodes{{first, 0, 0}};
    std::map<State, Bytes> least{{first, 0}};
    using Entry = std::pair<Bytes, std::size_t>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> open;
    open.push({left(first), 0});
    while (!open.empty() && nodes.size() < most) {
      const std::size_t at = open.top().second;
      open.pop();
      const State state = nodes[at].state;
      const Bytes gone = nodes[at].gone;
      if (least[state] < gone) continue;
      if (state == last) {
        moves = steps(nodes, at);
        return true;
      }
      std::vector<Bytes> used(engines);
      for (std::size_t group = 0; group < groups; ++group)
        for (std::size_t each = 0; each < engines; ++each)
          if (state[group] >> each & 1) used[each] += view_.groups[group].size;
      for (std::size_t group = 0; group < groups; ++group) {
        const GroupView& one = view_.groups[group];
        for (std::size_t each = 0; each < engines; ++each) {
          const unsigned bit = 1U << each;
          State next = state;
          next[group] = static_cast<std::uint16_t>(state[group] ^ bit);
          const bool comes = (state[group] & bit) == 0;
          const EngineView& engine = view_.engines[each];
          const bool ready = engine.standing == Standing::ready;
          const bool may = ready && engine.strength > 0 && mayHold(one, engine);
          if (!comes && next[group] == 0 && (!ready || may)) continue;
          if (comes && (!may || used[each] + one.size > room[each])) continue;
          const Bytes sum = gone + (comes ? one.size : 0);
          const auto [known, fresh] = least.emplace(next, sum);
          if (!fresh && known->second <= sum) continue;
          known->second = sum;
          open.push({sum + left(next), nodes.size()});
          nodes.push_back({std::move(next), at, sum});
        }
      }
    }
    return false;
  }
  std::vector<Move> steps(const std::vector<Node>& nodes, std::size_t at) const {
    std::vector<Move> made;
    for (; at != 0; at = nodes[at].before) {
      const State &now = nodes[at].state, &before = nodes[nodes[at].before].state;
      for (std::uint32_t group = 0; group < now.size(); ++group) {
        const unsigned changed = now[group] ^ before[group];
        if (changed == 0) continue;
        Move move;
        move.group = group;
        const auto engine = static_cast<std::uint32_t>(std::countr_zero(changed));
        if (now[group] & changed)
          move.to = engine, move.bytes = view_.groups[group].size;
        else
          move.from = engine;
        made.push_back(move);
      }
    }
    std::reverse(made.begin(), made.end());
    for (std::uint32_t each = 1; each < made.size(); ++each)
      for (std::uint32_t before = 0; before < each; ++before) made[each].after.push_back(before);
    return made;
  }

  // Each waits for the first of those that free its engine, so many that even if all before it at that engine
  // have come there is room; and a second hop for its first.
  void waits(std::vector<Move>& moves) const {
    struct Here {
      Bytes in = 0, freed = 0;
      std::vector<std::uint32_t> frees;
      std::size_t used = 0;
    };
    std::vector<Here> here(view_.engines.size());
    std::vector<std::vector<std::uint32_t>> hops(view_.groups.size());
    for (std::uint32_t each = 0; each < moves.size(); ++each) {
      Move& move = moves[each];
      for (const std::uint32_t before : hops[move.group])
        if (moves[before].to == move.from && move.from) move.after.push_back(before);
      hops[move.group].push_back(each);
      if (move.to) {
        Here& at = here[*move.to];
        at.in += move.bytes;
        while (at.in * terms_.parts > view_.engines[*move.to].headroom + at.freed &&
               at.used < at.frees.size())
          at.freed += view_.groups[moves[at.frees[at.used++]].group].size;
        move.after.insert(move.after.end(), at.frees.begin(),
                          at.frees.begin() + static_cast<std::ptrdiff_t>(at.used));
      }
      if (move.from) here[*move.from].frees.push_back(each);
      std::sort(move.after.begin(), move.after.end());
      move.after.erase(std::unique(move.after.begin(), move.after.end()), move.after.end());
    }
  }

  const View& view_;
  const Terms& terms_;
  const std::vector<Move> wanted_;
  std::vector<At> at_;
  std::vector<std::uint32_t> stuck_;
  Bytes detours_ = 0;
};

}  // namespace

Plan plan(const View& view, const Terms& terms) {
  Plan made;
  Placing(view, terms).run(made);
  std::vector<Move> wanted;
  for (std::uint32_t group = 0; group < view.groups.size(); ++group) {
    const GroupView& one = view.groups[group];
    const auto& homes = made.homes[group];
    std::vector<std::uint32_t> gives, gets;
    std::set_difference(one.holders.begin(), one.holders.end(), homes.begin(), homes.end(),
                        std::back_inserter(gives));
    std::set_difference(homes.begin(), homes.end(), one.holders.begin(), one.holders.end(),
                        std::back_inserter(gets));
    const auto ready = [&](std::uint32_t each) { return view.engines[each].standing == Standing::ready; };
    // Where it must not be read it serves nobody, and gives way at once.
    for (const std::uint32_t each : one.holders)
      if (ready(each) && !mayHold(one, view.engines[each])) wanted.push_back({group, each, {}, 0, {}});
    std::erase_if(gives,
                  [&](std::uint32_t each) { return ready(each) && !mayHold(one, view.engines[each]); });
    if (homes.empty()) continue;  // it stays where it is, if anywhere
    const auto stay =
        static_cast<std::size_t>(std::count_if(one.holders.begin(), one.holders.end(), [&](auto each) {
          return ready(each) && mayHold(one, view.engines[each]);
        }));

    if (homes.size() > stay) made.forced += one.size * static_cast<Bytes>(homes.size() - stay);
    for (std::size_t each = 0; each < std::max(gives.size(), gets.size()); ++each) {
      Move move;
      move.group = group;
      if (each < gives.size()) move.from = gives[each];
      if (each < gets.size()) move.to = gets[each], move.bytes = one.size;
      wanted.push_back(move);
    }
  }
  Ordering(view, terms, std::move(wanted)).run(made);
  return made;
}

}  // namespace paddletrack::rebalance
