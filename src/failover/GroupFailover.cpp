#include "failover/GroupFailover.h"

#include <algorithm>
#include <utility>

#include "base/Log.h"
#include "failover/FailoverTiming.h"

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;
using std::chrono::milliseconds;

/** @return whether the primary keeps serving until a successor has nearly caught up. */
bool isPlanned(FailoverReason reason) {
    return reason == FailoverReason::Leaving || reason == FailoverReason::Misplaced;
}

}  // namespace

bool needsCheck(FailoverReason reason) {
    return reason == FailoverReason::Silent || reason == FailoverReason::Unreachable;
}

const char* describe(FailoverReason reason) {
    switch (reason) {
        case FailoverReason::None:
            return "none";
        case FailoverReason::Silent:
            return "silent";
        case FailoverReason::Unreachable:
            return "unreachable";
        case FailoverReason::WritesUnanswered:
            return "writes_unanswered";
        case FailoverReason::StatementsLost:
            return "statements_lost";
        case FailoverReason::Leaving:
            return "leaving";
        case FailoverReason::NoPrimary:
            return "no_primary";
        case FailoverReason::Abandoned:
            return "abandoned";
        case FailoverReason::Lost:
            return "lost";
        case FailoverReason::Misplaced:
            return "misplaced";
    }
    return "unknown";
}

namespace {

/**
 * All idle groups of a node tick at the same moments, so that the number of groups adds no
 * wake-ups.
 */
TimePoint nextIdleTick(TimePoint now) {
    return now - now.time_since_epoch() % kIdleTickInterval + kIdleTickInterval;
}

}  // namespace

GroupFailover::GroupFailover(GroupName group, FailoverDependencies dependencies)
    : _group(std::move(group)),
      _dependencies(std::move(dependencies)),
      _alive(std::make_shared<bool>(true)),
      _nextTick(_dependencies.clock.now()),
      _departures(_dependencies.clock, _dependencies.connector, _dependencies.parser) {}

GroupFailover::~GroupFailover() = default;

/**
 * A list may lack servers that are running, so a server that was listed once is kept as removed for
 * kRemovedServerRetention.
 */
void GroupFailover::onDirectory(const pooling::ServerDirectory::Servers& servers) {
    const TimePoint now = _dependencies.clock.now();
    if (!servers.empty()) {
        _listedSince = _listedSince.value_or(now);
    }
    pooling::ServerDirectory::Servers known = servers;
    for (const auto& [name, server] : _servers) {
        if (known.contains(name)) {
            continue;
        }
        ListedServer vanished = server;
        vanished.removedAt = server.removed ? server.removedAt : now;
        vanished.removed = true;
        if (now - vanished.removedAt < kRemovedServerRetention || mayHoldCommits(name, vanished)) {
            known.emplace(name, vanished);
        }
    }
    _servers = std::move(known);
    noteReturned();
    std::erase_if(_links, [this](const auto& entry) { return listed(entry.first) == nullptr; });
    _nextTick = std::min(_nextTick, now);
}

void GroupFailover::onRecord(const PromotionRecord& record) {
    if (record.version <= _record.version) {
        return;
    }
    const bool announces = pooling::announcesNewSuccessor(_record.notice(), record.notice());
    // A closed record that is written again after the store was restored from an older copy is no
    // change of the primary.
    const bool isSame = record.phase == pooling::PromotionPhase::None &&
                        record.phase == _record.phase && record.holder == _record.holder &&
                        record.term == _record.term;
    _record = record;
    const TimePoint now = _dependencies.clock.now();
    _recordSeenAt = isSame ? _recordSeenAt : now;
    if (announces) {
        _announcementSeenAt = now;
    }
    noteReturned();
    if (!isLater(_newest, record)) {
        _newest = record;
    }
    if (!lacksRecord() && !mustRestore()) {
        _incompleteSince.reset();
    } else if (!_incompleteSince) {
        _incompleteSince = now;
    }
    // Only the node that wrote a version may rely on it as its claim. If a node continued under the
    // version of another node's claim, both nodes would drive the same promotion.
    if (isDriving() && record.holder != _dependencies.holder) {
        giveUp("another node took the record over", kConflictPause);
    }
}

