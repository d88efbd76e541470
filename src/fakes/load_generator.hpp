// Clients of controllers, and the load balancer in front of the controllers that sends health checks.
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

/// Sends requests at a given mean rate to the controllers that their heartbeats report as in service, and
/// records the outcome of each request.
class LoadGenerator {
 public:
  /// Requests of one kind: class and tenant as in the settings, and the range of their execution time on an
  /// engine.
  struct RequestProfile {
    std::string requestClass, tenant;
    double weight = 1;  ///< Share of the generated requests, relative to the other profiles.
    milliseconds minDuration{5}, maxDuration{30};
    milliseconds timeout{3000};
    std::string extraScript{};  ///< Additional assignments of the fake engine's script.
    unsigned tableGroup = 3;    ///< The table group that the statement reads.
  };
  struct Request {
    std::string reference;
    std::size_t profile = 0;
    std::size_t controller = 0;
    transport::TimePoint sentAt{};
    transport::TimePoint endedAt{};
    unsigned answerCount = 0;  ///< More than one answer is a fault of the controller.
    bool lost = false;         ///< The connection ended or the client timed out without an answer.
    bool resent = false;       ///< Raced with a close and was sent again, as clients may do.
    bool clientGone = false;
    Reply::Outcome outcome = Reply::Outcome::exception;
    std::optional<std::int64_t> retryAfterMs;
  };
  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t open = 0;
    std::uint64_t lost = 0;
    std::uint64_t duplicateAnswers = 0;
    std::uint64_t unsolicitedAnswers = 0;             ///< Answers that match no request.
    std::array<std::uint64_t, 4> answersByOutcome{};  ///< Indexed by Reply::Outcome.
  };
  /// How a client abandons a request.
  enum class AbandonMode { revoke, close, halfClose, reset };

  /// Starts to send heartbeats to all `addresses`, which are those of the controllers, numbered from 0. The
  /// scheduler and the memory budget must outlive the generator.
  LoadGenerator(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                std::vector<transport::Address> addresses, std::uint64_t seed);
  ~LoadGenerator();

  /// Replaces the rate and the profiles. With a rate of 0, requests are sent only by send() and resend().
  void start(double requestsPerSecond, std::vector<RequestProfile> profiles);
  /// Stops generating requests; open requests continue.
  void stop() { requestsPerSecond_ = 0; }
  /// Sends one request immediately. Returns its index in requests().
  std::size_t send(std::size_t profile, std::size_t controller);
  /// Sends a request again under a new reference. Returns the new index.
  std::size_t resend(std::size_t request, std::size_t controller);
  /// Abandons a request. Every mode but `revoke` abandons all requests that are open on its connection.
  /// Returns false if the request is not open, its connection is not established or is being closed, or,
  /// except for `revoke`, output is still unsent.
  bool abandonRequest(std::size_t request, AbandonMode mode);
  /// Closes all connections without open requests, including those of the heartbeats. No heartbeats are sent
  /// until resumeClients().
  void pauseClients();
  void resumeClients() { isPaused_ = false; }

  void setHeartbeatInterval(milliseconds interval) { heartbeatInterval_ = interval; }
  /// With dedicated clients, a generated request whose controller is not in service is not sent; otherwise it
  /// is sent to another controller.
  void setDedicatedClients(bool dedicated) { hasDedicatedClients_ = dedicated; }
  /// Appends the events of all requests to `events`, which must outlive the generator. Also disables the
  /// automatic resend: the test decides whether it resends a request whose connection ended.
  void recordTo(EventLog& events) {
    eventLog_ = &events;
    isResendDisabled_ = true;
  }
  /// Sets the time after a request timeout at which the client closes the connection.
  void setLateTolerance(milliseconds tolerance) { lateTolerance_ = tolerance; }
  /// Disables the automatic resend of requests whose connection ended.
  void disableResend() { isResendDisabled_ = true; }

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
  transport::MemoryBudget& memoryBudget_;
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
  bool isResendDisabled_ = false;
  bool isPaused_ = false;
  EventLog* eventLog_ = nullptr;
  std::string retriedReference_{};  // Reference of the request that resend() is repeating; otherwise empty.
  std::deque<Request> requests_;
  Counters counters_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::fakes
