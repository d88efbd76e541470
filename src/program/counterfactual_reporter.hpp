#pragma once

#include <cstdint>
#include <vector>

#include "admin/operator_config.hpp"
#include "admin/status.hpp"
#include "counterfactual/decision_recorder.hpp"
#include "gossip/store.hpp"
#include "program/node_config.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::program {

/// Owns the decision records, evaluates them and publishes the result. An evaluation is cached for two
/// seconds. The references must outlive the reporter.
class CounterfactualReporter {
 public:
  CounterfactualReporter(const NodeConfig& nodeConfig, const admin::CounterfactualOptions& options,
                         const routing::RequestRouter& router);

  /// The recorder to which the router reports its decisions.
  counterfactual::DecisionRecorder& recorder() { return recorder_; }

  /// Writes the summary to the gossip store if it has changed since the last write. `now` is on the store's
  /// clock.
  void publish(gossip::Store& store, Duration now);

  /// Returns the report on this controller and, if `store` is not null, on the fleet. `now` is on the store's
  /// clock.
  admin::CounterfactualStatus status(const gossip::Store* store, Duration now);

 private:
  void refresh();
  counterfactual::NameTable makeNameTable() const;

  const NodeConfig& nodeConfig_;
  const routing::RequestRouter& router_;
  counterfactual::DecisionRecorder recorder_;
  std::vector<counterfactual::EncodedEntry> entries_;
  std::size_t recordCount_ = 0;
  std::uint64_t version_ = 0;           // Of `entries_`; 0 before the first evaluation.
  std::uint64_t publishedVersion_ = 0;  // The version in the gossip store.
  Duration refreshedAt_{0};
};

}  // namespace paddletrack::program
