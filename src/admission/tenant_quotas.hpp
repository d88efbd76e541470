#pragma once

#include <vector>

#include "admission/admission_context.hpp"
#include "base/sliding_window_sum.hpp"

namespace paddletrack {

/// Tells which requests exceed the quota of their tenant.
class TenantQuotas {
 public:
  explicit TenantQuotas(const AdmissionContext& context);

  /// Counts the request and sets its `overQuota`: it then gets idle capacity only. This controller's share of
  /// a quota grows where all tenants together send it more than its part, because another controller is down.
  void onRequest(Request& request);

 private:
  const AdmissionContext& context_;
  std::vector<SlidingWindowSum<double>> tenantArrivals_;
  SlidingWindowSum<double> quotaArrivals_;  // Of all tenants that have a quota.
  double totalQuota_ = 0;                   // Requests per second.
};

}  // namespace paddletrack
