#pragma once

#include <optional>

#include "transport/scheduler.hpp"

namespace paddletrack::program {

// The signals that the program heeds: SIGTERM and SIGINT end it, SIGHUP has its configuration read again.
// They are held from the first line of main on, so that none finds the program without its handler.
void blockSignals();

class SignalReceiver {
 public:
  explicit SignalReceiver(transport::Scheduler& scheduler);
  transport::Task<int> receive();

 private:
  transport::Descriptor descriptor_;
};

}  // namespace paddletrack::program
