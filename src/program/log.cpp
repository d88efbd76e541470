#include "program/log.hpp"

#include <cstdio>
#include <utility>

namespace paddletrack::program {
namespace {
constexpr unsigned kLinesASecond = 5;
}

void Log::say(const char* name, const std::string& line) {
  Topic& topic = topics_[name];
  const auto now = std::chrono::steady_clock::now();
  if (now - topic.second >= std::chrono::seconds(1)) {
    topic.second = now;
    topic.said = 0;
  }
  if (++topic.said > kLinesASecond) {
    ++topic.leftOut;
    return;
  }
  const auto clock = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(clock).count();
  std::string text = line;
  for (char& each : text)
    if (static_cast<unsigned char>(each) < 0x20) each = ' ';  // peers' bytes make no lines of their own
  if (topic.leftOut > 0)
    text += " (" + std::to_string(std::exchange(topic.leftOut, 0)) + " more like it before)";
  std::fprintf(stderr, "%lld.%03lld %s: %s\n", static_cast<long long>(ms / 1000),
               static_cast<long long>(ms % 1000), name, text.c_str());
}

}  // namespace paddletrack::program