void GroupFailover::onPrimary(const std::optional<pooling::Primary>& primary) {
    _primary = primary;
    if (primary) {
        _newestTerm = std::max(_newestTerm, primary->term);
        _withoutPrimarySince.reset();
    } else if (!_withoutPrimarySince) {
        _withoutPrimarySince = _dependencies.clock.now();
    }
}

void GroupFailover::onSuspicion(const ServerName& server, pooling::SuspicionReason reason) {
    _suspected = server;
    _suspectedAt = _dependencies.clock.now();
    switch (reason) {
        case pooling::SuspicionReason::Silent:
            _suspicion = FailoverReason::Silent;
            return;
        case pooling::SuspicionReason::Unreachable:
            _suspicion = FailoverReason::Unreachable;
            return;
        case pooling::SuspicionReason::WritesUnanswered:
            _suspicion = FailoverReason::WritesUnanswered;
            return;
        case pooling::SuspicionReason::StatementsLost:
            _suspicion = FailoverReason::StatementsLost;
            return;
    }
}

const ListedServer* GroupFailover::listed(const ServerName& server) const {
    const auto found = _servers.find(server);
    return found == _servers.end() ? nullptr : &found->second;
}

MemberLink& GroupFailover::link(const ServerName& server) {
    std::unique_ptr<MemberLink>& link = _links[server];
    if (!link) {
        link = std::make_unique<MemberLink>(_servers.at(server).announcement.address,
                                            _dependencies.clock, _dependencies.connector,
                                            _dependencies.parser);
    }
    return *link;
}

void GroupFailover::enter(Phase phase) {
    _phase = phase;
    _phaseSince = _dependencies.clock.now();
    _nextTick = _phaseSince;
}

void GroupFailover::giveUp(const char* why, Duration pause) {
    LogEvent("failover", LogLevel::Info, "failover.stopped")
        .field("group", _group)
        .field("reason", describe(_reason))
        .field("why", why)
        .field("record_version", _record.version);
    _links.clear();
    _former.reset();
    _securedAt.reset();
    _claimedUntil = TimePoint{};
    ++_attempt;
    _busy = false;
    _notBefore = _dependencies.clock.now() + pause;
    enter(Phase::Idle);
}

void GroupFailover::onTick(TimePoint now) {
    _nextTick = _phase == Phase::Idle ? nextIdleTick(now) : now + kActiveTickInterval;
    for (const auto& [name, link] : _links) {
        link->onTick(now);
    }
    if (_phase != Phase::Idle && _attemptEra != _dependencies.era.current()) {
        giveUp("the store was restored from an older copy", kConflictPause);
        return;
    }
    switch (_phase) {
        case Phase::Idle:
            onIdleTick(now);
            return;
        case Phase::Checking:
            check(now);
            return;
        case Phase::Awaiting:
            awaitSuccessor(now);
            return;
        case Phase::Loading:
            load();
            return;
        case Phase::Securing:
            secure(now);
            return;
        case Phase::Calling:
            call(now);
            return;
        case Phase::Confirming:
            confirmSuccessor(now);
            return;
        case Phase::Closing:
            closeRecord(now);
            return;
        case Phase::Claiming:
        case Phase::Announcing:
        case Phase::Withdrawing:
            return;
    }
}

void GroupFailover::onIdleTick(TimePoint now) {
    if (mustRestore()) {
        restore(now);
        return;
    }
    const FailoverReason reason = findReason(now);
    const bool acts = isOwnTurn(reason, now) && now >= _notBefore && isClaimable(now);
    if (reason == FailoverReason::None) {
        followDepartures(now);
    } else {
        _departures.stop();
    }
    if (acts) {
        begin(reason, now);
    }
}

