#include "lab/experiment/Deployment.h"

#include <algorithm>
#include <cmath>

#include "contract/RequestKeySql.h"

namespace coralhoist::experiment {
namespace {

using simulation::SimulatedGroup;

const std::string kSearch = "search ";
const std::string kWrite = "write ";
const std::string kHolds = "holds ";

constexpr Duration kControlTime = std::chrono::microseconds(50);
constexpr Duration kStatusTime = std::chrono::microseconds(100);
constexpr Duration kRequestKeyTime = std::chrono::microseconds(500);
/** Longest service time, as a multiple of its mean. */
constexpr double kLongestService = 6;
/** Connections that operators and backups may take; proxies leave them alone. */
constexpr std::uint32_t kReservedConnections = 2;

bool isRequestKeyStatement(const std::string& sql) {
    return sql == contract::kInsertRequestKey || sql == contract::kRecordOutcome ||
           sql == contract::kSelectRequestKey;
}

}  // namespace

std::string searchStatement(std::size_t loadClass) {
    return kSearch + std::to_string(loadClass);
}

std::string writeStatement(simulation::WriteNumber write) {
    return kWrite + std::to_string(write);
}

std::string holdsStatement(simulation::WriteNumber write) {
    return kHolds + std::to_string(write);
}

Deployment::Deployment(const Scenario& scenario, std::uint64_t seed)
    : _scenario(scenario), _random(seed) {
    simulation::GroupModel model;
    model.servers = scenario.groups.servers;
    model.connectionsPerServer = scenario.groups.connections;
    model.connectCost = scenario.groups.connectCost;
    model.oneWayDelay = scenario.places.betweenZones;
    model.sameZoneDelay = scenario.places.withinZone;
    model.electionTimeout = scenario.groups.electionTimeout;
    for (std::size_t group = 0; group < scenario.groups.count; ++group) {
        model.serverZones.clear();
        for (std::size_t server = 0; server < model.servers; ++server) {
            model.serverZones.push_back(scenario.zoneOfServer(group, server));
        }
        _groups.push_back(std::make_unique<SimulatedGroup>(model, _queue, _random));
        for (std::size_t server = 0; server < model.servers; ++server) {
            simulation::ServerCapacity capacity;
            capacity.slots = scenario.groups.slots;
            capacity.serviceTime = [this](const contract::StatementStep& step) {
                return serviceTime(step);
            };
            _groups.back()->server(server).setCapacity(std::move(capacity));
        }
    }
}

Duration Deployment::serviceTime(const contract::StatementStep& step) {
    if (step.sql == kStatusQuery) {
        return kStatusTime;
    }
    if (isRequestKeyStatement(step.sql)) {
        return kRequestKeyTime;
    }
    const LoadClass* load = nullptr;
    if (step.sql.starts_with(kSearch)) {
        load = &_scenario.load[std::stoul(step.sql.substr(kSearch.size()))];
    } else if (step.sql.starts_with(kHolds)) {
        load = &_scenario.load[*_scenario.ownReadClass()];
    } else if (step.sql.starts_with(kWrite)) {
        load = &*std::ranges::find(_scenario.load, LoadKind::KeyedWrite, &LoadClass::kind);
    } else {
        return kControlTime;
    }
    const double factor = std::min(-std::log1p(-_random.fraction()), kLongestService);
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(load->service.count()) * factor));
}

settings::GroupSettings Deployment::groupSettings(std::size_t group) const {
    settings::GroupSettings settings;
    settings.name = GroupName("group" + std::to_string(group));
    settings.statusQuery = kStatusQuery;
    settings.slotsPerServer = static_cast<std::uint32_t>(_scenario.groups.slots);
    settings.connectionsPerServer =
        static_cast<std::uint32_t>(_scenario.groups.connections) - kReservedConnections;
    for (std::size_t server = 0; server < _scenario.groups.servers; ++server) {
        const ZoneName zone(std::to_string(_scenario.zoneOfServer(group, server)));
        settings.servers.push_back({_groups[group]->server(server).name(), "", 0, zone});
    }
    return settings;
}

void Deployment::begin(const FaultEvent& fault) {
    SimulatedGroup& group = *_groups[fault.group];
    const std::size_t primary = group.newestPrimary();
    switch (fault.kind) {
        case FaultKind::PrimaryCutOff:
            group.isolate(primary);
            _queue.after(fault.duration, [&group, primary] { group.rejoin(primary); });
            break;
        case FaultKind::PrimaryCrash:
            group.server(primary).crash();
            _queue.after(fault.duration, [&group, primary] { group.server(primary).restart(); });
            break;
        case FaultKind::ReplicaFarBehind: {
            const std::size_t replica = group.anyReplica();
            group.setLag(replica, fault.lag);
            _queue.after(fault.duration, [&group, replica] { group.setLag(replica, Duration(0)); });
            break;
        }
        case FaultKind::ConnectionStorm:
            for (std::size_t server = 0; server < group.size(); ++server) {
                group.server(server).resetSessions();
            }
            break;
        case FaultKind::OwnerKilled:
            break;
    }
}

void Deployment::healAll() {
    for (const auto& group : _groups) {
        group->healAll();
    }
}

std::size_t Deployment::openConnections() const {
    std::size_t total = 0;
    for (const auto& group : _groups) {
        for (std::size_t server = 0; server < group->size(); ++server) {
            total += group->server(server).sessionCount();
        }
    }
    return total;
}

std::vector<simulation::WriteNumber> Deployment::writes(std::size_t group) const {
    SimulatedGroup& found = *_groups[group];
    return simulation::writesOf(found.server(found.newestPrimary()).log());
}

}  // namespace coralhoist::experiment
