/** All tenants and their credentials in one version of the settings. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/Identifier.h"
#include "tenancy/CredentialDigest.h"

namespace coralhoist::tenancy {

/** Limit on the units of work (single statements and transactions) that a tenant may run. */
struct TenantQuota {
    /** Units per second, over all nodes. */
    double ratePerSecond = 0;
    /** Units in addition to the rate that may run at once. */
    double burst = 0;
    /**
     * If set, replaces both `ratePerSecond` and `burst`: the maximum number of units in any second
     * (`kShortWindow`), regardless of the quota terms.
     */
    std::optional<std::uint32_t> mostInSecond = std::nullopt;

    bool operator==(const TenantQuota&) const = default;
};

struct Tenant {
    TenantName name;
    TenantQuota quota;
    std::vector<CredentialDigest> credentials;
    /** Regions that the tenant's statements must not leave; empty means any region. */
    std::vector<RegionName> homeRegions = {};
};

/** Immutable and shared. */
class TenantDirectory {
public:
    /**
     * Creates a directory in which no tenants are defined: callers need no credential and have no
     * quota.
     */
    TenantDirectory() = default;
    /** Creates a directory without tenants for the given version of the settings. */
    explicit TenantDirectory(std::uint64_t version) : _version(version) {}

    /**
     * @param version the version of the settings.
     * @param publicServices services whose callers need no credential.
     */
    TenantDirectory(std::uint64_t version, const std::vector<Tenant>& tenants,
                    std::set<ServiceName> publicServices);

    /** @return whether callers of the service need a credential. */
    bool requiresCredential(const ServiceName& service) const;

    /** @return whether tenants are defined. */
    bool definesTenants() const { return _definesTenants; }

    /** @return the tenant that holds the credential, or null. */
    const Tenant* findByCredential(const CredentialDigest& credential) const;

    /** @return the tenant, or null. */
    const Tenant* find(const TenantName& name) const;

    /** @return all tenants by their names. */
    const std::map<TenantName, Tenant>& all() const { return _tenants; }

    std::uint64_t version() const { return _version; }

private:
    std::uint64_t _version = 0;
    bool _definesTenants = false;
    std::map<TenantName, Tenant> _tenants;
    std::map<CredentialDigest, TenantName> _holders;
    std::set<ServiceName> _publicServices;
};

}  // namespace coralhoist::tenancy
