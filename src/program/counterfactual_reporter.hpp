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

/// Owns the records of decisions, evaluates them and publishes the result. An evaluation is reused for two
/// seconds, however often it is asked for. The references must outlive the reporter.
class CounterfactualReporter {
 public:
  CounterfactualReporter(const NodeConfig& nodeConfig, const admin::CounterfactualOptions& options,
                         const routing::RequestRouter& router);

  /// The recorder that the router is to report decisions to.
  counterfactual::DecisionRecorder& recorder() { return recorder_; }

  /// Writes the summary into the gossip store, if it has changed since it was last written. `now` is on the
  /// store's clock.
  void publish(gossip::Store& store, Duration now);

  /// The report on this controller and, with a `store`, on the fleet. `now` is on the store's clock.
  admin::CounterfactualStatus status(const gossip::Store* store, Duration now);

 private:
  void refresh();
  counterfactual::NameTable makeNameTable() const;

  const NodeConfig& nodeConfig_;
  const routing::RequestRouter& router_;
  counterfactual::DecisionRecorder recorder_;
  std::vector<counterfactual::EncodedEntry> entries_;
  std::size_t recordCount_ = 0;
  std::uint64_t version_ = 0;           // Of `entries_`; 0: not evaluated yet.
  std::uint64_t publishedVersion_ = 0;  // The version that the gossip store holds.
  Duration refreshedAt_{0};
};

}  // namespace paddletrack::program