void GroupFailover::begin(FailoverReason reason, TimePoint now) {
    _reason = reason;
    _attemptEra = _dependencies.era.current();
    _former.reset();
    _stopping = false;
    _claimedClosed = false;
    if (_primary && _servers.contains(_primary->server)) {
        _former = _primary->server;
    }
    LogEvent("failover", LogLevel::Info, "failover.considered")
        .field("group", _group)
        .field("reason", describe(reason))
        .field("primary", _former ? _former->value() : std::string("none"))
        .field("suitability", describe(_former ? suitabilityOf(*_former) : LeadSuitability{}))
        .field("term", _newestTerm)
        .field("record_version", _record.version);
    if (reason == FailoverReason::Misplaced) {
        enter(Phase::Awaiting);
        return;
    }
    if (needsCheck(reason) && _former) {
        link(*_former).queryStatus();
        enter(Phase::Checking);
        return;
    }
    const auto jitter = milliseconds(_dependencies.random.below(kClaimJitterMs));
    enter(Phase::Loading);
    _nextTick = now + jitter;
}

/** A suspected primary that responds at all is not replaced, except by a planned move. */
void GroupFailover::check(TimePoint now) {
    if (listed(*_former) == nullptr) {
        enter(Phase::Loading);
        return;
    }
    MemberLink& former = link(*_former);
    const std::optional<TimePoint> lastResponse = former.lastResponseAt();
    if (lastResponse && *lastResponse >= _phaseSince && (former.report() || !former.isRefused())) {
        const bool answered = former.report() && former.report()->requestedAt >= _phaseSince;
        if (answered && isMisplaced(now)) {
            _reason = FailoverReason::Misplaced;
            _suspicion = FailoverReason::None;
            enter(Phase::Awaiting);
        } else if (answered || now - _phaseSince > kCheckTimeout) {
            giveUp("the primary answers", kHealthyPause);
        }
        return;
    }
    if (former.isRefused() || now - _phaseSince > kCheckTimeout) {
        enter(Phase::Loading);
    }
}

void GroupFailover::enterSecuring(TimePoint now) {
    LogEvent("failover", LogLevel::Info, "failover.begun")
        .field("group", _group)
        .field("reason", describe(_reason))
        .field("former", _former ? _former->value() : std::string("none"))
        .field("record_version", _record.version);
    _nextRefreshAt = isClaimed(now) ? now + kRefreshInterval : now;
    _securedAt.reset();
    enter(Phase::Securing);
    secure(now);
}

/** @return whether lists have arrived for long enough to name every running server. */
bool GroupFailover::hasSettledList(TimePoint now) const {
    return _listedSince && now - *_listedSince >= kListSettlingTime;
}

void GroupFailover::secure(TimePoint now) {
    refreshRecord(now);
    requestStatuses(now);
    if (isPlanned(_reason) && !_stopping && !isSuccessorReady(now)) {
        if (now - _phaseSince < claimTimeout()) {
            return;
        }
        // A primary that no longer responds is replaced like one that has failed.
        if (_reason == FailoverReason::Misplaced && _claimedClosed && _former &&
            listed(*_former) != nullptr && isCurrent(link(*_former), now) && !_busy) {
            withdraw();
            return;
        }
    }
    if (successorLeads()) {
        enter(Phase::Confirming);
        return;
    }
    _stopping = true;
    orderStepDown();
    // Evaluated in each step, because a replica that restarts loses the order to stop receiving.
    const CommitQuorum quorum = viewMembers(now);
    logWaiting(quorum, now);
    if (quorum.mayAcknowledge()) {
        _securedAt.reset();
        pauseReceivers(quorum, now);
        return;
    }
    _securedAt = _securedAt.value_or(now);
    if (mayStillAcknowledge(quorum, now)) {
        return;
    }
    const std::optional<ServerName> successor = chooseSuccessor(quorum, now);
    if (successor && !_busy && hasSettledList(now) && !mustAwaitCall(*successor, now)) {
        _successor = *successor;
        announce(now);
    }
}

}  // namespace coralhoist::failover
