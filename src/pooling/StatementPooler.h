/**
 * Runs the statements of many callers' sessions over few connections to the servers of replicated
 * groups, and keeps each session's view consistent.
 */
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admission/AdmissionPolicy.h"
#include "admission/WaitingQueue.h"
#include "base/Time.h"
#include "locality/PlaceDistances.h"
#include "pooling/CapacityShares.h"
#include "pooling/ExecutorPlacement.h"
#include "pooling/FreshnessFloors.h"
#include "pooling/LeadershipProof.h"
#include "pooling/LeadershipTracker.h"
#include "pooling/LoadReport.h"
#include "pooling/OutlierDetector.h"
#include "pooling/PlacementPolicy.h"
#include "pooling/PooledSession.h"
#include "pooling/PoolerKnobs.h"
#include "pooling/PoolerStatistics.h"
#include "pooling/PrimaryWatch.h"
#include "pooling/ServerChoice.h"
#include "pooling/ServerConnections.h"
#include "pooling/ServerDirectory.h"
#include "pooling/ServerLink.h"
#include "pooling/ServerRoundTrip.h"
#include "pooling/ServerState.h"
#include "pooling/ServiceCatalog.h"
#include "pooling/SlotTimeEstimates.h"
#include "pooling/Statement.h"
#include "pooling/TenantActivity.h"
#include "pooling/UnitForwarding.h"
#include "pooling/ZoneLoad.h"

namespace coralhoist::pooling {

/** Receives the decisions of the pooler. */
class PoolerOutput {
public:
    virtual ~PoolerOutput() = default;

    /** The session's statement has ended. Called exactly once for each submit. */
    virtual void reply(SessionId session, StatementResult result) = 0;

    /** The session is to be closed: its service was removed or the process is stopping. */
    virtual void closeSession(SessionId session) = 0;

    /**
     * Reads wait for proof that the group's primary still leads; called repeatedly until the proof
     * arrives.
     */
    virtual void wantLeadershipProof(const GroupName& group) = 0;

    /** A primary shows signs of failure. Called repeatedly while it does. */
    virtual void suspectPrimary(const GroupName& group, const ServerName& server,
                                SuspicionReason reason) = 0;

