#include "hindsight/recorder.hpp"

#include <algorithm>
#include <numeric>

#include "hindsight/propensity.hpp"

namespace paddletrack::hindsight {
namespace {

constexpr double kSame = 1e-9;
constexpr double kMostWeight = 20;  // of later draws together: clipped there

double seconds(Span span) { return std::chrono::duration<double>(span).count(); }

double inFlight(const Weighed& each) { return each.engine->threads / std::max(each.engine->cores, 1e-9); }

// Indices by rising threads in flight; the order of what was weighed breaks ties.
std::vector<std::size_t> byInFlight(const std::vector<Weighed>& weighed) {
  std::vector<std::size_t> order(weighed.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](auto a, auto b) { return inFlight(weighed[a]) < inFlight(weighed[b]); });
  return order;
}

// The chance of each to be wanted.
std::vector<double> wanted(Policy policy, const std::vector<Weighed>& weighed, unsigned location,
                           const std::vector<double>& taken) {
  std::vector<double> wants(weighed.size());
  const std::size_t count = weighed.size();
  switch (policy) {
    case Policy::leastInFlight:
      wants[byInFlight(weighed).front()] = 1;
      break;
    case Policy::twoChoices: {
      const std::vector<std::size_t> order = byInFlight(weighed);
      const double pairs = static_cast<double>(count * (count - 1)) / 2;
      for (std::size_t rank = 0; rank < count; ++rank)
        wants[order[rank]] = count == 1 ? 1 : static_cast<double>(count - 1 - rank) / pairs;
      break;
    }
    case Policy::nearest: {
      std::size_t best = count;
      for (std::size_t each = 0; each < count; ++each)
        if (weighed[each].engine->listing.location == location &&
            (best == count || weighed[each].score < weighed[best].score))
          best = each;
      if (best == count) {
        const auto less = [](const Weighed& a, const Weighed& b) { return a.score < b.score; };
        best = static_cast<std::size_t>(std::min_element(weighed.begin(), weighed.end(), less) -
                                        weighed.begin());
      }
      wants[best] = 1;
      break;
    }
    case Policy::noChanceStart:
      wants = taken;
  }
  return wants;
}

}  // namespace

const char* nameOf(Policy policy) {
  static constexpr std::array<const char*, kPolicies> kNames{"least in flight", "two choices", "nearest",
                                                             "no chance start"};
  return kNames[static_cast<std::size_t>(policy)];
}

std::size_t wantedBy(Policy policy, const std::vector<Weighed>& weighed, unsigned location,
                     std::size_t module, double chance) {
  if (policy == Policy::noChanceStart) return module;
  const std::vector<double> wants = wanted(policy, weighed, location, {});
  std::size_t last = 0;
  for (std::size_t each = 0; each < wants.size(); ++each) {
    if (wants[each] <= 0) continue;
    last = each;
    if ((chance -= wants[each]) < 0) break;
  }
  return last;
}

Draw drawOf(const std::vector<Weighed>& weighed, unsigned location) {
  Draw draw;
  std::vector<double> scores;
  for (const Weighed& each : weighed) scores.push_back(each.score);
  draw.taken = propensities(scores);
  draw.waits = 1;
  for (std::size_t each = 0; each < weighed.size(); ++each) {
    draw.starts.push_back(draw.taken[each] * weighed[each].starts);
    draw.waits -= draw.starts.back();
  }
  draw.waits = std::max(draw.waits, 0.0);
  for (std::size_t policy = 0; policy < kPolicies; ++policy) {
    Wish& wish = draw.wishes[policy];
    wish.starts.assign(weighed.size(), 0);
    const bool sure = static_cast<Policy>(policy) == Policy::noChanceStart;
    const std::vector<double> wants = wanted(static_cast<Policy>(policy), weighed, location, draw.taken);
    double apart = 0;  // from what the module does
    for (std::size_t each = 0; each < weighed.size(); ++each) {
      if (wants[each] <= 0 || (draw.taken[each] < kLeastChance && !sure)) continue;
      const double starts = !sure ? weighed[each].starts : weighed[each].starts < 1 ? 0 : 1;
      wish.starts[each] = wants[each] * starts;
      wish.waits += wants[each] * (1 - starts);
      wish.left -= wants[each];
      apart = std::max(apart, std::abs(wish.starts[each] - draw.starts[each]));
    }
    wish.left = wish.beyond = std::max(wish.left, 0.0);
    if (wish.left > kSame || apart > kSame) continue;
    wish = Wish{std::vector<double>(weighed.size()), 0, 1, 0};  // just what the module does
  }
  return draw;
}

void Recorder::weighed(const Job& job, const std::vector<Weighed>& all) {
  settle(kNone);
  if (!job.dispatches.empty() || all.empty()) return;  // the record is of a job's first dispatch
  const bool known = open_.count(&job) > 0;
  if (!known && open_.size() >= terms_.records) return void(++dropped_);
  pending_.job = &job;
  pending_.first = !known;
  pending_.engines.clear();
  pending_.best = 0;
  for (std::size_t each = 0; each < all.size(); ++each) {
    pending_.engines.push_back(all[each].engine);
    if (all[each].drawn < all[pending_.best].drawn) pending_.best = each;
  }
  pending_.draw = drawOf(all, site_.location);
  if (!known) begin(job, all);
}

