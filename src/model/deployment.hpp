#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/sliding_window_sum.hpp"

namespace paddletrack {

enum class Idempotency { idempotent, idempotentByKey, notIdempotent };
enum class RetryScope { anyEngine, sameZone, sameCell };

struct RequestClass {
  std::size_t index = 0;
  Idempotency idempotency = Idempotency::idempotent;
  RetryScope retryScope = RetryScope::anyEngine;
  Duration idempotencyWindow{0};
  bool ordered = false;
  std::optional<std::vector<unsigned>> allowedZones{};  // bound to these, where given
  std::optional<std::vector<unsigned>> allowedMachineTypes{};
  Duration latencyObjective{0};
  double latencyObjectiveCostFactor = 0;
  Duration requestTimeout{0};
  double lateWeight = 0;
  int threads = 1;
  bool isDataLoad = false;
  bool waitsForDataLoads = false;  // for loads of what it reads
};

struct Tenant {
  double quotaPerSecond = 0;
};

struct MachineType {
  double cores = 1;
  double memoryMb = 0;
};

// What a controller is told once, at its start.
struct Deployment {
  unsigned controllerCount = 1;
  unsigned zone = 0;
  std::vector<RequestClass> requestClasses;
  std::vector<Tenant> tenants;
  std::vector<MachineType> machineTypes;

  bool loadsBlockReaders = false;    // some type waits for loads
  bool weightGrowsWithWork = false;  // a job's worth grows with its work
  bool honorsMemoryGrants = false;
  bool allowsMemoryOvercommit = false;  // grants past an engine's memory do no harm, only need past it does
  bool lacksCostReports = false;        // no answer tells what a job cost or needed
  double maxMemoryGrantMb = 0;          // that one job gets on any engine
  bool honorsPriorities = false;
  Duration progressInterval{0};

  bool reportsLoadOnHealthCheck = false;
  bool allowsHealthChecks = false;
  bool allowsPeerReports = false;
  bool allowsCancellation = false;
  bool allowsHedging = false;
  bool honorsRetryAfter = false;
  Duration maxRetryAfter{0};
  int maxAttempts = 1;

  bool requiresDiscoveryPolling = false;
  Duration maxDiscoveryPollInterval{0};

  Duration tickDuration{0};
  Duration warmupTime{0};
  double initialCapacityRatio = 1;
  double warmupOverloadRatio = 0;
  Duration warmupWindow{0};
  Duration orderingHold{0};
  double retryBudgetMin = 0;
  double retryBudgetRatio = 0;
  Duration retryBudgetWindow{0};  // 0: no budget of further dispatches
  double crossZoneCost = 0;
};

}  // namespace paddletrack
