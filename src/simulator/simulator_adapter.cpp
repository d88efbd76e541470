#include "simulator/simulator_adapter.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace paddletrack::simulator {
namespace {

constexpr std::size_t kMaxPeerMessageSize = 256;
constexpr std::size_t kPeerLoadSize = 8;
constexpr float kPeerMemoryStepMb = 4;  // The unit in which peers report memory.
constexpr std::uint16_t kBroadcast = 0xffff;
constexpr std::uint16_t kHasDeclaredCostFlag = 1;
constexpr std::uint8_t kMinProgressCode = 1;
constexpr std::uint8_t kMaxProgressCode = 3;

// The cost of a finished attempt is packed into 32 bits: the work in thousandths of a unit in the upper 20
// bits, and the memory in units of 4 MB in the lower 12 bits.
constexpr std::uint32_t kPackedMemoryRange = 4096;
constexpr double kPackedMemoryStepMb = 4.0;

AttemptOutcome decodeOutcome(std::uint8_t code) {
  switch (code) {
    case 0:
      return AttemptOutcome::completed;
    case 255:
      return AttemptOutcome::error;
    case 254:
      return AttemptOutcome::rejected;
    case 253:
      return AttemptOutcome::timedOut;
    case 252:
      return AttemptOutcome::unreachable;
    case 251:
      return AttemptOutcome::reset;
    case 250:
      return AttemptOutcome::cancelled;
    case 249:
      return AttemptOutcome::neverSent;
    default:
      throw WireFormatError("resolved: outcome " + std::to_string(code) + " is unknown");
  }
}

}  // namespace

SimulatorAdapter::SimulatorAdapter(std::uint32_t instance, std::uint64_t clock, std::uint64_t seed,
                                   std::string_view settings, ReplyWriter& writer)
    : instance_(instance),
      startClock_(clock),
      config_(protocol::decodeControllerConfig(protocol::flattenLines(settings))),
      writer_(writer),
      controller_(*this, config_.deployment, seed, Duration{0}) {}

// ---- events ---------------------------------------------------------------------------------------------

void SimulatorAdapter::onRequest(std::uint64_t clock, WireReader& fields) {
  auto ownedRequest = std::make_unique<Request>();
  Request& request = *ownedRequest;
  request.id = fields.readU32();
  request.arrivedAt = fromWireClock(clock);
  request.deadline = fromWireClock(fields.readU64());
  request.declaredMemoryMb = fields.readF32();
  const std::uint16_t flags = fields.readU16();
  const std::uint32_t declaredCost = fields.readU32();
  if ((flags & kHasDeclaredCostFlag) != 0) request.declaredCost = Duration{declaredCost};
  const std::uint8_t classIndex = fields.readU8();
  if (classIndex >= config_.deployment.requestClasses.size()) {
    throw WireFormatError("inbound: reservation type " + std::to_string(classIndex) +
                          " is not in the settings");
  }
  request.requestClass = &config_.deployment.requestClasses[classIndex];
  request.key = fields.readU64();
  request.tenantIndex = fields.readU16();
  request.dataSet = static_cast<std::uint32_t>(fields.readF32());
  fields.expectEnd();
  if (!requests_.emplace(request.id, std::move(ownedRequest)).second) {
    throw WireFormatError("inbound: job " + std::to_string(request.id) + " came twice");
  }
  controller_.onRequest(request.arrivedAt, request);
  eraseFinished();
}

void SimulatorAdapter::onAttemptFinished(std::uint64_t clock, WireReader& fields) {
  const std::uint32_t requestId = fields.readU32();
  const std::uint8_t attemptIndex = fields.readU8();
  fields.readU32();
  const AttemptOutcome outcome = decodeOutcome(fields.readU8());
  fields.readU32();
  const bool requestFinished = fields.readU8() != 0;
  const std::uint32_t packedCost = fields.readU32();
  const std::optional<LoadReport> loadReport = readLoadReport(fields);
  fields.expectEnd();
  Attempt* attempt = findAttempt(requestId, attemptIndex);
  if (!attempt || !attempt->inFlight) {
    throw WireFormatError("resolved: job " + std::to_string(requestId) + " has no dispatch " +
                          std::to_string(attemptIndex) + " out");
  }
  std::optional<ActualCost> cost;
  if (outcome == AttemptOutcome::completed && packedCost != 0)
    cost = ActualCost{(packedCost / kPackedMemoryRange) / 1000.0,
                      (packedCost % kPackedMemoryRange) * kPackedMemoryStepMb};
  controller_.onAttemptFinished(fromWireClock(clock), *attempt, outcome, requestFinished, cost,
                                loadReport ? &*loadReport : nullptr);
  finishedIds_.push_back(requestId);
  eraseFinished();
}

