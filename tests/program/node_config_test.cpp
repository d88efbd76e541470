// Another customer's settings: what is told decides, nothing is known beforehand, shared, or read wrongly.
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

// Loopback nets of this process's own: tests that run beside each other do not meet.
std::string ownNetwork(unsigned index) {
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(100 + pid / 100 % 100) + "." + std::to_string(pid % 100 * 2 + index);
}

std::string readFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// ---- the two customers of deploy/sites -----------------------------------------------------------------

struct SiteFile {
  std::vector<std::string> names, requestClasses, tenants, zones,
      machineTypes;  // names: all of them, and the site's

  // As much of a site file as names things: `name` in these tables, and `zones`.
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
    for (const auto* machineType : {&requestClasses, &tenants, &zones, &machineTypes})
      names.insert(names.end(), machineType->begin(), machineType->end());
  }
};

std::vector<SiteFile> loadSiteFiles() {
  std::vector<std::filesystem::path> files;
  for (const auto& item : std::filesystem::recursive_directory_iterator(kSourceDirectory + "/deploy/sites"))
    if (item.path().extension() == ".toml") files.push_back(item.path());
  std::sort(files.begin(), files.end());
  return {files.begin(), files.end()};
}

// Small letters and figures alone: a name is found in whatever case and with whatever between its words.
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
  for (const auto& item : std::filesystem::recursive_directory_iterator(kSourceDirectory + "/src"))
    if (item.is_regular_file()) files.push_back(item.path());
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

// What a controller needs and nothing more.
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

// What is said of it, or nothing if it is taken.
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
      // zero, below zero, past all bounds, no number, parts of what comes whole
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
      // empty lists, names that are missing or stand twice
      {"/settings/profiles", json::array(), "profiles", ""},
      {"/settings/zones", json::array(), "zones", ""},
      {"/settings/machineTypes", json::array(), "machineTypes", ""},
      {"/settings/profiles", json::array({profile, profile}), "profiles.1.name", "'q'"},
      {"/settings/profiles/0/name", "", "profiles.0.name", "''"},
      {"/settings/tenants", json::array({{{"name", "t"}}, {{"name", "t"}}}), "tenants.1.name", "'t'"},
      {"/settings/tenants", json::array({{{"quotaPerS", 5}}}), "tenants.0.name", "''"},
      {"/settings/zones", json::array({"z", "z"}), "zones", "'z'"},
      {"/settings/machineTypes", json::array({"m", "m"}), "machineTypes", "'m'"},
      {"/settings/limits.maxOpen", 7, "limits.maxOpen", ""},  // beside "limits": {"maxOpen": ...}
      // outside of the settings
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
  for (const Case& failoverCase : cases) {
    json invalidConfig = minimalConfig();
    if (std::string(failoverCase.pointer) == "/settings/limits.maxOpen")
      invalidConfig["settings"]["limits"]["maxOpen"] = 9;
    invalidConfig[json::json_pointer(failoverCase.pointer)] = failoverCase.value;
    const std::string error = configError(invalidConfig);
    EXPECT_NE(error.find(std::string(failoverCase.key)), error.npos)
        << failoverCase.pointer << " " << failoverCase.value << ": " << error;
    EXPECT_NE(error.find(failoverCase.shown), error.npos)
        << failoverCase.pointer << " " << failoverCase.value << ": " << error;
  }
  for (const char* needed :
       {"/settings/balancers", "/settings/zones", "/settings/machineTypes", "/settings/profiles/0/onTimeUs",
        "/settings/profiles/0/giveUpUs", "/settings/limits/dialTimeoutUs", "/settings/limits/idleCloseUs",
        "/limits/sockets", "/limits/memory_mb", "/name", "/listen", "/changelog", "/seed", "/settings"}) {
    json invalidConfig = minimalConfig();
    const json::json_pointer at(needed);
    invalidConfig[at.parent_pointer()].erase(at.back());
    const std::string error = configError(invalidConfig);
    EXPECT_NE(error.find(at.back()), error.npos) << needed << ": " << error;
    EXPECT_NE(error.find("missing"), error.npos) << needed << ": " << error;
  }
}

TEST(NodeConfig, ReadsCountsAndNamesExactly) {
  const ConfigDirectory files;
  json config = minimalConfig();
  json& settings = config["settings"];
  settings["balancers"] = 300;
  settings["zones"] = {"north, upper", "north_ upper", "7"};  // a comma within, one as the other would be
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
  EXPECT_EQ(deployment.maxAttempts, 255);  // a job's dispatches are numbered in eight bits
}

// ---- processes -----------------------------------------------------------------------------------------

