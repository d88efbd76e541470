#include "hindsight/told.hpp"

#include <algorithm>

namespace paddletrack::hindsight {
namespace {

Told::Class classOf(const std::string& name, const ClassSums& sums, bool explained) {
  Told::Class told;
  told.name = name;
  told.jobs = sums.jobs;
  told.inTime = sums.logged[0] / std::max(sums.jobs, 1.0);
  told.latency = sums.logged[1] / std::max(sums.jobs, 1.0);
  for (std::size_t policy = 0; policy < kPolicies; ++policy) {
    const auto of = static_cast<Policy>(policy);
    Told::Other& other = told.others.emplace_back();
    other.name = nameOf(of);
    for (std::size_t measure = 0; measure < kMeasures; ++measure) {
      const Answer answer = judge(sums, of, static_cast<Measure>(measure), explained);
      other.reach = answer.reach, other.beyond = answer.beyond, other.effective = answer.effective;
      other.value[measure] = answer.best();
      other.better[measure] = against(sums, of, static_cast<Measure>(measure), explained);
    }
  }
  return told;
}

Told::Place placeOf(const std::string& name, const PlaceSums& sums, bool explained) {
  Told::Place told{name, sums.jobs, {}};
  for (std::size_t measure = 0; measure < kMeasures; ++measure)
    told.regret[measure] = regret(sums, static_cast<Measure>(measure), explained);
  return told;
}

}  // namespace

Told toldOf(const Fleet& fleet) {
  const Fleet::View view = fleet.view();
  Told told;
  told.controllers = fleet.owners();
  told.explained = view.explained;
  told.classes.push_back(classOf("", view.all, view.explained));
  for (const auto& [name, sums] : view.classes) told.classes.push_back(classOf(name, sums, view.explained));
  for (const auto& [name, place] : view.engines)
    told.engines.push_back(placeOf(name, place.sums, view.explained));
  std::stable_sort(told.engines.begin(), told.engines.end(),
                   [](const auto& a, const auto& b) { return a.jobs > b.jobs; });
  if (told.engines.size() > kMostToldEngines) told.engines.resize(kMostToldEngines);
  for (const auto& [name, sums] : view.locations)
    told.locations.push_back(placeOf(name, sums, view.explained));
  return told;
}

}  // namespace paddletrack::hindsight
