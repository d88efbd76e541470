#include "admin/operator_config.hpp"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "admin/config_keys.hpp"
#include "failpoint/failpoint.hpp"

namespace paddletrack::admin {
namespace {

/// Converts the parsed operator's file into a configuration.
class OperatorConfigParser {
 public:
  OperatorConfigParser(const hcl::Body& body, const std::string& path) : body_(body), path_(path) {
    for (const ConfigKey& configKey : configKeys())
      if (blockTypes_.empty() || blockTypes_.back() != configKey.block)
        blockTypes_.push_back(configKey.block);
  }

  OperatorConfig parse() {
    if (!body_.attributes.empty())
      failUnknownName(body_.attributes.front().location, "key outside of any block",
                      body_.attributes.front().name, blockTypes_);
    for (const hcl::Block& block : body_.blocks) parseBlock(block);
    checkDrain();
    checkGossip();
    checkRebalance();
    checkCounterfactual();
    listEntries();
    return std::move(config_);
  }

 private:
  // ---- errors --------------------------------------------------------------------------------------------

  [[noreturn]] void failAt(hcl::SourceLocation location, const std::string& key,
                           const std::string& problem) const {
    throw OperatorConfigError(path_ + ":" + std::to_string(location.line) + ":" +
                                  std::to_string(location.column) + (key.empty() ? "" : ": " + key),
                              problem);
  }

  [[noreturn]] void failUnknownName(hcl::SourceLocation location, const std::string& kind,
                                    const std::string& name,
                                    const std::vector<std::string>& knownNames) const {
    const std::string closest = findClosestName(name, knownNames);
    failAt(location, name, "unknown " + kind + (closest.empty() ? "" : "; did you mean '" + closest + "'?"));
  }

  /// Runs `read`, which parses one value, and adds the value's location and key to the errors it throws.
  template <typename Read>
  void readValue(hcl::SourceLocation location, const std::string& key, Read read) const {
    try {
      read();
    } catch (const std::invalid_argument& error) {
      failAt(location, key, error.what());
    }
  }

  // ---- blocks and keys -----------------------------------------------------------------------------------

  void parseBlock(const hcl::Block& block) {
    if (std::find(blockTypes_.begin(), blockTypes_.end(), block.type) == blockTypes_.end())
      failUnknownName(block.location, "block", block.type, blockTypes_);
    if (!block.labels.empty()) failAt(block.location, block.type, "must not have a label");
    const auto [firstLine, isFirst] = blockLines_.emplace(block.type, block.location.line);
    if (!isFirst)
      failAt(block.location, block.type,
             "duplicate block, first defined in line " + std::to_string(firstLine->second));
    for (const hcl::Block& innerBlock : block.body.blocks) parseInnerBlock(block, innerBlock);
    for (const hcl::Attribute& attribute : block.body.attributes) parseAttribute(block, attribute);
  }

  void parseInnerBlock(const hcl::Block& block, const hcl::Block& innerBlock) {
    const bool isLog = block.type == "log";
    if (isLog && innerBlock.type == "topic") {
      parseTopicBlock(innerBlock);
      return;
    }
    std::vector<std::string> knownNames;
    if (isLog) knownNames.emplace_back("topic");
    failUnknownName(innerBlock.location, "block in " + block.type, innerBlock.type, knownNames);
  }

  void parseTopicBlock(const hcl::Block& block) {
    if (block.labels.size() != 1)
      failAt(block.location, "log.topic", "expected one label, the topic, as in topic \"dial\" { ... }");
    const std::string& topic = block.labels.front();
    const std::string key = "log.topic." + topic;
    if (config_.topicLevels.count(topic) > 0) failAt(block.location, key, "duplicate topic");
    if (!block.body.blocks.empty()) {
      const hcl::Block& innerBlock = block.body.blocks.front();
      failUnknownName(innerBlock.location, "block in log.topic", innerBlock.type, {});
    }
    std::optional<LogLevel> level;
    for (const hcl::Attribute& attribute : block.body.attributes) {
      if (attribute.name != "level")
        failUnknownName(attribute.location, "key in log.topic", attribute.name, {"level"});
      LogLevel parsedLevel = LogLevel::info;
      readValue(attribute.value.location, key + ".level",
                [&] { parsedLevel = parseLogLevel(expectString(attribute.value)); });
      level = parsedLevel;
      topicEntries_.push_back(
          {key + ".level", "\"" + std::string(nameOf(parsedLevel)) + "\"", formatOrigin(attribute.location)});
    }
    if (!level) failAt(block.location, key, "missing key 'level'");
    config_.topicLevels.emplace(topic, *level);
  }

