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
constexpr Duration kProofTimeout = std::chrono::milliseconds(400);
/** The servers are asked sooner when the store has answered so far. */
constexpr Duration kFirstProofTimeout = std::chrono::milliseconds(120);
/** Pause after a proof that did not come. */
constexpr Duration kProofPause = std::chrono::milliseconds(60);
constexpr int kSuccess = 200;

store::WatchTiming settingsTiming() {
    store::WatchTiming timing;
    timing.wait = std::chrono::milliseconds(3000);
    return timing;
}

}  // namespace

class ClusterControl::Feed final : public store::WatchSink {
public:
    using ListHandler = std::function<void(const std::vector<StoredObject>&, std::uint64_t)>;
    using EventHandler = std::function<void(const ObjectEvent&)>;

    Feed(ListHandler list, EventHandler event) : _list(std::move(list)), _event(std::move(event)) {}

    void onList(const std::vector<StoredObject>& objects, std::uint64_t version) override {
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
                _dependencies.clock, _dependencies.random, _dependencies.self),
      _alive(std::make_shared<bool>(true)) {
    const ClusterKinds kinds = _dependencies.codec.kinds();
    const auto follow = [this](const std::string& kind, Feed::ListHandler list,
                               Feed::EventHandler event, store::WatchTiming timing) {
        _feeds.push_back(std::make_unique<Feed>(std::move(list), std::move(event)));
        _watches.push_back(std::make_unique<store::ObjectWatch>(
            kind, _dependencies.storeClient, _dependencies.protocol, _dependencies.clock,
            _dependencies.random, *_feeds.back(), timing));
    };
    follow(
        kinds.settings,
        [this](const std::vector<StoredObject>& objects, std::uint64_t) {
            std::for_each(objects.begin(), objects.end(),
                          [this](const StoredObject& object) { onSettings(object); });
        },
        [this](const ObjectEvent& event) { onSettings(event.object); }, settingsTiming());
    follow(
        kinds.servers,
        [this](const std::vector<StoredObject>& objects, std::uint64_t version) {
            onServersListed(objects, version);
        },
        [this](const ObjectEvent& event) { onServerEvent(event); }, store::WatchTiming{});
    follow(
        kinds.promotions,
        [this](const std::vector<StoredObject>& objects, std::uint64_t) {
            std::for_each(objects.begin(), objects.end(),
                          [this](const StoredObject& object) { onPromotion(object); });
        },
        [this](const ObjectEvent& event) { onPromotion(event.object); }, store::WatchTiming{});
}

ClusterControl::~ClusterControl() = default;

bool ClusterControl::isReady() const {
    return _settingsKnown && _registry.isSettled() &&
           std::all_of(_watches.begin(), _watches.end(),
                       [](const auto& watch) { return watch->isListed(); });
}

std::uint64_t ClusterControl::promotions() const {
    std::uint64_t total = 0;
    for (const auto& [group, failover] : _failovers) {
        total += failover->promotions();
    }
    return total;
}

bool ClusterControl::isStoreReachable() const {
    return std::all_of(_watches.begin(), _watches.end(),
                       [](const auto& watch) { return watch->isReachable(); });
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
        return;
    }
    const ImportOutcome outcome = _import.apply(*image);
    LogEvent("settings", LogLevel::Info, "settings.in_force")
        .field("version", image->version)
        .field("services", image->services.size())
        .field("changed", outcome.changed)
        .field("refused", outcome.refused.size());
    _settingsKnown = true;
    _pooler.applyCatalog(pooling::makeCatalog(*_tree.snapshot()));
}

void ClusterControl::onServersListed(const std::vector<StoredObject>& objects,
                                     std::uint64_t version) {
    std::vector<pooling::ServerAnnouncement> announcements;
    for (const StoredObject& object : objects) {
        if (const auto announcement = _dependencies.codec.readServer(object)) {
            announcements.push_back(*announcement);
        }
    }
    _directory.replaceAll(announcements, version, _dependencies.clock.now());
    publishDirectory();
}

void ClusterControl::onServerEvent(const ObjectEvent& event) {
    const std::optional<pooling::ServerAnnouncement> announcement =
        _dependencies.codec.readServer(event.object);
    bool changed = false;
    const GroupName group = event.removed  ? _directory.groupOf(ServerName(event.object.name))
                            : announcement ? announcement->address.group
                                           : GroupName();
    if (event.removed) {
        changed = _directory.remove(ServerName(event.object.name), event.object.version,
                                    _dependencies.clock.now());
    } else if (announcement) {
        changed = _directory.put(*announcement);
    }
    if (!changed) {
        return;
    }
    LogEvent("directory", LogLevel::Info, "server.announced")
        .field("server", event.object.name)
        .field("version", event.object.version)
        .field("removed", event.removed)
        .field("draining", announcement && announcement->draining)
        .field("primary", announcement && announcement->role == pooling::ServerRole::Primary);
    publishGroup(group);
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
    _dependencies.onNodes(_publishedNodes);
}

void ClusterControl::publishDirectory() {
    for (const auto& [group, servers] : _directory.groups()) {
        publishGroup(group);
    }
}

void ClusterControl::publishGroup(const GroupName& group) {
    const pooling::ServerDirectory::Servers& servers = _directory.serversOf(group);
    failoverOf(group).onDirectory(servers);
    _pooler.applyServers(group, servers);
}

failover::GroupFailover& ClusterControl::failoverOf(const GroupName& group) {
    std::unique_ptr<failover::GroupFailover>& entry = _failovers[group];
    if (!entry) {
        entry = std::make_unique<failover::GroupFailover>(
            group, failover::FailoverDependencies{_dependencies.clock, _dependencies.random,
                                                  _dependencies.connector, _promotions, _promotions,
                                                  _dependencies.reportParser, _dependencies.holder,
                                                  _dependencies.self.name.value()});
    }
    return *entry;
}

