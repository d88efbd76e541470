// A small fleet on loopback: fake engines, a fake endpoint list, and controllers as processes of their own.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_endpoint_list.hpp"
#include "fakes/fake_engine.hpp"
#include "fakes/load_generator.hpp"
#include "fakes/server_process.hpp"
#include "fakes/temporary_directory.hpp"

namespace paddletrack::fakes {

/// What a fleet consists of. Its request classes are `look-up` and `report` (idempotent), `order` (idempotent
/// by key) and `load` (not idempotent).
struct FakeFleetOptions {
  std::string program;
  std::vector<std::string> launcher{};  ///< A program that starts the controller, with its arguments.
  /// The fleet uses 127.0.SUBNET.0/24 (from 256 on 127.1.0.0/24 and so on), so that concurrent runs do not
  /// collide.
  int subnet = 0;
  unsigned engines = 4;
  unsigned controllers = 1;
  unsigned memoryMb = 192;
  unsigned maxSockets = 1024;
  unsigned cores = 16;
  bool hasAdminSockets = true;
  std::string operatorConfig{};  ///< Further blocks of each operator file.
  /// Further blocks of one controller's operator file.
  std::function<std::string(unsigned controller)> operatorConfigOf{};
  std::string drainNotice = "300ms";
  bool includesKnownEvents = true;    ///< The configuration holds the events that the list has so far.
  bool startsControllers = true;      ///< The constructor starts all controllers.
  std::int64_t warmupMs = 0;          ///< How long an engine warms up.
  double initialCapacityRatio = 1.0;  ///< Capacity of an engine when it starts.
  double warmupOverloadRatio = 0;  ///< Load over three seconds, in this capacity, that makes an engine fail.
  /// Changes what the list publishes about one engine, if set.
  std::function<void(FakeEndpointList::Endpoint& endpoint, unsigned engine, const std::string& directory)>
      customizeEndpoint{};
};

/// Owns the fakes and the controller processes, and the directory with their configuration and log files.
class FakeFleet {
 public:
  /// The scheduler and the output budget must outlive the fleet.
  FakeFleet(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
            const FakeFleetOptions& options);

  /// Starts a controller, or restarts it. Its files are written anew.
  void startController(std::size_t controller) { startController(controller, options_.launcher); }
  void startController(std::size_t controller, const std::vector<std::string>& launcher);
  /// Names another endpoint list in the controller's configuration and sends SIGHUP.
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
  std::vector<transport::Address> controllerAddresses() const;
  FakeEngine& engine(std::size_t index) { return *engines_[index]; }
  FakeEndpointList& endpointList() { return endpointList_; }
  std::uint64_t duplicateExecutionCount() const;  ///< Over all engines.
  std::size_t openAskCount() const;               ///< Over all engines.
  const std::string& directory() const { return directory_.path(); }
  static LoadGenerator::RequestProfile lookUpProfile(double weight = 1) {
    return {"look-up", "acme", weight, milliseconds(3), milliseconds(20)};
  }

 private:
  std::string frontAddress(std::size_t controller) const;
  std::string buildConfig(std::size_t controller) const;
  std::string buildOperatorConfig(std::size_t controller) const;

  const FakeFleetOptions options_;
  TemporaryDirectory directory_;
  FakeEndpointList endpointList_;
  std::vector<FakeEndpointList::Endpoint> endpoints_;
  std::vector<std::unique_ptr<FakeEngine>> engines_;
  std::vector<std::unique_ptr<ServerProcess>> processes_;
};

}  // namespace paddletrack::fakes
