#include "counterfactual/fleet_statistics.hpp"

#include <cmath>
#include <msgpack.hpp>
#include <optional>

namespace paddletrack::counterfactual {
namespace {

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kMaxKeyBytes = 64;
constexpr std::size_t kMaxValueBytes = 1024;

template <typename Sums>
constexpr std::size_t kValueCount = sizeof(Sums) / sizeof(double);
static_assert(kValueCount<ClassSums> * 5 + 24 <= kMaxValueBytes);

template <typename Sums>
void appendSums(std::vector<float>& output, const Sums& sums) {
  const auto* values = reinterpret_cast<const double*>(&sums);
  for (std::size_t index = 0; index < kValueCount<Sums>; ++index)
    output.push_back(static_cast<float>(values[index]));
}
template <typename Sums>
Sums readSums(const std::vector<float>& source, std::size_t offset = 0) {
  Sums sums;
  auto* values = reinterpret_cast<double*>(&sums);
  for (std::size_t index = 0; index < kValueCount<Sums>; ++index)
    values[index] = static_cast<double>(source[offset + index]);
  return sums;
}

std::size_t expectedValueCount(std::string_view key) {
  switch (key.empty() ? '\0' : key.front()) {
    case 'c':
      return kValueCount<ClassSums>;
    case 'e':
      return kValueCount<DestinationSums> + kValueCount<CalibrationSums>;
    case 'l':
      return kValueCount<DestinationSums>;
    case 'p':
      return kValueCount<CalibrationSums>;
    default:
      return 0;
  }
}

}  // namespace

std::vector<EncodedEntry> encodeSummary(const Summary& summary, const NameTable& names,
                                        std::uint64_t version) {
  std::vector<EncodedEntry> entries;
  const auto addEntry = [&](const std::string& key, const std::vector<float>& sums) {
    if (key.size() > kMaxKeyBytes) return;
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(static_cast<std::uint32_t>(sums.size() + 2));
    packer.pack_uint64(kFormatVersion);
    packer.pack_uint64(version);
    for (const float sum : sums) packer.pack_float(sum);
    entries.push_back({key, std::string(buffer.data(), buffer.size())});
  };
  for (const auto& [requestClass, sums] : summary.classes) {
    std::vector<float> values;
    appendSums(values, sums);
    if (requestClass < names.requestClasses.size())
      addEntry("c" + names.requestClasses[requestClass], values);
  }
  for (const auto& [engine, sums] : summary.engines) {
    const auto name = names.engines.find(engine);
    if (name == names.engines.end()) continue;
    std::vector<float> values;
    appendSums(values, sums);
    const auto calibration = summary.calibration.find(engine);
    appendSums(values, calibration == summary.calibration.end() ? CalibrationSums{} : calibration->second);
    addEntry("e" + name->second, values);
  }
  for (const auto& [zone, sums] : summary.zones) {
    std::vector<float> values;
    appendSums(values, sums);
    if (zone < names.zones.size()) addEntry("l" + names.zones[zone], values);
  }
  std::vector<float> values;
  appendSums(values, summary.pooledCalibration);
  addEntry("p", values);
  return entries;
}

bool FleetStatistics::mergeValue(const std::string& owner, std::uint64_t incarnation, std::string_view key,
                                 std::string_view value) {
  const std::size_t expectedCount = expectedValueCount(key);
  VersionedSums received;
  try {
    if (expectedCount == 0 || key.size() > kMaxKeyBytes || value.size() > kMaxValueBytes)
      throw msgpack::type_error();
    const msgpack::object_handle handle = msgpack::unpack(value.data(), value.size());
    const msgpack::object& decoded = handle.get();
    if (decoded.type != msgpack::type::ARRAY || decoded.via.array.size != expectedCount + 2)
      throw msgpack::type_error();
    const msgpack::object* fields = decoded.via.array.ptr;
    if (fields[0].as<std::uint64_t>() != kFormatVersion) throw msgpack::type_error();
    received.version = fields[1].as<std::uint64_t>();
    for (std::size_t index = 0; index < expectedCount; ++index) {
      received.sums.push_back(fields[index + 2].as<float>());
      if (!std::isfinite(received.sums.back())) throw msgpack::type_error();
    }
  } catch (const std::exception&) {  // All exceptions of msgpack derive from std::exception.
    ++rejectedCount_;
    return false;
  }
  if (!owners_.contains(owner) && owners_.size() >= kMaxOwners) {
    ++rejectedCount_;
    return false;
  }
  OwnerValues& ownerValues = owners_[owner];
  if (incarnation < ownerValues.incarnation) return false;
  if (incarnation > ownerValues.incarnation) ownerValues = OwnerValues{incarnation, {}};
  const auto known = ownerValues.values.find(key);
  if (known != ownerValues.values.end() && known->second.version >= received.version) return false;
  if (known == ownerValues.values.end() && ownerValues.values.size() >= kMaxKeys) {
    ++rejectedCount_;
    return false;
  }
  ownerValues.values.insert_or_assign(std::string(key), std::move(received));
  return true;
}

FleetStatistics::Snapshot FleetStatistics::snapshot() const {
  Snapshot result;
  for (const auto& [ownerName, ownerValues] : owners_)
    for (const auto& [key, value] : ownerValues.values) {
      const std::string name = key.substr(1);
      switch (key.front()) {
        case 'c':
          addSums(result.classes[name], readSums<ClassSums>(value.sums));
          addSums(result.total, readSums<ClassSums>(value.sums));
          break;
        case 'e':
          addSums(result.engines[name].sums, readSums<DestinationSums>(value.sums));
          addSums(result.engines[name].calibration,
                  readSums<CalibrationSums>(value.sums, kValueCount<DestinationSums>));
          break;
        case 'l':
          addSums(result.zones[name], readSums<DestinationSums>(value.sums));
          break;
        default:
          addSums(result.pooledCalibration, readSums<CalibrationSums>(value.sums));
      }
    }
  std::map<std::string, CalibrationSums> engineCalibrations;
  for (const auto& [engineName, engineStatistics] : result.engines)
    engineCalibrations[engineName] = engineStatistics.calibration;
  result.isCalibrated = isWellCalibrated(result.pooledCalibration, engineCalibrations);
  return result;
}

}  // namespace paddletrack::counterfactual
