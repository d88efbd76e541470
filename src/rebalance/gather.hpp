// One view out of what all controllers say for an epoch: the same from the same words, whoever gathers them
// and in whatever order they came. No I/O, no clock.
#pragma once

#include <map>
#include <string>

#include "rebalance/view.hpp"

namespace paddletrack::rebalance {

// One controller's word for one epoch.
struct Account {
  struct EngineWord {
    Standing standing = Standing::ready;
    std::int64_t started = 0;  // of its process, 0: a long time back; data read before is not there any more
    bool cold = false;
    unsigned location = 0, kind = 0;
    std::int64_t strength = 1;
    Bytes capacity = 0;
  };
  struct GroupWord {
    Bytes size = 0;
    std::map<std::string, std::int64_t> reads;  // by engine, since the last epoch
    bool resting = false;
  };
  std::map<std::string, EngineWord> engines;
  std::map<std::uint32_t, GroupWord> groups;
};

struct GatherTerms {
  std::int64_t share =
      0;  // a group read more than this is wanted at so many engines that none has more; 0: at one
  unsigned mostCopies = 4;
};

// An engine's standing is what most say (of two as frequent the worse); its process the latest that anyone
// names, and reads at an earlier one are no holding; its capacity the least that anyone says. Headroom is
// capacity without what it holds. A group is held where anyone reads it; its size is the largest told.
View gather(const std::map<std::string, Account>& accounts, const GatherTerms& terms);

}  // namespace paddletrack::rebalance
