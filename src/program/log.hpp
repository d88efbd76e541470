#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/say.hpp"
#include "operating/settings.hpp"

namespace spdlog {
class logger;
}

namespace paddletrack::program {

// Lines to standard error, so many a second for each topic; what is left out is counted and said later.
class Log {
 public:
  Log();
  ~Log();
  void say(const Said& said);
  // From now on; topics that are not named have the common level.
  void change(operating::LogForm form, Level level, const std::map<std::string, Level>& topics);

 private:
  struct Topic {
    std::chrono::steady_clock::time_point second{};
    unsigned said = 0;
    std::uint64_t leftOut = 0;
  };
  std::map<std::string, Topic> topics_;
  operating::LogForm form_ = operating::LogForm::text;
  Level level_ = Level::info;
  std::map<std::string, Level> levels_;
  std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace paddletrack::program
