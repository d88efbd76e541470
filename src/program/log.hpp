#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace paddletrack::program {

// Lines to standard error, so many a second for each topic; what is left out is counted and said later.
class Log {
 public:
  void say(const char* topic, const std::string& line);

 private:
  struct Topic {
    std::chrono::steady_clock::time_point second{};
    unsigned said = 0;
    std::uint64_t leftOut = 0;
  };
  std::map<std::string, Topic> topics_;
};

}  // namespace paddletrack::program