void SimulatorAdapter::onResponseStarted(std::uint64_t clock, WireReader& fields) {
  const std::uint32_t requestId = fields.readU32();
  Attempt* attempt = findAttempt(requestId, fields.readU8());
  fields.readU32();
  fields.readU32();
  fields.expectEnd();
  if (attempt && attempt->inFlight) controller_.onResponseStarted(fromWireClock(clock), *attempt);
}

void SimulatorAdapter::onTimer(std::uint64_t clock, WireReader& fields) {
  fields.readU32();
  fields.expectEnd();
  controller_.onTimer(fromWireClock(clock));
  eraseFinished();
}

void SimulatorAdapter::onPeerMessage(std::uint64_t clock, WireReader& fields) {
  const std::uint32_t senderId = fields.readU32();
  WireReader payload(fields.readBytes(fields.readU16()), "mail from " + std::to_string(senderId));
  fields.expectEnd();
  std::vector<PeerEngineLoad> engineLoads;
  while (payload.remainingSize() > 0) {
    const std::uint32_t engineId = payload.readU32();
    const float threads = payload.readU16();
    const float memoryMb = payload.readU16() * kPeerMemoryStepMb;
    // A peer may know engines that are not yet in this controller's endpoint list.
    const auto entry = engines_.find(engineId);
    if (entry != engines_.end()) engineLoads.push_back({entry->second.get(), threads, memoryMb});
  }
  controller_.onPeerReport(fromWireClock(clock), senderId, engineLoads);
  eraseFinished();
}

void SimulatorAdapter::onClientGone(std::uint64_t clock, WireReader& fields) {
  const std::uint32_t requestId = fields.readU32();
  fields.expectEnd();
  if (Request* request = findRequest(requestId)) {
    controller_.onClientGone(fromWireClock(clock), *request);
    finishedIds_.push_back(requestId);
    eraseFinished();
  }
}

void SimulatorAdapter::onProgress(std::uint64_t clock, WireReader& fields) {
  const std::uint32_t id = fields.readU32();
  Attempt* attempt = findAttempt(id, fields.readU8());
  fields.readU32();
  const std::uint8_t kind = fields.readU8();
  const float value = fields.readF32();
  fields.expectEnd();
  if (kind < kMinProgressCode || kind > kMaxProgressCode)
    throw WireFormatError("change: kind " + std::to_string(kind) + " is unknown");
  if (!attempt || !attempt->inFlight) return;
  controller_.onProgress(fromWireClock(clock), *attempt, static_cast<ProgressKind>(kind - kMinProgressCode),
                         value);
  eraseFinished();
}

void SimulatorAdapter::onHealthCheckResult(std::uint64_t clock, WireReader& fields) {
  Engine& engine = findEngine(fields.readU32());
  const bool answered = fields.readU8() == 0;
  fields.readU32();
  const std::optional<LoadReport> loadReport = readLoadReport(fields);
  fields.expectEnd();
  controller_.onHealthCheckResult(fromWireClock(clock), engine, answered,
                                  loadReport ? &*loadReport : nullptr);
  eraseFinished();
}

void SimulatorAdapter::onEndpointUpdate(std::uint64_t clock, std::uint8_t updateKind,
                                        const std::vector<EndpointEntry>* entries) {
  if (!entries) {
    controller_.onDiscoveryFailed(fromWireClock(clock));
    return;
  }
  EndpointRecords records;
  for (const EndpointEntry& entry : *entries) {
    if (entry.endpoint.machineType >= config_.deployment.machineTypes.size()) {
      throw WireFormatError("register: machine kind " + std::to_string(entry.endpoint.machineType) +
                            " is not in the settings");
    }
    std::unique_ptr<Engine>& engine = engines_[entry.engineId];
    if (!engine) {
      engine = std::make_unique<Engine>();
      engine->number = entry.engineId;
    }
    EndpointRecord endpoint = entry.endpoint;
    if (entry.launchedAt > 0) endpoint.startedAt = fromWireClock(entry.launchedAt);
    records.emplace_back(engine.get(), endpoint);
  }
  controller_.onEndpointUpdate(fromWireClock(clock), updateKind != 0, records);
  eraseFinished();
}

// ---- commands -------------------------------------------------------------------------------------------

void SimulatorAdapter::sendAttempt(Attempt& attempt) {
  beginRecord(CommandCode::sendAttempt)
      .writeU32(attempt.request->id)
      .writeU64(toWireClock(attempt.timesOutAt))
      .writeU32(attempt.engine->number);
}

