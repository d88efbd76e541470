#include "command/rolling_drain_command.hpp"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "admin/admin_protocol.hpp"
#include "admin/operator_config.hpp"
#include "command/drain_command.hpp"
#include "drain/rolling_drain.hpp"

namespace paddletrack::command {
namespace {

constexpr std::chrono::milliseconds kPollInterval{50};

// A client of one controller. A broken connection is reopened for the next request.
class ControllerClient {
 public:
  explicit ControllerClient(std::string path) : path_(std::move(path)) {}
  const std::string& path() const { return path_; }
  const Json& lastStatus() const { return lastStatus_; }

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
    } catch (const std::exception&) {
      // The connection is broken or the response is invalid: the controller counts as unreachable.
      client_.reset();
    }
    return observation;
  }

  // Sends a request. Prints the error if it fails.
  void execute(const std::string& request) {
    try {
      const Json response = call(request);
      if (response["ok"] == true) return;
      reportError(Error(ErrorKind::adminRequestRefused, path_, response["error"]["text"].get<std::string>()));
    } catch (const std::exception& error) {
      reportError(toError(error, path_, ErrorKind::adminUnreachable));
      client_.reset();
    }
  }

 private:
  Json call(const std::string& request) {
    if (!client_) client_ = std::make_unique<AdminClient>(path_);
    return client_->call(request);
  }

  const std::string path_;
  std::unique_ptr<AdminClient> client_;
  Json lastStatus_;
};

drain::RollingDrain::Options makeOptions(const RollingDrainRequest& request) {
  drain::RollingDrain::Options options;
  options.drainTimeout = request.drainTimeout.value_or(options.drainTimeout);
  options.resumeTimeout = request.resumeTimeout.value_or(options.resumeTimeout);
  options.hasMaintenance = !request.maintenanceCommand.empty();
  return options;
}

// Executes the steps of a rolling drain until it finishes or fails.
class RollingDrainRunner {
 public:
  explicit RollingDrainRunner(const RollingDrainRequest& request)
      : request_(request),
        options_(makeOptions(request)),
        rollingDrain_(request.sockets.size(), options_),
        startedAt_(std::chrono::steady_clock::now()) {
    for (const std::string& socket : request.sockets)
      controllers_.push_back(std::make_unique<ControllerClient>(socket));
  }

  int run() {
    for (;;) {
      for (std::size_t index = 0; index < controllers_.size(); ++index)
        rollingDrain_.recordObservation(index, controllers_[index]->observe());
      const auto elapsed = std::chrono::steady_clock::now() - startedAt_;
      const drain::RollingDrain::Step step =
          rollingDrain_.advance(std::chrono::duration_cast<drain::Duration>(elapsed));
      if (const std::optional<int> exitCode = perform(step)) return *exitCode;
    }
  }

 private:
  // Returns the exit code after the last step, std::nullopt after any other.
  std::optional<int> perform(const drain::RollingDrain::Step& step) {
    using Action = drain::RollingDrain::Action;
    if (step.action == Action::finished) {
      reportFinished();
      return kExitSuccess;
    }
    ControllerClient& controller = *controllers_[step.controllerIndex];
    switch (step.action) {
      case Action::startDrain:
        reportStep(controller, "draining");
        controller.execute(admin::formatDrainRequest(options_.drainTimeout, std::nullopt));
        break;
      case Action::runMaintenance:
        runMaintenance(controller);
        break;
      case Action::cancelDrain:
        reportStep(controller, "brought back");
        controller.execute(admin::formatCancelRequest());
        break;
      case Action::failed:
        reportFailure(controller);
        return kExitDeadlineMissed;
      case Action::wait:
        reportProgress(controller);
        std::this_thread::sleep_for(kPollInterval);
        break;
      case Action::finished:
        break;
    }
    return std::nullopt;
  }

  void runMaintenance(const ControllerClient& controller) {
    reportStep(controller, "out: " + request_.maintenanceCommand);
    ::setenv("PADDLETRACK_SOCKET", controller.path().c_str(), 1);
    rollingDrain_.onMaintenanceFinished(std::system(request_.maintenanceCommand.c_str()) == 0);
  }

  void reportStep(const ControllerClient& controller, const std::string& step) const {
    const std::string& path = controller.path();
    if (request_.json) {
      std::printf("%s\n", Json{{"socket", path}, {"step", step}}.dump().c_str());
    } else {
      std::printf("%s: %s\n", path.c_str(), step.c_str());
    }
    std::fflush(stdout);
  }

  // Prints the progress of the controller if it has changed.
  void reportProgress(const ControllerClient& controller) {
    if (request_.json || !controller.lastStatus().is_object()) return;
    const std::string progress = formatProgress(controller.lastStatus());
    if (progress != lastProgress_) reportStep(controller, progress);
    lastProgress_ = progress;
  }

  void reportFinished() const {
    if (!request_.json)
      std::printf("all %zu controllers drained and serving again\n", rollingDrain_.completedCount());
  }

  void reportFailure(const ControllerClient& controller) const {
    std::fprintf(stderr, "paddletrack: stopped at %s: %s (%zu of %zu done)\n", controller.path().c_str(),
                 rollingDrain_.failureReason().c_str(), rollingDrain_.completedCount(), controllers_.size());
  }

  const RollingDrainRequest& request_;
  const drain::RollingDrain::Options options_;
  drain::RollingDrain rollingDrain_;
  const std::chrono::steady_clock::time_point startedAt_;
  std::vector<std::unique_ptr<ControllerClient>> controllers_;
  std::string lastProgress_;
};

}  // namespace

int runRollCommand(const RollingDrainRequest& request) { return RollingDrainRunner(request).run(); }

}  // namespace paddletrack::command
