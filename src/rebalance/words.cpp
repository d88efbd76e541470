#include "rebalance/words.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <tuple>
#include <vector>

namespace paddletrack::rebalance {
namespace {

constexpr share::Topic kTopic = share::kRebalance;
constexpr std::size_t kItems = 4096;  // within one value, at most

using EngineItem =
    std::tuple<std::string, unsigned, std::int64_t, bool, unsigned, unsigned, std::int64_t, Bytes>;
using GroupItem = std::tuple<std::uint32_t, Bytes, bool, std::vector<std::pair<unsigned, std::int64_t>>>;

template <typename Value>
std::string packed(const Value& value) {
  msgpack::sbuffer out(256);
  msgpack::pack(out, value);
  return {out.data(), out.size()};
}

template <typename Value>
std::optional<Value> unpacked(const std::string& text) {
  try {
    const auto held = msgpack::unpack(text.data(), text.size(), nullptr, nullptr,
                                      msgpack::unpack_limit(kItems, 0, share::kLongestValue, 0, 0, 6));
    return held.get().as<Value>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// As many items to a value as have room.
template <typename Item>
std::size_t write(share::Store& store, Span now, char letter, std::uint64_t epoch,
                  const std::vector<Item>& items) {
  std::size_t values = 0;
  std::vector<Item> chunk;
  const auto flush = [&] {
    store.put(now, kTopic, letter + std::to_string(values++), packed(std::make_tuple(epoch, chunk)));
    chunk.clear();
  };
  std::size_t size = 16;
  for (const Item& each : items) {
    const std::size_t more = packed(each).size();
    if (size + more > share::kLongestValue && !chunk.empty()) flush(), size = 16;
    if (size + more > share::kLongestValue) continue;
    chunk.push_back(each);
    size += more;
  }
  if (!chunk.empty()) flush();
  return values;
}

}  // namespace

void put(share::Store& store, Span now, std::uint64_t epoch, const Account& account) {
  std::vector<EngineItem> engines;
  std::map<std::string, unsigned> places;
  for (const auto& [name, word] : account.engines) {
    places.emplace(name, static_cast<unsigned>(places.size()));
    engines.emplace_back(name, static_cast<unsigned>(word.standing), word.started, word.cold, word.location,
                         word.kind, word.strength, word.capacity);
  }
  std::vector<std::pair<std::int64_t, GroupItem>> ranked;
  for (const auto& [number, word] : account.groups) {
    GroupItem item{number, word.size, word.resting, {}};
    std::int64_t all = 0;
    for (const auto& [engine, reads] : word.reads) {
      const auto at = places.find(engine);
      if (at == places.end()) continue;
      std::get<3>(item).emplace_back(at->second, reads);
      all += reads;
    }
    ranked.emplace_back(-all, std::move(item));
  }
  std::sort(ranked.begin(), ranked.end());
  if (ranked.size() > kMostGroups) ranked.resize(kMostGroups);
  std::vector<GroupItem> groups;
  for (auto& each : ranked) groups.push_back(std::move(each.second));
  const std::size_t ofEngines = write(store, now, 'e', epoch, engines);
  const std::size_t ofGroups = write(store, now, 'g', epoch, groups);
  store.put(now, kTopic, "v", packed(std::make_tuple(epoch, ofEngines, ofGroups)));
}

void put(share::Store& store, Span now, const Promise& promise) {
  store.put(now, kTopic, "p", packed(std::make_tuple(promise.epoch, promise.digest)));
}

Words read(const share::Store& store, Span now, std::uint64_t epoch) {
  struct Parts {
    std::size_t engines = 0, groups = 0, ofEngines = 0, ofGroups = 0;
    bool said = false;
    std::vector<std::string> names;
    std::vector<GroupItem> items;
    Account account;
  };
  std::map<std::string, Parts> owners;
  Words made;
  store.visit(
      now, kTopic,
      [&](const std::string& owner, std::uint64_t, const std::string& key, const std::string& value, Span) {
        if (key.empty()) return;
        Parts& parts = owners[owner];
        if (key == "p") {
          const auto read = unpacked<std::tuple<std::uint64_t, std::uint64_t>>(value);
          read ? void(made.promises[owner] = {std::get<0>(*read), std::get<1>(*read)})
               : void(++made.unreadable);
        } else if (key == "v") {
          const auto read = unpacked<std::tuple<std::uint64_t, std::size_t, std::size_t>>(value);
          if (!read) return void(++made.unreadable);
          parts.said = std::get<0>(*read) == epoch;
          parts.ofEngines = std::get<1>(*read), parts.ofGroups = std::get<2>(*read);
        } else if (key[0] == 'e') {
          const auto read = unpacked<std::tuple<std::uint64_t, std::vector<EngineItem>>>(value);
          if (!read) return void(++made.unreadable);
          if (std::get<0>(*read) != epoch) return;
          ++parts.engines;
          for (const auto& [name, standing, started, cold, location, kind, strength, capacity] :
               std::get<1>(*read))
            parts.account.engines[name] = {static_cast<Standing>(std::min(standing, 2U)),
                                           started,
                                           cold,
                                           location,
                                           kind,
                                           std::clamp<std::int64_t>(strength, 0, 1 << 20),
                                           std::clamp<Bytes>(capacity, 0, Bytes{1} << 50)};
        } else if (key[0] == 'g') {
          auto read = unpacked<std::tuple<std::uint64_t, std::vector<GroupItem>>>(value);
          if (!read) return void(++made.unreadable);
          if (std::get<0>(*read) != epoch) return;
          ++parts.groups;
          for (GroupItem& each : std::get<1>(*read)) parts.items.push_back(std::move(each));
        }
      });
  for (auto& [owner, parts] : owners) {
    if (!parts.said || parts.engines != parts.ofEngines || parts.groups != parts.ofGroups) continue;
    std::vector<const std::string*> names;
    for (const auto& [name, word] : parts.account.engines) names.push_back(&name);
    for (const auto& [number, size, resting, reads] : parts.items) {
      Account::GroupWord& word = parts.account.groups[number];
      word.size = std::clamp<Bytes>(size, 0, Bytes{1} << 50), word.resting = resting;
      for (const auto& [place, count] : reads)
        if (place < names.size()) word.reads[*names[place]] = std::clamp<std::int64_t>(count, 0, 1 << 30);
    }
    made.accounts[owner] = std::move(parts.account);
  }
  return made;
}

}  // namespace paddletrack::rebalance
