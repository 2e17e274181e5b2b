/**
 * Chooses the proxy that executes each batch, and retries on another proxy when the first one can't
 * execute the batch.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "contract/BatchEffects.h"
#include "contract/Execution.h"
#include "contract/RetryBudget.h"

namespace coralhoist::contract {

/** Looks up the proxies that execute requests of a group. */
class OwnerDirectory {
public:
    virtual ~OwnerDirectory() = default;

    /**
     * @return the owners of the group in the order in which to try them: active owners first (this
     *         node before the others if it is one of them), then the standbys that take over from
     *         them. Empty when no owner is known. May be out of date.
     */
    virtual std::vector<NodeName> owners(const GroupName& group) const = 0;
};

/** Looks up the executors of proxies. */
class ExecutorDirectory {
public:
    virtual ~ExecutorDirectory() = default;

    /**
     * @return the executor of the group on a node; it stays valid as long as the router. Null when
     *         the node is not known, or when it is this node and does not execute requests of the
     *         group.
     */
    virtual StatementExecutor* executor(const NodeName& node, const GroupName& group) = 0;
};

/** Tuning constants of the router. */
struct RouterKnobs {
    /**
     * Time that a repeatable batch waits for another proxy's response before the next owner is
     * tried.
     */
    Duration attemptTimeout = std::chrono::seconds(2);
    /**
     * While another owner is known, one attempt takes at most the remaining time divided by this
     * number.
     */
    std::uint32_t attemptsPerDeadline = 2;
    /** Initial and maximum backoff before all owners are tried again. */
    Duration backoffMinimum = std::chrono::milliseconds(10);
    Duration backoffMaximum = std::chrono::milliseconds(250);
    /** Maximum number of batches that wait for an owner; further ones are refused as not run. */
    std::size_t waitingLimit = 4096;
    /**
     * Repeats of batches with unknown outcome per hundred first attempts, and the additional burst.
     */
    std::uint32_t retryPercent = 20;
    std::uint32_t retryBurst = 50;
};

/**
 * The executor that callers' sessions use.
 *
 * Invariants: a transaction stays on the executor that began it, even when the directory changes. A
 * batch is sent to another executor only when the previous one reported that the batch did not run,
 * or when it is safe to repeat the batch (it changes nothing, or it carries a request key) and the
 * caller has received no byte of a response. Once an attempt at a change may have taken effect, the
 * batch is never reported as not run. Single-threaded; sinks get exactly one onCompleted for each
 * request.
 */
class GroupRouter final : public StatementExecutor, private ResponseSink {
public:
    /**
     * @param self this node.
     * @param owners, executors, clock, random must outlive the router.
     */
    GroupRouter(NodeName self, const OwnerDirectory& owners, ExecutorDirectory& executors,
                const Clock& clock, RandomSource& random, RouterKnobs knobs = {});

    void submit(ExecutionRequest request, ResponseSink& sink) override;
    void resume(RequestId id) override;
    void cancel(RequestId id) override;
    void endSession(SessionId session) override;

    /** Handles a change of owners: batches that wait for an owner are retried at once. */
    void onOwnersChanged();

    /** Runs all timers that are due. */
    void onTick(TimePoint now);

    /** @return when onTick must be called next; empty when no timer is set. */
    std::optional<TimePoint> nextTick() const;

    /** @return the number of batches that wait for an owner. */
    std::size_t waitingCount() const { return _waiting; }

private:
    /** A proxy and its executor. */
    struct Target {
        NodeName node;
        StatementExecutor* executor = nullptr;
    };

    /** One request from submit to its completion. */
    struct Route {
        ExecutionRequest request;
        ResponseSink* sink = nullptr;
        /**
         * The proxy that currently has the request; its executor is null while the request waits
         * for an owner.
         */
        Target target;
        /** Owners tried since the last backoff. */
        std::vector<NodeName> tried;
        std::optional<TimePoint> timer;
        std::uint32_t pauses = 0;
        /** The request is counted in _waiting. */
        bool waiting = false;
        /** Part of an open transaction; the request never moves to another executor. */
        bool pinned = false;
        /** Effect of the batch on the transaction to which it belongs. */
        bool rollsBack = false;
        bool endsTransaction = false;
        bool repeatable = false;
        bool bytesDelivered = false;
        /** An earlier attempt may have taken effect. */
        bool mayHaveRun = false;
        /** Result of the last attempt; reported to the caller when the deadline passes. */
        ExecutionResult lastFailure;
    };

    /** Routing state of a session: the target of its last batch and its open transaction. */
    struct SessionState {
        Target target;
        /** The open transaction, which exists on the target. */
        OpenTransaction open = OpenTransaction::None;
        /** The target lost the transaction, and the caller has not ended it yet. */
        bool transactionLost = false;
        /** Requests of the session that have not ended. */
        std::vector<RequestId> running;
    };

    bool onResponseBytes(RequestId id, std::size_t stepIndex, std::string bytes,
                         bool stepComplete) override;
    void onCompleted(RequestId id, ExecutionResult result) override;

    void submitPinned(ExecutionRequest request, ResponseSink& sink, const SessionState& session);
    void submitAfterLoss(ExecutionRequest request, ResponseSink& sink, SessionState& session);
    void submitToAnyOwner(ExecutionRequest request, ResponseSink& sink);
    void finishPinned(RequestId id, ExecutionResult result);
    bool isTransactionLost(const Route& route, const ExecutionResult& result) const;
    void tryNextOwner(RequestId id);
    std::optional<Target> chooseTarget(const Route& route);
    void startAttempt(Route& route, const Target& target);
    void waitForOwner(Route& route);
    void finish(RequestId id, ExecutionResult result);
    bool mayTryAgain(const Route& route, const ExecutionError& error);
    void recordFailure(Route& route, ExecutionResult result);
    void onTimer(RequestId id, TimePoint now);
    void onAttemptTimeout(Route& route);
    void moveSession(SessionId session, const Target& target);
    void setTimer(Route& route, TimePoint when);
    void clearTimer(Route& route);
    TimePoint attemptDeadline(const Route& route) const;
    Duration pause(const Route& route);

    NodeName _self;
    const OwnerDirectory& _owners;
    ExecutorDirectory& _executors;
    const Clock& _clock;
    RandomSource& _random;
    RouterKnobs _knobs;
    RetryBudget _budget;
    std::unordered_map<RequestId, Route> _routes;
    std::unordered_map<SessionId, SessionState> _sessions;
    std::set<std::pair<TimePoint, RequestId>> _timers;
    std::size_t _waiting = 0;
};

}  // namespace coralhoist::contract
