#include "command/engines.hpp"

#include <cstdio>

#include "operating/words.hpp"

namespace paddletrack::command {
namespace {

std::string ago(const Json& ms) {
  if (ms.is_null()) return "never";
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s ago", ms.get<double>() / 1000);
  return text;
}

void row(const Json& engine) {
  std::printf("%s  %s, %s connections, %s dispatches out\n", engine["engine"].get<std::string>().c_str(),
              engine["standing"].get<std::string>().c_str(), engine["connections"].dump().c_str(),
              engine["dispatches"].dump().c_str());
  for (const Json& each : engine["addresses"]) {
    std::string line = "  " + each["state"].get<std::string>();
    line.resize(std::max<std::size_t>(line.size() + 1, 12), ' ');
    line += each["address"].get<std::string>() + "  " + each["connections"].dump() + " connections, good " +
            ago(each["last_good_ms_ago"]);
    if (const Json& bad = each["last_failure"]; !bad.is_null())
      line += ", " + bad["what"].get<std::string>() + " " + ago(bad["ms_ago"]);
    if (each["rests_ms"] != 0)
      line += ", rests for " + std::to_string(each["rests_ms"].get<int>() / 1000.0).substr(0, 5) + " s";
    if (!each["by_hand_left_ms"].is_null())
      line +=
          ", by hand for " + std::to_string(each["by_hand_left_ms"].get<std::int64_t>() / 1000) + " s more";
    std::printf("%s\n", line.c_str());
  }
}

}  // namespace

int engines(const std::string& path, const std::string& one, bool json) {
  try {
    Call call(path);
    std::size_t shown = 0;
    for (std::string from = one;;) {
      const Json answer = call.ask(operating::enginesRequest(from));
      if (answer["ok"] != true) {
        std::fprintf(stderr, "paddletrack: refused: %s\n",
                     answer["error"]["text"].get<std::string>().c_str());
        return kRefused;
      }
      for (const Json& each : answer["engines"]) {
        if (!one.empty() && each["engine"] != one) continue;
        ++shown;
        if (json) {
          std::printf("%s\n", each.dump().c_str());
        } else {
          row(each);
        }
      }
      if (!one.empty() || answer["next"].is_null()) break;
      from = answer["next"].get<std::string>();
    }
    if (shown > 0 || one.empty()) return kWell;
    return told(Error(ErrorKind::refused, "engine '" + one + "'", "it is not known"));
  } catch (const NoAnswer& error) {
    return told(error);
  }
}

int address(const std::string& path, const AddressWish& wish) {
  try {
    const Json answer =
        Call(path).ask(operating::addressRequest(wish.engine, wish.address, wish.what, wish.until));
    if (answer["ok"] == true) return kWell;
    return told(Error(ErrorKind::refused, "refused", answer["error"]["text"].get<std::string>()));
  } catch (const NoAnswer& error) {
    return told(error);
  }
}

}  // namespace paddletrack::command
