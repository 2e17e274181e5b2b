/**
 * Replaces the primary of one group: detects that it must be replaced, and carries out the
 * promotion.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/StoreEra.h"
#include "base/Time.h"
#include "failover/CommitQuorum.h"
#include "failover/DepartureWatch.h"
#include "failover/MemberLink.h"
#include "failover/PlannedMoveRateLimiter.h"
#include "failover/PrimaryPlacement.h"
#include "failover/PromotionRecord.h"
#include "pooling/ServerDirectory.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::failover {

/** The reason for which a primary is replaced. */
enum class FailoverReason {
    None,
    Silent,
    Unreachable,
    WritesUnanswered,
    StatementsLost,
    Leaving,   /**< The primary's announcement says that it will shut down. */
    NoPrimary, /**< No server is known to lead. */
    Abandoned, /**< The node that began a promotion no longer drives it. */
    /** A promotion paused replicas, the store lost its record, and no node drives it. */
    Lost,
    /** The primary should not lead where it runs, and a more suitable server can lead. */
    Misplaced,
};

/** @return the name for log lines. */
const char* describe(FailoverReason reason);

/** @return whether the suspected primary is queried before it is replaced. */
bool needsCheck(FailoverReason reason);

/** Dependencies of a group's failover. All references must outlive the failover. */
struct FailoverDependencies {
    const Clock& clock;
    RandomSource& random;
    pooling::ServerConnector& connector;
    PromotionStore& store;
    PromotionCaller& caller;
    const ReportParser& parser;
    /** Names this incarnation of the node. */
    std::string holder;
    /**
     * Names the node across its incarnations; the holder name of each incarnation begins with it.
     */
    std::string node;
    /**
     * This node's place in the order in which nodes act on a condition that all of them see; 0 is
     * the first.
     */
    std::function<std::size_t(const GroupName&)> turn;
    /** Era of the store as this node knows it. */
    const StoreEra& era;
    /** Restricts where primaries may run; null if they may run anywhere. */
    const PrimaryPlacement* placement = nullptr;
    /** Shared by the groups of this node; null if the rate of planned moves is unlimited. */
    PlannedMoveRateLimiter* moveRateLimiter = nullptr;
};

/**
 * The failover of one group on one node.
 *
 * Protocol: (1) claim the group's record in the store by a conditional write on its version; (2)
 * ensure that no commit is acknowledged any more: every leader is ordered to step down and, while a
 * member does not respond, every other member is ordered to stop receiving; (3) choose a server
 * that has every acknowledged commit; (4) announce the server in the record; the version of that
 * write is the fencing token; (5) send the promotion call within kCallMargin of the announcement;
 * (6) observe that the successor leads, and close the record.
 *
 * A server has every acknowledged commit when its log reaches the base of the current term, which
 * covers the commits of earlier terms, and `departedBound`, which covers those of servers that have
 * ended, and CommitQuorum finds that the server has the other commits of the current term. If no
 * other server has them, the former primary is promoted again once it responds.
 *
 * Invariants: the record is changed only under a version that this node wrote, except for a claim,
 * which names the version that was read. A promotion is called only for the announced successor,
 * and the call leaves the node within kCallMargin of the announcement, which is shorter than the
 * time after which another node takes a record over. Orders to servers leave the node within
 * kClaimValidity of its last write of the record. Once a server was ordered to stop receiving, the
 * promotion is carried on to its end, so that no server resumes by mistake.
 *
 * When the store was restored from an older copy (`StoreReturn.cpp`), claims, announcements and
 * ends of promotions may be lost. Each node that knows later ones writes them again. No node claims
 * a record or drives a promotion until no earlier claim can have an effect any more, and a record
 * proves no leadership until the servers have confirmed it.
 */
class GroupFailover {
public:
    GroupFailover(GroupName group, FailoverDependencies dependencies);
    ~GroupFailover();

    /** Takes the group's servers, including those removed from the list. */
    void onDirectory(const pooling::ServerDirectory::Servers& servers);

    /** Takes the record as the store's watch or a load of this failover shows it. */
    void onRecord(const PromotionRecord& record);

    /** Takes the pooler's current view of the primary. */
    void onPrimary(const std::optional<pooling::Primary>& primary);

    /** Called when the pooler suspects that the server has failed. */
    void onSuspicion(const ServerName& server, pooling::SuspicionReason reason);

    void onTick(TimePoint now);

    /** @return when onTick must be called next, while the failover is not at rest. */
    TimePoint nextTick() const { return _nextTick; }

    /**
     * @return whether the passage of time alone changes nothing: no tick is needed until the
     * failover receives servers, a record, another primary or a suspicion, or the store was
     * restored from an older copy. Most groups of a large installation are at rest.
     */
    bool isAtRest(TimePoint now) const;

    bool isIdle() const { return _phase == Phase::Idle; }

    /** @return the number of promotions carried out by this node. */
    std::uint64_t promotions() const { return _promotions; }

    /**
     * @return the number of those promotions that moved a misplaced primary to a more suitable
     * server.
     */
    std::uint64_t plannedMoves() const { return _plannedMoves; }

