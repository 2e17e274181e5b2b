#include "pooling/ServiceCatalog.h"

namespace coralhoist::pooling {

const CatalogEntry* ServiceCatalog::find(const ServiceName& service) const {
    const auto found = services.find(service);
    return found == services.end() ? nullptr : &found->second;
}

std::shared_ptr<const ServiceCatalog> makeCatalog(const settings::SettingsSnapshot& snapshot) {
    auto catalog = std::make_shared<ServiceCatalog>();
    catalog->version = snapshot.version();
    for (const GroupName& group : snapshot.groups()) {
        catalog->groups[group] = *snapshot.group(group);
        for (const ServiceName& service : snapshot.services(group)) {
            catalog->services[service] = {group, *snapshot.service(group, service)};
        }
    }
    return catalog;
}

}  // namespace coralhoist::pooling
