/** Brings a configuration that is kept as one object into the settings tree. */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "settings/EffectiveSettings.h"
#include "settings/SettingsTree.h"
#include "tenancy/TenantDirectory.h"

namespace coralhoist::cluster {

/** A group of the imported configuration. */
struct ImportedGroup {
    GroupName name;
    std::optional<std::uint32_t> connectionsPerServer;
    std::optional<std::uint32_t> synchronousReplicas;
    /** Requests a second that a cold server takes, rounded down, and for how long it is cold. */
    std::optional<std::uint32_t> coldRequestsPerSecond = std::nullopt;
    std::optional<Duration> coldStart = std::nullopt;
};

/** A service of the imported configuration. */
struct ImportedService {
    ServiceName name;
    GroupName group;
    settings::ReadRouting readRouting = settings::ReadRouting::Primary;
    std::optional<Duration> maxStaleness;
    std::optional<Duration> statementTimeout;
    std::optional<Duration> latencyObjective;
    /** Lower ranks go first. */
    int rank = 0;
    /** Its callers need no credential. */
    bool isPublic = false;
    /** Regions that its statements must not leave; empty: any. */
    std::vector<RegionName> homeRegions = {};

    bool operator==(const ImportedService&) const = default;
};

/** One version of the whole configuration. */
struct EstateImage {
    /** Version that its writer gave it: it rises with each change, also across returns of the
     * store, which gives revisions of objects out again. */
    std::uint64_t version = 0;
    std::optional<Duration> idleInTransactionTimeout;
    std::vector<ImportedGroup> groups;
    std::vector<ImportedService> services;
    /** Absent where callers are no tenants. */
    std::optional<std::vector<tenancy::Tenant>> tenants;
};

/** @return the tenants of an image. */
std::shared_ptr<const tenancy::TenantDirectory> tenantsOf(const EstateImage& image);

/** What became of an image. */
struct ImportOutcome {
    bool changed = false;
    /** Nodes that the tree refused, each with the reason. */
    std::vector<std::string> refused;
};

/**
 * Merges an image into the tree, node by node: estate, groups, services. Nodes that an earlier
 * image had and this one lacks are deleted. An image that is older than the newest one is ignored.
 * Where ranks differ, services of the lowest one are urgent, and each has its place among the
 * ranks.
 */
class EstateImport {
public:
    /** @param tree outlives the import. */
    explicit EstateImport(settings::SettingsTree& tree) : _tree(tree) {}

    ImportOutcome apply(const EstateImage& image);

    std::uint64_t version() const { return _version; }

private:
    /** A service as it was imported last. */
    struct TakenService {
        ImportedService service;
        std::optional<std::uint32_t> rank;

        bool operator==(const TakenService&) const = default;
    };

    void putService(const TakenService& taken, ImportOutcome& outcome);
    bool put(const std::string& path, const std::string& document, ImportOutcome& outcome);

    settings::SettingsTree& _tree;
    std::set<std::string> _paths;
    /** Services that stand in the tree, by path: most of an image is as it was. */
    std::map<std::string, TakenService> _services;
    std::uint64_t _version = 0;
};

}  // namespace coralhoist::cluster
