// Clients that mean no good, so many at once, each again and again: noise, lengths that are wrong, half
// messages, silence.
#pragma once

#include <random>

#include "protocol/thrift.hpp"
#include "transport/connection.hpp"

namespace paddletrack::standin {

class Vandals {
 public:
  Vandals(transport::Scheduler& scheduler, transport::Unsent& unsent, const transport::Address& at,
          unsigned count)
      : scheduler_(scheduler), unsent_(unsent), at_(at), running_(scheduler, [](const char*) {}) {
    for (unsigned each = 0; each < count; ++each) running_.spawn(again());
  }
  std::uint64_t closed() const { return closed_; }  // on them, or answered

 private:
  std::string mess() {
    namespace thrift = protocol::thrift;
    switch (dice_() % 6) {
      case 0:
        return std::string(400, static_cast<char>(dice_() % 256));
      case 1:
        return "\x7f\xff\xff\xffx";
      case 2:
        return thrift::submit(1, {{"service", "nothing"}, {"ref", "short"}, {"allow", "-1"}}, "select 1");
      case 3:
        return thrift::submit(1, {{"service", "look-up"}}, std::string(2000, 'y')).substr(0, 700);
      case 4:
        return thrift::message("revoke", thrift::Kind::oneway, 1, std::string(1, '\0')) +
               thrift::message("what", static_cast<thrift::Kind>(9), 1, "");
      default:
        return "";
    }
  }
  transport::Task<> again() {
    for (;;) {
      transport::Dialled dialled =
          co_await transport::dial(scheduler_, at_, scheduler_.now() + std::chrono::milliseconds(300));
      if (dialled.descriptor) {
        transport::Connection connection(scheduler_, std::move(dialled.descriptor), 1024, 8192, unsent_);
        connection.send({transport::Slice(mess())});
        if (co_await connection.receive(scheduler_.now() + std::chrono::milliseconds(200)) ||
            connection.end() != transport::Connection::End::none)
          ++closed_;
      }
      co_await scheduler_.sleepUntil(scheduler_.now() + std::chrono::milliseconds(5));
    }
  }

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  const transport::Address at_;
  std::minstd_rand dice_{11};
  std::uint64_t closed_ = 0;
  transport::Group running_;
};

}  // namespace paddletrack::standin
