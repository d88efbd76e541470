#include "program/config_printer.hpp"

#include <cstdio>

namespace paddletrack::program {
namespace {

using Entry = admin::OperatorConfig::Entry;

void printEntry(const Entry& entry) {
  std::printf("%-24s = %-28s # %s\n", entry.key.c_str(), entry.value.c_str(), entry.origin.c_str());
}

// Returns the entry with the overrides of the command line applied.
Entry applyOverrides(Entry entry, const OperatorOptions& options) {
  if (entry.key == "log.form" && options.logFormatOverride) {
    entry.value = *options.logFormatOverride == admin::LogFormat::json ? "\"json\"" : "\"text\"";
    entry.origin = "--log";
  }
  if (entry.key == "log.level" && options.logLevelOverride) {
    entry.value = "\"" + std::string(admin::nameOf(*options.logLevelOverride)) + "\"";
    entry.origin = "--log-level";
  }
  return entry;
}

}  // namespace

void printConfig(const NodeConfig& nodeConfig, const std::string& nodeConfigPath,
                 const OperatorOptions& operatorOptions) {
  printEntry({"name", "\"" + nodeConfig.name + "\"", nodeConfigPath});
  printEntry({"limits.memory_mb", std::to_string(nodeConfig.memoryLimitBytes >> 20), nodeConfigPath});
  printEntry({"limits.sockets", std::to_string(nodeConfig.descriptorLimit), nodeConfigPath});
  for (const Entry& entry : operatorOptions.config.entries)
    printEntry(applyOverrides(entry, operatorOptions));
}

}  // namespace paddletrack::program
