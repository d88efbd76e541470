#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/json.hpp"

// RESP arrays of bulk strings, as executors speak them. Parsers read in place.
namespace paddletrack::protocol::resp {

constexpr std::size_t kMostWords = 8;
constexpr std::size_t kLongestPage = 6000, kLongestResult = 48000;
constexpr std::size_t kLongestWord = kLongestPage;

struct Array {
  std::array<std::string_view, kMostWords> words{};
  std::size_t count = 0;
  std::size_t size = 0;    // bytes of the whole array; 0: it is not whole yet
  std::size_t wanted = 0;  // while it is not: the least it takes in all
};
Array read(std::string_view input, std::size_t longestWord = kLongestWord);

enum class Word { ok, full, error, over, alive, chunk, other };

struct Answer {
  std::string_view id;  // or the tag of a NOOP
  Word word = Word::alive;
  std::uint32_t pages = 1;  // of an ok: all of them
  std::uint32_t page = 0;   // of a chunk: its number
  std::string_view body;
};
Answer readAnswer(const Array& array);
bool wholeRows(std::string_view page);  // of three columns each, as text

// An ASK is its head, the statement and the tail; the rest are whole.
struct Terms {
  std::int64_t waitMs = 0;
  double grantMb = 0;  // 0: the executor's own choice
  std::optional<int> priority;
  std::string_view idempotencyKey = {};  // by which executors know a repeat; empty: none
};
std::string askHead(std::string_view id, std::string_view type, const Terms& terms, std::size_t statement);
constexpr std::string_view kAskTail = "\r\n";
std::string array(std::initializer_list<std::string_view> words);  // as any side writes it
std::string quit(std::string_view id);
std::string prio(std::string_view id, int priority);
std::string next(std::string_view id, std::uint32_t page);
std::string free(std::string_view id);
std::string noop(std::string_view tag);

}  // namespace paddletrack::protocol::resp
