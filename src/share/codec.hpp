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

#include "share/store.hpp"

namespace paddletrack::share {

constexpr std::uint64_t kProtocol = 1;
// Below Ethernet's 1500 with room for IP, UDP and a tunnel: no datagram is cut into fragments on its way.
constexpr std::size_t kMostDatagram = 1400;
constexpr std::size_t kLongestCluster = 32;
// What a message may hold in the measures of Store's digest and delta, so that it fits.
constexpr std::size_t kMostDelta = kMostDatagram - kLongestCluster - kLongestOwner - 24;
constexpr std::size_t kMostDigest = kMostDelta - 2 * kLongestOwner - 8;

// 16 to 31 are kept for the fleet's membership: ignored and counted by programs that do not know them.
enum class Kind : std::uint8_t { digest = 1, delta = 2, wants = 3 };
constexpr std::uint8_t kFirstReserved = 16, kLastReserved = 31;

struct Wants : Digest {};
using Message = std::variant<Digest, Delta, Wants>;

// Why a datagram, or what it brought, was not used.
enum class Drop : std::uint8_t {
  foreign,    // another cluster's name
  version,    // another version of these datagrams
  reserved,   // a kind kept for a membership
  unknown,    // another kind that this program does not know
  broken,     // not as described above, or past a bound
  oversized,  // longer than kMostDatagram
  own,        // it says that this controller sent it
  old,        // all that it brought is of an earlier generation, or has aged out
  refused,    // no room for what it brought
  busy,       // more asked than is answered in a period
  unsent,     // the kernel did not take one of this controller's own
};
constexpr std::size_t kDrops = 11;
const char* nameOf(Drop drop);

struct Read {
  std::variant<Message, Drop> what = Drop::broken;
  std::string sender;
  std::string detail;  // of a drop, for the log: what was expected
};

std::string encode(const Message& message, std::string_view cluster, std::string_view sender);
Read decode(std::string_view datagram, std::string_view cluster, std::string_view self) noexcept;

}  // namespace paddletrack::share
