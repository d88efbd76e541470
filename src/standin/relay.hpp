// The faults between processes, on loopback: relays that cut, delay, drop, double, reorder, let pass one way
// alone, and reset midway. Driven by a test while it runs; chance from its seed; bounded.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "transport/connection.hpp"
#include "transport/datagram.hpp"

namespace paddletrack::standin {

using std::chrono::milliseconds;

// Of one direction. May be changed at any moment; holds for what comes from then on.
struct Faults {
  bool cut = false;                         // datagrams are lost, a stream's bytes wait until it is mended
  milliseconds least{0}, most{0};           // each is late by this, evenly between the two
  double drop = 0, twice = 0, late = 0;     // chances, of datagrams
  milliseconds lateBy{50};                  // that a late one stays behind, others overtake it
  std::optional<std::size_t> resetAfter{};  // so many bytes of a connection; then both its ends are reset
};

// Between two processes that talk by UDP. Each has its true address, and one at which the other finds it.
class UdpRelay {
 public:
  struct End {
    transport::Address real, seen;
  };
  static constexpr std::size_t kMostHeld = 4096;  // datagrams on their way; past it they are lost
  UdpRelay(transport::Scheduler& scheduler, const End& one, const End& other, std::uint64_t seed);

  Faults there, back;  // from the one to the other, and back
  struct Counts {
    std::uint64_t passed = 0, lost = 0, doubled = 0, bytes = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  transport::Task<> carry(transport::Datagrams& in, transport::Datagrams& out, std::uint64_t to,
                          const Faults& faults);
  void land();

  transport::Scheduler& scheduler_;
  transport::Datagrams atOther_, atOne_;  // where the one finds the other, and the other way
  std::mt19937_64 dice_;
  Counts counts_;
  struct Flying {
    transport::Datagrams* out;
    std::uint64_t to;
    std::string bytes;
  };
  std::multimap<transport::Moment, Flying> flying_;
  transport::Call land_;
  transport::Group running_;
};

// Between clients and one TCP listener.
class TcpRelay {
 public:
  static constexpr std::size_t kMostConnections = 1024;  // past it they are reset
  TcpRelay(transport::Scheduler& scheduler, transport::Unsent& unsent, const transport::Address& listen,
           const transport::Address& to, std::uint64_t seed);
  ~TcpRelay();

  Faults there, back;   // towards the listener, and from it
  bool refuse = false;  // new connections are reset at once
  void resetAll();      // all that are open
  struct Counts {
    std::uint64_t connections = 0, refused = 0, reset = 0, unreached = 0, bytesThere = 0, bytesBack = 0;
  };
  const Counts& counts() const { return counts_; }
  std::size_t open() const { return pairs_.size(); }

 private:
  struct Pair;
  transport::Task<> listen();
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> accepted);
  transport::Task<> carry(Pair& pair, transport::Connection& in, transport::Connection& out,
                          const Faults& faults, std::uint64_t& bytes);

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  const transport::Address to_;
  std::mt19937_64 dice_;
  Counts counts_;
  std::list<Pair*> pairs_;
  transport::Listener listener_;
  transport::Group running_;
};

// UDP relays between each two of so many members, on 127.0.NET.0/24.
class Mesh {
 public:
  Mesh(transport::Scheduler& scheduler, int net, unsigned members, std::uint64_t seed);
  transport::Address real(unsigned member) const;
  transport::Address seen(unsigned member, unsigned by) const;  // where `by` finds it
  std::string realText(unsigned member) const;
  std::string peersText(unsigned member) const;  // a list of texts, as the operator's file has it
  Faults& way(unsigned from, unsigned to);
  void all(const Faults& faults);
  // Members of the group are cut off from all others, or all are together again.
  void part(const std::vector<unsigned>& group);
  void heal() { all({}); }

 private:
  const int net_;
  const unsigned members_;
  std::map<std::pair<unsigned, unsigned>, std::unique_ptr<UdpRelay>> relays_;  // the lower number first
};

}  // namespace paddletrack::standin
