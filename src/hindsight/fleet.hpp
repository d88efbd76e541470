// The fleet's estimate: what each controller shares of its sums, and the sum of these. No I/O, no clock.
//
// A value is the whole of a controller's sums over its window under one key, never a difference: of one key
// of one owner the latest alone counts, and a later generation takes the place of all of an earlier one. So a
// duplicate, an old copy or any order of arrival changes nothing, and what a controller had shared before it
// died stays, as long as whoever carries it keeps it.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hindsight/estimate.hpp"

namespace paddletrack::hindsight {

// Keys: "c" and the reservation type's name, "e" and the engine's, "l" and the location's, "p" for the checks
// over all engines. Values: MessagePack, [format, version, sums...], 1024 bytes at most.
struct Entry {
  std::string key, value;
};
struct Names {
  std::vector<std::string> types, locations;
  std::map<std::uint32_t, std::string> engines;  // by Engine::number; an engine without a name is left out
};
// `version` grows with each telling of a generation.
std::vector<Entry> entriesOf(const Summary& summary, const Names& names, std::uint64_t version);

class Fleet {
 public:
  static constexpr std::size_t kMostOwners = 1024, kMostKeys = 2048;  // of one owner; what is past is refused
  // False: not taken, for it is known, older, past the bounds or can't be read (then counted).
  bool hear(const std::string& owner, std::uint64_t generation, std::string_view key, std::string_view value);
  void forget(const std::string& owner) { owners_.erase(owner); }
  std::size_t owners() const { return owners_.size(); }
  std::uint64_t refused() const { return refused_; }

  struct Place {
    PlaceSums sums;
    CheckSums checks;
  };
  struct View {
    std::map<std::string, ClassSums> classes;
    std::map<std::string, Place> engines;
    std::map<std::string, PlaceSums> locations;
    CheckSums pooled;
    ClassSums all;
    bool explained = true;
  };
  View view() const;

 private:
  struct Value {
    std::uint64_t version = 0;
    std::vector<float> sums;
  };
  struct Owner {
    std::uint64_t generation = 0;
    std::map<std::string, Value, std::less<>> values;
  };
  std::map<std::string, Owner> owners_;
  std::uint64_t refused_ = 0;
};

// On a store of shared entries (share::Store): the own ones are put, and all that it shows is heard.
template <typename Store, typename Topic>
void tell(Store& store, Span now, Topic topic, const std::vector<Entry>& entries) {
  for (const Entry& each : entries) (void)store.put(now, topic, each.key, each.value);
}
template <typename Store, typename Topic>
Fleet heard(const Store& store, Span now, Topic topic) {
  Fleet fleet;
  store.visit(now, topic,
              [&](const std::string& owner, std::uint64_t generation, const std::string& key,
                  const std::string& value, Span) { fleet.hear(owner, generation, key, value); });
  return fleet;
}

}  // namespace paddletrack::hindsight
