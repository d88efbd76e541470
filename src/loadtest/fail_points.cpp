// Makes one fail point after another fail (src/failpoint/failpoint.hpp), each in a run of its own. In every
// run a controller goes through the same script with fake engines, a fake endpoint list, clients and an
// operator.
#include <dirent.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <set>

#include "base/error.hpp"
#include "loadtest/experiments.hpp"

namespace paddletrack::loadtest {
namespace {

using fakes::LoadGenerator;
using Disposition = protocol::thrift::Reply::Outcome;

// A request of some milliseconds may wait for a connect timeout (250 ms) and an injected delay (300 ms), also
// on a busy machine. Its client waits for 3 s.
constexpr auto kMaxRequestLatency = 2500ms;
constexpr int kMaxCommandTries = 3;
constexpr int kMaxServingTries = 20;

// Indices of the request profiles that FailPointRun::runScript() sets up.
constexpr std::size_t kLookUpClass = 0;
constexpr std::size_t kOrderClass = 1;
constexpr std::size_t kLoadClass = 2;
constexpr std::size_t kReportClass = 3;
constexpr std::size_t kLongReportClass = 4;

struct FailPoint {
  std::string site;
  unsigned hit = 1;
  std::string kind;
  std::string toString() const { return site + "#" + std::to_string(hit) + "=" + kind; }
  // Whether a fault here may end a client's connection. The client then gets no answer, and can tell.
  bool affectsClientConnection() const {
    return site.starts_with("client.") || site.starts_with("front.") || site == "table.tasks" ||
           site == "table.input" || site == "table.timers" || site == "table.unsent";
  }
};

struct Verdict {
  bool fired = false;        // The fail point was reached.
  bool exitedEarly = false;  // The process exited before it was asked to stop.
  std::string failure;       // Empty if the run passed.
  std::string log;           // Of the controller.
};

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::size_t countDescriptors(pid_t process) {
  std::size_t count = 0;
  if (DIR* folder = ::opendir(("/proc/" + std::to_string(process) + "/fd").c_str())) {
    while (const dirent* item = ::readdir(folder)) count += item->d_name[0] != '.';
    ::closedir(folder);
  }
  return count;
}

// One run. The first failure is kept.
class FailPointRun {
 public:
  FailPointRun(const FailPointOptions& options, int networkIndex, const FailPoint* point) : point_(point) {
    options_.program = options.program;
    options_.subnet = networkIndex;
    options_.engines = 2;
    options_.maxSockets = 128;
    options_.drainNotice = "50ms";
    reportPath_ = folder_.path() + "/report";
    options_.launcher = {"/usr/bin/env", "PADDLETRACK_FAULT_REPORT=" + reportPath_,
                         "PADDLETRACK_FAULT=" + (point ? point->toString() : std::string())};
  }

  Verdict run() {
    Verdict verdict;
    runScript();
    verdict.log = readFile(fleet_->logPath(0));
    verdict.fired = readReport().find("fired") != std::string::npos;
    verdict.exitedEarly = exitedEarly_;
    verdict.failure = failure_;
    return verdict;
  }
  std::string readReport() const { return readFile(reportPath_); }
  // Descriptors of the controller that belong to no connection.
  std::size_t ownDescriptors() const { return ownDescriptors_; }
  void setExpectedDescriptors(std::size_t expected) { expectedDescriptors_ = expected; }

