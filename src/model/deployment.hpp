#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/bucket_ring.hpp"

namespace paddletrack {

enum class Effect { restartable, keyed, runOnce };
enum class RepeatGroup { all, location, cell };

struct ReservationType {
  std::size_t index = 0;
  Effect effect = Effect::restartable;
  RepeatGroup repeatGroup = RepeatGroup::all;
  Span repeatWindow{0};
  bool inOrder = false;
  std::optional<std::vector<unsigned>> locations{};  // bound to these, where given
  std::optional<std::vector<unsigned>> kinds{};
  Span slaTime{0};
  double slaStretch = 0;
  Span jobTimeout{0};
  double lateValue = 0;
  int threads = 1;
  bool load = false;
  bool waits = false;  // for loads of what it reads
};

struct Customer {
  double quotaPerSecond = 0;
};

struct Machine {
  double cores = 1;
  double memoryMb = 0;
};

// What a controller is told once, at its start.
struct Deployment {
  unsigned controllers = 1;
  unsigned location = 0;
  std::vector<ReservationType> types;
  std::vector<Customer> customers;
  std::vector<Machine> machines;

  bool loadsHold = false;    // some type waits for loads
  bool valueByWork = false;  // a job's worth grows with its work
  bool memoryHeeded = false;
  bool memoryPages = false;  // grants past an engine's memory do no harm, only need past it does
  bool needUntold = false;   // no answer tells what a job cost or needed
  double mostGrantMb = 0;    // that one job gets on any engine
  bool prioritiesHeeded = false;
  Span progressPace{0};

  bool reportsOnProbe = false;
  bool mayProbe = false;
  bool mayTellPeers = false;
  bool mayWithdraw = false;
  bool secondCopies = false;
  bool comeBackHeard = false;
  Span longestComeBack{0};
  int mostDispatches = 1;

  bool listOnRequest = false;
  Span mustAskWithin{0};

  Span tick{0};
  Span coldFor{0};
  double coldStart = 1;
  double fallMultiple = 0;
  Span fallSpan{0};
  Span keyRest{0};
  double furtherFloor = 0;
  double furtherRatio = 0;
  Span furtherSpan{0};  // 0: no budget of further dispatches
  double crossLocationPrice = 0;
};

}  // namespace paddletrack