// One customer's place: a change log, an executor, and a controller that is told of both.
struct SiteInstance {
  SiteInstance(fakes::TestScheduler& loop, const json& siteConfig, const std::string& network)
      : endpointList(loop, loop.outputBudget, transport::Address(network + ".250:18443")),
        engine(loop, loop.outputBudget, transport::Address(network + ".1:18443")),
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

// Two customers' controllers run at once on one machine. Each serves its own classes for its own customers,
// and knows nothing of the other's.
TEST(SiteIsolation, ServesOnlyOwnRequestClassesWhenTwoSitesShareMachine) {
  const std::vector<SiteFile> sites = loadSiteFiles();
  fakes::TestScheduler loop;
  const std::vector<std::string> networks{ownNetwork(0), ownNetwork(1)};
  SiteInstance first(loop, makeSiteConfig(sites[0], networks[0]), networks[0]),
      second(loop, makeSiteConfig(sites[1], networks[1]), networks[1]);
  LoadGenerator loadClients(
      loop, loop.outputBudget,
      {transport::Address(networks[0] + ".200:18443"), transport::Address(networks[1] + ".200:18443")}, 7);
  loadClients.setHeartbeatInterval(20ms);
  ASSERT_TRUE(loop.runUntil([&] { return loadClients.isInService(0) && loadClients.isInService(1); }));
  std::vector<LoadGenerator::RequestProfile> requestKinds;
  std::vector<std::size_t> siteIndexOfKind;
  for (std::size_t siteIndex = 0; siteIndex < 2; ++siteIndex)
    for (const std::string& requestClass : sites[siteIndex].requestClasses) {
      requestKinds.push_back({requestClass, sites[siteIndex].tenants.back(), 1, 1ms, 1ms});
      siteIndexOfKind.push_back(siteIndex);
    }
  const std::size_t ownClassCount = requestKinds.size();
  requestKinds.push_back(
      {sites[0].requestClasses[0], sites[1].tenants[0], 1, 1ms, 1ms});  // a class of its own for a stranger
  loadClients.start(0, requestKinds);
  for (std::size_t kind = 0; kind < requestKinds.size(); ++kind)
    for (const std::size_t controller : {0U, 1U}) loadClients.send(kind, controller);
  ASSERT_TRUE(loop.runUntil([&] { return loadClients.counters().open == 0; }));
  for (const LoadGenerator::Request& request : loadClients.requests()) {
    const bool served =
        request.profile < ownClassCount && siteIndexOfKind[request.profile] == request.controller;
    EXPECT_EQ(request.answerCount, 1U);
    EXPECT_EQ(request.outcome, served ? fakes::Reply::Outcome::completed : fakes::Reply::Outcome::exception)
        << requestKinds[request.profile].requestClass << " at " << request.controller;
  }
  EXPECT_EQ(first.engine.executionCount(), sites[0].requestClasses.size());
  EXPECT_EQ(second.engine.executionCount(), sites[1].requestClasses.size());
}

// At SIGHUP a file of another customer, or one with a bad value, is named, and all stays as it was: the list
// of another's executors most of all.
TEST(SiteIsolation, RejectsReloadWhenConfigIsInvalidOrOfAnotherSite) {
  const std::vector<SiteFile> sites = loadSiteFiles();
  fakes::TestScheduler loop;
  const std::vector<std::string> networks{ownNetwork(0), ownNetwork(1)};
  const json ownConfig = makeSiteConfig(sites[0], networks[0]);
  SiteInstance place(loop, ownConfig, networks[0]);
  FakeEndpointList otherList(loop, loop.outputBudget, transport::Address(networks[1] + ".250:18443"));
  ASSERT_TRUE(loop.runUntil([&] { return place.endpointList.queryTimes.size() == 1; }));
  otherList.publish(
      {{"s-9", networks[1] + ".1:18443", "active", sites[0].zones[0], sites[0].machineTypes[0]}}, true);
  const auto reload = [&](json config, const std::string& words = "") {
    config["changelog"] = networks[1] + ".250:18443";
    place.directory.writeConfig(config);
    place.process->sendSignal(SIGHUP);
    EXPECT_TRUE(loop.runUntil([&] { return place.logContains(words); })) << words << "\n"
                                                                         << readFile(place.logPath());
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
  reload(ownConfig);  // the same file, but for the log's address
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

// Only what is needed is told, and limits that are in order each but let no request in when one is divided
// by the other: much of descriptors, little of memory.
TEST(NodeConfig, ServesRequestWhenOnlyRequiredKeysAreSet) {
  fakes::TestScheduler loop;
  for (const unsigned sockets : {32U, 1U << 20}) {
    json config = minimalConfig();
    config["limits"] = {{"memory_mb", 16}, {"sockets", sockets}};
    config["listen"] = ownNetwork(0) + ".200:18443";
    config["changelog"] = ownNetwork(0) + ".250:18443";
    SiteInstance place(loop, config, ownNetwork(0));
    LoadGenerator loadClients(loop, loop.outputBudget, {transport::Address(ownNetwork(0) + ".200:18443")}, 7);
    loadClients.setHeartbeatInterval(20ms);
    ASSERT_TRUE(loop.runUntil([&] { return loadClients.isInService(0); }))
        << sockets << readFile(place.logPath());
    loadClients.start(0, {{"q", "", 1, 1ms, 1ms, 2s, std::string(4000, 'x')}});
    loadClients.send(0, 0);
    ASSERT_TRUE(loop.runUntil([&] { return loadClients.counters().open == 0; }));
    EXPECT_EQ(loadClients.requests().front().outcome, fakes::Reply::Outcome::completed)
        << sockets << readFile(place.logPath());
    place.process->sendSignal(SIGTERM);
    ASSERT_TRUE(loop.runUntil([&] { return place.process->exitCode().has_value(); }));
    EXPECT_EQ(place.process->exitCode(), 0);
  }
}

}  // namespace
}  // namespace paddletrack