 private:
  void recordFailure(const std::string& failure) {
    if (failure_.empty()) failure_ = failure;
  }
  void check(bool condition, const std::string& failure) {
    if (!condition) recordFailure(failure);
  }
  bool hasExited() { return fleet_->controller(0).exitCode().has_value(); }
  bool runUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
    return loop_.runUntil([&] { return condition() || hasExited(); }, timeout) && !hasExited();
  }
  // Sends one request of each class at once and waits until all have ended.
  void sendRequests(std::initializer_list<std::size_t> requestClasses, const char* stage) {
    if (hasExited()) return;
    const std::size_t firstRequest = loadGenerator_->requests().size();
    for (const std::size_t requestClass : requestClasses) loadGenerator_->send(requestClass, 0);
    runUntil(
        [&] {
          return std::all_of(loadGenerator_->requests().begin() + static_cast<long>(firstRequest),
                             loadGenerator_->requests().end(), [](const LoadGenerator::Request& request) {
                               return request.answerCount > 0 || request.lost;
                             });
        },
        6s);
    if (hasExited()) return;
    for (std::size_t index = firstRequest; index < loadGenerator_->requests().size(); ++index) {
      const LoadGenerator::Request& request = loadGenerator_->requests()[index];
      check(request.answerCount > 0 || request.lost, std::string("a request did not end, ") + stage);
      check(request.endedAt - request.sentAt < kMaxRequestLatency,
            "a request took " +
                std::to_string(static_cast<int>(toMilliseconds(request.endedAt - request.sentAt))) + " ms, " +
                stage);
    }
  }

  void runScript() {
    fleet_.emplace(loop_, loop_.memoryBudget, options_);
    fakes::FakeEndpointList secondDiscovery(loop_, loop_.memoryBudget, fleet_->addressOf(251));
    secondDiscovery.publish(fleet_->endpoints(), true);
    loadGenerator_.emplace(loop_, loop_.memoryBudget, fleet_->controllerAddresses(), 5);
    loadGenerator_->setHeartbeatInterval(20ms);
    loadGenerator_->disableResend();
    loadGenerator_->start(0, {{"look-up", "acme", 0, 3ms, 6ms, 3s},
                              {"order", "acme", 0, 3ms, 6ms, 3s},
                              {"load", "acme", 0, 3ms, 6ms, 3s},
                              {"report", "acme", 0, 3ms, 6ms, 3s, "pages=3"},
                              {"report", "acme", 0, 150ms, 150ms, 3s}});
    if (!runUntil([&] { return loadGenerator_->isInService(0); }, 5s)) {
      if (!hasExited()) recordFailure("the controller did not start serving within 5 s");
      return shutDownAndCheck();
    }
    exerciseController();
    shutDownAndCheck();
  }

  void exerciseController() {
    std::optional<AdminClient> adminClient(std::in_place, loop_, fleet_->adminSocketPath(0));
    adminClient->sendRequest({{"do", "status"}});
    sendRequests({kLookUpClass, kOrderClass, kLoadClass, kReportClass}, "at the start");
    changeEndpoints();
    if (!hasExited()) drainAndCancel(adminClient);
    checkServing();
    if (!hasExited()) checkDescriptors(adminClient);
    // The controller is stopped while a request is in flight.
    if (!hasExited()) loadGenerator_->send(kLongReportClass, 0);
    loop_.runFor(20ms);
  }

  // The endpoint list changes; then the configuration names another endpoint list and is reloaded.
  void changeEndpoints() {
    fakes::FakeEndpointList::Endpoint newEndpoint = fleet_->endpoints()[0];
    newEndpoint.id = "s-3";
    fleet_->endpointList().publish({fleet_->endpoints()[1], newEndpoint});
    sendRequests({kLookUpClass, kLoadClass}, "after the endpoint list changed");
    std::string configText = readFile(fleet_->configPath(0));
    const std::string networkPrefix =
        "127." + std::to_string(options_.subnet / 256) + "." + std::to_string(options_.subnet % 256);
    for (std::size_t index = configText.find(networkPrefix + ".250:"); index != std::string::npos;
         index = configText.find(networkPrefix + ".250:"))
      configText.replace(index, networkPrefix.size() + 4, networkPrefix + ".251");
    std::ofstream(fleet_->configPath(0)) << configText;
    fleet_->controller(0).sendSignal(SIGHUP);
    loop_.runFor(50ms);
    sendRequests({kLookUpClass, kLoadClass}, "after SIGHUP");
  }

