#pragma once

#include <array>
#include <istream>
#include <map>
#include <memory>
#include <ostream>

#include "simulator/simulator_adapter.hpp"

namespace paddletrack::simulator {

// Hosts the controllers of one process: reads batches, hands each event to its controller's door, replies.
class BatchServer {
 public:
  // Returns at the end of input; throws Malformed on what does not follow the wire page.
  void serve(std::istream& input, std::ostream& output);

 private:
  void handleEvent(std::uint64_t clock, std::uint8_t code, WireReader& fields);
  void registerEndpointList(WireReader& fields);
  SimulatorAdapter& findAdapter(std::uint32_t instance);

  ReplyWriter writer_;
  std::map<std::uint32_t, std::unique_ptr<SimulatorAdapter>> adapters_;
  std::array<std::optional<std::vector<EndpointEntry>>, 16> endpointLists_;
};

}  // namespace paddletrack::simulator
