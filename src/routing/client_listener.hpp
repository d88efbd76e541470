#pragma once

#include <list>
#include <memory>
#include <optional>
#include <unordered_map>

#include "protocol/thrift.hpp"
#include "routing/request_context.hpp"
#include "routing/request_router.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

// Whether this controller is in service, as its front layer and its clients are to see it.
class ServiceGate {
 public:
  virtual ~ServiceGate() = default;
  virtual bool onHeartbeat() = 0;  // a heartbeat is being answered: is it good?
  // A request has come: none, and it is taken; else it is throttled, to come back after so long (0: not
  // told).
  virtual std::optional<Duration> checkRejection() = 0;
};

// Takes requests from clients and writes their answers.
class ClientListener {
 public:
  struct Limits {
    std::size_t maxConnections = 1;
    std::size_t maxFrameBytes = 0;   // bytes of one request
    std::size_t maxUnsentBytes = 0;  // bytes of answers beyond which a connection's next requests wait
    // A connection has proven useless when it has sent no whole message for so long, from its start or from
    // a message's first byte; and when it was idle for longer than clients keep what they do not use.
    Duration messageTimeout{std::chrono::milliseconds(1500)}, idleTimeout{std::chrono::seconds(5)};
  };
  ClientListener(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                 const transport::Address& address, const Limits& limits, RequestRouter& router,
                 const Logger& logger, ServiceGate* serviceGate = nullptr);

  void setServiceGate(ServiceGate* serviceGate) { serviceGate_ = serviceGate; }
  std::size_t unsentBytes() const;              // bytes of answers that the kernel has not taken
  std::size_t incomingConnectionCount() const;  // connections that have just come or are midway in a message
  std::size_t connectionCount() const { return activeSessions_.size(); }
  // The end: who waits in the backlog is let in, then nobody; a connection ends where nothing is open on it
  // now. To be called until none is left.
  void close();
  bool isClosing() const { return isClosing_; }
  std::size_t openSocketCount() const {  // that have not ended yet, and the listener
    return activeSessions_.size() + lingeringSessions_.size() + (listener_ ? 1 : 0);
  }
  std::string formatCounts() const;  // for the log

 private:
  class ClientSession;
  transport::Task<> acceptConnections();
  bool isNearConnectionLimit() const;
  void evictIdleSession(bool early);  // before the house is full
  transport::Task<> serveConnection(std::unique_ptr<transport::Descriptor> acceptedSocket);

  transport::Scheduler& scheduler_;
  transport::OutputBudget& outputBudget_;
  const Limits limits_;
  RequestRouter& router_;
  const Logger& logger_;
  ServiceGate* serviceGate_;
  std::uint32_t requestCount_ = 0;
  std::optional<transport::Listener> listener_;
  bool isClosing_ = false;
  std::list<ClientSession*> activeSessions_;  // in the order they came
  std::list<ClientSession*>
      lingeringSessions_;  // half-closed, in the order in which they were; they count as connections
  transport::Signal slotFreed_;
  struct Counts {
    std::uint64_t accepted = 0, rejectedRequests = 0, unreadable = 0, incomplete = 0, idle = 0, evicted = 0;
  } counts_;
  transport::TaskGroup sessionTasks_;
};

}  // namespace paddletrack::routing