  // A drain with a request in flight, which is then cancelled. A command whose connection is lost is
  // repeated.
  void drainAndCancel(std::optional<AdminClient>& adminClient) {
    loadGenerator_->send(kLongReportClass, 0);
    loop_.runFor(20ms);
    adminClient.emplace(loop_, fleet_->adminSocketPath(0));
    for (int tries = 0; tries < kMaxCommandTries && !hasExited(); ++tries) {
      const Json response = adminClient->sendRequest({{"do", "drain"}, {"deadline_ms", 2000}});
      if (!response.is_null() && response["ok"] == true) break;
      adminClient.emplace(loop_, fleet_->adminSocketPath(0));
    }
    waitForDrainState(adminClient, "drained");
    for (int tries = 0; tries < kMaxCommandTries && !hasExited(); ++tries) {
      const Json response = adminClient->sendRequest({{"do", "cancel"}});
      if (!response.is_null() && (response["ok"] == true || response["error"]["code"] == "not_draining"))
        break;
      adminClient.emplace(loop_, fleet_->adminSocketPath(0));
    }
    const bool isBack = runUntil([&] { return loadGenerator_->isInService(0); }, 3s);
    if (!isBack && !hasExited()) recordFailure("the controller did not return to service within 3 s");
  }

  // Whatever has failed, the controller must serve as before.
  void checkServing() {
    bool succeeded = false;
    for (int tries = 0; tries < kMaxServingTries && !succeeded && !hasExited(); ++tries) {
      const std::size_t requestIndex = loadGenerator_->requests().size();
      sendRequests({kLookUpClass}, "at the end");
      succeeded = loadGenerator_->requests()[requestIndex].outcome == Disposition::completed &&
                  loadGenerator_->requests()[requestIndex].answerCount == 1;
      if (!succeeded) loop_.runFor(100ms);
    }
    check(succeeded || hasExited(), "the controller does not serve any more");
  }

  // Polls the status, over a new connection if the last one was lost.
  void waitForDrainState(std::optional<AdminClient>& adminClient, const std::string& expectedState) {
    for (const transport::TimePoint endsAt = loop_.now() + 5s; loop_.now() < endsAt && !hasExited();
         loop_.runFor(20ms)) {
      const Json response = adminClient->sendRequest({{"do", "status"}});
      if (response.is_null()) {
        adminClient.emplace(loop_, fleet_->adminSocketPath(0));
      } else if (response["status"]["state"] == expectedState) {
        return;
      }
    }
    if (!hasExited()) recordFailure("the controller did not reach the state " + expectedState);
  }

  // Descriptors that belong to no client, engine or operator must be as many as in the run without a fault.
  void checkDescriptors(std::optional<AdminClient>& adminClient) {
    bool matches = false;
    const bool isFirstRun = expectedDescriptors_ == 0;  // The run that counts them for the others.
    for (int tries = 0; tries < (isFirstRun ? 4 : 25) && !matches && !hasExited(); ++tries) {
      loop_.runFor(60ms);
      const Json status = adminClient->sendRequest({{"do", "status"}}),
                 engines = adminClient->sendRequest({{"do", "engines"}});
      if (status.is_null() || engines.is_null()) {
        adminClient.emplace(loop_, fleet_->adminSocketPath(0));
        continue;
      }
      std::size_t externalDescriptors = status["status"]["connections"];
      for (const Json& engine : engines["engines"])
        externalDescriptors +=
            engine["connections"].get<std::size_t>() + engine["dialling"].get<std::size_t>();
      ownDescriptors_ = countDescriptors(fleet_->controller(0).pid()) - externalDescriptors;
      matches = !isFirstRun && ownDescriptors_ <= expectedDescriptors_;
    }
    check(isFirstRun || matches || hasExited(),
          "descriptors without connections: " + std::to_string(ownDescriptors_) + ", expected at most " +
              std::to_string(expectedDescriptors_) + ", as without the fault");
  }

