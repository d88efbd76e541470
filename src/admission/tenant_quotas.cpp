#include "admission/tenant_quotas.hpp"

#include <algorithm>

#include "model/time_conversion.hpp"

namespace paddletrack {
constexpr double kWindowSeconds = 8;  // Window over which arrivals are counted.

TenantQuotas::TenantQuotas(const AdmissionContext& context)
    : context_(context), quotaArrivals_(toDuration(kWindowSeconds / 8)) {
  tenantArrivals_.resize(context.deployment.tenants.size(), quotaArrivals_);
  for (const Tenant& tenant : context_.deployment.tenants) totalQuota_ += tenant.quotaPerSecond;
}

void TenantQuotas::onRequest(Request& request) {
  if (request.tenantIndex >= tenantArrivals_.size()) return;
  const double quota = context_.deployment.tenants[request.tenantIndex].quotaPerSecond;
  SlidingWindowSum<double>& arrivals = tenantArrivals_[request.tenantIndex];
  arrivals.add(context_.now, 1);
  if (quota > 0) quotaArrivals_.add(context_.now, 1);
  const double quotaShare = std::max(kWindowSeconds / context_.deployment.controllerCount,
                                     quotaArrivals_.sum(context_.now) / std::max(totalQuota_, 1e-9));
  request.overQuota = quota > 0 && arrivals.sum(context_.now) > quota * quotaShare;
}

}  // namespace paddletrack
