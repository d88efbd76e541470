#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/say.hpp"
#include "model/job.hpp"
#include "transport/scheduler.hpp"
#include "transport/slice.hpp"

namespace paddletrack::routing {

using transport::Slice;

class Link;
struct Exchange;

// One dispatch on its way over a socket.
struct Sending {
  Sending(Exchange& of, Dispatch& made, transport::Scheduler& scheduler)
      : exchange(of), dispatch(made), timeout(scheduler) {}
  Exchange& exchange;
  Dispatch& dispatch;
  transport::Call timeout;
  transport::Moment until{};
  transport::Moment leaveBy{};    // no byte of it leaves for the first time from then on
  std::uint64_t incarnation = 0;  // of its executor, when it was dispatched
  bool takenBack = false;         // by the desk, before it left

  // Of the server side, which alone reads and writes it. No link: it is over there.
  Link* link = nullptr;
  std::uint64_t linkSerial = 0;  // of the link that took it, kept when that has gone
  unsigned moved = 0;            // connections that ended before they had it whole
  std::uint64_t wholeAt = 0;     // position in the link's stream at which all of it is written; 0: still held
  std::uint32_t pagesWanted = 0;  // 0: no page has come
  std::uint32_t pagesHeld = 0;
  std::vector<Slice> pages;
};

// One taken request, and the only thing that the client side and the server side both know. The desk owns it
// until its job is over and nothing of it is out.
struct Exchange : Job {
  // Who took it. Told of the final answer; forgotten once told, or once the client has left.
  class Asker {
   public:
    virtual ~Asker() = default;
    virtual void answered(Exchange& exchange) = 0;
  };
  enum class Answer { none, done, throttled, cancelled };

  // Written by the client side.
  Asker* asker = nullptr;
  std::int32_t sequence = 0;
  std::string reference, typeName, idempotencyKey;
  Slice statement;

  // Written by the desk.
  double grantMb = 0;
  std::optional<int> priority;
  std::vector<std::unique_ptr<Sending>> sendings;  // as numbered in Job::dispatches
  Answer answer = Answer::none;
  Span comeBackIn{0};
  std::vector<Slice> pages;
  std::list<std::unique_ptr<Exchange>>::iterator place;
  bool touched = false;
};

}  // namespace paddletrack::routing