  void shutDownAndCheck() {
    exitedEarly_ = hasExited();
    if (!exitedEarly_) fleet_->controller(0).sendSignal(SIGTERM);
    if (!loop_.runUntil([&] { return hasExited(); }, 8s))
      return recordFailure("the controller did not exit within 8 s of SIGTERM");
    loop_.runFor(10ms);
    const int code = *fleet_->controller(0).exitCode();
    const std::string logText = readFile(fleet_->logPath(0));
    if (logText.find("Sanitizer") != std::string::npos || logText.find("runtime error") != std::string::npos)
      return recordFailure("a sanitizer reported an error in the log");
    const bool wasKilled = point_ && point_->kind == "kill";
    if (wasKilled && code == 128 + SIGKILL) {
      exitedEarly_ = true;
    } else if (exitedEarly_ || code != 0) {
      exitedEarly_ = true;
      check(code == 1 || code == 2, "expected exit code 1 or 2, found " + std::to_string(code));
      bool hasErrorKind = false;
      for (const ErrorDescription& errorDescription : kErrorDescriptions)
        hasErrorKind = hasErrorKind ||
                       (errorDescription.kind != ErrorKind::unexpected && errorDescription.exitCode == code &&
                        logText.find(std::string("(") + errorDescription.name + ")") != std::string::npos);
      check(hasErrorKind,
            "exit code " + std::to_string(code) + " without an error of a known kind in the log");
    }
    checkAccounting();
    if (exitedEarly_) checkRestart();
  }

  // No request is answered twice, none is lost unless its client can tell, no non-idempotent request is
  // executed twice, and none that was rejected is executed.
  void checkAccounting() {
    loop_.runUntil([&] { return loadGenerator_->counters().open == 0; }, 4s);
    check(loadGenerator_->counters().duplicateAnswers == 0, "a request was answered twice");
    check(loadGenerator_->counters().unsolicitedAnswers == 0, "an answer without a request");
    const bool mayLoseRequests = exitedEarly_ || (point_ && point_->affectsClientConnection());
    for (const LoadGenerator::Request& request : loadGenerator_->requests()) {
      unsigned executions = 0;
      for (std::size_t index = 0; index < options_.engines; ++index)
        executions += fleet_->engine(index).executionCount(request.reference);
      if (request.lost) check(mayLoseRequests, "a request was lost");
      if (request.profile != kLoadClass) continue;
      check(executions <= 1,
            "a request that is not idempotent was executed " + std::to_string(executions) + " times");
      if (request.answerCount == 0) continue;
      if (request.outcome == Disposition::completed)
        check(executions == 1,
              "a request that is not idempotent was reported as completed, but not executed");
      if (request.outcome == Disposition::rejected)
        check(executions == 0, "a request that is not idempotent was rejected, but executed");
    }
  }

  // A controller that is started after an early exit must serve.
  void checkRestart() {
    fleet_->startController(0, {});
    if (!runUntil([&] { return loadGenerator_->isInService(0); }, 5s))
      return recordFailure("the restarted controller did not start serving within 5 s");
    const std::size_t requestIndex = loadGenerator_->requests().size();
    sendRequests({kLookUpClass}, "after the restart");
    check(loadGenerator_->requests()[requestIndex].outcome == Disposition::completed,
          "the restarted controller did not complete a request");
    fleet_->controller(0).sendSignal(SIGTERM);
    loop_.runUntil([&] { return hasExited(); }, 8s);
    check(hasExited() && *fleet_->controller(0).exitCode() == 0,
          "the restarted controller did not exit with 0 within 8 s of SIGTERM");
  }

