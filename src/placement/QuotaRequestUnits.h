/** Counts requests to cold servers as units of quotas that all nodes share. */
#pragma once

#include <memory>

#include "tenancy/QuotaExchange.h"
#include "warmup/ColdServers.h"
#include "warmup/RequestUnits.h"

namespace coralhoist::placement {

/** The limit on requests to a cold server in any second: rate x overrun + slack. */
struct WarmupBound {
    double overrun = 1;
    std::uint32_t slack = 0;

    /** @return the most requests that a server with this rate gets in any second. */
    std::uint32_t most(double requestsPerSecond) const;

    bool operator==(const WarmupBound&) const = default;
};

/**
 * Each server that may be cold has a quota in the quota exchange, under a name that no tenant
 * should have. All incarnations of the server share that quota, so that a server that restarts
 * twice within a second stays within the bound.
 */
class QuotaRequestUnits final : public warmup::RequestUnits {
public:
    /** @param quotas outlives this. */
    explicit QuotaRequestUnits(tenancy::QuotaExchange& quotas) : _quotas(quotas) {}

    /**
     * @return the tenants, and the quotas of all servers that may be cold. The same directory where
     * no group's servers start cold.
     */
    static std::shared_ptr<const tenancy::TenantDirectory> quotasOf(
        const std::shared_ptr<const tenancy::TenantDirectory>& tenants,
        const warmup::ColdServers& servers, const WarmupBound& bound);

    /** @return whether the name is that of a server's quota. */
    static bool isServerQuota(const TenantName& name);

    warmup::UnitAvailability look(const GroupName& group, const ServerName& server,
                                  const warmup::UnitDemand& demand) override;
    bool take(const GroupName& group, const ServerName& server) override;

private:
    tenancy::QuotaExchange& _quotas;
};

}  // namespace coralhoist::placement