void SimulatorAdapter::assignResources(Request& request, double memoryGrantMb, int priority) {
  beginRecord(CommandCode::assignResources)
      .writeU32(request.id)
      .writeF32(static_cast<float>(memoryGrantMb))
      .writeU8(static_cast<std::uint8_t>(priority));
}

void SimulatorAdapter::reject(Request& request, Duration retryAfter) {
  beginRecord(CommandCode::reject)
      .writeU32(request.id)
      .writeU32(static_cast<std::uint32_t>(retryAfter.count()));
  finishedIds_.push_back(request.id);
}

void SimulatorAdapter::fail(Request& request) {
  beginRecord(CommandCode::fail).writeU32(request.id);
  finishedIds_.push_back(request.id);
}

void SimulatorAdapter::cancel(Attempt& attempt) {
  beginRecord(CommandCode::cancel).writeU32(attempt.request->id).writeU8(attempt.index);
}

void SimulatorAdapter::scheduleTimer(Duration at) {
  beginRecord(CommandCode::scheduleTimer).writeU64(toWireClock(at)).writeU32(0);
}

void SimulatorAdapter::sendHealthCheck(Engine& engine) {
  beginRecord(CommandCode::sendHealthCheck).writeU32(engine.number);
}

void SimulatorAdapter::sendPeerReport(const std::vector<PeerEngineLoad>& engineLoads) {
  const auto quantize = [](float value) {
    return static_cast<std::uint64_t>(std::lround(std::clamp(value, 0.0F, 65535.0F)));
  };
  std::string payload;
  for (const PeerEngineLoad& engineLoad : engineLoads) {
    if (payload.size() + kPeerLoadSize > kMaxPeerMessageSize) break;
    appendBigEndian(payload, engineLoad.engine->number, 4);
    appendBigEndian(payload, quantize(engineLoad.threads), 2);
    appendBigEndian(payload, quantize(engineLoad.memoryMb / kPeerMemoryStepMb), 2);
  }
  beginRecord(CommandCode::sendPeerReport).writeU16(kBroadcast).writeText(payload);
}

void SimulatorAdapter::requestEndpoints() { beginRecord(CommandCode::requestEndpoints).writeU8(1); }

void SimulatorAdapter::log(std::string_view text) { beginRecord(CommandCode::log).writeText(text); }

// ---- ids and times --------------------------------------------------------------------------------------

Duration SimulatorAdapter::fromWireClock(std::uint64_t clock) const {
  return Duration{static_cast<std::int64_t>(clock - startClock_)};
}

std::uint64_t SimulatorAdapter::toWireClock(Duration sinceStart) const {
  return startClock_ + static_cast<std::uint64_t>(sinceStart.count());
}

ReplyWriter& SimulatorAdapter::beginRecord(CommandCode code) { return writer_.beginRecord(code, instance_); }

Request* SimulatorAdapter::findRequest(std::uint32_t id) {
  const auto entry = requests_.find(id);
  return entry == requests_.end() ? nullptr : entry->second.get();
}

Attempt* SimulatorAdapter::findAttempt(std::uint32_t id, std::uint8_t index) {
  const Request* request = findRequest(id);
  return request && index < request->attempts.size() ? request->attempts[index].get() : nullptr;
}

Engine& SimulatorAdapter::findEngine(std::uint32_t id) {
  const auto entry = engines_.find(id);
  if (entry == engines_.end()) throw WireFormatError("engine " + std::to_string(id) + " is in no list");
  return *entry->second;
}

std::optional<LoadReport> SimulatorAdapter::readLoadReport(WireReader& fields) {
  const std::uint8_t count = fields.readU8();
  if (count == 0) return std::nullopt;
  LoadReport loadReport;
  for (std::uint8_t index = 0; index < count; ++index) {
    const double value = fields.readF32();
    if (index >= config_.loadReportNames.size()) continue;
    const std::string& name = config_.loadReportNames[index];
    if (name == "outstanding") loadReport.requestsInFlight = value;
    if (name == "utilization") loadReport.cpuUtilization = value;
    if (name == "x0") loadReport.memoryGrantedRatio = value;
    if (name == "x1") loadReport.diskUtilization = value;
  }
  return loadReport;
}

void SimulatorAdapter::eraseFinished() {
  for (const std::uint32_t id : finishedIds_) {
    const Request* request = findRequest(id);
    if (request && request->finished && request->inFlightCount() == 0) requests_.erase(id);
  }
  finishedIds_.clear();
}

}  // namespace paddletrack::simulator
