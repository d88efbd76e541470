#include "gossip/load_publisher.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <set>

namespace paddletrack::gossip {
namespace {

std::string packValue(const Load& load) {
  msgpack::sbuffer buffer(24);
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack_uint64(load.threadsInFlight);
  packer.pack_uint64(load.attempts);
  return {buffer.data(), buffer.size()};
}

bool unpackValue(const std::string& value, Load& load) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(value.data(), value.size(), nullptr, nullptr,
                                                          msgpack::unpack_limit(2, 0, 0, 0, 0, 2));
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) return false;
    const msgpack::object *threads = object.via.array.ptr, *attempts = threads + 1;
    if (threads->type != msgpack::type::POSITIVE_INTEGER ||
        attempts->type != msgpack::type::POSITIVE_INTEGER || threads->via.u64 >= kNumberLimit ||
        attempts->via.u64 >= kNumberLimit)
      return false;
    load = {threads->via.u64, attempts->via.u64};
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

void LoadPublisher::publish(Duration now, const std::map<std::string, Load>& engines, Load total) {
  if (now < nextHeartbeatAt_) return;
  nextHeartbeatAt_ = now + kHeartbeatInterval;
  for (auto published = publishedLoads_.begin(); published != publishedLoads_.end();) {
    const bool isStillListed = engines.count(published->first) > 0;
    if (!isStillListed) store_.remove(now, kLoad, published->first);
    published = isStillListed ? std::next(published) : publishedLoads_.erase(published);
  }
  for (const auto& [name, load] : engines) {
    const auto published = publishedLoads_.find(name);
    if (published == publishedLoads_.end() ? load == Load{} : published->second == load) continue;
    if (name.empty() || store_.put(now, kLoad, name, packValue(load)) != Store::PutResult::stored) {
      ++omittedCount_;
    } else {
      publishedLoads_[name] = load;
    }
  }
  store_.put(now, kLoad, "", packValue(total));
}

FleetLoad sumFleetLoad(const Store& store, Duration now) {
  FleetLoad fleet;
  std::set<std::string> liveOwners;
  store.visitEntries(now, kLoad,
                     [&](const std::string& owner, std::uint64_t, const std::string& key,
                         const std::string& value, Duration age) {
                       Load load;
                       if (!unpackValue(value, load)) {
                         ++fleet.unreadableValues;
                         return;
                       }
                       // The key "" comes first of an owner's.
                       if (key.empty()) {
                         ++fleet.controllers;
                         if (age <= FleetLoad::kLivenessTimeout) liveOwners.insert(owner);
                       }
                       const std::uint64_t threads = liveOwners.count(owner) > 0 ? load.threadsInFlight : 0;
                       Load& total = key.empty() ? fleet.total : fleet.engines[key];
                       total.threadsInFlight += threads;
                       total.attempts += load.attempts;
                     });
  fleet.liveControllers = liveOwners.size();
  return fleet;
}

}  // namespace paddletrack::gossip
