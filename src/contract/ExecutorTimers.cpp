// Deadlines and other timers of the group executor.
#include <algorithm>
#include <vector>

#include "contract/ExecutorCore.h"

namespace coralhoist::contract {

void ExecutorCore::onTick() {
    runTimers();
    settle();
}

void ExecutorCore::runTimers() {
    expireRequests();
    expireTransactions();
    closeLateConnections();
    expireKeys();
    const TimePoint now = _clock.now();
    while (!_pauses.empty() && _pauses.begin()->first <= now) {
        const RequestPointer context = findRequest(_pauses.begin()->second);
        _pauses.erase(_pauses.begin());
        if (context && context->phase == RequestPhase::WaitingPause) {
            context->phase = RequestPhase::Routing;
            _toRoute.push_back(context->request.id);
        }
    }
}

void ExecutorCore::expireRequests() {
    const TimePoint now = _clock.now();
    while (!_deadlines.empty() && _deadlines.begin()->first <= now) {
        const RequestPointer context = findRequest(_deadlines.begin()->second);
        _deadlines.erase(_deadlines.begin());
        if (context && !context->isOver()) {
            onDeadline(context);
        }
    }
}

void ExecutorCore::onDeadline(const RequestPointer& context) {
    if (context->phase == RequestPhase::Running) {
        onRunningDeadline(context);
    } else if (context->mayHaveCommitted ||
               context->phase == RequestPhase::WaitingAcknowledgement) {
        refuse(context, Refusal::OutcomeUnknown);
    } else if (context->phase == RequestPhase::WaitingFloor) {
        refuse(context, Refusal::NoMajority);
    } else if (context->phase == RequestPhase::WaitingPrimary) {
        refuse(context, Refusal::NoPrimary);
    } else {
        refuse(context, Refusal::DeadlineBeforeRun);
    }
}

void ExecutorCore::onRunningDeadline(const RequestPointer& context) {
    const std::optional<TransactionId> id = context->request.transaction;
    if (Transaction* transaction = id ? _transactions.find(*id) : nullptr) {
        const bool mayCommit =
            context->plan.commits || (transaction->implicit && !context->plan.flush);
        const bool hasWrites = transaction->hasWrites;
        abandon(context, true);
        transaction->connection.reset();
        if (mayCommit) {
            _transactions.erase(*id);
        }
        refuse(context,
               mayCommit && hasWrites ? Refusal::OutcomeUnknown : Refusal::StatementTimedOut);
        return;
    }
    if (context->stage != RequestStage::Plain) {
        const bool unknown = context->mayHaveCommitted || context->stage == RequestStage::KeyCommit;
        abandon(context, context->stage == RequestStage::KeyClaim);
        refuse(context, unknown ? Refusal::OutcomeUnknown : Refusal::StatementTimedOut);
        return;
    }
    const bool mayHaveWritten = context->isAutocommitWrite();
    // A statement that opened a transaction is undone by closing its connection.
    abandon(context, !mayHaveWritten && !context->plan.readOnly);
    refuse(context, mayHaveWritten ? Refusal::OutcomeUnknown : Refusal::StatementTimedOut);
}

void ExecutorCore::expireTransactions() {
    for (const ExpiredTransaction& expired : _transactions.expired(_clock.now())) {
        Transaction& transaction = *_transactions.find(expired.id);
        ++_statistics.transactionsTimedOut;
        const RequestPointer context =
            transaction.running ? findRequest(*transaction.running) : nullptr;
        if (!context) {
            abortTransaction(transaction, false, expired.reason);
            continue;
        }
        const bool mayCommit =
            context->plan.commits || (transaction.implicit && !context->plan.flush);
        if (context->phase == RequestPhase::WaitingAcknowledgement ||
            (context->phase == RequestPhase::Running && mayCommit)) {
            // A commit is bounded by the deadline of its request; the transaction's total time must
            // not cut it short.
            transaction.totalDeadline = context->request.deadline + _knobs.abandonedProgramTimeout;
            continue;
        }
        if (context->phase == RequestPhase::Running) {
            abandon(context, true);
            transaction.connection.reset();
        } else {
            abortTransaction(transaction, false, std::nullopt);
        }
        refuse(context, expired.reason);
    }
}

void ExecutorCore::closeLateConnections() {
    const TimePoint now = _clock.now();
    std::vector<ConnectionId> late;
    for (const auto& [connection, user] : _users) {
        const bool bounded = user.kind != ConnectionUser::Kind::Request &&
                             user.kind != ConnectionUser::Kind::Transaction;
        if (bounded && now >= user.closeAt) {
            late.push_back(connection);
        }
    }
    std::ranges::sort(late);
    for (const ConnectionId connection : late) {
        const ConnectionUser user = _users.at(connection);
        if (user.slot) {
            _queues[_pool.serverOf(connection)].finish(*user.slot);
        }
        _users.erase(connection);
        _pool.discard(connection);
    }
}

std::optional<TimePoint> ExecutorCore::nextTick() const {
    std::optional<TimePoint> next;
    const auto consider = [&next](std::optional<TimePoint> due) {
        if (due) {
            next = next ? std::min(*next, *due) : *due;
        }
    };
    consider(_monitor.nextTick());
    consider(_pool.nextTick());
    consider(_transactions.nextExpiry());
    if (!_deadlines.empty()) {
        consider(_deadlines.begin()->first);
    }
    if (!_pauses.empty()) {
        consider(_pauses.begin()->first);
    }
    for (const FloorWait& wait : _floorWaits) {
        if (wait.majorityAt) {
            consider(*wait.majorityAt + _knobs.sampleGracePeriod);
        }
    }
    for (const auto& [connection, user] : _users) {
        if (user.kind != ConnectionUser::Kind::Request &&
            user.kind != ConnectionUser::Kind::Transaction) {
            consider(user.closeAt);
        }
    }
    if (_keysUsed) {
        consider(_nextKeyExpiry);
    }
    return next;
}

}  // namespace coralhoist::contract
