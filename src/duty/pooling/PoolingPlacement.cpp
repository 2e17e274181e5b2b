/** What places, home regions and cold servers need of the duty: their parts, joined with it. */
#include <utility>

#include "base/Log.h"
#include "duty/pooling/PoolingDuty.h"

namespace coralhoist::duty {
namespace {

/** What passes between regions is logged so often at most. */
constexpr Duration kRegionLogEvery = std::chrono::seconds(15);

}  // namespace

void PoolingDuty::watchRegions() {
    _regionWatch.emplace(_options.regions, _options.zone);
    _regionUse.emplace(_options.regions, _options.zone);
    _unitLinks.setRegionWatch(*_regionWatch);
    _connector.setRegionWatch(*_regionWatch, _clock);
    _placement.add(*_regionUse);
    // Asked by the control's failovers alone, so that the control exists by then.
    _regionalPrimary.emplace(
        _options.regions, [this](const GroupName& group) -> const auto& {
            return _control->serversOf(group);
        });
    _placement.add(*_regionalPrimary);
    _pooler.setRegions(_options.regions, _regionWatch->distances);
    _nextRegionLog = _clock.now() + kRegionLogEvery;
    _ticks.add([this] { return std::optional<TimePoint>(_nextRegionLog); },
               [this](TimePoint now) { logRegionTraffic(now); });
}

/** All figures are totals since the start. */
void PoolingDuty::logRegionTraffic(TimePoint now) {
    _nextRegionLog = now + kRegionLogEvery;
    const locality::RegionTraffic& traffic = _regionWatch->traffic;
    if (traffic.total() == _loggedRegionBytes) {
        return;
    }
    _loggedRegionBytes = traffic.total();
    LogEvent event("locality", LogLevel::Info, "regions.traffic");
    for (std::size_t index = 0; index < locality::kTrafficPurposes; ++index) {
        const auto purpose = static_cast<locality::TrafficPurpose>(index);
        event.field(describe(purpose),
                    traffic.bytes(purpose, locality::TrafficDirection::Sent) +
                        traffic.bytes(purpose, locality::TrafficDirection::Received));
    }
    const placement::RegionUse& use = *_regionUse;
    event.field("store", _storeConnections.bytesSent() + _storeConnections.bytesReceived())
        .field("kept_back", _regionWatch->background.keptBack())
        .field("reads_here", use.readsHere())
        .field("reads_elsewhere", use.readsElsewhere())
        .field("primary_here", use.primaryHere())
        .field("primary_elsewhere", use.primaryElsewhere());
}

void PoolingDuty::keepEvacuations() {
    if (_options.evacuationBound == Duration(0)) {
        return;
    }
    _evacuation.emplace(_clock, _options.evacuationBound, [this] { return _pooler.loadByZone(); });
    _placement.add(static_cast<pooling::PlacementPolicy&>(_evacuation->policy));
    _placement.add(static_cast<failover::PrimaryPlacement&>(_evacuation->policy));
}

cluster::EvacuationFollowing PoolingDuty::evacuationFollowing() {
    if (!_evacuation) {
        return {};
    }
    return {&_evacuation->zones, &_options.regions,
            [this](const GroupName& group, const pooling::ServerDirectory::Servers& servers) {
                _evacuation->policy.applyServers(group, servers);
            }};
}

std::optional<TimePoint> PoolingDuty::evacuationTick() const {
    return _evacuation ? _evacuation->progress.nextTick() : std::nullopt;
}

/** Zones were evacuated, closed or given back: what rests and waits is looked at again. */
void PoolingDuty::continueEvacuations(TimePoint now) {
    if (_evacuation->progress.advance(now)) {
        _pooler.reviewPlacement();
    }
}

void PoolingDuty::applyQuotas() {
    _quotas.applyTenants(
        placement::QuotaRequestUnits::quotasOf(_tenants, _coldServers, _options.warmup));
}

/** Without a group whose servers start cold nothing of it is in force. */
void PoolingDuty::applyCatalog(const pooling::ServiceCatalog& catalog) {
    warmup::ColdServers::Groups groups;
    for (const auto& [name, group] : catalog.groups) {
        if (group.coldRequestsPerSecond > 0) {
            groups[name] = {group.coldRequestsPerSecond, group.coldStart};
        }
    }
    if (groups == _coldServers.groups()) {
        return;
    }
    _coldServers.applyGroups(std::move(groups), _clock.now());
    applyQuotas();
    if (!std::exchange(_warmsUp, true)) {
        // It asks for units of a rate that all nodes share.
        _placement.addLast(static_cast<pooling::PlacementPolicy&>(_warmup));
        _placement.add(static_cast<failover::PrimaryPlacement&>(_warmup));
    }
}

void PoolingDuty::applyServers(const GroupName& group,
                               const pooling::ServerDirectory::Servers& servers) {
    const std::vector<ServerName> before = _coldServers.listed(group);
    _coldServers.applyServers(group, servers, _clock.now());
    if (_coldServers.groups().contains(group) && _coldServers.listed(group) != before) {
        applyQuotas();
    }
}

void PoolingDuty::onQuotaChange(const TenantName& tenant) {
    if (placement::QuotaRequestUnits::isServerQuota(tenant)) {
        reviewColdServers();
    } else {
        _gate.onQuotaChange(tenant);
    }
}

void PoolingDuty::reviewColdServers() {
    _warmup.onReview();
    for (const warmup::ColdServers::Server& warmed : _coldServers.takeWarmed(_clock.now())) {
        _pooler.restartSlowStart(warmed.group, warmed.server);
    }
    _pooler.reviewPlacement();
}

/** Transactions that homes have moved away from are ended before a further statement of theirs. */
void PoolingDuty::applyHomes(const pooling::ServiceCatalog& catalog,
                             const tenancy::TenantDirectory& tenants) {
    if (!_homes.apply(catalog, tenants)) {
        return;
    }
    if (!_homesAsked) {
        _homesAsked = true;
        _placement.add(static_cast<pooling::PlacementPolicy&>(_homes));
        _placement.add(static_cast<failover::PrimaryPlacement&>(_homes));
    }
    _pooler.reviewPlacement();
}

}  // namespace coralhoist::duty
