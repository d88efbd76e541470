#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/admission_controller.hpp"
#include "protocol/controller_config.hpp"
#include "simulator/wire_codec.hpp"

namespace paddletrack::simulator {

/// An engine in an endpoint list of the wire. `launchedAt` is a time of the wire's clock; 0 if it is unknown.
struct EndpointEntry {
  std::uint32_t engineId = 0;
  std::uint64_t launchedAt = 0;
  EndpointRecord endpoint;
};

/// Connects a controller to the simulator's wire: decodes events, which name requests and engines by ids, and
/// encodes the controller's commands. Owns the requests and engines. Its maps are never iterated, so their
/// order cannot influence a decision, and runs with the same seed are identical.
class SimulatorAdapter final : private AdmissionHost {
 public:
  /// `clock` is the wire's clock in microseconds at the start. `writer` must outlive the adapter.
  SimulatorAdapter(std::uint32_t instance, std::uint64_t clock, std::uint64_t seed, std::string_view settings,
                   ReplyWriter& writer);

  /// Each function handles one event of this controller. `fields` begins after the instance number.
  void onRequest(std::uint64_t clock, WireReader& fields);
  void onAttemptFinished(std::uint64_t clock, WireReader& fields);
  void onResponseStarted(std::uint64_t clock, WireReader& fields);
  void onTimer(std::uint64_t clock, WireReader& fields);
  void onPeerMessage(std::uint64_t clock, WireReader& fields);
  void onClientGone(std::uint64_t clock, WireReader& fields);
  void onProgress(std::uint64_t clock, WireReader& fields);
  void onHealthCheckResult(std::uint64_t clock, WireReader& fields);
  /// `entries` is null if the simulated endpoint list cannot be read. An `updateKind` of 0 is an
  /// update, others are snapshots.
  void onEndpointUpdate(std::uint64_t clock, std::uint8_t updateKind,
                        const std::vector<EndpointEntry>* entries);

 private:
  void sendAttempt(Attempt& attempt) override;
  void assignResources(Request& request, double memoryGrantMb, int priority) override;
  void reject(Request& request, Duration retryAfter) override;
  void fail(Request& request) override;
  void cancel(Attempt& attempt) override;
  void scheduleTimer(Duration at) override;
  void sendHealthCheck(Engine& engine) override;
  void sendPeerReport(const std::vector<PeerEngineLoad>& engineLoads) override;
  void requestEndpoints() override;
  void log(std::string_view text) override;

  Duration fromWireClock(std::uint64_t clock) const;
  std::uint64_t toWireClock(Duration sinceStart) const;
  ReplyWriter& beginRecord(CommandCode code);
  Request* findRequest(std::uint32_t id);
  Attempt* findAttempt(std::uint32_t id, std::uint8_t index);
  Engine& findEngine(std::uint32_t id);
  std::optional<LoadReport> readLoadReport(WireReader& fields);
  void eraseFinished();

  const std::uint32_t instance_;
  const std::uint64_t startClock_;
  const protocol::ControllerConfig config_;
  ReplyWriter& writer_;
  std::unordered_map<std::uint32_t, std::unique_ptr<Request>> requests_;
  std::unordered_map<std::uint32_t, std::unique_ptr<Engine>> engines_;
  std::vector<std::uint32_t> finishedIds_;  // Requests to erase after the event if nothing is in flight.
  AdmissionController controller_;
};

}  // namespace paddletrack::simulator
