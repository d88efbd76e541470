// Node configurations of different sites: all site-specific names come from the configuration, invalid values
// are rejected, and controllers of different sites are isolated from each other.
#include "program/node_config.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cctype>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "fakes/fake_fleet.hpp"
#include "fakes/test_scheduler.hpp"

namespace paddletrack {
namespace {

using namespace std::chrono_literals;
using fakes::FakeEndpointList;
using fakes::LoadGenerator;
using nlohmann::json;
using program::ConfigurationError;

const std::string kSourceDirectory = PADDLETRACK_SOURCE;

// Returns a loopback network that depends on the process ID, so that concurrent tests do not collide.
std::string ownNetwork(unsigned index) {
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(100 + pid / 100 % 100) + "." + std::to_string(pid % 100 * 2 + index);
}

std::string readFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// ---- the two sites of deploy/sites ---------------------------------------------------------------------

struct SiteFile {
  // `names` holds the names of the site and its tiers and those of the other lists.
  std::vector<std::string> names, requestClasses, tenants, zones, machineTypes;

  // Reads only the names in a site file: `name` in the tables below, and `zones`.
  explicit SiteFile(const std::filesystem::path& file) {
    names = {file.parent_path().filename(), file.stem()};
    std::ifstream stream(file);
    std::string table;
    for (std::string line; std::getline(stream, line);) {
      if (line.starts_with('[')) table = line;
      std::vector<std::string> quoted;
      for (std::size_t quotePosition = line.find('"'); quotePosition != line.npos;
           quotePosition = line.find('"', quotePosition + 1)) {
        const std::size_t start = quotePosition + 1;
        quotePosition = line.find('"', start);
        quoted.push_back(line.substr(start, quotePosition - start));
      }
      std::vector<std::string> ignored;
      std::vector<std::string>* target = &ignored;
      if (line.starts_with("zones = ")) target = &zones;
      if (line.starts_with("name = ") && table == "[[class]]") target = &requestClasses;
      if (line.starts_with("name = ") && table == "[[tenant]]") target = &tenants;
      if (line.starts_with("name = ") && table == "[[tier.kind]]") target = &machineTypes;
      if (line.starts_with("name = ") && (table.empty() || table == "[[tier]]")) target = &names;
      target->insert(target->end(), quoted.begin(), quoted.end());
    }
    for (const auto* nameList : {&requestClasses, &tenants, &zones, &machineTypes})
      names.insert(names.end(), nameList->begin(), nameList->end());
  }
};

std::vector<SiteFile> loadSiteFiles() {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(kSourceDirectory + "/deploy/sites"))
    if (entry.path().extension() == ".toml") files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  return {files.begin(), files.end()};
}

// Keeps only letters, in lower case, and digits, so that names match in any case and with any separators.
std::string normalizeName(const std::string& text) {
  std::string normalized;
  for (const char character : text)
    if (std::isalnum(static_cast<unsigned char>(character)))
      normalized += static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  return normalized;
}

std::vector<std::string> findNames(const std::string& text, const std::vector<std::string>& names) {
  const std::string normalizedText = normalizeName(text);
  std::vector<std::string> found;
  for (const std::string& name : names)
    if (normalizedText.find(normalizeName(name)) != normalizedText.npos) found.push_back(name);
  return found;
}

TEST(SiteNames, AreAbsentFromSourceAndDeployFile) {
  const std::vector<SiteFile> sites = loadSiteFiles();
  ASSERT_EQ(sites.size(), 2U);
  std::vector<std::filesystem::path> files{kSourceDirectory + "/deploy/balancer.toml"};
  for (const auto& entry : std::filesystem::recursive_directory_iterator(kSourceDirectory + "/src"))
    if (entry.is_regular_file()) files.push_back(entry.path());
  ASSERT_GT(files.size(), 100U);
  for (const SiteFile& site : sites) {
    ASSERT_GE(site.requestClasses.size(), 3U);
    ASSERT_GE(site.names.size(), 4 + site.requestClasses.size() + site.tenants.size());
    for (const auto& file : files)
      for (const std::string& name : findNames(readFile(file), site.names))
        ADD_FAILURE() << file << ": " << name;
  }
}

TEST(SiteNames, AreFoundInAnySpelling) {
  const SiteFile site = loadSiteFiles().front();
  for (const std::string& name : site.names) {
    std::string variant = name;
    std::replace(variant.begin(), variant.end(), '-', '_');
    variant[0] = static_cast<char>(std::toupper(static_cast<unsigned char>(variant[0])));
    EXPECT_FALSE(findNames("if (type == \"" + name + "\")", {name}).empty()) << name;
    EXPECT_FALSE(findNames("struct " + variant + " {", {name}).empty()) << variant;
  }
  EXPECT_TRUE(findNames("if (type == \"look-up\")", site.names).empty());
}

// ---- configurations ------------------------------------------------------------------------------------

// A configuration with the required keys only.
json minimalConfig() {
  return json::parse(
      R"({"name":"n","listen":"127.0.214.200:18443","seed":"7","changelog":"127.0.214.250:18443",
    "limits":{"memory_mb":64,"sockets":64},"known":{"seq":0,"results":[]},"settings":{
      "balancers":1,"zones":["z"],"machineTypes":["m"],
      "profiles":[{"name":"q","idempotency":"retryable","onTimeUs":400000,"giveUpUs":3000000}],
      "limits":{"dialTimeoutUs":250000,"idleCloseUs":4000000}}})");
}

