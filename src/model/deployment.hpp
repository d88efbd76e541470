#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/sliding_window_sum.hpp"

namespace paddletrack {

/// Whether a request of a class may be executed more than once: always, by its key within the idempotency
/// window, or never.
enum class Idempotency : std::uint8_t { idempotent, idempotentByKey, notIdempotent };
/// The engines on which a request that is idempotent by key may be retried.
enum class RetryScope : std::uint8_t { anyEngine, sameZone, sameCell };

/// An admission class.
struct RequestClass {
  std::size_t index = 0;
  Idempotency idempotency = Idempotency::idempotent;
  RetryScope retryScope = RetryScope::anyEngine;
  Duration idempotencyWindow{0};
  bool ordered = false;
  std::optional<std::vector<unsigned>> allowedZones = std::nullopt;         ///< std::nullopt: all.
  std::optional<std::vector<unsigned>> allowedMachineTypes = std::nullopt;  ///< std::nullopt: all.
  Duration latencyObjective{0};
  double latencyObjectiveCostFactor = 0;  ///< Share of a request's cost added to its objective.
  Duration requestTimeout{0};
  double lateWeight = 0;  ///< Value of a response after the latency objective.
  int threads = 1;
  bool isDataLoad = false;
  bool waitsForDataLoads = false;  ///< Its requests wait for data loads of their data set.

  /// Thread-seconds of a request that takes exactly the latency objective.
  double nominalCost() const;
};

struct Tenant {
  double quotaPerSecond = 0;  ///< Requests per second; 0: no quota.
};

struct MachineType {
  double cores = 1;
  double memoryMb = 0;
};

/// The settings of a deployment. A controller reads them once, at startup.
struct Deployment {
  unsigned controllerCount = 1;
  unsigned zone = 0;
  std::vector<RequestClass> requestClasses;
  std::vector<Tenant> tenants;
  std::vector<MachineType> machineTypes;

  bool loadsBlockReaders = false;    ///< True if the requests of some class wait for data loads.
  bool weightGrowsWithWork = false;  ///< The value of a request grows with its cost.
  bool honorsMemoryGrants = false;
  bool allowsMemoryOvercommit = false;  ///< An engine is slowed by memory in use, not by grants.
  bool lacksCostReports = false;        ///< Responses never report the actual cost.
  double maxMemoryGrantMb = 0;          ///< Per request.
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
  Duration retryBudgetWindow{0};  ///< 0: retries are not limited by a budget.
  double crossZoneCost = 0;
};

}  // namespace paddletrack
