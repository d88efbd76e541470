#include "routing/engine_address_book.hpp"

#include <chrono>
#include <stdexcept>
#include <unordered_map>

namespace paddletrack::routing {
namespace {

using addresses::AddressFamily;
using addresses::ConnectOutcome;

AddressFamily familyOf(const transport::Address& address) {
  switch (address.family()) {
    case AF_UNIX:
      return AddressFamily::unixSocket;
    case AF_INET6:
      return AddressFamily::ipv6;
    default:
      return AddressFamily::ipv4;
  }
}

}  // namespace

Duration EngineAddressBook::now() const {
  return std::chrono::duration_cast<Duration>(scheduler_.now().time_since_epoch());
}

void EngineAddressBook::updateAddresses(EngineEndpoint& endpoint, const std::vector<std::string>& names,
                                        bool isNewProcess) {
  std::vector<addresses::AddressTable::ListedAddress> listedAddresses;
  std::unordered_map<std::string, transport::Address> addressesByName;
  for (const std::string& name : names) {
    try {
      const transport::Address address(name);
      const bool isNew = addressesByName.emplace(name, address).second;
      if (isNew) listedAddresses.push_back({name, familyOf(address)});
    } catch (const std::invalid_argument& error) {
      logger_.warning("changelog",
                      Error(ErrorKind::invalidEndpointEntry, "engine " + endpoint.id,
                            std::string("address skipped: ") + error.what()),
                      {{"engine", endpoint.id}});
    }
  }
  const std::size_t omittedCount = endpoint.addressTable.update(listedAddresses, isNewProcess);
  if (omittedCount > 0)
    logger_.warning("changelog",
                    Error(ErrorKind::invalidEndpointEntry, "engine " + endpoint.id,
                          std::to_string(omittedCount) + " addresses over the limit, skipped"),
                    {{"engine", endpoint.id}});
  endpoint.addressesByName = std::move(addressesByName);
}

void EngineAddressBook::recordOutcome(EngineEndpoint& endpoint, const std::string& addressName,
                                      ConnectOutcome outcome, std::optional<Duration> connectTime) {
  constexpr double kDrawRange = static_cast<double>(std::minstd_rand::max() - std::minstd_rand::min());
  const double randomDraw = static_cast<double>(random_() - std::minstd_rand::min()) / kDrawRange;
  // Outcomes are logged only for engines with several addresses, where they explain the choice of address.
  const bool hasAlternatives = endpoint.addressTable.entries().size() > 1;
  if (hasAlternatives) logOutcome(endpoint, addressName, outcome);
  endpoint.addressTable.recordOutcome(now(), addressName, outcome, connectTime, connectOptions_, randomDraw);
}

void EngineAddressBook::logOutcome(const EngineEndpoint& endpoint, const std::string& addressName,
                                   ConnectOutcome outcome) const {
  const std::string subject = "engine " + endpoint.id + " at " + addressName;
  if (outcome == ConnectOutcome::succeeded) {
    if (endpoint.addressTable.isFailing(addressName))
      logger_.info("address", subject + ": reachable again",
                   {{"engine", endpoint.id}, {"address", addressName}});
    return;
  }
  const bool isConnectFailure = outcome == ConnectOutcome::refused || outcome == ConnectOutcome::timedOut;
  logger_.warning("address",
                  Error(isConnectFailure ? ErrorKind::connectFailed : ErrorKind::engineUnresponsive, subject,
                        nameOf(outcome)),
                  {{"engine", endpoint.id}, {"address", addressName}});
}

}  // namespace paddletrack::routing
