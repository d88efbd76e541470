#include "hcl/hcl.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>

#include "base/utf8.hpp"

namespace paddletrack::hcl {
namespace {

bool letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool digit(char c) { return c >= '0' && c <= '9'; }
bool inName(char c) { return letter(c) || digit(c) || c == '-'; }

std::string quoted(char c) {
  const auto byte = static_cast<unsigned char>(c);
  if (byte >= 0x20 && byte < 0x7f) return std::string("'") + c + "'";
  static constexpr char kHex[] = "0123456789abcdef";
  return std::string("the byte 0x") + kHex[byte >> 4] + kHex[byte & 15];
}

class Reader {
 public:
  explicit Reader(std::string_view text) : text_(text) {
    if (text.size() > kLongestText)
      throw Wrong({}, "the file is longer than " + std::to_string(kLongestText / 1024) + " KiB");
    if (text_.starts_with("\xef\xbb\xbf")) text_.remove_prefix(3);
  }

  Body all() { return inside(0, false); }

 private:
  // ---- bytes -------------------------------------------------------------------------------------------

  bool ended() const { return at_ >= text_.size(); }
  char peek(std::size_t ahead = 0) const { return at_ + ahead < text_.size() ? text_[at_ + ahead] : '\0'; }
  bool next(std::string_view what) const { return text_.substr(at_).starts_with(what); }
  Place here() const { return {line_, at_ - lineBegin_ + 1}; }
  void step(std::size_t count = 1) {
    for (; count > 0 && !ended(); --count) {
      if (text_[at_] == '\0') throw Wrong(here(), "a zero byte");
      if (text_[at_++] == '\n') ++line_, lineBegin_ = at_;
    }
  }

  // Blanks and comments; line ends too where they mean nothing.
  void skip(bool lines) {
    for (;;) {
      if (peek() == ' ' || peek() == '\t' || (peek() == '\r' && peek(1) == '\n')) {
        step();
      } else if (peek() == '\n' && lines && !ended()) {
        step();
      } else if (peek() == '#' || next("//")) {
        while (!ended() && peek() != '\n') step();
      } else if (next("/*")) {
        const Place begin = here();
        const std::size_t end = text_.find("*/", at_ + 2);
        if (end == std::string_view::npos) throw Wrong(begin, "a comment that does not end");
        step(end + 2 - at_);
      } else {
        return;
      }
    }
  }

  void lineEnd(const char* after) {
    skip(false);
    if (ended()) return;
    if (peek() != '\n')
      throw Wrong(here(),
                  std::string("after ") + after + " the line must end, not go on with " + quoted(peek()));
    step();
  }

  std::string name() {
    if (!letter(peek()))
      throw Wrong(here(), "a name is expected, not " + (ended() ? "the end" : quoted(peek())));
    const std::size_t begin = at_;
    while (inName(peek())) step();
    return std::string(text_.substr(begin, at_ - begin));
  }

  // ---- structure ---------------------------------------------------------------------------------------

  // Up to the end of the text, or of the block.
  Body inside(int depth, bool block) {
    if (depth > kDeepest) throw Wrong(here(), "nested deeper than " + std::to_string(kDeepest));
    Body body;
    for (;;) {
      skip(true);
      if (ended()) {
        if (block) throw Wrong(here(), "'}' is expected, not the end");
        return body;
      }
      if (block && peek() == '}') return body;
      item(body, depth, false);
    }
  }

  void item(Body& body, int depth, bool oneLine) {
    const Place place = here();
    std::string key = name();
    skip(false);
    if (peek() == '=' && peek(1) != '=') {
      step();
      for (const Attribute& each : body.attributes)
        if (each.name == key)
          throw Wrong(place, "'" + key + "' is set twice, first in line " + std::to_string(each.place.line));
      skip(false);
      body.attributes.push_back({std::move(key), place, value(depth)});
      if (!oneLine) lineEnd("a value");
      return;
    }
    if (oneLine) throw Wrong(here(), "'=' is expected: a block of one line holds one attribute");
    Block made{std::move(key), place, {}, {}};
    while (peek() != '{') {
      if (peek() == '"') {
        made.labels.push_back(string());
      } else if (letter(peek())) {
        made.labels.push_back(name());
      } else {
        throw Wrong(here(), "'=', '{' or a label is expected after '" + made.type + "'");
      }
      skip(false);
    }
    step();
    skip(false);
    if (peek() == '\n') {
      made.body = inside(depth + 1, true);
    } else if (peek() != '}') {
      if (depth + 1 > kDeepest) throw Wrong(here(), "nested deeper than " + std::to_string(kDeepest));
      item(made.body, depth + 1, true);
      skip(false);
    }
    if (peek() != '}') throw Wrong(here(), "'}' is expected");
    step();
    lineEnd("a block");
    body.blocks.push_back(std::move(made));
  }

