// Another customer's settings: what is told decides, nothing is known beforehand, shared, or read wrongly.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cctype>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "program/configuration.hpp"
#include "standin/loop.hpp"
#include "standin/site.hpp"

namespace paddletrack {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using program::Misconfigured;
using standin::ChangeLog;
using standin::Load;

const std::string kSource = PADDLETRACK_SOURCE;

// Loopback nets of this process's own: tests that run beside each other do not meet.
std::string ownNet(unsigned which) {
  const auto process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(100 + process / 100 % 100) + "." + std::to_string(process % 100 * 2 + which);
}

std::string textOf(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// ---- the two customers of deploy/sites -----------------------------------------------------------------

struct Customer {
  std::vector<std::string> names, classes, tenants, zones, kinds;  // names: all of them, and the site's

  // As much of a site file as names things: `name` in these tables, and `zones`.
  explicit Customer(const std::filesystem::path& file) {
    names = {file.parent_path().filename(), file.stem()};
    std::ifstream lines(file);
    std::string table;
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with('[')) table = line;
      std::vector<std::string> quoted;
      for (std::size_t at = line.find('"'); at != line.npos; at = line.find('"', at + 1)) {
        const std::size_t from = at + 1;
        at = line.find('"', from);
        quoted.push_back(line.substr(from, at - from));
      }
      std::vector<std::string> other;
      std::vector<std::string>* to = &other;
      if (line.starts_with("zones = ")) to = &zones;
      if (line.starts_with("name = ") && table == "[[class]]") to = &classes;
      if (line.starts_with("name = ") && table == "[[tenant]]") to = &tenants;
      if (line.starts_with("name = ") && table == "[[tier.kind]]") to = &kinds;
      if (line.starts_with("name = ") && (table.empty() || table == "[[tier]]")) to = &names;
      to->insert(to->end(), quoted.begin(), quoted.end());
    }
    for (const auto* each : {&classes, &tenants, &zones, &kinds})
      names.insert(names.end(), each->begin(), each->end());
  }
};

std::vector<Customer> customers() {
  std::vector<std::filesystem::path> files;
  for (const auto& each : std::filesystem::recursive_directory_iterator(kSource + "/deploy/sites"))
    if (each.path().extension() == ".toml") files.push_back(each.path());
  std::sort(files.begin(), files.end());
  return {files.begin(), files.end()};
}

// Small letters and figures alone: a name is found in whatever case and with whatever between its words.
std::string bare(const std::string& text) {
  std::string kept;
  for (const char each : text)
    if (std::isalnum(static_cast<unsigned char>(each)))
      kept += static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
  return kept;
}

std::vector<std::string> foundIn(const std::string& text, const std::vector<std::string>& names) {
  const std::string within = bare(text);
  std::vector<std::string> found;
  for (const std::string& each : names)
    if (within.find(bare(each)) != within.npos) found.push_back(each);
  return found;
}

TEST(Sites, NothingThatRunsKnowsTheirNames) {
  const std::vector<Customer> all = customers();
  ASSERT_EQ(all.size(), 2U);
  std::vector<std::filesystem::path> files{kSource + "/deploy/balancer.toml"};
  for (const auto& each : std::filesystem::recursive_directory_iterator(kSource + "/src"))
    if (each.is_regular_file()) files.push_back(each.path());
  ASSERT_GT(files.size(), 100U);
  for (const Customer& each : all) {
    ASSERT_GE(each.classes.size(), 3U);
    ASSERT_GE(each.names.size(), 4 + each.classes.size() + each.tenants.size());
    for (const auto& file : files)
      for (const std::string& name : foundIn(textOf(file), each.names)) ADD_FAILURE() << file << ": " << name;
  }
}

TEST(Sites, ANameIsFoundHoweverItIsWritten) {
  const Customer customer = customers().front();
  for (const std::string& each : customer.names) {
    std::string other = each;
    std::replace(other.begin(), other.end(), '-', '_');
    other[0] = static_cast<char>(std::toupper(static_cast<unsigned char>(other[0])));
    EXPECT_FALSE(foundIn("if (type == \"" + each + "\")", {each}).empty()) << each;
    EXPECT_FALSE(foundIn("struct " + other + " {", {each}).empty()) << other;
  }
  EXPECT_TRUE(foundIn("if (type == \"look-up\")", customer.names).empty());
}

