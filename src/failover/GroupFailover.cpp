#include "failover/GroupFailover.h"

#include <algorithm>
#include <utility>

#include "base/Backoff.h"
#include "base/Log.h"
#include "failover/FailoverTiming.h"

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;
using pooling::PromotionPhase;
using pooling::ServerCommand;
using std::chrono::milliseconds;

bool needsCheck(FailoverReason reason) {
    return reason == FailoverReason::Silent || reason == FailoverReason::Unreachable;
}

}  // namespace

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
    }
    return "unknown";
}

namespace {

/** All groups of a node are looked at in the same moments, so that their number costs no wake-ups.
 */
TimePoint nextIdleTick(TimePoint now) {
    return now - now.time_since_epoch() % kIdleStep + kIdleStep;
}

}  // namespace

GroupFailover::GroupFailover(GroupName group, FailoverDependencies dependencies)
    : _group(std::move(group)),
      _dependencies(std::move(dependencies)),
      _alive(std::make_shared<bool>(true)),
      _nextTick(_dependencies.clock.now()) {}

GroupFailover::~GroupFailover() = default;

/** A list may lack servers that live: who was listed once is kept as removed for a while. */
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
        if (now - vanished.removedAt < kForgottenAfter) {
            known.emplace(name, vanished);
        }
    }
    _servers = std::move(known);
    std::erase_if(_links, [this](const auto& entry) { return listed(entry.first) == nullptr; });
    _nextTick = std::min(_nextTick, now);
}

void GroupFailover::onRecord(const PromotionRecord& record) {
    if (record.version <= _record.version) {
        return;
    }
    const bool announces = pooling::announcesAnew(_record.notice(), record.notice());
    _record = record;
    _recordSeenAt = _dependencies.clock.now();
    if (announces) {
        _announcementSeenAt = _recordSeenAt;
    }
    // The version is a claim only for whoever wrote it. Who went on under the version of another
    // node's claim drove the same promotion beside that node.
    if (isDriving() && record.holder != _dependencies.holder) {
        giveUp("another node took the record over", kConflictPause);
    }
}

/** @return whether the record is this node's claim to promote. */
bool GroupFailover::isDriving() const {
    switch (_phase) {
        case Phase::Idle:
        case Phase::Checking:
        case Phase::Loading:
            return false;
        case Phase::Claiming:
        case Phase::Securing:
        case Phase::Announcing:
        case Phase::Calling:
        case Phase::Confirming:
        case Phase::Closing:
            return true;
    }
    return false;
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
    ++_attempt;
    _busy = false;
    _notBefore = _dependencies.clock.now() + pause;
    enter(Phase::Idle);
}

void GroupFailover::onTick(TimePoint now) {
    _nextTick = _phase == Phase::Idle ? nextIdleTick(now) : now + kBusyStep;
    for (const auto& [name, link] : _links) {
        link->onTick(now);
    }
    switch (_phase) {
        case Phase::Idle:
            if (const FailoverReason reason = findReason(now);
                isOwnTurn(reason, now) && now >= _notBefore) {
                begin(reason, now);
            }
            return;
        case Phase::Checking:
            check(now);
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
            return;
    }
}

void GroupFailover::begin(FailoverReason reason, TimePoint now) {
    _reason = reason;
    _former.reset();
    if (_primary && _servers.contains(_primary->server)) {
        _former = _primary->server;
    }
    LogEvent("failover", LogLevel::Info, "failover.considered")
        .field("group", _group)
        .field("reason", describe(reason))
        .field("primary", _former ? _former->value() : std::string("none"))
        .field("term", _newestTerm)
        .field("record_version", _record.version);
    if (needsCheck(reason) && _former) {
        link(*_former).request(ServerCommand::Kind::Status);
        enter(Phase::Checking);
        return;
    }
    const auto jitter = milliseconds(_dependencies.random.below(kClaimJitterMs));
    enter(Phase::Loading);
    _nextTick = now + jitter;
}

/** A suspected primary that answers anything at all is left alone. */
void GroupFailover::check(TimePoint now) {
    MemberLink& former = link(*_former);
    const std::optional<TimePoint> heard = former.heardAt();
    if (heard && *heard >= _phaseSince && (former.report() || !former.isRefused())) {
        const bool answered = former.report() && former.report()->askedAt >= _phaseSince;
        if (answered || now - _phaseSince > kCheckPatience) {
            giveUp("the primary answers", kHealthyPause);
        }
        return;
    }
    if (former.isRefused() || now - _phaseSince > kCheckPatience) {
        enter(Phase::Loading);
    }
}

void GroupFailover::load() {
    if (_busy) {
        return;
    }
    _busy = true;
    _dependencies.store.load(_group, [this, alive = std::weak_ptr<bool>(_alive),
                                      attempt = _attempt](const LoadedRecord& loaded) {
        if (!alive.expired() && attempt == _attempt) {
            _busy = false;
            onLoaded(loaded);
        }
    });
}

