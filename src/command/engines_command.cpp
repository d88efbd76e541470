#include "command/engines_command.hpp"

#include <cstdio>

#include "admin/admin_protocol.hpp"

namespace paddletrack::command {
namespace {

std::string formatAgo(const Json& milliseconds) {
  if (milliseconds.is_null()) return "never";
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s ago", milliseconds.get<double>() / 1000);
  return text;
}

void printEngine(const Json& engine) {
  std::printf("%s  %s, %s connections, %s attempts in flight\n", engine["engine"].get<std::string>().c_str(),
              engine["standing"].get<std::string>().c_str(), engine["connections"].dump().c_str(),
              engine["dispatches"].dump().c_str());
  for (const Json& json : engine["addresses"]) {
    std::string line = "  " + json["state"].get<std::string>();
    line.resize(std::max<std::size_t>(line.size() + 1, 12), ' ');
    line += json["address"].get<std::string>() + "  " + json["connections"].dump() +
            " connections, last success " + formatAgo(json["last_good_ms_ago"]);
    if (const Json& lastFailure = json["last_failure"]; !lastFailure.is_null())
      line += ", " + lastFailure["what"].get<std::string>() + " " + formatAgo(lastFailure["ms_ago"]);
    if (json["rests_ms"] != 0)
      line += ", backing off for " + std::to_string(json["rests_ms"].get<int>() / 1000.0).substr(0, 5) + " s";
    if (!json["by_hand_left_ms"].is_null())
      line += ", manual override for " + std::to_string(json["by_hand_left_ms"].get<std::int64_t>() / 1000) +
              " s more";
    std::printf("%s\n", line.c_str());
  }
}

}  // namespace

int runEnginesCommand(const std::string& path, const std::string& engineId, bool json) {
  try {
    AdminClient client(path);
    std::size_t printedCount = 0;
    for (std::string firstEngineId = engineId;;) {
      const Json response = client.call(admin::formatEnginesRequest(firstEngineId));
      if (response["ok"] != true) {
        std::fprintf(stderr, "paddletrack: refused: %s\n",
                     response["error"]["text"].get<std::string>().c_str());
        return kExitRefused;
      }
      for (const Json& item : response["engines"]) {
        if (!engineId.empty() && item["engine"] != engineId) continue;
        ++printedCount;
        if (json) {
          std::printf("%s\n", item.dump().c_str());
        } else {
          printEngine(item);
        }
      }
      if (!engineId.empty() || response["next"].is_null()) break;
      firstEngineId = response["next"].get<std::string>();
    }
    if (printedCount > 0 || engineId.empty()) return kExitSuccess;
    return reportError(
        Error(ErrorKind::adminRequestRefused, "engine '" + engineId + "'", "not known to the controller"));
  } catch (const NoResponse& error) {
    return reportError(error);
  }
}

int runAddressCommand(const std::string& path, const AddressOverrideRequest& request) {
  try {
    const Json response = AdminClient(path).call(admin::formatAddressRequest(
        request.engine, request.address, request.addressOverride, request.overrideDuration));
    if (response["ok"] == true) return kExitSuccess;
    return reportError(
        Error(ErrorKind::adminRequestRefused, "refused", response["error"]["text"].get<std::string>()));
  } catch (const NoResponse& error) {
    return reportError(error);
  }
}

}  // namespace paddletrack::command