    /** @return the record as the store last showed it. */
    const PromotionRecord& record() const { return _record; }

    /**
     * @return the newest known state of the group's promotions, whether the store has it or not.
     */
    pooling::PromotionNotice notice() const;

    /**
     * @return whether the servers must be queried for the leader because the store's record does
     * not prove it.
     */
    bool wantsConfirmation(TimePoint now);

    /** Called when the servers have proven that the primary led at that moment. */
    void onLeadershipProven(const pooling::Primary& primary, TimePoint provenAt);

    /**
     * Called when the primary led, and a replica was under the order not to receive from it, at
     * that moment, or when the primary did not lead.
     */
    void onReceiversPaused(TimePoint at);

private:
    enum class Phase {
        Idle,
        Checking,    /**< Queries the suspected primary. */
        Awaiting,    /**< Waits for a more suitable server to catch up with a misplaced primary. */
        Loading,     /**< Reads the record. */
        Claiming,    /**< Writes this node into the record. */
        Securing,    /**< Keeps the former primary from committing, and chooses a successor. */
        Announcing,  /**< Writes the successor into the record. */
        Calling,     /**< Calls the promotion. */
        Confirming,  /**< Waits until the successor leads. */
        Closing,     /**< Writes that the promotion is over. */
        Withdrawing, /**< Writes that no promotion was begun. */
    };

    bool mustRestore() const;
    bool isUnconfirmed() const;
    bool lacksRecord() const;
    bool hasLostPromotion(TimePoint now) const;
    bool isClaimable(TimePoint now) const;
    void restore(TimePoint now);
    void rewriteRecord(PromotionRecord record, const char* event);
    FailoverReason findReason(TimePoint now) const;
    bool isOwnTurn(FailoverReason reason, TimePoint now);
    bool hasStayingServer() const;
    LeadSuitability suitabilityOf(const ServerName& server) const;
    bool hasBetterServer(LeadSuitability suitability) const;
    static bool isStaying(const pooling::ListedServer& server);
    bool isMisplaced(TimePoint now) const;
    Duration moveDelay() const;
    void awaitSuccessor(TimePoint now);
    Duration claimTimeout() const;
    void withdraw();
    void onWithdrawn(const SavedRecord& saved, TimePoint requestedAt);
    void noteMoved(TimePoint now);
    void delayNextMove(TimePoint now);
    bool successorLeads();
    void onIdleTick(TimePoint now);
    void begin(FailoverReason reason, TimePoint now);
    void check(TimePoint now);
    void load();
    void onLoaded(const LoadedRecord& loaded);
    void claim();
    void enterSecuring(TimePoint now);
    void secure(TimePoint now);
    void refreshRecord(TimePoint now);
    void orderStepDown();
    void pauseReceivers(const CommitQuorum& quorum, TimePoint now);
    bool isSucceeded(const pooling::ListedServer& server, const MemberLink& member) const;
    static bool isGone(const pooling::ListedServer& server, const MemberLink& member,
                       TimePoint now);
    bool isAddressTaken(const pooling::ListedServer& server) const;
    bool isBounded(const ServerName& server) const;
    void noteReturned();
    std::vector<DepartingServer> departingServers() const;
    std::optional<GroupLeader> certainLeader() const;
    bool mayWriteMembers(TimePoint now) const;
    void followDepartures(TimePoint now);
    PromotionRecord recordOfMembers(const std::vector<DepartingServer>& departing) const;
    bool mayHoldCommits(const ServerName& name, const pooling::ListedServer& server) const;
    void nameMembers(PromotionRecord& record, TimePoint now) const;
    ServerName newestLeader() const;
    CommitQuorum viewMembers(TimePoint now) const;
    std::optional<ServerName> chooseSuccessor(const CommitQuorum& quorum, TimePoint now) const;
    bool isSafe(const CommitQuorum& quorum, const ServerName& server) const;
    bool mayLead(const CommitQuorum& quorum, const ServerName& server) const;
    bool mustAwaitCall(const ServerName& successor, TimePoint now) const;
    std::optional<ServerName> mostAdvanced(const CommitQuorum& quorum,
                                           std::optional<LeadSuitability> suitability,
                                           TimePoint now) const;
    bool isFresh(const MemberLink& member, TimePoint now) const;
    bool isCurrent(const MemberLink& member, TimePoint now) const;
    bool holdsEarlierTerms(const OpTime& position) const;
    bool lacksLostTerms(const CommitQuorum& quorum, const ServerName& server) const;
    bool hasLeasesExpired(TimePoint now) const;
    bool mayStillAcknowledge(const CommitQuorum& quorum, TimePoint now) const;
    bool isSuccessorReady(TimePoint now) const;
    bool justifiesStepDown(const ServerName& server) const;
    bool awaitsBetterServer(const CommitQuorum& quorum, LeadSuitability suitability) const;
    bool isOwn(const PromotionRecord& record) const;
    bool isDriving() const;
    bool isClaimed(TimePoint now) const { return now < _claimedUntil; }
    bool isHolderExclusive(TimePoint now) const;
    Term newestShownTerm() const;
    Term nextTerm() const;
    Term termToAnnounce() const;
    std::string describeMembers(const CommitQuorum& quorum, TimePoint now) const;
    void logWaiting(const CommitQuorum& quorum, TimePoint now);
    bool hasSettledList(TimePoint now) const;
    bool resumeReceivers(TimePoint now);
    void requestStatuses(TimePoint now);
    PromotionRecord recordOfSuccessor(pooling::PromotionPhase phase) const;
    void announce(TimePoint now);
    void call(TimePoint now);
    void onCalled(PromoteOutcome outcome, TimePoint calledAt);
    void confirmSuccessor(TimePoint now);
    void closeRecord(TimePoint now);
    void save(PromotionRecord record, void (GroupFailover::*done)(const SavedRecord&, TimePoint));
    void onClaimed(const SavedRecord& saved, TimePoint requestedAt);
    void onRefreshed(const SavedRecord& saved, TimePoint requestedAt);
    void onAnnounced(const SavedRecord& saved, TimePoint requestedAt);
    void onClosed(const SavedRecord& saved, TimePoint requestedAt);
    void giveUp(const char* why, Duration pause);
    void enter(Phase phase);
    MemberLink& link(const ServerName& server);
    const pooling::ListedServer* listed(const ServerName& server) const;

