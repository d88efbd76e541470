#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

namespace paddletrack {

enum class Level { debug, info, warning, error };

// One line for the log. Fields are for machines: the line says by itself what a person needs.
struct Said {
  Level level = Level::info;
  const char* topic = "";  // by which lines are counted, of a few fixed ones
  std::string line;
  std::vector<std::pair<const char*, std::string>> fields{};
};

// The one way in which all parts speak to the operators; what becomes of it is its maker's.
class Say {
 public:
  using Fields = std::initializer_list<std::pair<const char*, std::string>>;

  explicit Say(std::function<void(const Said&)> told) : told_(std::move(told)) {}
  void operator()(const char* topic, std::string line, Fields fields = {}, Level level = Level::info) const {
    told_({level, topic, std::move(line), fields});
  }

 private:
  std::function<void(const Said&)> told_;
};

}  // namespace paddletrack
