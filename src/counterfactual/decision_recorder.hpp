// Records the decisions of one controller from the events of its admission host. The numbers of open and
// finished records are bounded; the oldest finished record is overwritten first. No I/O, no clock, no
// randomness.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "counterfactual/decision_record.hpp"

namespace paddletrack::counterfactual {

/// Collects decision records. Requests are identified by address until onRequestFinished().
class DecisionRecorder {
 public:
  struct Options {
    std::size_t maxRecords = 4096;  // limit of the finished records and, separately, of the open ones
    Duration window{std::chrono::minutes(5)};  // maximum age of the requests that records() returns
  };
  /// `deployment` must outlive this object.
  DecisionRecorder(const Deployment& deployment, Options options)
      : deployment_(deployment), options_(options) {}

  /// Called when the admission module has evaluated `candidates` for the request.
  void onDecision(const Request& request, const std::vector<Candidate>& candidates);
  void onAttemptStarted(const Attempt& attempt);
  /// Called when the request got its final response, or its client disconnected.
  void onRequestFinished(Duration now, const Request& request, bool succeeded);

  /// Finished records of requests that arrived within the window, oldest first. Valid until the next event.
  std::vector<const DecisionRecord*> records(Duration now) const;
  struct Counts {
    std::uint64_t finished = 0;
    std::uint64_t dropped = 0;  // requests not recorded because too many records were open
    std::size_t openRecords = 0;
  };
  Counts counts() const { return {finished_, dropped_, openRecords_.size()}; }
  const Options& options() const { return options_; }

 private:
  // The latest decision, kept until it is known whether it started an attempt.
  struct PendingDecision {
    const Request* request = nullptr;
    bool isFirstDecision = false;
    std::vector<const Engine*> engines;
    std::size_t bestIndex = 0;
    Decision decision;
  };
  void openRecord(const Request& request, const std::vector<Candidate>& candidates);
  // Records the action of the pending decision: `engineIndex` is the index of the candidate at which the
  // request started, or kNotStarted.
  void resolvePendingDecision(std::size_t engineIndex);
  static constexpr std::size_t kNotStarted = static_cast<std::size_t>(-1);

  const Deployment& deployment_;
  const Options options_;
  std::unordered_map<const Request*, DecisionRecord> openRecords_;
  std::vector<DecisionRecord> finishedRecords_;
  std::size_t nextSlot_ = 0;
  std::uint64_t finished_ = 0;
  std::uint64_t dropped_ = 0;
  PendingDecision pending_;
};

}  // namespace paddletrack::counterfactual
