// The real controller: paddletrack serve, check-config, version.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>

#include "program/configuration.hpp"
#include "program/serve.hpp"
#include "program/signals.hpp"

namespace {

constexpr int kMisconfigured = 2, kBroken = 1;

}  // namespace

int main(int argc, char** argv) {
  paddletrack::program::holdSignals();
  CLI::App app("A front for query engines with limited memory.", "paddletrack");
  app.require_subcommand(1);
  std::string path;
  const auto configured = [&](CLI::App* command) {
    command->add_option("--config", path, "the configuration file (JSON)")->envname("GW_CONFIG")->required();
    return command;
  };
  CLI::App* serve =
      configured(app.add_subcommand("serve", "serve until SIGTERM; SIGHUP reads the configuration again"));
  CLI::App* check =
      configured(app.add_subcommand("check-config", "read the configuration and name what is wrong"));
  CLI::App* version = app.add_subcommand("version", "print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    if (version->parsed()) {
      std::puts("paddletrack " PADDLETRACK_VERSION);
      return 0;
    }
    const paddletrack::program::Node node = paddletrack::program::readNode(path);
    if (check->parsed()) std::printf("%s: %s is in order\n", path.c_str(), node.name.c_str());
    return serve->parsed() ? paddletrack::program::serve(node, path) : 0;
  } catch (const paddletrack::program::Misconfigured& error) {
    std::fprintf(stderr, "paddletrack: configuration: %s\n", error.what());
    return kMisconfigured;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "paddletrack: %s\n", error.what());
    return kBroken;
  }
}
