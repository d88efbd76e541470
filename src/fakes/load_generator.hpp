// Clients with a front layer before them: jobs at a rate over the controllers in service, and books of each
// job.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fakes/event_log.hpp"
#include "protocol/thrift.hpp"
#include "transport/connection.hpp"

namespace paddletrack::fakes {

using std::chrono::milliseconds;
using Reply = protocol::thrift::Reply;

class LoadGenerator {
 public:
  // A kind of job: its type and customer as in the settings; it takes from `least` to `most` on its executor.
  struct RequestProfile {
    std::string requestClass, tenant;
    double weight = 1;
    milliseconds minDuration{5}, maxDuration{30};
    milliseconds timeout{3000};
    std::string extraScript{};  // more words for the executor
    unsigned tableGroup = 3;    // of tables, that it reads
  };
  struct Request {
    std::string reference;
    std::size_t profile = 0, controller = 0;
    transport::TimePoint sentAt{}, endedAt{};
    unsigned answerCount = 0;  // that came; more than one is wrong
    bool lost = false;         // its connection ended, or its time, without one
    bool resent = false;       // it crossed a close and was sent a second time, as clients may
    bool clientGone = false;   // its client left
    Reply::Outcome outcome = Reply::Outcome::exception;
    std::optional<std::int64_t> retryAfterMs;
  };
  struct Counters {
    std::uint64_t sent = 0, open = 0, lost = 0, duplicateAnswers = 0,
                  unsolicitedAnswers = 0;             // unasked: answers to nothing
    std::array<std::uint64_t, 4> answersByOutcome{};  // as Heard::What, of jobs
  };

  LoadGenerator(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                std::vector<transport::Address> addresses, std::uint64_t seed);
  ~LoadGenerator();

  void start(double requestsPerSecond,
             std::vector<RequestProfile> profiles);               // replaces what was begun before
  void stop() { requestsPerSecond_ = 0; }                         // no new jobs; open ones go on
  std::size_t send(std::size_t profile, std::size_t controller);  // one job at once; its number
  void setHeartbeatInterval(milliseconds interval) { heartbeatInterval_ = interval; }
  // Each controller has clients of its own: their jobs go nowhere while it is not in service, else to those
  // that are.
  void setDedicatedClients(bool dedicated) { hasDedicatedClients_ = dedicated; }
  // All that becomes of jobs. A job whose connection ends is then left to its test, also to send it again.
  void recordTo(EventLog& events) { eventLog_ = &events, sendsOnce_ = true; }
  std::size_t resend(std::size_t request, std::size_t controller);  // with a reference of its own
  enum class Departure { revoke, close, halfClose, reset };
  // Its client gives it up; but for a revoke, all that is open on its connection. False: it is not open, or
  // its connection is not up.
  bool departClient(std::size_t request, Departure departure);
  void pauseClients();  // closes all connections on which nothing is open, those of the heartbeats too, until
                        // `wake`
  void resumeClients() { isPaused_ = false; }
  void setLateTolerance(milliseconds tolerance) {
    lateTolerance_ = tolerance;
  }                                            // past a job's time: then its client closes
  void disableResend() { sendsOnce_ = true; }  // no job a second time, whatever became of its connection

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
  transport::Task<> runHeartbeats(std::size_t controller);
  transport::Task<> runConnection(std::unique_ptr<ClientConnection> connection);
  void assignConnection(std::size_t request);
  void onReply(std::size_t request, const Reply& reply);
  void recordAnswer(std::size_t request, const Reply& reply);
  void onRequestLost(std::size_t request, const char* reason);
  void onClientGone(std::size_t request, const char* reason);
  void recordEvent(Event::Kind kind, std::size_t request, const char* detail, std::string body = {});

  transport::Scheduler& scheduler_;
  transport::OutputBudget& unsent_;
  std::vector<Controller> controllers_;
  std::vector<RequestProfile> profiles_;
  double requestsPerSecond_ = 0;
  milliseconds heartbeatInterval_{100}, lateTolerance_{400};
  std::minstd_rand random_;
  std::uint64_t lastReference_;
  std::size_t nextController_ = 0;
  bool isDestroying_ = false, hasDedicatedClients_ = false, sendsOnce_ = false, isPaused_ = false;
  EventLog* eventLog_ = nullptr;
  std::string retriedReference_{};  // reference of the job that is sent again just now
  std::deque<Request> requests_;
  Counters counters_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::fakes
