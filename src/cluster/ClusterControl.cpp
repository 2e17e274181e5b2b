#include "cluster/ClusterControl.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "base/Log.h"

namespace coralhoist::cluster {
namespace {

using store::ObjectEvent;
using store::StoredObject;

/** Servers whose announcements are gone are remembered for so long. */
constexpr Duration kRemovedRetention = std::chrono::seconds(15);
constexpr Duration kExpiryRound = std::chrono::seconds(1);

store::WatchTiming watchTiming(Duration wait) {
    store::WatchTiming timing;
    timing.wait = wait;
    return timing;
}

/** @return what stands for the record of a group that has none in that era. */
failover::PromotionRecord missingRecord(std::uint64_t era) {
    failover::PromotionRecord record;
    record.version.era = era;
    return record;
}

/** Longest wait of a watch. Lists prove what is known, so it bounds nothing; a watch whose
 * connection has gone silent without a change is begun again after it. */
constexpr Duration kWatchWait = std::chrono::milliseconds(3000);

/** Servers announce themselves one by one when an estate starts. */
store::WatchTiming serversTiming() {
    store::WatchTiming timing = watchTiming(kWatchWait);
    timing.firstGather = std::chrono::milliseconds(100);
    timing.longestGather = std::chrono::milliseconds(400);
    return timing;
}

}  // namespace

class ClusterControl::KindSink final : public store::WatchSink {
public:
    using ListHandler = std::function<void(const std::vector<StoredObject>&, const StoreVersion&)>;
    using EventHandler = std::function<void(const ObjectEvent&)>;

    KindSink(ListHandler list, EventHandler event)
        : _list(std::move(list)), _event(std::move(event)) {}

