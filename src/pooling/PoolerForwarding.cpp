/** Units of work that other nodes execute, and those that this node executes for others. */
#include <algorithm>
#include <utility>

#include "base/Log.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {

/** @return whether another node executes the statement, or the transaction that it opens. */
bool StatementPooler::forward(PooledSession& session) {
    return !executesHere(session.group) && forwardToOther(session);
}

/**
 * @return whether another executor was found; a unit that was forwarded to this node is not
 * forwarded again.
 */
bool StatementPooler::forwardToOther(PooledSession& session) {
    if (session.forwarded || _forwarder == nullptr) {
        return false;
    }
    const std::optional<NodeName> executor = chooseExecutor(session);
    if (!executor) {
        return false;
    }
    Operation& operation = *session.operation;
    SessionTransaction& transaction = session.transaction;
    const UnitId unit(++_lastUnit);
    const UnitOpening opening = unitOpening(session);
    _units[unit] = session.id;
    operation.unit = unit;
    operation.executor = *executor;
    operation.connection = ConnectionId();
    operation.server = ServerName();
    if (transaction.phase == TransactionPhase::Unstarted) {
        transaction.phase = TransactionPhase::Open;
        transaction.unit = unit;
        transaction.executor = *executor;
    }
    noteForwarded(session);
    _forwarder->open(unit, *executor, opening, unitStatement(session));
    return true;
}

/** @return the first executor that appears to accept units and has not declined this statement. */
std::optional<NodeName> StatementPooler::chooseExecutor(const PooledSession& session) const {
    const std::vector<NodeName>& preference = _placement.preferenceOf(session.group);
    const auto chosen =
        std::find_if(preference.begin(), preference.end(), [&](const NodeName& node) {
            return !session.operation->avoidedExecutors.contains(node) &&
                   _forwarder->canReach(node) && mayForwardTo(session, node);
        });
    return chosen == preference.end() ? std::nullopt : std::optional<NodeName>(*chosen);
}

/** Forwards a further statement of a transaction that another node has opened. */
void StatementPooler::forwardInTransaction(PooledSession& session) {
    if (!mayForwardTo(session, session.transaction.executor)) {
        ++_statistics.transactionsEndedByPlacement;
        endUnit(session.transaction.unit);
        if (session.operation->statement.verb == StatementVerb::Commit) {
            forgetTransaction(session);
        } else {
            failTransaction(session);
        }
        replyError(session, StatementFault::Aborted, "its node must not be shown the statement");
        return;
    }
    session.operation->unit = session.transaction.unit;
    noteForwarded(session);
    _forwarder->submit(*session.transaction.unit, unitStatement(session));
}

bool StatementPooler::mayForwardTo(const PooledSession& session, const NodeName& node) const {
    return _policy == nullptr ||
           _policy->mayForwardTo(placedUnit(session, false), _placement.zoneOf(node));
}

void StatementPooler::noteForwarded(PooledSession& session) {
    Operation& operation = *session.operation;
    operation.phase = OperationPhase::Sent;
    operation.sentAt = _clock.now();
    session.transaction.wrote = session.transaction.wrote || operation.writes;
    ++_statistics.forwarded;
    wakeAt(session, operation.deadline);
}

UnitStatement StatementPooler::unitStatement(const PooledSession& session) const {
    const Statement& statement = session.operation->statement;
    UnitStatement result{statement, session.values, std::nullopt};
    if (statement.verb == StatementVerb::Execute) {
        result.shape = session.prepared.at(statement.name);
    }
    return result;
}

UnitOpening StatementPooler::unitOpening(const PooledSession& session) const {
    UnitOpening opening;
    opening.service = session.service;
    opening.group = session.group;
    opening.tenant = session.tenant;
    opening.settings = session.settings;
    const Operation& operation = *session.operation;
    const Duration remaining = operation.deadline - _clock.now() - _knobs.forwardingMargin;
    opening.waited = _clock.now() - operation.firstRequestedAt;
    opening.usefulFor = std::max(operation.usefulUntil - _clock.now() - _knobs.forwardingMargin,
                                 _knobs.forwardingMargin);
    opening.settings.statementTimeout = std::max(remaining, _knobs.forwardingMargin);
    opening.ownFloor = session.ownFloors.floorOf(session.group);
    if (session.ownFloors.mayLackCommits(session.group)) {
        opening.settings.maxStaleness = Duration(0);
    }
    if (session.transaction.phase == TransactionPhase::Unstarted) {
        opening.begin = session.transaction.begin;
    }
    return opening;
}