json makeSiteConfig(const SiteFile& site, const std::string& network) {
  json config = minimalConfig();
  config["name"] = site.names.front();
  config["listen"] = network + ".200:18443";
  config["changelog"] = network + ".250:18443";
  json& settings = config["settings"];
  settings["zones"] = site.zones;
  settings["machineTypes"] = site.machineTypes;
  settings["limits"]["mostTries"] = 3;
  settings["profiles"] = json::array();
  for (const std::string& requestClass : site.requestClasses)
    settings["profiles"].push_back({{"name", requestClass},
                                    {"idempotency", "retryable"},
                                    {"group", "all"},
                                    {"onTimeUs", 400000},
                                    {"giveUpUs", 3000000}});
  settings["tenants"] = json::array();
  for (const std::string& tenant : site.tenants)
    settings["tenants"].push_back({{"name", tenant}, {"quotaPerS", 50.0}});
  return config;
}

struct ConfigDirectory : fakes::TemporaryDirectory {
  std::string writeConfig(const json& config, const std::string& name = "c.json") const {
    std::ofstream(path() + "/" + name) << config;
    return path() + "/" + name;
  }
};

// Returns the error message of the configuration, or an empty string if it is accepted.
std::string configError(const json& config) {
  const ConfigDirectory directory;
  try {
    program::readNodeConfig(directory.writeConfig(config));
    return "";
  } catch (const ConfigurationError& error) {
    return error.what();
  }
}

