#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "base/error.hpp"

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
  // An error: its text as the line (after `before`, if any), its kind, place and hint as fields.
  void operator()(const char* topic, const Error& error, Fields more = {}, Level level = Level::warning,
                  const std::string& before = "") const {
    Said said{level, topic, before + error.what(), {{"error", error.name()}}};
    if (!error.where().empty()) said.fields.emplace_back("where", error.where());
    said.fields.emplace_back("hint", error.hint());
    said.fields.insert(said.fields.end(), more);
    told_(said);
  }

 private:
  std::function<void(const Said&)> told_;
};

}  // namespace paddletrack
