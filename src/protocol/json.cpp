#include "protocol/json.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "base/utf8.hpp"

namespace paddletrack::protocol {
namespace {

constexpr int kMaxDepth = 32;

class JsonParser {
 public:
  explicit JsonParser(std::string_view text) : text_(text) {}

  Json parseDocument() {
    Json document = parseValue(0);
    skipWhitespace();
    if (position_ != text_.size()) fail("more after the value");
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
      if (peek() != '"') fail("a name is wanted");
      std::string name = parseString();
      if (!consumeChar(':')) fail("':' is wanted");
      for (const auto& member : members)
        if (member.first == name) fail("a name stands twice");
      members.emplace_back(std::move(name), parseValue(depth + 1));
    } while (consumeChar(','));
    if (!consumeChar('}')) fail("',' or '}' is wanted");
    return members;
  }

  Json::Elements parseElements(int depth) {
    Json::Elements elements;
    ++position_;
    if (consumeChar(']')) return elements;
    do {
      elements.push_back(parseValue(depth + 1));
    } while (consumeChar(','));
    if (!consumeChar(']')) fail("',' or ']' is wanted");
    return elements;
  }

  std::string scanNumber() {
    const std::size_t start = position_;
    const auto digits = [&] {
      const std::size_t from = position_;
      while (peek() >= '0' && peek() <= '9') ++position_;
      if (position_ == from) fail("a value is wanted");
    };
    if (peek() == '-') ++position_;
    if (peek() == '0') {
      ++position_;
    } else {
      digits();
    }
    if (peek() == '.') ++position_, digits();
    if (peek() == 'e' || peek() == 'E') {
      ++position_;
      if (peek() == '+' || peek() == '-') ++position_;
      digits();
    }
    return std::string(text_.substr(start, position_ - start));
  }

  unsigned parseHexQuad() {
    unsigned code = 0;
    const std::string_view digits = text_.substr(position_, 4);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
    if (digits.size() < 4 || error != std::errc{} || end != digits.data() + 4)
      fail("four hex digits are wanted");
    position_ += 4;
    return code;
  }

  std::string parseString() {
    std::string text;
    for (++position_; peek() != '"';) {
      if (!hasMore()) fail("an unfinished string");
      const char character = text_[position_++];
      if (static_cast<unsigned char>(character) < 0x20) fail("a control character in a string");
      if (character != '\\') {
        text += character;
        continue;
      }
      if (!hasMore()) fail("an unfinished string");
      const char escaped = text_[position_++];
      constexpr std::string_view kEscapes = "\"\\/bfnrt", kUnescaped = "\"\\/\b\f\n\r\t";
      if (escaped == 'u') {
        unsigned code = parseHexQuad();
        if (code >= 0xd800 && code < 0xdc00) {
          if (!consumeLiteral("\\u")) fail("half a surrogate pair");
          const unsigned lowSurrogate = parseHexQuad();
          if (lowSurrogate < 0xdc00 || lowSurrogate > 0xdfff) fail("half a surrogate pair");
          code = 0x10000 + ((code - 0xd800) << 10) + (lowSurrogate - 0xdc00);
        } else if (code >= 0xdc00 && code < 0xe000) {
          fail("half a surrogate pair");
        }
        appendUtf8(text, code);
      } else if (const std::size_t escapeIndex = kEscapes.find(escaped);
                 escapeIndex != std::string_view::npos) {
        text += kUnescaped[escapeIndex];
      } else {
        fail("an unknown escape");
      }
    }
    ++position_;
    return text;
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

template <typename Wanted>
const Wanted& getAs(const Json& object, std::string_view name, const char* kind) {
  const auto* value = std::get_if<Wanted>(&object.at(name).value);
  if (!value) throw ParseError(std::string(name), std::string(kind) + " is wanted");
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
  return getAs<Elements>(*this, name, "a list");
}
std::uint64_t Json::getUnsigned(std::string_view name) const {
  const double number = getNumber(name);
  if (!(number >= 0 && number < 9e15 && number == std::floor(number)))
    throw ParseError(std::string(name), "a whole number is wanted");
  return static_cast<std::uint64_t>(number);
}

Json parseJson(std::string_view text) { return JsonParser(text).parseDocument(); }

}  // namespace paddletrack::protocol
