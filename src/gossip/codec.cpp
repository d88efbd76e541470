#include "gossip/codec.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <stdexcept>

namespace paddletrack::gossip {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;
using Object = msgpack::object;

// Numbers of fields in the arrays of the wire format.
constexpr std::uint32_t kDatagramFieldCount = 5;
constexpr std::uint32_t kDigestFieldCount = 4;
constexpr std::uint32_t kOwnerVersionFieldCount = 3;
constexpr std::uint32_t kDeltaFieldCount = 2;
constexpr std::uint32_t kOwnerDeltaFieldCount = 5;
constexpr std::uint32_t kUpdateFieldCount = 6;
// MessagePack can encode the kind in one byte up to this number.
constexpr std::uint64_t kMaxKind = 127;
constexpr std::size_t kMaxNestingDepth = 8;

struct DecodeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void packText(Packer& packer, std::string_view value) {
  packer.pack_str(static_cast<std::uint32_t>(value.size()));
  packer.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
}
void packBytes(Packer& packer, std::string_view value) {
  packer.pack_bin(static_cast<std::uint32_t>(value.size()));
  packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
}
void packArray(Packer& packer, std::size_t size) { packer.pack_array(static_cast<std::uint32_t>(size)); }

void packBody(Packer& packer, const Digest& digest) {
  packArray(packer, kDigestFieldCount);
  packText(packer, digest.firstOwner);
  packText(packer, digest.lastOwner);
  packer.pack(digest.rejectsNewOwners);
  packArray(packer, digest.ownerVersions.size());
  for (const Digest::OwnerVersion& ownerVersion : digest.ownerVersions) {
    packArray(packer, kOwnerVersionFieldCount);
    packText(packer, ownerVersion.owner);
    packer.pack_uint64(ownerVersion.incarnation);
    packer.pack_uint64(ownerVersion.version);
  }
}

void packUpdate(Packer& packer, const EntryUpdate& update) {
  packArray(packer, kUpdateFieldCount);
  packer.pack_uint8(update.topic);
  packBytes(packer, update.key);
  packBytes(packer, update.value);
  packer.pack_uint64(update.version);
  packer.pack(update.removed);
  const auto ageMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(update.age).count();
  packer.pack_uint32(static_cast<std::uint32_t>(std::clamp<std::int64_t>(ageMilliseconds, 0, UINT32_MAX)));
}

void packBody(Packer& packer, const Delta& delta) {
  packArray(packer, kDeltaFieldCount);
  packer.pack(delta.truncated);
  packArray(packer, delta.ownerDeltas.size());
  for (const Delta::OwnerDelta& ownerDelta : delta.ownerDeltas) {
    packArray(packer, kOwnerDeltaFieldCount);
    packText(packer, ownerDelta.owner);
    packer.pack_uint64(ownerDelta.incarnation);
    packer.pack_uint64(ownerDelta.fromVersion);
    packer.pack_uint64(ownerDelta.upToVersion);
    packArray(packer, ownerDelta.updates.size());
    for (const EntryUpdate& update : ownerDelta.updates) packUpdate(packer, update);
  }
}

const msgpack::object_array& readList(const Object& object, const char* fieldName) {
  if (object.type != msgpack::type::ARRAY) throw DecodeError(std::string(fieldName) + ": a list is expected");
  return object.via.array;
}
const msgpack::object_array& readList(const Object& object, std::uint32_t expectedSize,
                                      const char* fieldName) {
  const auto& array = readList(object, fieldName);
  if (array.size != expectedSize)
    throw DecodeError(std::string(fieldName) + ": a list of " + std::to_string(expectedSize) +
                      " is expected");
  return array;
}
std::uint64_t readNumber(const Object& object, std::uint64_t max, const char* fieldName) {
  if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 > max)
    throw DecodeError(std::string(fieldName) + ": a whole number up to " + std::to_string(max) +
                      " is expected");
  return object.via.u64;
}
bool readBool(const Object& object, const char* fieldName) {
  if (object.type != msgpack::type::BOOLEAN)
    throw DecodeError(std::string(fieldName) + ": true or false is expected");
  return object.via.boolean;
}
std::string readText(const Object& object, std::size_t maxBytes, const char* fieldName) {
  if (object.type != msgpack::type::STR || object.via.str.size > maxBytes)
    throw DecodeError(std::string(fieldName) + ": a text of " + std::to_string(maxBytes) +
                      " bytes at most is expected");
  return {object.via.str.ptr, object.via.str.size};
}
std::string readBytes(const Object& object, std::size_t maxBytes, const char* fieldName) {
  if (object.type != msgpack::type::BIN || object.via.bin.size > maxBytes)
    throw DecodeError(std::string(fieldName) + ": " + std::to_string(maxBytes) +
                      " bytes at most are expected");
  return {object.via.bin.ptr, object.via.bin.size};
}
std::string readOwner(const Object& object) {
  std::string name = readText(object, kMaxOwnerBytes, "owner");
  if (name.empty()) throw DecodeError("owner: a name is expected");
  return name;
}

