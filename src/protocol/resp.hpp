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

constexpr std::size_t kMaxWords = 8;
constexpr std::size_t kMaxPageBytes = 6000, kMaxResultBytes = 48000;
constexpr std::size_t kMaxWordBytes = kMaxPageBytes;

struct Array {
  std::array<std::string_view, kMaxWords> words{};
  std::size_t count = 0;
  std::size_t size = 0;          // bytes of the whole array; 0: it is not whole yet
  std::size_t requiredSize = 0;  // while it is not: the least it takes in all
};
Array parseArray(std::string_view input, std::size_t maxWordBytes = kMaxWordBytes);

enum class AnswerKind { ok, overloaded, error, timedOut, alive, chunk, unknown };

struct Answer {
  std::string_view id;  // or the tag of a NOOP
  AnswerKind kind = AnswerKind::alive;
  std::uint32_t pageCount = 1;   // of an ok: all of them
  std::uint32_t pageNumber = 0;  // of a chunk: its number
  std::string_view body;
};
Answer parseAnswer(const Array& array);
bool areRowsComplete(std::string_view page);  // of three columns each, as text

// An ASK is its head, the statement and the tail; the rest are whole.
struct AskOptions {
  std::int64_t timeoutMs = 0;
  double memoryGrantMb = 0;  // 0: the executor's own choice
  std::optional<int> priority;
  std::string_view idempotencyKey = {};  // by which executors know a repeat; empty: none
};
std::string encodeAskHead(std::string_view id, std::string_view requestClass, const AskOptions& options,
                          std::size_t statementBytes);
constexpr std::string_view kAskTail = "\r\n";
std::string encodeArray(std::initializer_list<std::string_view> words);  // as any side writes it
std::string encodeQuit(std::string_view id);
std::string encodePriority(std::string_view id, int priority);
std::string encodeNext(std::string_view id, std::uint32_t pageNumber);
std::string encodeFree(std::string_view id);
std::string encodeNoop(std::string_view tag);

}  // namespace paddletrack::protocol::resp
