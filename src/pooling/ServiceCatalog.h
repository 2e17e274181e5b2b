/** Services by the database name that callers connect to, resolved from the settings tree. */
#pragma once

#include <map>
#include <memory>

#include "base/Identifier.h"
#include "settings/EffectiveSettings.h"
#include "settings/SettingsSnapshot.h"

namespace coralhoist::pooling {

/** A service and the group that serves it. */
struct CatalogEntry {
    GroupName group;
    settings::ServiceSettings settings;
};

/** All services in the settings. Immutable; shared. */
struct ServiceCatalog {
    std::map<ServiceName, CatalogEntry> services;
    std::map<GroupName, settings::GroupSettings> groups;
    /** Version of the settings that the catalog was built from. */
    std::uint64_t version = 0;

    /** @return the service's entry, or null. */
    const CatalogEntry* find(const ServiceName& service) const;
};

/** @return the services and groups of a snapshot, with inheritance applied. */
std::shared_ptr<const ServiceCatalog> makeCatalog(const settings::SettingsSnapshot& snapshot);

}  // namespace coralhoist::pooling
