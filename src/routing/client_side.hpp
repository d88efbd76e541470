#pragma once

#include <list>
#include <memory>
#include <optional>
#include <unordered_map>

#include "protocol/thrift.hpp"
#include "routing/desk.hpp"
#include "routing/exchange.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

// Whether this controller is in service, as its front layer and its clients are to see it.
class Gate {
 public:
  virtual ~Gate() = default;
  virtual bool beat() = 0;  // a heartbeat is being answered: is it good?
  // A request has come: none, and it is taken; else it is throttled, to come back after so long (0: not
  // told).
  virtual std::optional<Span> turnsAway() = 0;
};

// Takes requests from clients and writes their answers.
class ClientSide {
 public:
  struct Bounds {
    std::size_t connections = 1;
    std::size_t frame = 0;   // bytes of one request
    std::size_t unsent = 0;  // bytes of answers beyond which a connection's next requests wait
    // A connection has proven useless when it has sent no whole message for so long, from its start or from
    // a message's first byte; and when it was idle for longer than clients keep what they do not use.
    Span whole{std::chrono::milliseconds(1500)}, idle{std::chrono::seconds(5)};
  };
  ClientSide(transport::Scheduler& scheduler, transport::Unsent& unsent, const transport::Address& address,
             const Bounds& bounds, Desk& desk, const Say& say, Gate* gate = nullptr);

  void guard(Gate* gate) { gate_ = gate; }
  std::size_t unsent() const;  // bytes of answers that the kernel has not taken
  std::size_t coming() const;  // connections that have just come or are midway in a message
  std::size_t connected() const { return connected_.size(); }
  // The end: who waits in the backlog is let in, then nobody; a connection ends where nothing is open on it
  // now. To be called until none is left.
  void close();
  bool closing() const { return closing_; }
  std::size_t ending() const {  // that have not ended yet, and the listener
    return connected_.size() + lingering_.size() + (listener_ ? 1 : 0);
  }
  std::string counts() const;  // for the log

 private:
  class Session;
  transport::Task<> listen();
  bool crowded() const;
  void makeRoom(bool ahead);  // before the house is full
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> accepted);

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  const Bounds bounds_;
  Desk& desk_;
  const Say& say_;
  Gate* gate_;
  std::uint32_t taken_ = 0;
  std::optional<transport::Listener> listener_;
  bool closing_ = false;
  std::list<Session*> connected_;  // in the order they came
  std::list<Session*> lingering_;  // half-closed, in the order in which they were; they count as connections
  transport::Signal room_;
  struct Counts {
    std::uint64_t accepted = 0, refused = 0, unreadable = 0, unfinished = 0, idle = 0, pushedOut = 0;
  } counts_;
  transport::Group sessions_;
};

}  // namespace paddletrack::routing
