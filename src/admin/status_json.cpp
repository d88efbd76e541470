#include "admin/status_json.hpp"

#include <optional>
#include <utility>

namespace paddletrack::admin {
namespace {

using Json = nlohmann::ordered_json;

std::int64_t toMilliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

Json millisecondsOrNull(const std::optional<Duration>& duration) {
  return duration ? Json(toMilliseconds(*duration)) : Json(nullptr);
}

Json toJson(const GossipStatus& status) {
  const auto loadToJson = [](const LoadStatus& load) {
    return Json{{"threads", load.threads}, {"jobs", load.requests}};
  };
  Json peers = Json::array(), dropped = Json::object(), engines = Json::object();
  for (const auto& peer : status.peers)
    peers.push_back({{"address", peer.address},
                     {"controller", peer.controllerName.empty() ? Json(nullptr) : Json(peer.controllerName)},
                     {"heard_ms_ago", millisecondsOrNull(peer.lastMessageAgo)}});
  for (const auto& [reason, count] : status.droppedByReason) dropped[reason] = count;
  for (const auto& [name, engineLoad] : status.engineLoads) engines[name] = loadToJson(engineLoad);
  return {{"cluster", status.cluster},
          {"controller", status.controllerName},
          {"generation", status.incarnation},
          {"later_lives", status.laterIncarnations},
          {"peers", status.peerCount},
          {"peers_heard", status.activePeerCount},
          {"each_peer", std::move(peers)},
          {"owners", status.knownControllers},
          {"entries", status.entries},
          {"bytes", status.bytes},
          {"most_bytes", status.maxBytes},
          {"in", {{"datagrams", status.datagramsReceived}, {"bytes", status.bytesReceived}}},
          {"out", {{"datagrams", status.datagramsSent}, {"bytes", status.bytesSent}}},
          {"dropped", std::move(dropped)},
          {"fleet",
           {{"controllers", status.reportingControllers},
            {"live", status.liveControllers},
            {"threads", status.totalLoad.threads},
            {"jobs", status.totalLoad.requests},
            {"engines", std::move(engines)}}}};
}

Json toJson(const counterfactual::Estimate& estimate) {
  if (!estimate.isConclusive()) return describeVerdict(estimate.verdict);
  return {{"value", estimate.value}, {"low", estimate.low}, {"high", estimate.high}};
}

Json toJson(const counterfactual::CounterfactualReport& report) {
  Json classes = Json::array(), engines = Json::object(), locations = Json::object();
  for (const auto& classReport : report.classes) {
    Json alternatives = Json::object();
    for (const auto& alternative : classReport.policies)
      alternatives[alternative.name] = {{"within_reach", alternative.reachableRatio},
                                        {"out_of_reach", alternative.unreachableRatio},
                                        {"effective_jobs", alternative.effectiveSampleSize},
                                        {"in_time", toJson(alternative.value[0])},
                                        {"latency_s", toJson(alternative.value[1])},
                                        {"in_time_change", toJson(alternative.improvement[0])},
                                        {"latency_change_s", toJson(alternative.improvement[1])}};
    classes.push_back({{"class", classReport.name.empty() ? Json(nullptr) : Json(classReport.name)},
                       {"jobs", classReport.requests},
                       {"in_time", classReport.onTimeRatio},
                       {"latency_s", classReport.meanLatency},
                       {"had_it_been", std::move(alternatives)}});
  }
  const auto regretToJson = [](const counterfactual::CounterfactualReport::DestinationReport& destination) {
    return Json{{"jobs", destination.requests},
                {"in_time_regret", toJson(destination.regret[0])},
                {"latency_regret_s", toJson(destination.regret[1])}};
  };
  for (const auto& engine : report.engines) engines[engine.name] = regretToJson(engine);
  for (const auto& zone : report.zones) locations[zone.name] = regretToJson(zone);
  return {{"controllers", report.controllers},
          {"explained", report.isCalibrated},
          {"classes", std::move(classes)},
          {"engines", std::move(engines)},
          {"locations", std::move(locations)}};
}

Json toJson(const CounterfactualStatus& status) {
  Json json{{"window_ms", toMilliseconds(status.window)},
            {"records", status.maxRecords},
            {"held", status.recordCount},
            {"open", status.openRequests},
            {"finished", status.finishedRequests},
            {"dropped", status.droppedRecords},
            {"own", toJson(status.local)},
            {"fleet", nullptr}};
  if (status.fleet) json["fleet"] = toJson(*status.fleet);
  return json;
}

Json toJson(const OpenWorkStatus& status) {
  Json requestsByClass = Json::object();
  for (const auto& [name, count] : status.requestsByClass) requestsByClass[name] = count;
  return {{"jobs", status.requests},
          {"by_type", std::move(requestsByClass)},
          {"dispatches", status.attempts},
          {"bytes_unsent", status.unsentBytes},
          {"longest_left_ms", toMilliseconds(status.maxRemaining)}};
}

Json toJson(const routing::EndpointWatcher::Status& status) {
  return {{"number", status.lastEventNumber},
          {"following", status.isWatching},
          {"behind", status.isBehind},
          {"dials", status.connectCount},
          {"failures", status.consecutiveFailures},
          {"next_dial_in_ms", millisecondsOrNull(status.reconnectsIn)},
          {"moves_in_ms", millisecondsOrNull(status.switchesIn)}};
}

Json toJson(const drain::CompletionEstimator::Estimate& estimate) {
  return {{"estimate", true},
          {"in_ms", toMilliseconds(estimate.remaining)},
          {"from_answers", estimate.sampleCount}};
}

Json toJson(const DrainStatus& status) {
  return {{"number", status.number},
          {"asked_ms_ago", toMilliseconds(status.requestedAgo)},
          {"deadline_in_ms", toMilliseconds(status.deadlineIn)},
          {"come_back_ms", toMilliseconds(status.retryAfter)},
          {"front_told", status.frontLayerNotified},
          {"open_at_ask", status.requestsAtStart},
          {"since_ask",
           {{"done", status.totals.completed},
            {"throttled", status.totals.rejected},
            {"cancelled", status.totals.failed},
            {"left", status.totals.abandoned},
            {"turned_away", status.totals.rejectedByDrain}}},
          {"ended_by_deadline", status.requestsEndedByDeadline},
          {"missed", status.deadlineMissed},
          {"cancelled", status.cancelled},
          {"drained_after_ms", millisecondsOrNull(status.drainedAfter)}};
}

template <typename Part>
Json toJsonOrNull(const std::optional<Part>& part) {
  return part ? toJson(*part) : Json(nullptr);
}

Json toJson(const AddressStatus& status) {
  Json json{{"address", status.name},
            {"family", status.family},
            {"state", status.state},
            {"connections", status.connections},
            {"last_good_ms_ago", millisecondsOrNull(status.lastSuccessAgo)},
            {"last_failure", nullptr},
            {"rests_ms", toMilliseconds(status.backoffRemaining)},
            {"connect_us", status.connectDuration ? Json(status.connectDuration->count()) : Json(nullptr)},
            {"by_hand_left_ms", millisecondsOrNull(status.overrideRemaining)}};
  if (status.lastFailureAgo)
    json["last_failure"] = {{"what", status.lastFailure}, {"ms_ago", toMilliseconds(*status.lastFailureAgo)}};
  return json;
}

}  // namespace

nlohmann::ordered_json toJson(const ControllerStatus& status) {
  Json json{{"name", status.name},
            {"process", status.processId},
            {"state", nameOf(status.state)},
            {"stopping", status.isStopping},
            {"up_ms", toMilliseconds(status.uptime)},
            {"connections", status.open.connections},
            {"open", toJson(status.open)},
            {"totals",
             {{"taken", status.accepted},
              {"done", status.totals.completed},
              {"throttled", status.totals.rejected},
              {"cancelled", status.totals.failed},
              {"left", status.totals.abandoned},
              {"turned_away", status.totals.rejectedByDrain}}}};
  json["expected_end"] = toJsonOrNull(status.expectedCompletion);
  if (status.gossip) json["share"] = toJson(*status.gossip);
  json["list"] = toJsonOrNull(status.endpointList);
  if (status.counterfactual) json["hindsight"] = toJson(*status.counterfactual);
  json["drain"] = toJsonOrNull(status.drain);
  return json;
}

nlohmann::ordered_json toJson(const EngineStatus& status) {
  Json addresses = Json::array();
  for (const AddressStatus& address : status.addresses) addresses.push_back(toJson(address));
  return {
      {"engine", status.id},           {"standing", status.state},      {"connections", status.connections},
      {"dispatches", status.attempts}, {"dialling", status.connecting}, {"addresses", std::move(addresses)}};
}

}  // namespace paddletrack::admin