    /**
     * Responses of servers have changed which server is taken to be the group's primary, or its
     * term.
     */
    virtual void primaryChanged(const GroupName& /*group*/) {}
};

/**
 * The pooler of one process. Single-threaded; no method blocks.
 *
 * Invariants: each submit gets exactly one reply; a statement runs only on a connection with
 * exactly the session's values; a transaction keeps one connection from its first statement to its
 * end; a write or COMMIT is sent at most once; a refusal that promises "not run" is given only
 * before a write was sent or after the server itself reported it.
 */
class StatementPooler final : public ServerEvents,
                              public UnitEvents,
                              public LoadReportEvents,
                              private ConnectionOwner {
public:
    /** The references must outlive the pooler. */
    StatementPooler(const Clock& clock, ServerConnector& connector, PoolerOutput& output,
                    PoolerKnobs knobs);

    /** Replaces services and groups. */
    void applyCatalog(std::shared_ptr<const ServiceCatalog> catalog);

    /** Sets the nodes among which executors are chosen. */
    void applyNodes(const std::vector<ProxyNode>& nodes);

    /**
     * From now on forwards statements that other nodes execute. @param forwarder must outlive the
     * pooler.
     */
    void setForwarder(UnitForwarder& forwarder) { _forwarder = &forwarder; }

    /**
     * From now on sends load reports of overloaded groups to the other executors.
     * @param reporter must outlive the pooler.
     */
    void setLoadReporter(LoadReporter& reporter) { _loadReporter = &reporter; }

    /**
     * From now on queries the policy where units may be sent. @param policy must outlive the
     * pooler.
     */
    void setPlacementPolicy(PlacementPolicy& policy) { _policy = &policy; }

    /** From now on prefers nearby servers and nodes. @param distances must outlive the pooler. */
    void setRegions(const locality::RegionMap& regions, const locality::PlaceDistances& distances);

    /**
     * To be called when verdicts of the policy have changed: ends idle transactions that are no
     * longer permitted where they are open, and reviews queued statements.
     */
    void reviewPlacement();

    /**
     * The server accepts work again as if it had just started: the in-flight limit of this node
     * restarts at one statement and grows with the server's responses.
     */
    void restartSlowStart(const GroupName& group, const ServerName& server);

    /** @return whether this node executes the group's statements. */
    bool executesHere(const GroupName& group) const;

    /** Sets the maximum number of connections from this process to one server. */
    void setConnectionBound(std::uint32_t connections) {
        _knobs.connectionsPerServer = connections;
    }

    /** Applies the current announcements of all servers. */
    void applyDirectory(const ServerDirectory& directory);

    /** Applies the current announcements of one group's servers. */
    void applyServers(const GroupName& group, const ServerDirectory::Servers& listed);

    /** Applies the store's record of a group's promotions. */
    void applyNotice(const GroupName& group, const PromotionNotice& notice);

    /**
     * Applies a proof of leadership for all groups; a group with queued statements is confirmed at
     * once, any other group when it needs the proof.
     */
    void applyProof(const LeadershipProof& proof);

    /** The group's current primary was proven to lead at a time not before askedAt. */
    void confirmLeadership(const GroupName& group, TimePoint askedAt);

    /** @return whether the service exists. */
    bool hasService(const ServiceName& service) const;

    /** @return all services that are currently in force. */
    std::shared_ptr<const ServiceCatalog> catalog() const { return _catalog; }

    /** Opens a session of an existing service. @param tenant empty for none. */
    SessionId openSession(const ServiceName& service, const TenantName& tenant = {});

    /**
     * Sets the tenant on whose behalf the session's statements run from now on; must not be called
     * inside a transaction.
     */
    void setTenant(SessionId session, const TenantName& tenant);

    /**
     * Ends a statement that must not run, without running it. An open transaction is rolled back
     * and the caller has to end it, unless the statement itself was to end it.
     */
    void refuse(SessionId session, const Statement& statement, StatementError error);

    /**
     * A statement of the session has arrived and will be submitted later: the session is not idle.
     */
    void expectStatement(SessionId session);

    /**
     * Sets whether callers have tenants; if so, connections without a tenant serve no statements.
     */
    void setCallersHaveTenants(bool haveTenants);

    /** Opens a session for a unit of work that another node forwards. */
    SessionId openUnit(const UnitOpening& opening);

    /** Runs a statement of a forwarded unit that has no statement in progress. */
    void submitUnit(SessionId session, UnitStatement statement);

    /** @return the log position that covers the session's own commits in its present group. */
    OpTime ownFloorOf(SessionId session) const;

    /** Runs a statement of a session that has no statement in progress. */
    void submit(SessionId session, Statement statement);

    /** The caller has disconnected: its transaction is rolled back; no reply follows. */
    void endSession(SessionId session);

    /** @return the transaction state of a session; Idle if the session does not exist. */
    SessionState stateOfSession(SessionId session) const;

    /** Closes sessions outside transactions that have been idle for the given time. */
    void closeIdleSessions(Duration idleFor);

    /**
     * Begins no new work from now on: a statement outside a transaction is refused as not run and
     * its session is closed. Idle transactions are rolled back; call this again while any
     * transaction is open.
     */
    void finishWork();

    /** @return whether the pooler begins no new work. */
    bool isStopping() const { return _stopping; }

    /**
     * Replies to each remaining statement with what is known of its outcome, and closes all
     * sessions.
     */
    void answerAll();

    std::size_t sessionCount() const { return _sessions.size(); }

    /**
     * @return the number of groups visited in every round: those in use by this node and those that
     * it executes.
     */
    std::size_t activeGroups() const { return _activeGroups.size(); }

    /** @return the number of statements queued on this node, by rank. */
    std::array<std::size_t, settings::kAdmissionRanks> waitingByRank() const;

    void onOpened(ConnectionId connection, OpTime position) override;
    void onOpenFailed(ConnectionId connection,
                      const std::optional<StatementError>& refusal) override;
    void onResult(ConnectionId connection, StatementResult result) override;
    void onLost(ConnectionId connection) override;

    void onUnitResult(UnitId unit, UnitResult result) override;
    void onUnitLost(UnitId unit, UnitLoss loss) override;

    void onLoadReport(const LoadReport& report) override;

    /** Handles everything that is due. */
    void onTick();

    /** @return when onTick must be called next. */
    std::optional<TimePoint> nextTick() const;

    /** @return the current primary of a group. */
    std::optional<Primary> primaryOf(const GroupName& group) const;

    /** @return the load of this node on the servers of each zone. */
    std::map<ZoneName, ZoneLoad> loadByZone() const;

    const PoolerStatistics& statistics() const { return _statistics; }

private:
    /** State of a group, and the statements that wait for one of its servers. */
    struct GroupState {
        GroupName name;
        LeadershipTracker leadership;
        /** Number of the newest proof that was applied to `leadership`. */
        std::uint64_t proofTaken = 0;
        FreshnessFloors floors;
        SlotTimeEstimates slotTimes;
        TenantActivity activity;
        std::map<ServerName, ServerState> servers;
        OutlierDetector outliers;
        admission::WaitingQueue waiting;
        /** Sessions whose acknowledged commits await a proof of the primary's leadership. */
        std::set<SessionId> unprovenCommits;
        /** Services are scheduled fairly within a rank where callers have no tenants. */
        bool fairServices = false;
        CapacityShares shares;
        /** Earliest time at which the next start of sharing is logged. */
        TimePoint nextShareLog{};
        /** Whether the start of the current sharing was logged; if so, its end is logged too. */
        bool sharesLogged = false;
        admission::AdmissionPolicy admission;
        /** Server latency above which fewer statements are sent to the server. */
        Duration latencyTarget = std::chrono::milliseconds(100);
        PrimaryWatch primaryWatch;
    };
    struct ByName {
        bool operator()(const GroupState* left, const GroupState* right) const {
            return left->name < right->name;
        }
    };
    /** Groups ordered by name. */
    using GroupSet = std::set<GroupState*, ByName>;
    /** Time at which a session's statement must be reviewed. */
    struct Wake {
        TimePoint at;
        SessionId session;
        std::uint64_t serial = 0;
        bool operator>(const Wake& other) const { return at > other.at; }
    };
    /** What a queued statement requires of a server. */
    struct Requirement {
        bool primary = false;
        std::optional<OpTime> floor;
        /** Time at which the log is known to have reached the floor. */
        TimePoint reachedAt{};
        /** No server can run the statement now. */
        bool impossible = false;
    };
    /** Which of the servers that could run a unit are permitted by the policy. */
    struct PlacementOutlook {
        /** At least one server may be used as soon as it has capacity. */
        bool anyAllowed = false;
        /** Expected time until one may be used, if none may be used now. */
        std::optional<Duration> soonest;
        /** Why none may be used now; null if the policy excludes no server. */
        const char* reason = nullptr;

        void note(const PlacementVerdict& verdict);
        /** @return whether only the policy prevents the unit from being sent now. */
        bool rulesOutAll() const { return !anyAllowed && reason != nullptr; }
    };
    struct PendingReply {
        SessionId session;
        StatementResult result;
    };

    // PoolerStatements.cpp: statements of callers.
    void beginTransaction(PooledSession& session, const Statement& statement);
    void startTransaction(PooledSession& session, const Statement& begin);
    void setValue(PooledSession& session, const Statement& statement);
    void prepareShape(PooledSession& session, const Statement& statement);
    PreparedShape shapeOf(ShapeKind kind, const std::string& shape);
    void closeShape(PooledSession& session, const Statement& statement);
    void endFailedTransaction(PooledSession& session, const Statement& statement);
    void rollBack(PooledSession& session);
    void startOperation(PooledSession& session, Statement statement);
    bool refreshSettings(PooledSession& session);
    bool isWrite(const PooledSession& session, const Statement& statement) const;
    void replyCompleted(const PooledSession& session);
    void replyError(PooledSession& session, StatementFault fault, std::string message);
    void replyError(PooledSession& session, StatementError error);
    void queueReply(const PooledSession& session, StatementResult result);
    void finishOperation(PooledSession& session, StatementResult result);
    SessionState stateOf(const PooledSession& session) const;

    // PoolerQueue.cpp: queued statements, and what each requires of a server.
    void enqueue(PooledSession& session);
    void dispatch(GroupState& group);
    static UnitKind unitKindOf(const PooledSession& session);
    static bool isSingleRead(const PooledSession& session);
    bool isQueued(const PooledSession& session) const;
    static bool hasSlot(const PooledSession& session);
    admission::WaitingStatement waitingStatement(const GroupState& group,
                                                 const PooledSession& session) const;
    static std::string flowOf(const GroupState& group, const PooledSession& session);
    bool place(GroupState& group, PooledSession& session);
    Requirement requirementOf(GroupState& group, PooledSession& session);
    Requirement readRequirement(GroupState& group, const PooledSession& session) const;
    Requirement primaryRequirement(GroupState& group, PooledSession& session);
    void wakeWhenWritable(PooledSession& session, TimePoint at);
    const char* localObstacle(const GroupState& group, const Operation& operation) const;
    bool moveToOther(const GroupState& group, PooledSession& session);

    // PoolerAdmission.cpp: how long a statement is held, and when its caller should retry.
    void setTimes(PooledSession& session);
    TimePoint latestStart(const PooledSession& session);
    static void noteAsked(PooledSession& session, const StatementResult& result);
    static admission::StatementClass statementClassOf(const PooledSession& session);
    TimePoint onTimeUntil(const PooledSession& session) const;
    void noteStarted(GroupState& group, const PooledSession& session);
    void refuseByForecast(GroupState& group);
    void refuseAsBusy(PooledSession& session);
    void refuseQueued(PooledSession& session, Duration retryAfter);

    // PoolerDispatch.cpp: choice of server and connection.
    ServerState* chooseServer(GroupState& group, PooledSession& session,
                              const Requirement& requirement, PlacementOutlook& outlook);
    bool isCandidate(const GroupState& group, const ServerState& server,
                     const PooledSession& session, const Requirement& requirement) const;
    std::optional<ServerCandidate> candidateOf(const GroupState& group, const ServerState& server,
                                               const PooledSession& session,
                                               const Requirement& requirement,
                                               PlacementOutlook& outlook) const;
    static PlacedUnit placedUnit(const PooledSession& session, bool needsPrimary);
    PlacedServer placedServer(const GroupState& group, const ServerState& server) const;
    bool refuseUnplaceable(PooledSession& session, const PlacementOutlook& outlook);
    Duration replicaWaitLimit(const GroupState& group, const PooledSession& session) const;
    void waitForReplica(PooledSession& session, Duration wait);
    std::uint32_t executorsPerZone() const;
    std::uint32_t connectionBound() const;
    ServerRoundTrip wayTo(const ServerState& server) const;
    double inflightCapacityOf(const ServerState& server) const;
    Duration distancePenalty(const ServerState& server) const;
    bool isPrimary(const GroupState& group, const ServerState& server) const;
    bool isHalfUsed(const ServerState& server) const;
    Duration unitTimeOf(const GroupState& group, const PooledSession& session) const;
    double slownessOf(const ServerState& server) const;
    ProbePauses probePauses() const;
    double initialLimit(const GroupName& group, const ServerState& server) const;
    bool hasRoom(const ServerState& server, const PooledSession& session) const;
    bool mayOpenFor(const ServerState& server, const Operation& operation) const;
    bool isOpening(const Operation& operation) const;
    bool isOpeningAt(const Operation& operation, const ServerState& server) const;
    bool isSuspect(const ServerState& server) const;
    std::uint32_t connectionLimit(const GroupName& group) const;
    OpeningTerms openingTerms(const ServerState& server) const;

    // PoolerShares.cpp: how the executors of a group share server capacity.
    SharedServer sharedServer(const ServerState& server) const;
    bool isWithinShare(const ServerState& server, std::uint32_t inflight) const;
    void noteNoRoom(GroupState& group, const PooledSession& session);
    OwnLoad ownLoad(const GroupName& name, GroupState& group);
    void updateShares(const GroupName& name, GroupState& group, TimePoint now);
    void logShares(const GroupName& name, GroupState& group, TimePoint now);

    // PoolerSending.cpp: what is sent on a connection.
    void start(GroupState& group, ServerState& server, ServerConnection& connection,
               PooledSession& session, const Requirement& requirement);
    void sendStatement(ServerConnection& connection, PooledSession& session,
                       std::vector<ServerCommand> commands);
    void sendInTransaction(PooledSession& session);
    bool mayContinue(ServerConnection& connection, PooledSession& session);
    void noteSent(const ServerConnection& connection, const PooledSession& session);
    void noteIfLost(const GroupName& group, const ServerName& name);
    ServerCommand callerCommand(const PooledSession& session) const;

    // PoolerResults.cpp: handling of servers' responses.
    void onBeginResult(ServerConnection& connection, PooledSession& session,
                       const StatementResult& result);
    void onStatementResult(ServerConnection& connection, PooledSession& session,
                           StatementResult result);
    void onSucceeded(ServerConnection& connection, PooledSession& session, StatementResult result);
    void onRefused(ServerConnection& connection, PooledSession& session, StatementResult result);
    void onSingleRefused(ServerConnection& connection, PooledSession& session,
                         StatementResult result);
    void onTransactionRefused(ServerConnection& connection, PooledSession& session,
                              StatementResult result);
    void noteLatency(ServerConnection& connection, PooledSession& session);
    void noteSlowness(ServerState& server, const PooledSession& session, Duration took);
    void noteSlotTime(PooledSession& session, Duration took);
    void noteRequestLost(ServerState* server);
    void reviewOutliers(const GroupName& name, GroupState& group);
    void noteTransactionTime(const PooledSession& session);
    void lowerLimit(ServerState& server, double factor);
    void noteBusy(ServerState& server);
    void noteLagging(ServerState& server, OpTime floor);
    void setLatencyTargets();
    void applyQueueSettings();
    void noteFault(PooledSession& session, StatementFault fault);
    void notePosition(const ServerConnection& connection, OpTime position);
    void noteReadOnly(GroupState& group, const ServerName& server);
    void notifyIfPrimaryChanged(const GroupState& group, const std::optional<Primary>& before);
    void requeue(PooledSession& session, const char* obstacle);
    void noteLoss(const ServerConnection& connection);
    void failTransaction(PooledSession& session);
    void onUserLost(PooledSession& session, const char* reason);
    void forgetTransaction(PooledSession& session);
    void onSentLost(PooledSession& session, const char* reason);
    void keepWarm(GroupState& group);
    bool keepsWarm(const GroupName& group) const;
    void releaseUnused(GroupState& group);

    // PoolerCommits.cpp: what successful statements prove.
    static bool commitsChanges(const PooledSession& session);
    bool isCommitInDoubt(const PooledSession& session, const StatementResult& result) const;
    static bool isCommitCertain(const GroupState& group, const StatementResult& result,
                                TimePoint acknowledgedAt);
    void noteFreshness(PooledSession& session, const StatementResult& result, bool committed);
    void wantProof(const PooledSession& session);
    void renewProof(const GroupState& group, const PooledSession& session);
    void holdCommit(GroupState& group, PooledSession& session, StatementResult result);
    void reviewUnprovenCommits(GroupState& group);
    void reviewUnprovenCommit(GroupState& group, PooledSession& session);
    void reviewAcknowledged(PooledSession& session, TimePoint now);
    void finishCommit(PooledSession& session);
    void reportInDoubt(PooledSession& session, const char* reason);

    // PoolerForwarding.cpp: units that other nodes execute.
    bool forward(PooledSession& session);
    bool forwardToOther(PooledSession& session);
    std::optional<NodeName> chooseExecutor(const PooledSession& session) const;
    void forwardInTransaction(PooledSession& session);
    void noteForwarded(PooledSession& session);
    bool mayForwardTo(const PooledSession& session, const NodeName& node) const;
    UnitStatement unitStatement(const PooledSession& session) const;
    UnitOpening unitOpening(const PooledSession& session) const;
    void reviewForwarded(PooledSession& session, TimePoint now);
    void endUnit(std::optional<UnitId>& unit);

    // PoolerStop.cpp: how statements end in a planned stop, or when its time is over.
    void refuseAsStopping(PooledSession& session);
    void giveUp(PooledSession& session, const char* reason);
    void giveUpQueued(PooledSession& session, const char* reason);
    void giveUpSent(PooledSession& session, const char* reason);

    // PoolerTimers.cpp
    void wakeAt(const PooledSession& session, TimePoint at);
    void review(PooledSession& session, TimePoint now);
    void reviewQueued(PooledSession& session, TimePoint now);
    bool isAnswerOverdue(const Operation& operation, const ServerState* server) const;
    void reviewSent(PooledSession& session, TimePoint now);
    void runRound(TimePoint now);
    bool reviewGroup(GroupState& group, TimePoint now);
    static bool hasConnections(const GroupState& group);
    void reportServers(const GroupName& name, GroupState& group);
    void endIdleTransactions(TimePoint now);
    void endTransaction(PooledSession& session, const char* reason);
    bool watchPrimary(GroupState& group, TimePoint now);
    void closeLateConnections();

    void settle();
    void dispatchDirty();
    void flushReplies();
    GroupState& groupNamed(const GroupName& name);
    void markDirty(GroupState& group);
    void markDirty(const GroupName& group) { markDirty(groupNamed(group)); }
    void activateAll();
    void takeNewestProof(GroupState& group);
    bool mayLogAnswers(const PooledSession& session) const;
    void logFailure(const PooledSession& session, StatementFault fault, const std::string& message);
    void logSlow(const PooledSession& session);
    GroupState& groupOf(const PooledSession& session) { return groupNamed(session.group); }
    ServerState* serverOf(const ServerConnection& connection) override;
    bool isClosed(const ServerState& server) override;
    void onRoom(const GroupName& group) override { markDirty(group); }
    void onForgotten(const ServerConnection& connection) override;
    PooledSession* findSession(SessionId id);

    const Clock& _clock;
    ServerConnector& _connector;
    PoolerOutput& _output;
    PoolerKnobs _knobs;
    std::shared_ptr<const ServiceCatalog> _catalog;
    std::map<GroupName, GroupState> _groups;
    /** Groups whose queued statements are to be reviewed. */
    GroupSet _dirtyGroups;
    /**
     * Groups with statements, connections or a decision that depends on time. Rounds skip all other
     * groups, so that the cost of a round depends on the work of this node and not on the number of
     * groups.
     */
    GroupSet _activeGroups;
    std::optional<LeadershipProof> _newestProof;
    std::uint64_t _lastProof = 0;
    std::unordered_map<SessionId, PooledSession> _sessions;
    std::unordered_map<std::string, std::string> _shapeNames;
    std::priority_queue<Wake, std::vector<Wake>, std::greater<>> _wakes;
    std::vector<PendingReply> _replies;
    std::vector<SessionId> _closing;
    std::unordered_set<SessionId> _openTransactions;
    PoolerStatistics _statistics;
    ServerConnections _connections;
    ExecutorPlacement _placement;
    /** Null if there is only one region. */
    const locality::PlaceDistances* _distances = nullptr;
    UnitForwarder* _forwarder = nullptr;
    LoadReporter* _loadReporter = nullptr;
    /** Null if no policy is set; units may then be sent to all servers and nodes. */
    PlacementPolicy* _policy = nullptr;
    /** The other nodes are known; before that, this node appears to be the only executor. */
    bool _nodesKnown = false;
    bool _callersHaveTenants = false;
    std::unordered_map<UnitId, SessionId> _units;
    std::uint64_t _lastUnit = 0;
    TimePoint _startedAt;
    TimePoint _nextRound{};
    TimePoint _nextReport{};
    std::uint64_t _lastSession = 0;
    std::uint64_t _lastSerial = 0;
    bool _settling = false;
    bool _stopping = false;
};

}  // namespace coralhoist::pooling
