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

#include "counterfactual/estimate.hpp"

namespace paddletrack::counterfactual {

// Keys: "c" and the reservation type's name, "e" and the engine's, "l" and the location's, "p" for the checks
// over all engines. Values: MessagePack, [format, version, sums...], 1024 bytes at most.
struct EncodedEntry {
  std::string key, value;
};
struct NameTable {
  std::vector<std::string> requestClasses, zones;
  std::map<std::uint32_t, std::string> engines;  // by Engine::number; an engine without a name is left out
};
// `version` grows with each telling of a generation.
std::vector<EncodedEntry> encodeSummary(const Summary& summary, const NameTable& names,
                                        std::uint64_t version);

class FleetStatistics {
 public:
  static constexpr std::size_t kMaxOwners = 1024, kMaxKeys = 2048;  // of one owner; what is past is refused
  // False: not taken, for it is known, older, past the bounds or can't be read (then counted).
  bool mergeValue(const std::string& owner, std::uint64_t incarnation, std::string_view key,
                  std::string_view value);
  void removeOwner(const std::string& owner) { owners_.erase(owner); }
  std::size_t ownerCount() const { return owners_.size(); }
  std::uint64_t rejectedCount() const { return rejectedCount_; }

  struct EngineStatistics {
    DestinationSums sums;
    CalibrationSums calibration;
  };
  struct Snapshot {
    std::map<std::string, ClassSums> classes;
    std::map<std::string, EngineStatistics> engines;
    std::map<std::string, DestinationSums> zones;
    CalibrationSums pooledCalibration;
    ClassSums total;
    bool isCalibrated = true;
  };
  Snapshot snapshot() const;

 private:
  struct VersionedSums {
    std::uint64_t version = 0;
    std::vector<float> sums;
  };
  struct OwnerValues {
    std::uint64_t incarnation = 0;
    std::map<std::string, VersionedSums, std::less<>> values;
  };
  std::map<std::string, OwnerValues> owners_;
  std::uint64_t rejectedCount_ = 0;
};

// On a store of shared entries (share::Store): the own ones are put, and all that it shows is heard.
template <typename Store, typename Topic>
void publishEntries(Store& store, Duration now, Topic topic, const std::vector<EncodedEntry>& entries) {
  for (const EncodedEntry& entry : entries) (void)store.put(now, topic, entry.key, entry.value);
}
template <typename Store, typename Topic>
FleetStatistics collectFleetStatistics(const Store& store, Duration now, Topic topic) {
  FleetStatistics fleet;
  store.visitEntries(
      now, topic,
      [&](const std::string& owner, std::uint64_t incarnation, const std::string& key,
          const std::string& value, Duration) { fleet.mergeValue(owner, incarnation, key, value); });
  return fleet;
}

}  // namespace paddletrack::counterfactual
