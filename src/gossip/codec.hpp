// Wire format of the gossip datagrams. Each datagram is one MessagePack array:
//   [version, kind, cluster, sender, body]
// `version` is kWireVersion, `kind` a MessageKind, `cluster` and `sender` are strings. `body` depends on the
// kind:
//   digest and delta request: [first, last, closed, [[owner, generation, version]...]]
//   delta: [more, [[owner, generation, from, upTo, [[topic, key, value, version, gone, age in ms]...]]...]]
// Wire field names that differ from the names in the code: generation is `incarnation`, closed is
// `rejectsNewOwners`, more is `truncated`, gone is `removed`.
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <variant>

#include "gossip/store.hpp"

namespace paddletrack::gossip {

constexpr std::uint64_t kWireVersion = 1;
/// Below Ethernet's MTU of 1500 with room for IP, UDP and tunnel headers, so that no datagram is fragmented.
constexpr std::size_t kMaxDatagramBytes = 1400;
constexpr std::size_t kMaxClusterBytes = 32;
/// Size limits to pass to Store::buildDelta and Store::buildDigest so that the encoded message fits a
/// datagram.
constexpr std::size_t kMaxDeltaBytes = kMaxDatagramBytes - kMaxClusterBytes - kMaxOwnerBytes - 24;
constexpr std::size_t kMaxDigestBytes = kMaxDeltaBytes - 2 * kMaxOwnerBytes - 8;

/// Kind of a message on the wire. Kinds 16 to 31 are reserved for a membership protocol; this version drops
/// and counts them.
enum class MessageKind : std::uint8_t { digest = 1, delta = 2, deltaRequest = 3 };
constexpr std::uint8_t kFirstReservedKind = 16;
constexpr std::uint8_t kLastReservedKind = 31;

/// Requests a delta from a peer. Lists only the owners of which the peer has newer entries.
struct DeltaRequest : Digest {};
using Message = std::variant<Digest, Delta, DeltaRequest>;

/// Reason why a datagram, or the entries in it, were dropped.
enum class DropReason : std::uint8_t {
  otherCluster,        // sent by a controller of another cluster
  unsupportedVersion,  // its wire version is not kWireVersion
  reservedKind,        // its kind is reserved for a membership protocol
  unknownKind,         // any other kind that this version does not know
  malformed,           // not in the wire format, or a field exceeds its limit
  oversized,           // longer than kMaxDatagramBytes
  ownMessage,          // its sender has this controller's name
  stale,               // all of its entries are of an earlier incarnation or have expired
  storeFull,           // the store has no space for its entries
  rateLimited,         // the answer budget of the period is exhausted
  sendFailed,          // the kernel rejected an outgoing datagram
};
constexpr std::size_t kDropReasonCount = 11;
/// Returns the name of the reason as log lines and metrics show it.
const char* nameOf(DropReason reason);

/// Either the message or the reason why it is dropped.
struct DecodeResult {
  std::variant<Message, DropReason> content = DropReason::malformed;
  std::string sender;  // empty if the datagram was dropped before its sender was read
  std::string detail;  // cause of a drop for the log, empty for a message
};

/// Encodes a message. The result has at most kMaxDatagramBytes if the message was built within the limits
/// above.
std::string encode(const Message& message, std::string_view cluster, std::string_view sender);
/// Decodes a datagram and checks that it belongs to `cluster`. Never throws; its memory use is bounded by a
/// small multiple of the datagram's size. `ownName` identifies messages that carry this controller's own
/// name.
DecodeResult decode(std::string_view datagram, std::string_view cluster, std::string_view ownName) noexcept;

}  // namespace paddletrack::gossip
