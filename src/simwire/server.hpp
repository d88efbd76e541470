#pragma once

#include <array>
#include <istream>
#include <map>
#include <memory>
#include <ostream>

#include "simwire/door.hpp"

namespace paddletrack::simwire {

// Hosts the controllers of one process: reads batches, hands each event to its controller's door, replies.
class Server {
 public:
  // Returns at the end of input; throws Malformed on what does not follow the wire page.
  void serve(std::istream& in, std::ostream& out);

 private:
  void event(std::uint64_t clock, std::uint8_t code, Reader& fields);
  void readList(Reader& fields);
  Door& door(std::uint32_t instance);

  Writer writer_;
  std::map<std::uint32_t, std::unique_ptr<Door>> doors_;
  std::array<std::optional<std::vector<Entry>>, 16> lists_;
};

}  // namespace paddletrack::simwire