void StatementPooler::onUnitResult(UnitId unit, UnitResult result) {
    const auto found = _units.find(unit);
    PooledSession* session = found == _units.end() ? nullptr : findSession(found->second);
    if (session == nullptr || !session->operation || session->operation->unit != unit) {
        return;
    }
    session->ownFloors.raise(session->group, result.ownFloor);
    SessionTransaction& transaction = session->transaction;
    const bool ended = result.result.state != SessionState::InTransaction;
    if (ended) {
        // The executing node has closed the unit, so nothing is left to be ended there.
        _units.erase(found);
        transaction.unit.reset();
    }
    if (result.result.state == SessionState::Failed) {
        failTransaction(*session);
    } else if (ended && transaction.phase == TransactionPhase::Open) {
        forgetTransaction(*session);
    }
    finishOperation(*session, std::move(result.result));
    settle();
}

void StatementPooler::onUnitLost(UnitId unit, UnitLoss loss) {
    const auto found = _units.find(unit);
    PooledSession* session = found == _units.end() ? nullptr : findSession(found->second);
    if (found != _units.end()) {
        _units.erase(found);
    }
    if (session == nullptr) {
        return;
    }
    session->transaction.unit.reset();
    if (!session->operation) {
        failTransaction(*session);
        return;
    }
    Operation& operation = *session->operation;
    operation.unit.reset();
    operation.avoidedExecutors.insert(operation.executor);
    LogEvent("pooling", LogLevel::Info, "unit.lost")
        .field("request", operation.statement.id)
        .field("group", session->group)
        .field("executor", operation.executor)
        .field("taken", loss != UnitLoss::NotTaken);
    if (loss == UnitLoss::NotTaken) {
        if (session->transaction.phase == TransactionPhase::Open) {
            session->transaction.phase = TransactionPhase::Unstarted;
            session->transaction.wrote = false;
        }
        requeue(*session, "executor_declined");
    } else {
        onSentLost(*session, "the executing node was lost");
    }
    settle();
}

void StatementPooler::reviewForwarded(PooledSession& session, TimePoint now) {
    const Operation& operation = *session.operation;
    if (now < operation.deadline) {
        wakeAt(session, operation.deadline);
        return;
    }
    giveUp(session, "no answer of the executing node within the statement timeout");
}

void StatementPooler::endUnit(std::optional<UnitId>& unit) {
    if (!unit) {
        return;
    }
    if (_units.erase(*unit) > 0) {
        _forwarder->end(*unit);
    }
    unit.reset();
}

SessionId StatementPooler::openUnit(const UnitOpening& opening) {
    const SessionId id(++_lastSession);
    PooledSession& session = _sessions[id];
    session.id = id;
    session.service = opening.service;
    session.group = opening.group;
    session.tenant = opening.tenant;
    session.settings = opening.settings;
    session.ownFloors.raise(session.group, opening.ownFloor);
    session.waited = opening.waited;
    session.usefulFor = opening.usefulFor;
    session.activeAt = _clock.now();
    session.forwarded = true;
    if (opening.begin) {
        startTransaction(session, *opening.begin);
    }
    return id;
}

void StatementPooler::submitUnit(SessionId id, UnitStatement statement) {
    PooledSession* session = findSession(id);
    if (session == nullptr) {
        return;
    }
    ++_statistics.executedForOthers;
    session->values = std::move(statement.values);
    if (statement.shape) {
        session->prepared[statement.statement.name] =
            shapeOf(statement.shape->kind, statement.shape->shape);
    }
    submit(id, std::move(statement.statement));
}

OpTime StatementPooler::ownFloorOf(SessionId id) const {
    const auto found = _sessions.find(id);
    return found == _sessions.end() ? OpTime{}
                                    : found->second.ownFloors.floorOf(found->second.group);
}

}  // namespace coralhoist::pooling
