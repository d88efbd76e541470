#include "hcl/parser.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>

#include "base/utf8.hpp"

namespace paddletrack::hcl {
namespace {

bool isLetter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool isDigit(char c) { return c >= '0' && c <= '9'; }
bool isIdentifierChar(char c) { return isLetter(c) || isDigit(c) || c == '-'; }

std::string describeChar(char character) {
  const auto byte = static_cast<unsigned char>(character);
  if (byte >= 0x20 && byte < 0x7f) return std::string("'") + character + "'";
  static constexpr char kHex[] = "0123456789abcdef";
  return std::string("byte 0x") + kHex[byte >> 4] + kHex[byte & 15];
}

class Parser {
 public:
  explicit Parser(std::string_view text) : text_(text) {
    if (text.size() > kMaxTextBytes)
      throw ParseError({}, "the file is longer than " + std::to_string(kMaxTextBytes / 1024) + " KiB");
    if (text_.starts_with("\xef\xbb\xbf")) text_.remove_prefix(3);
  }

  Body parseDocument() { return parseBody(0, false); }

 private:
  // ---- bytes -------------------------------------------------------------------------------------------

  bool isAtEnd() const { return position_ >= text_.size(); }
  char peek(std::size_t ahead = 0) const {
    return position_ + ahead < text_.size() ? text_[position_ + ahead] : '\0';
  }
  bool isNext(std::string_view text) const { return text_.substr(position_).starts_with(text); }
  SourceLocation currentLocation() const { return {line_, position_ - lineStart_ + 1}; }
  void advance(std::size_t count = 1) {
    for (; count > 0 && !isAtEnd(); --count) {
      if (text_[position_] == '\0') throw ParseError(currentLocation(), "unexpected null byte");
      const bool isLineEnd = text_[position_] == '\n';
      ++position_;
      if (isLineEnd) {
        ++line_;
        lineStart_ = position_;
      }
    }
  }

  // Skips blanks and comments, and also line ends if `skipsLineEnds` is set.
  void skipBlanks(bool skipsLineEnds) {
    for (;;) {
      if (peek() == ' ' || peek() == '\t' || (peek() == '\r' && peek(1) == '\n')) {
        advance();
      } else if (peek() == '\n' && skipsLineEnds && !isAtEnd()) {
        advance();
      } else if (peek() == '#' || isNext("//")) {
        while (!isAtEnd() && peek() != '\n') advance();
      } else if (isNext("/*")) {
        const SourceLocation begin = currentLocation();
        const std::size_t end = text_.find("*/", position_ + 2);
        if (end == std::string_view::npos) throw ParseError(begin, "unterminated comment");
        advance(end + 2 - position_);
      } else {
        return;
      }
    }
  }

  void expectLineEnd(const char* precedingItem) {
    skipBlanks(false);
    if (isAtEnd()) return;
    if (peek() != '\n')
      throw ParseError(currentLocation(), std::string("expected the end of the line after ") + precedingItem +
                                              ", found " + describeChar(peek()));
    advance();
  }

  std::string parseIdentifier() {
    if (!isLetter(peek()))
      throw ParseError(currentLocation(), "expected a name, found " +
                                              (isAtEnd() ? "the end of the file" : describeChar(peek())));
    const std::size_t begin = position_;
    while (isIdentifierChar(peek())) advance();
    return std::string(text_.substr(begin, position_ - begin));
  }

  // ---- structure ---------------------------------------------------------------------------------------

  // Parses up to the end of the text, or up to the closing brace if `isBlock` is set.
  Body parseBody(int depth, bool isBlock) {
    if (depth > kMaxNesting)
      throw ParseError(currentLocation(),
                       "nesting exceeds the maximum depth of " + std::to_string(kMaxNesting));
    Body body;
    for (;;) {
      skipBlanks(true);
      if (isAtEnd()) {
        if (isBlock) throw ParseError(currentLocation(), "expected '}', found the end of the file");
        return body;
      }
      if (isBlock && peek() == '}') return body;
      parseItem(body, depth, false);
    }
  }

  void parseItem(Body& body, int depth, bool isOneLine) {
    const SourceLocation location = currentLocation();
    std::string key = parseIdentifier();
    skipBlanks(false);
    if (peek() == '=' && peek(1) != '=') {
      advance();
      for (const Attribute& attribute : body.attributes)
        if (attribute.name == key)
          throw ParseError(location, "duplicate key '" + key + "', first defined in line " +
                                         std::to_string(attribute.location.line));
      skipBlanks(false);
      body.attributes.push_back({std::move(key), location, parseValue(depth)});
      if (!isOneLine) expectLineEnd("a value");
      return;
    }
    if (isOneLine) throw ParseError(currentLocation(), "expected '='; a one-line block holds one attribute");
    Block block{std::move(key), location, {}, {}};
    while (peek() != '{') {
      if (peek() == '"') {
        block.labels.push_back(parseString());
      } else if (isLetter(peek())) {
        block.labels.push_back(parseIdentifier());
      } else {
        throw ParseError(currentLocation(), "expected '=', '{' or a label after '" + block.type + "'");
      }
      skipBlanks(false);
    }
    advance();
    skipBlanks(false);
    if (peek() == '\n') {
      block.body = parseBody(depth + 1, true);
    } else if (peek() != '}') {
      if (depth + 1 > kMaxNesting)
        throw ParseError(currentLocation(),
                         "nesting exceeds the maximum depth of " + std::to_string(kMaxNesting));
      parseItem(block.body, depth + 1, true);
      skipBlanks(false);
    }
    if (peek() != '}') throw ParseError(currentLocation(), "expected '}'");
    advance();
    expectLineEnd("a block");
    body.blocks.push_back(std::move(block));
  }

