#pragma once

#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "addresses/address_table.hpp"
#include "model/engine.hpp"
#include "protocol/resp.hpp"
#include "routing/request_context.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

// An engine as it is reached over sockets.
struct EngineEndpoint : Engine {
  std::string id;
  addresses::AddressTable addressTable;
  std::unordered_map<std::string, transport::Address> addressesByName;  // of the routes, by name
  std::size_t pendingConnects = 0;
  std::vector<EngineConnection*> connections;
  std::uint64_t incarnation = 0;  // another with each start and each time it was told to take nothing new
  std::size_t referencedAttempts = 0;  // dispatches to it, of exchanges that are alive
  std::uint64_t attemptsSent = 0;      // dispatches to it, ever
};

// One connection to one executor, from before its dial until it has been given back.
class EngineConnection {
 public:
  explicit EngineConnection(EngineEndpoint& engineEndpoint, std::uint64_t serialNumber)
      : endpoint(engineEndpoint), serial(serialNumber) {}
  EngineEndpoint& endpoint;
  const std::uint64_t serial;
  std::unique_ptr<transport::Connection> stream;  // none: still dialling
  std::string addressName;                        // the address that it is to, once it is up
  Duration connectTime{0};                        // of its dial
  bool hasResponded = false;                      // an answer to a dispatch has come over it
  std::uint64_t stalledPosition = 0;              // when it was last looked at and had taken too little
  std::vector<AttemptContext*> queuedAttempts;    // wait for the dial
  std::unordered_map<std::string, AttemptContext*> openAttempts;
  transport::TimePoint lastUsedAt{};               // when it last took a dispatch
  std::optional<transport::TimePoint> pingSentAt;  // a NOOP is out since then
  bool unresponsive = false;                       // and was not answered in time: takes nothing new
  bool established = false;  // it is up, and if others were silent, something came over it
  bool draining = false;     // takes nothing new, ends when nothing is open
  bool faulted = false;      // of no more use, its executor may be well
  std::optional<transport::TimePoint>
      partialMessageSince;  // the first byte of a message that is not whole came then
  std::list<EngineConnection>::iterator position;

  std::size_t attemptCount() const { return queuedAttempts.size() + openAttempts.size(); }
};

// Dispatches to executors over connections that many share. What ends by itself is told to Ends, always from
// the loop and never from within a call made here.
class EngineConnectionPool {
 public:
  class AttemptListener {
   public:
    virtual ~AttemptListener() = default;
    virtual void onAttemptFinished(AttemptContext& attemptContext, AttemptOutcome outcome) = 0;
  };
  struct Limits {
    std::size_t maxAttemptsPerConnection = 1;  // dispatches on one connection
    std::size_t maxConnections = 1;            // connections in all
    Duration connectTimeout{0}, idleTimeout{0};
    std::vector<addresses::AddressFamily> familyPreference = addresses::ConnectOptions{}.familyPreference;
  };

  EngineConnectionPool(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                       const Limits& limits, AttemptListener& listener, const Logger& logger);

  void sendAttempt(AttemptContext& attemptContext);
  void abandonAttempt(AttemptContext& attemptContext);  // that may have left; nothing more of it will be told
  bool recallAttempt(AttemptContext& attemptContext);   // true: nothing whole of it has left, nor will
  void updatePriority(AttemptContext& attemptContext);  // as its exchange now says
  std::string formatCounts() const;
  void drainConnections(EngineEndpoint& endpoint);  // its connections take nothing new
  // Its addresses as they are now. What is open on one that has gone may still end.
  void updateAddresses(EngineEndpoint& endpoint, const std::vector<std::string>& names, bool isNewProcess);
  Duration addressClock() const;  // of what is known of addresses
  void setFamilyPreference(std::vector<addresses::AddressFamily> preference) {
    connectOptions_.familyPreference = std::move(preference);
  }

 private:
  EngineConnection* selectConnection(AttemptContext& attemptContext);
  void writeAttempt(EngineConnection& connection, AttemptContext& attemptContext);
  transport::Task<> runConnection(EngineConnection& connection);
  transport::Task<> serveConnection(EngineConnection& connection);
  struct ConnectAttempt;
  transport::Task<bool> connectToEndpoint(EngineConnection& connection);
  transport::Task<> runConnectAttempt(EngineConnection& connection, ConnectAttempt& attempt,
                                      addresses::ConnectRace& race, transport::Signal& attemptFinished);
  void recordConnectOutcome(EngineEndpoint& endpoint, const std::string& addressName,
                            addresses::ConnectOutcome outcome, std::optional<Duration> connectTime = {});
  void onBytesReceived(EngineConnection& connection);
  bool keepQuietConnection(EngineConnection& connection);
  bool canCarry(const EngineConnection& connection, const AttemptContext& attemptContext) const;
  bool canSend(const AttemptContext& attemptContext) const;
  void onEstablished(EngineConnection& connection);
  void readResponses(EngineConnection& connection);
  void onResponse(EngineConnection& connection, const protocol::resp::Answer& answer);
  void finishAttempt(EngineConnection& connection, AttemptContext& attemptContext, AttemptOutcome outcome);
  void onConnectionLost(EngineConnection& connection);
  [[noreturn]] void failStalledMessage(EngineConnection& connection);
  void markFaulted(EngineConnection& connection);

  transport::Scheduler& scheduler_;
  transport::OutputBudget& outputBudget_;
  const Limits limits_;
  AttemptListener& attemptListener_;
  const Logger& logger_;
  std::uint64_t lastSerial_ = 0, faultedConnections_ = 0, reroutedAttempts_ = 0;
  addresses::ConnectOptions connectOptions_;
  addresses::ConnectLimiter connectLimiter_;
  std::size_t parallelConnects_ = 0;  // dials out beside the first of their races
  std::minstd_rand random_;
  std::list<EngineConnection> connections_;
  std::vector<AttemptContext*> unplacedAttempts_;  // no descriptor was left for them
  transport::ScheduledCall reportUnplacedCall_;
  transport::TaskGroup connectionTasks_;
};

}  // namespace paddletrack::routing