  const FailPoint* point_;
  TestScheduler loop_;
  fakes::TemporaryDirectory folder_;
  std::string reportPath_;
  fakes::FakeFleetOptions options_;
  std::optional<fakes::FakeFleet> fleet_;
  std::optional<LoadGenerator> loadGenerator_;
  std::string failure_;
  bool exitedEarly_ = false;
  std::size_t ownDescriptors_ = 0;
  std::size_t expectedDescriptors_ = 0;
};

// Reads the fail points that a run without a fault has reached, each with each kind of fault that it
// supports.
std::vector<FailPoint> parseFailPoints(const std::string& report, std::size_t& pointCount,
                                       std::size_t& siteCount) {
  std::vector<FailPoint> points;
  std::istringstream lines(report);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream fields(line);
    std::string tag, siteName, faultKind;
    unsigned hits = 0;
    if (!(fields >> tag >> siteName >> hits) || tag != "site") continue;
    ++siteCount;
    pointCount += hits;
    std::vector<std::string> faultKinds;
    while (fields >> faultKind) faultKinds.push_back(faultKind);
    for (unsigned hit = 1; hit <= hits; ++hit)
      for (const std::string& name : faultKinds) points.push_back({siteName, hit, name});
  }
  return points;
}

struct RunTotals {
  std::size_t runs = 0;
  std::size_t fired = 0;
  std::size_t exitedEarly = 0;
  std::size_t failed = 0;
};

// Runs every n-th point in a process of its own. Writes a line "TAG POINT FAILURE" for each, where TAG is R
// (reached), E (exited early), U (unreached) or W (failed).
void runWorker(const FailPointOptions& options, unsigned workerIndex, std::size_t ownDescriptors,
               const std::vector<FailPoint>& points, int outputFd) {
  for (std::size_t index = workerIndex; index < points.size(); index += options.workerCount) {
    FailPointRun failPointRun(options, static_cast<int>(options.loopbackArea * 256 + 1 + workerIndex),
                              &points[index]);
    failPointRun.setExpectedDescriptors(ownDescriptors);
    const Verdict verdict = failPointRun.run();
    const char tag = !verdict.failure.empty() ? 'W' : !verdict.fired ? 'U' : verdict.exitedEarly ? 'E' : 'R';
    const std::string line =
        std::string(1, tag) + " " + points[index].toString() + " " + verdict.failure + "\n";
    (void)!::write(outputFd, line.data(), line.size());
  }
}

// Runs the point that is given as SITE#N=KIND and prints the log of the controller.
int runSinglePoint(const FailPointOptions& options, int networkIndex) {
  const std::string& text = options.singlePoint;
  const std::size_t hitPosition = text.find('#');
  const std::size_t kindPosition = text.find('=');
  if (hitPosition == std::string::npos || kindPosition == std::string::npos || kindPosition < hitPosition) {
    std::printf("--only: must be SITE#N=KIND\n");
    return 1;
  }
  const FailPoint point{text.substr(0, hitPosition),
                        static_cast<unsigned>(std::atoi(text.c_str() + hitPosition + 1)),
                        text.substr(kindPosition + 1)};
  FailPointRun failPointRun(options, networkIndex, &point);
  const Verdict verdict = failPointRun.run();
  std::printf("%s\n%s: %s%s%s\n", verdict.log.c_str(), point.toString().c_str(),
              verdict.fired ? "" : "not reached; ", verdict.exitedEarly ? "exited; " : "",
              verdict.failure.empty() ? "passed" : verdict.failure.c_str());
  return verdict.failure.empty() ? 0 : 1;
}

// A random sample with at most one hit of each site and kind.
std::vector<FailPoint> samplePoints(const std::vector<FailPoint>& points, unsigned seed,
                                    std::size_t maxPoints) {
  // One hit of each site is drawn first, so that a site that is hit often is not drawn more often.
  std::minstd_rand random(seed);
  std::map<std::string, std::vector<FailPoint>> pointsBySite;
  for (const FailPoint& point : points) pointsBySite[point.site + "=" + point.kind].push_back(point);
  std::vector<FailPoint> sample;
  for (const auto& [site, hits] : pointsBySite) sample.push_back(hits[random() % hits.size()]);
  for (std::size_t remaining = sample.size(); remaining > 1; --remaining)
    std::swap(sample[remaining - 1], sample[random() % remaining]);
  sample.resize(std::min(sample.size(), maxPoints));
  return sample;
}

