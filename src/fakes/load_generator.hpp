// Clients of controllers, and the layer in front of the controllers that sends health checks.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fakes/event_log.hpp"
#include "protocol/thrift.hpp"
#include "transport/connection.hpp"

namespace paddletrack::fakes {

using std::chrono::milliseconds;
using Reply = protocol::thrift::Reply;

/// Sends requests at a rate to the controllers that are in service, by their heartbeats, and records what
/// becomes of each request.
class LoadGenerator {
 public:
  /// A kind of request: its class and tenant as in the settings, and how long it takes on an engine.
  struct RequestProfile {
    std::string requestClass, tenant;
    double weight = 1;  ///< Share of this profile, relative to the weights of the others.
    milliseconds minDuration{5}, maxDuration{30};
    milliseconds timeout{3000};
    std::string extraScript{};  ///< Further words of the script for the fake engine.
    unsigned tableGroup = 3;    ///< The group of tables that it reads.
  };
  struct Request {
    std::string reference;
    std::size_t profile = 0;
    std::size_t controller = 0;
    transport::TimePoint sentAt{};
    transport::TimePoint endedAt{};
    unsigned answerCount = 0;  ///< More than one is a fault of the controller.
    bool lost = false;         ///< Its connection or its time ended without an answer.
    bool resent = false;       ///< It crossed a close and was sent a second time, as clients may do.
    bool clientGone = false;
    Reply::Outcome outcome = Reply::Outcome::exception;
    std::optional<std::int64_t> retryAfterMs;
  };
  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t open = 0;
    std::uint64_t lost = 0;
    std::uint64_t duplicateAnswers = 0;
    std::uint64_t unsolicitedAnswers = 0;             ///< Answers to no known request.
    std::array<std::uint64_t, 4> answersByOutcome{};  ///< Indexed by Reply::Outcome.
  };
  /// The ways in which a client abandons a request.
  enum class AbandonMode { revoke, close, halfClose, reset };

  /// Sends heartbeats to all addresses (the controllers, numbered from 0) from now on. The scheduler and the
  /// output budget must outlive the generator.

  LoadGenerator(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                std::vector<transport::Address> addresses, std::uint64_t seed);
  ~LoadGenerator();

  /// Replaces the previous rate and profiles. With a rate of 0 only send() sends.
  void start(double requestsPerSecond, std::vector<RequestProfile> profiles);
  /// Sends no new requests; open ones continue.
  void stop() { requestsPerSecond_ = 0; }
  /// Sends one request now. Returns its index in requests().
  std::size_t send(std::size_t profile, std::size_t controller);
  /// Sends a request again under a new reference. Returns the new index.
  std::size_t resend(std::size_t request, std::size_t controller);
  /// Abandons a request, and except for a revoke all that are open on its connection. Returns false if the
  /// request is not open or its connection is not established.
  bool abandonRequest(std::size_t request, AbandonMode departure);
  /// Closes all connections without open requests, also those of the heartbeats, until resumeClients().
  void pauseClients();
  void resumeClients() { isPaused_ = false; }

  void setHeartbeatInterval(milliseconds interval) { heartbeatInterval_ = interval; }
  /// With dedicated clients a request whose controller is not in service is not sent; otherwise it goes to
  /// another controller.
  void setDedicatedClients(bool dedicated) { hasDedicatedClients_ = dedicated; }
  /// Appends what becomes of requests to `events`, which must outlive the generator. Resending a request
  /// whose connection ended is then left to the test.
  void recordTo(EventLog& events) {
    eventLog_ = &events;
    sendsOnce_ = true;
  }
  /// How long after a request's timeout its client closes the connection.
  void setLateTolerance(milliseconds tolerance) { lateTolerance_ = tolerance; }
  /// No request is sent a second time when its connection ends.
  void disableResend() { sendsOnce_ = true; }

  const Counters& counters() const { return counters_; }
  const std::deque<Request>& requests() const { return requests_; }
  std::size_t openRequestsAt(std::size_t controller) const { return controllers_[controller].openRequests; }
  bool isInService(std::size_t controller) const { return controllers_[controller].isInService; }

 private:
  class ClientConnection;
  struct Controller {
    transport::Address address;
    bool isInService = false;
    std::size_t openRequests = 0;
    std::vector<ClientConnection*> connections;
  };
  transport::Task<> generateRequests();
  void sendToNextController(std::size_t profile);
  std::size_t drawProfile();
  transport::Task<> runHeartbeats(std::size_t controller);
  transport::Task<> exchangeHeartbeats(transport::Connection& connection, Controller& controller);
  transport::Task<> runConnection(std::unique_ptr<ClientConnection> connection);
  void assignConnection(std::size_t request);
  void onReply(std::size_t request, const Reply& reply);
  void closeRequest(Request& request);
  void recordAnswer(std::size_t request, const Reply& reply);
  void onRequestLost(std::size_t request, const char* reason);
  void onClientGone(std::size_t request, const char* reason);
  void recordEvent(Event::Kind kind, std::size_t request, const char* detail, std::string body = {});

  transport::Scheduler& scheduler_;
  transport::OutputBudget& unsent_;
  std::vector<Controller> controllers_;
  std::vector<RequestProfile> profiles_;
  double requestsPerSecond_ = 0;
  milliseconds heartbeatInterval_{100};
  milliseconds lateTolerance_{400};
  std::minstd_rand random_;
  std::uint64_t lastReference_;
  std::size_t nextController_ = 0;
  bool isDestroying_ = false;
  bool hasDedicatedClients_ = false;
  bool sendsOnce_ = false;
  bool isPaused_ = false;
  EventLog* eventLog_ = nullptr;
  std::string retriedReference_{};  // Set while resend() sends: the reference of the repeated request.
  std::deque<Request> requests_;
  Counters counters_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::fakes
