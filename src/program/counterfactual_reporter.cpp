#include "program/counterfactual_reporter.hpp"

#include <utility>

#include "counterfactual/report.hpp"

namespace paddletrack::program {
namespace {

constexpr Duration kRefreshInterval{std::chrono::seconds(2)};

}  // namespace

CounterfactualReporter::CounterfactualReporter(const NodeConfig& nodeConfig,
                                               const admin::CounterfactualOptions& options,
                                               const routing::RequestRouter& router)
    : nodeConfig_(nodeConfig),
      router_(router),
      recorder_(nodeConfig.controllerConfig.deployment, {options.maxRecords, options.window}) {}

void CounterfactualReporter::publish(gossip::Store& store, Duration now) {
  refresh();
  if (publishedVersion_ == version_) return;
  publishedVersion_ = version_;
  counterfactual::publishEntries(store, now, gossip::kCounterfactualTopic, entries_);
}

admin::CounterfactualStatus CounterfactualReporter::status(const gossip::Store* store, Duration now) {
  refresh();
  const counterfactual::DecisionRecorder::Counts counts = recorder_.counts();
  admin::CounterfactualStatus status;
  status.window = recorder_.options().window;
  status.maxRecords = recorder_.options().maxRecords;
  status.recordCount = recordCount_;
  status.openRequests = counts.openRecords;
  status.finishedRequests = counts.finished;
  status.droppedRecords = counts.dropped;
  counterfactual::FleetStatistics localStatistics;
  for (const counterfactual::EncodedEntry& entry : entries_)
    localStatistics.mergeValue(nodeConfig_.name, 1, entry.key, entry.value);
  status.local = counterfactual::buildReport(localStatistics);
  if (store != nullptr)
    status.fleet = counterfactual::buildReport(
        counterfactual::collectFleetStatistics(*store, now, gossip::kCounterfactualTopic));
  return status;
}

void CounterfactualReporter::refresh() {
  const Duration now = router_.now();
  if (version_ > 0 && now - refreshedAt_ < kRefreshInterval) return;
  refreshedAt_ = now;
  const auto records = recorder_.records(now);
  recordCount_ = records.size();
  ++version_;
  entries_ = counterfactual::encodeSummary(counterfactual::summarize(records), makeNameTable(), version_);
}

counterfactual::NameTable CounterfactualReporter::makeNameTable() const {
  counterfactual::NameTable names{
      nodeConfig_.controllerConfig.requestClassNames, nodeConfig_.controllerConfig.zoneNames, {}};
  router_.forEachEndpoint(
      [&](const routing::EngineEndpoint& engine) { names.engines[engine.number] = engine.id; });
  return names;
}

}  // namespace paddletrack::program
