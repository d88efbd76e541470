// One point after another fails (src/failpoint/failpoint.hpp), each in a run of its own: a controller between
// stand-in executors, change log, client and operator plays the same short story every time.
#include <dirent.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "base/error.hpp"
#include "loadtest/experiments.hpp"

namespace paddletrack::loadtest {
namespace {

using fakes::LoadGenerator;
using Disposition = protocol::thrift::Reply::Outcome;

// A job of some milliseconds may wait for a dial time-out (250 ms) and a delay (300 ms), also on a busy
// machine; its client waits for 3 s.
constexpr auto kMaxRequestLatency = 2500ms;
constexpr std::size_t kLookUpClass = 0, kOrderClass = 1, kLoadClass = 2, kReportClass = 3;

struct FailPoint {
  std::string site;
  unsigned hit = 1;
  std::string kind;
  std::string toString() const { return site + "#" + std::to_string(hit) + "=" + kind; }
  // What fails there may end a client's connection: it gets no answer then, and knows it.
  bool affectsClientConnection() const {
    return site.starts_with("client.") || site.starts_with("front.") || site == "table.tasks" ||
           site == "table.input" || site == "table.timers" || site == "table.unsent";
  }
};

struct Verdict {
  bool fired = false, exitedEarly = false;  // the process ended before it was told to
  std::string failure, log;                 // empty: as it should be
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

// One run. What goes wrong in it is kept as the first sentence about it.
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
  std::size_t ownDescriptors() const { return ownDescriptors_; }  // descriptors that are no connection's
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
  // A job each, all at once, until each has ended.
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
      check(request.answerCount > 0 || request.lost, std::string("a job without an end, ") + stage);
      check(request.endedAt - request.sentAt < kMaxRequestLatency,
            "a job took " +
                std::to_string(static_cast<int>(toMilliseconds(request.endedAt - request.sentAt))) + " ms, " +
                stage);
    }
  }

  void runScript() {
    fleet_.emplace(loop_, loop_.outputBudget, options_);
    fakes::FakeEndpointList secondDiscovery(loop_, loop_.outputBudget, fleet_->addressOf(251));
    secondDiscovery.publish(fleet_->endpoints(), true);
    loadGenerator_.emplace(loop_, loop_.outputBudget, fleet_->frontAddresses(), 5);
    loadGenerator_->setHeartbeatInterval(20ms);
    loadGenerator_->disableResend();
    loadGenerator_->start(0, {{"look-up", "acme", 0, 3ms, 6ms, 3s},
                              {"order", "acme", 0, 3ms, 6ms, 3s},
                              {"load", "acme", 0, 3ms, 6ms, 3s},
                              {"report", "acme", 0, 3ms, 6ms, 3s, "pages=3"},
                              {"report", "acme", 0, 150ms, 150ms, 3s}});
    if (!runUntil([&] { return loadGenerator_->isInService(0); }, 5s)) {
      if (!hasExited()) recordFailure("it does not serve");
      return shutDownAndCheck();
    }
    exerciseController();
    shutDownAndCheck();
  }

  void exerciseController() {
    std::optional<AdminClient> adminClient(std::in_place, loop_, fleet_->adminSocketPath(0));
    adminClient->sendRequest({{"do", "status"}});
    sendRequests({kLookUpClass, kOrderClass, kLoadClass, kReportClass}, "at first");
    // The list changes, the files are read again and the list is then another's.
    fakes::FakeEndpointList::Endpoint newEndpoint = fleet_->endpoints()[0];
    newEndpoint.id = "s-3";
    fleet_->endpointList().publish({fleet_->endpoints()[1], newEndpoint});
    sendRequests({kLookUpClass, kLoadClass}, "after the list changed");
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
    // Out of service with a job under way, and back.
    if (!hasExited()) {
      loadGenerator_->send(4, 0);
      loop_.runFor(20ms);
      adminClient.emplace(loop_, fleet_->adminSocketPath(0));
      for (int tries = 0; tries < 3 && !hasExited(); ++tries) {
        const Json response = adminClient->sendRequest({{"do", "drain"}, {"deadline_ms", 2000}});
        if (!response.is_null() && response["ok"] == true) break;
        adminClient.emplace(loop_, fleet_->adminSocketPath(0));
      }
      waitForDrainState(adminClient, "drained");
      for (int tries = 0; tries < 3 && !hasExited(); ++tries) {
        const Json response = adminClient->sendRequest({{"do", "cancel"}});
        if (!response.is_null() && (response["ok"] == true || response["error"]["code"] == "not_draining"))
          break;
        adminClient.emplace(loop_, fleet_->adminSocketPath(0));
      }
      if (!runUntil([&] { return loadGenerator_->isInService(0); }, 3s) && !hasExited())
        recordFailure("it does not come back");
    }
    // Whatever failed: it serves as before.
    bool succeeded = false;
    for (int tries = 0; tries < 20 && !succeeded && !hasExited(); ++tries) {
      const std::size_t requestIndex = loadGenerator_->requests().size();
      sendRequests({kLookUpClass}, "at last");
      succeeded = loadGenerator_->requests()[requestIndex].outcome == Disposition::completed &&
                  loadGenerator_->requests()[requestIndex].answerCount == 1;
      if (!succeeded) loop_.runFor(100ms);
    }
    check(succeeded || hasExited(), "it serves no more");
    if (!hasExited()) checkDescriptors(adminClient);
    // Told to end with a job under way.
    if (!hasExited()) loadGenerator_->send(4, 0);
    loop_.runFor(20ms);
  }

