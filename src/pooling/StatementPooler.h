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

/** Where the pooler's decisions go. */
class PoolerOutput {
public:
    virtual ~PoolerOutput() = default;

    /** The session's statement has ended. Exactly one call for each submit. */
    virtual void reply(SessionId session, StatementResult result) = 0;

    /** The session is to be closed: its service is gone or the process stops. */
    virtual void closeSession(SessionId session) = 0;

    /** Reads wait for proof that the group's primary still leads; asked again until it comes. */
    virtual void wantLeadershipProof(const GroupName& group) = 0;

    /** A primary shows signs of failure. Called often while it does. */
    virtual void suspectPrimary(const GroupName& group, const ServerName& server,
                                SuspicionReason reason) = 0;

    /** Servers' answers have changed which server is taken for the group's primary, or its term. */
    virtual void primaryChanged(const GroupName& /*group*/) {}
};

/**
 * The pooler of one process. Single-threaded, no method blocks.
 *
 * Invariants: each submit gets exactly one reply; a statement runs only on a connection with
 * exactly the session's values; a transaction keeps one connection from its first statement to its
 * end; a write or COMMIT is sent at most once; a refusal that promises "not run" is given only
 * before a write was sent or after the server itself said so.
 */
class StatementPooler final : public ServerEvents,
                              public UnitEvents,
                              public LoadReportEvents,
                              private ConnectionOwner {
public:
    /** References outlive the pooler. */
    StatementPooler(const Clock& clock, ServerConnector& connector, PoolerOutput& output,
                    PoolerKnobs knobs);

    /** Replaces services and groups. */
    void applyCatalog(std::shared_ptr<const ServiceCatalog> catalog);

    /** Takes the nodes among which executors are chosen. */
    void applyNodes(const std::vector<ProxyNode>& nodes);

    /** Forwards from now on what other nodes execute. @param forwarder outlives the pooler. */
    void setForwarder(UnitForwarder& forwarder) { _forwarder = &forwarder; }

    /** Tells other executors of crowded groups from now on. @param reporter outlives the pooler. */
    void setLoadReporter(LoadReporter& reporter) { _loadReporter = &reporter; }

    /** Asks the policy from now on where units may go. @param policy outlives the pooler. */
    void setPlacementPolicy(PlacementPolicy& policy) { _policy = &policy; }

    /** Prefers what is near from now on. @param distances outlive the pooler. */
    void setRegions(const locality::RegionMap& regions, const locality::PlaceDistances& distances);

    /**
     * Verdicts of the policy have changed: transactions that rest where they must not go on are
     * ended, and what waits is looked at again.
     */
    void reviewPlacement();

    /** The server takes work again as if it had just started: what this node has in flight there
     * begins at one statement, and grows with its answers. */
    void admitAnew(const GroupName& group, const ServerName& server);

    /** @return whether this node executes the group's statements. */
    bool executesHere(const GroupName& group) const;

    /** Takes the most connections that this process may hold to one server. */
    void setConnectionBound(std::uint32_t connections) {
        _knobs.connectionsPerServer = connections;
    }

    /** Takes the current announcements of all servers. */
    void applyDirectory(const ServerDirectory& directory);

    /** Takes the current announcements of one group's servers. */
    void applyServers(const GroupName& group, const ServerDirectory::Servers& listed);

    /** Takes the store's record of a group's promotions. */
    void applyNotice(const GroupName& group, const PromotionNotice& notice);

    /** Takes a proof for all groups; a group whose statements wait is confirmed at once, any other
     * one when it is needed. */
    void applyProof(const LeadershipProof& proof);

    /** The group's primary, as taken now, was proven to lead at a moment not before askedAt. */
    void confirmLeadership(const GroupName& group, TimePoint askedAt);

    /** @return whether there is such a service. */
    bool hasService(const ServiceName& service) const;

    /** @return all services, as they are in force. */
    std::shared_ptr<const ServiceCatalog> catalog() const { return _catalog; }

    /** Opens a session of a service that exists. @param tenant empty for none. */
    SessionId openSession(const ServiceName& service, const TenantName& tenant = {});

    /** The session's statements run on behalf of this tenant from now on; outside transactions. */
    void setTenant(SessionId session, const TenantName& tenant);

    /**
     * Ends a statement that must not run, without running it. An open transaction is rolled back,
     * which the caller ends, unless the statement was its end.
     */
    void refuse(SessionId session, const Statement& statement, StatementError error);

    /** A statement of the session has come and is submitted later: the session is not idle. */
    void expectStatement(SessionId session);

    /** Callers come as tenants: connections that belong to none serve nobody. */
    void setCallersHaveTenants(bool haveTenants);

    /** Opens a session for a unit of work that another node forwards. */
    SessionId openUnit(const UnitOpening& opening);

    /** Runs a statement of a forwarded unit that waits for none. */
    void submitUnit(SessionId session, UnitStatement statement);

    /** @return the position that covers the session's own commits. */
    OpTime ownFloorOf(SessionId session) const;

    /** Runs a statement of a session that waits for none. */
    void submit(SessionId session, Statement statement);

    /** The caller is gone: its transaction is rolled back; no reply follows. */
    void endSession(SessionId session);

    /** @return the transaction state of a session; Idle when there is none. */
    SessionState stateOfSession(SessionId session) const;

    /** Closes sessions outside transactions that have been idle for the time given. */
    void closeIdleSessions(Duration idleFor);

    /**
     * Begins nothing new from now on: what comes outside a transaction is refused as not run and
     * its session closed. Transactions that rest are rolled back; call it again while any is open.
     */
    void finishWork();

    /** @return whether nothing new is begun. */
    bool isStopping() const { return _stopping; }

    /** Gives each statement that is left its answer, by what is known of it, and closes all. */
    void answerAll();

    std::size_t sessionCount() const { return _sessions.size(); }

    /** @return groups that every round looks at: those in use here, and those executed here. */
    std::size_t activeGroups() const { return _activeGroups.size(); }

    /** @return how many statements wait here for a server, by rank. */
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

    /** @return the primary of a group as taken now. */
    std::optional<Primary> primaryOf(const GroupName& group) const;

    /** @return what this node has at the servers of each zone. */
    std::map<ZoneName, ZoneLoad> loadByZone() const;

    const PoolerStatistics& statistics() const { return _statistics; }

private:
    /** What is known of a group, and the statements that wait for one of its servers. */
    struct GroupState {
        GroupName name;
        LeadershipTracker leadership;
        /** Number of the newest proof that `leadership` has taken. */
        std::uint64_t proofTaken = 0;
        FreshnessFloors floors;
        SlotTimeEstimates slotTimes;
        TenantActivity activity;
        std::map<ServerName, ServerState> servers;
        OutlierDetector outliers;
        admission::WaitingQueue waiting;
        /** Services take turns within a rank where callers have no tenants. */
        bool fairServices = false;
        CapacityShares shares;
        /** Earliest time at which the next beginning of shares is logged. */
        TimePoint nextShareLog{};
        /** Whether the beginning of the present shares was logged; if so, their end is too. */
        bool sharesLogged = false;
        admission::AdmissionPolicy admission;
        /** Latency of a server above which less is sent to it. */
        Duration latencyTarget = std::chrono::milliseconds(100);
        PrimaryWatch primaryWatch;
    };
    struct ByName {
        bool operator()(const GroupState* left, const GroupState* right) const {
            return left->name < right->name;
        }
    };
    /** Groups in the order of their names. */
    using GroupSet = std::set<GroupState*, ByName>;
    /** A moment at which a session's statement must be looked at. */
    struct Wake {
        TimePoint at;
        SessionId session;
        std::uint64_t serial = 0;
        bool operator>(const Wake& other) const { return at > other.at; }
    };
    /** What a queued statement needs of a server. */
    struct Requirement {
        bool primary = false;
        std::optional<OpTime> floor;
        /** When the log is known to have had the floor. */
        TimePoint reachedAt{};
        /** Nothing can serve it now. */
        bool impossible = false;
    };
    /** What the policy leaves of the servers that a unit could use. */
    struct PlacementOutlook {
        /** Some server may be used as soon as it has room. */
        bool anyAllowed = false;
        /** Expected time until one may be used, while none may be. */
        std::optional<Duration> soonest;
        /** Why not now; null where the policy rules no server out. */
        const char* reason = nullptr;

        void note(const PlacementVerdict& verdict);
        /** @return whether the policy alone keeps the unit from being sent now. */
        bool rulesOutAll() const { return !anyAllowed && reason != nullptr; }
    };
    struct PendingReply {
        SessionId session;
        StatementResult result;
    };

    // PoolerStatements.cpp: what callers ask.
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

    // PoolerQueue.cpp: statements that wait, and what each needs of a server.
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
    const char* obstacleHere(const GroupState& group, const Operation& operation) const;
    bool moveToOther(const GroupState& group, PooledSession& session);

    // PoolerAdmission.cpp: until when a statement is held, and when its caller returns.
    void setTimes(PooledSession& session);
    TimePoint latestStart(const PooledSession& session);
    static void noteAsked(PooledSession& session, const StatementResult& result);
    static admission::StatementClass statementClassOf(const PooledSession& session);
    TimePoint onTimeUntil(const PooledSession& session) const;
    void noteStarted(GroupState& group, const PooledSession& session);
    void reviewWaits(GroupState& group);
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
    Duration replicaPatience(const GroupState& group, const PooledSession& session) const;
    void waitForReplica(PooledSession& session, Duration wait);
    std::uint32_t executorsPerZone() const;
    std::uint32_t connectionBound() const;
    ServerRoundTrip wayTo(const ServerState& server) const;
    double takenBy(const ServerState& server) const;
    Duration distancePenalty(const ServerState& server) const;
    bool isPrimary(const GroupState& group, const ServerState& server) const;
    bool isHalfUsed(const ServerState& server) const;
    Duration unitTimeOf(const GroupState& group, const PooledSession& session) const;
    double slownessOf(const ServerState& server) const;
    ProbePauses probePauses() const;
    double firstLimit(const GroupName& group, const ServerState& server) const;
    bool hasRoom(const ServerState& server, const PooledSession& session) const;
    bool mayOpenFor(const ServerState& server, const Operation& operation) const;
    bool isOpening(const Operation& operation) const;
    bool isOpeningAt(const Operation& operation, const ServerState& server) const;
    bool isSuspect(const ServerState& server) const;
    std::uint32_t connectionLimit(const GroupName& group) const;
    OpeningTerms openingTerms(const ServerState& server) const;

    // PoolerShares.cpp: what the executors of a group leave to each other.
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

    // PoolerResults.cpp: what servers answer.
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
    void setTurns();
    void noteFault(PooledSession& session, StatementFault fault);
    void notePosition(const ServerConnection& connection, OpTime position);
    void noteReadOnly(GroupState& group, const ServerName& server);
    void tellIfChanged(const GroupState& group, const std::optional<Primary>& before);
    void requeue(PooledSession& session, const char* obstacle);
    void noteLoss(const ServerConnection& connection);
    void failTransaction(PooledSession& session);
    void onUserLost(PooledSession& session, const char* reason);
    void forgetTransaction(PooledSession& session);
    void onSentLost(PooledSession& session, const char* reason);
    void keepWarm(GroupState& group);
    bool keepsWarm(const GroupName& group) const;
    void releaseUnused(GroupState& group);

    // PoolerCommits.cpp: what successes prove.
    static bool commitsChanges(const PooledSession& session);
    bool isCommitInDoubt(const PooledSession& session, const StatementResult& result) const;
    bool replicatesSynchronously(const GroupName& group) const;
    void noteFreshness(PooledSession& session, const StatementResult& result);

    // PoolerForwarding.cpp: what other nodes execute.
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

    // PoolerStop.cpp: what a planned stop, or the end of its time, makes of a statement.
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
    void everyTick(TimePoint now);
    bool reviewGroup(GroupState& group, TimePoint now);
    static bool hasConnections(const GroupState& group);
    void reportServers(const GroupName& name, GroupState& group);
    void endRestingTransactions(TimePoint now);
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
    /** Groups whose waiting statements are to be looked at. */
    GroupSet _dirtyGroups;
    /** Groups with statements, connections or a decision that time may change; the others need no
     * round, so that a round costs what this node does and not what the estate holds. */
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
    /** Null where there is one region. */
    const locality::PlaceDistances* _distances = nullptr;
    UnitForwarder* _forwarder = nullptr;
    LoadReporter* _loadReporter = nullptr;
    /** None: units may go everywhere. */
    PlacementPolicy* _policy = nullptr;
    /** The other nodes are known; before, this one alone seems to execute everything. */
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
