// A small site on loopback: executors, a change log, and controllers as processes of their own.
#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/fake_endpoint_list.hpp"
#include "fakes/fake_engine.hpp"
#include "fakes/load_generator.hpp"

namespace paddletrack::fakes {

// A folder for one run's files, gone with it.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// `paddletrack serve` as the operators start it; killed at the end if it still runs, and sent SIGTERM by the
// kernel when the process that started it dies (PR_SET_PDEATHSIG), so that no controller outlives its rig.
class ServerProcess {
 public:
  ServerProcess(const std::string& program, const std::vector<std::string>& arguments,
                const std::string& logPath);
  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;
  ~ServerProcess();
  pid_t pid() const { return pid_; }
  void sendSignal(int signalNumber) const;
  std::optional<int> exitCode();  // its exit code, or 128 and the signal; none while it runs

 private:
  pid_t pid_ = -1;
  std::optional<int> exitCode_;
};

// Types `look-up` (restartable), `report` (restartable), `order` (keyed) and `load` (run-once).
struct FakeFleetOptions {
  std::string program;
  std::vector<std::string> launcher{};  // another program that starts it, with its arguments
  int subnet =
      0;  // of 127.0.NET.0/24 (above 255 on of 127.1 and so on), so that runs beside each other do not meet
  unsigned engines = 4, controllers = 1;
  unsigned memoryMb = 192, maxSockets = 1024, cores = 16;
  bool hasAdminSockets = true;
  std::string operatorConfig{};                                        // more blocks of it
  std::function<std::string(unsigned controller)> operatorConfigOf{};  // and of one controller's
  std::string drainNotice = "300ms";
  bool includesKnownEvents = true;    // the configuration holds the list's events so far
  bool startsControllers = true;      // all controllers at once, with the site
  std::int64_t warmupMs = 0;          // how long an executor is cold, and
  double initialCapacityRatio = 1.0;  // what it can do at its start
  double warmupOverloadRatio = 0;     // of that, over three seconds: what falls it
  // What the list says of one executor beside its usual address, or in its place.
  std::function<void(FakeEndpointList::Endpoint& endpoint, unsigned engine, const std::string& directory)>
      customizeEndpoint{};
};

class FakeFleet {
 public:
  FakeFleet(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
            const FakeFleetOptions& options);

  void startController(std::size_t controller) {
    startController(controller, options_.launcher);
  }  // or again
  void startController(std::size_t controller, const std::vector<std::string>& launcher);
  // Its file names another list service; SIGHUP makes it read that.
  void changeEndpointList(std::size_t controller, const std::string& address) const;
  ServerProcess& controller(std::size_t index) { return *processes_[index]; }
  std::string addressText(unsigned host, unsigned port = 18443) const;
  std::string adminSocketPath(std::size_t index) const {
    return directory_.path() + "/door" + std::to_string(index);
  }
  std::string logPath(std::size_t index) const { return directory_.path() + "/log" + std::to_string(index); }
  std::string operatorConfigPath(std::size_t index) const {
    return directory_.path() + "/op" + std::to_string(index) + ".hcl";
  }
  std::string configPath(std::size_t index) const {
    return directory_.path() + "/config" + std::to_string(index) + ".json";
  }
  const std::vector<FakeEndpointList::Endpoint>& endpoints() const { return endpoints_; }
  transport::Address addressOf(unsigned host) const { return transport::Address(addressText(host)); }
  std::vector<transport::Address> frontAddresses() const;
  FakeEngine& engine(std::size_t index) { return *engines_[index]; }
  FakeEndpointList& endpointList() { return endpointList_; }
  std::uint64_t duplicateRunCount() const;
  std::size_t openAskCount() const;
  const std::string& directory() const { return directory_.path(); }
  static LoadGenerator::RequestProfile lookUpProfile(double weight = 1) {
    return {"look-up", "acme", weight, milliseconds(3), milliseconds(20)};
  }

 private:
  std::string frontAddress(std::size_t controller) const;
  std::string buildConfig(std::size_t controller) const;

  const FakeFleetOptions options_;
  TemporaryDirectory directory_;
  FakeEndpointList endpointList_;
  std::vector<FakeEndpointList::Endpoint> endpoints_;
  std::vector<std::unique_ptr<FakeEngine>> engines_;
  std::vector<std::unique_ptr<ServerProcess>> processes_;
};

// A line to a controller's door, from within the loop.
class AdminConnection {
 public:
  AdminConnection(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                  const std::string& path);
  void send(const std::string& line);
  std::vector<std::string> receivedLines;          // whole lines
  std::function<void(const std::string&)> onLine;  // called for each as it comes, if set
  bool isClosed = false;

 private:
  transport::Task<> run(std::string path);
  transport::Scheduler& scheduler_;
  transport::OutputBudget& unsent_;
  std::optional<transport::Connection> connection_;
  std::string pendingOutput_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::fakes
