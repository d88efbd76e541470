// The experiments of paddletrack_loadtest and the helpers that they share.
#pragma once

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "fakes/admin_connection.hpp"
#include "fakes/fake_fleet.hpp"
#include "fakes/test_scheduler.hpp"
#include "loadtest/process_statistics.hpp"

namespace paddletrack::loadtest {

using Json = nlohmann::json;
using namespace std::chrono_literals;

using fakes::TestScheduler;

/// A connection to the admin socket of a controller that waits for responses and follows the controller's
/// state. The loop must outlive it.
class AdminClient {
 public:
  AdminClient(TestScheduler& loop, const std::string& adminAddress)
      : loop_(loop), connection_(loop, loop.memoryBudget, adminAddress) {
    connection_.onLine = [this](const std::string& line) { onLine(line); };
  }
  /// Sends a request and returns the response, or null if there is none within five seconds.
  Json sendRequest(Json request) {
    request["v"] = 1;
    request["id"] = ++lastRequestId_;
    response_ = nullptr;
    connection_.send(request.dump() + "\n");
    loop_.runUntil([&] { return !response_.is_null() || connection_.isClosed; }, 5s);
    return response_;
  }
  /// Returns whether the state was reported before the timeout.
  bool waitForState(const std::string& state, std::chrono::milliseconds timeout) {
    return loop_.runUntil([&] { return state_ == state; }, timeout);
  }
  const std::string& state() const { return state_; }
  /// When the current state was first reported.
  transport::TimePoint stateChangedAt() const { return stateChangedAt_; }
  /// Called with each status report that the controller pushes, if set.
  std::function<void(const Json& status)> onProgress;

 private:
  void onLine(const std::string& line) {
    const Json message = Json::parse(line);
    if (message.contains("ok") && message["id"] == lastRequestId_) response_ = message;
    if (!message.contains("status")) return;
    const std::string state = message["status"]["state"];
    if (state != state_) {
      state_ = state;
      stateChangedAt_ = loop_.now();
    }
    if (onProgress && message.contains("event")) onProgress(message["status"]);
  }

  TestScheduler& loop_;
  fakes::AdminConnection connection_;
  int lastRequestId_ = 0;
  Json response_;
  std::string state_;
  transport::TimePoint stateChangedAt_{};
};

inline double toMilliseconds(transport::Clock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// The value below which `fraction` of the values lie; 0 if there are none.
inline double quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

// The experiments. Each prints its results and returns the exit code of the program: 0 if its checks pass.
int runDemo(const std::string& controllerProgram, unsigned controllerCount, double requestsPerSecond,
            double durationSeconds);
int measureDrain(const std::string& controllerProgram, unsigned roundCount);
int measureRoll(const std::string& controllerProgram, double requestsPerSecond);
int measureAddressFailover(unsigned requestsPerCase);
int measureFleet(const std::string& controllerProgram, const std::string& baselineProgram,
                 unsigned engineCount);
int measureAdminOverhead(const std::string& controllerProgram, const std::string& baselineProgram);
int measureRebalance(unsigned fleetCount);
int measurePlacementEffect(const std::string& controllerProgram, unsigned roundCount,
                           double requestsPerSecond, unsigned phaseSeconds);
int measureGossip(const std::string& controllerProgram, const std::vector<unsigned>& fleetSizes,
                  unsigned roundCount);

/// Which fail points (src/failpoint/failpoint.hpp) are made to fail, each in a run of its own.
struct FailPointOptions {
  std::string program;
  std::string singlePoint;     ///< Only this one, as SITE#N=KIND, with the log of the controller.
  std::string pointFilter;     ///< With `exhaustive`: all hits of SITE=KIND.
  bool exhaustive = false;     ///< All points rather than a random sample.
  unsigned maxPoints = 40;     ///< Size of the sample.
  unsigned seed = 1;           ///< Determines the sample.
  unsigned workerCount = 4;    ///< Concurrent runs.
  unsigned loopbackArea = 36;  ///< The runs use 127.AREA.0.0/16.
};
int runFailPoints(const FailPointOptions& options);
int measureSoak(const std::string& controllerProgram, double requestsPerSecond, double durationMinutes);
int measureCounterfactualAccuracy(unsigned scenarioCount, unsigned workerCount, std::uint64_t seed);

struct ColdStartOptions {
  unsigned controllerCount = 200;
  unsigned engineCount = 40;
  double requestsPerSecondPerController = 5;
  /// "all" start together, "seven" in ten are killed and restarted, or "tenths" are restarted in turn.
  std::string pattern = "all";
  bool configHasEndpoints = true;           ///< The configuration holds the endpoint list.
  bool enginesWarmingUp = false;            ///< All engines have just started.
  bool routesToServingControllers = false;  ///< Otherwise each controller has clients of its own.
  unsigned discoveryLatencyMs = 0;          ///< Response time of the endpoint list.
  unsigned discoveryOutageMs = 0;           ///< The endpoint list is down for this time at first.
  unsigned durationSeconds = 15;
  unsigned settleSeconds = 3;
  std::string baselineProgram;  ///< An earlier build of the program to compare with, if any.
  std::string operatorConfig;   ///< The operator's file of the variant "on", if any.
  bool printsJson = false;
};
int measureColdStart(const std::string& controllerProgram, const ColdStartOptions& options);

}  // namespace paddletrack::loadtest
