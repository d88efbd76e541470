#include "hindsight/fleet.hpp"

#include <cmath>
#include <msgpack.hpp>
#include <optional>

namespace paddletrack::hindsight {
namespace {

constexpr std::uint64_t kFormat = 1;
constexpr std::size_t kLongestKey = 64, kLongestValue = 1024;  // bytes

template <typename Sums>
constexpr std::size_t kPlaces = sizeof(Sums) / sizeof(double);
static_assert(kPlaces<ClassSums> * 5 + 24 <= kLongestValue);

template <typename Sums>
void append(std::vector<float>& to, const Sums& sums) {
  const auto* at = reinterpret_cast<const double*>(&sums);
  for (std::size_t each = 0; each < kPlaces<Sums>; ++each) to.push_back(static_cast<float>(at[each]));
}
template <typename Sums>
Sums take(const std::vector<float>& from, std::size_t begin = 0) {
  Sums sums;
  auto* at = reinterpret_cast<double*>(&sums);
  for (std::size_t each = 0; each < kPlaces<Sums>; ++each) at[each] = static_cast<double>(from[begin + each]);
  return sums;
}

std::size_t placesOf(std::string_view key) {
  switch (key.empty() ? '\0' : key.front()) {
    case 'c':
      return kPlaces<ClassSums>;
    case 'e':
      return kPlaces<PlaceSums> + kPlaces<CheckSums>;
    case 'l':
      return kPlaces<PlaceSums>;
    case 'p':
      return kPlaces<CheckSums>;
    default:
      return 0;
  }
}

}  // namespace

std::vector<Entry> entriesOf(const Summary& summary, const Names& names, std::uint64_t version) {
  std::vector<Entry> entries;
  const auto put = [&](const std::string& key, const std::vector<float>& sums) {
    if (key.size() > kLongestKey) return;
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(static_cast<std::uint32_t>(sums.size() + 2));
    packer.pack_uint64(kFormat);
    packer.pack_uint64(version);
    for (const float each : sums) packer.pack_float(each);
    entries.push_back({key, std::string(buffer.data(), buffer.size())});
  };
  for (const auto& [type, sums] : summary.classes) {
    std::vector<float> made;
    append(made, sums);
    if (type < names.types.size()) put("c" + names.types[type], made);
  }
  for (const auto& [engine, sums] : summary.engines) {
    const auto name = names.engines.find(engine), none = names.engines.end();
    if (name == none) continue;
    std::vector<float> made;
    append(made, sums);
    const auto checks = summary.checks.find(engine);
    append(made, checks == summary.checks.end() ? CheckSums{} : checks->second);
    put("e" + name->second, made);
  }
  for (const auto& [location, sums] : summary.locations) {
    std::vector<float> made;
    append(made, sums);
    if (location < names.locations.size()) put("l" + names.locations[location], made);
  }
  std::vector<float> made;
  append(made, summary.pooled);
  put("p", made);
  return entries;
}

bool Fleet::hear(const std::string& owner, std::uint64_t generation, std::string_view key,
                 std::string_view value) {
  const std::size_t places = placesOf(key);
  Value read;
  try {
    if (places == 0 || key.size() > kLongestKey || value.size() > kLongestValue) throw msgpack::type_error();
    const msgpack::object_handle handle = msgpack::unpack(value.data(), value.size());
    const msgpack::object& all = handle.get();
    if (all.type != msgpack::type::ARRAY || all.via.array.size != places + 2) throw msgpack::type_error();
    const msgpack::object* at = all.via.array.ptr;
    if (at[0].as<std::uint64_t>() != kFormat) throw msgpack::type_error();
    read.version = at[1].as<std::uint64_t>();
    for (std::size_t each = 0; each < places; ++each) {
      read.sums.push_back(at[each + 2].as<float>());
      if (!std::isfinite(read.sums.back())) throw msgpack::type_error();
    }
  } catch (const std::exception&) {  // of msgpack, all of them
    ++refused_;
    return false;
  }
  if (owners_.count(owner) == 0 && owners_.size() >= kMostOwners) return ++refused_, false;
  Owner& of = owners_[owner];
  if (generation < of.generation) return false;
  if (generation > of.generation) of = Owner{generation, {}};
  const auto known = of.values.find(key);
  if (known != of.values.end() && known->second.version >= read.version) return false;
  if (known == of.values.end() && of.values.size() >= kMostKeys) return ++refused_, false;
  of.values.insert_or_assign(std::string(key), std::move(read));
  return true;
}

Fleet::View Fleet::view() const {
  View view;
  for (const auto& [name, owner] : owners_)
    for (const auto& [key, value] : owner.values) {
      const std::string of = key.substr(1);
      switch (key.front()) {
        case 'c':
          add(view.classes[of], take<ClassSums>(value.sums));
          add(view.all, take<ClassSums>(value.sums));
          break;
        case 'e':
          add(view.engines[of].sums, take<PlaceSums>(value.sums));
          add(view.engines[of].checks, take<CheckSums>(value.sums, kPlaces<PlaceSums>));
          break;
        case 'l':
          add(view.locations[of], take<PlaceSums>(value.sums));
          break;
        default:
          add(view.pooled, take<CheckSums>(value.sums));
      }
    }
  std::map<std::string, CheckSums> checks;
  for (const auto& [name, place] : view.engines) checks[name] = place.checks;
  view.explained = explained(view.pooled, checks);
  return view;
}

}  // namespace paddletrack::hindsight
