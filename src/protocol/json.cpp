#include "protocol/json.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "base/utf8.hpp"

namespace paddletrack::protocol {
namespace {

constexpr double kMaxExactInteger = 9e15;  // A double represents every integer below it exactly.
constexpr int kMaxDepth = 32;              // Limits the recursion that input from peers can cause.

// A recursive descent parser of RFC 8259. Errors give the byte offset at which parsing stopped.
class JsonParser {
 public:
  explicit JsonParser(std::string_view text) : text_(text) {}

  Json parseDocument() {
    Json document = parseValue(0);
    skipWhitespace();
    if (position_ != text_.size()) fail("unexpected text after the value");
    return document;
  }

 private:
  [[noreturn]] void fail(const char* reason) const {
    throw ParseError("JSON, byte " + std::to_string(position_) + ": " + reason);
  }
  bool hasMore() const { return position_ < text_.size(); }
  char peek() const { return hasMore() ? text_[position_] : '\0'; }
  void skipWhitespace() {
    while (hasMore() && std::string_view(" \t\r\n").find(text_[position_]) != std::string_view::npos)
      ++position_;
  }
  bool consumeChar(char expected) {
    skipWhitespace();
    if (!hasMore() || text_[position_] != expected) return false;
    ++position_;
    return true;
  }
  bool consumeLiteral(std::string_view literal) {
    if (text_.substr(position_, literal.size()) != literal) return false;
    position_ += literal.size();
    return true;
  }

  Json parseValue(int depth) {
    if (depth > kMaxDepth) fail("nested too deep");
    skipWhitespace();
    Json json;
    if (peek() == '{') {
      json.value = parseMembers(depth);
    } else if (peek() == '[') {
      json.value = parseElements(depth);
    } else if (peek() == '"') {
      json.value = parseString();
    } else if (consumeLiteral("true")) {
      json.value = true;
    } else if (consumeLiteral("false")) {
      json.value = false;
    } else if (!consumeLiteral("null")) {
      json.numberText = scanNumber();
      double parsed = 0;
      std::from_chars(json.numberText.data(), json.numberText.data() + json.numberText.size(), parsed);
      json.value = parsed;
    }
    return json;
  }

  Json::Members parseMembers(int depth) {
    Json::Members members;
    ++position_;
    if (consumeChar('}')) return members;
    do {
      skipWhitespace();
      if (peek() != '"') fail("expected a member name");
      std::string name = parseString();
      if (!consumeChar(':')) fail("expected ':'");
      for (const auto& member : members)
        if (member.first == name) fail("duplicate member name");
      members.emplace_back(std::move(name), parseValue(depth + 1));
    } while (consumeChar(','));
    if (!consumeChar('}')) fail("expected ',' or '}'");
    return members;
  }

  Json::Elements parseElements(int depth) {
    Json::Elements elements;
    ++position_;
    if (consumeChar(']')) return elements;
    do {
      elements.push_back(parseValue(depth + 1));
    } while (consumeChar(','));
    if (!consumeChar(']')) fail("expected ',' or ']'");
    return elements;
  }

  void skipDigits() {
    const std::size_t start = position_;
    while (peek() >= '0' && peek() <= '9') ++position_;
    if (position_ == start) fail("expected a value");
  }

  // Scans a number and returns its text. JSON's grammar for numbers is stricter than that of std::from_chars.
  std::string scanNumber() {
    const std::size_t start = position_;
    if (peek() == '-') ++position_;
    if (peek() == '0') {
      ++position_;
    } else {
      skipDigits();
    }
    if (peek() == '.') {
      ++position_;
      skipDigits();
    }
    if (peek() == 'e' || peek() == 'E') {
      ++position_;
      if (peek() == '+' || peek() == '-') ++position_;
      skipDigits();
    }
    return std::string(text_.substr(start, position_ - start));
  }

  unsigned parseHexQuad() {
    unsigned code = 0;
    const std::string_view digits = text_.substr(position_, 4);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
    if (digits.size() < 4 || error != std::errc{} || end != digits.data() + 4)
      fail("expected four hexadecimal digits");
    position_ += 4;
    return code;
  }

  static bool isHighSurrogate(unsigned code) { return code >= 0xd800 && code < 0xdc00; }
  static bool isLowSurrogate(unsigned code) { return code >= 0xdc00 && code < 0xe000; }

  // Parses the digits of a Unicode escape. After a high surrogate, parses a second escape, the low surrogate.
  unsigned parseEscapedCodePoint() {
    const unsigned code = parseHexQuad();
    if (isLowSurrogate(code)) fail("unpaired surrogate");
    if (!isHighSurrogate(code)) return code;
    if (!consumeLiteral("\\u")) fail("unpaired surrogate");
    const unsigned lowSurrogate = parseHexQuad();
    if (!isLowSurrogate(lowSurrogate)) fail("unpaired surrogate");
    return 0x10000 + ((code - 0xd800) << 10) + (lowSurrogate - 0xdc00);
  }

  // Parses the rest of an escape sequence, after its backslash.
  void appendEscaped(std::string& text) {
    if (!hasMore()) fail("unterminated string");
    const char escaped = text_[position_++];
    if (escaped == 'u') {
      appendUtf8(text, parseEscapedCodePoint());
      return;
    }
    constexpr std::string_view kEscapes = "\"\\/bfnrt";
    constexpr std::string_view kUnescaped = "\"\\/\b\f\n\r\t";
    const std::size_t escapeIndex = kEscapes.find(escaped);
    if (escapeIndex == std::string_view::npos) fail("unknown escape sequence");
    text += kUnescaped[escapeIndex];
  }

  std::string parseString() {
    std::string text;
    ++position_;
    while (peek() != '"') {
      if (!hasMore()) fail("unterminated string");
      const char character = text_[position_++];
      if (static_cast<unsigned char>(character) < 0x20) fail("unescaped control character in a string");
      if (character == '\\')
        appendEscaped(text);
      else
        text += character;
    }
    ++position_;
    return text;
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

template <typename Expected>
const Expected& getAs(const Json& object, std::string_view name, const char* kind) {
  const auto* value = std::get_if<Expected>(&object.at(name).value);
  if (!value) throw ParseError(std::string(name), std::string(kind) + " is expected");
  return *value;
}

}  // namespace

const Json* Json::find(std::string_view name) const {
  const auto* members = std::get_if<Members>(&value);
  if (!members) return nullptr;
  const auto member =
      std::find_if(members->begin(), members->end(), [&](const auto& item) { return item.first == name; });
  return member == members->end() ? nullptr : &member->second;
}

const Json& Json::at(std::string_view name) const {
  const Json* found = find(name);
  if (!found) throw ParseError(std::string(name), "is missing");
  return *found;
}

const std::string& Json::getString(std::string_view name) const {
  return getAs<std::string>(*this, name, "a string");
}

double Json::getNumber(std::string_view name) const { return getAs<double>(*this, name, "a number"); }

bool Json::getBool(std::string_view name) const { return getAs<bool>(*this, name, "true or false"); }

const Json::Elements& Json::getArray(std::string_view name) const {
  return getAs<Elements>(*this, name, "an array");
}

std::uint64_t Json::getUnsigned(std::string_view name) const {
  const double number = getNumber(name);
  const bool isExactUnsigned = number >= 0 && number < kMaxExactInteger && number == std::floor(number);
  if (!isExactUnsigned) throw ParseError(std::string(name), "expected an unsigned integer");
  return static_cast<std::uint64_t>(number);
}

Json parseJson(std::string_view text) { return JsonParser(text).parseDocument(); }

}  // namespace paddletrack::protocol