    void onList(const std::vector<StoredObject>& objects, const StoreVersion& version) override {
        _list(objects, version);
    }
    void onEvent(const ObjectEvent& event) override { _event(event); }
    void onReachable(bool /*reachable*/) override {}

private:
    ListHandler _list;
    EventHandler _event;
};

ClusterControl::ClusterControl(ClusterDependencies dependencies, pooling::StatementPooler& pooler)
    : _dependencies(std::move(dependencies)),
      _pooler(pooler),
      _import(_tree),
      _promotions(_dependencies.storeClient, _dependencies.promotionClient, _dependencies.protocol,
                  _dependencies.codec, _dependencies.self.name),
      _registry(_dependencies.storeClient, _dependencies.protocol, _dependencies.codec,
                _dependencies.clock, _dependencies.random, _dependencies.storeEra,
                _dependencies.self),
      _failovers([this](const GroupName& group) { return makeFailover(group); }, roundEvents()),
      _recordReader(_dependencies.storeClient, _dependencies.clock, _dependencies.protocol,
                    _dependencies.codec,
                    [this](const StoredObject& object) { onPromotion(object); }),
      _readers(_dependencies.self.name, _dependencies.self.zone, _dependencies.regions),
      _proofs({_dependencies.clock, _dependencies.random, _recordReader,
               _dependencies.proofQuestions, _dependencies.proofAnswers,
               [this](const pooling::LeadershipProof& proof) { onProof(proof); }},
              _readers) {
    followKinds();
}

void ClusterControl::followKinds() {
    const auto onEach = [](auto handler) {
        return [handler](const std::vector<StoredObject>& objects, const StoreVersion&) {
            std::for_each(objects.begin(), objects.end(), handler);
        };
    };
    const auto settings = [this](const StoredObject& object) { onSettings(object); };
    const auto promotion = [this](const StoredObject& object) { onPromotion(object); };
    _sinks.push_back(std::make_unique<KindSink>(
        onEach(settings), [settings](const ObjectEvent& event) { settings(event.object); }));
    _sinks.push_back(std::make_unique<KindSink>(
        [this](const std::vector<StoredObject>& objects, const StoreVersion& version) {
            onServersListed(objects, version);
        },
        [this](const ObjectEvent& event) { onServerEvent(event); }));
    _sinks.push_back(std::make_unique<KindSink>(
        [this](const std::vector<StoredObject>& objects, const StoreVersion& version) {
            onPromotionsListed(objects, version);
        },
        [promotion](const ObjectEvent& event) { promotion(event.object); }));
    const ClusterKinds kinds = _dependencies.codec.kinds();
    std::vector<FollowedKind> followed{
        {kinds.settings, watchTiming(kWatchWait), _dependencies.bounds.settings, *_sinks[0]},
        {kinds.servers, serversTiming(), _dependencies.bounds.servers, *_sinks[1]},
        {kinds.promotions, watchTiming(kWatchWait), _dependencies.bounds.servers, *_sinks[2]},
    };
    followEvacuations(followed);
    _follower = std::make_unique<StoreFollower>(
        FollowerDependencies{_dependencies.clock, _dependencies.random, _dependencies.storeClient,
                             _dependencies.protocol, _dependencies.feedQuestions,
                             _dependencies.feedAnswers, _dependencies.storeEra, _readers,
                             _dependencies.self.name},
        followed);
}

void ClusterControl::followEvacuations(std::vector<FollowedKind>& kinds) {
    const EvacuationFollowing& following = _dependencies.evacuations;
    if (following.zones == nullptr) {
        return;
    }
    _evacuations = std::make_unique<EvacuationFeed>(
        EvacuationFeedParts{_dependencies.clock, _dependencies.codec, *following.regions,
                            *following.zones, [this] { return evacuationsProvenAt(); }});
    kinds.push_back({_dependencies.codec.kinds().evacuations, watchTiming(kWatchWait),
                     _dependencies.bounds.evacuations, *_evacuations});
}

ClusterControl::~ClusterControl() = default;

bool ClusterControl::isReady() const {
    return _settingsKnown && _registry.isSettled() && _follower->isListed();
}

void ClusterControl::onSettings(const StoredObject& object) {
    const std::optional<EstateImage> image = _dependencies.codec.readEstate(object);
    if (!image) {
        LogEvent("settings", LogLevel::Warning, "settings.unreadable")
            .field("object", object.name)
            .field("version", object.version);
        return;
    }
    if (image->version <= _import.version()) {
        if (image->version < _import.version() && image->version != _ignoredSettings) {
            _ignoredSettings = image->version;
            LogEvent("settings", LogLevel::Warning, "settings.ignored")
                .field("version", image->version)
                .field("version_in_force", _import.version());
        }
        return;
    }
    const ImportOutcome outcome = _import.apply(*image);
    LogEvent("settings", LogLevel::Info, "settings.in_force")
        .field("version", image->version)
        .field("source", _follower->source())
        .field("services", image->services.size())
        .field("changed", outcome.changed)
        .field("refused", outcome.refused.size());
    _settingsKnown = true;
    const std::shared_ptr<const tenancy::TenantDirectory> tenants = tenantsOf(*image);
    const auto catalog = pooling::makeCatalog(*_tree.snapshot());
    if (_dependencies.onSettings) {
        _dependencies.onSettings(*catalog, *tenants);
    }
    _dependencies.onTenants(tenants);
    _pooler.applyCatalog(catalog);
    noteGroups(*image);
}

void ClusterControl::onServersListed(const std::vector<StoredObject>& objects,
                                     const StoreVersion& version) {
    std::vector<pooling::ServerAnnouncement> announcements;
    for (const StoredObject& object : objects) {
        if (const auto announcement = readServer(object)) {
            announcements.push_back(*announcement);
        }
    }
    _directory.replaceAll(announcements, version, _dependencies.clock.now());
    publishChangedGroups();
}

/** @return the server that the entry names; why it names none is logged once a version. */
std::optional<pooling::ServerAnnouncement> ClusterControl::readServer(const StoredObject& object) {
    const StatusWith<pooling::ServerAnnouncement> server = _dependencies.codec.readServer(object);
    if (server.isOk()) {
        _unreadableVersions.erase(object.name);
        return server.value();
    }
    StoreVersion& logged = _unreadableVersions[object.name];
    if (logged < object.version) {
        logged = object.version;
        ++_unreadableEntries;
        LogEvent("directory", LogLevel::Warning, "entry.unreadable")
            .field("entry", object.name)
            .field("version", object.version)
            .field("reason", server.status().message());
    }
    return std::nullopt;
}

/** An entry that names no server takes away the one that it named before. */
void ClusterControl::onServerEvent(const ObjectEvent& event) {
    const TimePoint now = _dependencies.clock.now();
    const std::optional<pooling::ServerAnnouncement> announcement =
        event.removed ? std::nullopt : readServer(event.object);
    const ServerName id(event.object.name);
    const GroupName group = announcement ? announcement->address.group : _directory.groupOf(id);
    const bool changed = announcement ? _directory.put(*announcement, now)
                                      : _directory.remove(id, event.object.version, now);
    if (changed) {
        logAnnouncement(announcement ? announcement->address.server : id, group,
                        announcement ? &*announcement : nullptr, event.object.version);
    }
    publishChangedGroups();
}

/** One line a server on the nodes that send to it. On all others their number, once a second: a
 * line of each node for each server would grow with the square of the estate. */
void ClusterControl::logAnnouncement(const ServerName& server, const GroupName& group,
                                     const pooling::ServerAnnouncement* announcement,
                                     const StoreVersion& version) {
    if (!_pooler.executesHere(group)) {
        ++_announcedElsewhere;
        return;
    }
    LogEvent("directory", LogLevel::Info, "server.announced")
        .field("server", server)
        .field("version", version)
        .field("removed", announcement == nullptr)
        .field("draining", announcement != nullptr && announcement->draining)
        .field("primary",
               announcement != nullptr && announcement->role == pooling::ServerRole::Primary);
}

void ClusterControl::logAnnouncementsElsewhere() {
    if (_announcedElsewhere > 0) {
        LogEvent("directory", LogLevel::Info, "servers.announced_elsewhere")
            .field("changes", _announcedElsewhere);
        _announcedElsewhere = 0;
    }
}

void ClusterControl::publishNodes() {
    if (!_registry.isSettled() || _registry.listsRead() == _publishedList) {
        return;
    }
    _publishedList = _registry.listsRead();
    std::vector<pooling::ProxyNode> nodes = _registry.nodes();
    if (nodes == _publishedNodes) {
        return;
    }
    _publishedNodes = std::move(nodes);
    LogEvent("cluster", LogLevel::Info, "nodes.counted").field("nodes", _publishedNodes.size());
    _pooler.applyNodes(_publishedNodes);
    _readers.applyNodes(_publishedNodes);
    _dependencies.onNodes(_publishedNodes);
}

void ClusterControl::publishChangedGroups() {
    for (const GroupName& group : _directory.takeChanged()) {
        publishGroup(group);
    }
}

void ClusterControl::noteGroups(const EstateImage& image) {
    std::set<GroupName> groups;
    for (const ImportedGroup& group : image.groups) {
        groups.insert(group.name);
    }
    for (const ImportedService& service : image.services) {
        groups.insert(service.group);
    }
    for (const GroupName& group : groups) {
        if (_namedGroups.insert(group).second) {
            publishGroup(group);
        }
    }
}

void ClusterControl::publishGroup(const GroupName& group) {
    if (!_namedGroups.contains(group)) {
        return;
    }
    const pooling::ServerDirectory::Servers& servers = _directory.serversOf(group);
    if (_dependencies.onServers) {
        _dependencies.onServers(group, servers);
    }
    if (_dependencies.evacuations.onServers) {
        _dependencies.evacuations.onServers(group, servers);
    }
    _failovers.wake(group).onDirectory(servers);
    _pooler.applyServers(group, servers);
}

failover::RoundEvents ClusterControl::roundEvents() {
    return {[this](const GroupName& group) { return _pooler.primaryOf(group); },
            [this](const GroupName& group, const failover::GroupFailover& failover) {
                _proofs.noteRecord(failover.record().version);
                _pooler.applyNotice(group, failover.notice());
            },
            [this](const GroupName& group, TimePoint now) { askServers(group, now); }};
}

std::unique_ptr<failover::GroupFailover> ClusterControl::makeFailover(const GroupName& group) {
    auto made = std::make_unique<failover::GroupFailover>(
        group, failover::FailoverDependencies{
                   _dependencies.clock, _dependencies.random, _dependencies.connector, _promotions,
                   _promotions, _dependencies.reportParser, _dependencies.holder,
                   _dependencies.self.name.value(),
                   [this](const GroupName& name) { return _readers.turnOf(name); },
                   _dependencies.storeEra, _dependencies.primaryPlacement, &_movePace});
    made->onRecord(missingRecord(_promotionsListed.era));
    return made;
}

/** Groups that the list lacks have no record, also those that had one in an earlier era. */
void ClusterControl::onPromotionsListed(const std::vector<StoredObject>& objects,
                                        const StoreVersion& version) {
    _promotionsListed = version;
    for (const StoredObject& object : objects) {
        onPromotion(object);
    }
    for (const auto& [group, failover] : _failovers.all()) {
        _failovers.onRecord(group, missingRecord(version.era));
    }
}

void ClusterControl::onPromotion(const StoredObject& object) {
    const std::optional<failover::PromotionRecord> record =
        _dependencies.codec.readPromotion(object);
    if (!record) {
        return;
    }
    _dependencies.storeEra.noteWritten(record->writtenIn);
    const GroupName group(object.name);
    if (!_failovers.onRecord(group, *record)) {
        return;
    }
    if (_pooler.executesHere(group)) {
        LogEvent("failover", LogLevel::Info, "promotion.seen")
            .field("group", group)
            .field("phase", static_cast<int>(record->phase))
            .field("successor", record->successor)
            .field("term", record->term)
            .field("holder", record->holder)
            .field("version", record->version);
    }
    _proofs.noteRecord(record->version);
    _pooler.applyNotice(group, _failovers.find(group)->notice());
}

void ClusterControl::suspectPrimary(const GroupName& group, const ServerName& server,
                                    pooling::SuspicionReason reason) {
    _failovers.wake(group).onSuspicion(server, reason);
}

void ClusterControl::onTick(TimePoint now) {
    _follower->onTick(now);
    if (_evacuations) {
        _dependencies.evacuations.zones->noteProven(evacuationsProvenAt());
    }
    _registry.onTick(now);
    publishNodes();
    proveAtStart();
    _failovers.onSharedState(estateState());
    _failovers.onTick(now, isReady());
    _proofs.noteRecord({_dependencies.storeEra.current(), 0});
    _proofs.onTick(now);
    askServersForProof(now);
    if (now >= _nextExpiry) {
        _nextExpiry = now + kExpiryRound;
        _directory.removeUnconfirmed(now);
        publishChangedGroups();
        _directory.expire(now, kRemovedRetention);
        logAnnouncementsElsewhere();
    }
}

failover::SharedFailoverState ClusterControl::estateState() const {
    const failover::PrimaryPlacement* placement = _dependencies.primaryPlacement;
    return {_dependencies.storeEra.current(), _dependencies.storeEra.hasReturned(),
            placement != nullptr && placement->mayMovePrimaries()};
}

std::optional<TimePoint> ClusterControl::nextTick() const {
    TimePoint next = std::min(_nextExpiry, _registry.nextTick());
    next = std::min(next, _follower->nextTick().value_or(next));
    if (isReady()) {
        next = std::min(next, _failovers.nextTick());
    }
    next = std::min(next, _proofs.nextTick().value_or(next));
    for (const auto& [group, probe] : _probes) {
        next = std::min(next, probe->nextTick().value_or(next));
    }
    return next;
}

}  // namespace coralhoist::cluster
