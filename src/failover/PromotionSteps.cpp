/**
 * Steps of a promotion after the former primary is kept from committing: announce, call, confirm,
 * close.
 */
#include <algorithm>
#include <utility>

#include "base/Log.h"
#include "failover/FailoverTiming.h"
#include "failover/GroupFailover.h"

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;
using pooling::PromotionPhase;
using pooling::ServerCommand;

/**
 * A paused replica that cannot be ordered to receive again delays the end of the promotion for this
 * time at most.
 */
constexpr Duration kResumeTimeout = std::chrono::milliseconds(500);

}  // namespace

/** @return the record under the known version, with the chosen successor. */
PromotionRecord GroupFailover::recordOfSuccessor(PromotionPhase phase) const {
    PromotionRecord record = _record;
    record.phase = phase;
    record.successor = _successor;
    record.term = _successorTerm;
    record.base = _successorPosition;
    nameMembers(record, _dependencies.clock.now());
    return record;
}

void GroupFailover::announce(TimePoint now) {
    const CommitQuorum quorum = viewMembers(now);
    _successorTerm = termToAnnounce();
    _successorPosition = link(_successor).report()->report.received;
    PromotionRecord record = recordOfSuccessor(PromotionPhase::Promoting);
    record.confirmedIn = record.version.era;
    record.leasesExpired = hasLeasesExpired(now);
    LogEvent("failover", LogLevel::Info, "failover.successor_chosen")
        .field("group", _group)
        .field("successor", _successor)
        .field("term", _successorTerm)
        .field("suitability", describe(suitabilityOf(_successor)))
        .field("former", _former ? _former->value() : std::string("none"))
        .field("former_suitability",
               describe(_former ? suitabilityOf(*_former) : LeadSuitability{}))
        .field("reason", describe(_reason))
        .field("secured_by", quorum.formerLeader() != nullptr ? "step_down" : "paused_receivers")
        .field("members", describeMembers(quorum, now))
        .field("record_version", _record.version)
        .field("record_holder", _record.holder);
    enter(Phase::Announcing);
    save(record, &GroupFailover::onAnnounced);
}

void GroupFailover::onAnnounced(const SavedRecord& saved, TimePoint requestedAt) {
    switch (saved.outcome) {
        case StoreOutcome::Done:
            _announcedAt = requestedAt;
            _announcedVersion = saved.version;
            enter(Phase::Calling);
            return;
        case StoreOutcome::Conflict:
            // The conflict may stem from an own write whose response was lost.
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
        // The members' states on which the choice is based may have changed since, because a
        // replica that restarts receives again.
        enterSecuring(now);
        return;
    }
    _busy = true;
    LogEvent("failover", LogLevel::Info, "failover.promote_called")
        .field("group", _group)
        .field("successor", _successor)
        .field("fence", _record.version.token());
    _dependencies.caller.promote(
        {_group, _successor, _record.version.token(), _announcedAt + kCallMargin},
        [this, alive = std::weak_ptr<bool>(_alive), now,
         attempt = _attempt](PromoteOutcome outcome) {
            if (!alive.expired() && attempt == _attempt) {
                _busy = false;
                onCalled(outcome, now);
            }
        });
}

void GroupFailover::onCalled(PromoteOutcome outcome, TimePoint calledAt) {
    const TimePoint now = _dependencies.clock.now();
    LogEvent("failover", LogLevel::Info, "failover.promote_answered")
        .field("group", _group)
        .field("successor", _successor)
        .field("outcome", describe(outcome))
        .field("took_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(now - calledAt).count());
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
        case PromoteOutcome::Unknown:
            _unansweredCallAt = now;
            _nextTick = now + kActiveTickInterval * 3;
            return;
        case PromoteOutcome::Unavailable:
            _nextTick = now + kActiveTickInterval * 3;
            return;
    }
}

void GroupFailover::confirmSuccessor(TimePoint now) {
    if (!_servers.contains(_successor)) {
        enterSecuring(now);
        return;
    }
    MemberLink& successor = link(_successor);
    const std::optional<MemberResponse>& report = successor.report();
    const ListedServer* server = listed(_successor);
    // An earlier server announcement belongs to an earlier leadership of the same server.
    const bool announced = server != nullptr && !server->removed &&
                           server->announcement.version > _announcedVersion &&
                           server->announcement.role == pooling::ServerRole::Primary;
    if (announced || (report && report->report.primary && report->requestedAt >= _phaseSince)) {
        if (report && report->report.primary) {
            // If an announcement took no effect, the successor leads a lower term. The record keeps
            // the announced term, because a record with a lower term would be taken for an older
            // one.
            _successorTerm = std::max(_successorTerm, report->report.term);
        }
        ++_promotions;
        noteMoved(now);
        LogEvent("failover", LogLevel::Info, "failover.successor_leads")
            .field("group", _group)
            .field("successor", _successor)
            .field("term", _successorTerm);
        enter(Phase::Closing);
        return;
    }
    if (now - _phaseSince > kConfirmTimeout) {
        _notRunning[_successor] = now + kNotRunningPause;
        enterSecuring(now);
        return;
    }
    const bool due = !report || now - report->requestedAt > kActiveTickInterval * 3;
    if (due) {
        successor.queryStatus();
    }
}

/**
 * Orders the replicas to receive again that would stay paused after the promotion. An order to stop
 * receiving names a term above every announced term, and keeps the replica from receiving from a
 * leader of a lower term. If an announcement took no effect, the successor leads a lower term, and
 * the replica would stay paused.
 * @return whether a replica that this promotion paused is not known to receive again.
 */
bool GroupFailover::resumeReceivers(TimePoint now) {
    const auto successor = _links.find(_successor);
    const bool isTermKnown = successor != _links.end() && isCurrent(*successor->second, now) &&
                             successor->second->report()->report.primary;
    const Term ledTerm = isTermKnown ? successor->second->report()->report.term : _successorTerm;
    bool anyPaused = false;
    for (const auto& [name, member] : _links) {
        const bool current = isCurrent(*member, now);
        const bool outlasts = current && member->report()->report.heldTerm > ledTerm;
        const bool mayBePaused = member->paused() && (!current || !isTermKnown);
        if (outlasts) {
            member->order(ServerCommand::Kind::Resume, 0, _claimedUntil);
        }
        anyPaused |= name != _successor && (outlasts || mayBePaused);
    }
    return anyPaused;
}

/**
 * Closes the record, but not before the leases of earlier primaries have expired: a node that sees
 * the closed record may conclude that no proof of an earlier primary's leadership is valid any more
 * (LeadershipTracker::confirmByRecord).
 */
void GroupFailover::closeRecord(TimePoint now) {
    if (!isClaimed(now)) {
        // Receivers may have to be ordered to resume, and that takes a claim.
        refreshRecord(now);
        return;
    }
    requestStatuses(now);
    const bool awaitsReceivers = resumeReceivers(now) && now - _phaseSince < kResumeTimeout;
    const bool mayBeRead =
        !_record.leasesExpired && now < _announcementSeenAt + pooling::kLeadershipLease;
    if (_busy || awaitsReceivers || mayBeRead) {
        return;
    }
    const PromotionRecord record = recordOfSuccessor(PromotionPhase::None);
    save(record, &GroupFailover::onClosed);
}

void GroupFailover::onClosed(const SavedRecord& saved, TimePoint /*requestedAt*/) {
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
