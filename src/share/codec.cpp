#include "share/codec.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <stdexcept>

namespace paddletrack::share {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;
using Object = msgpack::object;

struct Wrong : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void text(Packer& to, std::string_view value) {
  to.pack_str(static_cast<std::uint32_t>(value.size()));
  to.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
}
void bytes(Packer& to, std::string_view value) {
  to.pack_bin(static_cast<std::uint32_t>(value.size()));
  to.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
}
void array(Packer& to, std::size_t size) { to.pack_array(static_cast<std::uint32_t>(size)); }

void body(Packer& to, const Digest& digest) {
  array(to, 4);
  text(to, digest.first);
  text(to, digest.last);
  to.pack(digest.closed);
  array(to, digest.lines.size());
  for (const Digest::Line& each : digest.lines) {
    array(to, 3);
    text(to, each.owner);
    to.pack_uint64(each.generation);
    to.pack_uint64(each.version);
  }
}

void body(Packer& to, const Delta& delta) {
  array(to, 2);
  to.pack(delta.more);
  array(to, delta.parts.size());
  for (const Delta::Part& part : delta.parts) {
    array(to, 5);
    text(to, part.owner);
    to.pack_uint64(part.generation);
    to.pack_uint64(part.from);
    to.pack_uint64(part.upTo);
    array(to, part.items.size());
    for (const Item& item : part.items) {
      array(to, 6);
      to.pack_uint8(item.topic);
      bytes(to, item.key);
      bytes(to, item.value);
      to.pack_uint64(item.version);
      to.pack(item.gone);
      const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(item.age).count();
      to.pack_uint32(static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, UINT32_MAX)));
    }
  }
}

const msgpack::object_array& list(const Object& from, const char* what) {
  if (from.type != msgpack::type::ARRAY) throw Wrong(std::string(what) + ": a list is expected");
  return from.via.array;
}
const msgpack::object_array& list(const Object& from, std::uint32_t size, const char* what) {
  const auto& read = list(from, what);
  if (read.size != size)
    throw Wrong(std::string(what) + ": a list of " + std::to_string(size) + " is expected");
  return read;
}
std::uint64_t number(const Object& from, std::uint64_t most, const char* what) {
  if (from.type != msgpack::type::POSITIVE_INTEGER || from.via.u64 > most)
    throw Wrong(std::string(what) + ": a whole number up to " + std::to_string(most) + " is expected");
  return from.via.u64;
}
bool truth(const Object& from, const char* what) {
  if (from.type != msgpack::type::BOOLEAN) throw Wrong(std::string(what) + ": true or false is expected");
  return from.via.boolean;
}
std::string text(const Object& from, std::size_t most, const char* what) {
  if (from.type != msgpack::type::STR || from.via.str.size > most)
    throw Wrong(std::string(what) + ": a text of " + std::to_string(most) + " bytes at most is expected");
  return {from.via.str.ptr, from.via.str.size};
}
std::string bytes(const Object& from, std::size_t most, const char* what) {
  if (from.type != msgpack::type::BIN || from.via.bin.size > most)
    throw Wrong(std::string(what) + ": " + std::to_string(most) + " bytes at most are expected");
  return {from.via.bin.ptr, from.via.bin.size};
}
std::string owner(const Object& from) {
  std::string read = text(from, kLongestOwner, "owner");
  if (read.empty()) throw Wrong("owner: a name is expected");
  return read;
}

Digest digest(const Object& from) {
  const auto& fields = list(from, 4, "digest");
  Digest made;
  made.first = text(fields.ptr[0], kLongestOwner + 1, "digest.first");
  made.last = text(fields.ptr[1], kLongestOwner, "digest.last");
  made.closed = truth(fields.ptr[2], "digest.closed");
  const auto& lines = list(fields.ptr[3], "digest.lines");
  made.lines.reserve(lines.size);
  for (std::uint32_t each = 0; each < lines.size; ++each) {
    const auto& line = list(lines.ptr[each], 3, "digest.line");
    made.lines.push_back({owner(line.ptr[0]), number(line.ptr[1], kMostNumber - 1, "generation"),
                          number(line.ptr[2], kMostNumber - 1, "version")});
  }
  return made;
}

