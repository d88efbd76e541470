#include "protocol/controller_config.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

namespace paddletrack::protocol {
namespace {

constexpr double kMaxNumber = 1e12;  // of any rate, price or multiple: beyond it products lose their meaning
constexpr unsigned kMaxAttemptCount = 255;   // of one job: what numbers them has eight bits
constexpr double kMaxThreadCount = 1 << 16;  // of one job: more than any machine has
constexpr char kEscapedComma =
    '\x1f';  // stands for a comma within one value of a list (ASCII's unit separator)

std::vector<std::string> split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  if (text.empty()) return parts;
  for (;;) {
    const std::size_t position = text.find(separator);
    parts.emplace_back(text.substr(0, position));
    if (position == std::string_view::npos) return parts;
    text.remove_prefix(position + 1);
  }
}

double parseNumber(const std::string& key, std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) {
    throw ParseError("settings: " + key, "'" + std::string(text) + "' is not a number");
  }
  return value;
}

class SettingsReader {
 public:
  explicit SettingsReader(const FlatSettings& settings) : settings_(settings) {}

  bool has(const std::string& key) const { return settings_.count(key) > 0; }
  std::string readString(const std::string& key) const {
    const auto setting = settings_.find(key);
    return setting == settings_.end() ? std::string() : setting->second;
  }
  // An absent number is zero, as the wire has it for every absent value.
  double readNumber(const std::string& key) const { return readInRange(key, 0, kMaxNumber); }
  unsigned readUnsigned(const std::string& key, double minimum = 0) const {
    if (readString(key).empty()) return 0;
    const double value = readInRange(key, minimum, 4e9);
    if (value != std::floor(value)) fail(key, readString(key), "is not a whole number");
    return static_cast<unsigned>(value);
  }
  // How many objects a list has: each has a path at least.
  unsigned readCount(const std::string& key) const {
    const unsigned count = readUnsigned(key);
    if (count > settings_.size()) fail(key, readString(key), "is more than is there");
    return count;
  }
  Duration readDuration(const std::string& key) const {
    return Duration{static_cast<std::int64_t>(readInRange(key, 0, 1e15))};
  }
  double readInRange(const std::string& key, double minimum, double maximum) const {
    return readString(key).empty() ? 0 : readInRange(key, readString(key), minimum, maximum);
  }
  bool readBool(const std::string& key) const { return readChoice(key, {"false", "true"}) == "true"; }
  // One of these, or absent. A word that is not known must not pass for the first of them.
  std::string readChoice(const std::string& key, std::initializer_list<const char*> choices) const {
    return readChoice(key, readString(key), choices);
  }
  std::vector<std::string> readList(const std::string& key) const {
    std::vector<std::string> items = split(readString(key), ',');
    for (std::string& item : items) std::replace(item.begin(), item.end(), kEscapedComma, ',');
    return items;
  }
  // Lists that run beside another: absent, or with a value for each of its `all`.
  double readNumberAt(const std::string& key, std::size_t index, std::size_t count, double minimum) const {
    const std::vector<std::string> values = readParallelList(key, count);
    return values.empty() ? 0 : readInRange(key, values[index], minimum, kMaxNumber);
  }
  bool readBoolAt(const std::string& key, std::size_t index, std::size_t count) const {
    const std::vector<std::string> values = readParallelList(key, count);
    return !values.empty() && readChoice(key, values[index], {"false", "true"}) == "true";
  }