TEST(NodeConfig, ReportsKeyAndValueWhenValueIsInvalidOrMissing) {
  EXPECT_EQ(configError(minimalConfig()), "");
  struct Case {
    const char* pointer;
    json value;
    const char *key, *shown;
  };
  const json profile = minimalConfig()["settings"]["profiles"][0];
  const std::vector<Case> cases{
      // zero, negative, out of range, not a number, fractions of integers
      {"/settings/balancers", 0, "balancers", "'0'"},
      {"/settings/balancers", 2.5, "balancers", "'2.5'"},
      {"/settings/zone", 1, "zone", "'1'"},
      {"/settings/zone", -1, "zone", "'-1'"},
      {"/settings/profiles/0/onTimeUs", 0, "profiles.0.onTimeUs", "'0'"},
      {"/settings/profiles/0/onTimeUs", 999, "profiles.0.onTimeUs", "'999'"},
      {"/settings/profiles/0/onTimeUs", -400000, "profiles.0.onTimeUs", "'-400000'"},
      {"/settings/profiles/0/giveUpUs", 0, "profiles.0.giveUpUs", "'0'"},
      {"/settings/profiles/0/windowUs", -1, "profiles.0.windowUs", "'-1'"},
      {"/settings/profiles/0/aimStretch", -2, "profiles.0.aimStretch", "'-2'"},
      {"/settings/profiles/0/aimStretch", "nan", "profiles.0.aimStretch", "'nan'"},
      {"/settings/profiles/0/lateWorth", "inf", "profiles.0.lateWorth", "'inf'"},
      {"/settings/profiles/0/fifoByKey", 1, "profiles.0.fifoByKey", "'1'"},
      {"/settings/profiles/0/group", "rack", "profiles.0.group", "'rack'"},
      {"/settings/profiles/0/idempotency", "maybe", "profiles.0.idempotency", "'maybe'"},
      {"/settings/profiles/0/confinedTo", json::array({"y"}), "profiles.0.confinedTo", "'y'"},
      {"/settings/profiles/0/confinedTo", json::array({1}), "profiles.0.confinedTo", "'1'"},
      {"/settings/profiles/0/confinedTo", json::array({-1}), "profiles.0.confinedTo", "'-1'"},
      {"/settings/profiles/0/machineTypesOnly", json::array(), "profiles.0.machineTypesOnly", "''"},
      {"/settings/limits/mostTries", 0, "limits.mostTries", "'0'"},
      {"/settings/limits/mostTries", 1e18, "limits.mostTries", "'1e+18'"},
      {"/settings/limits/mostTries", "nan", "limits.mostTries", "'nan'"},
      {"/settings/limits/maxOpen", 0, "limits.maxOpen", "'0'"},
      {"/settings/limits/streamsPerConn", 0, "limits.streamsPerConn", "'0'"},
      {"/settings/limits/cancelling", "yes", "limits.cancelling", "'yes'"},
      {"/settings/limits/dialTimeoutUs", 0, "limits.dialTimeoutUs", "'0'"},
      {"/settings/limits/dialTimeoutUs", -20000, "limits.dialTimeoutUs", "'-20000'"},
      {"/settings/limits/maxRetryAfterUs", -1, "limits.maxRetryAfterUs", "'-1'"},
      {"/settings/rules/fallUs", -1, "rules.fallUs", "'-1'"},
      {"/settings/rules/coldUs", -1, "rules.coldUs", "'-1'"},
      {"/settings/rules/fallMultiple", "inf", "rules.fallMultiple", "'inf'"},
      {"/settings/rules/startCapacity", 1.5, "rules.startCapacity", "'1.5'"},
      {"/settings/rules/budgetSpanUs", -1, "rules.budgetSpanUs", "'-1'"},
      {"/settings/rules/repeatRatio", -0.5, "rules.repeatRatio", "'-0.5'"},
      {"/settings/prices/crossZone", "nan", "prices.crossZone", "'nan'"},
      {"/settings/familyInfo/kindCores", json::array({0}), "familyInfo.kindCores", "'0'"},
      {"/settings/familyInfo/kindCores", json::array({8, 8}), "familyInfo.kindCores", "'8,8'"},
      {"/settings/familyInfo/memoryByKindMb", json::array({-1}), "familyInfo.memoryByKindMb", "'-1'"},
      {"/settings/familyInfo/widthByClass", json::array({0}), "familyInfo.widthByClass", "'0'"},
      {"/settings/familyInfo/widthByClass", json::array({1, 3}), "familyInfo.widthByClass", "'1,3'"},
      {"/settings/familyInfo/loads", json::array({"no"}), "familyInfo.loads", "'no'"},
      {"/settings/familyInfo/grantCap", 2, "familyInfo.grantCap", "'2'"},
      {"/settings/familyInfo/memoryShort", "swap", "familyInfo.memoryShort", "'swap'"},
      {"/settings/registryMode", "sometimes", "registryMode", "'sometimes'"},
      {"/settings/reporting/source", "post", "reporting.source", "'post'"},
      {"/settings/tenants", json::array({{{"name", "t"}, {"quotaPerS", -5}}}), "tenants.0.quotaPerS", "'-5'"},
      {"/settings/tenants", {{"count", 3000000000U}}, "tenants.count", "'3000000000'"},
      // empty lists, missing and duplicate names
      {"/settings/profiles", json::array(), "profiles", ""},
      {"/settings/zones", json::array(), "zones", ""},
      {"/settings/machineTypes", json::array(), "machineTypes", ""},
      {"/settings/profiles", json::array({profile, profile}), "profiles.1.name", "'q'"},
      {"/settings/profiles/0/name", "", "profiles.0.name", "''"},
      {"/settings/tenants", json::array({{{"name", "t"}}, {{"name", "t"}}}), "tenants.1.name", "'t'"},
      {"/settings/tenants", json::array({{{"quotaPerS", 5}}}), "tenants.0.name", "''"},
      {"/settings/zones", json::array({"z", "z"}), "zones", "'z'"},
      {"/settings/machineTypes", json::array({"m", "m"}), "machineTypes", "'m'"},
      {"/settings/limits.maxOpen", 7, "limits.maxOpen", ""},  // in addition to "limits": {"maxOpen": ...}
      // keys outside of the settings
      {"/limits/memory_mb", 17592186044416U, "limits.memory_mb", "'17592186044416'"},  // in bytes: 2^64
      {"/limits/memory_mb", 15, "limits.memory_mb", "'15'"},
      {"/limits/memory_mb", 64.5, "limits.memory_mb", "'64.5'"},
      {"/limits/memory_mb", -64, "limits.memory_mb", "'-64'"},
      {"/limits/sockets", 0, "limits.sockets", "'0'"},
      {"/limits/sockets", 4294967296U, "limits.sockets", "'4294967296'"},
      {"/seed", "seven", "seed", "'seven'"},
      {"/listen", "here:1", "listen", "'here:1'"},
      {"/changelog", "127.0.0.1:70000", "changelog", "'127.0.0.1:70000'"},
  };
  for (const Case& testCase : cases) {
    json invalidConfig = minimalConfig();
    if (std::string(testCase.pointer) == "/settings/limits.maxOpen")
      invalidConfig["settings"]["limits"]["maxOpen"] = 9;
    invalidConfig[json::json_pointer(testCase.pointer)] = testCase.value;
    const std::string error = configError(invalidConfig);
    EXPECT_NE(error.find(std::string(testCase.key)), error.npos)
        << testCase.pointer << " " << testCase.value << ": " << error;
    EXPECT_NE(error.find(testCase.shown), error.npos)
        << testCase.pointer << " " << testCase.value << ": " << error;
  }
  for (const char* requiredKey :
       {"/settings/balancers", "/settings/zones", "/settings/machineTypes", "/settings/profiles/0/onTimeUs",
        "/settings/profiles/0/giveUpUs", "/settings/limits/dialTimeoutUs", "/settings/limits/idleCloseUs",
        "/limits/sockets", "/limits/memory_mb", "/name", "/listen", "/changelog", "/seed", "/settings"}) {
    json invalidConfig = minimalConfig();
    const json::json_pointer pointer(requiredKey);
    invalidConfig[pointer.parent_pointer()].erase(pointer.back());
    const std::string error = configError(invalidConfig);
    EXPECT_NE(error.find(pointer.back()), error.npos) << requiredKey << ": " << error;
    EXPECT_NE(error.find("missing"), error.npos) << requiredKey << ": " << error;
  }
}

