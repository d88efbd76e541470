#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "model/deployment.hpp"
#include "model/engine.hpp"

namespace paddletrack {

// Spoilt: its connection brought what can't be used, or stood still midway, and was ended for it. It may have
// run.
enum class Outcome { done, error, turnedAway, timedOut, unreachable, reset, withdrawn, neverSent, spoilt };
enum class Note { progress, spilling, waiting };

struct Job;

struct Dispatch {
  Job* job = nullptr;
  Engine* engine = nullptr;
  std::uint8_t number = 0;
  Span sent{0};
  Span until{0};
  Span unseen{0};  // while it was out its controller stood still for so long
  double threads = 0;
  double tokens = 0;
  double memoryMb = 0;
  double progress = 0;
  bool out = true;
  bool provenUnrun = false;
  bool withdrawn = false;
  unsigned location = 0, cell = 0;  // of its engine, as listed when it was sent
};

struct Job {
  std::uint32_t number = 0;
  const ReservationType* type = nullptr;
  Span taken{0};
  Span expires{0};
  std::optional<Span> toldCost;
  double toldMemoryMb = 0;
  std::uint64_t key = 0;
  std::size_t customer = 0;
  std::uint32_t dataSet = 0;

  double tokens = 0;  // estimated cost in seconds of one thread
  double room = 0;    // threads, by what it costs for its type
  double dice = 0;    // its one chance where shares are rounded
  bool overShare = false;
  bool over = false;
  bool waiting = false;
  bool streaming = false;
  std::optional<Span> waitEnds;
  std::vector<std::unique_ptr<Dispatch>> dispatches;

  int out() const {
    int count = 0;
    for (const auto& each : dispatches) count += each->out ? 1 : 0;
    return count;
  }
};

struct PeerNote {
  Engine* engine = nullptr;
  float threads = 0;
  float memoryMb = 0;
};

}  // namespace paddletrack
