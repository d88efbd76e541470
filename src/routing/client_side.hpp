#pragma once

#include <memory>
#include <optional>
#include <unordered_map>

#include "protocol/thrift.hpp"
#include "routing/desk.hpp"
#include "routing/exchange.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

// Takes requests from clients and writes their answers.
class ClientSide {
 public:
  struct Bounds {
    std::size_t connections = 1;
    std::size_t frame = 0;   // bytes of one request
    std::size_t unsent = 0;  // bytes of answers beyond which a connection's next requests wait
  };
  ClientSide(transport::Scheduler& scheduler, transport::Unsent& unsent, const transport::Address& address,
             const Bounds& bounds, Desk& desk, const Say& say);

  void leave() { leaving_ = true; }  // heartbeats are no longer good
  std::size_t unsent() const { return unsent_.held; }

 private:
  class Session;
  transport::Task<> listen();
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> accepted);

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  const Bounds bounds_;
  Desk& desk_;
  const Say& say_;
  bool leaving_ = false;
  std::uint32_t taken_ = 0;
  transport::Listener listener_;
  std::size_t connected_ = 0;
  transport::Signal room_;
  transport::Group sessions_;
};

}  // namespace paddletrack::routing