TEST(NodeConfig, ReadsCountsAndNamesExactly) {
  const ConfigDirectory files;
  json config = minimalConfig();
  json& settings = config["settings"];
  settings["balancers"] = 300;
  settings["zones"] = {"north, upper", "north_ upper",
                       "7"};  // names with commas, and one that equals another with its comma replaced
  settings["zone"] = 2;
  settings["machineTypes"] = {"std,8", "std,16"};
  settings["familyInfo"]["kindCores"] = {8, 16};
  settings["profiles"] = json::array();
  settings["tenants"] = json::array();
  for (int index = 0; index < 200; ++index) {
    const std::string name = "c" + std::to_string(index);
    settings["profiles"].push_back({{"name", name},
                                    {"idempotency", "dedup"},
                                    {"group", "zone"},
                                    {"windowUs", 250000},
                                    {"onTimeUs", 1000 + index},
                                    {"giveUpUs", 5000},
                                    {"confinedTo", {"7"}},
                                    {"machineTypesOnly", {"std,16"}}});
    settings["tenants"].push_back({{"name", "t" + std::to_string(index)}, {"quotaPerS", index}});
  }
  settings["limits"]["mostTries"] = 100000;
  const program::NodeConfig node = program::readNodeConfig(files.writeConfig(config));
  const Deployment& deployment = node.controllerConfig.deployment;
  EXPECT_EQ(deployment.controllerCount, 300U);
  EXPECT_EQ(node.controllerConfig.zoneNames, (std::vector<std::string>{"north, upper", "north_ upper", "7"}));
  EXPECT_EQ(node.controllerConfig.machineTypeNames, (std::vector<std::string>{"std,8", "std,16"}));
  ASSERT_EQ(deployment.requestClasses.size(), 200U);
  ASSERT_EQ(deployment.tenants.size(), 200U);
  EXPECT_EQ(deployment.requestClasses[199].latencyObjective, Duration{1199});
  EXPECT_EQ(deployment.requestClasses[199].idempotencyWindow, Duration{250000});
  EXPECT_EQ(deployment.requestClasses[199].retryScope, RetryScope::sameZone);
  EXPECT_EQ(deployment.requestClasses[199].allowedZones, std::vector<unsigned>{2});
  EXPECT_EQ(deployment.requestClasses[199].allowedMachineTypes, std::vector<unsigned>{1});
  EXPECT_EQ(deployment.tenants[199].quotaPerSecond, 199);
  EXPECT_EQ(deployment.machineTypes[1].cores, 16);
  EXPECT_EQ(deployment.maxAttempts, 255);  // attempts of a request are numbered in eight bits
}

