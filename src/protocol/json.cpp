#include "protocol/json.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "base/utf8.hpp"

namespace paddletrack::protocol {
namespace {

constexpr int kDeepest = 32;

class Parser {
 public:
  explicit Parser(std::string_view text) : text_(text) {}

  Json whole() {
    Json read = value(0);
    blanks();
    if (at_ != text_.size()) fail("more after the value");
    return read;
  }

 private:
  [[noreturn]] void fail(const char* what) const {
    throw Unreadable("JSON, byte " + std::to_string(at_) + ": " + what);
  }
  bool more() const { return at_ < text_.size(); }
  char next() const { return more() ? text_[at_] : '\0'; }
  void blanks() {
    while (more() && std::string_view(" \t\r\n").find(text_[at_]) != std::string_view::npos) ++at_;
  }
  bool skip(char mark) {
    blanks();
    if (!more() || text_[at_] != mark) return false;
    ++at_;
    return true;
  }
  bool word(std::string_view wanted) {
    if (text_.substr(at_, wanted.size()) != wanted) return false;
    at_ += wanted.size();
    return true;
  }

  Json value(int depth) {
    if (depth > kDeepest) fail("nested too deep");
    blanks();
    Json read;
    if (next() == '{') {
      read.value = members(depth);
    } else if (next() == '[') {
      read.value = elements(depth);
    } else if (next() == '"') {
      read.value = string();
    } else if (word("true")) {
      read.value = true;
    } else if (word("false")) {
      read.value = false;
    } else if (!word("null")) {
      read.written = number();
      double parsed = 0;
      std::from_chars(read.written.data(), read.written.data() + read.written.size(), parsed);
      read.value = parsed;
    }
    return read;
  }

  Json::Members members(int depth) {
    Json::Members read;
    ++at_;
    if (skip('}')) return read;
    do {
      blanks();
      if (next() != '"') fail("a name is wanted");
      std::string name = string();
      if (!skip(':')) fail("':' is wanted");
      for (const auto& each : read)
        if (each.first == name) fail("a name stands twice");
      read.emplace_back(std::move(name), value(depth + 1));
    } while (skip(','));
    if (!skip('}')) fail("',' or '}' is wanted");
    return read;
  }

  Json::Elements elements(int depth) {
    Json::Elements read;
    ++at_;
    if (skip(']')) return read;
    do {
      read.push_back(value(depth + 1));
    } while (skip(','));
    if (!skip(']')) fail("',' or ']' is wanted");
    return read;
  }

  std::string number() {
    const std::size_t begin = at_;
    const auto digits = [&] {
      const std::size_t from = at_;
      while (next() >= '0' && next() <= '9') ++at_;
      if (at_ == from) fail("a value is wanted");
    };
    if (next() == '-') ++at_;
    if (next() == '0') {
      ++at_;
    } else {
      digits();
    }
    if (next() == '.') ++at_, digits();
    if (next() == 'e' || next() == 'E') {
      ++at_;
      if (next() == '+' || next() == '-') ++at_;
      digits();
    }
    return std::string(text_.substr(begin, at_ - begin));
  }

  unsigned hex() {
    unsigned code = 0;
    const std::string_view four = text_.substr(at_, 4);
    const auto [end, error] = std::from_chars(four.data(), four.data() + four.size(), code, 16);
    if (four.size() < 4 || error != std::errc{} || end != four.data() + 4) fail("four hex digits are wanted");
    at_ += 4;
    return code;
  }

  std::string string() {
    std::string read;
    for (++at_; next() != '"';) {
      if (!more()) fail("an unfinished string");
      const char each = text_[at_++];
      if (static_cast<unsigned char>(each) < 0x20) fail("a control character in a string");
      if (each != '\\') {
        read += each;
        continue;
      }
      if (!more()) fail("an unfinished string");
      const char escaped = text_[at_++];
      constexpr std::string_view kEscapes = "\"\\/bfnrt", kMeant = "\"\\/\b\f\n\r\t";
      if (escaped == 'u') {
        unsigned code = hex();
        if (code >= 0xd800 && code < 0xdc00) {
          if (!word("\\u")) fail("half a surrogate pair");
          const unsigned low = hex();
          if (low < 0xdc00 || low > 0xdfff) fail("half a surrogate pair");
          code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
        } else if (code >= 0xdc00 && code < 0xe000) {
          fail("half a surrogate pair");
        }
        putUtf8(read, code);
      } else if (const std::size_t which = kEscapes.find(escaped); which != std::string_view::npos) {
        read += kMeant[which];
      } else {
        fail("an unknown escape");
      }
    }
    ++at_;
    return read;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

template <typename Wanted>
const Wanted& as(const Json& from, std::string_view name, const char* kind) {
  const auto* held = std::get_if<Wanted>(&from.at(name).value);
  if (!held) throw Unreadable(std::string(name), std::string(kind) + " is wanted");
  return *held;
}

}  // namespace

const Json* Json::find(std::string_view name) const {
  const auto* members = std::get_if<Members>(&value);
  if (!members) return nullptr;
  const auto at =
      std::find_if(members->begin(), members->end(), [&](const auto& each) { return each.first == name; });
  return at == members->end() ? nullptr : &at->second;
}

const Json& Json::at(std::string_view name) const {
  const Json* found = find(name);
  if (!found) throw Unreadable(std::string(name), "is missing");
  return *found;
}

const std::string& Json::text(std::string_view name) const {
  return as<std::string>(*this, name, "a string");
}
double Json::number(std::string_view name) const { return as<double>(*this, name, "a number"); }
bool Json::flag(std::string_view name) const { return as<bool>(*this, name, "true or false"); }
const Json::Elements& Json::list(std::string_view name) const { return as<Elements>(*this, name, "a list"); }
std::uint64_t Json::whole(std::string_view name) const {
  const double read = number(name);
  if (!(read >= 0 && read < 9e15 && read == std::floor(read)))
    throw Unreadable(std::string(name), "a whole number is wanted");
  return static_cast<std::uint64_t>(read);
}

Json parseJson(std::string_view text) { return Parser(text).whole(); }

}  // namespace paddletrack::protocol