Digest readDigest(const Object& object) {
  const auto& fields = readList(object, kDigestFieldCount, "digest");
  Digest result;
  result.firstOwner = readText(fields.ptr[0], kMaxOwnerBytes + 1, "digest.first");
  result.lastOwner = readText(fields.ptr[1], kMaxOwnerBytes, "digest.last");
  result.rejectsNewOwners = readBool(fields.ptr[2], "digest.closed");
  const auto& versionList = readList(fields.ptr[3], "digest.lines");
  result.ownerVersions.reserve(versionList.size);
  for (std::uint32_t index = 0; index < versionList.size; ++index) {
    const auto& versionFields = readList(versionList.ptr[index], kOwnerVersionFieldCount, "digest.line");
    result.ownerVersions.push_back({readOwner(versionFields.ptr[0]),
                                    readNumber(versionFields.ptr[1], kNumberLimit - 1, "generation"),
                                    readNumber(versionFields.ptr[2], kNumberLimit - 1, "version")});
  }
  return result;
}

EntryUpdate readUpdate(const Object& object) {
  const auto& fields = readList(object, kUpdateFieldCount, "delta.item");
  EntryUpdate update;
  update.topic = static_cast<Topic>(readNumber(fields.ptr[0], kMaxTopic, "topic"));
  update.key = readBytes(fields.ptr[1], kMaxKeyBytes, "key");
  update.value = readBytes(fields.ptr[2], kMaxValueBytes, "value");
  update.version = readNumber(fields.ptr[3], kNumberLimit - 1, "version");
  update.removed = readBool(fields.ptr[4], "gone");
  update.age = std::chrono::milliseconds(readNumber(fields.ptr[5], UINT32_MAX, "age"));
  if (update.version == 0 || (update.removed && !update.value.empty()))
    throw DecodeError("delta.item: no such item");
  return update;
}

Delta::OwnerDelta readOwnerDelta(const Object& object) {
  const auto& fields = readList(object, kOwnerDeltaFieldCount, "delta.part");
  Delta::OwnerDelta ownerDelta;
  ownerDelta.owner = readOwner(fields.ptr[0]);
  ownerDelta.incarnation = readNumber(fields.ptr[1], kNumberLimit - 1, "generation");
  ownerDelta.fromVersion = readNumber(fields.ptr[2], kNumberLimit - 1, "from");
  ownerDelta.upToVersion = readNumber(fields.ptr[3], kNumberLimit - 1, "upTo");
  if (ownerDelta.incarnation == 0 || ownerDelta.fromVersion > ownerDelta.upToVersion)
    throw DecodeError("delta.part: versions out of order");
  const auto& updateList = readList(fields.ptr[4], "delta.items");
  for (std::uint32_t index = 0; index < updateList.size; ++index)
    ownerDelta.updates.push_back(readUpdate(updateList.ptr[index]));
  return ownerDelta;
}

Delta readDelta(const Object& object) {
  const auto& fields = readList(object, kDeltaFieldCount, "delta");
  Delta result;
  result.truncated = readBool(fields.ptr[0], "delta.more");
  const auto& ownerDeltaList = readList(fields.ptr[1], "delta.parts");
  for (std::uint32_t index = 0; index < ownerDeltaList.size; ++index)
    result.ownerDeltas.push_back(readOwnerDelta(ownerDeltaList.ptr[index]));
  return result;
}

