#include "protocol/flat_settings.hpp"

#include <algorithm>

namespace paddletrack::protocol {
namespace {

// Replaces a comma within an element of a list, because the elements are joined by commas (ASCII unit
// separator).
constexpr char kEscapedComma = '\x1f';

std::vector<std::string> split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  if (text.empty()) return parts;
  for (;;) {
    const std::size_t position = text.find(separator);
    parts.emplace_back(text.substr(0, position));
    if (position == std::string_view::npos) return parts;
    text.remove_prefix(position + 1);
  }
}

void insertUnique(FlatSettings& settings, const std::string& path, const std::string& text) {
  if (!settings.emplace(path, text).second) throw ParseError("settings: " + path, "duplicate setting");
}

void flattenValue(const Json& value, const std::string& path, FlatSettings& settings);

std::string flattenListElement(const Json& element, const std::string& path) {
  FlatSettings flattened;
  flattenValue(element, "", flattened);
  if (flattened.size() != 1) throw ParseError("settings: " + path, "nested lists are not supported");
  std::string text = flattened.begin()->second;
  std::replace(text.begin(), text.end(), ',', kEscapedComma);
  return text;
}

void flattenObjects(const Json::Elements& objects, const std::string& childPrefix, FlatSettings& settings) {
  insertUnique(settings, childPrefix + "count", std::to_string(objects.size()));
  for (std::size_t index = 0; index < objects.size(); ++index)
    flattenValue(objects[index], childPrefix + std::to_string(index), settings);
}

void flattenSimpleList(const Json::Elements& elements, const std::string& path, FlatSettings& settings) {
  std::string joined;
  for (std::size_t index = 0; index < elements.size(); ++index) {
    if (index > 0) joined += ',';
    joined += flattenListElement(elements[index], path);
  }
  insertUnique(settings, path, joined);
}

void flattenValue(const Json& value, const std::string& path, FlatSettings& settings) {
  const std::string childPrefix = path.empty() ? "" : path + ".";
  if (const auto* members = std::get_if<Json::Members>(&value.value)) {
    for (const auto& [name, member] : *members) flattenValue(member, childPrefix + name, settings);
  } else if (const auto* elements = std::get_if<Json::Elements>(&value.value)) {
    const bool holdsObjects =
        !elements->empty() && std::holds_alternative<Json::Members>(elements->front().value);
    if (holdsObjects)
      flattenObjects(*elements, childPrefix, settings);
    else
      flattenSimpleList(*elements, path, settings);
  } else if (const auto* text = std::get_if<std::string>(&value.value)) {
    insertUnique(settings, path, *text);
  } else if (const auto* flag = std::get_if<bool>(&value.value)) {
    insertUnique(settings, path, *flag ? "true" : "false");
  } else if (std::holds_alternative<double>(value.value)) {
    insertUnique(settings, path, value.numberText);
  } else if (path.empty()) {
    settings[path];  // A null in a list is an empty element; any other null is absent.
  }
}

}  // namespace

FlatSettings flattenLines(std::string_view text) {
  FlatSettings settings;
  for (const std::string& line : split(text, '\n')) {
    if (line.empty()) continue;
    const std::size_t separator = line.find('=');
    if (separator == std::string::npos || separator == 0)
      throw ParseError("settings", "'" + line + "' is not path=value");
    settings[line.substr(0, separator)] = line.substr(separator + 1);
  }
  return settings;
}

FlatSettings flattenJson(const Json& json) {
  FlatSettings settings;
  flattenValue(json, "", settings);
  return settings;
}

std::vector<std::string> splitList(std::string_view value) {
  std::vector<std::string> elements = split(value, ',');
  for (std::string& element : elements) std::replace(element.begin(), element.end(), kEscapedComma, ',');
  return elements;
}

}  // namespace paddletrack::protocol
