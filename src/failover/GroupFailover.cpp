#include "failover/GroupFailover.h"

#include <algorithm>
#include <utility>

#include "base/Log.h"

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;
using pooling::PromotionPhase;
using pooling::ServerCommand;
using std::chrono::milliseconds;

/** Time between steps while a promotion runs, and between looks while none does. */
constexpr Duration kBusyStep = milliseconds(15);
constexpr Duration kIdleStep = milliseconds(60);
/** A suspected primary that says nothing for so long is replaced. */
constexpr Duration kCheckPatience = milliseconds(350);
/** Without any known primary for so long, one is promoted. */
constexpr Duration kNoPrimaryPatience = milliseconds(600);
/** A record that its holder has not changed for so long may be taken over. */
constexpr Duration kTakeOverAfter = milliseconds(3300);
/** After a promotion, nobody but its holder promotes for so long: holders don't take turns. */
constexpr Duration kHolderTime = milliseconds(3300);
/** A primary that leaves is not stopped for so long while no successor has caught up with it. */
constexpr Duration kLeavingPatience = milliseconds(1500);
/** Longest time from asking for the announcement to the call of the promotion. */
constexpr Duration kCallMargin = milliseconds(800);
/** Time after which the holder shows in the record that it still drives the promotion. */
constexpr Duration kRefreshEvery = milliseconds(900);
/** The successor must lead within this time of the call. */
constexpr Duration kConfirmPatience = milliseconds(2500);
/** A server that was not running is not chosen again for this time. */
constexpr Duration kNotRunningPause = milliseconds(1000);
/** Pauses after an attempt that did not lead to a promotion. */
constexpr Duration kHealthyPause = milliseconds(600);
constexpr Duration kConflictPause = milliseconds(250);
constexpr Duration kStorePause = milliseconds(150);
/** Random part of the delay before a record is claimed: nodes see the same signs at once. */
constexpr std::uint64_t kClaimJitterMs = 60;
/** Suspicions older than this no longer count. */
constexpr Duration kSuspicionHolds = milliseconds(250);

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

