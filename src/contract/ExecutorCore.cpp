// Request lifecycle and settings of the group executor.
#include "contract/ExecutorCore.h"

#include <algorithm>
#include <utility>

namespace coralhoist::contract {

namespace {

std::vector<ServerName> serverNames(const settings::GroupSettings& settings) {
    std::vector<ServerName> names;
    for (const settings::ServerEndpoint& endpoint : settings.servers) {
        names.push_back(endpoint.name);
    }
    return names;
}

/** Builds the ROLLBACK that replaces a statement which ends a transaction that no longer exists. */
StatementStep makeRollbackStep(const StatementStep& original) {
    StatementStep step;
    step.kind = StatementKind::Rollback;
    step.sql = "ROLLBACK";
    step.describeRows = original.describeRows;
    return step;
}

}  // namespace

ExecutorCore::ExecutorCore(settings::GroupSettings settings, const Clock& clock,
                           RandomSource& random, BackendConnector& connector,
                           const ExecutorKnobs& knobs)
    : _settings(std::move(settings)),
      _clock(clock),
      _random(random),
      _connector(connector),
      _knobs(knobs),
      _topology(knobs.unconfirmedTermTimeout),
      _monitor(connector, random, _knobs, _topology, _sampler),
      _pool(connector, random, _knobs),
      _retryBudget(knobs.retryPercent, knobs.retryBurst) {
    reconfigure();
}

void ExecutorCore::reconfigure() {
    const std::vector<ServerName> names = serverNames(_settings);
    const bool active = _effectiveShare.role != OwnerRole::None;
    _topology.setServers(names, _settings.leavingServers);
    _sampler.setServers(names);
    _monitor.configure(_settings, active);
    PoolLimits limits;
    // The status monitor uses one connection per server.
    limits.connectionsPerServer = active && _effectiveShare.connectionsPerServer > 0
                                      ? _effectiveShare.connectionsPerServer - 1
                                      : 0;
    limits.concurrentConnects = _settings.concurrentConnects;
    limits.warmConnections = std::min(_settings.warmConnections, limits.connectionsPerServer);
    _pool.configure(names, _settings.leavingServers, limits);
    for (const ServerName& name : names) {
        _queues[name];
    }
    const AdmissionLimits admission{_effectiveShare.slotsPerServer, _settings.urgentReservedSlots,
                                    _settings.queueLimit, _knobs.urgentBurst};
    for (auto& [name, queue] : _queues) {
        queue.setLimits(admission);
    }
}

void ExecutorCore::applySettings(settings::GroupSettings settings) {
    _settings = std::move(settings);
    reconfigure();
    settle();
}

void ExecutorCore::setConnectionShare(const ConnectionShare& share) {
    _share = share;
    settle();
}

/**
 * Applies the share of the latest placement. A proxy that no longer owns the group accepts no new
 * batch. Batches that it has accepted finish with the connections, slots and status samples of the
 * former share, which are released only afterwards.
 */
void ExecutorCore::updateEffectiveShare() {
    const bool hasWork = !_requests.empty() || _transactions.openCount() > 0;
    const bool finishes = _share.role == OwnerRole::None && hasWork;
    if (finishes || _effectiveShare == _share) {
        return;
    }
    _effectiveShare = _share;
    reconfigure();
}

RequestPointer ExecutorCore::findRequest(RequestId id) const {
    const auto found = _requests.find(id);
    return found == _requests.end() ? nullptr : found->second;
}

void ExecutorCore::submit(ExecutionRequest request, ResponseSink& sink) {
    const RequestId id = request.id;
    auto context = std::make_shared<RequestContext>();
    context->plan = planBatch(request.batch, request.transaction.has_value());
    context->request = std::move(request);
    context->sink = &sink;
    _requests.emplace(id, context);
    _sessionRequests[context->request.session].insert(id);
    _deadlines.emplace(context->request.deadline, id);
    ++_statistics.submitted;
    _retryBudget.onFirstAttempt();
    if (const std::optional<Refusal> refusal = checkAdmissible(*context)) {
        refuse(context, *refusal);
    } else if (!context->request.transaction || enterTransaction(context)) {
        if (!context->isAutocommitWrite() && !context->plan.begins) {
            context->request.requestKey.reset();
        }
        if (context->isAutocommitWrite() && context->isKeyed()) {
            context->stage = RequestStage::KeyClaim;
        }
        if (context->isAutocommitWrite() || context->plan.commits || context->isKeyed()) {
            context->outbox.hold();
        }
        _toRoute.push_back(id);
    }
    settle();
}

std::optional<Refusal> ExecutorCore::checkAdmissible(const RequestContext& context) const {
    const BatchPlan& plan = context.plan;
    if (plan.unsupported) {
        return Refusal::Unsupported;
    }
    if (_clock.now() >= context.request.deadline) {
        return Refusal::DeadlineBeforeRun;
    }
    if (context.request.transaction) {
        return std::nullopt;
    }
    if (_draining) {
        return Refusal::Draining;
    }
    // Routers send requests to a standby only when the active owners did not accept them.
    if (_share.role == OwnerRole::None) {
        return Refusal::NotOwner;
    }
    const bool needsKey =
        context.request.serviceSettings.requestKeyPolicy == settings::RequestKeyPolicy::Required;
    if (context.isAutocommitWrite() && needsKey && !context.isKeyed()) {
        return Refusal::RequestKeyRequired;
    }
    if (context.isKeyed()) {
        const bool mixed = context.isAutocommitWrite() && plan.hasTransactionControl;
        const bool beginsWithMore = plan.begins && context.request.batch.steps.size() > 1;
        const bool unfinished = plan.flush && !plan.describeOnly;
        if (mixed || beginsWithMore || unfinished) {
            return Refusal::RequestKeyUnsupportedBatch;
        }
    }
    return std::nullopt;
}

/** @return whether the request proceeds; otherwise it is already completed. */
bool ExecutorCore::enterTransaction(const RequestPointer& context) {
    ExecutionRequest& request = context->request;
    Transaction* transaction = ownTransaction(*context);
    if (transaction == nullptr) {
        request.transaction.reset();
        refuse(context, Refusal::UnknownTransaction);
        return false;
    }
    if (transaction->isOpen()) {
        if (request.batch.steps.empty() && (!transaction->implicit || context->plan.flush)) {
            context->result.transaction = transaction->id;
            context->result.transactionStatus = transaction->status();
            finish(context);
            return false;
        }
        transaction->running = request.id;
        context->server = transaction->server;
        context->onReplica = transaction->onReplica;
        request.requestKey.reset();
        if (transaction->implicit && !context->plan.flush) {
            context->outbox.hold();
        }
        return true;
    }
    return handleTombstone(context, *transaction);
}

/**
 * Handles a statement in a transaction that the proxy has rolled back. The session must get an
 * error before any statement of the transaction may end without one: COMMIT is never reported as
 * successful.
 */
bool ExecutorCore::handleTombstone(const RequestPointer& context, Transaction& transaction) {
    ExecutionRequest& request = context->request;
    const BatchPlan& plan = context->plan;
    const std::optional<Refusal> unreported =
        std::exchange(transaction.unreportedReason, std::nullopt);
    const bool implicit = transaction.implicit;
    const bool implicitEnds = implicit && !plan.flush;
    if (plan.endsTransaction && (!unreported || !plan.commits)) {
        _transactions.erase(transaction.id);
        request.transaction.reset();
        request.batch.steps = {makeRollbackStep(request.batch.steps.front())};
        context->plan = planBatch(request.batch, false);
        context->anyServer = true;
        return true;
    }
    if (implicitEnds || plan.endsTransaction) {
        _transactions.erase(transaction.id);
        request.transaction.reset();
    } else {
        context->result.transaction = transaction.id;
        context->result.transactionStatus = transaction.status();
    }
    if (unreported) {
        refuse(context, *unreported);
    } else if (implicitEnds || request.batch.steps.empty() || implicit) {
        finish(context);
    } else {
        refuse(context, Refusal::TransactionAborted);
    }
    return false;
}

void ExecutorCore::resume(RequestId id) {
    if (const RequestPointer context = findRequest(id)) {
        context->sinkBlocked = false;
        queueDelivery(context);
    }
    settle();
}

void ExecutorCore::cancel(RequestId id) {
    const RequestPointer context = findRequest(id);
    if (!context || context->isOver() || context->mayHaveCommitted ||
        context->phase == RequestPhase::WaitingAcknowledgement) {
        return;
    }
    if (context->phase == RequestPhase::Running) {
        cancelProgram(*context->connection);
        return;
    }
    refuse(context, Refusal::CancelledBeforeRun);
    settle();
}

void ExecutorCore::endSession(SessionId session) {
    std::set<RequestId> requests;
    if (const auto found = _sessionRequests.find(session); found != _sessionRequests.end()) {
        requests = found->second;
    }
    for (const RequestId id : requests) {
        const RequestPointer context = findRequest(id);
        if (context->phase == RequestPhase::Running) {
            abandon(context, context->request.transaction.has_value());
        }
        clearQueueAndDeadline(context);
        removeRequest(context);
    }
    for (const TransactionId id : _transactions.ofSession(session)) {
        endTransactionOfSession(id);
    }
    settle();
}

void ExecutorCore::endTransactionOfSession(TransactionId id) {
    const Transaction* transaction = _transactions.find(id);
    if (transaction->isOpen() && _pool.owns(*transaction->connection)) {
        rollBackConnection(*transaction->connection);
    }
    _transactions.erase(id);
}

/** @return the transaction of the request, unless it belongs to another session or is busy. */
Transaction* ExecutorCore::ownTransaction(const RequestContext& context) {
    const std::optional<TransactionId> id = context.request.transaction;
    Transaction* transaction = id ? _transactions.find(*id) : nullptr;
    if (transaction == nullptr || transaction->session != context.request.session) {
        return nullptr;
    }
    const bool busy = transaction->running && transaction->running != context.request.id;
    return busy ? nullptr : transaction;
}

/**
 * Ends the implicit transaction of a refused batch. Sync ends an implicit transaction even when its
 * batch is refused, so its changes are rolled back.
 */
void ExecutorCore::endRefusedImplicitTransaction(const RequestPointer& context) {
    Transaction* transaction = ownTransaction(*context);
    if (transaction == nullptr || !transaction->implicit || context->plan.flush) {
        return;
    }
    clearQueueAndDeadline(context);
    context->phase = RequestPhase::Routing;
    if (transaction->isOpen()) {
        abortTransaction(*transaction, false, std::nullopt);
    }
    _transactions.erase(transaction->id);
    context->request.transaction.reset();
}

void ExecutorCore::refuse(const RequestPointer& context, Refusal refusal, std::string detail) {
    if (context->mayHaveCommitted && refusal != Refusal::RequestKeyAlreadyCommitted) {
        // An earlier attempt may have taken effect, so the outcome must be reported as unknown.
        refusal = Refusal::OutcomeUnknown;
    }
    context->result.error = makeError(refusal, std::move(detail));
    endRefusedImplicitTransaction(context);
    if (const Transaction* transaction = ownTransaction(*context)) {
        context->result.transaction = transaction->id;
        context->result.transactionStatus = transaction->status();
    }
    switch (context->result.error->runState) {
        case RunState::NotRun:
            ++_statistics.refusedNotRun;
            break;
        case RunState::Unknown:
            ++_statistics.outcomeUnknown;
            break;
        default:
            break;
    }
    const bool shed = refusal == Refusal::QueueFull || refusal == Refusal::DeadlineBeforeRun;
    _statistics.shed += shed ? 1 : 0;
    finish(context);
}

/** Marks the result as final; only its delivery remains. */
void ExecutorCore::finish(const RequestPointer& context) {
    clearQueueAndDeadline(context);
    const std::optional<TransactionId> id = context->request.transaction;
    if (Transaction* transaction = id ? _transactions.find(*id) : nullptr) {
        if (transaction->running == context->request.id) {
            transaction->running.reset();
            transaction->lastActivity = _clock.now();
        }
    }
    context->phase = RequestPhase::Delivering;
    context->outbox.clearHeld();
    queueDelivery(context);
}

void ExecutorCore::clearQueueAndDeadline(const RequestPointer& context) {
    if (context->phase == RequestPhase::Queued) {
        _queues[context->server].remove(context->request.id);
    }
    _deadlines.erase({context->request.deadline, context->request.id});
}

void ExecutorCore::removeRequest(const RequestPointer& context) {
    const RequestId id = context->request.id;
    if (const auto found = _sessionRequests.find(context->request.session);
        found != _sessionRequests.end()) {
        found->second.erase(id);
        if (found->second.empty()) {
            _sessionRequests.erase(found);
        }
    }
    _requests.erase(id);
}

void ExecutorCore::queueDelivery(const RequestPointer& context) {
    if (!context->outgoing) {
        context->outgoing = true;
        _outgoing.push_back(context->request.id);
    }
}

void ExecutorCore::deliverOutgoing() {
    while (!_outgoing.empty()) {
        const RequestPointer context = findRequest(_outgoing.front());
        _outgoing.pop_front();
        if (context) {
            context->outgoing = false;
            deliver(context);
        }
    }
}

void ExecutorCore::deliver(const RequestPointer& context) {
    const RequestId id = context->request.id;
    while (!context->sinkBlocked && !context->outbox.empty()) {
        ResponsePiece piece = context->outbox.pop();
        const bool goesOn = context->sink->onResponseBytes(
            id, piece.stepIndex, std::move(piece.bytes), piece.stepComplete);
        if (findRequest(id) != context) {
            return;
        }
        context->sinkBlocked = !goesOn;
    }
    if (context->connection) {
        const bool pause = context->outbox.queuedBytes() > _knobs.undeliveredBytesLimit;
        const bool unpause = context->outbox.empty();
        if (pause != context->readingPaused && (pause || unpause)) {
            context->readingPaused = pause;
            _connector.setReading(*context->connection, !pause);
        }
    }
    if (context->isOver() && context->outbox.empty()) {
        removeRequest(context);
        ++_statistics.completed;
        context->sink->onCompleted(id, std::move(context->result));
    }
}

void ExecutorCore::settle() {
    if (_settling) {
        return;
    }
    _settling = true;
    do {
        updateEffectiveShare();
        if (_monitor.consumeUpdate()) {
            resolveAcknowledgements();
        }
        resolveFloorWaits();
        updateRouting();
        routeAll();
        dispatch();
        _pool.pump(_clock.now());
        deliverOutgoing();
        _monitor.setSearching(!_routing.primary);
        _monitor.pump(_clock.now());
    } while (!_toRoute.empty() || !_outgoing.empty());
    _settling = false;
}

void ExecutorCore::onTermHint(Term term) {
    _topology.onTermSeen(term, _clock.now());
    _sampler.takeTicket();
    settle();
}

void ExecutorCore::drain() {
    _draining = true;
    settle();
}

bool ExecutorCore::isDrained() const {
    return _draining && _requests.empty() && _transactions.openCount() == 0;
}

}  // namespace coralhoist::contract
