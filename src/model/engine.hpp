#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/bucket_ring.hpp"

namespace paddletrack {

enum class Standing { ready, draining, gone };

// What the list says of an engine.
struct Listing {
  unsigned location = 0;
  unsigned kind = 0;
  unsigned cell = 0;
  Standing standing = Standing::ready;
  std::optional<Span> started{};  // absent: a long time back
};

struct LoadReport {
  std::optional<double> jobsHeld{};
  std::optional<double> memoryGranted{};  // share of the memory
  std::optional<double> coresBusy{};      // share of the cores
  std::optional<double> disksBusy{};      // share of the disks
};

// What one reservation type has in flight on one engine, by this controller's own count.
struct InFlight {
  double threads = 0;
  double tokens = 0;
  double memoryMb = 0;
};

// How far a mark has come down.
struct Easing {
  double ease = 1;  // the mark is multiplied by this
  std::optional<Span> easedAt{};
};

struct Dispatch;

struct Engine {
  std::uint32_t number = 0;  // the same at every controller
  Listing listing;
  bool listed = false;
  double cores = 1;  // as good as so many: fewer while cold or slow
  double rank = 0;   // its place in this controller's own order

  std::vector<InFlight> byType;
  std::vector<Dispatch*> out;
  double threads = 0;  // own, all types
  double memoryMb = 0;

  double othersThreads = 0, othersMemoryMb = 0;  // as last told by a report or by peers
  std::optional<Span> othersSeen;
  struct PeerWord {
    double threads = 0, memoryMb = 0;
    Span heard{0};
  };
  std::vector<PeerWord> byPeer;
  std::optional<Span> probeSent;

  BucketRing<double> good, bad, away;  // outcomes; turned away: it never ran, and what did may run well
  BucketRing<double> spent, workDone;  // threads x latency against work: how slow it is
  BucketRing<double> coldSent;         // work sent in the window of the cold rule
  Easing easing;
  std::optional<Span> lastGood, lastReset;
  std::optional<Span> trialAt;  // when a doubted engine may be tried next
  bool doubtLogged = false;
  std::vector<std::uint32_t> warmSets;  // data sets read last, latest first
};

}  // namespace paddletrack
