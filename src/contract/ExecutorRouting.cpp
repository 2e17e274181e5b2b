// Read floors, server selection, admission and start of programs in the group executor.
#include <algorithm>
#include <tuple>
#include <utility>

#include "contract/ExecutorCore.h"
#include "contract/ReadFloor.h"
#include "contract/RequestKeyRecord.h"
#include "contract/RequestKeySql.h"

namespace coralhoist::contract {

ExecutorCore::RoutingState ExecutorCore::currentRouting() const {
    RoutingState state;
    state.primary = _topology.usablePrimary(_clock.now());
    for (const auto& [name, view] : _topology.servers()) {
        if (isReadable(name)) {
            state.readable.push_back(name);
        }
    }
    return state;
}

bool ExecutorCore::isReadable(const ServerName& server) const {
    const machine::ServerView* view = _topology.find(server);
    return view != nullptr && view->isHealthy() && !view->leaving && !_pool.isUnreachable(server);
}

/** Routes all waiting requests again when the primary or the set of usable servers has changed. */
void ExecutorCore::updateRouting() {
    RoutingState state = currentRouting();
    if (state == _routing) {
        return;
    }
    _routing = std::move(state);
    if (_topology.confirmedTerm() > _lastConfirmedTerm) {
        const bool first = _lastConfirmedTerm == 0;
        _lastConfirmedTerm = _topology.confirmedTerm();
        if (!first) {
            ++_statistics.primaryChanges;
            _gapBeganAt = _lastAcknowledgedAt;
        }
    }
    std::vector<RequestId> waiting = std::exchange(_waitingPrimary, {});
    for (auto& [name, queue] : _queues) {
        for (const AdmissionCandidate& candidate : queue.takeUnbound()) {
            waiting.push_back(candidate.id);
        }
    }
    for (const RequestId id : waiting) {
        const RequestPointer context = findRequest(id);
        if (context && (context->phase == RequestPhase::Queued ||
                        context->phase == RequestPhase::WaitingPrimary)) {
            context->phase = RequestPhase::Routing;
            _toRoute.push_back(id);
        }
    }
}

void ExecutorCore::routeAll() {
    std::vector<RequestId> ready = std::exchange(_toRoute, {});
    for (const RequestId id : ready) {
        const RequestPointer context = findRequest(id);
        if (context && context->phase == RequestPhase::Routing) {
            route(context);
        }
    }
}

void ExecutorCore::route(const RequestPointer& context) {
    const ExecutionRequest& request = context->request;
    if (request.transaction) {
        enqueue(context, context->server);
        return;
    }
    if (request.batch.steps.empty()) {
        finish(context);
        return;
    }
    context->anyServer = context->anyServer || context->onlyEndsTransaction();
    if (context->needsFloor() && !context->floor && !assignFloor(context)) {
        waitForFloor(context);
        return;
    }
    if (const std::optional<ServerName> server = chooseServer(*context)) {
        enqueue(context, *server);
    } else if (context->mayUseReplica() && !_routing.readable.empty()) {
        pauseBeforeRoute(context);
    } else {
        context->phase = RequestPhase::WaitingPrimary;
        _waitingPrimary.push_back(request.id);
    }
}

/** @return whether the read floor is known without a new majority sample. */
bool ExecutorCore::assignFloor(const RequestPointer& context) {
    const ExecutionRequest& request = context->request;
    if (request.floor) {
        context->floor = request.floor;
    } else if (request.serviceSettings.maxStaleness && context->mayUseReplica()) {
        context->floor = _floors.floorWithin(*request.serviceSettings.maxStaleness, _clock.now());
    }
    return context->floor.has_value();
}

void ExecutorCore::waitForFloor(const RequestPointer& context) {
    context->phase = RequestPhase::WaitingFloor;
    context->ticket = _sampler.takeTicket();
    if (_floorWaits.empty() || _floorWaits.back().ticket != context->ticket) {
        _floorWaits.push_back({context->ticket, _clock.now(), std::nullopt, {}});
    }
    _floorWaits.back().requests.push_back(context->request.id);
}

/**
 * @return whether the sample can be used. A majority suffices, but the remaining servers get a
 *         short grace period because their answers lower the floor.
 */
bool ExecutorCore::isSampleComplete(FloorWait& wait, std::size_t answers) const {
    const TimePoint now = _clock.now();
    if (!wait.majorityAt) {
        wait.majorityAt = now;
    }
    const auto answering = std::ranges::count_if(_topology.servers(), [this](const auto& entry) {
        return _monitor.isAnswering(entry.first);
    });
    return answers >= static_cast<std::size_t>(answering) ||
           now >= *wait.majorityAt + _knobs.sampleGracePeriod;
}

void ExecutorCore::resolveFloorWaits() {
    std::deque<FloorWait> waits = std::exchange(_floorWaits, {});
    for (FloorWait& wait : waits) {
        const std::vector<ServerSample> answers = _sampler.answersSince(wait.ticket);
        if (answers.size() < _sampler.majority() || !isSampleComplete(wait, answers.size())) {
            _floorWaits.push_back(std::move(wait));
            continue;
        }
        std::vector<machine::ServerStatus> statuses;
        statuses.reserve(answers.size());
        for (const ServerSample& answer : answers) {
            statuses.push_back(answer.status);
        }
        const OpTime floor = *computeReadFloor(statuses, _sampler.serverCount());
        _floors.add(wait.askedAt, floor);
        for (const RequestId id : wait.requests) {
            const RequestPointer context = findRequest(id);
            if (context && context->phase == RequestPhase::WaitingFloor &&
                context->ticket == wait.ticket) {
                assignSampledFloor(context, floor);
            }
        }
    }
}

void ExecutorCore::assignSampledFloor(const RequestPointer& context, const OpTime& floor) {
    if (!context->verifiesToken) {
        context->floor = floor;
        context->phase = RequestPhase::Routing;
        _toRoute.push_back(context->request.id);
        return;
    }
    // Tokens stand for acknowledged writes, and the sample began after this token was presented, so
    // a valid token is never ahead of the sampled floor.
    const OpTime token = *context->request.floor;
    if (token.term > floor.term || token.position > floor.position) {
        refuse(context, Refusal::TokenFromFuture);
        return;
    }
    context->verifiesToken = false;
    pauseBeforeRoute(context);
}

std::optional<ServerName> ExecutorCore::chooseServer(const RequestContext& context) {
    if (context.mayUseReplica()) {
        std::optional<ServerName> replica = chooseReplica(context);
        if (replica && !overflowsToPrimary(context, *replica)) {
            return replica;
        }
    }
    if (_routing.primary) {
        return _routing.primary->server;
    }
    if (context.anyServer && !_routing.readable.empty()) {
        return _routing.readable.front();
    }
    return std::nullopt;
}

/**
 * @return whether a read runs on the primary because the replica's queue is crowded. It does so
 *         only when it can start on the primary at once, without delaying other statements.
 */
bool ExecutorCore::overflowsToPrimary(const RequestContext& context,
                                      const ServerName& replica) const {
    return _routing.primary && _queues.at(replica).isCrowded() &&
           _queues.at(_routing.primary->server).hasRoomFor(admissionClassOf(context.request));
}

/**
 * Prefers replicas that are known to cover the floor, then replicas that have received the floor
 * and have most likely replayed it when the statement arrives; the guard query verifies this. Among
 * equals, chooses the replica with the smallest load.
 */
std::optional<ServerName> ExecutorCore::chooseReplica(const RequestContext& context) {
    struct Choice {
        bool replayed = false;
        std::size_t load = 0;
        std::uint64_t tieBreak = 0;
        ServerName server;
    };
    std::optional<Choice> best;
    const OpTime floor = context.floor.value_or(OpTime{});
    for (const ServerName& name : _routing.readable) {
        const machine::ServerStatus& status = *_topology.find(name)->status;
        const bool received =
            status.term >= floor.term && status.receivedPosition >= floor.position;
        if (!status.inRecovery || !received) {
            continue;
        }
        const AdmissionQueue& queue = _queues.at(name);
        const Choice choice{covers(status, floor), queue.queued() + queue.executing(),
                            _random.next(), name};
        const auto rank = [](const Choice& one) {
            return std::tuple(!one.replayed, one.load, one.tieBreak);
        };
        if (!best || rank(choice) < rank(*best)) {
            best = choice;
        }
    }
    return best ? std::optional(best->server) : std::nullopt;
}

AdmissionClass ExecutorCore::admissionClassOf(const ExecutionRequest& request) {
    if (request.transaction) {
        return AdmissionClass::InTransaction;
    }
    return request.serviceSettings.priority == settings::Priority::Urgent
               ? AdmissionClass::Urgent
               : AdmissionClass::Ordinary;
}

void ExecutorCore::enqueue(const RequestPointer& context, const ServerName& server) {
    const ExecutionRequest& request = context->request;
    if (!request.transaction) {
        context->onReplica = !_routing.primary || _routing.primary->server != server;
    }
    context->server = server;
    if (!_queues[server].push({request.id, admissionClassOf(request)})) {
        refuse(context, Refusal::QueueFull);
        return;
    }
    context->phase = RequestPhase::Queued;
}

void ExecutorCore::pauseBeforeRoute(const RequestPointer& context) {
    context->phase = RequestPhase::WaitingPause;
    _pauses.emplace(_clock.now() + _knobs.rerouteBackoff, context->request.id);
}

void ExecutorCore::dispatch() {
    for (auto& [server, queue] : _queues) {
        dispatchServer(server, queue);
    }
}

void ExecutorCore::dispatchServer(const ServerName& server, AdmissionQueue& queue) {
    while (const std::optional<AdmissionCandidate> candidate = queue.next()) {
        const RequestPointer context = findRequest(candidate->id);
        if (candidate->admissionClass == AdmissionClass::InTransaction) {
            queue.start(*candidate);
            context->slot = candidate->admissionClass;
            startInTransaction(context);
            continue;
        }
        // Open transactions hold connections without holding a slot, so some connections are
        // reserved for urgent statements.
        const bool ordinary = candidate->admissionClass == AdmissionClass::Ordinary;
        if (ordinary && _pool.busyCount(server) > 0 &&
            _pool.available(server) <= _settings.urgentReservedSlots) {
            break;
        }
        const auto lease = _pool.acquire(server, context->request.sessionParameters);
        if (!lease) {
            if (const auto foreign = _pool.takeForReset(server)) {
                resetConnection(*foreign);
            }
            break;
        }
        queue.start(*candidate);
        context->slot = candidate->admissionClass;
        startOnPool(context, *lease);
    }
    const std::size_t waiting =
        queue.queued(AdmissionClass::Urgent) + queue.queued(AdmissionClass::Ordinary);
    _pool.setDemand(server, std::min<std::size_t>(waiting, _effectiveShare.slotsPerServer));
}

void ExecutorCore::startOnPool(const RequestPointer& context, const PoolLease& lease) {
    context->appliedSessionState = lease.needsParameters;
    context->guardFailed = false;
    context->refusedAsReadOnly = false;
    context->executionTerm = 0;
    if (context->stage == RequestStage::KeyClaim) {
        runProgram(context, lease.connection, buildKeyClaim(*context, lease));
        return;
    }
    const ExecutionRequest& request = context->request;
    ProgramBuilder builder(_settings.statusQuery);
    if (context->needsFloor()) {
        builder.addStatus(CommandRole::Guard);
    }
    if (lease.needsParameters) {
        builder.addParameters(request.sessionParameters);
    }
    if (context->opensImplicitTransaction()) {
        // Each program ends with a synchronisation point on the back end, so an explicit
        // transaction is needed to span several programs.
        builder.addStatement(CommandRole::ImplicitBegin, "BEGIN", ResultUse::Discard, false);
    }
    builder.addSteps(request.batch, !context->isKeyed());
    if (context->isKeyed()) {
        builder.addStatement(CommandRole::KeyInsert, kInsertRequestKey, ResultUse::Discard, true,
                             keyParameters(*context, kTransactionFingerprint));
    }
    if (context->isAutocommitWrite() || context->plan.commits) {
        builder.addStatus(CommandRole::Status);
    }
    runProgram(context, lease.connection, builder.take());
}

void ExecutorCore::startInTransaction(const RequestPointer& context) {
    const ExecutionRequest& request = context->request;
    const BatchPlan& plan = context->plan;
    Transaction& transaction = *_transactions.find(*request.transaction);
    const bool implicitEnds = transaction.implicit && !plan.flush;
    const bool mayWrite = transaction.hasWrites || plan.writes;
    const bool replaced = transaction.term != 0 && _topology.confirmedTerm() > transaction.term;
    const bool onlyRollsBack = plan.endsTransaction && !plan.commits && !plan.writes;
    if (mayWrite && replaced && !onlyRollsBack) {
        releaseSlot(context);
        abortTransaction(transaction, true, std::nullopt);
        if (plan.commits || implicitEnds) {
            _transactions.erase(transaction.id);
        }
        refuse(context, Refusal::TransactionPrimaryReplaced);
        return;
    }
    transaction.hasWrites = mayWrite;
    transaction.changesSession = transaction.changesSession || plan.changesSession;
    ProgramBuilder builder(_settings.statusQuery);
    if (transaction.parameters != request.sessionParameters) {
        builder.addParameters(request.sessionParameters);
        transaction.parameters = request.sessionParameters;
        transaction.changesSession = true;
    }
    builder.addSteps(request.batch, !implicitEnds);
    if (implicitEnds) {
        // Uses ResultUse::Forward only to get the encoded error when the commit fails.
        builder.addStatement(CommandRole::ImplicitCommit, "COMMIT", ResultUse::Forward, true);
    }
    if (plan.commits || implicitEnds) {
        builder.addStatus(CommandRole::Status);
    }
    runProgram(context, *transaction.connection, builder.take());
}

void ExecutorCore::runProgram(const RequestPointer& context, ConnectionId connection,
                              LabelledProgram program) {
    context->phase = RequestPhase::Running;
    context->connection = connection;
    context->labels = std::move(program.labels);
    context->outcomes.clear();
    context->readingPaused = false;
    ConnectionUser user;
    user.request = context->request.id;
    _users[connection] = user;
    _connector.run(connection, std::move(program.program));
}

}  // namespace coralhoist::contract
