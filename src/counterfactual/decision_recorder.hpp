// Keeps the records of one controller's decisions, as its Host is told of them. Bounded: so many finished
// ones, so many open; the oldest finished go first. No I/O, no clock, no chance.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "counterfactual/decision_record.hpp"

namespace paddletrack::counterfactual {

class DecisionRecorder {
 public:
  struct Options {
    std::size_t maxRecords = 4096;  // finished ones; as many may be open
    Duration window{std::chrono::minutes(5)};
  };
  DecisionRecorder(const Deployment& deployment, Options options)
      : deployment_(deployment), options_(options) {}

  void onDecision(const Request& request, const std::vector<Candidate>& candidates);
  void onAttemptStarted(const Attempt& attempt);
  void onRequestFinished(Duration now, const Request& request,
                         bool succeeded);  // its final answer, or its client has left

  // The finished ones of jobs that were taken within the window, oldest first.
  std::vector<const DecisionRecord*> records(Duration now) const;
  struct Counts {
    std::uint64_t finished = 0, dropped = 0;  // dropped: too many open
    std::size_t openRecords = 0;
  };
  Counts counts() const { return {finished_, dropped_, openRecords_.size()}; }
  const Options& options() const { return options_; }

 private:
  struct PendingDecision {
    const Request* request = nullptr;
    bool isFirstDecision = false;
    std::vector<const Engine*> engines;
    std::size_t bestIndex = 0;
    Decision decision;
  };
  void openRecord(const Request& request, const std::vector<Candidate>& candidates);
  void resolvePendingDecision(
      std::size_t engineIndex);  // what the last draw came to: an index of what was weighed
  static constexpr std::size_t kNotStarted = static_cast<std::size_t>(-1);

  const Deployment& deployment_;
  const Options options_;
  std::unordered_map<const Request*, DecisionRecord> openRecords_;
  std::vector<DecisionRecord> finishedRecords_;
  std::size_t nextSlot_ = 0;
  std::uint64_t finished_ = 0, dropped_ = 0;
  PendingDecision pending_;
};

}  // namespace paddletrack::counterfactual
