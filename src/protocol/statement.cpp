#include "protocol/statement.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <string>

namespace paddletrack::protocol {
namespace {

struct Token {
  enum class Kind { name, dot, comma, openParenthesis, closeParenthesis, other, end } kind = Kind::end;
  std::string text;  // of a name: as it is meant, in lower case unless it was quoted
  bool quoted = false;
};

bool isIdentifierStart(char c) {
  return std::isalpha(static_cast<unsigned char>(c)) || c == '_' || (c & 0x80);
}
bool isIdentifierPart(char c) {
  return isIdentifierStart(c) || std::isdigit(static_cast<unsigned char>(c)) || c == '$';
}

// SQL words and marks; comments and strings are passed over whole, an unfinished one to the end.
class SqlScanner {
 public:
  explicit SqlScanner(std::string_view text) : text_(text) {}

  Token nextToken() {
    for (;;) {
      if (position_ >= text_.size()) return {};
      const char c = text_[position_];
      if (std::isspace(static_cast<unsigned char>(c))) {
        ++position_;
      } else if (startsWith("--")) {
        position_ = std::min(text_.find('\n', position_), text_.size());
      } else if (startsWith("/*")) {
        skipComment();
      } else {
        break;
      }
    }
    const char c = text_[position_];
    if (c == '\'') {
      readQuoted('\'');
      return {Token::Kind::other, "", false};
    }
    if (c == '"' || c == '`') return {Token::Kind::name, readQuoted(c), true};
    if (isIdentifierStart(c)) {
      std::string word;
      while (position_ < text_.size() && isIdentifierPart(text_[position_]))
        word += static_cast<char>(std::tolower(static_cast<unsigned char>(text_[position_++])));
      return {Token::Kind::name, std::move(word), false};
    }
    if (std::isdigit(static_cast<unsigned char>(c))) {  // 1.5e3: its dot joins no names
      while (position_ < text_.size() && (isIdentifierPart(text_[position_]) || text_[position_] == '.'))
        ++position_;
      return {Token::Kind::other, "", false};
    }
    ++position_;
    switch (c) {
      case '.':
        return {Token::Kind::dot, "", false};
      case ',':
        return {Token::Kind::comma, "", false};
      case '(':
        return {Token::Kind::openParenthesis, "", false};
      case ')':
        return {Token::Kind::closeParenthesis, "", false};
      default:
        return {Token::Kind::other, "", false};
    }
  }

 private:
  bool startsWith(std::string_view prefix) const { return text_.substr(position_, prefix.size()) == prefix; }
  void skipComment() {  // block comments nest, as in the standard
    int depth = 0;
    do {
      if (startsWith("/*")) {
        ++depth, position_ += 2;
      } else if (startsWith("*/")) {
        --depth, position_ += 2;
      } else {
        ++position_;
      }
    } while (depth > 0 && position_ < text_.size());
  }
  std::string readQuoted(char quote) {
    std::string content;
    for (++position_; position_ < text_.size(); ++position_) {
      if (text_[position_] == quote) {
        if (position_ + 1 >= text_.size() || text_[position_ + 1] != quote) break;
        ++position_;
      }
      content += text_[position_];
    }
    ++position_;
    return content;
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

std::optional<std::uint32_t> parseGroupSuffix(const Token& schema) {
  const std::size_t underscore = schema.text.rfind('_');
  if (underscore == std::string::npos || underscore + 1 == schema.text.size()) return std::nullopt;
  std::uint32_t group = 0;
  const char* textEnd = schema.text.data() + schema.text.size();
  const auto [parsedEnd, error] = std::from_chars(schema.text.data() + underscore + 1, textEnd, group);
  if (error != std::errc{} || parsedEnd != textEnd) return std::nullopt;
  return group;
}

bool introducesTable(const Token& word) {
  if (word.quoted) return false;
  for (const char* character : {"from", "join", "into", "update", "table", "using", "overwrite"})
    if (word.text == character) return true;
  return false;
}

}  // namespace

// Only names where a table stands count: a column may be written with an alias or its schema before it.
std::uint32_t parseTableGroup(std::string_view statement) {
  SqlScanner scanner(statement);
  Token token = scanner.nextToken();
  bool expectsTable = false;  // a table's name is to come
  bool inTableList = false;   // within a list of tables: another may follow a comma
  while (token.kind != Token::Kind::end) {
    if (token.kind == Token::Kind::name && introducesTable(token)) {
      expectsTable = inTableList = true;
      token = scanner.nextToken();
      continue;
    }
    if (token.kind == Token::Kind::comma && inTableList) expectsTable = true;
    if (token.kind == Token::Kind::openParenthesis || token.kind == Token::Kind::closeParenthesis)
      expectsTable = inTableList = false;
    if (token.kind == Token::Kind::name && !token.quoted &&
        (token.text == "where" || token.text == "set" || token.text == "on" || token.text == "select" ||
         token.text == "values" || token.text == "group" || token.text == "order"))
      expectsTable = inTableList = false;
    if (token.kind != Token::Kind::name || !expectsTable) {
      token = scanner.nextToken();
      continue;
    }
    const Token schema = token;
    token = scanner.nextToken();
    if (token.kind != Token::Kind::dot) {
      // "into table x", "from only x": the name is still to come; else this was it.
      expectsTable = !schema.quoted && (schema.text == "only" || schema.text == "lateral");
      continue;
    }
    expectsTable = false;
    if (schema.text == "staging") continue;
    if (const auto group = parseGroupSuffix(schema)) return *group;
  }
  return 0;
}

}  // namespace paddletrack::protocol
