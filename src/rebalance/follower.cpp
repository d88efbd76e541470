#include "rebalance/follower.hpp"

#include <algorithm>
#include <array>

namespace paddletrack::rebalance {
namespace {

constexpr std::size_t kMostMoved = 100'000;  // groups remembered to have been moved

}  // namespace

std::string_view nameOf(Ended why) {
  static constexpr std::array<std::string_view, 7> kNames{
      "followed",
      "done",
      "given up: its time is over",
      "given up: an engine's standing has changed",
      "given up: an engine has less headroom than planned for",
      "given up: a move is stuck",
      "replaced"};
  return kNames[static_cast<std::size_t>(why)];
}

void Follower::begin(Span now, View view, Plan plan, Span until) {
  giveUp(Ended::replaced);
  view_ = std::move(view), plan_ = std::move(plan), until_ = until;
  ended_ = Ended::open;
  states_.assign(plan_.moves.size(), State::waits);
  doneCount_ = 0;
  look(now, view_);
}

void Follower::giveUp(Ended why) {
  if (!following()) return;
  ended_ = why;
  for (const auto& [place, since] : open_)
    states_[place] = State::waits;  // not there yet, as far as is known
  open_.clear();
  lean();
}

// The standing of an engine, a new one, or one whose headroom has fallen below what is still to come there.
bool Follower::changed(const View& seen) {
  if (seen.engines.size() != view_.engines.size()) return giveUp(Ended::standing), true;
  std::vector<Bytes> comes(view_.engines.size());
  for (const auto& [place, since] : open_)
    if (const Move& move = plan_.moves[place]; move.to) comes[*move.to] += move.bytes;
  for (std::size_t each = 0; each < seen.engines.size(); ++each) {
    const EngineView &was = view_.engines[each], &is = seen.engines[each];
    if (was.name != is.name || was.standing != is.standing || (is.cold && !was.cold))
      return giveUp(Ended::standing), true;
    if (is.capacity < was.capacity) return giveUp(Ended::headroom), true;
    if (comes[each] > 0 && is.headroom < 0) return giveUp(Ended::headroom), true;
  }
  return false;
}

bool Follower::isDone(const Move& move, const std::vector<const GroupView*>& groups) const {
  const GroupView* group = groups[move.group];
  const auto holds = [&](std::uint32_t engine) {
    return group && std::binary_search(group->holders.begin(), group->holders.end(), engine);
  };
  return !group || ((!move.to || holds(*move.to)) && (!move.from || !holds(*move.from)));
}

void Follower::look(Span now, const View& seen) {
  if (!following()) return;
  if (now >= until_) return giveUp(Ended::time);
  if (changed(seen)) return;
  std::vector<const GroupView*> groups(view_.groups.size());
  for (std::size_t mine = 0, at = 0; mine < groups.size(); ++mine) {
    while (at < seen.groups.size() && seen.groups[at].number < view_.groups[mine].number) ++at;
    if (at < seen.groups.size() && seen.groups[at].number == view_.groups[mine].number)
      groups[mine] = &seen.groups[at];
  }
  std::vector<Bytes> left(view_.engines.size());
  for (std::size_t each = 0; each < left.size(); ++each) left[each] = seen.engines[each].headroom;
  std::vector<unsigned> coming(view_.engines.size());
  unsigned comingAll = 0;
  for (auto at = open_.begin(); at != open_.end();) {
    const Move& move = plan_.moves[at->first];
    if (isDone(move, groups)) {
      states_[at->first] = State::done, ++doneCount_;
      at = open_.erase(at);
      continue;
    }
    if (now - at->second > pace_.most) return giveUp(Ended::stuck);
    if (move.to) {
      ++comingAll, ++coming[*move.to];
      const GroupView* group = groups[move.group];
      if (!group || !std::binary_search(group->holders.begin(), group->holders.end(), *move.to))
        left[*move.to] -= move.bytes;
    }
    ++at;
  }
  for (std::uint32_t each = 0; each < plan_.moves.size(); ++each) {
    if (states_[each] != State::waits) continue;

    const Move& move = plan_.moves[each];
    const bool free = std::all_of(move.after.begin(), move.after.end(),
                                  [&](std::uint32_t before) { return states_[before] == State::done; });
    if (!free) continue;
    if (move.to) {
      const unsigned most = view_.engines[*move.to].cold ? 1 : pace_.atEngine;
      if (comingAll >= pace_.atOnce || coming[*move.to] >= most) continue;
      if (left[*move.to] < move.bytes) continue;  // it has less than it was planned to have: later, or stuck
      ++comingAll, ++coming[*move.to], left[*move.to] -= move.bytes;
    }
    states_[each] = State::open;
    open_[each] = now;
    if (!move.to) continue;
    if (moved_.size() >= kMostMoved) moved_.erase(moved_.begin());
    moved_[view_.groups[move.group].number] = now;
  }
  lean();
}

// A group's jobs go to where it stays, and to where it has come or is to come now; until its move opens, to
// where it is.
void Follower::lean() {
  homes_.clear();
  std::vector<std::vector<std::uint32_t>> at(view_.groups.size());
  for (std::size_t group = 0; group < at.size(); ++group) at[group] = view_.groups[group].holders;
  for (std::uint32_t each = 0; each < plan_.moves.size(); ++each) {
    if (states_[each] == State::waits) continue;
    const Move& move = plan_.moves[each];
    if (move.from) std::erase(at[move.group], *move.from);
    if (move.to) at[move.group].push_back(*move.to);
  }
  for (std::size_t group = 0; group < at.size(); ++group) {
    std::vector<std::string> names;
    for (const std::uint32_t each : at[group]) names.push_back(view_.engines[each].name);
    if (!names.empty()) homes_[view_.groups[group].number] = std::move(names);
  }
}

}  // namespace paddletrack::rebalance
