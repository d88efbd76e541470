#include "gossip/codec.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <stdexcept>

namespace paddletrack::gossip {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;
using Object = msgpack::object;

// Number of fields in each array of the wire format.
constexpr std::uint32_t kDatagramFieldCount = 5;
constexpr std::uint32_t kDigestFieldCount = 4;
constexpr std::uint32_t kOwnerVersionFieldCount = 3;
constexpr std::uint32_t kDeltaFieldCount = 2;
constexpr std::uint32_t kOwnerDeltaFieldCount = 5;
constexpr std::uint32_t kUpdateFieldCount = 6;
// Largest message kind that MessagePack encodes in one byte.
constexpr std::uint64_t kMaxKind = 127;
constexpr std::size_t kMaxNestingDepth = 8;

struct DecodeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void packString(Packer& packer, std::string_view value) {
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
  packString(packer, digest.firstOwner);
  packString(packer, digest.lastOwner);
  packer.pack(digest.rejectsNewOwners);
  packArray(packer, digest.ownerVersions.size());
  for (const Digest::OwnerVersion& ownerVersion : digest.ownerVersions) {
    packArray(packer, kOwnerVersionFieldCount);
    packString(packer, ownerVersion.owner);
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
    packString(packer, ownerDelta.owner);
    packer.pack_uint64(ownerDelta.incarnation);
    packer.pack_uint64(ownerDelta.fromVersion);
    packer.pack_uint64(ownerDelta.upToVersion);
    packArray(packer, ownerDelta.updates.size());
    for (const EntryUpdate& update : ownerDelta.updates) packUpdate(packer, update);
  }
}

const msgpack::object_array& readArray(const Object& object, const char* fieldName) {
  if (object.type != msgpack::type::ARRAY) throw DecodeError(std::string(fieldName) + ": expected an array");
  return object.via.array;
}
const msgpack::object_array& readArray(const Object& object, std::uint32_t expectedSize,
                                       const char* fieldName) {
  const auto& array = readArray(object, fieldName);
  if (array.size != expectedSize)
    throw DecodeError(std::string(fieldName) + ": expected an array of " + std::to_string(expectedSize) +
                      " elements");
  return array;
}
std::uint64_t readUnsigned(const Object& object, std::uint64_t max, const char* fieldName) {
  if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 > max)
    throw DecodeError(std::string(fieldName) + ": expected an unsigned integer (at most " +
                      std::to_string(max) + ")");
  return object.via.u64;
}
bool readBool(const Object& object, const char* fieldName) {
  if (object.type != msgpack::type::BOOLEAN)
    throw DecodeError(std::string(fieldName) + ": expected a boolean");
  return object.via.boolean;
}
std::string readString(const Object& object, std::size_t maxBytes, const char* fieldName) {
  if (object.type != msgpack::type::STR || object.via.str.size > maxBytes)
    throw DecodeError(std::string(fieldName) + ": expected a string of at most " + std::to_string(maxBytes) +
                      " bytes");
  return {object.via.str.ptr, object.via.str.size};
}
std::string readBytes(const Object& object, std::size_t maxBytes, const char* fieldName) {
  if (object.type != msgpack::type::BIN || object.via.bin.size > maxBytes)
    throw DecodeError(std::string(fieldName) + ": expected at most " + std::to_string(maxBytes) +
                      " bytes of binary data");
  return {object.via.bin.ptr, object.via.bin.size};
}
std::string readOwner(const Object& object) {
  std::string name = readString(object, kMaxOwnerBytes, "owner");
  if (name.empty()) throw DecodeError("owner: must not be empty");
  return name;
}

Digest readDigest(const Object& object) {
  const auto& fields = readArray(object, kDigestFieldCount, "digest");
  Digest result;
  result.firstOwner = readString(fields.ptr[0], kMaxOwnerBytes + 1, "digest.first");
  result.lastOwner = readString(fields.ptr[1], kMaxOwnerBytes, "digest.last");
  result.rejectsNewOwners = readBool(fields.ptr[2], "digest.closed");
  const auto& versionArray = readArray(fields.ptr[3], "digest.lines");
  result.ownerVersions.reserve(versionArray.size);
  for (std::uint32_t index = 0; index < versionArray.size; ++index) {
    const auto& versionFields = readArray(versionArray.ptr[index], kOwnerVersionFieldCount, "digest.line");
    result.ownerVersions.push_back({readOwner(versionFields.ptr[0]),
                                    readUnsigned(versionFields.ptr[1], kNumberLimit - 1, "generation"),
                                    readUnsigned(versionFields.ptr[2], kNumberLimit - 1, "version")});
  }
  return result;
}

EntryUpdate readUpdate(const Object& object) {
  const auto& fields = readArray(object, kUpdateFieldCount, "delta.item");
  EntryUpdate update;
  update.topic = static_cast<Topic>(readUnsigned(fields.ptr[0], kMaxTopic, "topic"));
  update.key = readBytes(fields.ptr[1], kMaxKeyBytes, "key");
  update.value = readBytes(fields.ptr[2], kMaxValueBytes, "value");
  update.version = readUnsigned(fields.ptr[3], kNumberLimit - 1, "version");
  update.removed = readBool(fields.ptr[4], "gone");
  update.age = std::chrono::milliseconds(readUnsigned(fields.ptr[5], UINT32_MAX, "age"));
  if (update.version == 0 || (update.removed && !update.value.empty()))
    throw DecodeError("delta.item: version must be above 0, and value must be empty if gone is true");
  return update;
}

