#pragma once

#include "transport/scheduler.hpp"

namespace paddletrack::program {

/// Blocks the signals that the server handles: SIGTERM and SIGINT stop it, SIGHUP reloads its configuration.
/// Must be called before anything else, so that a signal during the start stays pending until it is handled.
void blockSignals();

/// Delivers the blocked signals to a coroutine. `scheduler` must outlive the receiver.
class SignalReceiver {
 public:
  /// Throws SystemCallError if the signal descriptor cannot be created.
  explicit SignalReceiver(transport::Scheduler& scheduler);
  /// Waits for the next signal and returns its number.
  transport::Task<int> receive();

 private:
  transport::Descriptor descriptor_;
};

}  // namespace paddletrack::program
