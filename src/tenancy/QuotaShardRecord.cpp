#include "tenancy/QuotaShardRecord.h"

#include <xxhash.h>

namespace coralhoist::tenancy {

std::uint32_t quotaShardOf(const TenantName& tenant) {
    const std::string& name = tenant.value();
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()) % kQuotaShards);
}

}  // namespace coralhoist::tenancy