  // ---- values ------------------------------------------------------------------------------------------

  Value value(int depth) {
    if (depth > kDeepest) throw Wrong(here(), "nested deeper than " + std::to_string(kDeepest));
    Value made;
    made.place = here();
    const char first = peek();
    if (ended() || first == '\n') throw Wrong(here(), "a value is expected");
    if (first == '"') {
      made.value = string();
    } else if (next("<<")) {
      made.value = heredoc();
    } else if (digit(first) || (first == '-' && digit(peek(1)))) {
      number(made);
    } else if (first == '[') {
      made.value = list(depth);
    } else if (first == '{') {
      made.value = object(depth);
    } else if (letter(first)) {
      const std::string word = name();
      if (word == "true" || word == "false") {
        made.value = word == "true";
      } else if (word != "null") {
        skip(false);
        throw Wrong(made.place,
                    peek() == '(' ? "functions are not read: '" + word + "(...)'"
                                  : "expressions are not read: '" + word + "'; a text stands between quotes");
      }
    } else if (first == '(' || first == '!' || first == '-') {
      throw Wrong(made.place, std::string("expressions are not read: '") + first + "'");
    } else {
      throw Wrong(made.place, "a value is expected, not " + quoted(first));
    }
    // 1 + 2, a ? b : c, a.b, a[0]
    skip(false);
    static constexpr std::string_view kOperators = "+-*/%<>=!&|?.[(";
    if (!ended() && kOperators.find(peek()) != std::string_view::npos)
      throw Wrong(here(), std::string("expressions are not read: '") + peek() + "' after a value");
    return made;
  }

  void number(Value& made) {
    const std::size_t begin = at_;
    if (peek() == '-') step();
    while (digit(peek())) step();
    if (peek() == '.' && digit(peek(1))) {
      step();
      while (digit(peek())) step();
    }
    if (peek() == 'e' || peek() == 'E') {
      step();
      if (peek() == '+' || peek() == '-') step();
      if (!digit(peek())) throw Wrong(here(), "digits are expected in the exponent");
      while (digit(peek())) step();
    }
    if (letter(peek()))
      throw Wrong(made.place, "a number with a unit stands between quotes, as in \"20s\" or \"4MiB\"");
    made.written = std::string(text_.substr(begin, at_ - begin));
    double read = 0;
    const auto [end, error] =
        std::from_chars(made.written.data(), made.written.data() + made.written.size(), read);
    if (error != std::errc{} || !std::isfinite(read)) throw Wrong(made.place, "a number out of range");
    made.value = read;
  }

  std::uint32_t hex(std::size_t digits, Place at) {
    std::uint32_t code = 0;
    const std::string_view text = text_.substr(at_, digits);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), code, 16);
    if (text.size() < digits || error != std::errc{} || end != text.data() + digits)
      throw Wrong(at, std::to_string(digits) + " hex digits are expected in an escape");
    if (code > 0x10ffff || (code >= 0xd800 && code < 0xe000) || code == 0)
      throw Wrong(at, "an escape that is no character");
    step(digits);
    return code;
  }

  // "$${" and "%%{" stand for themselves less one mark; "${" and "%{" begin a template.
  bool marks(std::string& out) {
    for (const char mark : {'$', '%'}) {
      if (peek() != mark) continue;
      if (peek(1) == '{')
        throw Wrong(here(), std::string("templates are not read: '") + mark + "{'; write '" + mark + mark +
                                "{' for the text itself");
      if (peek(1) != mark || peek(2) != '{') continue;
      out += mark;
      out += '{';
      step(3);
      return true;
    }
    return false;
  }

