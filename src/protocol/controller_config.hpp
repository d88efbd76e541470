#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "model/deployment.hpp"
#include "protocol/flat_settings.hpp"

namespace paddletrack::protocol {

/// The settings of a controller: the deployment, and the settings that only its connections use.
struct ControllerConfig {
  Deployment deployment;
  std::vector<std::string> requestClassNames;
  std::vector<std::string> tenantNames;
  std::vector<std::string> zoneNames;
  std::vector<std::string> machineTypeNames;
  /// The names of the values of a load report, in the order in which they are reported.
  std::vector<std::string> loadReportNames;
  /// The maximum number of requests that are open at a time in this controller.
  std::size_t maxOpenRequests = 0;
  /// The maximum number of attempts in flight on a connection to an engine.
  std::size_t maxAttemptsPerConnection = 1;
  Duration connectTimeout{0};
  Duration idleTimeout{0};
  Duration responseSlack{0};
};

/// Decodes the settings. Throws ParseError with the key of the first invalid setting.
ControllerConfig decodeControllerConfig(const FlatSettings& settings);

/// Returns the index of `name` in `names`; throws ParseError with `subject` as its context if it is absent.
std::size_t indexOfName(const std::vector<std::string>& names, std::string_view name, const char* subject);

}  // namespace paddletrack::protocol
