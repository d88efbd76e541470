#include "admin/admin_protocol.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "admin/config_values.hpp"
#include "admin/status_json.hpp"

namespace paddletrack::admin {
namespace {

using Json = nlohmann::ordered_json;

using ManualOverride = addresses::AddressTable::ManualOverride;

struct CommandEntry {
  const char* name;
  Command command;
};
constexpr std::array<CommandEntry, 6> kCommands{{{"status", Command::status},
                                                 {"drain", Command::drain},
                                                 {"cancel", Command::cancel},
                                                 {"watch", Command::watch},
                                                 {"engines", Command::engines},
                                                 {"address", Command::address}}};

struct OverrideEntry {
  const char* name;
  ManualOverride manualOverride;
};
constexpr std::array<OverrideEntry, 3> kOverrides{
    {{"avoid", ManualOverride::avoid}, {"use", ManualOverride::prefer}, {"free", ManualOverride::clear}}};

constexpr Duration kMaxOverrideDuration{std::chrono::hours(24)};
constexpr Duration kMinWatchInterval{std::chrono::milliseconds(20)};
constexpr Duration kMaxWatchInterval{std::chrono::hours(1)};
constexpr std::size_t kMaxIdBytes = 64;
constexpr std::size_t kMaxQuotedBytes = 40;  // Part of an unknown name that an error message quotes.
constexpr int kMaxNesting = 4;               // No message of the protocol has more than two levels.

std::int64_t toMilliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Checks the nesting depth before parsing, because the JSON parser is recursive.
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
      ++depth;
      if (depth > kMaxNesting) throw BadRequest("unreadable", "nested too deep");
    } else if (!inString && (character == '}' || character == ']')) {
      --depth;
    }
  }
  Json message = Json::parse(line, nullptr, false);
  if (message.is_discarded() || !message.is_object())
    throw BadRequest("unreadable", "expected one JSON object per line");
  return message;
}

std::optional<Duration> readDurationField(const Json& message, const char* key) {
  const auto field = message.find(key);
  if (field == message.end() || field->is_null()) return std::nullopt;
  if (!field->is_number_integer())
    throw BadRequest("bad_value", std::string(key), "expected a whole number of milliseconds");
  constexpr std::int64_t kMaxMilliseconds = 1000LL * 86400 * 365;
  const bool isTooLarge = field->is_number_unsigned() &&
                          field->get<std::uint64_t>() > static_cast<std::uint64_t>(kMaxMilliseconds);
  const std::int64_t value =
      isTooLarge ? kMaxMilliseconds : std::max<std::int64_t>(field->get<std::int64_t>(), -1);
  return std::chrono::milliseconds(std::min(value, kMaxMilliseconds));
}

// Returns the JSON text of the request's id, which the reply repeats; "null" if the request has no id.
std::string readId(const Json& message) {
  const auto field = message.find("id");
  if (field == message.end()) return "null";
  if (!field->is_string() && !field->is_number_integer() && !field->is_null())
    throw BadRequest("bad_value", "id", "expected a string or an integer");
  const std::string id = field->dump(-1, ' ', false, Json::error_handler_t::replace);
  if (id.size() > kMaxIdBytes)
    throw BadRequest("bad_value", "id", std::to_string(kMaxIdBytes) + " bytes is the maximum length");
  return id;
}

void checkVersion(const Json& message) {
  const auto version = message.find("v");
  if (version == message.end() || !version->is_number_integer())
    throw BadRequest("bad_version", "v", "must be the protocol version, " + std::to_string(kProtocolVersion));
  if (*version != kProtocolVersion)
    throw BadRequest("bad_version", "v",
                     "unsupported version; this admin server supports version " +
                         std::to_string(kProtocolVersion) + " only");
}

const CommandEntry& readCommand(const Json& message) {
  const auto field = message.find("do");
  if (field == message.end() || !field->is_string())
    throw BadRequest("bad_value", "do", "expected the name of a command");
  const std::string& name = field->get_ref<const std::string&>();
  const auto* const entry = std::find_if(kCommands.begin(), kCommands.end(),
                                         [&](const CommandEntry& known) { return name == known.name; });
  if (entry != kCommands.end()) return *entry;
  const std::string quotedName = name.substr(0, kMaxQuotedBytes);
  std::vector<std::string> knownNames;
  for (const CommandEntry& known : kCommands) knownNames.emplace_back(known.name);
  const std::string closest = findClosestName(quotedName, knownNames);
  throw BadRequest(
      "unknown_wish", "do",
      "unknown command '" + quotedName + "'" + (closest.empty() ? "" : "; did you mean '" + closest + "'?"));
}

