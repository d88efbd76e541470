#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/change_log.hpp"
#include "protocol/settings.hpp"
#include "transport/connection.hpp"

namespace paddletrack::program {

// What is wrong with the configuration; its place is the file and the key at fault.
struct Misconfigured : ErrorOf<ErrorKind::configurationWrong> {
  using ErrorOf::ErrorOf;
};

// What one controller is told, read and checked.
struct Node {
  std::string name;
  transport::Address listen, changeLog;
  std::uint64_t seed = 0;
  std::size_t memoryBytes = 0, descriptors = 0;
  std::uint64_t known = 0;  // number of the last change that is known
  std::vector<protocol::Change> changes;
  protocol::Paths settings;  // as written, and
  protocol::Told told;       // decoded
};

Node readNode(const std::string& path);  // throws FileUnreadable, Misconfigured

// The key by which `now` is another controller's or customer's file, with what stands there; empty: it is
// not. That file's change log tells of engines in words that mean nothing here, or something else.
std::string anothers(const Node& before, const Node& now);

// The keys in which two readings differ and which only a restart changes, for the log; empty: none.
std::string fixedDifferences(const Node& before, const Node& now);

}  // namespace paddletrack::program
