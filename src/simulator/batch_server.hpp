#pragma once

#include <array>
#include <istream>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "simulator/simulator_adapter.hpp"

namespace paddletrack::simulator {

/// Hosts the controllers of a simulation: reads batches of events, passes each event to its controller and
/// writes the resulting commands.
class BatchServer {
 public:
  /// Returns at the end of input. Throws WireFormatError for input that does not follow the wire format.
  void serve(std::istream& input, std::ostream& output);

 private:
  void handleRecords(std::uint64_t clock, std::uint32_t count, WireReader& records,
                     const std::string& batchContext);
  void handleEvent(std::uint64_t clock, std::uint8_t code, WireReader& fields);
  void handleControllerEvent(std::uint64_t clock, EventCode code, std::uint32_t instance, WireReader& fields);
  void startController(std::uint64_t clock, std::uint32_t instance, WireReader& fields);
  void stopController(std::uint32_t instance, WireReader& fields);
  void updateEndpoints(std::uint64_t clock, std::uint32_t instance, WireReader& fields);
  void registerEndpointList(WireReader& fields);
  SimulatorAdapter& findAdapter(std::uint32_t instance);

  ReplyWriter writer_;
  std::map<std::uint32_t, std::unique_ptr<SimulatorAdapter>> adapters_;
  std::array<std::optional<std::vector<EndpointEntry>>, 16> endpointLists_;  // Indexed by list number.
};

}  // namespace paddletrack::simulator
