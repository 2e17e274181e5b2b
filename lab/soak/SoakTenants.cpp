#include "lab/soak/SoakTenants.h"

#include <QJsonObject>
#include <array>

namespace coralhoist::soak {
namespace {

/** Units a second. A caller sends 20 to 40 while it is served. */
constexpr std::array<double, 3> kRates{2000, 80, 10};

TenantName nameOf(std::size_t index) {
    return TenantName("tenant" + std::to_string(index));
}

std::string credentialOf(std::size_t index) {
    return "credential" + std::to_string(index);
}

}  // namespace

tenancy::QuotaTerms soakQuotaTerms() {
    return {std::chrono::seconds(5), 0.1, 20};
}

std::map<TenantName, tenancy::TenantQuota> soakQuotas() {
    std::map<TenantName, tenancy::TenantQuota> quotas;
    for (std::size_t index = 0; index < kRates.size(); ++index) {
        quotas[nameOf(index)] = {kRates[index], kRates[index]};
    }
    return quotas;
}

QJsonArray soakTenants() {
    QJsonArray tenants;
    for (std::size_t index = 0; index < kRates.size(); ++index) {
        tenants.append(
            QJsonObject{{"name", QString::fromStdString(nameOf(index).value())},
                        {"api_keys", QJsonArray{QString::fromStdString(credentialOf(index))}},
                        {"rate_per_s", kRates[index]},
                        {"burst", kRates[index]}});
    }
    return tenants;
}

CallerTenant tenantOfCaller(std::uint32_t caller) {
    // Callers of all services come in turn, so that each tenant has some of each.
    const std::size_t index = caller / kRates.size() % kRates.size();
    return {nameOf(index), credentialOf(index)};
}

}  // namespace coralhoist::soak