void GroupFailover::onLoaded(const LoadedRecord& loaded) {
    if (_phase != Phase::Loading) {
        return;
    }
    const TimePoint now = _dependencies.clock.now();
    if (loaded.outcome != StoreOutcome::Done) {
        // Without the store nothing is promoted: nobody could know who may.
        _storePause = nextBackoff(_storePause, kStorePause, kLongestStorePause);
        giveUp("the store can't be read", _storePause);
        return;
    }
    _storePause = Duration(0);
    onRecord(loaded.record);
    // A record of an earlier life is taken over by a claim of this one.
    const bool own = _record.holder == _dependencies.holder;
    if (_record.phase == PromotionPhase::None) {
        if (mustLeaveToHolder(now)) {
            giveUp("another node has just promoted", kConflictPause);
            return;
        }
        claim(now);
    } else if (own) {
        // An announcement of its own may be old: what it rests on is looked at again.
        _successor = _record.successor;
        _announcedVersion = _record.version;
        enterSecuring(now);
    } else if (isOwn(_record) || now - _recordSeenAt > kTakeOverAfter) {
        claim(now);
    } else {
        giveUp("another node is at it", kConflictPause);
    }
}

void GroupFailover::save(PromotionRecord record,
                         void (GroupFailover::*done)(const SavedRecord&, TimePoint)) {
    _busy = true;
    record.holder = _dependencies.holder;
    ++record.renewals;
    const TimePoint askedAt = _dependencies.clock.now();
    _dependencies.store.save(_group, record,
                             [this, alive = std::weak_ptr<bool>(_alive), record, done, askedAt,
                              attempt = _attempt](const SavedRecord& saved) {
                                 if (alive.expired()) {
                                     return;
                                 }
                                 if (saved.outcome == StoreOutcome::Done) {
                                     PromotionRecord written = record;
                                     written.version = saved.version;
                                     onRecord(written);
                                 }
                                 if (attempt == _attempt) {
                                     _busy = false;
                                     (this->*done)(saved, askedAt);
                                 }
                             });
}

void GroupFailover::claim(TimePoint /*now*/) {
    PromotionRecord record = _record;
    // An announced successor may lead already; its announcement stays until another follows.
    record.phase = record.phase == PromotionPhase::Promoting ? PromotionPhase::Promoting
                                                             : PromotionPhase::Preparing;
    enter(Phase::Claiming);
    save(record, &GroupFailover::onClaimed);
}

void GroupFailover::onClaimed(const SavedRecord& saved, TimePoint /*askedAt*/) {
    const bool overtaken = _record.holder != _dependencies.holder;
    if (saved.outcome == StoreOutcome::Done && !overtaken) {
        _announcedVersion = saved.version;
        enterSecuring(_dependencies.clock.now());
        return;
    }
    giveUp(saved.outcome == StoreOutcome::Conflict ? "another node was first"
                                                   : "the store did not take the claim",
           saved.outcome == StoreOutcome::Conflict ? kConflictPause : kStorePause);
}

void GroupFailover::enterSecuring(TimePoint now) {
    LogEvent("failover", LogLevel::Info, "failover.begun")
        .field("group", _group)
        .field("reason", describe(_reason))
        .field("former", _former ? _former->value() : std::string("none"))
        .field("record_version", _record.version);
    _refreshedAt = now;
    _securedAt.reset();
    _stopping = false;
    enter(Phase::Securing);
    secure(now);
}

void GroupFailover::refreshRecord(TimePoint now) {
    if (!_busy && now - _refreshedAt > kRefreshEvery) {
        _refreshedAt = now;
        save(_record, &GroupFailover::onRefreshed);
    }
}

void GroupFailover::onRefreshed(const SavedRecord& saved, TimePoint /*askedAt*/) {
    if (saved.outcome == StoreOutcome::Conflict && _phase == Phase::Securing) {
        giveUp("another node took the record over", kConflictPause);
    }
}

/** Asks every server for its status whose last answer is older than a few steps. */
void GroupFailover::askAll(TimePoint now) {
    for (const auto& [name, server] : _servers) {
        MemberLink& member = link(name);
        if (!member.report() || now - member.report()->askedAt >= kStatusEvery) {
            member.request(ServerCommand::Kind::Status);
        }
    }
}

/** @return whether lists have come for long enough to name every server that lives. */
bool GroupFailover::isSettled(TimePoint now) const {
    return _listedSince && now - *_listedSince >= kListSettles;
}

void GroupFailover::logWaiting(const CommitQuorum& quorum, TimePoint now) {
    if (now - std::max(_waitingLoggedAt, _phaseSince) < kWaitingLogEvery) {
        return;
    }
    _waitingLoggedAt = now;
    LogEvent("failover", LogLevel::Info, "failover.waiting")
        .field("group", _group)
        .field("may_acknowledge", quorum.mayAcknowledge() ? "yes" : "no")
        .field("members", describeMembers(quorum, now));
}

void GroupFailover::secure(TimePoint now) {
    refreshRecord(now);
    askAll(now);
    if (_reason == FailoverReason::Leaving && !_stopping && !isSuccessorReady(now) &&
        now - _phaseSince < kLeavingPatience) {
        return;
    }
    if (successorLeads()) {
        enter(Phase::Confirming);
        return;
    }
    _stopping = true;
    orderFormers();
    // Looked at in each step: a replica that restarts has forgotten that it was paused.
    const CommitQuorum quorum = viewMembers(now);
    logWaiting(quorum, now);
    if (quorum.mayAcknowledge()) {
        _securedAt.reset();
        pauseReceivers(quorum, now);
        return;
    }
    _securedAt = _securedAt.value_or(now);
    const std::optional<ServerName> successor = chooseSuccessor(quorum, now);
    if (successor && !_busy && isSettled(now) && !mustAwaitCall(*successor, now)) {
        _successor = *successor;
        announce(now);
    }
}

}  // namespace coralhoist::failover
