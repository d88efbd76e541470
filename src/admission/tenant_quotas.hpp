#pragma once

#include <vector>

#include "admission/admission_context.hpp"
#include "base/sliding_window_sum.hpp"

namespace paddletrack {

/// Determines which requests exceed the quota of their tenant.
class TenantQuotas {
 public:
  explicit TenantQuotas(const AdmissionContext& context);

  /// Counts the request and sets its `overQuota`; a request over quota gets only idle capacity. This
  /// controller's share of each quota grows if all tenants together send it more than its share, because
  /// another controller is then down.
  void onRequest(Request& request);

 private:
  const AdmissionContext& context_;
  std::vector<SlidingWindowSum<double>> tenantArrivals_;
  SlidingWindowSum<double> quotaArrivals_;  // Of all tenants that have a quota.
  double totalQuota_ = 0;                   // Requests per second.
};

}  // namespace paddletrack