 private:
  [[noreturn]] static void fail(const std::string& key, const std::string& value, const char* problem) {
    throw ParseError("settings: " + key, "'" + value.substr(0, 40) + "' " + problem);
  }
  static double readInRange(const std::string& key, const std::string& text, double minimum, double maximum) {
    const double value = parseNumber(key, text);
    if (value >= minimum && value <= maximum) return value;  // neither holds for NaN
    fail(key, text, "is out of range");
  }
  static std::string readChoice(const std::string& key, const std::string& text,
                                std::initializer_list<const char*> choices) {
    if (text.empty() || std::find(choices.begin(), choices.end(), text) != choices.end()) return text;
    fail(key, text, "is unknown");
  }
  std::vector<std::string> readParallelList(const std::string& key, std::size_t count) const {
    std::vector<std::string> values = readList(key);
    if (!values.empty() && values.size() != count)
      fail(key, readString(key), ("has not a value for each of " + std::to_string(count)).c_str());
    return values;
  }

  const FlatSettings& settings_;
};

// A list of places or kinds, by index; a name is looked up among all names.
std::optional<std::vector<unsigned>> readAllowedIndices(const SettingsReader& reader, const std::string& key,
                                                        const std::string& names) {
  if (!reader.has(key)) return std::nullopt;
  const std::vector<std::string> knownNames = reader.readList(names);
  std::vector<unsigned> indices;
  for (const std::string& name : reader.readList(key)) {
    const auto position =
        static_cast<std::size_t>(std::find(knownNames.begin(), knownNames.end(), name) - knownNames.begin());
    const double index =
        position < knownNames.size() ? static_cast<double>(position) : parseNumber(key, name);
    if (!(index >= 0 && index < static_cast<double>(knownNames.size()) && index == std::floor(index)))
      throw ParseError("settings: " + key, "'" + name + "' is none of " + names);
    indices.push_back(static_cast<unsigned>(index));
  }
  if (indices.empty()) throw ParseError("settings: " + key, "'' names none of " + names);
  return indices;
}

void insertUnique(FlatSettings& settings, const std::string& path, const std::string& text) {
  if (!settings.emplace(path, text).second) throw ParseError("settings: " + path, "stands twice");
}

void flattenValue(const Json& value, const std::string& path, FlatSettings& settings) {
  const std::string childPrefix = path.empty() ? "" : path + ".";
  if (const auto* members = std::get_if<Json::Members>(&value.value)) {
    for (const auto& [name, member] : *members) flattenValue(member, childPrefix + name, settings);
  } else if (const auto* elements = std::get_if<Json::Elements>(&value.value)) {
    const bool holdsObjects =
        !elements->empty() && std::holds_alternative<Json::Members>(elements->front().value);
    if (holdsObjects) insertUnique(settings, childPrefix + "count", std::to_string(elements->size()));
    std::string joined;
    for (std::size_t index = 0; index < elements->size(); ++index) {
      if (holdsObjects) {
        flattenValue((*elements)[index], childPrefix + std::to_string(index), settings);
        continue;
      }
      FlatSettings single;
      flattenValue((*elements)[index], "", single);
      if (single.size() != 1) throw ParseError("settings: " + path, "a list within a list");
      std::string text = single.begin()->second;
      std::replace(text.begin(), text.end(), ',', kEscapedComma);
      joined += (index > 0 ? "," : "") + text;
    }
    if (!holdsObjects) insertUnique(settings, path, joined);
  } else if (const auto* text = std::get_if<std::string>(&value.value)) {
    insertUnique(settings, path, *text);
  } else if (const auto* flag = std::get_if<bool>(&value.value)) {
    insertUnique(settings, path, *flag ? "true" : "false");
  } else if (std::holds_alternative<double>(value.value)) {
    insertUnique(settings, path, value.numberText);
  } else {
    if (path.empty()) settings[path];  // null in a list; elsewhere as good as absent
  }
}

