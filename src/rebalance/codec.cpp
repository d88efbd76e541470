#include "rebalance/codec.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <tuple>
#include <vector>

namespace paddletrack::rebalance {
namespace {

constexpr gossip::Topic kTopic = gossip::kRebalance;
constexpr std::size_t kMaxItemsPerValue = 4096;  // within one value, at most

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
    const auto handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                        msgpack::unpack_limit(kMaxItemsPerValue, 0, gossip::kMaxValueBytes, 0, 0, 6));
    return handle.get().as<Value>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// As many items to a value as have room.
template <typename EntryUpdate>
std::size_t writeChunks(gossip::Store& store, Duration now, char keyPrefix, std::uint64_t epoch,
                        const std::vector<EntryUpdate>& items) {
  std::size_t valueCount = 0;
  std::vector<EntryUpdate> chunk;
  const auto flush = [&] {
    store.put(now, kTopic, keyPrefix + std::to_string(valueCount++),
              packValue(std::make_tuple(epoch, chunk)));
    chunk.clear();
  };
  std::size_t chunkSize = 16;
  for (const EntryUpdate& item : items) {
    const std::size_t itemSize = packValue(item).size();
    if (chunkSize + itemSize > gossip::kMaxValueBytes && !chunk.empty()) flush(), chunkSize = 16;
    if (chunkSize + itemSize > gossip::kMaxValueBytes) continue;
    chunk.push_back(item);
    chunkSize += itemSize;
  }
  if (!chunk.empty()) flush();
  return valueCount;
}

}  // namespace

void publishReport(gossip::Store& store, Duration now, std::uint64_t epoch, const ControllerReport& report) {
  std::vector<EngineTuple> engines;
  std::map<std::string, unsigned> engineIndices;
  for (const auto& [name, entityReport] : report.engines) {
    engineIndices.emplace(name, static_cast<unsigned>(engineIndices.size()));
    engines.emplace_back(name, static_cast<unsigned>(entityReport.state), entityReport.startedAt,
                         entityReport.warmingUp, entityReport.zone, entityReport.machineType,
                         entityReport.weight, entityReport.capacity);
  }
  std::vector<std::pair<std::int64_t, GroupTuple>> groupsByReads;
  for (const auto& [groupId, entityReport] : report.groups) {
    GroupTuple groupTuple{groupId, entityReport.size, entityReport.recentlyMoved, {}};
    std::int64_t totalReads = 0;
    for (const auto& [engine, readCount] : entityReport.readsByEngine) {
      const auto engineIndex = engineIndices.find(engine);
      if (engineIndex == engineIndices.end()) continue;
      std::get<3>(groupTuple).emplace_back(engineIndex->second, readCount);
      totalReads += readCount;
    }
    groupsByReads.emplace_back(-totalReads, std::move(groupTuple));
  }
  std::ranges::sort(groupsByReads);
  if (groupsByReads.size() > kMaxGroups) groupsByReads.resize(kMaxGroups);
  std::vector<GroupTuple> groups;
  for (auto& groupsByRead : groupsByReads) groups.push_back(std::move(groupsByRead.second));
  const std::size_t engineValues = writeChunks(store, now, 'e', epoch, engines);
  const std::size_t groupValues = writeChunks(store, now, 'g', epoch, groups);
  store.put(now, kTopic, "v", packValue(std::make_tuple(epoch, engineValues, groupValues)));
}

void publishPromise(gossip::Store& store, Duration now, const Promise& promise) {
  store.put(now, kTopic, "p", packValue(std::make_tuple(promise.epoch, promise.viewDigest)));
}

ReceivedReports readReports(const gossip::Store& store, Duration now, std::uint64_t epoch) {
  struct PartialReport {
    std::size_t engineValues = 0, groupValues = 0, expectedEngineValues = 0, expectedGroupValues = 0;
    bool headerSeen = false;
    std::vector<std::string> engineNames;
    std::vector<GroupTuple> groupTuples;
    ControllerReport report;
  };
  std::map<std::string, PartialReport> partialReports;
  ReceivedReports received;
  store.visitEntries(
      now, kTopic,
      [&](const std::string& owner, std::uint64_t, const std::string& key, const std::string& value,
          Duration) {
        if (key.empty()) return;
        PartialReport& partial = partialReports[owner];
        if (key == "p") {
          const auto unpacked = unpackValue<std::tuple<std::uint64_t, std::uint64_t>>(value);
          unpacked ? void(received.promises[owner] = {std::get<0>(*unpacked), std::get<1>(*unpacked)})
                   : void(++received.unreadableValues);
        } else if (key == "v") {
          const auto unpacked = unpackValue<std::tuple<std::uint64_t, std::size_t, std::size_t>>(value);
          if (!unpacked) return void(++received.unreadableValues);
          partial.headerSeen = std::get<0>(*unpacked) == epoch;
          partial.expectedEngineValues = std::get<1>(*unpacked),
          partial.expectedGroupValues = std::get<2>(*unpacked);
        } else if (key[0] == 'e') {
          const auto unpacked = unpackValue<std::tuple<std::uint64_t, std::vector<EngineTuple>>>(value);
          if (!unpacked) return void(++received.unreadableValues);
          if (std::get<0>(*unpacked) != epoch) return;
          ++partial.engineValues;
          for (const auto& [name, state, startedAt, warmingUp, zone, machineType, weight, capacity] :
               std::get<1>(*unpacked))
            partial.report.engines[name] = {static_cast<EndpointState>(std::min(state, 2U)),
                                            startedAt,
                                            warmingUp,
                                            zone,
                                            machineType,
                                            std::clamp<std::int64_t>(weight, 0, 1 << 20),
                                            std::clamp<Bytes>(capacity, 0, Bytes{1} << 50)};
        } else if (key[0] == 'g') {
          auto unpacked = unpackValue<std::tuple<std::uint64_t, std::vector<GroupTuple>>>(value);
          if (!unpacked) return void(++received.unreadableValues);
          if (std::get<0>(*unpacked) != epoch) return;
          ++partial.groupValues;
          for (GroupTuple& groupTuple : std::get<1>(*unpacked))
            partial.groupTuples.push_back(std::move(groupTuple));
        }
      });
  for (auto& [owner, partial] : partialReports) {
    if (!partial.headerSeen || partial.engineValues != partial.expectedEngineValues ||
        partial.groupValues != partial.expectedGroupValues)
      continue;
    std::vector<const std::string*> engineNames;
    for (const auto& [name, groupReport] : partial.report.engines) engineNames.push_back(&name);
    for (const auto& [groupId, size, resting, readCounts] : partial.groupTuples) {
      ControllerReport::GroupReport& groupReport = partial.report.groups[groupId];
      groupReport.size = std::clamp<Bytes>(size, 0, Bytes{1} << 50), groupReport.recentlyMoved = resting;
      for (const auto& [engineIndex, readCount] : readCounts)
        if (engineIndex < engineNames.size())
          groupReport.readsByEngine[*engineNames[engineIndex]] =
              std::clamp<std::int64_t>(readCount, 0, 1 << 30);
    }
    received.reports[owner] = std::move(partial.report);
  }
  return received;
}

}  // namespace paddletrack::rebalance
