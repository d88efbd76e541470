#include "simulator/batch_server.hpp"

#include <algorithm>
#include <exception>
#include <string>

namespace paddletrack::simulator {
namespace {

constexpr std::size_t kHeaderSize = 20;
constexpr std::size_t kLengthOverhead = 12;  // The length field includes the clock and the record count.
constexpr std::size_t kEndpointEntrySize = 22;
constexpr std::size_t kMaxReadStep = 1 << 20;  // An invalid length must not allocate its full size at once.
constexpr std::uint8_t kMaxUpdateKind = 3;
constexpr std::uint8_t kDiscoveryFailedKind = 3;
constexpr std::uint8_t kMaxStateCode = 2;

// Reads `size` bytes into `bytes`. Returns false at the end of input before the first byte.
bool readExactly(std::istream& input, std::string& bytes, std::size_t size, const char* description) {
  bytes.clear();
  while (bytes.size() < size) {
    const std::size_t previousSize = bytes.size();
    bytes.resize(std::min(size, previousSize + kMaxReadStep));
    input.read(bytes.data() + previousSize, static_cast<std::streamsize>(bytes.size() - previousSize));
    const auto readSize = static_cast<std::size_t>(input.gcount());
    if (previousSize + readSize == bytes.size()) continue;
    if (previousSize + readSize == 0) return false;
    throw WireFormatError(std::string(description) + ": input ends after " +
                          std::to_string(previousSize + readSize) + " of " + std::to_string(size) + " bytes");
  }
  return true;
}

}  // namespace

void BatchServer::serve(std::istream& input, std::ostream& output) {
  std::string bytes;
  while (readExactly(input, bytes, kHeaderSize, "batch header")) {
    WireReader header(bytes, "batch header");
    const std::uint32_t batch = header.readU32();
    const std::uint32_t bodyLength = header.readU32();
    const std::uint64_t clock = header.readU64();
    const std::uint32_t count = header.readU32();
    const std::string batchContext = "batch " + std::to_string(batch);
    if (bodyLength < kLengthOverhead)
      throw WireFormatError(batchContext + ": length " + std::to_string(bodyLength) + " is too short");
    const std::size_t recordsSize = bodyLength - kLengthOverhead;
    if (recordsSize > 0 && !readExactly(input, bytes, recordsSize, batchContext.c_str()))
      throw WireFormatError(batchContext + ": input ends after its header");
    WireReader records(recordsSize > 0 ? std::string_view(bytes) : std::string_view(), batchContext);
    handleRecords(clock, count, records, batchContext);
    if (records.remainingSize() > 0 && count > 0) records.expectEnd();
    const std::string reply = writer_.takeReply(batch);
    output.write(reply.data(), static_cast<std::streamsize>(reply.size()));
    output.flush();
  }
}

void BatchServer::handleRecords(std::uint64_t clock, std::uint32_t count, WireReader& records,
                                const std::string& batchContext) {
  for (std::uint32_t index = 0; index < count; ++index) {
    const std::string recordContext = batchContext + ", record " + std::to_string(index);
    try {
      const std::uint8_t code = records.readU8();
      WireReader fields(records.readBytes(records.readU32()), "code " + std::to_string(code));
      handleEvent(clock, code, fields);
    } catch (const WireFormatError& error) {
      throw WireFormatError(recordContext + ": " + error.what());
    } catch (const protocol::ParseError& error) {
      throw WireFormatError(recordContext + ": " + error.what());
    } catch (const std::exception& error) {
      // An error of the controller, not of the input, is reported with a command of its own.
      writer_.beginRecord(CommandCode::reportFault, 0).writeText(recordContext + ": " + error.what());
      return;
    }
  }
}

void BatchServer::handleEvent(std::uint64_t clock, std::uint8_t code, WireReader& fields) {
  if (code > kMaxEventCode) throw WireFormatError("event code " + std::to_string(code) + " is unknown");
  const auto eventCode = static_cast<EventCode>(code);
  if (eventCode == EventCode::registerEndpointList) {
    registerEndpointList(fields);
    return;
  }
  const std::uint32_t instance = fields.readU32();
  switch (eventCode) {
    case EventCode::start:
      return startController(clock, instance, fields);
    case EventCode::stop:
      return stopController(instance, fields);
    case EventCode::endpointUpdate:
      return updateEndpoints(clock, instance, fields);
    default:
      return handleControllerEvent(clock, eventCode, instance, fields);
  }
}

void BatchServer::handleControllerEvent(std::uint64_t clock, EventCode code, std::uint32_t instance,
                                        WireReader& fields) {
  SimulatorAdapter& adapter = findAdapter(instance);
  switch (code) {
    case EventCode::peerMessage:
      return adapter.onPeerMessage(clock, fields);
    case EventCode::healthCheckResult:
      return adapter.onHealthCheckResult(clock, fields);
    case EventCode::progress:
      return adapter.onProgress(clock, fields);
    case EventCode::timer:
      return adapter.onTimer(clock, fields);
    case EventCode::responseStarted:
      return adapter.onResponseStarted(clock, fields);
    case EventCode::attemptFinished:
      return adapter.onAttemptFinished(clock, fields);
    case EventCode::clientGone:
      return adapter.onClientGone(clock, fields);
    default:
      return adapter.onRequest(clock, fields);
  }
}

void BatchServer::startController(std::uint64_t clock, std::uint32_t instance, WireReader& fields) {
  const std::uint64_t seed = fields.readU64();
  const std::string_view settings = fields.readBytes(fields.readU32());
  fields.expectEnd();
  // A restarted controller keeps none of its former state.
  adapters_.erase(instance);
  adapters_.emplace(instance, std::make_unique<SimulatorAdapter>(instance, clock, seed, settings, writer_));
}

void BatchServer::stopController(std::uint32_t instance, WireReader& fields) {
  findAdapter(instance);
  fields.expectEnd();
  adapters_.erase(instance);
}

void BatchServer::updateEndpoints(std::uint64_t clock, std::uint32_t instance, WireReader& fields) {
  const std::uint8_t updateKind = fields.readU8();
  fields.readU32();
  const std::uint32_t listIndex = fields.readU32();
  fields.expectEnd();
  if (updateKind > kMaxUpdateKind)
    throw WireFormatError("update: kind " + std::to_string(updateKind) + " is unknown");
  if (updateKind == kDiscoveryFailedKind) {
    findAdapter(instance).onEndpointUpdate(clock, updateKind, nullptr);
    return;
  }
  if (listIndex >= endpointLists_.size() || !endpointLists_[listIndex])
    throw WireFormatError("update: list " + std::to_string(listIndex) + " was not registered");
  findAdapter(instance).onEndpointUpdate(clock, updateKind, &*endpointLists_[listIndex]);
}

void BatchServer::registerEndpointList(WireReader& fields) {
  const std::uint32_t listIndex = fields.readU32();
  const std::uint32_t count = fields.readU32();
  if (listIndex >= endpointLists_.size())
    throw WireFormatError("register: number " + std::to_string(listIndex) + " is over 15");
  if (fields.remainingSize() != count * kEndpointEntrySize) {
    throw WireFormatError("register: " + std::to_string(count) + " entries do not fit " +
                          std::to_string(fields.remainingSize()) + " bytes");
  }
  std::vector<EndpointEntry> entries(count);
  for (EndpointEntry& entry : entries) {
    entry.endpoint.zone = fields.readU8();
    entry.launchedAt = fields.readU64();
    entry.engineId = fields.readU32();
    entry.endpoint.machineType = fields.readU16();
    const std::uint8_t stateCode = fields.readU8();
    if (stateCode > kMaxStateCode)
      throw WireFormatError("register: status " + std::to_string(stateCode) + " is unknown");
    entry.endpoint.state = static_cast<EndpointState>(stateCode);
    entry.endpoint.cell = fields.readU16();
    fields.readF32();
  }
  endpointLists_[listIndex] = std::move(entries);
}

SimulatorAdapter& BatchServer::findAdapter(std::uint32_t instance) {
  const auto entry = adapters_.find(instance);
  if (entry == adapters_.end())
    throw WireFormatError("controller " + std::to_string(instance) + " does not run");
  return *entry->second;
}

}  // namespace paddletrack::simulator
