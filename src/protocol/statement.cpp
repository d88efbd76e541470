#include "protocol/statement.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <string>

namespace paddletrack::protocol {
namespace {

struct Token {
  enum class Kind { name, dot, comma, open, close, other, end } kind = Kind::end;
  std::string text;  // of a name: as it is meant, in lower case unless it was quoted
  bool quoted = false;
};

bool begins(char c) { return std::isalpha(static_cast<unsigned char>(c)) || c == '_' || (c & 0x80); }
bool goesOn(char c) { return begins(c) || std::isdigit(static_cast<unsigned char>(c)) || c == '$'; }

// SQL words and marks; comments and strings are passed over whole, an unfinished one to the end.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}

  Token next() {
    for (;;) {
      if (at_ >= text_.size()) return {};
      const char c = text_[at_];
      if (std::isspace(static_cast<unsigned char>(c))) {
        ++at_;
      } else if (starts("--")) {
        at_ = std::min(text_.find('\n', at_), text_.size());
      } else if (starts("/*")) {
        comment();
      } else {
        break;
      }
    }
    const char c = text_[at_];
    if (c == '\'') {
      enclosed('\'');
      return {Token::Kind::other, "", false};
    }
    if (c == '"' || c == '`') return {Token::Kind::name, enclosed(c), true};
    if (begins(c)) {
      std::string word;
      while (at_ < text_.size() && goesOn(text_[at_]))
        word += static_cast<char>(std::tolower(static_cast<unsigned char>(text_[at_++])));
      return {Token::Kind::name, std::move(word), false};
    }
    if (std::isdigit(static_cast<unsigned char>(c))) {  // 1.5e3: its dot joins no names
      while (at_ < text_.size() && (goesOn(text_[at_]) || text_[at_] == '.')) ++at_;
      return {Token::Kind::other, "", false};
    }
    ++at_;
    switch (c) {
      case '.':
        return {Token::Kind::dot, "", false};
      case ',':
        return {Token::Kind::comma, "", false};
      case '(':
        return {Token::Kind::open, "", false};
      case ')':
        return {Token::Kind::close, "", false};
      default:
        return {Token::Kind::other, "", false};
    }
  }

 private:
  bool starts(std::string_view mark) const { return text_.substr(at_, mark.size()) == mark; }
  void comment() {  // block comments nest, as in the standard
    int depth = 0;
    do {
      if (starts("/*")) {
        ++depth, at_ += 2;
      } else if (starts("*/")) {
        --depth, at_ += 2;
      } else {
        ++at_;
      }
    } while (depth > 0 && at_ < text_.size());
  }
  std::string enclosed(char mark) {
    std::string held;
    for (++at_; at_ < text_.size(); ++at_) {
      if (text_[at_] == mark) {
        if (at_ + 1 >= text_.size() || text_[at_ + 1] != mark) break;
        ++at_;
      }
      held += text_[at_];
    }
    ++at_;
    return held;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

std::optional<std::uint32_t> groupOf(const Token& schema) {
  const std::size_t mark = schema.text.rfind('_');
  if (mark == std::string::npos || mark + 1 == schema.text.size()) return std::nullopt;
  std::uint32_t group = 0;
  const char* end = schema.text.data() + schema.text.size();
  const auto [stop, error] = std::from_chars(schema.text.data() + mark + 1, end, group);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return group;
}

bool introducesTable(const Token& word) {
  if (word.quoted) return false;
  for (const char* each : {"from", "join", "into", "update", "table", "using", "overwrite"})
    if (word.text == each) return true;
  return false;
}

}  // namespace

// Only names where a table stands count: a column may be written with an alias or its schema before it.
std::uint32_t tableGroup(std::string_view statement) {
  Scanner scanner(statement);
  Token token = scanner.next();
  bool table = false;  // a table's name is to come
  bool list = false;   // within a list of tables: another may follow a comma
  while (token.kind != Token::Kind::end) {
    if (token.kind == Token::Kind::name && introducesTable(token)) {
      table = list = true;
      token = scanner.next();
      continue;
    }
    if (token.kind == Token::Kind::comma && list) table = true;
    if (token.kind == Token::Kind::open || token.kind == Token::Kind::close) table = list = false;
    if (token.kind == Token::Kind::name && !token.quoted &&
        (token.text == "where" || token.text == "set" || token.text == "on" || token.text == "select" ||
         token.text == "values" || token.text == "group" || token.text == "order"))
      table = list = false;
    if (token.kind != Token::Kind::name || !table) {
      token = scanner.next();
      continue;
    }
    const Token schema = token;
    token = scanner.next();
    if (token.kind != Token::Kind::dot) {
      // "into table x", "from only x": the name is still to come; else this was it.
      table = !schema.quoted && (schema.text == "only" || schema.text == "lateral");
      continue;
    }
    table = false;
    if (schema.text == "staging") continue;
    if (const auto group = groupOf(schema)) return *group;
  }
  return 0;
}

}  // namespace paddletrack::protocol