RequestClass readRequestClass(const SettingsReader& reader, std::size_t index, std::size_t classCount) {
  const std::string prefix = "profiles." + std::to_string(index) + ".";
  RequestClass requestClass;
  requestClass.index = index;
  const std::string idempotency = reader.readString(prefix + "idempotency");
  const std::string group = reader.readChoice(prefix + "group", {"all", "zone", "cell"});
  if (idempotency == "dedup")
    requestClass.idempotency = Idempotency::idempotentByKey;
  else if (idempotency == "fragile")
    requestClass.idempotency = Idempotency::notIdempotent;
  else if (idempotency != "retryable")
    throw ParseError("settings: " + prefix + "idempotency", "'" + idempotency + "' is unknown");
  if (group == "zone") requestClass.retryScope = RetryScope::sameZone;
  if (group == "cell") requestClass.retryScope = RetryScope::sameCell;
  requestClass.idempotencyWindow = reader.readDuration(prefix + "windowUs");
  requestClass.ordered = reader.readBool(prefix + "fifoByKey");
  requestClass.allowedZones = readAllowedIndices(reader, prefix + "confinedTo", "zones");
  requestClass.allowedMachineTypes = readAllowedIndices(reader, prefix + "machineTypesOnly", "machineTypes");
  requestClass.latencyObjective = reader.readDuration(prefix + "onTimeUs");
  requestClass.latencyObjectiveCostFactor = reader.readNumber(prefix + "aimStretch");
  requestClass.requestTimeout = reader.readDuration(prefix + "giveUpUs");
  requestClass.lateWeight = reader.readNumber(prefix + "lateWorth");
  requestClass.threads = static_cast<int>(
      std::clamp(reader.readNumberAt("familyInfo.widthByClass", index, classCount, 1), 1.0, kMaxThreadCount));
  requestClass.isDataLoad = reader.readBoolAt("familyInfo.loads", index, classCount);
  requestClass.waitsForDataLoads = reader.readBoolAt("familyInfo.yieldsToLoads", index, classCount);
  return requestClass;
}

}  // namespace

FlatSettings flattenLines(std::string_view text) {
  FlatSettings settings;
  for (const std::string& line : split(text, '\n')) {
    if (line.empty()) continue;
    const std::size_t separator = line.find('=');
    if (separator == std::string::npos || separator == 0)
      throw ParseError("settings", "'" + line + "' is not path=value");
    settings[line.substr(0, separator)] = line.substr(separator + 1);
  }
  return settings;
}

FlatSettings flattenJson(const Json& json) {
  FlatSettings settings;
  flattenValue(json, "", settings);
  return settings;
}