// ---- configurations ------------------------------------------------------------------------------------

// What a controller needs and nothing more.
json least() {
  return json::parse(
      R"({"name":"n","listen":"127.0.214.200:18443","seed":"7","changelog":"127.0.214.250:18443",
    "limits":{"memory_mb":64,"sockets":64},"known":{"seq":0,"results":[]},"settings":{
      "balancers":1,"zones":["z"],"machineTypes":["m"],
      "profiles":[{"name":"q","idempotency":"retryable","onTimeUs":400000,"giveUpUs":3000000}],
      "limits":{"dialTimeoutUs":250000,"idleCloseUs":4000000}}})");
}

json of(const Customer& customer, const std::string& net) {
  json made = least();
  made["name"] = customer.names.front();
  made["listen"] = net + ".200:18443";
  made["changelog"] = net + ".250:18443";
  json& settings = made["settings"];
  settings["zones"] = customer.zones;
  settings["machineTypes"] = customer.kinds;
  settings["limits"]["mostTries"] = 3;
  settings["profiles"] = json::array();
  for (const std::string& each : customer.classes)
    settings["profiles"].push_back({{"name", each},
                                    {"idempotency", "retryable"},
                                    {"group", "all"},
                                    {"onTimeUs", 400000},
                                    {"giveUpUs", 3000000}});
  settings["tenants"] = json::array();
  for (const std::string& each : customer.tenants)
    settings["tenants"].push_back({{"name", each}, {"quotaPerS", 50.0}});
  return made;
}

struct Files : standin::Folder {
  std::string put(const json& configuration, const std::string& name = "c.json") const {
    std::ofstream(path() + "/" + name) << configuration;
    return path() + "/" + name;
  }
};

// What is said of it, or nothing if it is taken.
std::string fault(const json& configuration) {
  const Files files;
  try {
    program::readNode(files.put(configuration));
    return "";
  } catch (const Misconfigured& error) {
    return error.what();
  }
}

TEST(Configuration, AValueThatCantBeMeantIsNamedWithItsKey) {
  EXPECT_EQ(fault(least()), "");
  struct Case {
    const char* at;
    json value;
    const char *key, *shown;
  };
  const json profile = least()["settings"]["profiles"][0];
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
  for (const Case& each : cases) {
    json bad = least();
    if (std::string(each.at) == "/settings/limits.maxOpen") bad["settings"]["limits"]["maxOpen"] = 9;
    bad[json::json_pointer(each.at)] = each.value;
    const std::string said = fault(bad);
    EXPECT_NE(said.find(std::string(each.key)), said.npos) << each.at << " " << each.value << ": " << said;
    EXPECT_NE(said.find(each.shown), said.npos) << each.at << " " << each.value << ": " << said;
  }
  for (const char* needed :
       {"/settings/balancers", "/settings/zones", "/settings/machineTypes", "/settings/profiles/0/onTimeUs",
        "/settings/profiles/0/giveUpUs", "/settings/limits/dialTimeoutUs", "/settings/limits/idleCloseUs",
        "/limits/sockets", "/limits/memory_mb", "/name", "/listen", "/changelog", "/seed", "/settings"}) {
    json bad = least();
    const json::json_pointer at(needed);
    bad[at.parent_pointer()].erase(at.back());
    const std::string said = fault(bad);
    EXPECT_NE(said.find(at.back()), said.npos) << needed << ": " << said;
    EXPECT_NE(said.find("missing"), said.npos) << needed << ": " << said;
  }
}

