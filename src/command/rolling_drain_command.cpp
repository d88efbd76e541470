#include "command/rolling_drain_command.hpp"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <thread>

#include "admin/admin_protocol.hpp"
#include "admin/operator_config.hpp"
#include "command/drain_command.hpp"
#include "drain/rolling_drain.hpp"

namespace paddletrack::command {
namespace {

constexpr std::chrono::milliseconds kPollInterval{50};

// One of the controllers; its line is dialled anew when it has broken.
class ControllerClient {
 public:
  explicit ControllerClient(std::string path) : path_(std::move(path)) {}
  const std::string& path() const { return path_; }

  drain::ControllerObservation observe() {
    drain::ControllerObservation observation;
    try {
      const Json response = call(admin::formatStatusRequest());
      if (response["ok"] != true) return observation;
      const Json& status = response["status"];
      observation.reachable = true;
      observation.state = status["state"].get<std::string>();
      observation.processId = status["process"].get<std::uint64_t>();
      if (const Json& drain = status["drain"]; !drain.is_null()) {
        observation.drainNumber = drain["number"].get<std::uint64_t>();
        observation.deadlineMissed = drain["missed"].get<bool>();
      }
      lastStatus_ = status;
    } catch (const std::exception&) {  // a break, or words that are no controller's
      client_.reset();
    }
    return observation;
  }
  // Whether it was taken; what stands against it is said.
  bool execute(const std::string& request) {
    try {
      const Json response = call(request);
      if (response["ok"] == true) return true;
      reportError(Error(ErrorKind::adminRequestRefused, path_, response["error"]["text"].get<std::string>()));
    } catch (const std::exception& error) {
      reportError(toError(error, path_, ErrorKind::adminUnreachable));
      client_.reset();
    }
    return false;
  }
  const Json& lastStatus() const { return lastStatus_; }

 private:
  Json call(const std::string& request) {
    if (!client_) client_ = std::make_unique<AdminClient>(path_);
    return client_->call(request);
  }
  const std::string path_;
  std::unique_ptr<AdminClient> client_;
  Json lastStatus_;
};

}  // namespace

int runRollCommand(const RollingDrainRequest& request) {
  std::vector<std::unique_ptr<ControllerClient>> controllers;
  for (const std::string& socket : request.sockets)
    controllers.push_back(std::make_unique<ControllerClient>(socket));
  drain::RollingDrain::Options options;
  options.drainTimeout = request.drainTimeout.value_or(options.drainTimeout);
  options.resumeTimeout = request.resumeTimeout.value_or(options.resumeTimeout);
  options.hasMaintenance = !request.maintenanceCommand.empty();
  drain::RollingDrain rollingDrain(controllers.size(), options);
  const auto startedAt = std::chrono::steady_clock::now();
  const auto reportStep = [&](const std::string& path, const std::string& step) {
    if (request.json) {
      std::printf("%s\n", Json{{"socket", path}, {"step", step}}.dump().c_str());
    } else {
      std::printf("%s: %s\n", path.c_str(), step.c_str());
    }
    std::fflush(stdout);
  };
  std::string lastProgress;
  for (;;) {
    for (std::size_t index = 0; index < controllers.size(); ++index)
      rollingDrain.recordObservation(index, controllers[index]->observe());
    const auto now =
        std::chrono::duration_cast<drain::Duration>(std::chrono::steady_clock::now() - startedAt);
    const drain::RollingDrain::Step step = rollingDrain.advance(now);
    ControllerClient* controller =
        step.controllerIndex < controllers.size() ? controllers[step.controllerIndex].get() : nullptr;
    switch (step.action) {
      case drain::RollingDrain::Action::startDrain:
        reportStep(controller->path(), "draining");
        controller->execute(admin::formatDrainRequest(options.drainTimeout, std::nullopt));
        continue;
      case drain::RollingDrain::Action::runMaintenance: {
        reportStep(controller->path(), "out: " + request.maintenanceCommand);
        ::setenv("PADDLETRACK_SOCKET", controller->path().c_str(), 1);
        rollingDrain.onMaintenanceFinished(std::system(request.maintenanceCommand.c_str()) == 0);
        continue;
      }
      case drain::RollingDrain::Action::cancelDrain:
        reportStep(controller->path(), "brought back");
        controller->execute(admin::formatCancelRequest());
        continue;
      case drain::RollingDrain::Action::finished:
        if (!request.json)
          std::printf("all %zu have been out and serve again\n", rollingDrain.completedCount());
        return kExitSuccess;
      case drain::RollingDrain::Action::failed:
        std::fprintf(stderr, "paddletrack: stopped at %s: %s (%zu of %zu done)\n", controller->path().c_str(),
                     rollingDrain.failureReason().c_str(), rollingDrain.completedCount(), controllers.size());
        return kExitDeadlineMissed;
      case drain::RollingDrain::Action::wait:
        if (!request.json && controller && controller->lastStatus().is_object()) {
          const std::string progress = formatProgress(controller->lastStatus());
          if (progress != lastProgress) reportStep(controller->path(), progress);
          lastProgress = progress;
        }
        std::this_thread::sleep_for(kPollInterval);
    }
  }
}

}  // namespace paddletrack::command
