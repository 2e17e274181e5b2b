#include "lab/pooled/PooledNode.h"

#include <algorithm>
#include <utility>

namespace coralhoist::pooled {
namespace {

using pooling::SessionState;
using pooling::Statement;
using pooling::StatementFault;
using pooling::StatementResult;
using pooling::StatementVerb;
using std::chrono::milliseconds;

constexpr Duration kStaleness = milliseconds(600);
constexpr Duration kStatementTimeout = milliseconds(800);
constexpr Duration kFollowEvery = milliseconds(10);
/** Kind of operation that is a single read. */
constexpr std::uint64_t kPlainRead = 5;
constexpr Duration kStoreDelay = milliseconds(4);
/** Servers whose announcement was removed are forgotten after this time. */
constexpr Duration kRemovedRetention = std::chrono::seconds(15);

Statement makeStatement(PooledWorld& world, StatementVerb verb, const char* text) {
    Statement statement;
    statement.id = std::to_string(++world.lastRequest);
    statement.verb = verb;
    statement.text = text;
    return statement;
}

pooling::PoolerKnobs makeKnobs(const PooledWorld& world, const std::string& name) {
    pooling::PoolerKnobs knobs;
    knobs.node = NodeName(name);
    knobs.executorsPerZone = world.executors;
    return knobs;
}

bool isPromise(StatementFault fault) {
    return pooling::provesNotRun(fault);
}

std::map<GroupName, LogGroup*> groupsByName(const std::vector<LogGroup*>& groups) {
    std::map<GroupName, LogGroup*> result;
    for (LogGroup* group : groups) {
        result[group->name()] = group;
    }
    return result;
}

}  // namespace

std::shared_ptr<const pooling::ServiceCatalog> makeWorkloadCatalog(
    const std::vector<LogGroup*>& groups) {
    auto catalog = std::make_shared<pooling::ServiceCatalog>();
    catalog->version = 1;
    for (const LogGroup* group : groups) {
        const std::string prefix = group->name().value();
        settings::ServiceSettings service;
        service.statementTimeout = kStatementTimeout;
        service.idleInTransactionTimeout = milliseconds(1000);
        service.priority = settings::Priority::Urgent;
        catalog->services[ServiceName(prefix + ".current")] = {group->name(), service};
        service.priority = settings::Priority::Ordinary;
        service.readRouting = settings::ReadRouting::Replica;
        service.maxStaleness = kStaleness;
        catalog->services[ServiceName(prefix + ".bounded")] = {group->name(), service};
        catalog->services[ServiceName(prefix + ".own")] = {group->name(), service};
        catalog->groups[group->name()] = settings::GroupSettings{};
    }
    return catalog;
}

std::shared_ptr<const pooling::ServiceCatalog> moveServices(const pooling::ServiceCatalog& catalog,
                                                            const std::vector<LogGroup*>& groups) {
    auto moved = std::make_shared<pooling::ServiceCatalog>(catalog);
    ++moved->version;
    for (auto& [service, entry] : moved->services) {
        if (!service.value().ends_with(".own")) {
            continue;
        }
        const GroupName former = entry.group;
        const auto present =
            std::find_if(groups.begin(), groups.end(),
                         [&former](const LogGroup* group) { return group->name() == former; });
        const auto next = static_cast<std::size_t>(present - groups.begin() + 1) % groups.size();
        entry.group = groups[next]->name();
    }
    return moved;
}

PooledNode::PooledNode(PooledWorld& world, std::string name, std::size_t sessionsPerService)
    : _world(world),
      _name(std::move(name)),
      _activity(std::make_shared<NodeActivity>()),
      _connector(world.queue, world.random, world.judge, world.book, groupsByName(world.groups),
                 _activity),
      _era(world.queue),
      _storeClient(world.store, _activity, _name, _era),
      _parser(readReport),
      _pooler(world.queue, _connector, *this, makeKnobs(world, _name)),
      _endpoint(std::make_shared<NodeEndpoint>(
          NodeEndpoint{NodeName(_name), &_pooler, _activity, nullptr, nullptr, {}})),
      _forwarder(world.network, world.queue, _endpoint),
      _proofLinks(world.network, _forwarder, _endpoint),
      _readers(NodeName(_name), ZoneName()),
      _proofs({world.queue, world.random, *this, _proofLinks, _proofLinks,
               [this](const pooling::LeadershipProof& proof) { onProof(proof); }},
              _readers),
      _failovers([this](const GroupName& group) { return makeFailover(group); }, roundEvents()) {
    _endpoint->proofs = &_proofs;
    _endpoint->proofLinks = &_proofLinks;
    world.network.add(_endpoint);
    _pooler.setForwarder(_forwarder);
    _pooler.applyCatalog(world.catalog);
    for (LogGroup* group : world.groups) {
        wantLeadershipProof(group->name());
        _failovers.wake(group->name());
    }
    openCallers(sessionsPerService);
}

std::unique_ptr<failover::GroupFailover> PooledNode::makeFailover(const GroupName& group) {
    return std::make_unique<failover::GroupFailover>(
        group,
        failover::FailoverDependencies{
            _world.queue, _world.random, _connector, _storeClient, _storeClient, _parser,
            _name + "/" + std::to_string(_world.random.next()), _name,
            [this](const GroupName& named) { return _readers.turnOf(named); }, _era, &_placement});
}

failover::RoundEvents PooledNode::roundEvents() {
    return {[this](const GroupName& group) { return _pooler.primaryOf(group); },
            [this](const GroupName& group, const failover::GroupFailover& failover) {
                _proofs.noteRecord(failover.record().version);
                _pooler.applyNotice(group, failover.notice());
            },
            [this](const GroupName& group, TimePoint /*now*/) { _confirming.insert(group); }};
}

PooledNode::~PooledNode() {
    _activity->end();
}

void PooledNode::followSettings() {
    _activity->run([this] { _pooler.applyCatalog(_world.catalog); });
}

void PooledNode::setStoreCut(bool cut) {
    _storeCut = cut;
    _storeClient.setCut(cut);
}

void PooledNode::openCallers(std::size_t sessionsPerService) {
    for (const auto& [service, entry] : _world.catalog->services) {
        for (std::size_t index = 0; index < sessionsPerService; ++index) {
            Caller caller;
            caller.session = _pooler.openSession(service);
            caller.number = ++_world.lastSession;
            caller.service = service;
            const std::string& name = service.value();
            const bool current = name.ends_with(".current");
            caller.promise = current                      ? ReadPromise::Current
                             : name.ends_with(".bounded") ? ReadPromise::Bounded
                                                          : ReadPromise::OwnAndBounded;
            caller.staleness = current ? Duration(0) : kStaleness;
            caller.nextAt = _world.queue.now() + milliseconds(_world.random.below(60));
            _callers[caller.session] = caller;
        }
    }
}

void PooledNode::step() {
    _activity->run([] {});
    if (_activity->isFrozen() || _activity->hasEnded()) {
        return;
    }
    const TimePoint now = _world.queue.now();
    _connector.step();
    _forwarder.step();
    follow();
    if (_world.trustsPrimaries) {
        for (const LogGroup* group : _world.groups) {
            _pooler.confirmLeadership(group->name(), now);
        }
    }
    if (const auto next = _pooler.nextTick(); next && *next <= now) {
        _pooler.onTick();
    }
    _confirming.clear();
    _failovers.onSharedState({_era.current(), _era.hasReturned(), _placement.mayMovePrimaries()});
    _failovers.onTick(now, true);
    _proofs.noteRecord({_era.current(), 0});
    _proofs.onTick(now);
    proveByServers();
    for (auto& [session, caller] : _callers) {
        if (now >= caller.nextAt) {
            startOperation(caller);
        }
    }
}

/** What the watches of the store bring. */
void PooledNode::follow() {
    const TimePoint now = _world.queue.now();
    if (now < _nextFollow || _storeCut || _world.store.faults().down) {
        return;
    }
    _nextFollow = now + kFollowEvery;
    const auto seen = std::make_shared<StoreView>();
    seen->era = _world.store.era();
    for (const LogGroup* group : _world.groups) {
        // Servers write again at once what the store has lost.
        seen->announcements[group->name()] = group->announcements();
        for (pooling::ServerAnnouncement& announcement : seen->announcements[group->name()]) {
            announcement.version.era = _world.store.era();
        }
        seen->versions[group->name()] = {_world.store.era(), group->announcementsVersion()};
        seen->records.push_back(_world.store.record(group->name()));
    }
    _world.queue.after(kStoreDelay, [this, seen, activity = _activity] {
        activity->run([this, seen] { applyView(*seen); });
    });
}

void PooledNode::applyView(const StoreView& view) {
    _era.note(view.era, "store");
    bool changed = false;
    for (std::size_t index = 0; index < view.records.size(); ++index) {
        const GroupName& group = _world.groups[index]->name();
        _era.noteWritten(view.records[index].writtenIn);
        changed |= applyAnnouncements(group, view.announcements.at(group), view.versions.at(group));
        _failovers.onRecord(group, view.records[index]);
    }
    _pooler.applyNodes(_world.network.nodes());
    _readers.applyNodes(_world.network.nodes());
    if (!changed) {
        return;
    }
    for (const auto& [group, servers] : _directory.groups()) {
        _failovers.wake(group).onDirectory(servers);
    }
    _pooler.applyDirectory(_directory);
}

/** @return whether anything changed. */
bool PooledNode::applyAnnouncements(const GroupName& group,
                                    const std::vector<pooling::ServerAnnouncement>& announcements,
                                    const StoreVersion& version) {
    const TimePoint now = _world.queue.now();
    bool changed = false;
    std::set<ServerName> present;
    for (const pooling::ServerAnnouncement& announcement : announcements) {
        present.insert(announcement.address.server);
        changed |= _directory.put(announcement, now);
    }
    const pooling::ServerDirectory::Servers known = _directory.serversOf(group);
    for (const auto& [name, server] : known) {
        if (!server.removed && !present.contains(name)) {
            changed |= _directory.remove(name, version, now);
        }
    }
    _directory.expire(now, kRemovedRetention);
    return changed || _directory.serversOf(group).size() != known.size();
}

void PooledNode::wantLeadershipProof(const GroupName& group) {
    _unproven.insert(group);
    if (!needsProofOfServers(group)) {
        _proofs.want();
    }
}

/** @return whether the store has returned older, and its record of the group proves nothing yet. */
bool PooledNode::needsProofOfServers(const GroupName& group) const {
    const failover::GroupFailover* failover = _failovers.find(group);
    return failover != nullptr && !failover->notice().isConfirmed;
}

/** Reads the groups one after the other; the versions are those of a moment after the call. */
void PooledNode::readRecords(Callback callback) {
    ++_recordReadings;
    const auto records = std::make_shared<pooling::ListedRecords>();
    records->era = _world.store.era();
    const auto left = std::make_shared<std::size_t>(_world.groups.size());
    const auto failed = std::make_shared<bool>(false);
    for (LogGroup* entry : _world.groups) {
        const GroupName group = entry->name();
        _storeClient.load(group, [this, group, records, left, failed,
                                  callback](const failover::LoadedRecord& loaded) {
            if (loaded.outcome == StoreOutcome::Done) {
                _failovers.onRecord(group, loaded.record);
                _pooler.applyNotice(group, _failovers.find(group)->notice());
                records->versions[group] = loaded.record.version;
            }
            // Records of two eras are no list of one moment.
            *failed |=
                loaded.outcome != StoreOutcome::Done || loaded.record.version.era != records->era;
            if (--*left == 0) {
                callback(*failed ? std::nullopt : std::optional(*records));
            }
        });
    }
}

void PooledNode::onProof(const pooling::LeadershipProof& proof) {
    std::erase_if(_unproven,
                  [this](const GroupName& group) { return !needsProofOfServers(group); });
    _pooler.applyProof(proof);
}

void PooledNode::proveByServers() {
    const TimePoint now = _world.queue.now();
    for (LogGroup* group : _world.groups) {
        std::unique_ptr<failover::LeadershipProbe>& probe = _probes[group->name()];
        if (!probe) {
            probe = std::make_unique<failover::LeadershipProbe>(_world.queue, _connector, _parser);
        }
        const bool isWaitedFor = _unproven.contains(group->name()) &&
                                 (_proofs.hasFailed() || needsProofOfServers(group->name()));
        if (isWaitedFor || _confirming.contains(group->name())) {
            probe->ask(_directory.serversOf(group->name()), now);
        }
        if (const auto next = probe->nextTick(); next && *next <= now) {
            probe->onTick(now);
        }
        const std::optional<pooling::Primary> primary = _pooler.primaryOf(group->name());
        const std::optional<TimePoint> proven = primary ? probe->provenAt(*primary) : std::nullopt;
        if (const auto paused = primary ? probe->pausedAt(*primary) : std::nullopt) {
            _failovers.wake(group->name()).onReceiversPaused(*paused);
        }
        TimePoint& told = _toldProofs[group->name()];
        if (proven && *proven > told) {
            told = *proven;
            ++_provenByServers;
            _unproven.erase(group->name());
            _pooler.confirmLeadership(group->name(), *proven);
            _failovers.wake(group->name()).onLeadershipProven(*primary, *proven);
        }
    }
}

void PooledNode::suspectPrimary(const GroupName& group, const ServerName& server,
                                pooling::SuspicionReason reason) {
    _failovers.wake(group).onSuspicion(server, reason);
}

void PooledNode::startOperation(Caller& caller) {
    PooledWorld& world = _world;
    caller.nextAt = TimePoint::max();
    caller.since = world.queue.now();
    caller.remaining.clear();
    const std::uint64_t kind = world.readOnly ? kPlainRead : world.random.below(10);
    caller.writes = kind < 3 || kind == 8;
    caller.commit = caller.writes ? ++world.lastCommit : 0;
    caller.inTransaction = kind >= 7;
    if (kind >= 7) {
        const bool readOnly = kind == 9;
        caller.remaining.push_back(
            makeStatement(world, readOnly ? StatementVerb::BeginReadOnly : StatementVerb::Begin,
                          readOnly ? "BEGIN READ" : "BEGIN"));
        caller.remaining.push_back(makeStatement(world, StatementVerb::Read, "READ"));
        if (caller.writes) {
            caller.remaining.push_back(makeStatement(world, StatementVerb::Write, "WRITE"));
        }
        caller.remaining.push_back(makeStatement(world, StatementVerb::Commit, "COMMIT"));
    } else {
        caller.remaining.push_back(caller.writes
                                       ? makeStatement(world, StatementVerb::Write, "WRITE")
                                       : makeStatement(world, StatementVerb::Read, "READ"));
    }
    for (const Statement& statement : caller.remaining) {
        world.book[statement.id] = {caller.number, caller.promise, caller.staleness, caller.since,
                                    caller.commit};
    }
    sendNext(caller);
}

void PooledNode::sendNext(Caller& caller) {
    const Statement statement = caller.remaining.front();
    caller.remaining.erase(caller.remaining.begin());
    caller.lastText = statement.text;
    _pooler.submit(caller.session, statement);
}

void PooledNode::endOperation(Caller& caller) {
    caller.nextAt = _world.queue.now() + milliseconds(5 + _world.random.below(50));
}

void PooledNode::reply(SessionId session, StatementResult result) {
    if (_world.network.reply(*_endpoint, session, result)) {
        return;
    }
    Caller& caller = _callers.at(session);
    if (caller.lastText == "ROLLBACK") {
        endOperation(caller);
        return;
    }
    if (result.succeeded() && !caller.remaining.empty()) {
        sendNext(caller);
        return;
    }
    judge(caller, result);
    if (result.state != SessionState::Idle) {
        caller.remaining.clear();
        caller.remaining.push_back(makeStatement(_world, StatementVerb::Rollback, "ROLLBACK"));
        sendNext(caller);
        return;
    }
    endOperation(caller);
}

void PooledNode::judge(Caller& caller, const StatementResult& result) {
    if (caller.commit == 0) {
        return;
    }
    if (result.succeeded()) {
        ++_acknowledged;
        _world.judge.onAcknowledged(caller.commit, caller.number, _world.queue.now());
    } else if (isPromise(result.error->fault)) {
        _world.judge.onPromisedNothing(caller.commit);
    }
}

void PooledNode::closeSession(SessionId /*session*/) {}

}  // namespace coralhoist::pooled