DecodeResult makeDropResult(DropReason reason, std::string detail, std::string sender = {}) {
  return {reason, std::move(sender), std::move(detail)};
}

DecodeResult decodeOrThrow(std::string_view datagram, std::string_view cluster, std::string_view ownName) {
  // msgpack enforces the limits on list sizes, string sizes and depth before it allocates. Strings are not
  // copied.
  const msgpack::unpack_limit limit(kMaxDatagramBytes / 2, 0, kMaxOwnerBytes + 1, kMaxValueBytes, 0,
                                    kMaxNestingDepth);
  const auto referenceInPlace = [](msgpack::type::object_type, std::size_t, void*) { return true; };
  std::size_t consumedBytes = 0;
  const msgpack::object_handle handle =
      msgpack::unpack(datagram.data(), datagram.size(), consumedBytes, referenceInPlace, nullptr, limit);
  if (consumedBytes != datagram.size()) throw DecodeError("bytes after its end");
  const auto& fields = readList(handle.get(), "datagram");
  if (fields.size < 2) throw DecodeError("datagram: a list of 5 is expected");
  if (const auto version = readNumber(fields.ptr[0], UINT32_MAX, "version"); version != kWireVersion)
    return makeDropResult(DropReason::unsupportedVersion,
                          "version " + std::to_string(version) + ", not " + std::to_string(kWireVersion));
  readList(handle.get(), kDatagramFieldCount, "datagram");
  const auto kind = static_cast<std::uint8_t>(readNumber(fields.ptr[1], kMaxKind, "kind"));
  if (readText(fields.ptr[2], kMaxOwnerBytes, "cluster") != cluster)
    return makeDropResult(DropReason::otherCluster, "another cluster's");
  std::string sender = readOwner(fields.ptr[3]);
  if (sender == ownName)
    return makeDropResult(DropReason::ownMessage, "it says that this controller sent it", std::move(sender));
  if (kind >= kFirstReservedKind && kind <= kLastReservedKind)
    return makeDropResult(DropReason::reservedKind, "kind " + std::to_string(kind), std::move(sender));
  switch (static_cast<MessageKind>(kind)) {
    case MessageKind::digest:
      return {Message(readDigest(fields.ptr[4])), std::move(sender), {}};
    case MessageKind::delta:
      return {Message(readDelta(fields.ptr[4])), std::move(sender), {}};
    case MessageKind::deltaRequest:
      return {Message(DeltaRequest{readDigest(fields.ptr[4])}), std::move(sender), {}};
  }
  return makeDropResult(DropReason::unknownKind, "kind " + std::to_string(kind), std::move(sender));
}

}  // namespace

const char* nameOf(DropReason reason) {
  static constexpr std::array<const char*, kDropReasonCount> kNames{
      "foreign", "version", "reserved", "unknown", "broken", "oversized",
      "own",     "old",     "refused",  "busy",    "unsent"};
  return kNames[static_cast<std::size_t>(reason)];
}

std::string encode(const Message& message, std::string_view cluster, std::string_view sender) {
  msgpack::sbuffer buffer(kMaxDatagramBytes);
  Packer packer(buffer);
  static constexpr std::array<MessageKind, 3> kKinds{MessageKind::digest, MessageKind::delta,
                                                     MessageKind::deltaRequest};
  packArray(packer, kDatagramFieldCount);
  packer.pack_uint64(kWireVersion);
  packer.pack_uint8(static_cast<std::uint8_t>(kKinds[message.index()]));
  packText(packer, cluster);
  packText(packer, sender);
  std::visit([&](const auto& content) { packBody(packer, content); }, message);
  return {buffer.data(), buffer.size()};
}

DecodeResult decode(std::string_view datagram, std::string_view cluster, std::string_view ownName) noexcept {
  try {
    if (datagram.size() > kMaxDatagramBytes)
      return makeDropResult(DropReason::oversized, "longer than a datagram may be");
    return decodeOrThrow(datagram, cluster, ownName);
  } catch (const std::exception& error) {
    try {
      return makeDropResult(DropReason::malformed, error.what());
    } catch (...) {
      return {};
    }
  } catch (...) {
    return {};
  }
}

}  // namespace paddletrack::gossip
