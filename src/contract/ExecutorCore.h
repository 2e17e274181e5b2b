/** Implementation of the group executor. */
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "contract/AdmissionQueue.h"
#include "contract/ConnectionPool.h"
#include "contract/ConnectionShare.h"
#include "contract/ExecutorKnobs.h"
#include "contract/ExecutorStatistics.h"
#include "contract/FloorHistory.h"
#include "contract/MajoritySampler.h"
#include "contract/Refusals.h"
#include "contract/RequestContext.h"
#include "contract/RetryBudget.h"
#include "contract/StatusMonitor.h"
#include "contract/TransactionTable.h"
#include "machine/GroupTopology.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::contract {

/**
 * State machine that moves requests through their phases. Each entry point changes state and then
 * calls settle(), which performs every step that is possible now, until only events or timers can
 * make further progress.
 *
 * Sinks may call back into the executor. Such calls only change state, and the settle() that is
 * already running continues with the new state.
 */
class ExecutorCore {
public:
    ExecutorCore(settings::GroupSettings settings, const Clock& clock, RandomSource& random,
                 BackendConnector& connector, const ExecutorKnobs& knobs);

    void submit(ExecutionRequest request, ResponseSink& sink);
    void resume(RequestId id);
    void cancel(RequestId id);
    void endSession(SessionId session);

    void onOpened(ConnectionId connection);
    void onOpenFailed(ConnectionId connection);
    void onForwardBytes(ConnectionId connection, std::size_t commandIndex, std::string bytes);
    void onCommandEnded(ConnectionId connection, std::size_t commandIndex, CommandOutcome outcome);
    void onProgramEnded(ConnectionId connection, ConnectionState state);
    void onLost(ConnectionId connection, bool sent, const std::string& message);

    void applySettings(settings::GroupSettings settings);
    void setConnectionShare(const ConnectionShare& share);
    void onTermHint(Term term);
    void onTick();
    std::optional<TimePoint> nextTick() const;
    void drain();
    bool isDrained() const;
    ExecutorStatistics statistics() const;
    GroupReport status() const;

private:
    /** The user of a pooled connection. */
    struct ConnectionUser {
        enum class Kind {
            Request,     /**< The program of a request. */
            Transaction, /**< An open transaction without a running program. */
            Abandoned,   /**< A program whose request completed before the program ended. */
            Rollback,    /**< Rolls back a transaction before the connection is reused. */
            Reset,       /**< Discards session state before the connection is reused. */
            KeyExpiry,   /**< Deletes expired request keys. */
        };
        Kind kind = Kind::Request;
        RequestId request;
        /** Slot that an abandoned program still occupies. */
        std::optional<AdmissionClass> slot;
        TimePoint closeAt{};
        /** A command of a program that the proxy issued for itself failed. */
        bool failed = false;
    };
    /** Requests that wait for the same majority sample. */
    struct FloorWait {
        SampleTicket ticket = 0;
        TimePoint askedAt{};
        std::optional<TimePoint> majorityAt;
        std::vector<RequestId> requests;
    };
    /** The inputs of routing. When they change, all waiting requests are routed again. */
    struct RoutingState {
        std::optional<machine::ConfirmedPrimary> primary;
        std::vector<ServerName> readable;
        bool operator==(const RoutingState&) const = default;
    };

    // ExecutorCore.cpp: request lifecycle; ExecutorTimers.cpp: deadlines.
    void reconfigure();
    void updateEffectiveShare();
    std::optional<Refusal> checkAdmissible(const RequestContext& context) const;
    bool enterTransaction(const RequestPointer& context);
    bool handleTombstone(const RequestPointer& context, Transaction& transaction);
    void settle();
    void deliverOutgoing();
    void deliver(const RequestPointer& context);
    void queueDelivery(const RequestPointer& context);
    Transaction* ownTransaction(const RequestContext& context);
    void endRefusedImplicitTransaction(const RequestPointer& context);
    void refuse(const RequestPointer& context, Refusal refusal, std::string detail = {});
    void finish(const RequestPointer& context);
    void clearQueueAndDeadline(const RequestPointer& context);
    void removeRequest(const RequestPointer& context);
    void runTimers();
    void expireTransactions();
    void expireRequests();
    void onDeadline(const RequestPointer& context);
    void onRunningDeadline(const RequestPointer& context);
    void closeLateConnections();
    void endTransactionOfSession(TransactionId id);
    RequestPointer findRequest(RequestId id) const;

    // ExecutorRouting.cpp: read floors, server selection, admission, start of programs.
    void routeAll();
    void route(const RequestPointer& context);
    bool assignFloor(const RequestPointer& context);
    void waitForFloor(const RequestPointer& context);
    void resolveFloorWaits();
    void assignSampledFloor(const RequestPointer& context, const OpTime& floor);
    bool isSampleComplete(FloorWait& wait, std::size_t answers) const;
    std::optional<ServerName> chooseServer(const RequestContext& context);
    std::optional<ServerName> chooseReplica(const RequestContext& context);
    bool overflowsToPrimary(const RequestContext& context, const ServerName& replica) const;
    static AdmissionClass admissionClassOf(const ExecutionRequest& request);
    bool isReadable(const ServerName& server) const;
    void enqueue(const RequestPointer& context, const ServerName& server);
    void pauseBeforeRoute(const RequestPointer& context);
    RoutingState currentRouting() const;
    void updateRouting();
    void dispatch();
    void dispatchServer(const ServerName& server, AdmissionQueue& queue);
    void startOnPool(const RequestPointer& context, const PoolLease& lease);
    void startInTransaction(const RequestPointer& context);
    void runProgram(const RequestPointer& context, ConnectionId connection,
                    LabelledProgram program);
    void expireKeys();