TEST(Configuration, CountsAndNamesAreReadAsTheyStand) {
  const Files files;
  json told = least();
  json& settings = told["settings"];
  settings["balancers"] = 300;
  settings["zones"] = {"north, upper", "north_ upper", "7"};  // a comma within, one as the other would be
  settings["zone"] = 2;
  settings["machineTypes"] = {"std,8", "std,16"};
  settings["familyInfo"]["kindCores"] = {8, 16};
  settings["profiles"] = json::array();
  settings["tenants"] = json::array();
  for (int each = 0; each < 200; ++each) {
    const std::string name = "c" + std::to_string(each);
    settings["profiles"].push_back({{"name", name},
                                    {"idempotency", "dedup"},
                                    {"group", "zone"},
                                    {"windowUs", 250000},
                                    {"onTimeUs", 1000 + each},
                                    {"giveUpUs", 5000},
                                    {"confinedTo", {"7"}},
                                    {"machineTypesOnly", {"std,16"}}});
    settings["tenants"].push_back({{"name", "t" + std::to_string(each)}, {"quotaPerS", each}});
  }
  settings["limits"]["mostTries"] = 100000;
  const program::Node node = program::readNode(files.put(told));
  const Deployment& made = node.told.deployment;
  EXPECT_EQ(made.controllers, 300U);
  EXPECT_EQ(node.told.locationNames, (std::vector<std::string>{"north, upper", "north_ upper", "7"}));
  EXPECT_EQ(node.told.machineNames, (std::vector<std::string>{"std,8", "std,16"}));
  ASSERT_EQ(made.types.size(), 200U);
  ASSERT_EQ(made.customers.size(), 200U);
  EXPECT_EQ(made.types[199].slaTime, Span{1199});
  EXPECT_EQ(made.types[199].repeatWindow, Span{250000});
  EXPECT_EQ(made.types[199].repeatGroup, RepeatGroup::location);
  EXPECT_EQ(made.types[199].locations, std::vector<unsigned>{2});
  EXPECT_EQ(made.types[199].kinds, std::vector<unsigned>{1});
  EXPECT_EQ(made.customers[199].quotaPerSecond, 199);
  EXPECT_EQ(made.machines[1].cores, 16);
  EXPECT_EQ(made.mostDispatches, 255);  // a job's dispatches are numbered in eight bits
}

// ---- processes -----------------------------------------------------------------------------------------

// One customer's place: a change log, an executor, and a controller that is told of both.
struct Place {
  Place(standin::Loop& loop, const json& told, const std::string& net)
      : log(loop, loop.unsent, transport::Address(net + ".250:18443")),
        executor(loop, loop.unsent, transport::Address(net + ".1:18443")),
        config(files.put(told)) {
    const json& settings = told["settings"];
    log.tell({{"s-1", net + ".1:18443", "active", settings["zones"][0], settings["machineTypes"][0]}}, true);
    process.emplace(PADDLETRACK_PROGRAM, std::vector<std::string>{"serve", "--config", config}, said());
  }
  std::string said() const { return files.path() + "/log"; }
  bool says(const std::string& words) const { return textOf(said()).find(words) != std::string::npos; }

  Files files;
  ChangeLog log;
  standin::Executor executor;
  std::string config;
  std::optional<standin::Process> process;
};

// Two customers' controllers run at once on one machine. Each serves its own classes for its own customers,
// and knows nothing of the other's.
TEST(Customers, TwoOnOneMachineServeTheirOwnClassesAlone) {
  const std::vector<Customer> all = customers();
  standin::Loop loop;
  const std::vector<std::string> nets{ownNet(0), ownNet(1)};
  Place first(loop, of(all[0], nets[0]), nets[0]), second(loop, of(all[1], nets[1]), nets[1]);
  Load load(loop, loop.unsent,
            {transport::Address(nets[0] + ".200:18443"), transport::Address(nets[1] + ".200:18443")}, 7);
  load.beats(20ms);
  ASSERT_TRUE(loop.until([&] { return load.inService(0) && load.inService(1); }));
  std::vector<Load::Kind> kinds;
  std::vector<std::size_t> whose;
  for (std::size_t customer = 0; customer < 2; ++customer)
    for (const std::string& each : all[customer].classes) {
      kinds.push_back({each, all[customer].tenants.back(), 1, 1ms, 1ms});
      whose.push_back(customer);
    }
  const std::size_t own = kinds.size();
  kinds.push_back({all[0].classes[0], all[1].tenants[0], 1, 1ms, 1ms});  // a class of its own for a stranger
  load.begin(0, kinds);
  for (std::size_t kind = 0; kind < kinds.size(); ++kind)
    for (const std::size_t controller : {0U, 1U}) load.send(kind, controller);
  ASSERT_TRUE(loop.until([&] { return load.books().open == 0; }));
  for (const Load::Job& each : load.jobs()) {
    const bool served = each.kind < own && whose[each.kind] == each.controller;
    EXPECT_EQ(each.answers, 1U);
    EXPECT_EQ(each.what, served ? standin::Heard::What::done : standin::Heard::What::exception)
        << kinds[each.kind].type << " at " << each.controller;
  }
  EXPECT_EQ(first.executor.ran(), all[0].classes.size());
  EXPECT_EQ(second.executor.ran(), all[1].classes.size());
}