bool isKeyOf(Command command, const std::string& key) {
  if (key == "v" || key == "id" || key == "do") return true;
  switch (command) {
    case Command::drain:
      return key == "deadline_ms" || key == "come_back_ms";
    case Command::engines:
      return key == "from";
    case Command::address:
      return key == "engine" || key == "address" || key == "what" || key == "for_ms";
    case Command::watch:
      return key == "every_ms";
    case Command::status:
    case Command::cancel:
      break;
  }
  return false;
}

void checkKeys(const Json& message, const CommandEntry& command) {
  for (const auto& [key, value] : message.items())
    if (!isKeyOf(command.command, key))
      throw BadRequest("unknown_key",
                       "unknown key '" + key.substr(0, kMaxQuotedBytes) + "' for command " + command.name);
}

std::string readTextField(const Json& message, const char* key) {
  const auto field = message.find(key);
  if (field == message.end() || !field->is_string())
    throw BadRequest("bad_value", std::string(key), "expected a string");
  return field->get<std::string>();
}

void readAddressOverride(const Json& message, AdminRequest& request) {
  request.engine = readTextField(message, "engine");
  request.address = readTextField(message, "address");
  const std::string name = readTextField(message, "what");
  const auto* const entry = std::find_if(kOverrides.begin(), kOverrides.end(),
                                         [&](const OverrideEntry& known) { return name == known.name; });
  if (entry == kOverrides.end())
    throw BadRequest("bad_value", "what", "must be \"avoid\", \"use\" or \"free\"");
  request.addressOverride = entry->manualOverride;
  request.overrideDuration = readDurationField(message, "for_ms").value_or(Duration{0});
  const bool isCleared = request.addressOverride == ManualOverride::clear;
  if (!isCleared &&
      (request.overrideDuration <= Duration{0} || request.overrideDuration > kMaxOverrideDuration))
    throw BadRequest("bad_value", "for_ms",
                     "must be more than 0 and at most " + formatDuration(kMaxOverrideDuration) +
                         "; the override ends after this time");
}

void readWatchInterval(const Json& message, AdminRequest& request) {
  const std::optional<Duration> interval = readDurationField(message, "every_ms");
  if (!interval) return;
  if (*interval < kMinWatchInterval || *interval > kMaxWatchInterval)
    throw BadRequest("bad_value", "every_ms",
                     "must be from " + std::to_string(toMilliseconds(kMinWatchInterval)) + " to " +
                         std::to_string(toMilliseconds(kMaxWatchInterval)) + " milliseconds");
  request.watchInterval = *interval;
}

std::string toLine(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace

AdminRequest parseAdminRequest(std::string_view line, std::string& id) {
  const Json message = parseJsonObject(line);
  id = readId(message);
  checkVersion(message);
  const CommandEntry& command = readCommand(message);
  checkKeys(message, command);
  AdminRequest request;
  request.id = id;
  request.command = command.command;
  if (request.command == Command::engines && message.contains("from"))
    request.firstEngineId = readTextField(message, "from");
  if (request.command == Command::address) readAddressOverride(message, request);
  request.deadline = readDurationField(message, "deadline_ms");
  request.retryAfter = readDurationField(message, "come_back_ms");
  readWatchInterval(message, request);
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
  for (std::size_t index = 0; index < std::min(engines.size(), kMaxEnginesPerReply); ++index)
    engineList.push_back(toJson(engines[index]));
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
      "must be from 0 to " + formatDuration(options.maxDeadline) + " (drain.longest)";
  switch (drainError) {
    case drain::DrainError::invalidDeadline:
      return formatErrorReply(id, "bad_deadline", "deadline: " + allowedRange);
    case drain::DrainError::invalidRetryAfter:
      return formatErrorReply(id, "bad_come_back", "come back: " + allowedRange);
    case drain::DrainError::stopping:
      return formatErrorReply(id, "stopping",
                              "the process is shutting down (SIGTERM) and cannot return to service");
    default:
      return formatErrorReply(id, "not_draining", "the controller is not draining; nothing to cancel");
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
  for (const OverrideEntry& entry : kOverrides)
    if (entry.manualOverride == addressOverride) overrideName = entry.name;
  Json request{{"v", kProtocolVersion}, {"id", 1},
               {"do", "address"},       {"engine", engine},
               {"address", address},    {"what", overrideName}};
  if (overrideDuration > Duration{0}) request["for_ms"] = toMilliseconds(overrideDuration);
  return toLine(request);
}

}  // namespace paddletrack::admin
