// The real controller and its operators' commands.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <map>
#include <string>

#include "command/call.hpp"
#include "command/completion.hpp"
#include "command/drain.hpp"
#include "command/engines.hpp"
#include "command/roll.hpp"
#include "operating/settings.hpp"
#include "program/configuration.hpp"
#include "program/serve.hpp"
#include "program/signals.hpp"

namespace {

namespace command = paddletrack::command;
namespace operating = paddletrack::operating;
namespace program = paddletrack::program;

// ---- values of the command line ------------------------------------------------------------------------

CLI::Option* duration(CLI::App* of, const char* name, std::optional<paddletrack::Span>& to,
                      const char* text) {
  return of
      ->add_option_function<std::string>(
          name,
          [&to, name](const std::string& read) {
            try {
              to = operating::durationOf(read);
            } catch (const std::invalid_argument& error) {
              throw CLI::ValidationError(name, error.what());
            }
          },
          text)
      ->type_name("DURATION");
}

// The door's path: told, or as the operator's file has it.
struct Place {
  std::string socket, file;

  void of(CLI::App* made) {
    made->add_option("-s,--socket", socket, "the controller's door")
        ->envname("PADDLETRACK_SOCKET")
        ->type_name("PATH");
    made->add_option("--operator", file, "the operator's file, which names the door")->envname("GW_OPERATOR");
  }
  std::string path() const {
    if (!socket.empty()) return socket;
    const std::string named = file.empty() ? "" : operating::readSettings(file).door.socket;
    if (named.empty())
      throw operating::Miswritten(
          file, "no door is named: --socket, or --operator with a file that has door.socket");
    return named;
  }
};

int print(const program::Node& node, const std::string& path, const program::Operator& owner) {
  const auto show = [](const std::string& key, const std::string& value, const std::string& origin) {
    std::printf("%-24s = %-28s # %s\n", key.c_str(), value.c_str(), origin.c_str());
  };
  show("name", "\"" + node.name + "\"", path);
  show("limits.memory_mb", std::to_string(node.memoryBytes >> 20), path);
  show("limits.sockets", std::to_string(node.descriptors), path);
  for (operating::Settings::Shown each : owner.settings.shown) {
    if (each.key == "log.form" && owner.logForm) {
      each.value = *owner.logForm == operating::LogForm::json ? "\"json\"" : "\"text\"";
      each.origin = "--log";
    }
    if (each.key == "log.level" && owner.logLevel) {
      each.value = "\"" + std::string(operating::nameOf(*owner.logLevel)) + "\"";
      each.origin = "--log-level";
    }
    show(each.key, each.value, each.origin);
  }
  return command::kWell;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A front for query engines with limited memory.", "paddletrack");
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 done as asked, 1 broken, 2 a file or a value is wrong, 3 the deadline found jobs open, "
      "4 cancelled by somebody, 5 no answer at the door, 6 refused; above 100 the command line is wrong.");

  std::string path;
  program::Operator owner;
  const auto configured = [&](CLI::App* made) {
    made->add_option("--config", path, "the configuration file (JSON)")->envname("GW_CONFIG")->required();
    made->add_option("--operator", owner.path, "the operator's file (HCL)")->envname("GW_OPERATOR");
    const std::map<std::string, operating::LogForm> forms{{"text", operating::LogForm::text},
                                                          {"json", operating::LogForm::json}};
    made->add_option("--log", owner.logForm, "text or json")
        ->transform(CLI::Transformer(forms))
        ->type_name("FORM");
    const std::map<std::string, paddletrack::Level> levels{{"debug", paddletrack::Level::debug},
                                                           {"info", paddletrack::Level::info},
                                                           {"warning", paddletrack::Level::warning},
                                                           {"error", paddletrack::Level::error}};
    made->add_option("--log-level", owner.logLevel, "debug, info, warning or error")
        ->transform(CLI::Transformer(levels))
        ->type_name("LEVEL");
    return made;
  };
  CLI::App* serve =
      configured(app.add_subcommand("serve", "serve until SIGTERM; SIGHUP reads the files again"));
  CLI::App* check = configured(app.add_subcommand("check-config", "read the files and name what is wrong"));
  bool printed = false;
  check->add_flag("--print", printed, "show every value in force and where it came from");

