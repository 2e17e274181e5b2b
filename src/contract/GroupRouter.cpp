#include "contract/GroupRouter.h"

#include <algorithm>
#include <cassert>

#include "base/Backoff.h"
#include "contract/BatchPlan.h"
#include "contract/Refusals.h"

namespace coralhoist::contract {
namespace {

/** Builds the result of an attempt that timed out; the batch is then abandoned on that node. */
ExecutionResult attemptTimedOut(const NodeName& node, const StatementBatch& batch) {
    const Refusal refusal = canCommitChanges(batch, OpenTransaction::None)
                                ? Refusal::OutcomeUnknown
                                : Refusal::StatementTimedOut;
    return makeFailure(makeError(refusal, "proxy " + node.value() + " did not answer in time"));
}

/**
 * Replaces an error that reports "not run", which is no longer certain when an earlier attempt may
 * have run.
 */
void reportAsUnknown(ExecutionError& error) {
    error = makeError(Refusal::OutcomeUnknown,
                      "the last attempt ended with " + error.sqlState + ": " + error.message);
}

/** Replaces a batch that ends an already lost transaction by a ROLLBACK. */
void replaceByRollback(ExecutionRequest& request) {
    StatementStep step = std::move(request.batch.steps.front());
    step.kind = StatementKind::Rollback;
    step.sql = "ROLLBACK";
    request.batch.steps = {std::move(step)};
    request.transaction.reset();
}

}  // namespace

GroupRouter::GroupRouter(NodeName self, const OwnerDirectory& owners, ExecutorDirectory& executors,
                         const Clock& clock, RandomSource& random, RouterKnobs knobs)
    : _self(std::move(self)),
      _owners(owners),
      _executors(executors),
      _clock(clock),
      _random(random),
      _knobs(knobs),
      _budget(knobs.retryPercent, knobs.retryBurst) {}

void GroupRouter::submit(ExecutionRequest request, ResponseSink& sink) {
    assert(!_routes.contains(request.id));
    SessionState& session = _sessions[request.session];
    if (session.transactionLost) {
        submitAfterLoss(std::move(request), sink, session);
    } else if (session.open != OpenTransaction::None) {
        submitPinned(std::move(request), sink, session);
    } else if (request.transaction) {
        sink.onCompleted(request.id, makeFailure(makeError(Refusal::UnknownTransaction)));
    } else {
        submitToAnyOwner(std::move(request), sink);
    }
}

void GroupRouter::submitToAnyOwner(ExecutionRequest request, ResponseSink& sink) {
    const RequestId id = request.id;
    _sessions.at(request.session).running.push_back(id);
    Route route;
    route.request = std::move(request);
    route.sink = &sink;
    route.repeatable = route.request.requestKey || changesNothing(route.request.batch);
    route.lastFailure = makeFailure(makeError(
        Refusal::OwnerUnreachable, "no owner of " + route.request.group.value() + " is known"));
    _routes.emplace(id, std::move(route));
    _budget.onFirstAttempt();
    tryNextOwner(id);
}

void GroupRouter::submitPinned(ExecutionRequest request, ResponseSink& sink,
                               const SessionState& session) {
    const BatchPlan plan = planBatch(request.batch, true);
    Route route;
    route.sink = &sink;
    route.target = session.target;
    route.pinned = true;
    route.rollsBack =
        plan.endsTransaction && request.batch.steps.front().kind == StatementKind::Rollback;
    route.endsTransaction =
        !plan.openAtEnd || (session.open == OpenTransaction::Implicit && !plan.flush);
    if (route.rollsBack) {
        // A ROLLBACK can be answered even if its transaction is lost, so the whole request is kept.
        route.request = request;
    } else {
        // Keeps only what the route needs; the statements themselves are never sent a second time.
        route.request.id = request.id;
        route.request.session = request.session;
        route.request.group = request.group;
        route.request.transaction = request.transaction;
        route.request.deadline = request.deadline;
    }
    StatementExecutor* executor = session.target.executor;
    _sessions.at(request.session).running.push_back(request.id);
    _routes.emplace(request.id, std::move(route));
    executor->submit(std::move(request), *this);
}

void GroupRouter::submitAfterLoss(ExecutionRequest request, ResponseSink& sink,
                                  SessionState& session) {
    const BatchPlan plan = planBatch(request.batch, true);
    const bool implicitEnds = session.open == OpenTransaction::Implicit && !plan.flush;
    if (plan.endsTransaction) {
        session.transactionLost = false;
        session.open = OpenTransaction::None;
        replaceByRollback(request);
        submitToAnyOwner(std::move(request), sink);
        return;
    }
    ExecutionResult result;
    if (!request.batch.steps.empty()) {
        result.error = makeError(Refusal::TransactionAborted);
    }
    if (implicitEnds) {
        session.transactionLost = false;
        session.open = OpenTransaction::None;
    } else {
        result.transaction = request.transaction;
        result.transactionStatus = session.open == OpenTransaction::Implicit
                                       ? TransactionStatus::Idle
                                       : TransactionStatus::Failed;
    }
    sink.onCompleted(request.id, std::move(result));
}

void GroupRouter::resume(RequestId id) {
    const auto found = _routes.find(id);
    if (found != _routes.end() && found->second.target.executor != nullptr) {
        found->second.target.executor->resume(id);
    }
}

void GroupRouter::cancel(RequestId id) {
    const auto found = _routes.find(id);
    if (found == _routes.end()) {
        return;
    }
    if (found->second.waiting) {
        finish(id, makeFailure(makeError(Refusal::CancelledBeforeRun)));
        return;
    }
    found->second.target.executor->cancel(id);
}

void GroupRouter::endSession(SessionId session) {
    const auto found = _sessions.find(session);
    if (found == _sessions.end()) {
        return;
    }
    for (const RequestId id : found->second.running) {
        const auto route = _routes.find(id);
        clearTimer(route->second);
        _routes.erase(route);
    }
    StatementExecutor* executor = found->second.target.executor;
    _sessions.erase(found);
    if (executor != nullptr) {
        executor->endSession(session);
    }
}

void GroupRouter::onOwnersChanged() {
    std::vector<RequestId> waiting;
    for (const auto& [when, id] : _timers) {
        if (_routes.at(id).waiting) {
            waiting.push_back(id);
        }
    }
    for (const RequestId id : waiting) {
        // The sink of an earlier request may have ended the session of a later one.
        if (_routes.contains(id) && _routes.at(id).waiting) {
            tryNextOwner(id);
        }
    }
}

void GroupRouter::onTick(TimePoint now) {
    while (!_timers.empty() && _timers.begin()->first <= now) {
        onTimer(_timers.begin()->second, now);
    }
}

std::optional<TimePoint> GroupRouter::nextTick() const {
    if (_timers.empty()) {
        return std::nullopt;
    }
    return _timers.begin()->first;
}

bool GroupRouter::onResponseBytes(RequestId id, std::size_t stepIndex, std::string bytes,
                                  bool stepComplete) {
    const auto found = _routes.find(id);
    if (found == _routes.end()) {
        return true;
    }
    Route& route = found->second;
    if (!route.bytesDelivered) {
        route.bytesDelivered = true;
        clearTimer(route);
    }
    return route.sink->onResponseBytes(id, stepIndex, std::move(bytes), stepComplete);
}

void GroupRouter::onCompleted(RequestId id, ExecutionResult result) {
    const auto found = _routes.find(id);
    if (found == _routes.end()) {
        return;
    }
    Route& route = found->second;
    clearTimer(route);
    if (route.pinned) {
        finishPinned(id, std::move(result));
        return;
    }
    if (result.error && mayTryAgain(route, *result.error)) {
        recordFailure(route, std::move(result));
        tryNextOwner(id);
        return;
    }
    finish(id, std::move(result));
}

bool GroupRouter::mayTryAgain(const Route& route, const ExecutionError& error) {
    if (error.routingFailure == RoutingFailure::None || route.bytesDelivered ||
        _clock.now() >= route.request.deadline) {
        return false;
    }
    switch (error.runState) {
        case RunState::NotRun:
            return true;
        case RunState::RolledBack:
            return _budget.tryRetry();
        case RunState::Unknown:
            return route.repeatable && _budget.tryRetry();
        case RunState::Ran:
            return false;
    }
    return false;
}

void GroupRouter::recordFailure(Route& route, ExecutionResult result) {
    route.mayHaveRun = route.mayHaveRun || result.error->runState == RunState::Unknown;
    route.lastFailure = std::move(result);
}

void GroupRouter::tryNextOwner(RequestId id) {
    Route& route = _routes.at(id);
    clearTimer(route);
    const std::optional<Target> target = chooseTarget(route);
    if (target) {
        startAttempt(route, *target);
    } else {
        waitForOwner(route);
    }
}

std::optional<GroupRouter::Target> GroupRouter::chooseTarget(const Route& route) {
    for (const NodeName& node : _owners.owners(route.request.group)) {
        const bool tried =
            std::find(route.tried.begin(), route.tried.end(), node) != route.tried.end();
        if (tried) {
            continue;
        }
        if (StatementExecutor* executor = _executors.executor(node, route.request.group)) {
            return Target{node, executor};
        }
    }
    return std::nullopt;
}

void GroupRouter::startAttempt(Route& route, const Target& target) {
    route.target = target;
    route.tried.push_back(target.node);
    moveSession(route.request.session, target);
    // No attempt timeout on this node: its own executor is expected to hold requests, e.g. until
    // there is a new primary.
    if (target.node != _self && route.repeatable && chooseTarget(route)) {
        setTimer(route, attemptDeadline(route));
    }
    // The executor may complete the request during the call, which deletes the route.
    target.executor->submit(route.request, *this);
}

TimePoint GroupRouter::attemptDeadline(const Route& route) const {
    const TimePoint now = _clock.now();
    const Duration left = std::max(route.request.deadline - now, Duration{0});
    return now + std::min(_knobs.attemptTimeout, left / _knobs.attemptsPerDeadline);
}

void GroupRouter::waitForOwner(Route& route) {
    const TimePoint now = _clock.now();
    const RequestId id = route.request.id;
    if (now >= route.request.deadline) {
        finish(id, std::move(route.lastFailure));
        return;
    }
    if (_waiting >= _knobs.waitingLimit) {
        finish(id, makeFailure(makeError(Refusal::QueueFull, "waiting for an owner")));
        return;
    }
    route.target = Target{};
    route.tried.clear();
    route.waiting = true;
    ++_waiting;
    setTimer(route, std::min(now + pause(route), route.request.deadline));
    ++route.pauses;
}

Duration GroupRouter::pause(const Route& route) {
    Duration pause = _knobs.backoffMinimum;
    for (std::uint32_t count = 0; count < route.pauses && pause < _knobs.backoffMaximum; ++count) {
        pause = nextBackoff(pause, _knobs.backoffMinimum, _knobs.backoffMaximum);
    }
    // Jitter keeps requests that failed together from retrying at the same time.
    return withJitter(pause, _random);
}

void GroupRouter::finishPinned(RequestId id, ExecutionResult result) {
    Route& route = _routes.at(id);
    if (!isTransactionLost(route, result)) {
        finish(id, std::move(result));
        return;
    }
    SessionState& session = _sessions.at(route.request.session);
    if (route.rollsBack && !route.bytesDelivered) {
        // The transaction is already rolled back, so any owner can answer the ROLLBACK.
        session.open = OpenTransaction::None;
        route.pinned = false;
        route.repeatable = true;
        replaceByRollback(route.request);
        tryNextOwner(id);
        return;
    }
    if (!route.endsTransaction) {
        // The caller assumes that its transaction is still open, so its next statements must not
        // run outside of it.
        session.transactionLost = true;
        result.transaction = route.request.transaction;
        result.transactionStatus = session.open == OpenTransaction::Implicit
                                       ? TransactionStatus::Idle
                                       : TransactionStatus::Failed;
    }
    finish(id, std::move(result));
}

bool GroupRouter::isTransactionLost(const Route& route, const ExecutionResult& result) const {
    return result.error && !result.transaction && result.error->runState != RunState::Unknown &&
           result.error->runState != RunState::Ran && route.request.transaction.has_value();
}

void GroupRouter::finish(RequestId id, ExecutionResult result) {
    const auto found = _routes.find(id);
    Route& route = found->second;
    clearTimer(route);
    if (route.mayHaveRun && result.error &&
        (result.error->runState == RunState::NotRun ||
         result.error->runState == RunState::RolledBack)) {
        reportAsUnknown(*result.error);
    }
    SessionState& session = _sessions.at(route.request.session);
    std::erase(session.running, id);
    session.open = openTransactionAfter(result);
    ResponseSink& sink = *route.sink;
    _routes.erase(found);
    sink.onCompleted(id, std::move(result));
}

void GroupRouter::onTimer(RequestId id, TimePoint now) {
    Route& route = _routes.at(id);
    if (!route.waiting) {
        onAttemptTimeout(route);
    } else if (now >= route.request.deadline) {
        finish(id, std::move(route.lastFailure));
    } else {
        tryNextOwner(id);
    }
}

void GroupRouter::onAttemptTimeout(Route& route) {
    clearTimer(route);
    if (!chooseTarget(route) || !_budget.tryRetry()) {
        return;
    }
    const Target abandoned = std::exchange(route.target, Target{});
    const SessionId session = route.request.session;
    _sessions.at(session).target = Target{};
    abandoned.executor->endSession(session);
    recordFailure(route, attemptTimedOut(abandoned.node, route.request.batch));
    tryNextOwner(route.request.id);
}

void GroupRouter::moveSession(SessionId session, const Target& target) {
    SessionState& state = _sessions.at(session);
    StatementExecutor* previous = std::exchange(state.target, target).executor;
    if (previous != nullptr && previous != target.executor) {
        previous->endSession(session);
    }
}

void GroupRouter::setTimer(Route& route, TimePoint when) {
    route.timer = when;
    _timers.emplace(when, route.request.id);
}

void GroupRouter::clearTimer(Route& route) {
    if (route.timer) {
        _timers.erase({*route.timer, route.request.id});
        route.timer.reset();
    }
    if (route.waiting) {
        route.waiting = false;
        --_waiting;
    }
}

}  // namespace coralhoist::contract