  // ---- values ------------------------------------------------------------------------------------------

  Value parseValue(int depth) {
    if (depth > kMaxNesting)
      throw ParseError(currentLocation(),
                       "nesting exceeds the maximum depth of " + std::to_string(kMaxNesting));
    Value result;
    result.location = currentLocation();
    const char first = peek();
    if (isAtEnd() || first == '\n') throw ParseError(currentLocation(), "expected a value");
    if (first == '"') {
      result.value = parseString();
    } else if (isNext("<<")) {
      result.value = parseHeredoc();
    } else if (isDigit(first) || (first == '-' && isDigit(peek(1)))) {
      parseNumber(result);
    } else if (first == '[') {
      result.value = parseList(depth);
    } else if (first == '{') {
      result.value = parseObject(depth);
    } else if (isLetter(first)) {
      const std::string word = parseIdentifier();
      if (word == "true" || word == "false") {
        result.value = word == "true";
      } else if (word != "null") {
        skipBlanks(false);
        throw ParseError(result.location, peek() == '(' ? "functions are not supported: '" + word + "(...)'"
                                                        : "expressions are not supported: '" + word +
                                                              "'; a string must be quoted");
      }
    } else if (first == '(' || first == '!' || first == '-') {
      throw ParseError(result.location, std::string("expressions are not supported: '") + first + "'");
    } else {
      throw ParseError(result.location, "expected a value, found " + describeChar(first));
    }
    // An operator after a value makes it an expression: 1 + 2, a ? b : c, a.b, a[0].
    skipBlanks(false);
    static constexpr std::string_view kOperators = "+-*/%<>=!&|?.[(";
    if (!isAtEnd() && kOperators.find(peek()) != std::string_view::npos)
      throw ParseError(currentLocation(),
                       std::string("expressions are not supported: '") + peek() + "' after a value");
    return result;
  }

  void parseNumber(Value& result) {
    const std::size_t begin = position_;
    if (peek() == '-') advance();
    while (isDigit(peek())) advance();
    if (peek() == '.' && isDigit(peek(1))) {
      advance();
      while (isDigit(peek())) advance();
    }
    if (peek() == 'e' || peek() == 'E') {
      advance();
      if (peek() == '+' || peek() == '-') advance();
      if (!isDigit(peek())) throw ParseError(currentLocation(), "expected digits in the exponent");
      while (isDigit(peek())) advance();
    }
    if (isLetter(peek()))
      throw ParseError(result.location, "a number with a unit must be quoted, as in \"20s\" or \"4MiB\"");
    result.sourceText = std::string(text_.substr(begin, position_ - begin));
    double parsed = 0;
    const auto [end, error] = std::from_chars(result.sourceText.data(),
                                              result.sourceText.data() + result.sourceText.size(), parsed);
    if (error != std::errc{} || !std::isfinite(parsed))
      throw ParseError(result.location, "number out of range");
    result.value = parsed;
  }

  std::uint32_t parseHexEscape(std::size_t digits, SourceLocation location) {
    std::uint32_t code = 0;
    const std::string_view text = text_.substr(position_, digits);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), code, 16);
    if (text.size() < digits || error != std::errc{} || end != text.data() + digits)
      throw ParseError(location,
                       std::to_string(digits) + " hexadecimal digits are required in this escape sequence");
    if (code > 0x10ffff || (code >= 0xd800 && code < 0xe000) || code == 0)
      throw ParseError(location, "escape sequence is not a valid Unicode character");
    advance(digits);
    return code;
  }

  // "$${" and "%%{" are escapes for "${" and "%{", which start a template. Returns whether it parsed one.
  bool parseTemplateEscape(std::string& output) {
    for (const char introducer : {'$', '%'}) {
      if (peek() != introducer) continue;
      if (peek(1) == '{')
        throw ParseError(currentLocation(), std::string("templates are not supported: '") + introducer +
                                                "{'; write '" + introducer + introducer +
                                                "{' for the literal text");
      if (peek(1) != introducer || peek(2) != '{') continue;
      output += introducer;
      output += '{';
      advance(3);
      return true;
    }
    return false;
  }