ControllerConfig decodeControllerConfig(const FlatSettings& settings) {
  const SettingsReader reader(settings);
  ControllerConfig config;
  Deployment& deployment = config.deployment;
  deployment.controllerCount = std::max(1U, reader.readUnsigned("balancers", 1));
  deployment.zone = reader.readUnsigned("zone");
  const std::size_t classCount = reader.readCount("profiles.count"),
                    tenantCount = reader.readCount("tenants.count");
  for (std::size_t index = 0; index < classCount; ++index) {
    deployment.requestClasses.push_back(readRequestClass(reader, index, classCount));
    deployment.loadsBlockReaders =
        deployment.loadsBlockReaders || deployment.requestClasses.back().waitsForDataLoads;
    config.requestClassNames.push_back(reader.readString("profiles." + std::to_string(index) + ".name"));
  }
  if (deployment.requestClasses.empty()) throw ParseError("settings: profiles.count", "no reservation type");
  for (std::size_t item = 0; item < tenantCount; ++item) {
    const std::string prefix = "tenants." + std::to_string(item) + ".";
    deployment.tenants.push_back({reader.readNumber(prefix + "quotaPerS")});
    config.tenantNames.push_back(reader.readString(prefix + "name"));
  }
  config.zoneNames = reader.readList("zones");
  config.machineTypeNames = reader.readList("machineTypes");
  if (!config.zoneNames.empty() && deployment.zone >= config.zoneNames.size())
    throw ParseError("settings: zone", "'" + reader.readString("zone") + "' is none of zones");
  const std::size_t machineTypeCount = config.machineTypeNames.size();
  for (std::size_t element = 0; element < machineTypeCount; ++element) {
    deployment.machineTypes.push_back(
        {std::max(1.0, reader.readNumberAt("familyInfo.kindCores", element, machineTypeCount, 1)),
         reader.readNumberAt("familyInfo.memoryByKindMb", element, machineTypeCount, 0)});
  }
  deployment.weightGrowsWithWork = reader.readString("valueBy") == "work";
  deployment.honorsMemoryGrants = reader.readBool("familyInfo.memoryHeeded");
  deployment.lacksCostReports = !reader.readBool("familyInfo.saysCost");
  deployment.allowsMemoryOvercommit =
      reader.readChoice("familyInfo.memoryShort", {"wait", "shrink", "page"}) == "page";
  const double grantRatio = reader.readInRange("familyInfo.grantCap", 0, 1);
  for (const MachineType& machineType : deployment.machineTypes)
    deployment.maxMemoryGrantMb = std::max(deployment.maxMemoryGrantMb, grantRatio * machineType.memoryMb);
  deployment.honorsPriorities = reader.readBool("familyInfo.lanesCount");
  deployment.progressInterval = reader.readDuration("familyInfo.progressPaceUs");
  deployment.reportsLoadOnHealthCheck =
      reader.readChoice("reporting.source", {"inline", "on_probe", "off"}) == "on_probe";
  deployment.allowsHealthChecks = reader.readBool("limits.probes");
  deployment.allowsPeerReports = reader.readBool("limits.peers");
  deployment.allowsCancellation = reader.readBool("limits.cancelling");
  deployment.allowsHedging = reader.readBool("limits.parallelTries");
  deployment.honorsRetryAfter = reader.readBool("limits.retryAfter");
  deployment.maxRetryAfter = reader.readDuration("limits.maxRetryAfterUs");
  deployment.maxAttempts =
      static_cast<int>(std::clamp(reader.readUnsigned("limits.mostTries", 1), 1U, kMaxAttemptCount));
  deployment.requiresDiscoveryPolling =
      reader.readChoice("registryMode", {"pushed", "on_request"}) == "on_request";
  deployment.maxDiscoveryPollInterval = reader.readDuration("rules.mustAskInUs");
  deployment.tickDuration = reader.readDuration("tickUs");
  deployment.warmupTime = reader.readDuration("rules.coldUs");
  deployment.initialCapacityRatio = reader.readInRange("rules.startCapacity", 0, 1);
  deployment.warmupOverloadRatio = reader.readNumber("rules.fallMultiple");
  deployment.warmupWindow = reader.readDuration("rules.fallUs");
  deployment.orderingHold = reader.readDuration("rules.turnGapUs");
  deployment.retryBudgetMin = reader.readNumber("rules.extraFloor");
  deployment.retryBudgetRatio = reader.readNumber("rules.repeatRatio");
  deployment.retryBudgetWindow = reader.readDuration("rules.budgetSpanUs");
  deployment.crossZoneCost = reader.readNumber("prices.crossZone");
  config.maxOpenRequests = reader.readString("limits.maxOpen").empty()
                               ? std::numeric_limits<std::size_t>::max()
                               : reader.readUnsigned("limits.maxOpen", 1);
  config.maxAttemptsPerConnection = std::max(1U, reader.readUnsigned("limits.streamsPerConn", 1));
  config.connectTimeout = reader.readDuration("limits.dialTimeoutUs");
  config.responseSlack = reader.readDuration("rules.answerSlackUs");
  config.idleTimeout = reader.readDuration("limits.idleCloseUs");
  config.loadReportNames = reader.readList("reporting.names");
  return config;
}

std::size_t indexOfName(const std::vector<std::string>& names, std::string_view name, const char* subject) {
  const auto position = std::find(names.begin(), names.end(), name);
  if (position == names.end())
    throw ParseError(subject, "'" + std::string(name.substr(0, 40)) + "' is unknown");
  return static_cast<std::size_t>(position - names.begin());
}

}  // namespace paddletrack::protocol
