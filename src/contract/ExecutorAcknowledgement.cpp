// Acknowledgement of writes by a majority, and the handling of failed acknowledgements.
#include <utility>

#include "contract/ExecutorCore.h"
#include "contract/StatusQuery.h"

namespace coralhoist::contract {

bool ExecutorCore::tryRetry() {
    const bool granted = _retryBudget.tryRetry();
    ++(granted ? _statistics.retries : _statistics.retriesDenied);
    return granted;
}

/** Routes the request again from the start and discards all state of the earlier attempt. */
void ExecutorCore::restart(const RequestPointer& context) {
    if (!tryRetry()) {
        refuse(context,
               context->mayHaveCommitted ? Refusal::OutcomeUnknown : Refusal::RetriesExhausted);
        return;
    }
    context->outbox.clearHeld();
    context->result = {};
    if (context->isAutocommitWrite()) {
        context->stage = context->isKeyed() ? RequestStage::KeyClaim : RequestStage::Plain;
    } else {
        context->stage = RequestStage::Plain;
    }
    if (!context->request.floor) {
        context->floor.reset();
    }
    context->phase = RequestPhase::Routing;
    _toRoute.push_back(context->request.id);
}

/** Retries the request on another server, because this one did not cover the read floor. */
void ExecutorCore::retryGuard(const RequestPointer& context) {
    context->outbox.clearHeld();
    if (context->onReplica && _routing.primary) {
        context->primaryOnly = true;
        context->phase = RequestPhase::Routing;
        _toRoute.push_back(context->request.id);
        return;
    }
    context->primaryOnly = false;
    if (context->request.floor) {
        context->verifiesToken = true;
        waitForFloor(context);
        return;
    }
    pauseBeforeRoute(context);
}

void ExecutorCore::awaitAcknowledgement(const RequestPointer& context) {
    const CommandOutcome* outcome = outcomeOf(*context, CommandRole::Status);
    const auto status = outcome != nullptr ? readStatus(*outcome) : std::nullopt;
    context->phase = RequestPhase::WaitingAcknowledgement;
    if (!status || status->inRecovery) {
        onCommitUnconfirmed(context);
        return;
    }
    context->commitPoint = {status->term, status->receivedPosition};
    context->ticket = _sampler.takeTicket();
    _awaitingAcknowledgement.push_back(context->request.id);
}

/**
 * Acknowledges commits. A commit counts as acknowledged when a majority of the servers, sampled
 * after the commit returned, is in its term and has reached its position: the next election must
 * include one of these servers, and a primary that was partitioned away can't reach such a
 * majority.
 */
void ExecutorCore::resolveAcknowledgements() {
    const std::vector<RequestId> waiting = std::exchange(_awaitingAcknowledgement, {});
    for (const RequestId id : waiting) {
        const RequestPointer context = findRequest(id);
        if (!context || context->phase != RequestPhase::WaitingAcknowledgement) {
            continue;
        }
        const OpTime point = context->commitPoint;
        std::size_t holders = 0;
        std::size_t newer = 0;
        for (const ServerSample& answer : _sampler.answersSince(context->ticket)) {
            const machine::ServerStatus& status = answer.status;
            holders += status.term == point.term && status.receivedPosition >= point.position;
            newer += status.term > point.term;
        }
        if (holders >= _sampler.majority()) {
            acknowledge(context);
        } else if (newer >= _sampler.majority()) {
            onCommitUnconfirmed(context);
        } else {
            _awaitingAcknowledgement.push_back(id);
        }
    }
    if (!_awaitingAcknowledgement.empty()) {
        _sampler.takeTicket();
    }
}

void ExecutorCore::acknowledge(const RequestPointer& context) {
    const TimePoint now = _clock.now();
    if (_gapBeganAt && context->commitPoint.term >= _lastConfirmedTerm) {
        _statistics.lastFailoverGap = now - *_gapBeganAt;
        _gapBeganAt.reset();
    }
    _lastAcknowledgedAt = now;
    if (context->result.error) {
        refuse(context, Refusal::RequestKeyAlreadyCommitted);
        return;
    }
    ++_statistics.writesAcknowledged;
    context->result.observed = context->commitPoint;
    context->outbox.release();
    finish(context);
}

/**
 * Handles a commit that can't be confirmed in its term. If the request has a key, the key is looked
 * up on the new primary and shows whether the commit took effect.
 */
void ExecutorCore::onCommitUnconfirmed(const RequestPointer& context) {
    const bool resolvable =
        context->isKeyed() && !context->result.transaction && !context->outbox.hasReleased();
    if (!resolvable) {
        refuse(context, Refusal::OutcomeUnknown);
        return;
    }
    context->mayHaveCommitted = context->mayHaveCommitted || !context->result.error;
    restart(context);
}

}  // namespace coralhoist::contract
