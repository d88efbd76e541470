#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "admin/operator_config.hpp"
#include "base/logger.hpp"

namespace spdlog {
class logger;
}

namespace paddletrack::program {

// Lines to standard error, so many a second for each topic; what is left out is counted and said later.
class LogWriter {
 public:
  LogWriter();
  ~LogWriter();
  void write(const LogRecord& record);
  // From now on; topics that are not named have the common level.
  void configure(admin::LogFormat format, LogLevel level, const std::map<std::string, LogLevel>& topicLevels);

 private:
  struct TopicState {
    std::chrono::steady_clock::time_point windowStartedAt{};
    unsigned lineCount = 0;
    std::uint64_t suppressedCount = 0;
  };
  std::map<std::string, TopicState> topics_;
  admin::LogFormat format_ = admin::LogFormat::text;
  LogLevel level_ = LogLevel::info;
  std::map<std::string, LogLevel> topicLevels_;
  std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace paddletrack::program
