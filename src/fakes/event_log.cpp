#include "fakes/event_log.hpp"

#include <array>
#include <cstdlib>

namespace paddletrack::fakes {

const char* nameOf(Event::Kind kind) {
  static constexpr std::array kNames{"sent",      "answered", "lost",   "gone",    "came",  "finished",
                                     "withdrawn", "cut",      "listed", "unheard", "heard", "signalled",
                                     "exited",    "served",   "idle",   "busy"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string formatEvent(const Event& event, transport::TimePoint origin) {
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(event.observedAt - origin).count();
  std::string line = std::to_string(microseconds / 1000) + "." +
                     std::to_string(std::abs(microseconds % 1000 / 100)) + " ms " + nameOf(event.kind);
  if (!event.reference.empty()) line += " " + event.reference;
  if (event.attempt > 0) line += " attempt " + std::to_string(event.attempt);
  line += " c" + std::to_string(event.controller) + " e" + std::to_string(event.engine);
  if (!event.detail.empty()) line += " " + event.detail;
  if (!event.retryOf.empty()) line += " again for " + event.retryOf;
  if (event.value != 0) line += " " + std::to_string(event.value);
  return line;
}

}  // namespace paddletrack::fakes