Delta delta(const Object& from) {
  const auto& fields = list(from, 2, "delta");
  Delta made;
  made.more = truth(fields.ptr[0], "delta.more");
  const auto& parts = list(fields.ptr[1], "delta.parts");
  for (std::uint32_t each = 0; each < parts.size; ++each) {
    const auto& read = list(parts.ptr[each], 5, "delta.part");
    Delta::Part& part = made.parts.emplace_back();
    part.owner = owner(read.ptr[0]);
    part.generation = number(read.ptr[1], kMostNumber - 1, "generation");
    part.from = number(read.ptr[2], kMostNumber - 1, "from");
    part.upTo = number(read.ptr[3], kMostNumber - 1, "upTo");
    if (part.generation == 0 || part.from > part.upTo) throw Wrong("delta.part: versions out of order");
    const auto& items = list(read.ptr[4], "delta.items");
    for (std::uint32_t one = 0; one < items.size; ++one) {
      const auto& item = list(items.ptr[one], 6, "delta.item");
      Item& kept = part.items.emplace_back();
      kept.topic = static_cast<Topic>(number(item.ptr[0], kMostTopic, "topic"));
      kept.key = bytes(item.ptr[1], kLongestKey, "key");
      kept.value = bytes(item.ptr[2], kLongestValue, "value");
      kept.version = number(item.ptr[3], kMostNumber - 1, "version");
      kept.gone = truth(item.ptr[4], "gone");
      kept.age = std::chrono::milliseconds(number(item.ptr[5], UINT32_MAX, "age"));
      if (kept.version == 0 || (kept.gone && !kept.value.empty())) throw Wrong("delta.item: no such item");
    }
  }
  return made;
}

Read dropped(Drop why, std::string detail, std::string sender = {}) {
  return {why, std::move(sender), std::move(detail)};
}

Read decodeOrThrow(std::string_view datagram, std::string_view cluster, std::string_view self) {
  // Lists, texts and depth are bounded before they are made; texts stay in the datagram.
  const msgpack::unpack_limit limit(kMostDatagram / 2, 0, kLongestOwner + 1, kLongestValue, 0, 8);
  const auto inPlace = [](msgpack::type::object_type, std::size_t, void*) { return true; };
  std::size_t used = 0;
  const msgpack::object_handle held =
      msgpack::unpack(datagram.data(), datagram.size(), used, inPlace, nullptr, limit);
  if (used != datagram.size()) throw Wrong("bytes after its end");
  const auto& fields = list(held.get(), "datagram");
  if (fields.size < 2) throw Wrong("datagram: a list of 5 is expected");
  if (const auto version = number(fields.ptr[0], UINT32_MAX, "version"); version != kProtocol)
    return dropped(Drop::version,
                   "version " + std::to_string(version) + ", not " + std::to_string(kProtocol));
  list(held.get(), 5, "datagram");
  const auto kind = static_cast<std::uint8_t>(number(fields.ptr[1], 127, "kind"));
  if (text(fields.ptr[2], kLongestOwner, "cluster") != cluster)
    return dropped(Drop::foreign, "another cluster's");
  std::string sender = owner(fields.ptr[3]);
  if (sender == self) return dropped(Drop::own, "it says that this controller sent it", std::move(sender));
  if (kind >= kFirstReserved && kind <= kLastReserved)
    return dropped(Drop::reserved, "kind " + std::to_string(kind), std::move(sender));
  switch (static_cast<Kind>(kind)) {
    case Kind::digest:
      return {Message(digest(fields.ptr[4])), std::move(sender), {}};
    case Kind::delta:
      return {Message(delta(fields.ptr[4])), std::move(sender), {}};
    case Kind::wants:
      return {Message(Wants{digest(fields.ptr[4])}), std::move(sender), {}};
  }
  return dropped(Drop::unknown, "kind " + std::to_string(kind), std::move(sender));
}

}  // namespace

const char* nameOf(Drop drop) {
  static constexpr std::array<const char*, kDrops> kNames{"foreign", "version",   "reserved", "unknown",
                                                          "broken",  "oversized", "own",      "old",
                                                          "refused", "busy",      "unsent"};
  return kNames[static_cast<std::size_t>(drop)];
}

std::string encode(const Message& message, std::string_view cluster, std::string_view sender) {
  msgpack::sbuffer out(kMostDatagram);
  Packer to(out);
  static constexpr std::array<Kind, 3> kKinds{Kind::digest, Kind::delta, Kind::wants};
  array(to, 5);
  to.pack_uint64(kProtocol);
  to.pack_uint8(static_cast<std::uint8_t>(kKinds[message.index()]));
  text(to, cluster);
  text(to, sender);
  std::visit([&](const auto& made) { body(to, made); }, message);
  return {out.data(), out.size()};
}

Read decode(std::string_view datagram, std::string_view cluster, std::string_view self) noexcept {
  try {
    if (datagram.size() > kMostDatagram) return dropped(Drop::oversized, "longer than a datagram may be");
    return decodeOrThrow(datagram, cluster, self);
  } catch (const std::exception& error) {
    try {
      return dropped(Drop::broken, error.what());
    } catch (...) {
      return {};
    }
  } catch (...) {
    return {};
  }
}

}  // namespace paddletrack::share
