#include "reach/reach.hpp"

#include <algorithm>
#include <array>
#include <deque>

namespace paddletrack::reach {
namespace {

// In dial time-outs.
constexpr double kStagger = 1.0 / 5;  // between the begins of dials of one race
constexpr double kFirstRest = 4;      // after a first failure; doubled with each further one
constexpr unsigned kMostDoublings = 5;
constexpr double kRestSpread = 0.5;     // of a rest, by chance
constexpr double kFades = 256;          // so long after its last failure an address is as good as unknown
constexpr double kLeastLeft = 1.0 / 5;  // of its job's time: with less a dispatch goes no other way

constexpr std::size_t kMostOfEngine = 8;  // dials out
constexpr std::size_t kDialParts = 4,
                      kLeastDials = 8;     // of all connections that there may be: dials out, but so many
constexpr double kRoundTripWeight = 0.25;  // of the newest in the mean

Span parts(Span of, double count) {
  return Span{static_cast<std::int64_t>(static_cast<double>(of.count()) * count)};
}

}  // namespace

const char* nameOf(Family family) {
  static constexpr std::array<const char*, kFamilies> kNames{"unix", "ipv6", "ipv4"};
  return kNames[static_cast<std::size_t>(family)];
}

const char* nameOf(Lesson lesson) {
  static constexpr std::array<const char*, 5> kNames{"good", "refused", "no answer", "silent", "reset early"};
  return kNames[static_cast<std::size_t>(lesson)];
}

const char* nameOf(Standing standing) {
  static constexpr std::array<const char*, 6> kNames{"wanted", "good",    "unknown",
                                                     "due",    "resting", "avoided"};
  return kNames[static_cast<std::size_t>(standing)];
}

Standing standing(const Route& route, Span now) {
  if (route.avoidedUntil && now < *route.avoidedUntil) return Standing::avoided;
  if (route.wantedUntil && now < *route.wantedUntil) return Standing::wanted;
  if (route.badInRow > 0) {
    if (now < route.restsUntil) return Standing::resting;
    if (now < route.forgivenAt) return Standing::due;
    return Standing::unknown;
  }
  return route.lastGood ? Standing::good : Standing::unknown;
}

Route* Routes::find(const std::string& name) {
  const auto at =
      std::find_if(routes_.begin(), routes_.end(), [&](const Route& each) { return each.name == name; });
  return at == routes_.end() ? nullptr : &*at;
}

std::size_t Routes::list(const std::vector<Named>& addresses, bool another) {
  std::vector<Route> now;
  std::size_t leftOut = 0;
  for (const Named& each : addresses) {
    const auto same = [&](const Route& route) { return route.name == each.name; };
    if (std::any_of(now.begin(), now.end(), same)) continue;  // named twice
    if (now.size() >= kMost) {
      ++leftOut;
      continue;
    }
    const Route* known = find(each.name);
    if (known && !another) {
      now.push_back(*known);
    } else {
      now.emplace_back().name = each.name;
      now.back().family = each.family;
    }
  }
  routes_ = std::move(now);
  return leftOut;
}

// Local before remote and last good before unknown, as preferred; then families take turns, so that one that
// is down as a whole costs one stagger.
std::vector<std::size_t> Routes::order(Span now, const Terms& terms, bool careful) const {
  if (routes_.size() == 1) return {0};
  const auto preferred = [&](std::size_t route) {
    return static_cast<std::size_t>(
        std::find(terms.prefer.begin(), terms.prefer.end(), routes_[route].family) - terms.prefer.begin());
  };
  std::vector<std::size_t> order;
  for (const Standing each : {Standing::wanted, Standing::good, Standing::unknown, Standing::due,
                              Standing::resting, Standing::avoided}) {
    std::array<std::deque<std::size_t>, kFamilies + 1> families;
    std::size_t count = 0;
    for (std::size_t route = 0; route < routes_.size(); ++route)
      if (standing(routes_[route], now) == each) families[preferred(route)].push_back(route), ++count;
    if (each == Standing::resting)  // of those at rest the one that is due first
      for (auto& family : families)
        std::stable_sort(family.begin(), family.end(), [&](std::size_t one, std::size_t other) {
          return routes_[one].restsUntil < routes_[other].restsUntil;
        });
    while (count > 0)
      for (auto& family : families) {
        if (family.empty()) continue;
        order.push_back(family.front());
        family.pop_front();
        --count;
      }
  }
  if (careful || order.empty() || standing(routes_[order.front()], now) != Standing::good) return order;
  const auto rank = [&](std::size_t route) { return std::pair(preferred(route), route); };
  const auto trial = std::find_if(order.begin(), order.end(), [&](std::size_t route) {
    const Standing is = standing(routes_[route], now);
    const bool again = is == Standing::due || (is == Standing::unknown && routes_[route].badInRow > 0);
    return again && rank(route) < rank(order.front());
  });
  if (trial != order.end()) std::rotate(order.begin(), trial, trial + 1);
  return order;
}

void Routes::learn(Span now, const std::string& name, Lesson lesson, std::optional<Span> roundTrip,
                   const Terms& terms, double dice) {
  Route* route = find(name);
  if (!route) return;  // it has left the list meanwhile
  if (lesson == Lesson::good) {
    route->lastGood = now;
    route->badInRow = 0;
    if (roundTrip)
      route->roundTrip = route->roundTrip
                             ? *route->roundTrip + parts(*roundTrip - *route->roundTrip, kRoundTripWeight)
                             : *roundTrip;
    return;
  }
  // Several connections that fail together are one failure.
  const bool again = route->badInRow > 0 && now < route->restsUntil && lesson == route->lesson;
  route->lastBad = now;
  route->lesson = lesson;
  route->forgivenAt = now + parts(terms.dial, kFades);
  if (again) return;
  const double rest = kFirstRest * static_cast<double>(1U << std::min(route->badInRow, kMostDoublings));
  ++route->badInRow;
  route->restsUntil = now + parts(terms.dial, rest * (1 - kRestSpread / 2 + kRestSpread * dice));
}

bool Routes::doubted(const std::string& name) const {
  for (const Route& each : routes_)
    if (each.name == name)
      return each.badInRow > 0 && (each.lesson == Lesson::silent || each.lesson == Lesson::resetEarly);
  return false;
}

bool Routes::failed(const std::string& name) const {
  return std::any_of(routes_.begin(), routes_.end(),
                     [&](const Route& each) { return each.name == name && each.badInRow > 0; });
}

bool Routes::set(Span now, const std::string& name, ByHand what, Span until) {
  Route* route = find(name);
  if (!route) return false;
  route->avoidedUntil.reset();
  route->wantedUntil.reset();
  if (what == ByHand::avoid) route->avoidedUntil = now + until;
  if (what == ByHand::use) route->wantedUntil = now + until;
  return true;
}

Race::Race(const Terms& terms, std::vector<std::string> order, Span now)
    : order_(std::move(order)),
      dial_(terms.dial),
      stagger_(parts(terms.dial, kStagger)),
      mayBegin_(now),
      end_(now + terms.dial) {}

Race::Act Race::look(Span now, bool beside) {
  Act act;
  if (now >= end_ || (out_ == 0 && begun_ == order_.size())) {
    act.over = true;
    return act;
  }
  act.next = end_;
  if (begun_ == order_.size()) return act;
  if (now >= mayBegin_) {
    act.dial = order_[begun_++];
    act.inPlace = !beside && out_ > 0;
    out_ = act.inPlace ? 1 : out_ + 1;
    mayBegin_ = now + stagger_;
  }
  if (begun_ < order_.size()) act.next = std::min(end_, mayBegin_);
  return act;
}

void Race::up(Span now) { end_ = std::max(end_, now + dial_); }

void Race::failed(Span now) {
  --out_;
  mayBegin_ = now;
}

Dials::Dials(std::size_t connections) : most_(std::max(kLeastDials, connections / kDialParts)) {}

bool Dials::may(std::size_t ofEngine) const { return out_ < most_ && ofEngine < kMostOfEngine; }

bool mayLeave(const Unsent& unsent) { return !unsent.over && unsent.takesNew && unsent.left > Span{0}; }

// The border is the kernel: a message that it has not taken whole can never come whole, once its connection
// has ended.
Fate fateOf(const Parted& parted, std::size_t addresses, const Terms& terms) {
  if (parted.whole) return parted.spoilt ? Fate::spoilt : Fate::reset;
  const bool ways = parted.wanted && parted.moved + 1 < addresses;  // to one that drains nothing goes anew
  return ways && parted.left > parts(terms.dial, kLeastLeft) ? Fate::goesOn : Fate::unreachable;
}

}  // namespace paddletrack::reach
