// Statistics of the fleet, which are the total of the sums that the controllers publish. No I/O, no clock.
//
// A value holds the complete sums of a controller's window under one key, never a difference. Of each key of
// an owner only the latest version counts, and a later incarnation replaces all values of an earlier one.
// Duplicates, outdated copies and the order of arrival therefore do not change the result. The sums of a
// controller that has ended count as long as the store keeps them.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "counterfactual/estimate.hpp"

namespace paddletrack::counterfactual {

/// An entry of the gossip store. Its key is "c" and the request class's name, "e" and the engine's name, "l"
/// and the zone's name, or "p" for the calibration over all engines. Its value is the MessagePack array
/// [format, version, sums...] of at most 1024 bytes.
struct EncodedEntry {
  std::string key;
  std::string value;
};
/// Names of classes and zones by index.
struct NameTable {
  std::vector<std::string> requestClasses;
  std::vector<std::string> zones;
  std::map<std::uint32_t, std::string> engines;  // by Engine::number; engines without a name are omitted
};
/// Encodes the sums of a controller. `version` must increase with each call in one incarnation.
std::vector<EncodedEntry> encodeSummary(const Summary& summary, const NameTable& names,
                                        std::uint64_t version);

/// Collects the values of all controllers and sums them.
class FleetStatistics {
 public:
  static constexpr std::size_t kMaxOwners = 1024;
  static constexpr std::size_t kMaxKeys = 2048;  // per owner
  /// Returns false if the value was not merged: it is known or outdated, or it is malformed or exceeds a
  /// limit, which increments rejectedCount().
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

/// Writes the entries to a store (gossip::Store).
template <typename Store, typename Topic>
void publishEntries(Store& store, Duration now, Topic topic, const std::vector<EncodedEntry>& entries) {
  for (const EncodedEntry& entry : entries) (void)store.put(now, topic, entry.key, entry.value);
}
/// Merges the entries of all owners in a store (gossip::Store).
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