  // By the status, over a fresh line where the last one was lost.
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
    if (!hasExited()) recordFailure("it is not " + expectedState);
  }

  // Descriptors that neither a client, an executor nor an operator has: the same ones in every run.
  void checkDescriptors(std::optional<AdminClient>& adminClient) {
    bool matches = false;
    const bool isFirstRun = expectedDescriptors_ == 0;  // the run that tells how many they are
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
    check(isFirstRun || matches || hasExited(), "descriptors: " + std::to_string(ownDescriptors_) +
                                                    " of its own, " + std::to_string(expectedDescriptors_) +
                                                    " without the fault");
  }

  void shutDownAndCheck() {
    exitedEarly_ = hasExited();
    if (!exitedEarly_) fleet_->controller(0).sendSignal(SIGTERM);
    if (!loop_.runUntil([&] { return hasExited(); }, 8s)) return recordFailure("it does not end");
    loop_.runFor(10ms);
    const int code = *fleet_->controller(0).exitCode();
    const std::string logText = readFile(fleet_->logPath(0));
    if (logText.find("Sanitizer") != std::string::npos || logText.find("runtime error") != std::string::npos)
      return recordFailure("a sanitizer speaks");
    const bool wasKilled = point_ && point_->kind == "kill";
    if (wasKilled && code == 128 + SIGKILL) {
      exitedEarly_ = true;
    } else if (exitedEarly_ || code != 0) {
      exitedEarly_ = true;
      check(code == 1 || code == 2, "it ended with " + std::to_string(code));
      bool hasErrorKind = false;
      for (const ErrorDescription& errorDescription : kErrorDescriptions)
        hasErrorKind = hasErrorKind ||
                       (errorDescription.kind != ErrorKind::unexpected && errorDescription.exitCode == code &&
                        logText.find(std::string("(") + errorDescription.name + ")") != std::string::npos);
      check(hasErrorKind, "it ended with " + std::to_string(code) + " without an error of a kind");
    }
    checkAccounting();
    if (exitedEarly_) checkRestart();
  }

  // No answer twice, none missing where a client was not told; nothing run twice that must not be; what was
  // said not to have run did not.
  void checkAccounting() {
    loop_.runUntil([&] { return loadGenerator_->counters().open == 0; }, 4s);
    check(loadGenerator_->counters().duplicateAnswers == 0, "an answer came twice");
    check(loadGenerator_->counters().unsolicitedAnswers == 0, "an answer to nothing");
    const bool mayLoseRequests = exitedEarly_ || (point_ && point_->affectsClientConnection());
    for (const LoadGenerator::Request& request : loadGenerator_->requests()) {
      unsigned executions = 0;
      for (std::size_t index = 0; index < options_.engines; ++index)
        executions += fleet_->engine(index).runCount(request.reference);
      if (request.lost) check(mayLoseRequests, "a job was lost");
      if (request.profile != kLoadClass) continue;
      check(executions <= 1, "a run-once job ran " + std::to_string(executions) + " times");
      if (request.answerCount == 0) continue;
      if (request.outcome == Disposition::completed)
        check(executions == 1, "a run-once job is told as done and ran not");
      if (request.outcome == Disposition::rejected)
        check(executions == 0, "a run-once job is told as not run, and ran");
    }
  }

  // The one after it takes over all that it left.
  void checkRestart() {
    fleet_->startController(0, {});
    if (!runUntil([&] { return loadGenerator_->isInService(0); }, 5s))
      return recordFailure("started again it does not serve");
    const std::size_t requestIndex = loadGenerator_->requests().size();
    sendRequests({kLookUpClass}, "after the start");
    check(loadGenerator_->requests()[requestIndex].outcome == Disposition::completed,
          "started again it does no job");
    fleet_->controller(0).sendSignal(SIGTERM);
    loop_.runUntil([&] { return hasExited(); }, 8s);
    check(hasExited() && *fleet_->controller(0).exitCode() == 0, "started again it does not end well");
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
  std::size_t ownDescriptors_ = 0, expectedDescriptors_ = 0;
};

// All points of a run without a fault, each in each kind.
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
  std::size_t runs = 0, fired = 0, exitedEarly = 0, failed = 0;
};

// A part of the points, in a process of its own; its lines: "R|E|U|W point sentence".
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

}  // namespace

