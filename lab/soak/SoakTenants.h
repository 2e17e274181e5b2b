/** The tenants of a soak: their credentials, quotas and callers. */
#pragma once

#include <QJsonArray>
#include <cstdint>
#include <map>
#include <string>

#include "tenancy/QuotaTerms.h"

namespace coralhoist::soak {

/** A caller's tenant and credential; both empty where none are defined. */
struct CallerTenant {
    TenantName name;
    std::string credential;
};

/** The terms that the proxies' settings files name. */
tenancy::QuotaTerms soakQuotaTerms();

/** One tenant that is never near its quota, one that reaches it, one that sends many times as much.
 */
std::map<TenantName, tenancy::TenantQuota> soakQuotas();

/** @return the tenants as the platform's configuration lists them. */
QJsonArray soakTenants();

/** @return the tenant of a caller: each tenant has a third of them. */
CallerTenant tenantOfCaller(std::uint32_t caller);

}  // namespace coralhoist::soak
