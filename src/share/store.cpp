#include "share/store.hpp"

#include <algorithm>
#include <stdexcept>

namespace paddletrack::share {
namespace {

constexpr std::size_t kLargest = kEntryCost + kLongestKey + kLongestValue;

bool numberIn(std::uint64_t value) { return value > 0 && value < kMostNumber; }
bool within(const Digest& digest, std::string_view owner) {
  return owner >= digest.first && (digest.last.empty() || owner <= digest.last);
}

}  // namespace

Store::Store(Terms terms) : terms_(std::move(terms)), generation_(terms_.generation) {
  if (terms_.owner.empty() || terms_.owner.size() > kLongestOwner)
    throw std::invalid_argument("owner: 1 to " + std::to_string(kLongestOwner) + " bytes are expected");
  if (!numberIn(generation_)) throw std::invalid_argument("generation: from 1 to 2^62 - 1 is expected");
  if (terms_.keep <= Span{0}) throw std::invalid_argument("keep: more than 0 is expected");
  if (terms_.mostBytes < 2 * kOwnerBytes)
    throw std::invalid_argument("mostBytes: at least " + std::to_string(2 * kOwnerBytes) + " is expected");
  owners_[terms_.owner].generation = generation_;
}

// ---- a writer's side --------------------------------------------------------------------------------------

Store::Put Store::put(Span now, Topic topic, std::string_view key, std::string_view value) {
  if (topic > kMostTopic) return Put::badTopic;
  if (key.size() > kLongestKey) return Put::keyTooLong;
  if (value.size() > kLongestValue) return Put::valueTooLong;
  Owner& owner = own();
  const Key name{topic, key};
  auto at = owner.entries.find(name);
  const std::size_t before = at == owner.entries.end() ? 0 : cost(key.size(), at->second.value.size());
  if (owner.bytes - before + cost(key.size(), value.size()) > kOwnerBytes) return Put::full;
  const bool same = before > 0 && !at->second.gone && at->second.value == value;
  if (before == 0) at = owner.entries.try_emplace(name).first;
  write(owner, at, value, false, owner.seen + 1, now);
  owner.seen += 1;
  if (!same) ++changes_;
  return Put::done;
}

bool Store::remove(Span now, Topic topic, std::string_view key) {
  Owner& owner = own();
  const auto at = owner.entries.find(Key{topic, key});
  if (at == owner.entries.end() || at->second.gone) return false;
  write(owner, at, {}, true, owner.seen + 1, now);
  owner.seen += 1;
  ++changes_;
  return true;
}

void Store::renew(Span now) {
  Owner& owner = own();
  for (auto at = owner.entries.begin(); at != owner.entries.end(); ++at) {
    if (at->second.gone || age(now, at->second) < terms_.keep / 3) continue;
    const std::string value = at->second.value;
    write(owner, at, value, false, owner.seen + 1, now);
    owner.seen += 1;
  }
}

// ---- the table --------------------------------------------------------------------------------------------

// An entry that has no version yet is new to the table.
void Store::write(Owner& owner, Entries::iterator at, std::string_view value, bool gone,
                  std::uint64_t version, Span born) {
  Entry& entry = at->second;
  if (entry.version == 0) {
    ++entries_;
    owner.bytes += cost(at->first.second.size(), 0);
    bytes_ += cost(at->first.second.size(), 0);
  } else {
    const auto [begin, end] = owner.byVersion.equal_range(entry.version);
    owner.byVersion.erase(std::find_if(begin, end, [&](const auto& each) { return each.second == at; }));
  }
  owner.bytes = owner.bytes - entry.value.size() + value.size();
  bytes_ = bytes_ - entry.value.size() + value.size();
  entry = {std::string(value), version, gone, born};
  owner.byVersion.emplace(version, at);
  owner.newest = owner.byVersion.size() == 1 ? born : std::max(owner.newest, born);
}

void Store::erase(Owner& owner, Entries::iterator at) {
  const auto [begin, end] = owner.byVersion.equal_range(at->second.version);
  owner.byVersion.erase(std::find_if(begin, end, [&](const auto& each) { return each.second == at; }));
  const std::size_t gone = cost(at->first.second.size(), at->second.value.size());
  owner.bytes -= gone;
  bytes_ -= gone;
  --entries_;
  if (!at->second.gone) ++changes_;
  owner.entries.erase(at);
}

void Store::clear(Owner& owner) {
  if (!owner.entries.empty()) ++changes_;
  entries_ -= owner.entries.size();
  bytes_ -= owner.bytes;
  owner.bytes = 0;
  owner.byVersion.clear();
  owner.entries.clear();
}

// This controller's own part is set aside for it, used or not.
std::size_t Store::free() const {
  const std::size_t others = bytes_ - owners_.find(terms_.owner)->second.bytes;
  return terms_.mostBytes - kOwnerBytes - std::min(others, terms_.mostBytes - kOwnerBytes);
}

// Who may give way: nothing of it is younger than half of `keep`.
Store::Owners::const_iterator Store::stalest(Span now, std::string_view taker) const {
  auto found = owners_.end();
  for (auto at = owners_.begin(); at != owners_.end(); ++at) {
    if (at->first == terms_.owner || at->first == taker || now - at->second.newest < terms_.keep / 2)
      continue;
    if (found == owners_.end() || at->second.newest < found->second.newest) found = at;
  }
  return found;
}

bool Store::makeRoom(Span now, std::string_view taker, std::size_t bytes, bool newOwner) {
  while (free() < bytes || (newOwner && owners_.size() >= kMostOwners)) {
    const auto found = stalest(now, taker);
    if (found == owners_.end()) return false;
    clear(owners_.find(found->first)->second);
    owners_.erase(found);
  }
  return true;
}

bool Store::closed(Span now) const {
  return (free() < kLargest || owners_.size() >= kMostOwners) && stalest(now, {}) == owners_.end();
}

std::size_t Store::forget(Span now) {
  const std::size_t before = entries_;
  for (auto owner = owners_.begin(); owner != owners_.end();) {
    auto& entries = owner->second.entries;
    for (auto at = entries.begin(); at != entries.end();) {
      const auto next = std::next(at);
      if (age(now, at->second) >= terms_.keep) erase(owner->second, at);
      at = next;
    }
    const bool over =
        entries.empty() && owner->first != terms_.owner && now - owner->second.newest >= terms_.keep;
    owner = over ? owners_.erase(owner) : std::next(owner);
  }
  return before - entries_;
}

// Somebody holds a later life of this name: a clock that went back, or another process under this name.
void Store::beginAgain(std::uint64_t after) {
  if (!numberIn(after + 1)) return;
  generation_ = after + 1;
  own().generation = generation_;
}

// ---- reconciliation ---------------------------------------------------------------------------------------

Digest Store::digest(Span now, std::string_view first, std::size_t mostBytes) const {
  Digest made;
  made.first = first;
  made.closed = closed(now);
  std::size_t used = 0;
  for (auto at = owners_.lower_bound(first); at != owners_.end(); ++at) {
    used += at->first.size() + kLineCost;
    if (used > mostBytes && !made.lines.empty()) {
      made.last = made.lines.back().owner;
      break;
    }
    made.lines.push_back({at->first, at->second.generation, at->second.seen});
  }
  return made;
}

Delta Store::delta(Span now, const Digest& theirs, std::size_t mostBytes) const {
  struct Lacking {
    Owners::const_iterator owner;
    std::uint64_t from;
    std::size_t bytes;
    bool unknown;  // to the other
  };
  std::vector<Lacking> lacking;
  // Also what is beyond a gap, which `upTo` does not speak of; and that there is a later life, with nothing
  // yet.
  const auto look = [&](Owners::const_iterator owner, std::uint64_t from, bool later, bool unknown) {
    auto at = owner->second.byVersion.upper_bound(from);
    if (owner->second.seen <= from && at == owner->second.byVersion.end() && !later) return;
    std::size_t bytes = 0;
    for (; at != owner->second.byVersion.end(); ++at)
      bytes += at->second->first.second.size() + at->second->second.value.size() + kItemCost;
    lacking.push_back({owner, from, bytes, unknown});
  };
  std::map<std::string_view, const Digest::Line*> named;
  for (const Digest::Line& each : theirs.lines) named[each.owner] = &each;
  for (const auto& [name, line] : named) {
    const auto owner = owners_.find(name);
    if (owner == owners_.end() || owner->second.generation < line->generation) continue;
    const bool later = owner->second.generation > line->generation;
    look(owner, later ? 0 : line->version, later, line->generation == 0);
  }
  if (!theirs.closed)
    for (auto at = owners_.lower_bound(theirs.first); at != owners_.end() && within(theirs, at->first); ++at)
      if (named.find(at->first) == named.end()) look(at, 0, false, true);
  std::stable_sort(lacking.begin(), lacking.end(), [&](const Lacking& one, const Lacking& other) {
    if (terms_.order == Order::newestFirst) return one.owner->second.newest > other.owner->second.newest;
    return terms_.order == Order::leastFirst ? one.bytes < other.bytes : one.bytes > other.bytes;
  });
  Delta made;
  std::size_t used = 0;
  for (const Lacking& each : lacking) {
    const Owner& owner = each.owner->second;
    used += each.owner->first.size() + kPartCost;
    if (used > mostBytes) {
      made.more = true;
      break;
    }
    Delta::Part part{each.owner->first, owner.generation, each.from, std::max(each.from, owner.seen), {}};
    bool cut = false;
    for (auto at = owner.byVersion.upper_bound(each.from); at != owner.byVersion.end(); ++at) {
      const auto& [key, entry] = *at->second;
      if (age(now, entry) >= terms_.keep) continue;
      const std::size_t size = key.second.size() + entry.value.size() + kItemCost;
      if (used + size > mostBytes) {
        part.upTo = part.items.empty() ? each.from
                                       : std::max(each.from, std::min(part.items.back().version, owner.seen));
        made.more = cut = true;
        break;
      }
      used += size;
      part.items.push_back({key.first, key.second, entry.value, entry.version, entry.gone, age(now, entry)});
    }
    const bool tells = !part.items.empty() || !(cut || each.unknown);
    if (tells) made.parts.push_back(std::move(part));
    if (cut) break;
  }
  return made;
}

Digest Store::wants(Span now, const Digest& theirs, std::size_t mostBytes) {
  Digest made;
  made.closed = true;
  const bool full = closed(now);
  std::size_t used = 0;
  for (const Digest::Line& line : theirs.lines) {
    if (line.owner.empty() || line.owner.size() > kLongestOwner || !numberIn(line.generation)) continue;
    const auto at = owners_.find(line.owner);
    if (line.owner == terms_.owner) {
      if (line.generation > generation_ || (line.generation == generation_ && line.version > at->second.seen))
        beginAgain(line.generation);
      continue;
    }
    const bool known = at != owners_.end();
    if (known ? at->second.generation > line.generation ||
                    (at->second.generation == line.generation && at->second.seen >= line.version)
              : full || line.version == 0)
      continue;
    used += line.owner.size() + kLineCost;
    if (used > mostBytes) break;
    made.lines.push_back({line.owner, known ? at->second.generation : 0, known ? at->second.seen : 0});
  }
  return made;
}

void Store::take(Span now, Owners::iterator owner, const Item& item, Merged& merged) {
  if (item.topic > kMostTopic || item.key.size() > kLongestKey || item.value.size() > kLongestValue ||
      !numberIn(item.version) || (item.gone && !item.value.empty())) {
    ++merged.refused;
    return;
  }
  Owner& of = owner->second;
  const Span born = now - std::max(item.age, Span{0});
  const auto at = of.entries.find(Key{item.topic, item.key});
  const bool here = at != of.entries.end();
  if (here) {
    Entry& entry = at->second;
    if (entry.version == item.version) entry.born = std::min(entry.born, born);
    // Only two processes under one name write two values under one number: the greater one stays, at
    // everyone.
    const bool twin =
        entry.version == item.version && std::pair(item.gone, std::string_view(item.value)) >
                                             std::pair(entry.gone, std::string_view(entry.value));
    if (entry.version > item.version || (entry.version == item.version && !twin)) {
      ++merged.known;
      return;
    }
  }
  const std::size_t before = here ? cost(item.key.size(), at->second.value.size()) : 0;
  const std::size_t after = cost(item.key.size(), item.value.size());
  const std::size_t grows = after > before ? after - before : 0;
  if (of.bytes + grows > kOwnerBytes || !makeRoom(now, owner->first, grows, false)) {
    // What is known to be superseded is not shown any longer.
    if (here) erase(of, at);
    ++merged.refused;
    return;
  }
  const bool seen = !here || at->second.gone != item.gone || at->second.value != item.value;
  write(of, here ? at : of.entries.try_emplace(Key{item.topic, item.key}).first, item.value, item.gone,
        item.version, born);
  if (seen) ++changes_;
  ++merged.fresh;
}

Store::Merged Store::merge(Span now, const Delta& delta) {
  Merged merged;
  for (const Delta::Part& part : delta.parts) {
    if (part.owner.empty() || part.owner.size() > kLongestOwner || !numberIn(part.generation) ||
        part.upTo >= kMostNumber || part.from > part.upTo) {
      merged.refused += part.items.size();
      continue;
    }
    auto at = owners_.find(part.owner);
    if (part.owner == terms_.owner) {
      std::uint64_t latest = part.upTo;
      for (const Item& each : part.items) latest = std::max(latest, each.version);
      const bool later =
          part.generation > generation_ || (part.generation == generation_ && latest > at->second.seen);
      if (later) beginAgain(part.generation), merged.again = true;
      (part.generation < generation_ ? merged.old : merged.known) += part.items.size();
      continue;
    }
    if (at != owners_.end() && part.generation < at->second.generation) {
      merged.old += part.items.size();
      continue;
    }
    const auto young = [&](const Item& each) { return each.age < terms_.keep; };
    if (at == owners_.end()) {
      const auto first = std::find_if(part.items.begin(), part.items.end(), young);
      if (first == part.items.end()) {
        merged.old += part.items.size();
        continue;
      }
      if (!makeRoom(now, part.owner, kLargest, true)) {
        merged.refused += part.items.size();
        continue;
      }
      at = owners_.try_emplace(part.owner).first;
      at->second.newest = now - first->age;
    }
    Owner& owner = at->second;
    if (owner.generation != part.generation) {
      clear(owner);
      owner.generation = part.generation;
      owner.seen = 0;
      owner.newest = now;
    }
    for (const Item& each : part.items) {
      if (young(each)) {
        take(now, at, each, merged);
      } else {
        ++merged.old;
      }
    }
    // What had no room comes again when its owner renews it.
    if (owner.seen >= part.from) owner.seen = std::max(owner.seen, part.upTo);
  }
  return merged;
}

}  // namespace paddletrack::share
