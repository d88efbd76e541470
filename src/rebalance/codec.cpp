#include "rebalance/codec.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <tuple>
#include <utility>
#include <vector>

namespace paddletrack::rebalance {
namespace {

constexpr gossip::Topic kTopic = gossip::kRebalanceTopic;
constexpr std::size_t kMaxItemsPerValue = 4096;
constexpr std::size_t kMaxValueDepth = 6;
constexpr std::size_t kChunkOverhead = 16;  // bytes of a value beside its items, at most

// Limits of received figures, so that sums over them do not overflow.
constexpr std::int64_t kMaxWeight = 1 << 20;
constexpr Bytes kMaxBytes = Bytes{1} << 50;
constexpr std::int64_t kMaxReadCount = 1 << 30;

using EngineTuple =
    std::tuple<std::string, unsigned, std::int64_t, bool, unsigned, unsigned, std::int64_t, Bytes>;
using GroupTuple = std::tuple<std::uint32_t, Bytes, bool, std::vector<std::pair<unsigned, std::int64_t>>>;

template <typename Value>
std::string packValue(const Value& value) {
  msgpack::sbuffer buffer(256);
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

template <typename Value>
std::optional<Value> unpackValue(const std::string& bytes) {
  try {
    const auto handle = msgpack::unpack(
        bytes.data(), bytes.size(), nullptr, nullptr,
        msgpack::unpack_limit(kMaxItemsPerValue, 0, gossip::kMaxValueBytes, 0, 0, kMaxValueDepth));
    return handle.get().as<Value>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// Writes each value with as many items as fit, and returns the number of values. An item that is too large
// for a value of its own is left out.
template <typename Item>
std::size_t writeChunks(gossip::Store& store, Duration now, char keyPrefix, std::uint64_t epoch,
                        const std::vector<Item>& items) {
  std::size_t valueCount = 0;
  std::vector<Item> chunk;
  const auto flush = [&] {
    store.put(now, kTopic, keyPrefix + std::to_string(valueCount++),
              packValue(std::make_tuple(epoch, chunk)));
    chunk.clear();
  };
  std::size_t chunkSize = kChunkOverhead;
  for (const Item& item : items) {
    const std::size_t itemSize = packValue(item).size();
    if (chunkSize + itemSize > gossip::kMaxValueBytes && !chunk.empty()) {
      flush();
      chunkSize = kChunkOverhead;
    }
    if (chunkSize + itemSize > gossip::kMaxValueBytes) continue;
    chunk.push_back(item);
    chunkSize += itemSize;
  }
  if (!chunk.empty()) flush();
  return valueCount;
}

// The values that one controller has published, as they are received.
struct PartialReport {
  bool hasHeader = false;
  std::size_t engineValues = 0, expectedEngineValues = 0;
  std::size_t groupValues = 0, expectedGroupValues = 0;
  std::vector<GroupTuple> groupTuples;
  ControllerReport report;

  bool isComplete() const {
    return hasHeader && engineValues == expectedEngineValues && groupValues == expectedGroupValues;
  }
};

std::vector<EngineTuple> packEngines(const ControllerReport& report) {
  std::vector<EngineTuple> engines;
  for (const auto& [name, engine] : report.engines)
    engines.emplace_back(name, static_cast<unsigned>(engine.state), engine.startedAt, engine.warmingUp,
                         engine.zone, engine.machineType, engine.weight, engine.capacity);
  return engines;
}

// The groups with the most reads first. Engines are given by their index in the report.
std::vector<GroupTuple> packGroups(const ControllerReport& report) {
  std::map<std::string, unsigned> engineIndices;
  for (const auto& [name, engine] : report.engines)
    engineIndices.emplace(name, static_cast<unsigned>(engineIndices.size()));

  std::vector<std::pair<std::int64_t, GroupTuple>> groupsByReads;
  for (const auto& [groupId, group] : report.groups) {
    std::vector<std::pair<unsigned, std::int64_t>> readCounts;
    std::int64_t totalReads = 0;
    for (const auto& [engine, readCount] : group.readsByEngine) {
      const auto engineIndex = engineIndices.find(engine);
      if (engineIndex == engineIndices.end()) continue;
      readCounts.emplace_back(engineIndex->second, readCount);
      totalReads += readCount;
    }
    groupsByReads.emplace_back(-totalReads,
                               GroupTuple{groupId, group.size, group.recentlyMoved, std::move(readCounts)});
  }
  std::ranges::sort(groupsByReads);
  if (groupsByReads.size() > kMaxGroups) groupsByReads.resize(kMaxGroups);

  std::vector<GroupTuple> groups;
  for (auto& [negatedReads, group] : groupsByReads) groups.push_back(std::move(group));
  return groups;
}

// The read functions return false if the value is not readable. Values of other epochs are ignored.

bool readPromise(const std::string& value, Promise& promise) {
  const auto unpacked = unpackValue<std::tuple<std::uint64_t, std::uint64_t>>(value);
  if (!unpacked) return false;
  std::tie(promise.epoch, promise.viewDigest) = *unpacked;
  return true;
}

bool readHeader(const std::string& value, std::uint64_t epoch, PartialReport& partial) {
  const auto unpacked = unpackValue<std::tuple<std::uint64_t, std::size_t, std::size_t>>(value);
  if (!unpacked) return false;
  const auto& [valueEpoch, engineValues, groupValues] = *unpacked;
  partial.hasHeader = valueEpoch == epoch;
  partial.expectedEngineValues = engineValues;
  partial.expectedGroupValues = groupValues;
  return true;
}

bool readEngines(const std::string& value, std::uint64_t epoch, PartialReport& partial) {
  const auto unpacked = unpackValue<std::tuple<std::uint64_t, std::vector<EngineTuple>>>(value);
  if (!unpacked) return false;
  const auto& [valueEpoch, engines] = *unpacked;
  if (valueEpoch != epoch) return true;
  ++partial.engineValues;
  for (const auto& [name, state, startedAt, warmingUp, zone, machineType, weight, capacity] : engines) {
    ControllerReport::EngineReport& engine = partial.report.engines[name];
    engine.state = static_cast<EndpointState>(std::min(state, 2U));
    engine.startedAt = startedAt;
    engine.warmingUp = warmingUp;
    engine.zone = zone;
    engine.machineType = machineType;
    engine.weight = std::clamp<std::int64_t>(weight, 0, kMaxWeight);
    engine.capacity = std::clamp<Bytes>(capacity, 0, kMaxBytes);
  }
  return true;
}

bool readGroups(const std::string& value, std::uint64_t epoch, PartialReport& partial) {
  auto unpacked = unpackValue<std::tuple<std::uint64_t, std::vector<GroupTuple>>>(value);
  if (!unpacked) return false;
  auto& [valueEpoch, groups] = *unpacked;
  if (valueEpoch != epoch) return true;
  ++partial.groupValues;
  for (GroupTuple& group : groups) partial.groupTuples.push_back(std::move(group));
  return true;
}

// Groups name engines by index, so they are decoded once all engines of the report are known.
void decodeGroups(PartialReport& partial) {
  std::vector<const std::string*> engineNames;
  for (const auto& [name, engine] : partial.report.engines) engineNames.push_back(&name);
  for (const auto& [groupId, size, recentlyMoved, readCounts] : partial.groupTuples) {
    ControllerReport::GroupReport& group = partial.report.groups[groupId];
    group.size = std::clamp<Bytes>(size, 0, kMaxBytes);
    group.recentlyMoved = recentlyMoved;
    for (const auto& [engineIndex, readCount] : readCounts) {
      if (engineIndex >= engineNames.size()) continue;
      group.readsByEngine[*engineNames[engineIndex]] = std::clamp<std::int64_t>(readCount, 0, kMaxReadCount);
    }
  }
}

}  // namespace

void publishReport(gossip::Store& store, Duration now, std::uint64_t epoch, const ControllerReport& report) {
  const std::size_t engineValues = writeChunks(store, now, 'e', epoch, packEngines(report));
  const std::size_t groupValues = writeChunks(store, now, 'g', epoch, packGroups(report));
  store.put(now, kTopic, "v", packValue(std::make_tuple(epoch, engineValues, groupValues)));
}

void publishPromise(gossip::Store& store, Duration now, const Promise& promise) {
  store.put(now, kTopic, "p", packValue(std::make_tuple(promise.epoch, promise.viewDigest)));
}

ReceivedReports readReports(const gossip::Store& store, Duration now, std::uint64_t epoch) {
  std::map<std::string, PartialReport> partialReports;
  ReceivedReports received;
  const auto readEntry = [&](const std::string& owner, const std::string& key, const std::string& value) {
    PartialReport& partial = partialReports[owner];
    if (key == "p") {
      Promise promise;
      if (!readPromise(value, promise)) return false;
      received.promises[owner] = promise;
      return true;
    }
    if (key == "v") return readHeader(value, epoch, partial);
    if (key[0] == 'e') return readEngines(value, epoch, partial);
    if (key[0] == 'g') return readGroups(value, epoch, partial);
    return true;
  };
  store.visitEntries(now, kTopic,
                     [&](const std::string& owner, std::uint64_t, const std::string& key,
                         const std::string& value, Duration) {
                       if (key.empty()) return;
                       if (!readEntry(owner, key, value)) ++received.unreadableValues;
                     });
  for (auto& [owner, partial] : partialReports) {
    if (!partial.isComplete()) continue;
    decodeGroups(partial);
    received.reports[owner] = std::move(partial.report);
  }
  return received;
}

}  // namespace paddletrack::rebalance
