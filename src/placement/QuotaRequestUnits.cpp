#include "placement/QuotaRequestUnits.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <vector>

#include "pooling/ServerIncarnation.h"

namespace coralhoist::placement {
namespace {

constexpr const char* kPrefix = "/cold/";
/** The leader usually answers within this time. */
constexpr Duration kAnswerExpectedIn = std::chrono::milliseconds(20);

TenantName quotaOf(const GroupName& group, const ServerName& server) {
    return TenantName(kPrefix + group.value() + "/" + pooling::idOf(server));
}

}  // namespace

std::uint32_t WarmupBound::most(double requestsPerSecond) const {
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(requestsPerSecond * overrun))) +
           slack;
}

std::shared_ptr<const tenancy::TenantDirectory> QuotaRequestUnits::quotasOf(
    const std::shared_ptr<const tenancy::TenantDirectory>& tenants,
    const warmup::ColdServers& servers, const WarmupBound& bound) {
    if (servers.groups().empty()) {
        return tenants;
    }
    std::vector<tenancy::Tenant> all;
    for (const auto& [name, tenant] : tenants->all()) {
        all.push_back(tenant);
    }
    for (const auto& [group, terms] : servers.groups()) {
        for (const ServerName& server : servers.listed(group)) {
            tenancy::Tenant quota;
            quota.name = quotaOf(group, server);
            quota.quota = {terms.requestsPerSecond, 0, bound.most(terms.requestsPerSecond)};
            all.push_back(std::move(quota));
        }
    }
    return std::make_shared<tenancy::TenantDirectory>(tenants->version(), all,
                                                      std::set<ServiceName>{});
}

bool QuotaRequestUnits::isServerQuota(const TenantName& name) {
    return name.value().starts_with(kPrefix);
}

warmup::UnitAvailability QuotaRequestUnits::look(const GroupName& group, const ServerName& server,
                                                 const warmup::UnitDemand& demand) {
    const tenancy::QuotaDecision verdict =
        _quotas.look(quotaOf(group, server), {demand.count, demand.rank, 0});
    switch (verdict.kind) {
        case tenancy::QuotaDecision::Kind::Granted:
            return {true, Duration(0)};
        case tenancy::QuotaDecision::Kind::Waiting:
            return {false, std::min(verdict.retryAfter, kAnswerExpectedIn)};
        case tenancy::QuotaDecision::Kind::Turn:
        case tenancy::QuotaDecision::Kind::Refused:
            break;
    }
    return {false, verdict.retryAfter};
}

bool QuotaRequestUnits::take(const GroupName& group, const ServerName& server) {
    return _quotas.takeHeld(quotaOf(group, server));
}

}  // namespace coralhoist::placement