  std::string string() {
    const Place begin = here();
    std::string out;
    step();
    for (;;) {
      if (ended() || peek() == '\n') throw Wrong(begin, "a text that does not end in its line");
      if (peek() == '"') break;
      if (marks(out)) continue;
      if (peek() != '\\') {
        out += peek();
        step();
        continue;
      }
      const Place escape = here();
      step();
      const char kind = peek();
      static constexpr std::array<std::pair<char, char>, 5> kPlain{
          {{'n', '\n'}, {'r', '\r'}, {'t', '\t'}, {'"', '"'}, {'\\', '\\'}}};
      const auto plain =
          std::find_if(kPlain.begin(), kPlain.end(), [&](auto each) { return each.first == kind; });
      if (plain == kPlain.end() && kind != 'u' && kind != 'U')
        throw Wrong(escape, "an escape is one of \\n \\r \\t \\\" \\\\ \\uNNNN \\UNNNNNNNN");
      step();
      if (plain != kPlain.end()) {
        out += plain->second;
      } else {
        putUtf8(out, hex(kind == 'u' ? 4 : 8, escape));
      }
    }
    step();
    return out;
  }

  // <<END or, with the common indent taken off, <<-END; up to a line that holds END alone.
  std::string heredoc() {
    const Place begin = here();
    step(2);
    const bool flush = peek() == '-';
    if (flush) step();
    const std::string end = name();
    if (peek() == '\r') step();
    if (peek() != '\n') throw Wrong(here(), "after <<" + end + " the line must end");
    step();
    std::vector<std::string> lines;
    for (;;) {
      if (ended()) throw Wrong(begin, "a text without its closing line '" + end + "'");
      std::string read;
      while (!ended() && peek() != '\n')
        if (!marks(read)) read += peek(), step();
      if (!read.empty() && read.back() == '\r') read.pop_back();
      const std::size_t indent = std::min(read.find_first_not_of(" \t"), read.size());
      if (std::string_view(read).substr(indent) == end) break;  // its line end is the attribute's
      lines.push_back(std::move(read));
      step();
    }
    std::size_t common = flush ? std::string::npos : 0;
    for (const std::string& each : lines)
      if (const std::size_t indent = each.find_first_not_of(" \t"); flush && indent != std::string::npos)
        common = std::min(common, indent);
    std::string out;
    for (const std::string& each : lines) out += each.substr(std::min(common, each.size())) + "\n";
    return out;
  }

  Value::List list(int depth) {
    Value::List out;
    step();
    for (;;) {
      skip(true);
      if (peek() == ']') break;
      if (ended()) throw Wrong(here(), "']' is expected, not the end");
      if (next("for ")) throw Wrong(here(), "expressions are not read: 'for'");
      out.push_back(value(depth + 1));
      skip(true);
      if (peek() == ',') {
        step();
      } else if (peek() != ']') {
        throw Wrong(here(), "',' or ']' is expected in a list");
      }
    }
    step();
    return out;
  }

  Value::Object object(int depth) {
    Value::Object out;
    step();
    for (;;) {
      skip(true);
      if (peek() == '}') break;
      if (ended()) throw Wrong(here(), "'}' is expected, not the end");
      const Place place = here();
      if (next("for ")) throw Wrong(place, "expressions are not read: 'for'");
      std::string key = peek() == '"' ? string() : name();
      for (const auto& each : out)
        if (each.first == key) throw Wrong(place, "'" + key + "' stands twice in an object");
      skip(false);
      if (peek() != '=' && peek() != ':') throw Wrong(here(), "'=' or ':' is expected after '" + key + "'");
      step();
      skip(false);
      out.emplace_back(std::move(key), value(depth + 1));
      skip(false);
      if (peek() == ',' || peek() == '\n') {
        step();
      } else if (peek() != '}') {
        throw Wrong(here(), "',', a line end or '}' is expected in an object");
      }
    }
    step();
    return out;
  }

  std::string_view text_;
  std::size_t at_ = 0, line_ = 1, lineBegin_ = 0;
};

}  // namespace

const char* Value::kind() const {
  static constexpr std::array<const char*, 6> kKinds{"null",   "true or false", "a number",
                                                     "a text", "a list",        "an object"};
  return kKinds[value.index()];
}

Body parse(std::string_view text) { return Reader(text).all(); }

}  // namespace paddletrack::hcl
