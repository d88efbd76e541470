// What is said at the operators' door: JSON, a message a line, version 1.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/error.hpp"
#include "operating/keeper.hpp"

namespace paddletrack::operating {

constexpr int kVersion = 1;

// A message that can't be used, with a code that stays the same through versions.
struct BadRequest : ErrorOf<ErrorKind::requestWrong> {
  BadRequest(const char* named, const std::string& what) : ErrorOf(what), code(named) {}
  BadRequest(const char* named, const std::string& key, const std::string& what)
      : ErrorOf(key, what), code(named) {}
  const char* code;
};

enum class Wish { status, drain, cancel, watch, engines, address };
struct Request {
  std::string id = "null";  // as it was written, for the reply
  Wish wish = Wish::status;
  std::optional<Span> deadline, comeBack;      // of a drain
  Span every{std::chrono::milliseconds(500)};  // of a watch
  std::string from;                            // of engines: those from this id on
  std::string engine, address;                 // of address
  reach::Routes::ByHand byHand = reach::Routes::ByHand::free;
  Span until{0};
};
// On failure `id` is filled in as far as it could be read.
Request readRequest(std::string_view line, std::string& id);

std::string reply(const std::string& id, const Status& status);
std::string progress(const Status& status);
constexpr std::size_t kEnginesAtOnce = 64;  // in one reply, which names the next
std::string reply(const std::string& id, const std::vector<Keeper::EngineView>& engines);
std::string reply(const std::string& id);  // done
std::string refusal(const std::string& id, const char* code, const std::string& text);
std::string refusal(const std::string& id, drain::Refusal refused, const drain::Terms& terms);

// The commands' side.
std::string drainRequest(std::optional<Span> deadline, std::optional<Span> comeBack);
std::string cancelRequest();
std::string statusRequest();
std::string watchRequest(Span every);
std::string enginesRequest(const std::string& from);
std::string addressRequest(const std::string& engine, const std::string& address, reach::Routes::ByHand what,
                           Span until);

}  // namespace paddletrack::operating
