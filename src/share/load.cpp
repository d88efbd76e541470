#include "share/load.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <set>

namespace paddletrack::share {
namespace {

std::string packed(const Load& load) {
  msgpack::sbuffer out(24);
  msgpack::packer<msgpack::sbuffer> to(out);
  to.pack_array(2);
  to.pack_uint64(load.threads);
  to.pack_uint64(load.jobs);
  return {out.data(), out.size()};
}

bool unpacked(const std::string& value, Load& load) {
  try {
    const msgpack::object_handle held = msgpack::unpack(value.data(), value.size(), nullptr, nullptr,
                                                        msgpack::unpack_limit(2, 0, 0, 0, 0, 2));
    const msgpack::object& read = held.get();
    if (read.type != msgpack::type::ARRAY || read.via.array.size != 2) return false;
    const msgpack::object *threads = read.via.array.ptr, *jobs = threads + 1;
    if (threads->type != msgpack::type::POSITIVE_INTEGER || jobs->type != msgpack::type::POSITIVE_INTEGER ||
        threads->via.u64 >= kMostNumber || jobs->via.u64 >= kMostNumber)
      return false;
    load = {threads->via.u64, jobs->via.u64};
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

void LoadShare::write(Span now, const std::map<std::string, Load>& engines, Load all) {
  if (now < next_) return;
  next_ = now + kPulse;
  for (auto at = written_.begin(); at != written_.end();) {
    const bool stays = engines.count(at->first) > 0;
    if (!stays) store_.remove(now, kLoad, at->first);
    at = stays ? std::next(at) : written_.erase(at);
  }
  for (const auto& [name, load] : engines) {
    const auto at = written_.find(name);
    if (at == written_.end() ? load == Load{} : at->second == load) continue;
    if (name.empty() || store_.put(now, kLoad, name, packed(load)) != Store::Put::done) {
      ++leftOut_;
    } else {
      written_[name] = load;
    }
  }
  store_.put(now, kLoad, "", packed(all));
}

FleetLoad fleetLoad(const Store& store, Span now) {
  FleetLoad sum;
  std::set<std::string> live;
  store.visit(now, kLoad,
              [&](const std::string& owner, std::uint64_t, const std::string& key, const std::string& value,
                  Span age) {
                Load read;
                if (!unpacked(value, read)) {
                  ++sum.unreadable;
                  return;
                }
                // The key "" comes first of an owner's.
                if (key.empty()) {
                  ++sum.controllers;
                  if (age <= FleetLoad::kLive) live.insert(owner);
                }
                const std::uint64_t threads = live.count(owner) > 0 ? read.threads : 0;
                Load& to = key.empty() ? sum.all : sum.engines[key];
                to.threads += threads;
                to.jobs += read.jobs;
              });
  sum.live = live.size();
  return sum;
}

}  // namespace paddletrack::share