  void parseAttribute(const hcl::Block& block, const hcl::Attribute& attribute) {
    const ConfigKey& configKey = findKey(block, attribute);
    readValue(attribute.value.location, configKey.fullName(),
              [&] { configKey.parse(config_, attribute.value); });
    origins_[configKey.fullName()] = formatOrigin(attribute.location);
    valueLocations_[configKey.fullName()] = attribute.value.location;
  }

  const ConfigKey& findKey(const hcl::Block& block, const hcl::Attribute& attribute) const {
    std::vector<std::string> knownNames;
    for (const ConfigKey& configKey : configKeys()) {
      if (configKey.block != block.type) continue;
      if (configKey.name == attribute.name) return configKey;
      knownNames.push_back(configKey.name);
    }
    failUnknownName(attribute.location, "key in " + block.type, attribute.name, knownNames);
  }

  // ---- checks of values that depend on each other --------------------------------------------------------

  bool isSet(const std::string& key) const { return origins_.count(key) > 0; }

  hcl::SourceLocation locationOf(const std::string& key) const {
    const auto location = valueLocations_.find(key);
    return location == valueLocations_.end() ? hcl::SourceLocation{} : location->second;
  }

  void checkDrain() const {
    if (config_.drain.defaultDeadline <= config_.drain.maxDeadline) return;
    failAt(locationOf(isSet("drain.deadline") ? "drain.deadline" : "drain.longest"), "drain.deadline",
           "must not exceed drain.longest; found " + formatDuration(config_.drain.defaultDeadline) +
               ", drain.longest is " + formatDuration(config_.drain.maxDeadline));
  }

  void checkGossip() const {
    if (!config_.gossip.listenAddress.empty()) return;
    for (const char* key : {"share.peers", "share.period", "share.cluster", "share.keep"})
      if (isSet(key))
        failAt(locationOf(key), key, "share.listen must be set when the share block has other keys");
  }

  void checkRebalance() const {
    for (const char* key :
         {"rebalance.capacity", "rebalance.group", "rebalance.period", "rebalance.guard", "rebalance.lean"}) {
      if (!isSet(key)) continue;
      if (config_.gossip.listenAddress.empty())
        failAt(locationOf(key), "share.listen", "must be set when there is a rebalance block");
      if (config_.rebalance.engineCapacityBytes == 0)
        failAt(locationOf(key), "rebalance.capacity", "must be set when the rebalance block has other keys");
      if (config_.rebalance.guardDuration * 4 > config_.rebalance.interval)
        failAt(locationOf(key), "rebalance.guard", "must be at most a quarter of rebalance.period");
    }
  }

  void checkCounterfactual() const {
    if (config_.counterfactual.maxRecords == 0 && isSet("hindsight.window"))
      failAt(locationOf("hindsight.window"), "hindsight.records",
             "must be greater than 0 when hindsight.window is set");
  }

  // ---- effective values ----------------------------------------------------------------------------------

  std::string formatOrigin(hcl::SourceLocation location) const {
    return path_ + ":" + std::to_string(location.line);
  }

  void listEntries() {
    for (const ConfigKey& configKey : configKeys()) {
      const auto origin = origins_.find(configKey.fullName());
      config_.entries.push_back({configKey.fullName(), configKey.format(config_),
                                 origin == origins_.end() ? "default" : origin->second});
    }
    config_.entries.insert(config_.entries.end(), topicEntries_.begin(), topicEntries_.end());
  }

  const hcl::Body& body_;
  const std::string& path_;
  OperatorConfig config_;
  std::vector<std::string> blockTypes_;
  std::map<std::string, std::size_t> blockLines_;  // Line of each block's first occurrence.
  std::map<std::string, std::string> origins_;     // Where each key was set, by its full name.
  std::map<std::string, hcl::SourceLocation> valueLocations_;
  std::vector<OperatorConfig::Entry> topicEntries_;
};

}  // namespace

OperatorConfig parseOperatorConfig(const hcl::Body& body, const std::string& path) {
  return OperatorConfigParser(body, path).parse();
}

OperatorConfig defaultOperatorConfig() { return parseOperatorConfig({}, ""); }

OperatorConfig readOperatorConfig(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (PADDLETRACK_CALL(-1, "operators_file.open", "EMFILE ENOENT", 0) != 0 || !file ||
      !(text << file.rdbuf()))
    throw FileReadError(path, "cannot be read");
  try {
    return parseOperatorConfig(hcl::parse(text.str()), path);
  } catch (const hcl::ParseError& error) {
    throw OperatorConfigError(
        path + ":" + std::to_string(error.location.line) + ":" + std::to_string(error.location.column),
        error.what());
  }
}

}  // namespace paddletrack::admin