// At SIGHUP a file of another customer, or one with a bad value, is named, and all stays as it was: the list
// of another's executors most of all.
TEST(Customers, AnothersFileOrABadOneAtSighupIsNamedAndNotTaken) {
  const std::vector<Customer> all = customers();
  standin::Loop loop;
  const std::vector<std::string> nets{ownNet(0), ownNet(1)};
  const json own = of(all[0], nets[0]);
  Place place(loop, own, nets[0]);
  ChangeLog strange(loop, loop.unsent, transport::Address(nets[1] + ".250:18443"));
  ASSERT_TRUE(loop.until([&] { return place.log.asked.size() == 1; }));
  strange.tell({{"s-9", nets[1] + ".1:18443", "active", all[0].zones[0], all[0].kinds[0]}}, true);
  const auto reload = [&](json told, const std::string& words = "") {
    told["changelog"] = nets[1] + ".250:18443";
    place.files.put(told);
    place.process->signal(SIGHUP);
    EXPECT_TRUE(loop.until([&] { return place.says(words); })) << words << "\n" << textOf(place.said());
  };
  json named = own, zones = own, kinds = own, bad = own;
  named["name"] = "another";
  zones["settings"]["zones"] = all[1].zones;
  kinds["settings"]["machineTypes"] = all[1].kinds;
  bad["settings"]["limits"]["mostTries"] = "nan";
  reload(of(all[1], nets[1]), "name: '" + all[1].names.front() + "'");
  reload(named, "name: 'another'");
  reload(zones, "settings: zones");
  reload(kinds, "settings: machineTypes");
  reload(bad, "settings: limits.mostTries: 'nan'");
  EXPECT_TRUE(strange.accepted.empty());
  reload(own);  // the same file, but for the log's address
  EXPECT_TRUE(loop.until([&] { return !strange.asked.empty(); }));
}

TEST(Configuration, ABadValueEndsTheStartWithTwo) {
  standin::Loop loop;
  for (const char* command : {"serve", "check-config"}) {
    const Files files;
    json bad = least();
    bad["settings"]["limits"]["mostTries"] = "nan";
    const std::string log = files.path() + "/log";
    standin::Process process(PADDLETRACK_PROGRAM, {command, "--config", files.put(bad)}, log);
    ASSERT_TRUE(loop.until([&] { return process.ended().has_value(); }));
    EXPECT_EQ(process.ended(), 2);
    EXPECT_NE(textOf(log).find("settings: limits.mostTries: 'nan'"), std::string::npos) << textOf(log);
  }
}

// Only what is needed is told, and limits that are in order each but let no request in when one is divided
// by the other: much of descriptors, little of memory.
TEST(Configuration, TheLeastThatIsNeededServes) {
  standin::Loop loop;
  for (const unsigned sockets : {32U, 1U << 20}) {
    json told = least();
    told["limits"] = {{"memory_mb", 16}, {"sockets", sockets}};
    told["listen"] = ownNet(0) + ".200:18443";
    told["changelog"] = ownNet(0) + ".250:18443";
    Place place(loop, told, ownNet(0));
    Load load(loop, loop.unsent, {transport::Address(ownNet(0) + ".200:18443")}, 7);
    load.beats(20ms);
    ASSERT_TRUE(loop.until([&] { return load.inService(0); })) << sockets << textOf(place.said());
    load.begin(0, {{"q", "", 1, 1ms, 1ms, 2s, std::string(4000, 'x')}});
    load.send(0, 0);
    ASSERT_TRUE(loop.until([&] { return load.books().open == 0; }));
    EXPECT_EQ(load.jobs().front().what, standin::Heard::What::done) << sockets << textOf(place.said());
    place.process->signal(SIGTERM);
    ASSERT_TRUE(loop.until([&] { return place.process->ended().has_value(); }));
    EXPECT_EQ(place.process->ended(), 0);
  }
}

}  // namespace
}  // namespace paddletrack
