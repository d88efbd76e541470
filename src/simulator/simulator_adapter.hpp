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

// An entry of a numbered list, as the wire has it: ids and clock times.
struct EndpointEntry {
  std::uint32_t engineId = 0;
  std::uint64_t launchedAt = 0;
  EndpointRecord endpoint;
};

// The door of one running controller: ids outside, objects inside. Look-ups only; nothing ever walks its
// maps.
class SimulatorAdapter final : private AdmissionHost {
 public:
  SimulatorAdapter(std::uint32_t instance, std::uint64_t clock, std::uint64_t seed, std::string_view settings,
                   ReplyWriter& writer);

  // One event of this controller; what it holds starts behind the instance's number.
  void onRequest(std::uint64_t clock, WireReader& fields);
  void onAttemptFinished(std::uint64_t clock, WireReader& fields);
  void onResponseStarted(std::uint64_t clock, WireReader& fields);
  void onTimer(std::uint64_t clock, WireReader& fields);
  void onPeerMessage(std::uint64_t clock, WireReader& fields);
  void onClientGone(std::uint64_t clock, WireReader& fields);
  void onProgress(std::uint64_t clock, WireReader& fields);
  void onHealthCheckResult(std::uint64_t clock, WireReader& fields);
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
  ReplyWriter& beginRecord(std::uint8_t code);
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
  std::vector<std::uint32_t> finishedIds_;
  AdmissionController controller_;
};

}  // namespace paddletrack::simulator
