#pragma once

#include <optional>
#include <string>

#include "command/call.hpp"
#include "reach/reach.hpp"

namespace paddletrack::command {

// Each returns an exit code and has said on standard error what went wrong.
int engines(const std::string& path, const std::string& one, bool json);

struct AddressWish {
  std::string engine, address;
  reach::Routes::ByHand what = reach::Routes::ByHand::free;
  Span until{0};
};
int address(const std::string& path, const AddressWish& wish);

}  // namespace paddletrack::command