  Place place;
  command::DrainWish wish;
  CLI::App* drain = app.add_subcommand("drain", "take a controller out of service, or bring it back");
  place.of(drain);
  duration(drain, "--deadline", wish.deadline, "when open jobs are ended, from now (else drain.deadline)");
  duration(drain, "--come-back", wish.comeBack,
           "told to clients that are turned away (else drain.come_back)");
  CLI::Option* cancel = drain->add_flag("--cancel", wish.cancel, "bring it back into service");
  cancel->excludes("--deadline")->excludes("--come-back");
  drain->add_flag("-w,--watch", wish.watch, "show the progress until it has ended");
  drain->add_flag("--json", wish.json, "JSON lines as the door tells them");

  CLI::App* status = app.add_subcommand("status", "show what a controller is doing");
  place.of(status);
  status->add_flag("--json", wish.json, "as the door tells it");

  command::RollWish rolling;
  CLI::App* roll = app.add_subcommand("roll", "take controllers out in turn, one at a time");
  roll->add_option("sockets", rolling.sockets, "their doors")->required()->type_name("SOCKET...");
  duration(roll, "--deadline", rolling.deadline, "of each drain (else 20s)");
  duration(roll, "--back", rolling.back, "until each must serve again (else 30s)");
  roll->add_option("--each", rolling.each,
                   "a shell command for each while it is out; PADDLETRACK_SOCKET names it")
      ->type_name("COMMAND");
  roll->add_flag("--json", rolling.json, "JSON lines");

  std::string oneEngine;
  CLI::App* engines =
      app.add_subcommand("engines", "show the engines, their addresses and what is known of each");
  place.of(engines);
  engines->add_option("engine", oneEngine, "this one alone");
  engines->add_flag("--json", wish.json, "a JSON object a line");
  command::AddressWish hand;
  std::optional<paddletrack::Span> avoid, use;
  bool freed = false;
  CLI::App* address = app.add_subcommand("address", "avoid or prefer an address of an engine for a while");
  place.of(address);
  address->add_option("engine", hand.engine)->required()->type_name("ENGINE");
  address->add_option("address", hand.address)->required()->type_name("ADDRESS");
  CLI::Option_group* ways = address->add_option_group("what");
  duration(ways, "--avoid", avoid, "tried last for so long");
  duration(ways, "--use", use, "tried first for so long");
  ways->add_flag("--free", freed, "as if nothing had been set");
  ways->require_option(1);

  std::string shell;
  CLI::App* completion = app.add_subcommand("completion", "print a shell's completion of these commands");
  completion->add_option("shell", shell, "bash")->required()->check(CLI::IsMember({"bash"}));
  CLI::App* version = app.add_subcommand("version", "print the version");

  CLI11_PARSE(app, argc, argv);
  try {
    if (version->parsed()) {
      std::puts("paddletrack " PADDLETRACK_VERSION);
      return command::kWell;
    }
    if (completion->parsed()) {
      std::fputs(command::bashCompletion(app).c_str(), stdout);
      return command::kWell;
    }
    if (drain->parsed()) return command::drain(place.path(), wish);
    if (engines->parsed()) return command::engines(place.path(), oneEngine, wish.json);
    if (address->parsed()) {
      using paddletrack::reach::Routes;
      hand.what = avoid ? Routes::ByHand::avoid : use ? Routes::ByHand::use : Routes::ByHand::free;
      hand.until = avoid.value_or(use.value_or(paddletrack::Span{0}));
      return command::address(place.path(), hand);
    }
    if (status->parsed()) return command::status(place.path(), wish.json);
    if (roll->parsed()) return command::roll(rolling);
    if (serve->parsed()) program::holdSignals();
    const program::Node node = program::readNode(path);
    if (!owner.path.empty()) owner.settings = operating::readSettings(owner.path);
    if (serve->parsed()) return program::serve(node, path, std::move(owner));
    if (printed) return print(node, path, owner);
    std::printf("%s: %s is in order\n", path.c_str(), node.name.c_str());
    if (!owner.path.empty()) std::printf("%s: in order\n", owner.path.c_str());
    return command::kWell;
  } catch (const program::Misconfigured& error) {
    return command::told(error, "configuration: ");
  } catch (const std::exception& error) {
    return command::told(paddletrack::typed(error, ""));
  }
}
