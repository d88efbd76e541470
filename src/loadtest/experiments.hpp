// What the rig's experiments share.
#pragma once

#include <sys/types.h>

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

namespace paddletrack::loadtest {

using Json = nlohmann::json;
using namespace std::chrono_literals;

using fakes::TestScheduler;

// A door that answers, with the moment at which each state was first told.
class AdminClient {
 public:
  AdminClient(TestScheduler& loop, const std::string& adminAddress)
      : loop_(loop), connection_(loop, loop.outputBudget, adminAddress) {
    connection_.onLine = [this](const std::string& line) { onLine(line); };
  }
  Json sendRequest(Json request) {
    request["v"] = 1;
    request["id"] = ++lastRequestId_;
    response_ = nullptr;
    connection_.send(request.dump() + "\n");
    loop_.runUntil([&] { return !response_.is_null() || connection_.isClosed; }, 5s);
    return response_;
  }
  bool waitForState(const std::string& state, std::chrono::milliseconds timeout) {
    return loop_.runUntil([&] { return state_ == state; }, timeout);
  }
  const std::string& state() const { return state_; }
  transport::TimePoint stateChangedAt() const { return stateChangedAt_; }
  std::function<void(const Json& status)> onProgress;

 private:
  void onLine(const std::string& line) {
    const Json message = Json::parse(line);
    if (message.contains("ok") && message["id"] == lastRequestId_) response_ = message;
    if (!message.contains("status")) return;
    const std::string state = message["status"]["state"];
    if (state != state_) state_ = state, stateChangedAt_ = loop_.now();
    if (onProgress && message.contains("event")) onProgress(message["status"]);
  }

  TestScheduler& loop_;
  fakes::AdminConnection connection_;
  int lastRequestId_ = 0;
  Json response_;
  std::string state_;
  transport::TimePoint stateChangedAt_{};
};

// A process's resident memory in MB, from /proc/PID/status: all of it (VmRSS) and its own (RssAnon, without
// the shared libraries' pages). Zeros for a process that has gone.
struct ResidentMemory {
  double totalMb = 0, anonymousMb = 0;
};
inline ResidentMemory readResidentMemory(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  ResidentMemory memory;
  for (std::string line; std::getline(file, line);) {
    std::istringstream fields(line);
    std::string key;
    double value = 0;
    fields >> key >> value;
    if (key == "VmRSS:") memory.totalMb = value / 1024;
    if (key == "RssAnon:") memory.anonymousMb = value / 1024;
  }
  return memory;
}

inline double toMilliseconds(transport::Clock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

inline double quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

// The experiments; each prints its table and returns an exit code: 0 what it is meant to show holds.
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
// Faults at numbered points (src/failpoint/failpoint.hpp): all of them, `most` of them drawn by `seed`, or
// the one named by `only` as SITE#N=KIND (`of`: all hits of SITE=KIND), with the controller's log; so many at
// once. Loopback 127.AREA.0.0/16.
struct FailPointOptions {
  std::string program, singlePoint, pointFilter;
  bool exhaustive = false;
  unsigned maxPoints = 40, seed = 1, workerCount = 4, loopbackArea = 36;
};
int runFailPoints(const FailPointOptions& options);
int measureSoak(const std::string& controllerProgram, double requestsPerSecond, double durationMinutes);
int measureCounterfactualAccuracy(unsigned scenarioCount, unsigned workerCount, std::uint64_t seed);

struct ColdStartOptions {
  unsigned controllerCount = 200, engineCount = 40;
  double requestsPerSecondPerController = 5;  // jobs, for each controller
  std::string pattern = "all";     // start together; "seven" in ten killed; "tenths" restarted in turn
  bool configHasEndpoints = true;  // the configuration holds the list
  bool enginesWarmingUp = false;   // all executors have just started
  bool routesToServingControllers =
      false;                        // all jobs go to those in service; else to their clients' own controller
  unsigned discoveryLatencyMs = 0;  // one answer of the list service
  unsigned discoveryOutageMs = 0;   // it is down for so long first
  unsigned durationSeconds = 15, settleSeconds = 3;
  std::string baselineProgram;  // an earlier build of the program
  std::string operatorConfig;   // what it is compared with, as text
  bool printsJson = false;
};
int measureColdStart(const std::string& controllerProgram, const ColdStartOptions& options);

}  // namespace paddletrack::loadtest
