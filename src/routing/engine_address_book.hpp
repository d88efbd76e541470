#pragma once

#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "addresses/address_table.hpp"
#include "base/logger.hpp"
#include "routing/engine_endpoint.hpp"
#include "transport/scheduler.hpp"

namespace paddletrack::routing {

/// Updates the addresses of engines and the health of each address, and logs the changes. The address tables
/// themselves belong to the endpoints.
class EngineAddressBook {
 public:
  /// The scheduler and the logger must outlive this object.
  EngineAddressBook(const transport::Scheduler& scheduler, addresses::ConnectOptions connectOptions,
                    const Logger& logger)
      : scheduler_(scheduler), connectOptions_(std::move(connectOptions)), logger_(logger) {}

  /// The current time on the clock that all address tables use.
  Duration now() const;
  const addresses::ConnectOptions& connectOptions() const { return connectOptions_; }
  void setFamilyPreference(std::vector<addresses::AddressFamily> preference) {
    connectOptions_.familyPreference = std::move(preference);
  }

  /// Replaces the addresses of an endpoint, in order of preference. Addresses that cannot be parsed, or that
  /// exceed the table's limit, are logged and omitted. Health is kept unless the engine is a new process.
  void updateAddresses(EngineEndpoint& endpoint, const std::vector<std::string>& names, bool isNewProcess);

  /// Records the outcome of using one address. `connectTime` is given only with a success.
  void recordOutcome(EngineEndpoint& endpoint, const std::string& addressName,
                     addresses::ConnectOutcome outcome, std::optional<Duration> connectTime = {});

 private:
  void logOutcome(const EngineEndpoint& endpoint, const std::string& addressName,
                  addresses::ConnectOutcome outcome) const;

  const transport::Scheduler& scheduler_;
  addresses::ConnectOptions connectOptions_;
  const Logger& logger_;
  std::minstd_rand random_;  ///< Spreads the backoff of addresses.
};

}  // namespace paddletrack::routing
