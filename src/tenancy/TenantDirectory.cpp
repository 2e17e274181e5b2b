#include "tenancy/TenantDirectory.h"

#include <utility>

namespace coralhoist::tenancy {

TenantDirectory::TenantDirectory(std::uint64_t version, const std::vector<Tenant>& tenants,
                                 std::set<ServiceName> publicServices)
    : _version(version), _definesTenants(true), _publicServices(std::move(publicServices)) {
    for (const Tenant& tenant : tenants) {
        _tenants[tenant.name] = tenant;
        for (const CredentialDigest& credential : tenant.credentials) {
            _holders[credential] = tenant.name;
        }
    }
}

bool TenantDirectory::requiresCredential(const ServiceName& service) const {
    return _definesTenants && !_publicServices.contains(service);
}

const Tenant* TenantDirectory::findByCredential(const CredentialDigest& credential) const {
    const auto holder = _holders.find(credential);
    return holder == _holders.end() ? nullptr : find(holder->second);
}

const Tenant* TenantDirectory::find(const TenantName& name) const {
    const auto found = _tenants.find(name);
    return found == _tenants.end() ? nullptr : &found->second;
}

}  // namespace coralhoist::tenancy