void ClusterControl::onPromotion(const StoredObject& object) {
    const std::optional<failover::PromotionRecord> record =
        _dependencies.codec.readPromotion(object);
    if (!record) {
        return;
    }
    const GroupName group(object.name);
    failover::GroupFailover& failover = failoverOf(group);
    if (record->version > failover.record().version) {
        LogEvent("failover", LogLevel::Info, "promotion.seen")
            .field("group", group)
            .field("phase", static_cast<int>(record->phase))
            .field("successor", record->successor)
            .field("term", record->term)
            .field("holder", record->holder)
            .field("version", record->version);
    }
    failover.onRecord(*record);
    _pooler.applyNotice(group, failover.record().notice());
}

void ClusterControl::wantLeadershipProof(const GroupName& group) {
    _unproven.insert(group);
}

void ClusterControl::suspectPrimary(const GroupName& group, const ServerName& server,
                                    pooling::SuspicionReason reason) {
    failoverOf(group).onSuspicion(server, reason);
}

void ClusterControl::onTick(TimePoint now) {
    for (const auto& watch : _watches) {
        watch->onTick(now);
    }
    _registry.onTick(now);
    publishNodes();
    proveAtStart();
    for (const auto& [group, failover] : _failovers) {
        failover->onPrimary(_pooler.primaryOf(group));
        if (failover->nextTick() <= now && isReady()) {
            failover->onTick(now);
        }
        std::uint64_t& told = _toldVersions[group];
        if (failover->record().version > told) {
            told = failover->record().version;
            _pooler.applyNotice(group, failover->record().notice());
        }
    }
    askForProof(now);
    askServersForProof(now);
    if (now >= _nextExpiry) {
        _nextExpiry = now + kExpiryRound;
        _directory.expire(now, kRemovedRetention);
    }
}

std::optional<TimePoint> ClusterControl::nextTick() const {
    TimePoint next = std::min(_nextExpiry, _registry.nextTick());
    for (const auto& watch : _watches) {
        next = std::min(next, watch->nextTick().value_or(next));
    }
    for (const auto& [group, failover] : _failovers) {
        next = isReady() ? std::min(next, failover->nextTick()) : next;
    }
    if (!_unproven.empty() && !_proofRunning) {
        next = std::min(next, _nextProof);
    }
    for (const auto& [group, probe] : _probes) {
        next = std::min(next, probe->nextTick().value_or(next));
    }
    return next;
}

/** A node that has just started may neither read nor write at primaries before it has a proof. */
void ClusterControl::proveAtStart() {
    if (_provenAtStart || !isReady()) {
        return;
    }
    _provenAtStart = true;
    for (const auto& [group, servers] : _directory.groups()) {
        _unproven.insert(group);
    }
}

/** One list of all promotions proves the leadership of every group without one under way. */
void ClusterControl::askForProof(TimePoint now) {
    if (_unproven.empty() || _proofRunning || now < _nextProof) {
        return;
    }
    _proofRunning = true;
    socket::HttpCall call =
        _dependencies.protocol.listCall(_dependencies.codec.kinds().promotions, {});
    call.timeout = _storeSilent ? kProofTimeout : kFirstProofTimeout;
    _dependencies.storeClient.call(
        call, [this, alive = std::weak_ptr<bool>(_alive), now](const socket::HttpAnswer& answer) {
            if (!alive.expired()) {
                _proofRunning = false;
                onProof(answer, now);
            }
        });
}

/** While the store says nothing, the servers are asked, at the price of a slot of each. */
void ClusterControl::askServersForProof(TimePoint now) {
    if (_storeSilent) {
        for (const GroupName& group : _unproven) {
            std::unique_ptr<failover::LeadershipProbe>& probe = _probes[group];
            if (!probe) {
                probe = std::make_unique<failover::LeadershipProbe>(
                    _dependencies.clock, _dependencies.connector, _dependencies.reportParser);
            }
            probe->ask(_directory.serversOf(group), now);
        }
    }
    for (const auto& [group, probe] : _probes) {
        if (const auto next = probe->nextTick(); next && *next <= now) {
            probe->onTick(now);
        }
    }
    takeProofsOfServers();
}

void ClusterControl::takeProofsOfServers() {
    for (const auto& [group, probe] : _probes) {
        const std::optional<pooling::Primary> primary = _pooler.primaryOf(group);
        const std::optional<TimePoint> proven = primary ? probe->provenAt(*primary) : std::nullopt;
        TimePoint& told = _toldProofs[group];
        if (proven && *proven > told) {
            told = *proven;
            _unproven.erase(group);
            _pooler.confirmLeadership(group, *proven);
        }
    }
}

void ClusterControl::onProof(const socket::HttpAnswer& answer, TimePoint askedAt) {
    const bool answered =
        answer.outcome == socket::HttpAnswer::Outcome::Answered && answer.status == kSuccess;
    const std::optional<store::ObjectPage> page =
        answered ? _dependencies.protocol.readPage(answer.body) : std::nullopt;
    _storeSilent = !page;
    if (!page || page->more) {
        _nextProof = _dependencies.clock.now() + kProofPause;
        return;
    }
    _unproven.clear();
    std::map<GroupName, std::uint64_t> versions;
    for (const StoredObject& object : page->objects) {
        onPromotion(object);
        versions[GroupName(object.name)] = object.version;
    }
    for (const auto& [group, servers] : _directory.groups()) {
        _pooler.confirmByRecord(group, versions[group], askedAt);
    }
}

}  // namespace coralhoist::cluster