std::vector<pid_t> startWorkers(const FailPointOptions& options, std::size_t ownDescriptors,
                                const std::vector<FailPoint>& points, const std::array<int, 2>& pipeFds) {
  std::vector<pid_t> workers;
  for (unsigned index = 0; index < options.workerCount; ++index) {
    const pid_t child = ::fork();
    if (child == 0) {
      ::close(pipeFds[0]);
      runWorker(options, index, ownDescriptors, points, pipeFds[1]);
      ::_exit(0);
    }
    workers.push_back(child);
  }
  return workers;
}

// Counts one line of a worker and prints it if the run failed.
void addResult(RunTotals& totals, const std::string& line) {
  ++totals.runs;
  if (line[0] != 'U') ++totals.fired;
  if (line[0] == 'E') ++totals.exitedEarly;
  if (line[0] != 'W') return;
  ++totals.failed;
  std::printf("FAILED: %s\n", line.c_str() + 2);
  std::fflush(stdout);
}

// Reads the lines of all workers until they have exited.
RunTotals collectResults(int inputFd) {
  RunTotals totals;
  std::string pending;
  std::array<char, 4096> buffer{};
  for (;;) {
    const ssize_t bytesRead = ::read(inputFd, buffer.data(), buffer.size());
    if (bytesRead <= 0) return totals;
    pending.append(buffer.data(), static_cast<std::size_t>(bytesRead));
    for (std::size_t lineEnd = pending.find('\n'); lineEnd != std::string::npos;
         lineEnd = pending.find('\n')) {
      addResult(totals, pending.substr(0, lineEnd));
      pending.erase(0, lineEnd + 1);
    }
  }
}

}  // namespace

int runFailPoints(const FailPointOptions& options) {
  const transport::TimePoint startedAt = transport::Clock::now();
  const int networkIndex = static_cast<int>(options.loopbackArea * 256);
  if (!options.singlePoint.empty()) return runSinglePoint(options, networkIndex + 1);
  std::size_t ownDescriptors = 0;
  std::size_t pointCount = 0;
  std::size_t siteCount = 0;
  std::vector<FailPoint> points;
  {
    FailPointRun faultFreeRun(options, networkIndex, nullptr);
    const Verdict verdict = faultFreeRun.run();
    if (!verdict.failure.empty()) {
      std::printf("run without a fault: %s\n%s\n", verdict.failure.c_str(), verdict.log.c_str());
      return 1;
    }
    ownDescriptors = faultFreeRun.ownDescriptors();
    points = parseFailPoints(faultFreeRun.readReport(), pointCount, siteCount);
  }
  if (points.empty()) {
    std::printf("no fail points: %s was built without PADDLETRACK_FAIL_POINTS\n", options.program.c_str());
    return 1;
  }
  const std::size_t caseCount = points.size();
  if (!options.pointFilter.empty())
    std::erase_if(
        points, [&](const FailPoint& point) { return point.site + "=" + point.kind != options.pointFilter; });
  if (!options.exhaustive) points = samplePoints(points, options.seed, options.maxPoints);
  std::array<int, 2> pipeFds{};
  if (::pipe2(pipeFds.data(), O_CLOEXEC) != 0) return 1;
  const std::vector<pid_t> workers = startWorkers(options, ownDescriptors, points, pipeFds);
  ::close(pipeFds[1]);
  const RunTotals totals = collectResults(pipeFds[0]);
  ::close(pipeFds[0]);
  for (const pid_t worker : workers) ::waitpid(worker, nullptr, 0);
  std::printf(
      "%zu sites, %zu points, %zu cases; %zu runs: %zu reached their point, of these %zu made the process "
      "exit early as allowed, %zu failed; %.0f s\n",
      siteCount, pointCount, caseCount, totals.runs, totals.fired, totals.exitedEarly, totals.failed,
      toMilliseconds(transport::Clock::now() - startedAt) / 1000);
  return totals.failed == 0 && totals.runs == points.size() ? 0 : 1;
}

}  // namespace paddletrack::loadtest
