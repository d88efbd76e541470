#include "gossip/load_publisher.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <optional>
#include <set>

namespace paddletrack::gossip {
namespace {

std::string encodeLoad(const Load& load) {
  msgpack::sbuffer buffer(24);
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack_uint64(load.threadsInFlight);
  packer.pack_uint64(load.attempts);
  return {buffer.data(), buffer.size()};
}

bool isValidCounter(const msgpack::object& object) {
  return object.type == msgpack::type::POSITIVE_INTEGER && object.via.u64 < kNumberLimit;
}

// Returns std::nullopt if the value, which may come from another controller, is not in the expected format.
std::optional<Load> decodeLoad(const std::string& value) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(value.data(), value.size(), nullptr, nullptr,
                                                          msgpack::unpack_limit(2, 0, 0, 0, 0, 2));
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) return std::nullopt;
    const msgpack::object& threads = object.via.array.ptr[0];
    const msgpack::object& attempts = object.via.array.ptr[1];
    if (!isValidCounter(threads) || !isValidCounter(attempts)) return std::nullopt;
    return Load{threads.via.u64, attempts.via.u64};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

void LoadPublisher::publish(Duration now, const std::map<std::string, Load>& engines, Load total) {
  if (now < nextHeartbeatAt_) return;
  nextHeartbeatAt_ = now + kHeartbeatInterval;
  for (auto published = publishedLoads_.begin(); published != publishedLoads_.end();) {
    const bool isStillListed = engines.contains(published->first);
    if (!isStillListed) store_.remove(now, kLoadTopic, published->first);
    published = isStillListed ? std::next(published) : publishedLoads_.erase(published);
  }
  for (const auto& [name, load] : engines) {
    const auto published = publishedLoads_.find(name);
    if (published == publishedLoads_.end() ? load == Load{} : published->second == load) continue;
    if (name.empty() || store_.put(now, kLoadTopic, name, encodeLoad(load)) != Store::PutResult::stored) {
      ++omittedCount_;
    } else {
      publishedLoads_[name] = load;
    }
  }
  store_.put(now, kLoadTopic, "", encodeLoad(total));
}

FleetLoad sumFleetLoad(const Store& store, Duration now) {
  FleetLoad fleet;
  std::set<std::string> liveOwners;
  store.visitEntries(now, kLoadTopic,
                     [&](const std::string& owner, std::uint64_t, const std::string& key,
                         const std::string& value, Duration age) {
                       const std::optional<Load> load = decodeLoad(value);
                       if (!load) {
                         ++fleet.unreadableValues;
                         return;
                       }
                       // Keys are visited in order, so that the heartbeat of an owner (key "") precedes its
                       // engines.
                       if (key.empty()) {
                         ++fleet.controllers;
                         if (age <= FleetLoad::kLivenessTimeout) liveOwners.insert(owner);
                       }
                       const std::uint64_t threads = liveOwners.contains(owner) ? load->threadsInFlight : 0;
                       Load& total = key.empty() ? fleet.total : fleet.engines[key];
                       total.threadsInFlight += threads;
                       total.attempts += load->attempts;
                     });
  fleet.liveControllers = liveOwners.size();
  return fleet;
}

}  // namespace paddletrack::gossip