int runFailPoints(const FailPointOptions& options) {
  const transport::TimePoint startedAt = transport::Clock::now();
  const int networkIndex = static_cast<int>(options.loopbackArea * 256);
  if (!options.singlePoint.empty()) {
    FailPoint point;
    const std::size_t hitPosition = options.singlePoint.find('#'),
                      kindPosition = options.singlePoint.find('=');
    if (hitPosition == std::string::npos || kindPosition == std::string::npos || kindPosition < hitPosition) {
      std::printf("--only: SITE#N=KIND is expected\n");
      return 1;
    }
    point = {options.singlePoint.substr(0, hitPosition),
             static_cast<unsigned>(std::atoi(options.singlePoint.c_str() + hitPosition + 1)),
             options.singlePoint.substr(kindPosition + 1)};
    FailPointRun failPointRun(options, networkIndex + 1, &point);
    const Verdict verdict = failPointRun.run();
    std::printf("%s\n%s: %s%s%s\n", verdict.log.c_str(), point.toString().c_str(),
                verdict.fired ? "" : "not reached; ", verdict.exitedEarly ? "ended; " : "",
                verdict.failure.empty() ? "as it should be" : verdict.failure.c_str());
    return verdict.failure.empty() ? 0 : 1;
  }
  std::size_t ownDescriptors = 0, pointCount = 0, siteCount = 0;
  std::vector<FailPoint> points;
  {
    FailPointRun faultFreeRun(options, networkIndex, nullptr);
    const Verdict verdict = faultFreeRun.run();
    if (!verdict.failure.empty()) {
      std::printf("without any fault: %s\n%s\n", verdict.failure.c_str(), verdict.log.c_str());
      return 1;
    }
    ownDescriptors = faultFreeRun.ownDescriptors();
    points = parseFailPoints(faultFreeRun.readReport(), pointCount, siteCount);
  }
  if (points.empty()) {
    std::printf("no point is numbered: %s is built without PADDLETRACK_FAIL_POINTS\n",
                options.program.c_str());
    return 1;
  }
  const std::size_t caseCount = points.size();
  if (!options.pointFilter.empty())
    std::erase_if(
        points, [&](const FailPoint& point) { return point.site + "=" + point.kind != options.pointFilter; });
  if (!options.exhaustive) {
    // Sites first, hits after: one that is hit a thousand times is not drawn a thousand times as often.
    std::minstd_rand random(options.seed);
    std::map<std::string, std::vector<FailPoint>> pointsBySite;
    for (const FailPoint& point : points) pointsBySite[point.site + "=" + point.kind].push_back(point);
    std::vector<FailPoint> drawn;
    for (auto& [site, some] : pointsBySite) drawn.push_back(some[random() % some.size()]);
    for (std::size_t remaining = drawn.size(); remaining > 1; --remaining)
      std::swap(drawn[remaining - 1], drawn[random() % remaining]);
    drawn.resize(std::min<std::size_t>(drawn.size(), options.maxPoints));
    points = std::move(drawn);
  }
  int pipeFds[2];
  if (::pipe2(pipeFds, O_CLOEXEC) != 0) return 1;
  std::vector<pid_t> workerProcesses;
  for (unsigned value = 0; value < options.workerCount; ++value) {
    const pid_t child = ::fork();
    if (child == 0) {
      ::close(pipeFds[0]);
      runWorker(options, value, ownDescriptors, points, pipeFds[1]);
      ::_exit(0);
    }
    workerProcesses.push_back(child);
  }
  ::close(pipeFds[1]);
  RunTotals totals;
  std::string pending;
  char buffer[4096];
  for (ssize_t bytesRead; (bytesRead = ::read(pipeFds[0], buffer, sizeof buffer)) > 0;) {
    pending.append(buffer, static_cast<std::size_t>(bytesRead));
    for (std::size_t lineEnd = pending.find('\n'); lineEnd != std::string::npos;
         lineEnd = pending.find('\n')) {
      const std::string line = pending.substr(0, lineEnd);
      pending.erase(0, lineEnd + 1);
      ++totals.runs;
      totals.fired += line[0] != 'U';
      totals.exitedEarly += line[0] == 'E';
      if (line[0] == 'W') {
        ++totals.failed;
        std::printf("NOT AS IT SHOULD BE: %s\n", line.c_str() + 2);
        std::fflush(stdout);
      }
    }
  }
  ::close(pipeFds[0]);
  for (const pid_t workerProcess : workerProcesses) ::waitpid(workerProcess, nullptr, 0);
  std::printf(
      "%zu sites, %zu points, %zu cases; %zu runs: %zu reached their point, of these %zu ended the process "
      "as "
      "they may, %zu wrong; %.0f s\n",
      siteCount, pointCount, caseCount, totals.runs, totals.fired, totals.exitedEarly, totals.failed,
      toMilliseconds(transport::Clock::now() - startedAt) / 1000);
  return totals.failed == 0 && totals.runs == points.size() ? 0 : 1;
}

}  // namespace paddletrack::loadtest