void Recorder::begin(const Job& job, const std::vector<Weighed>& all) {
  Record& record = open_[&job];
  const Draw& draw = pending_.draw;
  record.at = job.taken;
  record.type = static_cast<std::uint8_t>(job.type->index);
  record.told = static_cast<float>(job.toldCost ? seconds(*job.toldCost) : job.tokens);
  record.startsAny = static_cast<float>(1 - draw.waits);
  std::vector<std::size_t> order(all.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  record.kept = static_cast<std::uint8_t>(std::min(all.size(), kKept));
  std::partial_sort(order.begin(), order.begin() + record.kept, order.end(),
                    [&](auto a, auto b) { return draw.taken[a] > draw.taken[b]; });
  order.resize(record.kept);
  // Those of a small chance are of no use to anybody later.
  while (!order.empty() && draw.taken[order.back()] <= 0) order.pop_back();
  record.kept = static_cast<std::uint8_t>(order.size());
  for (std::size_t each = 0; each < order.size(); ++each) {
    const Weighed& of = all[order[each]];
    record.options[each] = {of.engine->number, static_cast<std::uint16_t>(of.engine->listing.location),
                            static_cast<float>(draw.starts[order[each]]), static_cast<float>(of.used)};
  }
  for (std::size_t policy = 0; policy < kPolicies; ++policy) {
    const Wish& wish = draw.wishes[policy];
    Record::Other& other = record.others[policy];
    other.waits = static_cast<float>(wish.waits);
    double kept = wish.waits;
    for (std::size_t each = 0; each < order.size(); ++each) {
      other.starts[each] = static_cast<float>(wish.starts[order[each]]);
      kept += wish.starts[order[each]];
    }
    other.left = static_cast<float>(1 - kept);  // what it wants of engines that are not kept is out of reach
    other.beyond = static_cast<float>(wish.beyond + std::max(0.0, 1 - kept - wish.left));
  }
}

void Recorder::settle(std::size_t at) {
  if (!pending_.job) return;
  const auto open = open_.find(std::exchange(pending_.job, nullptr));
  if (open == open_.end()) return;
  Record& record = open->second;
  const Draw& draw = pending_.draw;
  if (at != kNone && at != pending_.best) record.moved = true;
  const double own = at == kNone ? draw.waits : draw.starts[at];
  if (pending_.first) {
    record.chosen = at == kNone ? kWaited : kElsewhere;
    for (std::size_t each = 0; at != kNone && each < record.kept; ++each)
      if (record.options[each].engine == pending_.engines[at]->number)
        record.chosen = static_cast<std::uint8_t>(each);
  }
  for (std::size_t policy = 0; policy < kPolicies; ++policy) {
    Record::Other& other = record.others[policy];
    const Wish& wish = draw.wishes[policy];
    const double ratio = (at == kNone ? wish.waits : wish.starts[at]) / std::max(own, 1e-12);
    if (!pending_.first)
      other.rest = static_cast<float>(std::min(kMostWeight, other.rest * (ratio + wish.left)));
    else if (record.chosen != kElsewhere)
      other.weight = static_cast<float>(std::min(ratio, kMostWeight));
  }
}

void Recorder::started(const Dispatch& dispatch) {
  if (pending_.job != dispatch.job) return;
  const auto at = std::find(pending_.engines.begin(), pending_.engines.end(), dispatch.engine);
  if (at == pending_.engines.end()) {  // not one that was weighed
    open_[dispatch.job].moved = true;
    pending_.job = nullptr;
    return;
  }
  settle(static_cast<std::size_t>(at - pending_.engines.begin()));
}

void Recorder::over(Span now, const Job& job, bool done) {
  settle(kNone);
  const auto open = open_.find(&job);
  if (open == open_.end()) return;
  Record& record = open->second;
  const double took = seconds(now - job.taken), whole = seconds(job.expires - job.taken);
  record.latency = done ? took : std::max(took, whole);
  const double sla = seconds(job.type->slaTime) + job.type->slaStretch * job.tokens / job.type->threads;
  record.inTime = done && took <= std::min(sla, whole);
  if (ring_.size() < terms_.records)
    ring_.push_back(record);
  else
    ring_[next_] = record;
  next_ = (next_ + 1) % terms_.records;
  ++finished_;
  open_.erase(open);
}

std::vector<const Record*> Recorder::records(Span now) const {
  std::vector<const Record*> all;
  const std::size_t from = ring_.size() < terms_.records ? 0 : next_;
  for (std::size_t each = 0; each < ring_.size(); ++each) {
    const Record& record = ring_[(from + each) % ring_.size()];
    if (now - record.at <= terms_.window) all.push_back(&record);
  }
  std::stable_sort(all.begin(), all.end(), [](const auto* a, const auto* b) { return a->at < b->at; });
  return all;
}

}  // namespace paddletrack::hindsight
