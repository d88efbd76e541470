#include "admin/admin_protocol.hpp"

#include <array>
#include <nlohmann/json.hpp>

#include "admin/operator_config.hpp"

namespace paddletrack::admin {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::pair<const char*, Command>, 6> kCommands{{{"status", Command::status},
                                                                    {"drain", Command::drain},
                                                                    {"cancel", Command::cancel},
                                                                    {"watch", Command::watch},
                                                                    {"engines", Command::engines},
                                                                    {"address", Command::address}}};
constexpr std::array<std::pair<const char*, addresses::AddressTable::ManualOverride>, 3> kAddressOverrides{
    {{"avoid", addresses::AddressTable::ManualOverride::avoid},
     {"use", addresses::AddressTable::ManualOverride::prefer},
     {"free", addresses::AddressTable::ManualOverride::clear}}};
constexpr Duration kMaxOverrideDuration{std::chrono::hours(24)};
constexpr Duration kMinWatchInterval{std::chrono::milliseconds(20)}, kMaxWatchInterval{std::chrono::hours(1)};
constexpr std::size_t kMaxIdBytes = 64;

std::int64_t toMilliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Nesting is bounded before the text is parsed: nothing here is deeper than two.
Json parseJsonObject(std::string_view line) {
  int depth = 0;
  bool inString = false;
  for (std::size_t position = 0; position < line.size(); ++position) {
    const char character = line[position];
    if (inString && character == '\\') {
      ++position;
    } else if (character == '"') {
      inString = !inString;
    } else if (!inString && (character == '{' || character == '[')) {
      if (++depth > 4) throw BadRequest("unreadable", "nested too deep");
    } else if (!inString && (character == '}' || character == ']')) {
      --depth;
    }
  }
  Json message = Json::parse(line, nullptr, false);
  if (message.is_discarded() || !message.is_object())
    throw BadRequest("unreadable", "a JSON object a line is expected");
  return message;
}

std::optional<Duration> readDurationField(const Json& message, const char* key) {
  const auto field = message.find(key);
  if (field == message.end() || field->is_null()) return std::nullopt;
  if (!field->is_number_integer())
    throw BadRequest("bad_value", std::string(key), "whole milliseconds are expected");
  constexpr std::int64_t kMaxMilliseconds = 1000LL * 86400 * 365;
  const bool isTooLarge = field->is_number_unsigned() &&
                          field->get<std::uint64_t>() > static_cast<std::uint64_t>(kMaxMilliseconds);
  const std::int64_t value =
      isTooLarge ? kMaxMilliseconds : std::max<std::int64_t>(field->get<std::int64_t>(), -1);
  return std::chrono::milliseconds(std::min(value, kMaxMilliseconds));
}

Json toJson(const GossipStatus& status) {
  const auto loadToJson = [](const LoadStatus& load) {
    return Json{{"threads", load.threads}, {"jobs", load.requests}};
  };
  Json peers = Json::array(), dropped = Json::object(), engines = Json::object();
  for (const auto& peer : status.peers)
    peers.push_back(
        {{"address", peer.address},
         {"controller", peer.controllerName.empty() ? Json(nullptr) : Json(peer.controllerName)},
         {"heard_ms_ago", peer.lastMessageAgo ? Json(toMilliseconds(*peer.lastMessageAgo)) : Json(nullptr)}});
  for (const auto& [reason, count] : status.droppedByReason) dropped[reason] = count;
  for (const auto& [name, engineLoad] : status.engineLoads) engines[name] = loadToJson(engineLoad);
  return {{"cluster", status.cluster},
          {"controller", status.controllerName},
          {"generation", status.incarnation},
          {"later_lives", status.laterIncarnations},
          {"peers", status.peerCount},
          {"peers_heard", status.activePeerCount},
          {"each_peer", std::move(peers)},
          {"owners", status.knownControllers},
          {"entries", status.entries},
          {"bytes", status.bytes},
          {"most_bytes", status.maxBytes},
          {"in", {{"datagrams", status.datagramsReceived}, {"bytes", status.bytesReceived}}},
          {"out", {{"datagrams", status.datagramsSent}, {"bytes", status.bytesSent}}},
          {"dropped", std::move(dropped)},
          {"fleet",
           {{"controllers", status.reportingControllers},
            {"live", status.liveControllers},
            {"threads", status.totalLoad.threads},
            {"jobs", status.totalLoad.requests},
            {"engines", std::move(engines)}}}};
}

Json toJson(const counterfactual::Estimate& estimate) {
  if (!estimate.isConclusive()) return describeVerdict(estimate.verdict);
  return {{"value", estimate.value}, {"low", estimate.low}, {"high", estimate.high}};
}

Json toJson(const counterfactual::CounterfactualReport& report) {
  Json classes = Json::array(), engines = Json::object(), locations = Json::object();
  for (const auto& classReport : report.classes) {
    Json alternatives = Json::object();
    for (const auto& alternative : classReport.policies)
      alternatives[alternative.name] = {{"within_reach", alternative.reachableRatio},
                                        {"out_of_reach", alternative.unreachableRatio},
                                        {"effective_jobs", alternative.effectiveSampleSize},
                                        {"in_time", toJson(alternative.value[0])},
                                        {"latency_s", toJson(alternative.value[1])},
                                        {"in_time_change", toJson(alternative.improvement[0])},
                                        {"latency_change_s", toJson(alternative.improvement[1])}};
    classes.push_back({{"class", classReport.name.empty() ? Json(nullptr) : Json(classReport.name)},
                       {"jobs", classReport.requests},
                       {"in_time", classReport.onTimeRatio},
                       {"latency_s", classReport.meanLatency},
                       {"had_it_been", std::move(alternatives)}});
  }
  const auto regretToJson = [](const counterfactual::CounterfactualReport::DestinationReport& siteInstance) {
    return Json{{"jobs", siteInstance.requests},
                {"in_time_regret", toJson(siteInstance.regret[0])},
                {"latency_regret_s", toJson(siteInstance.regret[1])}};
  };
  for (const auto& engine : report.engines) engines[engine.name] = regretToJson(engine);
  for (const auto& zone : report.zones) locations[zone.name] = regretToJson(zone);
  return {{"controllers", report.controllers},
          {"explained", report.isCalibrated},
          {"classes", std::move(classes)},
          {"engines", std::move(engines)},
          {"locations", std::move(locations)}};
}

Json toJson(const CounterfactualStatus& status) {
  Json json{{"window_ms", toMilliseconds(status.window)},
            {"records", status.maxRecords},
            {"held", status.recordCount},
            {"open", status.openRequests},
            {"finished", status.finishedRequests},
            {"dropped", status.droppedRecords},
            {"own", toJson(status.local)},
            {"fleet", nullptr}};
  if (status.fleet) json["fleet"] = toJson(*status.fleet);
  return json;
}

Json toJson(const ControllerStatus& status) {
  Json openWork{{"jobs", status.open.requests}};
  Json requestsByClass = Json::object();
  for (const auto& [name, count] : status.open.requestsByClass) requestsByClass[name] = count;
  openWork["by_type"] = std::move(requestsByClass);
  openWork["dispatches"] = status.open.attempts;
  openWork["bytes_unsent"] = status.open.unsentBytes;
  openWork["longest_left_ms"] = toMilliseconds(status.open.maxRemaining);
  Json json{{"name", status.name},
            {"process", status.processId},
            {"state", nameOf(status.state)},
            {"stopping", status.isStopping},
            {"up_ms", toMilliseconds(status.uptime)},
            {"connections", status.open.connections},
            {"open", std::move(openWork)},
            {"totals",
             {{"taken", status.accepted},
              {"done", status.totals.completed},
              {"throttled", status.totals.rejected},
              {"cancelled", status.totals.failed},
              {"left", status.totals.abandoned},
              {"turned_away", status.totals.rejectedByDrain}}}};
  json["expected_end"] = nullptr;
  if (status.expectedCompletion)
    json["expected_end"] = {{"estimate", true},
                            {"in_ms", toMilliseconds(status.expectedCompletion->remaining)},
                            {"from_answers", status.expectedCompletion->sampleCount}};
  if (status.gossip) json["share"] = toJson(*status.gossip);
  json["list"] = nullptr;
  if (const auto& endpointList = status.endpointList) {
    const auto millisecondsOrNull = [](const std::optional<Duration>& duration) {
      return duration ? Json(toMilliseconds(*duration)) : Json(nullptr);
    };
    json["list"] = {{"number", endpointList->lastEventNumber},
                    {"following", endpointList->isWatching},
                    {"behind", endpointList->isBehind},
                    {"dials", endpointList->connectCount},
                    {"failures", endpointList->consecutiveFailures},
                    {"next_dial_in_ms", millisecondsOrNull(endpointList->reconnectsIn)},
                    {"moves_in_ms", millisecondsOrNull(endpointList->switchesIn)}};
  }
  if (status.counterfactual) json["hindsight"] = toJson(*status.counterfactual);
  json["drain"] = nullptr;
  if (!status.drain) return json;
  const DrainStatus& drainStatus = *status.drain;
  json["drain"] = {{"number", drainStatus.number},
                   {"asked_ms_ago", toMilliseconds(drainStatus.requestedAgo)},
                   {"deadline_in_ms", toMilliseconds(drainStatus.deadlineIn)},
                   {"come_back_ms", toMilliseconds(drainStatus.retryAfter)},
                   {"front_told", drainStatus.frontLayerNotified},
                   {"open_at_ask", drainStatus.requestsAtStart},
                   {"since_ask",
                    {{"done", drainStatus.totals.completed},
                     {"throttled", drainStatus.totals.rejected},
                     {"cancelled", drainStatus.totals.failed},
                     {"left", drainStatus.totals.abandoned},
                     {"turned_away", drainStatus.totals.rejectedByDrain}}},
                   {"ended_by_deadline", drainStatus.requestsEndedByDeadline},
                   {"missed", drainStatus.deadlineMissed},
                   {"cancelled", drainStatus.cancelled},
                   {"drained_after_ms", nullptr}};
  if (drainStatus.drainedAfter) json["drain"]["drained_after_ms"] = toMilliseconds(*drainStatus.drainedAfter);
  return json;
}

std::string toLine(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace

AdminRequest parseAdminRequest(std::string_view text, std::string& id) {
  const Json message = parseJsonObject(text);
  AdminRequest request;
  if (const auto idField = message.find("id"); idField != message.end()) {
    if (!idField->is_string() && !idField->is_number_integer() && !idField->is_null())
      throw BadRequest("bad_value", "id", "a text or a whole number is expected");
    id = idField->dump(-1, ' ', false, Json::error_handler_t::replace);
    if (id.size() > kMaxIdBytes) {
      id = "null";
      throw BadRequest("bad_value", "id", std::to_string(kMaxIdBytes) + " bytes at most");
    }
  }
  request.id = id;
  const auto version = message.find("v");
  if (version == message.end() || !version->is_number_integer())
    throw BadRequest("bad_version", "v", "the version is expected, " + std::to_string(kProtocolVersion));
  if (*version != kProtocolVersion)
    throw BadRequest("bad_version", "v",
                     "this door speaks version " + std::to_string(kProtocolVersion) + " alone");
  const auto commandField = message.find("do");
  if (commandField == message.end() || !commandField->is_string())
    throw BadRequest("bad_value", "do", "what is wanted is expected");
  const std::string& commandName = commandField->get_ref<const std::string&>();
  const auto* command = std::find_if(kCommands.begin(), kCommands.end(),
                                     [&](const auto& item) { return commandName == item.first; });
  if (command == kCommands.end()) {
    std::vector<std::string> names;
    for (const auto& item : kCommands) names.emplace_back(item.first);
    const std::string closest = findClosestName(commandName.substr(0, 40), names);
    throw BadRequest("unknown_wish", "do",
                     "'" + commandName.substr(0, 40) + "' is unknown" +
                         (closest.empty() ? "" : "; '" + closest + "' is meant?"));
  }
  request.command = command->second;
  for (const auto& [key, value] : message.items()) {
    const bool isCommonKey = key == "v" || key == "id" || key == "do";
    const bool isDrainKey =
        request.command == Command::drain && (key == "deadline_ms" || key == "come_back_ms");
    const bool isEnginesKey = request.command == Command::engines && key == "from";
    const bool isAddressKey = request.command == Command::address &&
                              (key == "engine" || key == "address" || key == "what" || key == "for_ms");
    if (!isCommonKey && !isDrainKey && !isEnginesKey && !isAddressKey &&
        !(request.command == Command::watch && key == "every_ms"))
      throw BadRequest("unknown_key", "'" + key.substr(0, 40) + "' is not known of " + command->first);
  }
  const auto readTextField = [&](const char* key, bool isRequired) {
    const auto field = message.find(key);
    if (field == message.end() && !isRequired) return std::string();
    if (field == message.end() || !field->is_string())
      throw BadRequest("bad_value", std::string(key), "a text is expected");
    return field->get<std::string>();
  };
  if (request.command == Command::engines) request.firstEngineId = readTextField("from", false);
  if (request.command == Command::address) {
    request.engine = readTextField("engine", true);
    request.address = readTextField("address", true);
    const std::string overrideName = readTextField("what", true);
    const auto* addressOverride = std::find_if(kAddressOverrides.begin(), kAddressOverrides.end(),
                                               [&](const auto& item) { return overrideName == item.first; });
    if (addressOverride == kAddressOverrides.end())
      throw BadRequest("bad_value", "what", "\"avoid\", \"use\" or \"free\" is expected");
    request.addressOverride = addressOverride->second;
    request.overrideDuration = readDurationField(message, "for_ms").value_or(Duration{0});
    const bool isCleared = request.addressOverride == addresses::AddressTable::ManualOverride::clear;
    if (!isCleared &&
        (request.overrideDuration <= Duration{0} || request.overrideDuration > kMaxOverrideDuration))
      throw BadRequest("bad_value", "for_ms",
                       "up to " + formatDuration(kMaxOverrideDuration) + " is expected; it ends by itself");
  }
  request.deadline = readDurationField(message, "deadline_ms");
  request.retryAfter = readDurationField(message, "come_back_ms");
  if (const auto watchInterval = readDurationField(message, "every_ms")) {
    if (*watchInterval < kMinWatchInterval || *watchInterval > kMaxWatchInterval)
      throw BadRequest("bad_value", "every_ms",
                       "from " + std::to_string(toMilliseconds(kMinWatchInterval)) + " to " +
                           std::to_string(toMilliseconds(kMaxWatchInterval)) + " is expected");
    request.watchInterval = *watchInterval;
  }
  return request;
}

std::string formatStatusReply(const std::string& id, const ControllerStatus& status) {
  return toLine({{"v", kProtocolVersion}, {"id", Json::parse(id)}, {"ok", true}, {"status", toJson(status)}});
}

std::string formatOkReply(const std::string& id) {
  return toLine({{"v", kProtocolVersion}, {"id", Json::parse(id)}, {"ok", true}});
}

std::string formatEnginesReply(const std::string& id, const std::vector<EngineStatus>& engines) {
  Json engineList = Json::array();
  const auto millisecondsOrNull = [](const std::optional<Duration>& duration) {
    return duration ? Json(toMilliseconds(*duration)) : Json(nullptr);
  };
  for (std::size_t index = 0; index < std::min(engines.size(), kMaxEnginesPerReply); ++index) {
    const EngineStatus& engine = engines[index];
    Json addresses = Json::array();
    for (const auto& address : engine.addresses) {
      Json addressJson{
          {"address", address.name},
          {"family", address.family},
          {"state", address.state},
          {"connections", address.connections},
          {"last_good_ms_ago", millisecondsOrNull(address.lastSuccessAgo)},
          {"last_failure", nullptr},
          {"rests_ms", toMilliseconds(address.backoffRemaining)},
          {"connect_us", address.connectDuration ? Json(address.connectDuration->count()) : Json(nullptr)},
          {"by_hand_left_ms", millisecondsOrNull(address.overrideRemaining)}};
      if (address.lastFailureAgo)
        addressJson["last_failure"] = {{"what", address.lastFailure},
                                       {"ms_ago", toMilliseconds(*address.lastFailureAgo)}};
      addresses.push_back(std::move(addressJson));
    }
    engineList.push_back({{"engine", engine.id},
                          {"standing", engine.state},
                          {"connections", engine.connections},
                          {"dispatches", engine.attempts},
                          {"dialling", engine.connecting},
                          {"addresses", std::move(addresses)}});
  }
  Json response{{"v", kProtocolVersion},
                {"id", Json::parse(id)},
                {"ok", true},
                {"engines", std::move(engineList)},
                {"next", nullptr}};
  if (engines.size() > kMaxEnginesPerReply) response["next"] = engines[kMaxEnginesPerReply].id;
  return toLine(response);
}

std::string formatProgressEvent(const ControllerStatus& status) {
  return toLine({{"v", kProtocolVersion}, {"event", "progress"}, {"status", toJson(status)}});
}

std::string formatErrorReply(const std::string& id, const char* code, const std::string& message) {
  return toLine({{"v", kProtocolVersion},
                 {"id", Json::parse(id)},
                 {"ok", false},
                 {"error", {{"code", code}, {"text", message}}}});
}

std::string formatDrainErrorReply(const std::string& id, drain::DrainError drainError,
                                  const drain::Options& options) {
  const std::string allowedRange =
      "from 0 to " + formatDuration(options.maxDeadline) + " is expected (drain.longest)";
  switch (drainError) {
    case drain::DrainError::invalidDeadline:
      return formatErrorReply(id, "bad_deadline", "deadline: " + allowedRange);
    case drain::DrainError::invalidRetryAfter:
      return formatErrorReply(id, "bad_come_back", "come back: " + allowedRange);
    case drain::DrainError::stopping:
      return formatErrorReply(id, "stopping",
                              "the process was told to end (SIGTERM) and can't be brought back");
    default:
      return formatErrorReply(id, "not_draining", "it is not draining: nothing to cancel");
  }
}

std::string formatDrainRequest(std::optional<Duration> deadline, std::optional<Duration> retryAfter) {
  Json request{{"v", kProtocolVersion}, {"id", 1}, {"do", "drain"}};
  if (deadline) request["deadline_ms"] = toMilliseconds(*deadline);
  if (retryAfter) request["come_back_ms"] = toMilliseconds(*retryAfter);
  return toLine(request);
}
std::string formatCancelRequest() { return toLine({{"v", kProtocolVersion}, {"id", 1}, {"do", "cancel"}}); }
std::string formatStatusRequest() { return toLine({{"v", kProtocolVersion}, {"id", 1}, {"do", "status"}}); }
std::string formatWatchRequest(Duration interval) {
  return toLine(
      {{"v", kProtocolVersion}, {"id", 1}, {"do", "watch"}, {"every_ms", toMilliseconds(interval)}});
}

std::string formatEnginesRequest(const std::string& firstEngineId) {
  return toLine({{"v", kProtocolVersion}, {"id", 1}, {"do", "engines"}, {"from", firstEngineId}});
}
std::string formatAddressRequest(const std::string& engine, const std::string& address,
                                 addresses::AddressTable::ManualOverride addressOverride,
                                 Duration overrideDuration) {
  const char* overrideName = "";
  for (const auto& item : kAddressOverrides)
    if (item.second == addressOverride) overrideName = item.first;
  Json request{{"v", kProtocolVersion}, {"id", 1},
               {"do", "address"},       {"engine", engine},
               {"address", address},    {"what", overrideName}};
  if (overrideDuration > Duration{0}) request["for_ms"] = toMilliseconds(overrideDuration);
  return toLine(request);
}

}  // namespace paddletrack::admin
