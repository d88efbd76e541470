#include "admin/config_values.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <stdexcept>
#include <utility>

namespace paddletrack::admin {
namespace {

using std::chrono::microseconds;

struct Unit {
  const char* name;
  double factor;
};
constexpr std::array<Unit, 5> kTimeUnits{{{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}}};
constexpr std::array<Unit, 6> kSizeUnits{
    {{"", 1}, {"B", 1}, {"KiB", 1024}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1000}}};
constexpr double kMaxMagnitude = 1e15;
constexpr std::size_t kMaxQuotedBytes = 40;  // Part of an invalid value that an error message quotes.

template <std::size_t UnitCount>
double parseWithUnit(const std::string& text, const std::array<Unit, UnitCount>& units,
                     const char* expectation) {
  double value = 0;
  const char* const textEnd = text.data() + text.size();
  const auto [numberEnd, error] = std::from_chars(text.data(), textEnd, value);
  const std::string unitName(numberEnd, textEnd);
  const auto unit =
      std::find_if(units.begin(), units.end(), [&](const Unit& known) { return unitName == known.name; });
  const bool isReadable = error == std::errc{} && unit != units.end();
  const double scaled = isReadable ? value * unit->factor : 0;
  if (!isReadable || !std::isfinite(scaled) || std::abs(scaled) > kMaxMagnitude)
    throw std::invalid_argument("'" + text.substr(0, kMaxQuotedBytes) + "': " + expectation);
  return scaled;
}

std::size_t editDistance(const std::string& left, const std::string& right) {
  std::vector<std::size_t> distances(right.size() + 1);
  std::iota(distances.begin(), distances.end(), std::size_t{0});
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = std::exchange(distances[0], i);
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = distances[j];
      distances[j] = std::min({substituted, distances[j] + 1, distances[j - 1] + 1});
    }
  }
  return distances.back();
}

}  // namespace

microseconds parseDuration(const std::string& text) {
  const double value =
      parseWithUnit(text, kTimeUnits, "expected a duration such as \"250ms\", \"20s\" or \"1.5m\"");
  return microseconds{std::llround(value)};
}

std::string formatDuration(microseconds duration) {
  const std::int64_t value = duration.count();
  for (const auto& [unit, factor] :
       {std::pair{"h", 3600000000LL}, {"m", 60000000LL}, {"s", 1000000LL}, {"ms", 1000LL}})
    if (value != 0 && value % factor == 0) return std::to_string(value / factor) + unit;
  return value == 0 ? "0s" : std::to_string(value) + "us";
}

std::size_t parseByteSize(const std::string& text) {
  const double value = parseWithUnit(text, kSizeUnits, "expected a size such as \"16KiB\" or \"4MiB\"");
  if (value < 0) throw std::invalid_argument("'" + text + "': a size must not be negative");
  return static_cast<std::size_t>(std::llround(value));
}

std::string formatByteSize(std::size_t bytes) {
  for (const auto& [unit, factor] :
       {std::pair{"GiB", std::size_t{1} << 30}, {"MiB", std::size_t{1} << 20}, {"KiB", std::size_t{1} << 10}})
    if (bytes >= factor && bytes % factor == 0) return std::to_string(bytes / factor) + unit;
  return std::to_string(bytes) + "B";
}

LogLevel parseLogLevel(const std::string& name) {
  for (const LogLevel level : {LogLevel::debug, LogLevel::info, LogLevel::warning, LogLevel::error})
    if (name == nameOf(level)) return level;
  throw std::invalid_argument("'" + name.substr(0, kMaxQuotedBytes) +
                              "': must be \"debug\", \"info\", \"warning\" or \"error\"");
}

const char* nameOf(LogLevel level) {
  static constexpr std::array<const char*, 4> kNames{"debug", "info", "warning", "error"};
  return kNames[static_cast<std::size_t>(level)];
}

std::string findClosestName(const std::string& name, const std::vector<std::string>& candidates) {
  std::string closest;
  // Up to a third of the characters may differ, and at least two in a short name.
  std::size_t minDistance = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& candidate : candidates) {
    const std::size_t distance = editDistance(name, candidate);
    if (distance >= minDistance) continue;
    minDistance = distance;
    closest = candidate;
  }
  return closest;
}

}  // namespace paddletrack::admin
