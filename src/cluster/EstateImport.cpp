#include "cluster/EstateImport.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <utility>

#include "settings/SettingValue.h"

namespace coralhoist::cluster {
namespace {

constexpr const char* kAuthor = "import";

std::string compact(const QJsonObject& object) {
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

QString durationText(Duration duration) {
    return QString::fromStdString(settings::formatDuration(duration));
}

std::string estateDocument(const EstateImage& image) {
    QJsonObject document;
    if (image.idleInTransactionTimeout) {
        document["timeout.idle_in_transaction"] = durationText(*image.idleInTransactionTimeout);
    }
    return compact(document);
}

std::string groupDocument(const ImportedGroup& group) {
    QJsonObject document;
    if (group.connectionsPerServer) {
        document["pool.connections_per_server"] = static_cast<int>(*group.connectionsPerServer);
    }
    if (group.synchronousReplicas) {
        document["replication.synchronous"] = static_cast<int>(*group.synchronousReplicas);
    }
    if (group.coldRequestsPerSecond) {
        document["warmup.requests_per_second"] = static_cast<int>(*group.coldRequestsPerSecond);
    }
    if (group.coldStart) {
        document["warmup.duration"] = durationText(*group.coldStart);
    }
    return compact(document);
}

std::string serviceDocument(const ImportedService& service, std::optional<std::uint32_t> rank) {
    QJsonObject document;
    document["admission.priority"] = rank == 0 ? "urgent" : "ordinary";
    if (rank) {
        document["admission.rank"] = static_cast<int>(*rank);
    }
    const bool replica = service.readRouting == settings::ReadRouting::Replica;
    document["routing.reads"] = replica ? "replica" : "primary";
    if (service.maxStaleness) {
        document["consistency.max_staleness"] = durationText(*service.maxStaleness);
    }
    if (service.statementTimeout) {
        document["timeout.statement"] = durationText(*service.statementTimeout);
    }
    if (service.latencyObjective) {
        document["service.latency_objective"] = durationText(*service.latencyObjective);
    }
    if (!service.homeRegions.empty()) {
        QJsonArray homes;
        for (const RegionName& region : service.homeRegions) {
            homes.append(QString::fromStdString(region.value()));
        }
        document["placement.home_regions"] = homes;
    }
    return compact(document);
}

/**
 * @return the place of each rank among those that occur; empty where all are equal. What exceeds
 * the number of ranks shares the last one.
 */
std::map<int, std::uint32_t> placesOfRanks(const std::vector<ImportedService>& services) {
    std::map<int, std::uint32_t> places;
    for (const ImportedService& service : services) {
        places[service.rank] = 0;
    }
    if (places.size() < 2) {
        return {};
    }
    std::uint32_t next = 0;
    for (auto& [rank, place] : places) {
        place = std::min(next++, settings::kAdmissionRanks - 1);
    }
    return places;
}

}  // namespace

std::shared_ptr<const tenancy::TenantDirectory> tenantsOf(const EstateImage& image) {
    if (!image.tenants) {
        return std::make_shared<tenancy::TenantDirectory>(image.version);
    }
    std::set<ServiceName> publicServices;
    for (const ImportedService& service : image.services) {
        if (service.isPublic) {
            publicServices.insert(service.name);
        }
    }
    return std::make_shared<tenancy::TenantDirectory>(image.version, *image.tenants,
                                                      std::move(publicServices));
}

ImportOutcome EstateImport::apply(const EstateImage& image) {
    ImportOutcome outcome;
    if (image.version <= _version) {
        return outcome;
    }
    _version = image.version;
    const std::set<std::string> before = std::exchange(_paths, {});
    put("estate", estateDocument(image), outcome);
    for (const ImportedGroup& group : image.groups) {
        put(settings::NodePath::ofGroup(group.name).text(), groupDocument(group), outcome);
    }
    const std::map<int, std::uint32_t> places = placesOfRanks(image.services);
    for (const ImportedService& service : image.services) {
        const auto place = places.find(service.rank);
        putService({service, place == places.end() ? std::nullopt : std::optional(place->second)},
                   outcome);
    }
    for (const std::string& path : before) {
        if (!_paths.contains(path)) {
            _services.erase(path);
            settings::SettingsObjectRecord record;
            record.path = path;
            record.version = _version;
            record.deleted = true;
            record.author = kAuthor;
            outcome.changed |= _tree.merge(record) == settings::MergeOutcome::Applied;
        }
    }
    return outcome;
}

void EstateImport::putService(const TakenService& taken, ImportOutcome& outcome) {
    const std::string path =
        settings::NodePath::ofService(taken.service.group, taken.service.name).text();
    const auto known = _services.find(path);
    if (known != _services.end() && known->second == taken) {
        _paths.insert(path);
        return;
    }
    if (put(path, serviceDocument(taken.service, taken.rank), outcome)) {
        _services.insert_or_assign(path, taken);
    } else {
        _services.erase(path);
    }
}

/** @return whether the document stands in the tree. */
bool EstateImport::put(const std::string& path, const std::string& document,
                       ImportOutcome& outcome) {
    _paths.insert(path);
    const std::optional<settings::SettingsObjectRecord> known = _tree.find(path);
    if (known && !known->deleted && known->document == document) {
        return true;
    }
    settings::SettingsObjectRecord record;
    record.path = path;
    record.version = _version;
    record.document = document;
    record.operationId = kAuthor + std::to_string(_version);
    record.author = kAuthor;
    const settings::MergeOutcome merged = _tree.merge(record);
    if (merged == settings::MergeOutcome::Applied) {
        outcome.changed = true;
        return true;
    }
    if (merged != settings::MergeOutcome::Unchanged) {
        outcome.refused.push_back(path);
    }
    return false;
}

}  // namespace coralhoist::cluster
