#include "rebalance/gather.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace paddletrack::rebalance {

View gather(const std::map<std::string, Account>& accounts, const GatherTerms& terms) {
  struct EngineSum {
    Account::EngineWord word;
    std::array<unsigned, 3> standings{};
    std::uint32_t place = 0;
  };
  struct GroupSum {
    Bytes size = 0;
    bool resting = false;
    std::int64_t rate = 0;
    std::set<std::string> holders;  // an engine's earlier process is none
  };
  std::map<std::string, EngineSum> engines;
  std::map<std::uint32_t, GroupSum> groups;
  for (const auto& [owner, account] : accounts)
    for (const auto& [name, word] : account.engines) {
      const auto [at, fresh] = engines.try_emplace(name, EngineSum{word});
      ++at->second.standings[static_cast<std::size_t>(word.standing)];
      Account::EngineWord& sum = at->second.word;
      const Bytes capacity = std::min(sum.capacity, word.capacity);
      if (word.started > sum.started) sum = word;
      sum.capacity = capacity;
    }
  for (const auto& [owner, account] : accounts)
    for (const auto& [number, word] : account.groups) {
      GroupSum& sum = groups[number];
      sum.size = std::max(sum.size, word.size), sum.resting = sum.resting || word.resting;
      for (const auto& [engine, reads] : word.reads) {
        const auto at = engines.find(engine);
        const auto own = account.engines.find(engine);
        if (at == engines.end() || own == account.engines.end() || reads <= 0) continue;
        sum.rate += reads;
        if (own->second.started == at->second.word.started) sum.holders.insert(engine);
      }
    }
  View view;
  for (auto& [name, sum] : engines) {
    std::size_t standing = 2;
    for (std::size_t each = 2; each-- > 0;)
      if (sum.standings[each] > sum.standings[standing]) standing = each;
    sum.place = static_cast<std::uint32_t>(view.engines.size());
    view.engines.push_back({name, sum.word.capacity, 0, sum.word.strength, static_cast<Standing>(standing),
                            sum.word.cold, sum.word.location, sum.word.kind});
  }
  for (const auto& [number, sum] : groups) {
    GroupView& group = view.groups.emplace_back();
    group.number = number, group.size = sum.size, group.resting = sum.resting;
    group.rate = sum.rate;
    for (const std::string& engine : sum.holders) {
      const std::uint32_t place = engines.at(engine).place;
      if (view.engines[place].standing == Standing::gone) continue;
      group.holders.push_back(place);
      view.engines[place].headroom -= sum.size;
    }
    if (terms.share > 0)
      group.copies = static_cast<unsigned>(
          std::clamp<std::int64_t>((group.rate + terms.share - 1) / terms.share, 1, terms.mostCopies));
  }
  for (EngineView& each : view.engines) each.headroom += each.capacity;
  return inOrder(std::move(view));
}

}  // namespace paddletrack::rebalance
