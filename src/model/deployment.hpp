#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/sliding_window_sum.hpp"

namespace paddletrack {

/// Whether a request of a class may be executed more than once: always, within a window by its key, or never.
enum class Idempotency : std::uint8_t { idempotent, idempotentByKey, notIdempotent };
/// Where a request that is idempotent by its key may be retried.
enum class RetryScope : std::uint8_t { anyEngine, sameZone, sameCell };

/// An admission class.
struct RequestClass {
  std::size_t index = 0;
  Idempotency idempotency = Idempotency::idempotent;
  RetryScope retryScope = RetryScope::anyEngine;
  Duration idempotencyWindow{0};
  bool ordered = false;
  std::optional<std::vector<unsigned>> allowedZones = std::nullopt;         ///< Absent: all.
  std::optional<std::vector<unsigned>> allowedMachineTypes = std::nullopt;  ///< Absent: all.
  Duration latencyObjective{0};
  double latencyObjectiveCostFactor = 0;  ///< Part of a request's cost that is added to its objective.
  Duration requestTimeout{0};
  double lateWeight = 0;  ///< What an answer after the objective is worth.
  int threads = 1;
  bool isDataLoad = false;
  bool waitsForDataLoads = false;  ///< It waits for loads of the data set that it reads.

  /// Thread-seconds that a request takes by the latency objective.
  double nominalCost() const;
};

struct Tenant {
  double quotaPerSecond = 0;  ///< Requests; 0: no quota.
};

struct MachineType {
  double cores = 1;
  double memoryMb = 0;
};

/// The settings of a deployment, as a controller reads them at its start.
struct Deployment {
  unsigned controllerCount = 1;
  unsigned zone = 0;
  std::vector<RequestClass> requestClasses;
  std::vector<Tenant> tenants;
  std::vector<MachineType> machineTypes;

  bool loadsBlockReaders = false;    ///< Some class waits for data loads.
  bool weightGrowsWithWork = false;  ///< A request's weight grows with its work.
  bool honorsMemoryGrants = false;
  bool allowsMemoryOvercommit = false;  ///< Only memory in use slows an engine, not grants.
  bool lacksCostReports = false;        ///< No response reports the actual cost.
  double maxMemoryGrantMb = 0;          ///< For one request.
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
  Duration retryBudgetWindow{0};  ///< 0: retries have no budget.
  double crossZoneCost = 0;
};

}  // namespace paddletrack
