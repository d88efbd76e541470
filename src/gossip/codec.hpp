// Datagrams of the fleet: one MessagePack array each,
//   [version, kind, cluster, sender, body]
// where version is kProtocol, kind a number below 128, cluster and sender texts, and body an array after its
// kind: digest and wants [first, last, closed, [[owner, generation, version]...]], delta
// [more, [[owner, generation, from, upTo, [[topic, key, value, version, gone, age in ms]...]]...]].
// Reading never throws, never takes memory beyond a few times the datagram's size, and says what was wrong.
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <variant>

#include "gossip/store.hpp"

namespace paddletrack::gossip {

constexpr std::uint64_t kWireVersion = 1;
// Below Ethernet's 1500 with room for IP, UDP and a tunnel: no datagram is cut into fragments on its way.
constexpr std::size_t kMaxDatagramBytes = 1400;
constexpr std::size_t kMaxClusterBytes = 32;
// What a message may hold in the measures of Store's digest and delta, so that it fits.
constexpr std::size_t kMaxDeltaBytes = kMaxDatagramBytes - kMaxClusterBytes - kMaxOwnerBytes - 24;
constexpr std::size_t kMaxDigestBytes = kMaxDeltaBytes - 2 * kMaxOwnerBytes - 8;

// 16 to 31 are kept for the fleet's membership: ignored and counted by programs that do not know them.
enum class MessageKind : std::uint8_t { digest = 1, delta = 2, deltaRequest = 3 };
constexpr std::uint8_t kFirstReservedKind = 16, kLastReservedKind = 31;

struct DeltaRequest : Digest {};
using Message = std::variant<Digest, Delta, DeltaRequest>;

// Why a datagram, or what it brought, was not used.
enum class DropReason : std::uint8_t {
  otherCluster,        // another cluster's name
  unsupportedVersion,  // another version of these datagrams
  reservedKind,        // a kind kept for a membership
  unknownKind,         // another kind that this program does not know
  malformed,           // not as described above, or past a bound
  oversized,           // longer than kMostDatagram
  ownMessage,          // it says that this controller sent it
  stale,               // all that it brought is of an earlier generation, or has aged out
  storeFull,           // no room for what it brought
  rateLimited,         // more asked than is answered in a period
  sendFailed,          // the kernel did not take one of this controller's own
};
constexpr std::size_t kDropReasonCount = 11;
const char* nameOf(DropReason reason);

struct DecodeResult {
  std::variant<Message, DropReason> content = DropReason::malformed;
  std::string sender;
  std::string detail;  // of a drop, for the log: what was expected
};

std::string encode(const Message& message, std::string_view cluster, std::string_view sender);
DecodeResult decode(std::string_view datagram, std::string_view cluster, std::string_view ownName) noexcept;

}  // namespace paddletrack::gossip