    // ExecutorOutcomes.cpp: results of programs; ExecutorAcknowledgement.cpp: majority
    // acknowledgement of commits; ExecutorConnections.cpp: pinned, released and lost connections.
    void onStepEnded(const RequestPointer& context, std::size_t stepIndex,
                     const CommandOutcome& outcome);
    void onGuardEnded(const RequestPointer& context, const CommandOutcome& outcome);
    void recordStatus(const ServerName& server, const machine::ServerStatus& status);
    void onRequestProgramEnded(const RequestPointer& context, ConnectionState state);
    void finishPlain(const RequestPointer& context, ConnectionState state);
    void finishInTransaction(const RequestPointer& context, ConnectionState state);
    bool reroutesRefusedWrite(const RequestContext& context) const;
    bool needsAcknowledgement(const RequestContext& context, bool hasWrites) const;
    void completeWithOutcome(const RequestPointer& context, bool acknowledge);
    void awaitAcknowledgement(const RequestPointer& context);
    void resolveAcknowledgements();
    void acknowledge(const RequestPointer& context);
    void onCommitUnconfirmed(const RequestPointer& context);
    void retryGuard(const RequestPointer& context);
    bool tryRetry();
    void restart(const RequestPointer& context);
    void releaseSlot(const RequestPointer& context);
    void releaseConnection(const RequestPointer& context, ConnectionState state);
    void rollBackConnection(ConnectionId connection);
    void resetConnection(ConnectionId connection);
    void finishInternalProgram(ConnectionId connection, ConnectionState state);
    void cancelProgram(ConnectionId connection);
    void reportSkippedBatch(const RequestPointer& context);
    void abandon(const RequestPointer& context, bool close);
    void pin(const RequestPointer& context, ConnectionState state);
    void unpin(const RequestPointer& context, Transaction& transaction, ConnectionState state);
    void abortTransaction(Transaction& transaction, bool close, std::optional<Refusal> unreported);
    void onRequestLost(const RequestPointer& context, bool sent, const std::string& message);
    void onTransactionRequestLost(const RequestPointer& context, bool sent,
                                  const std::string& message);
    const CommandOutcome* outcomeOf(const RequestContext& context, CommandRole role) const;
    bool committed(const RequestContext& context) const;
    void forwardCommitError(const RequestPointer& context);
    bool anyStepFailed(const RequestContext& context) const;

    // ExecutorKeys.cpp: requests with a request key.
    LabelledProgram buildKeyClaim(const RequestContext& context, const PoolLease& lease) const;
    void finishKeyClaim(const RequestPointer& context, ConnectionState state);
    void onKeyClaimRefused(const RequestPointer& context, const CommandOutcome& outcome);
    void startKeyCommit(const RequestPointer& context);
    void finishKeyCommit(const RequestPointer& context, ConnectionState state);
    void startKeyLookup(const RequestPointer& context);
    void finishKeyLookup(const RequestPointer& context, ConnectionState state);
    void startKeyTableCreation(const RequestPointer& context);
    void finishKeyTableCreation(const RequestPointer& context, ConnectionState state);
    std::vector<ParameterValue> keyParameters(const RequestContext& context,
                                              std::optional<std::string> third) const;

    settings::GroupSettings _settings;
    const Clock& _clock;
    RandomSource& _random;
    BackendConnector& _connector;
    ExecutorKnobs _knobs;
    /** This proxy's share by the latest placement. */
    ConnectionShare _share;
    /**
     * The share in effect. A former owner keeps its former share until the requests that it
     * accepted have ended.
     */
    ConnectionShare _effectiveShare;

    machine::GroupTopology _topology;
    MajoritySampler _sampler;
    StatusMonitor _monitor;
    ConnectionPool _pool;
    RetryBudget _retryBudget;
    FloorHistory _floors;
    TransactionTable _transactions;
    std::map<ServerName, AdmissionQueue> _queues;

    std::unordered_map<RequestId, RequestPointer> _requests;
    std::unordered_map<SessionId, std::set<RequestId>> _sessionRequests;
    std::unordered_map<ConnectionId, ConnectionUser> _users;
    std::vector<RequestId> _toRoute;
    std::deque<FloorWait> _floorWaits;
    std::vector<RequestId> _waitingPrimary;
    std::vector<RequestId> _awaitingAcknowledgement;
    std::deque<RequestId> _outgoing;
    std::set<std::pair<TimePoint, RequestId>> _deadlines;
    std::set<std::pair<TimePoint, RequestId>> _pauses;

    RoutingState _routing;
    bool _settling = false;
    bool _draining = false;
    bool _keysUsed = false;
    TimePoint _nextKeyExpiry{};
    ExecutorStatistics _statistics;
    std::optional<TimePoint> _lastAcknowledgedAt;
    std::optional<TimePoint> _gapBeganAt;
    Term _lastConfirmedTerm = 0;
};

}  // namespace coralhoist::contract
