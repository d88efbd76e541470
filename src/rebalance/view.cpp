#include "rebalance/view.hpp"

#include <algorithm>
#include <numeric>

namespace paddletrack::rebalance {
namespace {

__extension__ using Wide = __int128;

bool holds(const std::optional<std::vector<unsigned>>& bound, unsigned value) {
  return !bound || std::find(bound->begin(), bound->end(), value) != bound->end();
}

class Digest {
 public:
  void add(std::uint64_t value) {
    for (int byte = 0; byte < 8; ++byte, value >>= 8) sum_ = (sum_ ^ (value & 255)) * 0x100000001b3ULL;
  }
  void add(const std::string& text) {
    add(text.size());
    for (const char each : text) sum_ = (sum_ ^ static_cast<unsigned char>(each)) * 0x100000001b3ULL;
  }
  void add(const std::optional<std::vector<unsigned>>& bound) {
    add(bound ? bound->size() + 1 : 0);
    if (bound)
      for (const unsigned each : *bound) add(each);
  }
  std::uint64_t sum() const { return sum_; }

 private:
  std::uint64_t sum_ = 0xcbf29ce484222325ULL;
};

}  // namespace

View inOrder(View view) {
  std::vector<std::uint32_t> order(view.engines.size()), place(view.engines.size(), UINT32_MAX);
  std::iota(order.begin(), order.end(), 0U);
  const auto name = [&](std::uint32_t at) -> const std::string& { return view.engines[at].name; };
  std::stable_sort(order.begin(), order.end(), [&](auto one, auto other) { return name(one) < name(other); });
  View made;
  for (const std::uint32_t each : order) {
    const bool again = !made.engines.empty() && made.engines.back().name == name(each);
    if (!again) made.engines.push_back(view.engines[each]);
    place[each] = static_cast<std::uint32_t>(made.engines.size() - 1);
  }
  made.groups = std::move(view.groups);
  std::stable_sort(made.groups.begin(), made.groups.end(),
                   [](const auto& one, const auto& other) { return one.number < other.number; });
  const auto same = [](const auto& one, const auto& other) { return one.number == other.number; };
  made.groups.erase(std::unique(made.groups.begin(), made.groups.end(), same), made.groups.end());
  for (GroupView& group : made.groups) {
    std::erase_if(group.holders, [&](std::uint32_t each) { return each >= place.size(); });
    for (std::uint32_t& each : group.holders) each = place[each];
    std::erase_if(group.holders, [&](auto each) { return made.engines[each].standing == Standing::gone; });
    std::sort(group.holders.begin(), group.holders.end());
    group.holders.erase(std::unique(group.holders.begin(), group.holders.end()), group.holders.end());
    for (auto* bound : {&group.locations, &group.kinds})
      if (*bound) std::sort((*bound)->begin(), (*bound)->end());
  }
  return made;
}

std::uint64_t digest(const View& view) {
  Digest made;
  for (const EngineView& each : view.engines) {
    made.add(each.name);
    for (const std::int64_t value : {each.capacity, each.headroom, each.strength})
      made.add(static_cast<std::uint64_t>(value));
    made.add(static_cast<std::uint64_t>(each.standing) * 2 + (each.cold ? 1 : 0));
    made.add(each.location), made.add(each.kind);
  }
  for (const GroupView& each : view.groups) {
    made.add(each.number), made.add(static_cast<std::uint64_t>(each.size));
    made.add(static_cast<std::uint64_t>(each.rate)), made.add(each.copies);
    made.add(each.locations), made.add(each.kinds);
    made.add(each.holders.size() * 2 + (each.resting ? 1 : 0));
    for (const std::uint32_t holder : each.holders) made.add(holder);
  }
  return made.sum();
}

bool mayHold(const GroupView& group, const EngineView& engine) {
  return holds(group.locations, engine.location) && holds(group.kinds, engine.kind);
}

std::size_t copiesOf(const GroupView& group, std::size_t able) {
  return std::min<std::size_t>(std::max(1U, group.copies), able);
}

std::int64_t partOf(const GroupView& group, std::size_t able) {
  const auto copies = static_cast<std::int64_t>(std::max<std::size_t>(1, copiesOf(group, able)));
  return (std::max<std::int64_t>(0, group.rate) + copies - 1) / copies;
}

// The mean over all; over the engines of each placement bound, of the groups with just that; and the dearest
// group on the strongest engine that may have it.
Best::Best(const View& view) {
  const auto more = [&](std::int64_t load, std::int64_t strength) {
    if (strength > 0 && Wide(load) * strength_ > Wide(load_) * strength) load_ = load, strength_ = strength;
  };
  struct Bound {
    const GroupView* one;
    std::int64_t strength = 0, load = 0, strongest = 0;
    std::size_t able = 0;
  };
  std::vector<Bound> bounds;
  std::int64_t all = 0, strength = 0;
  for (const EngineView& each : view.engines)
    if (each.standing == Standing::ready) strength += each.strength;
  for (const GroupView& group : view.groups) {
    auto at = std::find_if(bounds.begin(), bounds.end(), [&](const Bound& each) {
      return each.one->locations == group.locations && each.one->kinds == group.kinds;
    });
    if (at == bounds.end()) {
      at = bounds.insert(bounds.end(), Bound{&group});
      for (const EngineView& each : view.engines) {
        if (each.standing != Standing::ready || !mayHold(group, each)) continue;
        at->strength += each.strength, ++at->able;
        at->strongest = std::max(at->strongest, each.strength);
      }
    }
    if (at->able == 0) continue;
    const std::int64_t part = partOf(group, at->able);
    const std::int64_t load = part * static_cast<std::int64_t>(copiesOf(group, at->able));
    all += load, at->load += load;
    more(part, at->strongest);
  }
  more(all, strength);
  for (const Bound& each : bounds) more(each.load, each.strength);
}

std::int64_t Best::limit(const EngineView& engine, int over) const {
  return static_cast<std::int64_t>(Wide(load_) * engine.strength * (100 + over) / (Wide(strength_) * 100));
}

}  // namespace paddletrack::rebalance