  std::string parseString() {
    const SourceLocation begin = currentLocation();
    std::string result;
    advance();
    for (;;) {
      if (isAtEnd() || peek() == '\n')
        throw ParseError(begin, "unterminated string; a string must end on the same line");
      if (peek() == '"') break;
      if (parseTemplateEscape(result)) continue;
      if (peek() != '\\') {
        result += peek();
        advance();
        continue;
      }
      const SourceLocation escape = currentLocation();
      advance();
      const char kind = peek();
      static constexpr std::array<std::pair<char, char>, 5> kSimpleEscapes{
          {{'n', '\n'}, {'r', '\r'}, {'t', '\t'}, {'"', '"'}, {'\\', '\\'}}};
      const auto simpleEscape = std::find_if(kSimpleEscapes.begin(), kSimpleEscapes.end(),
                                             [&](auto item) { return item.first == kind; });
      if (simpleEscape == kSimpleEscapes.end() && kind != 'u' && kind != 'U')
        throw ParseError(
            escape, "unknown escape sequence; expected one of \\n \\r \\t \\\" \\\\ \\uNNNN \\UNNNNNNNN");
      advance();
      if (simpleEscape != kSimpleEscapes.end()) {
        result += simpleEscape->second;
      } else {
        appendUtf8(result, parseHexEscape(kind == 'u' ? 4 : 8, escape));
      }
    }
    advance();
    return result;
  }

  // Parses a heredoc, <<END or <<-END, up to a line that contains only END. <<-END removes the common indent.
  std::string parseHeredoc() {
    const SourceLocation begin = currentLocation();
    advance(2);
    const bool stripsIndent = peek() == '-';
    if (stripsIndent) advance();
    const std::string terminator = parseIdentifier();
    if (peek() == '\r') advance();
    if (peek() != '\n')
      throw ParseError(currentLocation(),
                       "unexpected text after <<" + terminator + "; the line must end there");
    advance();
    std::vector<std::string> lines;
    for (;;) {
      if (isAtEnd())
        throw ParseError(begin, "unterminated heredoc; missing closing line '" + terminator + "'");
      std::string line;
      while (!isAtEnd() && peek() != '\n')
        if (!parseTemplateEscape(line)) {
          line += peek();
          advance();
        }
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const std::size_t indent = std::min(line.find_first_not_of(" \t"), line.size());
      if (std::string_view(line).substr(indent) == terminator)
        break;  // The caller parses the end of the line, which ends the attribute.
      lines.push_back(std::move(line));
      advance();
    }
    std::size_t commonIndent = stripsIndent ? std::string::npos : 0;
    for (const std::string& line : lines)
      if (const std::size_t indent = line.find_first_not_of(" \t");
          stripsIndent && indent != std::string::npos)
        commonIndent = std::min(commonIndent, indent);
    std::string result;
    for (const std::string& line : lines) result += line.substr(std::min(commonIndent, line.size())) + "\n";
    return result;
  }

  Value::List parseList(int depth) {
    Value::List values;
    advance();
    for (;;) {
      skipBlanks(true);
      if (peek() == ']') break;
      if (isAtEnd()) throw ParseError(currentLocation(), "expected ']', found the end of the file");
      if (isNext("for ")) throw ParseError(currentLocation(), "expressions are not supported: 'for'");
      values.push_back(parseValue(depth + 1));
      skipBlanks(true);
      if (peek() == ',') {
        advance();
      } else if (peek() != ']') {
        throw ParseError(currentLocation(), "expected ',' or ']' in a list");
      }
    }
    advance();
    return values;
  }

  Value::Object parseObject(int depth) {
    Value::Object members;
    advance();
    for (;;) {
      skipBlanks(true);
      if (peek() == '}') break;
      if (isAtEnd()) throw ParseError(currentLocation(), "expected '}', found the end of the file");
      const SourceLocation location = currentLocation();
      if (isNext("for ")) throw ParseError(location, "expressions are not supported: 'for'");
      std::string key = peek() == '"' ? parseString() : parseIdentifier();
      for (const auto& member : members)
        if (member.first == key) throw ParseError(location, "duplicate key '" + key + "' in an object");
      skipBlanks(false);
      if (peek() != '=' && peek() != ':')
        throw ParseError(currentLocation(), "expected '=' or ':' after '" + key + "'");
      advance();
      skipBlanks(false);
      members.emplace_back(std::move(key), parseValue(depth + 1));
      skipBlanks(false);
      if (peek() == ',' || peek() == '\n') {
        advance();
      } else if (peek() != '}') {
        throw ParseError(currentLocation(), "expected ',', a line end or '}' in an object");
      }
    }
    advance();
    return members;
  }

  std::string_view text_;
  std::size_t position_ = 0, line_ = 1, lineStart_ = 0;
};

}  // namespace

const char* Value::kindName() const {
  static constexpr std::array<const char*, 6> kKinds{"null",     "a boolean", "a number",
                                                     "a string", "a list",    "an object"};
  return kKinds[value.index()];
}

Body parse(std::string_view text) { return Parser(text).parseDocument(); }

}  // namespace paddletrack::hcl