Delta::OwnerDelta readOwnerDelta(const Object& object) {
  const auto& fields = readArray(object, kOwnerDeltaFieldCount, "delta.part");
  Delta::OwnerDelta ownerDelta;
  ownerDelta.owner = readOwner(fields.ptr[0]);
  ownerDelta.incarnation = readUnsigned(fields.ptr[1], kNumberLimit - 1, "generation");
  ownerDelta.fromVersion = readUnsigned(fields.ptr[2], kNumberLimit - 1, "from");
  ownerDelta.upToVersion = readUnsigned(fields.ptr[3], kNumberLimit - 1, "upTo");
  if (ownerDelta.incarnation == 0 || ownerDelta.fromVersion > ownerDelta.upToVersion)
    throw DecodeError("delta.part: generation must be above 0, and from must not exceed upTo");
  const auto& updateArray = readArray(fields.ptr[4], "delta.items");
  for (std::uint32_t index = 0; index < updateArray.size; ++index)
    ownerDelta.updates.push_back(readUpdate(updateArray.ptr[index]));
  return ownerDelta;
}

Delta readDelta(const Object& object) {
  const auto& fields = readArray(object, kDeltaFieldCount, "delta");
  Delta result;
  result.truncated = readBool(fields.ptr[0], "delta.more");
  const auto& ownerDeltaArray = readArray(fields.ptr[1], "delta.parts");
  for (std::uint32_t index = 0; index < ownerDeltaArray.size; ++index)
    result.ownerDeltas.push_back(readOwnerDelta(ownerDeltaArray.ptr[index]));
  return result;
}

DecodeResult makeDropResult(DropReason reason, std::string detail, std::string sender = {}) {
  return {reason, std::move(sender), std::move(detail)};
}

DecodeResult decodeOrThrow(std::string_view datagram, std::string_view cluster, std::string_view ownName) {
  // msgpack enforces the limits on array sizes, string sizes and nesting depth before it allocates memory.
  // Strings are not copied.
  const msgpack::unpack_limit limit(kMaxDatagramBytes / 2, 0, kMaxOwnerBytes + 1, kMaxValueBytes, 0,
                                    kMaxNestingDepth);
  const auto referenceInPlace = [](msgpack::type::object_type, std::size_t, void*) { return true; };
  std::size_t consumedBytes = 0;
  const msgpack::object_handle handle =
      msgpack::unpack(datagram.data(), datagram.size(), consumedBytes, referenceInPlace, nullptr, limit);
  if (consumedBytes != datagram.size()) throw DecodeError("unexpected bytes after the end of the message");
  const auto& fields = readArray(handle.get(), "datagram");
  if (fields.size < 2) throw DecodeError("datagram: expected an array of 5 elements");
  if (const auto version = readUnsigned(fields.ptr[0], UINT32_MAX, "version"); version != kWireVersion)
    return makeDropResult(DropReason::unsupportedVersion, "wire version " + std::to_string(version) +
                                                              ", expected " + std::to_string(kWireVersion));
  readArray(handle.get(), kDatagramFieldCount, "datagram");
  const auto kind = static_cast<std::uint8_t>(readUnsigned(fields.ptr[1], kMaxKind, "kind"));
  if (readString(fields.ptr[2], kMaxOwnerBytes, "cluster") != cluster)
    return makeDropResult(DropReason::otherCluster, "sent by a controller of another cluster");
  std::string sender = readOwner(fields.ptr[3]);
  if (sender == ownName)
    return makeDropResult(DropReason::ownMessage, "the sender has the name of this controller",
                          std::move(sender));
  if (kind >= kFirstReservedKind && kind <= kLastReservedKind)
    return makeDropResult(DropReason::reservedKind, "message kind " + std::to_string(kind),
                          std::move(sender));
  switch (static_cast<MessageKind>(kind)) {
    case MessageKind::digest:
      return {Message(readDigest(fields.ptr[4])), std::move(sender), {}};
    case MessageKind::delta:
      return {Message(readDelta(fields.ptr[4])), std::move(sender), {}};
    case MessageKind::deltaRequest:
      return {Message(DeltaRequest{readDigest(fields.ptr[4])}), std::move(sender), {}};
  }
  return makeDropResult(DropReason::unknownKind, "message kind " + std::to_string(kind), std::move(sender));
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
  packString(packer, cluster);
  packString(packer, sender);
  std::visit([&](const auto& content) { packBody(packer, content); }, message);
  return {buffer.data(), buffer.size()};
}

DecodeResult decode(std::string_view datagram, std::string_view cluster, std::string_view ownName) noexcept {
  try {
    if (datagram.size() > kMaxDatagramBytes)
      return makeDropResult(DropReason::oversized, "exceeds the maximum datagram size");
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