void GroupFailover::onDirectory(const pooling::ServerDirectory::Servers& servers) {
    _servers = servers;
    _nextTick = std::min(_nextTick, _dependencies.clock.now());
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
    _formerPosition.reset();
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
                reason != FailoverReason::None && now >= _notBefore) {
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

FailoverReason GroupFailover::findReason(TimePoint now) const {
    if (_servers.empty()) {
        return FailoverReason::None;
    }
    if (_record.phase != PromotionPhase::None) {
        const bool stale = now - _recordSeenAt > kTakeOverAfter;
        return isOwn(_record) || stale ? FailoverReason::Abandoned : FailoverReason::None;
    }
    if (mustLeaveToHolder(now)) {
        return FailoverReason::None;
    }
    if (!_primary) {
        const bool lasting =
            _withoutPrimarySince && now - *_withoutPrimarySince > kNoPrimaryPatience;
        return lasting ? FailoverReason::NoPrimary : FailoverReason::None;
    }
    const ListedServer* primary = listed(_primary->server);
    if (primary != nullptr && (primary->announcement.draining || primary->removed) &&
        hasStayingServer()) {
        return FailoverReason::Leaving;
    }
    const bool suspected = _suspected == _primary->server && now - _suspectedAt < kSuspicionHolds;
    return suspected ? _suspicion : FailoverReason::None;
}

/** @return whether this node, in this life or an earlier one, wrote the record. */
bool GroupFailover::isOwn(const PromotionRecord& record) const {
    return record.holder.rfind(_dependencies.node + "/", 0) == 0;
}

/** @return whether another node has promoted so lately that holders would take turns. */
bool GroupFailover::mustLeaveToHolder(TimePoint now) const {
    return _record.term > 0 && !isOwn(_record) && now - _recordSeenAt < kHolderTime;
}

/** @return whether there is a server to replace the primary. */
bool GroupFailover::hasStayingServer() const {
    return std::any_of(_servers.begin(), _servers.end(), [this](const auto& entry) {
        const ListedServer& server = entry.second;
        return !server.removed && !server.announcement.draining && entry.first != _primary->server;
    });
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
    const TimePoint askedAt = _dependencies.clock.now();
    _dependencies.store.load(
        _group, [this, alive = std::weak_ptr<bool>(_alive), askedAt](const LoadedRecord& loaded) {
            if (!alive.expired()) {
                _busy = false;
                onLoaded(loaded, askedAt);
            }
        });
}

void GroupFailover::onLoaded(const LoadedRecord& loaded, TimePoint askedAt) {
    if (_phase != Phase::Loading) {
        return;
    }
    const TimePoint now = _dependencies.clock.now();
    if (loaded.outcome != StoreOutcome::Done) {
        // Without the store nothing is promoted: nobody could know who may.
        giveUp("the store can't be read", kStorePause);
        return;
    }
    const bool changed = loaded.record.version > _record.version;
    if (changed) {
        _record = loaded.record;
        _recordSeenAt = now;
    }
    // A record of an earlier life is taken over by a claim of this one.
    const bool own = _record.holder == _dependencies.holder;
    if (_record.phase == PromotionPhase::None) {
        if (mustLeaveToHolder(now)) {
            giveUp("another node has just promoted", kConflictPause);
            return;
        }
        claim(now);
    } else if (own && _record.phase == PromotionPhase::Promoting) {
        _successor = _record.successor;
        _successorTerm = _record.term;
        _successorPosition = _record.base;
        _announcedAt = askedAt;
        enter(Phase::Calling);
    } else if (own) {
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
    const TimePoint askedAt = _dependencies.clock.now();
    _dependencies.store.save(_group, record,
                             [this, alive = std::weak_ptr<bool>(_alive), record, done,
                              askedAt](const SavedRecord& saved) {
                                 if (alive.expired()) {
                                     return;
                                 }
                                 _busy = false;
                                 if (saved.outcome == StoreOutcome::Done) {
                                     PromotionRecord written = record;
                                     written.version = saved.version;
                                     onRecord(written);
                                 }
                                 (this->*done)(saved, askedAt);
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
    if (saved.outcome == StoreOutcome::Done) {
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
    _formerPosition.reset();
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

void GroupFailover::secure(TimePoint now) {
    refreshRecord(now);
    for (const auto& [name, server] : _servers) {
        MemberLink& member = link(name);
        const bool fresh = member.report() && now - member.report()->askedAt < kBusyStep * 4;
        if (!fresh) {
            member.request(ServerCommand::Kind::Status);
        }
    }
    if (_reason == FailoverReason::Leaving && !isSuccessorReady(now) &&
        now - _phaseSince < kLeavingPatience) {
        return;
    }
    orderFormers();
    if (successorLeads()) {
        enter(Phase::Confirming);
        return;
    }
    // Looked at in each step: a replica that restarts has forgotten that it was paused.
    if (!isFormerHarmless(now)) {
        _securedAt.reset();
        return;
    }
    _securedAt = _securedAt.value_or(now);
    if (const std::optional<ServerName> successor = chooseSuccessor(now); successor && !_busy) {
        _successor = *successor;
        announce(now);
    }
}

/** @return the record under the known version, with the chosen successor. */
PromotionRecord GroupFailover::recordOfSuccessor(PromotionPhase phase) const {
    PromotionRecord record = _record;
    record.phase = phase;
    record.successor = _successor;
    record.term = _successorTerm;
    record.base = _successorPosition;
    return record;
}

void GroupFailover::announce(TimePoint /*now*/) {
    _successorTerm = nextTerm();
    _successorPosition = link(_successor).report()->report.received;
    const PromotionRecord record = recordOfSuccessor(PromotionPhase::Promoting);
    LogEvent("failover", LogLevel::Info, "failover.successor_chosen")
        .field("group", _group)
        .field("successor", _successor)
        .field("term", _successorTerm)
        .field("former", _former ? _former->value() : std::string("none"))
        .field("former_position", _formerPosition ? _formerPosition->position : 0)
        .field("secured_by", _formerPosition ? "step_down" : "paused_receivers")
        .field("members", describeMembers());
    enter(Phase::Announcing);
    save(record, &GroupFailover::onAnnounced);
}

void GroupFailover::onAnnounced(const SavedRecord& saved, TimePoint askedAt) {
    switch (saved.outcome) {
        case StoreOutcome::Done:
            _announcedAt = askedAt;
            enter(Phase::Calling);
            return;
        case StoreOutcome::Conflict:
            // It may have been written by a call whose answer was lost.
            enter(Phase::Loading);
            return;
        case StoreOutcome::Unavailable:
        case StoreOutcome::Unknown:
            enter(Phase::Loading);
            _nextTick = _dependencies.clock.now() + kStorePause;
            return;
    }
}

void GroupFailover::call(TimePoint now) {
    if (_busy) {
        return;
    }
    if (now - _announcedAt > kCallMargin) {
        const PromotionRecord record = recordOfSuccessor(PromotionPhase::Promoting);
        enter(Phase::Announcing);
        save(record, &GroupFailover::onAnnounced);
        return;
    }
    _busy = true;
    LogEvent("failover", LogLevel::Info, "failover.promote_called")
        .field("group", _group)
        .field("successor", _successor)
        .field("fence", _record.version);
    _dependencies.caller.promote(
        _group, _successor, _record.version,
        [this, alive = std::weak_ptr<bool>(_alive)](PromoteOutcome outcome) {
            if (!alive.expired()) {
                _busy = false;
                onCalled(outcome);
            }
        });
}

void GroupFailover::onCalled(PromoteOutcome outcome) {
    const TimePoint now = _dependencies.clock.now();
    switch (outcome) {
        case PromoteOutcome::Accepted:
            enter(Phase::Confirming);
            return;
        case PromoteOutcome::NotRunning:
            LogEvent("failover", LogLevel::Warning, "failover.successor_not_running")
                .field("group", _group)
                .field("successor", _successor);
            _notRunning[_successor] = now + kNotRunningPause;
            enterSecuring(now);
            return;
        case PromoteOutcome::Unavailable:
        case PromoteOutcome::Unknown:
            _nextTick = now + kBusyStep * 3;
            return;
    }
}

void GroupFailover::confirmSuccessor(TimePoint now) {
    if (!_servers.contains(_successor)) {
        enterSecuring(now);
        return;
    }
    MemberLink& successor = link(_successor);
    const std::optional<MemberAnswer>& report = successor.report();
    const ListedServer* server = listed(_successor);
    const bool announced = server != nullptr && !server->removed &&
                           server->announcement.role == pooling::ServerRole::Primary;
    if (announced || (report && report->report.primary && report->askedAt >= _phaseSince)) {
        if (report && report->report.primary) {
            _successorTerm = report->report.term;
        }
        ++_promotions;
        LogEvent("failover", LogLevel::Info, "failover.successor_leads")
            .field("group", _group)
            .field("successor", _successor)
            .field("term", _successorTerm);
        enter(Phase::Closing);
        return;
    }
    if (now - _phaseSince > kConfirmPatience) {
        _notRunning[_successor] = now + kNotRunningPause;
        enterSecuring(now);
        return;
    }
    const bool due = !report || now - report->askedAt > kBusyStep * 3;
    if (due) {
        successor.request(ServerCommand::Kind::Status);
    }
}

/**
 * Not before the announcement is older than the lease: whoever sees the closed record may conclude
 * that no proof of an earlier primary's leadership is left (LeadershipTracker::confirmByRecord).
 */
void GroupFailover::closeRecord(TimePoint now) {
    if (_busy || now < _announcementSeenAt + pooling::kLeadershipLease) {
        return;
    }
    const PromotionRecord record = recordOfSuccessor(PromotionPhase::None);
    save(record, &GroupFailover::onClosed);
}

void GroupFailover::onClosed(const SavedRecord& saved, TimePoint /*askedAt*/) {
    if (saved.outcome == StoreOutcome::Done) {
        giveUp("done", kHealthyPause);
        return;
    }
    if (saved.outcome == StoreOutcome::Conflict) {
        giveUp("the record was changed", kConflictPause);
        return;
    }
    _nextTick = _dependencies.clock.now() + kStorePause;
}

}  // namespace coralhoist::failover
