#include "protocol/settings_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace paddletrack::protocol {
namespace {

constexpr double kMaxNumber = 1e12;
constexpr double kMaxUnsigned = 4e9;
constexpr double kMaxDurationUs = 1e15;
constexpr std::size_t kMaxQuotedBytes = 40;

[[noreturn]] void fail(const std::string& key, const std::string& value, const std::string& problem) {
  throw ParseError("settings: " + key, "'" + value.substr(0, kMaxQuotedBytes) + "' " + problem);
}

double parseNumber(const std::string& key, std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size())
    throw ParseError("settings: " + key, "'" + std::string(text) + "' is not a number");
  return value;
}

double parseInRange(const std::string& key, const std::string& text, double minimum, double maximum) {
  const double value = parseNumber(key, text);
  const bool isInRange = value >= minimum && value <= maximum;  // False for NaN.
  if (!isInRange) fail(key, text, "is out of range");
  return value;
}

std::string parseChoice(const std::string& key, const std::string& text,
                        std::initializer_list<const char*> choices) {
  const bool isKnown = text.empty() || std::find(choices.begin(), choices.end(), text) != choices.end();
  if (!isKnown) fail(key, text, "is unknown");
  return text;
}

}  // namespace

std::string SettingsReader::readString(const std::string& key) const {
  const auto setting = settings_.find(key);
  return setting == settings_.end() ? std::string() : setting->second;
}

double SettingsReader::readNumber(const std::string& key) const { return readInRange(key, 0, kMaxNumber); }

double SettingsReader::readInRange(const std::string& key, double minimum, double maximum) const {
  const std::string text = readString(key);
  return text.empty() ? 0 : parseInRange(key, text, minimum, maximum);
}

unsigned SettingsReader::readUnsigned(const std::string& key, double minimum) const {
  const std::string text = readString(key);
  if (text.empty()) return 0;
  const double value = parseInRange(key, text, minimum, kMaxUnsigned);
  if (value != std::floor(value)) fail(key, text, "is not an integer");
  return static_cast<unsigned>(value);
}

unsigned SettingsReader::readCount(const std::string& key) const {
  const unsigned count = readUnsigned(key);
  if (count > settings_.size()) fail(key, readString(key), "exceeds the number of settings");
  return count;
}

Duration SettingsReader::readDuration(const std::string& key) const {
  return Duration{static_cast<std::int64_t>(readInRange(key, 0, kMaxDurationUs))};
}

bool SettingsReader::readBool(const std::string& key) const {
  return readChoice(key, {"false", "true"}) == "true";
}

std::string SettingsReader::readChoice(const std::string& key,
                                       std::initializer_list<const char*> choices) const {
  return parseChoice(key, readString(key), choices);
}

std::vector<std::string> SettingsReader::readList(const std::string& key) const {
  return splitList(readString(key));
}

double SettingsReader::readNumberAt(const std::string& key, std::size_t index, std::size_t count,
                                    double minimum) const {
  const std::vector<std::string> values = readParallelList(key, count);
  return values.empty() ? 0 : parseInRange(key, values[index], minimum, kMaxNumber);
}

bool SettingsReader::readBoolAt(const std::string& key, std::size_t index, std::size_t count) const {
  const std::vector<std::string> values = readParallelList(key, count);
  return !values.empty() && parseChoice(key, values[index], {"false", "true"}) == "true";
}

std::optional<std::vector<unsigned>> SettingsReader::readIndices(const std::string& key,
                                                                 const std::string& namesKey) const {
  if (!has(key)) return std::nullopt;
  const std::vector<std::string> knownNames = readList(namesKey);
  const auto nameCount = static_cast<double>(knownNames.size());
  std::vector<unsigned> indices;
  for (const std::string& name : readList(key)) {
    const auto position = std::find(knownNames.begin(), knownNames.end(), name);
    const double index = position != knownNames.end() ? static_cast<double>(position - knownNames.begin())
                                                      : parseNumber(key, name);
    const bool isIndex = index >= 0 && index < nameCount && index == std::floor(index);
    if (!isIndex) throw ParseError("settings: " + key, "'" + name + "' is not in " + namesKey);
    indices.push_back(static_cast<unsigned>(index));
  }
  if (indices.empty()) throw ParseError("settings: " + key, "'' has no element of " + namesKey);
  return indices;
}

std::vector<std::string> SettingsReader::readParallelList(const std::string& key, std::size_t count) const {
  std::vector<std::string> values = readList(key);
  if (!values.empty() && values.size() != count)
    fail(key, readString(key), "does not have the expected number of values, " + std::to_string(count));
  return values;
}

}  // namespace paddletrack::protocol
