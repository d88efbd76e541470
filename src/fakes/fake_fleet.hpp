// Small fleet on loopback addresses: fake engines, a fake endpoint list, and controllers as child processes.
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

/// Composition and configuration of a fleet. Its request classes are `look-up` and `report` (idempotent),
/// `order` (idempotent by key) and `load` (not idempotent).
struct FakeFleetOptions {
  std::string program;
  std::vector<std::string> launcher{};  ///< Wrapper program that executes the controller, with its arguments.
  /// Index of the loopback network: 127.0.SUBNET.0/24, and 127.1.0.0/24 and following from 256 on. Concurrent
  /// runs need different subnets.
  int subnet = 0;
  unsigned engines = 4;
  unsigned controllers = 1;
  unsigned memoryMb = 192;
  unsigned maxSockets = 1024;
  unsigned cores = 16;
  bool hasAdminSockets = true;
  std::string operatorConfig{};  ///< Additional blocks of every operator's file.
  /// Returns additional blocks of one controller's operator's file, if set.
  std::function<std::string(unsigned controller)> operatorConfigOf{};
  std::string drainNotice = "300ms";
  bool includesKnownEvents = true;  ///< The controllers' configuration contains the events published so far.
  bool startsControllers = true;    ///< The constructor starts all controllers.
  std::int64_t warmupMs = 0;        ///< Duration of an engine's warm-up in milliseconds.
  double initialCapacityRatio = 1.0;  ///< Capacity of a starting engine, relative to its full capacity.
  /// A warming engine fails when its load over three seconds exceeds this multiple of its capacity.
  double warmupOverloadRatio = 0;
  /// Modifies the endpoint record that the list publishes for an engine, if set.
  std::function<void(FakeEndpointList::Endpoint& endpoint, unsigned engine, const std::string& directory)>
      customizeEndpoint{};
};

/// Owns the fakes, the controller processes, and the directory with the controllers' configuration and log
/// files.
class FakeFleet {
 public:
  /// The scheduler and the memory budget must outlive the fleet.
  FakeFleet(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
            const FakeFleetOptions& options);

  /// Starts or restarts a controller and rewrites its configuration files. A running process is killed.
  void startController(std::size_t controller) { startController(controller, options_.launcher); }
  void startController(std::size_t controller, const std::vector<std::string>& launcher);
  /// Rewrites the controller's configuration with another endpoint list address and sends SIGHUP.
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
  std::uint64_t duplicateExecutionCount() const;  ///< Sum over all engines.
  std::size_t openAskCount() const;               ///< Sum over all engines.
  const std::string& directory() const { return directory_.path(); }
  static LoadGenerator::RequestProfile lookUpProfile(double weight = 1) {
    return {"look-up", "acme", weight, milliseconds(3), milliseconds(20)};
  }

 private:
  std::string controllerAddress(std::size_t controller) const;
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