// ---- processes -----------------------------------------------------------------------------------------

// One site: an endpoint list, an engine, and a controller that is configured with both.
struct SiteInstance {
  SiteInstance(fakes::TestScheduler& loop, const json& siteConfig, const std::string& network)
      : endpointList(loop, loop.memoryBudget, transport::Address(network + ".250:18443")),
        engine(loop, loop.memoryBudget, transport::Address(network + ".1:18443")),
        configPath(directory.writeConfig(siteConfig)) {
    const json& settings = siteConfig["settings"];
    endpointList.publish(
        {{"s-1", network + ".1:18443", "active", settings["zones"][0], settings["machineTypes"][0]}}, true);
    process.emplace(PADDLETRACK_PROGRAM, std::vector<std::string>{"serve", "--config", configPath},
                    logPath());
  }
  std::string logPath() const { return directory.path() + "/log"; }
  bool logContains(const std::string& text) const {
    return readFile(logPath()).find(text) != std::string::npos;
  }

  ConfigDirectory directory;
  FakeEndpointList endpointList;
  fakes::FakeEngine engine;
  std::string configPath;
  std::optional<fakes::ServerProcess> process;
};

// Controllers of two sites run on the same machine. Each serves its own request classes for its own tenants
// and rejects the request classes of the other site.
TEST(SiteIsolation, ServesOnlyOwnRequestClassesWhenTwoSitesShareMachine) {
  const std::vector<SiteFile> sites = loadSiteFiles();
  fakes::TestScheduler loop;
  const std::vector<std::string> networks{ownNetwork(0), ownNetwork(1)};
  SiteInstance first(loop, makeSiteConfig(sites[0], networks[0]), networks[0]),
      second(loop, makeSiteConfig(sites[1], networks[1]), networks[1]);
  LoadGenerator loadClients(
      loop, loop.memoryBudget,
      {transport::Address(networks[0] + ".200:18443"), transport::Address(networks[1] + ".200:18443")}, 7);
  loadClients.setHeartbeatInterval(20ms);
  ASSERT_TRUE(loop.runUntil([&] { return loadClients.isInService(0) && loadClients.isInService(1); }));
  std::vector<LoadGenerator::RequestProfile> requestProfiles;
  std::vector<std::size_t> siteIndexOfProfile;
  for (std::size_t siteIndex = 0; siteIndex < 2; ++siteIndex)
    for (const std::string& requestClass : sites[siteIndex].requestClasses) {
      requestProfiles.push_back({requestClass, sites[siteIndex].tenants.back(), 1, 1ms, 1ms});
      siteIndexOfProfile.push_back(siteIndex);
    }
  const std::size_t ownClassCount = requestProfiles.size();
  requestProfiles.push_back(
      {sites[0].requestClasses[0], sites[1].tenants[0], 1, 1ms, 1ms});  // own request class, unknown tenant
  loadClients.start(0, requestProfiles);
  for (std::size_t profile = 0; profile < requestProfiles.size(); ++profile)
    for (const std::size_t controller : {0U, 1U}) loadClients.send(profile, controller);
  ASSERT_TRUE(loop.runUntil([&] { return loadClients.counters().open == 0; }));
  for (const LoadGenerator::Request& request : loadClients.requests()) {
    const bool isServed =
        request.profile < ownClassCount && siteIndexOfProfile[request.profile] == request.controller;
    EXPECT_EQ(request.answerCount, 1U);
    EXPECT_EQ(request.outcome, isServed ? fakes::Reply::Outcome::completed : fakes::Reply::Outcome::exception)
        << requestProfiles[request.profile].requestClass << " at " << request.controller;
  }
  EXPECT_EQ(first.engine.executionCount(), sites[0].requestClasses.size());
  EXPECT_EQ(second.engine.executionCount(), sites[1].requestClasses.size());
}