    GroupName _group;
    FailoverDependencies _dependencies;
    /** Lets callbacks of the store detect that this object was destroyed. */
    std::shared_ptr<bool> _alive;
    /**
     * All servers ever listed, except those removed more than kRemovedServerRetention ago that hold
     * no unbounded commits.
     */
    pooling::ServerDirectory::Servers _servers;
    /** When the first list that names servers arrived. */
    std::optional<TimePoint> _listedSince;
    std::optional<pooling::Primary> _primary;
    std::optional<TimePoint> _withoutPrimarySince;
    Term _newestTerm = 0;
    /** The record as the store last showed it. */
    PromotionRecord _record;
    TimePoint _recordSeenAt{};
    /** The newest record that any era of the store has shown. */
    PromotionRecord _newest;
    /** When the store's record was first seen to lack the newest state or not to be confirmed. */
    std::optional<TimePoint> _incompleteSince;
    TimePoint _nextRewriteAt{};
    /** Era in which the present attempt began; the attempt ends when the era ends. */
    std::uint64_t _attemptEra = 0;

    FailoverReason _suspicion = FailoverReason::None;
    ServerName _suspected;
    TimePoint _suspectedAt{};
    /** When receivers were last found paused by a lost promotion. */
    std::optional<TimePoint> _pausedFoundAt;

    Phase _phase = Phase::Idle;
    FailoverReason _reason = FailoverReason::None;
    /** The reason that was found last, and since when it has applied. */
    FailoverReason _foundReason = FailoverReason::None;
    TimePoint _foundSince{};
    TimePoint _phaseSince{};
    TimePoint _nextTick{};
    TimePoint _notBefore{};
    bool _busy = false;
    /** Counts attempts, so that a response that belongs to an abandoned attempt is ignored. */
    std::uint64_t _attempt = 0;
    /** Pause after a failed read of the store; grows while reads fail. */
    Duration _storePause{0};
    /** The server to be replaced, if it is known. */
    std::optional<ServerName> _former;
    /** Since when no former primary can acknowledge a commit. */
    std::optional<TimePoint> _securedAt;
    /** When a promotion call for the successor last ended with an unknown outcome. */
    std::optional<TimePoint> _unansweredCallAt;
    ServerName _successor;
    Term _successorTerm = 0;
    OpTime _successorPosition;
    std::map<ServerName, TimePoint> _notRunning;
    TimePoint _announcedAt{};
    /** Version of the record that announced the successor. */
    StoreVersion _announcedVersion;
    /** When this node first saw the newest announcement; never before it was written. */
    TimePoint _announcementSeenAt{};
    /** When the claim is renewed next. */
    TimePoint _nextRefreshAt{};
    /**
     * No other node holds the claim before this time, so this node may give orders to servers. Past
     * it the claim must be renewed first, because another node may have taken it over.
     */
    TimePoint _claimedUntil{};
    TimePoint _waitingLoggedAt{};
    /** Whether this attempt has reached the step that orders the former primary to step down. */
    bool _stopping = false;
    /**
     * Whether the claim of this attempt replaced a closed record, so that no other node had begun a
     * promotion.
     */
    bool _claimedClosed = false;
    std::map<ServerName, std::unique_ptr<MemberLink>> _links;
    /** Watches servers that leave while no promotion is under way. */
    DepartureWatch _departures;
    /** Since when this node has known of departures that the record does not bound. */
    std::optional<TimePoint> _departingSince;
    TimePoint _nextMembersWriteAt{};
    /** Servers that were listed again after the record had shown that they had ended. */
    std::set<ServerName> _returned;
    std::uint64_t _promotions = 0;
    std::uint64_t _plannedMoves = 0;
    /** No planned move begins before this time; _movePause is the length of the last pause. */
    TimePoint _nextMoveAt{};
    Duration _movePause{0};
};

}  // namespace coralhoist::failover
