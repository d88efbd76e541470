#include "protocol/controller_config.hpp"

#include <algorithm>
#include <limits>

#include "protocol/settings_reader.hpp"

namespace paddletrack::protocol {
namespace {

constexpr unsigned kMaxAttemptCount = 255;   // The index of an attempt has eight bits.
constexpr double kMaxThreadCount = 1 << 16;  // More than any machine has.

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
  requestClass.allowedZones = reader.readIndices(prefix + "confinedTo", "zones");
  requestClass.allowedMachineTypes = reader.readIndices(prefix + "machineTypesOnly", "machineTypes");
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

void readTenant(const SettingsReader& reader, std::size_t index, ControllerConfig& config) {
  const std::string prefix = "tenants." + std::to_string(index) + ".";
  config.deployment.tenants.push_back({reader.readNumber(prefix + "quotaPerS")});
  config.tenantNames.push_back(reader.readString(prefix + "name"));
}

void readRequestClasses(const SettingsReader& reader, std::size_t classCount, ControllerConfig& config) {
  Deployment& deployment = config.deployment;
  for (std::size_t index = 0; index < classCount; ++index) {
    const RequestClass& requestClass =
        deployment.requestClasses.emplace_back(readRequestClass(reader, index, classCount));
    deployment.loadsBlockReaders = deployment.loadsBlockReaders || requestClass.waitsForDataLoads;
    config.requestClassNames.push_back(reader.readString("profiles." + std::to_string(index) + ".name"));
  }
  if (deployment.requestClasses.empty()) throw ParseError("settings: profiles.count", "no request class");
}

void readZoneAndMachineTypeNames(const SettingsReader& reader, ControllerConfig& config) {
  config.zoneNames = reader.readList("zones");
  config.machineTypeNames = reader.readList("machineTypes");
  if (!config.zoneNames.empty() && config.deployment.zone >= config.zoneNames.size())
    throw ParseError("settings: zone", "'" + reader.readString("zone") + "' is not in zones");
}

void readMachineTypes(const SettingsReader& reader, ControllerConfig& config) {
  const std::size_t machineTypeCount = config.machineTypeNames.size();
  for (std::size_t index = 0; index < machineTypeCount; ++index) {
    const double cores = reader.readNumberAt("familyInfo.kindCores", index, machineTypeCount, 1);
    const double memoryMb = reader.readNumberAt("familyInfo.memoryByKindMb", index, machineTypeCount, 0);
    config.deployment.machineTypes.push_back({std::max(1.0, cores), memoryMb});
  }
}

// Reads which features the engines of this deployment support.
void readEngineCapabilities(const SettingsReader& reader, Deployment& deployment) {
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
}

void readLimits(const SettingsReader& reader, Deployment& deployment) {
  deployment.allowsHealthChecks = reader.readBool("limits.probes");
  deployment.allowsPeerReports = reader.readBool("limits.peers");
  deployment.allowsCancellation = reader.readBool("limits.cancelling");
  deployment.allowsHedging = reader.readBool("limits.parallelTries");
  deployment.honorsRetryAfter = reader.readBool("limits.retryAfter");
  deployment.maxRetryAfter = reader.readDuration("limits.maxRetryAfterUs");
  deployment.maxAttempts =
      static_cast<int>(std::clamp(reader.readUnsigned("limits.mostTries", 1), 1U, kMaxAttemptCount));
}

void readRules(const SettingsReader& reader, Deployment& deployment) {
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
}

// Reads the settings that only the connections to clients and engines use.
void readServiceLimits(const SettingsReader& reader, ControllerConfig& config) {
  config.maxOpenRequests = reader.readString("limits.maxOpen").empty()
                               ? std::numeric_limits<std::size_t>::max()
                               : reader.readUnsigned("limits.maxOpen", 1);
  config.maxAttemptsPerConnection = std::max(1U, reader.readUnsigned("limits.streamsPerConn", 1));
  config.connectTimeout = reader.readDuration("limits.dialTimeoutUs");
  config.responseSlack = reader.readDuration("rules.answerSlackUs");
  config.idleTimeout = reader.readDuration("limits.idleCloseUs");
  config.loadReportNames = reader.readList("reporting.names");
}

}  // namespace

// Settings are read in a fixed order, so that the same invalid setting is always the one reported.
ControllerConfig decodeControllerConfig(const FlatSettings& settings) {
  const SettingsReader reader(settings);
  ControllerConfig config;
  Deployment& deployment = config.deployment;
  deployment.controllerCount = std::max(1U, reader.readUnsigned("balancers", 1));
  deployment.zone = reader.readUnsigned("zone");
  const std::size_t classCount = reader.readCount("profiles.count");
  const std::size_t tenantCount = reader.readCount("tenants.count");
  readRequestClasses(reader, classCount, config);
  for (std::size_t index = 0; index < tenantCount; ++index) readTenant(reader, index, config);
  readZoneAndMachineTypeNames(reader, config);
  readMachineTypes(reader, config);
  readEngineCapabilities(reader, deployment);
  readLimits(reader, deployment);
  readRules(reader, deployment);
  readServiceLimits(reader, config);
  return config;
}

std::size_t indexOfName(const std::vector<std::string>& names, std::string_view name, const char* subject) {
  const auto position = std::find(names.begin(), names.end(), name);
  if (position == names.end())
    throw ParseError(subject, "'" + std::string(name.substr(0, 40)) + "' is unknown");
  return static_cast<std::size_t>(position - names.begin());
}

}  // namespace paddletrack::protocol