// On SIGHUP, a file of another site or with an invalid value is reported and the current configuration stays
// in effect. In particular, the controller must not connect to the endpoint list of another site.
TEST(SiteIsolation, RejectsReloadWhenConfigIsInvalidOrOfAnotherSite) {
  const std::vector<SiteFile> sites = loadSiteFiles();
  fakes::TestScheduler loop;
  const std::vector<std::string> networks{ownNetwork(0), ownNetwork(1)};
  const json ownConfig = makeSiteConfig(sites[0], networks[0]);
  SiteInstance instance(loop, ownConfig, networks[0]);
  FakeEndpointList otherList(loop, loop.memoryBudget, transport::Address(networks[1] + ".250:18443"));
  ASSERT_TRUE(loop.runUntil([&] { return instance.endpointList.queryTimes.size() == 1; }));
  otherList.publish(
      {{"s-9", networks[1] + ".1:18443", "active", sites[0].zones[0], sites[0].machineTypes[0]}}, true);
  const auto reload = [&](json config, const std::string& expectedError = "") {
    config["changelog"] = networks[1] + ".250:18443";
    instance.directory.writeConfig(config);
    instance.process->sendSignal(SIGHUP);
    EXPECT_TRUE(loop.runUntil([&] { return instance.logContains(expectedError); }))
        << expectedError << "\n"
        << readFile(instance.logPath());
  };
  json renamedConfig = ownConfig, otherZones = ownConfig, otherMachineTypes = ownConfig,
       invalidConfig = ownConfig;
  renamedConfig["name"] = "another";
  otherZones["settings"]["zones"] = sites[1].zones;
  otherMachineTypes["settings"]["machineTypes"] = sites[1].machineTypes;
  invalidConfig["settings"]["limits"]["mostTries"] = "nan";
  reload(makeSiteConfig(sites[1], networks[1]), "name: '" + sites[1].names.front() + "'");
  reload(renamedConfig, "name: 'another'");
  reload(otherZones, "settings: zones");
  reload(otherMachineTypes, "settings: machineTypes");
  reload(invalidConfig, "settings: limits.mostTries: 'nan'");
  EXPECT_TRUE(otherList.acceptTimes.empty());
  reload(ownConfig);  // the current file except for the address of the endpoint list
  EXPECT_TRUE(loop.runUntil([&] { return !otherList.queryTimes.empty(); }));
}

TEST(NodeConfig, ExitsWithTwoWhenValueIsInvalidAtStart) {
  fakes::TestScheduler loop;
  for (const char* command : {"serve", "check-config"}) {
    const ConfigDirectory files;
    json invalidConfig = minimalConfig();
    invalidConfig["settings"]["limits"]["mostTries"] = "nan";
    const std::string log = files.path() + "/log";
    fakes::ServerProcess process(PADDLETRACK_PROGRAM, {command, "--config", files.writeConfig(invalidConfig)},
                                 log);
    ASSERT_TRUE(loop.runUntil([&] { return process.exitCode().has_value(); }));
    EXPECT_EQ(process.exitCode(), 2);
    EXPECT_NE(readFile(log).find("settings: limits.mostTries: 'nan'"), std::string::npos) << readFile(log);
  }
}

// Only the required keys are set. With many descriptors and little memory, each limit is valid, but memory
// divided evenly among that many connections would be too little to accept any request.
TEST(NodeConfig, ServesRequestWhenOnlyRequiredKeysAreSet) {
  fakes::TestScheduler loop;
  for (const unsigned sockets : {32U, 1U << 20}) {
    json config = minimalConfig();
    config["limits"] = {{"memory_mb", 16}, {"sockets", sockets}};
    config["listen"] = ownNetwork(0) + ".200:18443";
    config["changelog"] = ownNetwork(0) + ".250:18443";
    SiteInstance instance(loop, config, ownNetwork(0));
    LoadGenerator loadClients(loop, loop.memoryBudget, {transport::Address(ownNetwork(0) + ".200:18443")}, 7);
    loadClients.setHeartbeatInterval(20ms);
    ASSERT_TRUE(loop.runUntil([&] { return loadClients.isInService(0); }))
        << sockets << readFile(instance.logPath());
    loadClients.start(0, {{"q", "", 1, 1ms, 1ms, 2s, std::string(4000, 'x')}});
    loadClients.send(0, 0);
    ASSERT_TRUE(loop.runUntil([&] { return loadClients.counters().open == 0; }));
    EXPECT_EQ(loadClients.requests().front().outcome, fakes::Reply::Outcome::completed)
        << sockets << readFile(instance.logPath());
    instance.process->sendSignal(SIGTERM);
    ASSERT_TRUE(loop.runUntil([&] { return instance.process->exitCode().has_value(); }));
    EXPECT_EQ(instance.process->exitCode(), 0);
  }
}

}  // namespace
}  // namespace paddletrack
