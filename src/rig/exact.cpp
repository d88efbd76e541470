#include "rig/exact.hpp"

#include <glpk.h>

#include <algorithm>
#include <set>
#include <stdexcept>

namespace paddletrack::rig {

using namespace rebalance;

namespace {

struct Scope {  // of the engines and copies
  explicit Scope(const View& view) : best(view) {
    for (const GroupView& group : view.groups) {
      std::vector<int> able;
      for (std::size_t each = 0; each < view.engines.size(); ++each)
        if (view.engines[each].standing == Standing::ready && mayHold(group, view.engines[each]))
          able.push_back(static_cast<int>(each));
      may.push_back(std::move(able));
    }
    held.resize(view.engines.size());
    for (const GroupView& group : view.groups)
      for (const std::uint32_t each : group.holders) held[each] += group.size;
  }
  const Best best;
  std::vector<std::vector<int>> may;
  std::vector<Bytes> held;
};

bool holds(const GroupView& group, int engine) {
  return std::binary_search(group.holders.begin(), group.holders.end(), static_cast<std::uint32_t>(engine));
}

}  // namespace

std::optional<Bytes> leastBytes(const View& view, const Terms& terms) {
  const Scope scope(view);
  glp_prob* problem = glp_create_prob();
  glp_term_out(GLP_OFF);
  glp_set_obj_dir(problem, GLP_MIN);
  std::vector<int> rows(1), columns(1);
  std::vector<double> values(1);
  const auto entry = [&](int row, int column, double value) {
    rows.push_back(row), columns.push_back(column), values.push_back(value);
  };
  // Rows: of each engine its load and its room; of each group its copies.
  const int engines = static_cast<int>(view.engines.size());
  glp_add_rows(problem, 2 * engines + static_cast<int>(view.groups.size()));
  for (int each = 0; each < engines; ++each) {
    const EngineView& engine = view.engines[static_cast<std::size_t>(each)];
    const Bytes held = scope.held[static_cast<std::size_t>(each)];
    const Bytes room = std::max<Bytes>(0, std::min(engine.capacity, held + engine.headroom));
    glp_set_row_bnds(problem, 2 * each + 1, GLP_UP, 0,
                     static_cast<double>(scope.best.limit(engine, terms.bound)));
    glp_set_row_bnds(problem, 2 * each + 2, GLP_UP, 0, static_cast<double>(room));
  }
  for (std::size_t group = 0; group < view.groups.size(); ++group) {
    const GroupView& one = view.groups[group];
    const auto& may = scope.may[group];
    const int row = 2 * engines + static_cast<int>(group) + 1;
    const double copies = static_cast<double>(copiesOf(one, may.size()));
    glp_set_row_bnds(problem, row, GLP_FX, copies, copies);
    for (const int engine : may) {
      const int column = glp_add_cols(problem, 1);
      const bool held = holds(one, engine);
      glp_set_col_kind(problem, column, GLP_BV);
      glp_set_obj_coef(problem, column, held ? 0 : static_cast<double>(one.size));
      entry(2 * engine + 1, column, static_cast<double>(partOf(one, may.size())));
      entry(2 * engine + 2, column, static_cast<double>(one.size * (held ? 1 : terms.parts)));
      entry(row, column, 1);
    }
  }
  glp_load_matrix(problem, static_cast<int>(rows.size()) - 1, rows.data(), columns.data(), values.data());
  glp_iocp how;
  glp_init_iocp(&how);
  how.presolve = GLP_ON;
  how.msg_lev = GLP_MSG_OFF;
  const int failed = glp_intopt(problem, &how);
  const int status = glp_mip_status(problem);
  const double least = glp_mip_obj_val(problem);
  glp_delete_prob(problem);
  if (failed == GLP_ENOPFS || failed == GLP_ENODFS || status == GLP_NOFEAS) return std::nullopt;
  if (failed != 0 || status != GLP_OPT)
    throw std::runtime_error("GLPK ended with " + std::to_string(failed) + ", status " +
                             std::to_string(status));
  return static_cast<Bytes>(least + 0.5);
}

// A state: of each group the engines that hold it. A step: a group comes to one more engine, or one of
// several gives way. Loads are asked for at the end only.
std::optional<bool> anyOrder(const View& view, const Terms& terms, std::size_t most) {
  const Scope scope(view);
  if (view.engines.size() > 32 || terms.parts != 1) return std::nullopt;
  using State = std::vector<std::uint32_t>;
  State first;
  for (const GroupView& group : view.groups) {
    std::uint32_t held = 0;
    for (const std::uint32_t each : group.holders) held |= 1U << each;
    first.push_back(held);
  }
  const auto used = [&](const State& state, std::size_t engine) {
    Bytes sum = 0;
    for (std::size_t group = 0; group < state.size(); ++group)
      if (state[group] >> engine & 1) sum += view.groups[group].size;
    return sum;
  };
  const auto room = [&](std::size_t engine) {
    return std::min(view.engines[engine].capacity, scope.held[engine] + view.engines[engine].headroom);
  };
  // Good: homes among the holders that keep the bound. Each group's homes are chosen by search.
  const auto good = [&](const State& state) {
    for (std::size_t engine = 0; engine < view.engines.size(); ++engine)
      if (view.engines[engine].standing == Standing::ready && used(state, engine) > room(engine))
        return false;
    std::vector<std::int64_t> load(view.engines.size());
    const auto down = [&](auto&& self, std::size_t group, int from, std::size_t copies) -> bool {
      if (group == state.size()) return true;
      if (copies == copiesOf(view.groups[group], scope.may[group].size())) return self(self, group + 1, 0, 0);
      for (int engine = from; engine < static_cast<int>(view.engines.size()); ++engine) {
        const auto place = static_cast<std::size_t>(engine);
        const auto& may = scope.may[group];
        if (!(state[group] >> engine & 1) || std::find(may.begin(), may.end(), engine) == may.end()) continue;
        const std::int64_t part = partOf(view.groups[group], may.size());
        if (load[place] + part > scope.best.limit(view.engines[place], terms.bound)) continue;
        load[place] += part;
        const bool found = self(self, group, engine + 1, copies + 1);
        load[place] -= part;
        if (found) return true;
      }
      return false;
    };
    return down(down, 0, 0, 0);
  };
  std::set<State> seen{first};
  std::vector<State> open{first};
  while (!open.empty()) {
    const State state = open.back();
    open.pop_back();
    if (good(state)) return true;
    if (seen.size() > most) return std::nullopt;
    for (std::size_t group = 0; group < state.size(); ++group) {
      for (int engine = 0; engine < static_cast<int>(view.engines.size()); ++engine) {
        const auto place = static_cast<std::size_t>(engine);
        const auto& able = scope.may[group];
        const bool may = std::find(able.begin(), able.end(), engine) != able.end();
        State next = state;
        next[group] ^= 1U << engine;
        if (state[group] >> engine & 1) {
          if (next[group] == 0 && (may || view.engines[place].standing != Standing::ready)) continue;
        } else {
          if (!may) continue;
          if (used(state, place) + view.groups[group].size > room(place)) continue;
        }
        if (seen.insert(next).second) open.push_back(std::move(next));
      }
    }
  }
  return false;
}

}  // namespace paddletrack::rig
