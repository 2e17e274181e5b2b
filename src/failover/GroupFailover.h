/** Replaces the primary of one group: detects that it must be, and carries the promotion out. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/StoreEra.h"
#include "base/Time.h"
#include "failover/CommitQuorum.h"
#include "failover/MemberLink.h"
#include "failover/PrimaryPlacement.h"
#include "failover/PromotionPace.h"
#include "failover/PromotionRecord.h"
#include "pooling/ServerDirectory.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::failover {

/** Why a primary is replaced. */
enum class FailoverReason {
    None,
    Silent,
    Unreachable,
    WritesUnanswered,
    StatementsLost,
    Leaving,   /**< Its announcement says that it will end. */
    NoPrimary, /**< No server is known to lead. */
    Abandoned, /**< Whoever began a promotion has stopped driving it. */
    /** Replicas are paused by a promotion that the store has lost and that nobody drives. */
    Lost,
    /** It leads where it should not, and a server that suits better can lead. */
    Misplaced,
};

/** @return a word for logs. */
const char* describe(FailoverReason reason);

/** @return whether the suspected primary is asked itself before it is replaced. */
bool needsCheck(FailoverReason reason);

/** What a group's failover needs. All outlive it. */
struct FailoverDependencies {
    const Clock& clock;
    RandomSource& random;
    pooling::ServerConnector& connector;
    PromotionStore& store;
    PromotionCaller& caller;
    const ReportParser& parser;
    /** Names this life of this node. */
    std::string holder;
    /** Names the node through all its lives: what every holder of its begins with. */
    std::string node;
    /** This node's place in the order in which nodes take up what all see; 0 is the first. */
    std::function<std::size_t(const GroupName&)> turn;
    /** Era of the store as this node knows it. */
    const StoreEra& era;
    /** Where primaries may stand; null: anywhere. */
    const PrimaryPlacement* placement = nullptr;
    /** Shared by the groups of this node; null: planned moves begin at any rate. */
    PromotionPace* pace = nullptr;
};

/**
 * The failover of one group on one node.
 *
 * Protocol: (1) take the group's record in the store under its version; (2) make sure that no
 * commit is acknowledged any more: who leads steps down, and while a member is silent, every other
 * one is told to stop receiving; (3) choose a server that has every acknowledged commit; (4)
 * announce it in the record; the version of that write is the fencing token; (5) call the
 * promotion within a margin of the announcement; (6) see the successor lead and close the record.
 *
 * A server has every acknowledged commit when its log has the base of the current term (commits of
 * earlier terms) and CommitQuorum finds that it has those of the current term. When no other server
 * has them, the former primary is promoted again once it answers.
 *
 * Invariants: the record is changed only under a version that this node wrote, but for a claim,
 * which names the version that was read; a promotion is called
 * only for the announced successor and within kCallMargin of the announcement, which is shorter
 * than the time after which another node takes a record over; once a server was told to stop
 * receiving, the promotion is carried on to its end, so nothing is ever resumed by mistake.
 *
 * When the store has returned older (`StoreReturn.cpp`), claims, announcements and ends of
 * promotions may be gone. Each node that knows later ones writes them again. Nobody claims or
 * drives until all that was claimed before can have no effect any more, and a record proves no
 * leadership until the servers have confirmed it.
 */
class GroupFailover {
public:
    GroupFailover(GroupName group, FailoverDependencies dependencies);
    ~GroupFailover();

    /** Takes the group's servers, removed ones included. */
    void onDirectory(const pooling::ServerDirectory::Servers& servers);

    /** Takes the record as the store's watch or an own load shows it. */
    void onRecord(const PromotionRecord& record);

    /** The pooler's current view. */
    void onPrimary(const std::optional<pooling::Primary>& primary);

    /** The pooler has signs that the server has failed. */
    void onSuspicion(const ServerName& server, pooling::SuspicionReason reason);

    void onTick(TimePoint now);

    /** @return when onTick must be called next, while the failover is not at rest. */
    TimePoint nextTick() const { return _nextTick; }

    /**
     * @return whether time alone changes nothing: no tick is needed before the failover is told of
     * servers, a record, another primary or a suspicion, or the store has returned. Most groups of
     * a large estate are at rest.
     */
    bool isAtRest(TimePoint now) const;

    bool isIdle() const { return _phase == Phase::Idle; }

    /** @return promotions carried out by this node. */
    std::uint64_t promotions() const { return _promotions; }

    /** @return those of them that moved a misplaced primary to a server that suits better. */
    std::uint64_t plannedMoves() const { return _plannedMoves; }

    /** @return the record as the store showed it last. */
    const PromotionRecord& record() const { return _record; }

    /** @return the newest that is known of the group's promotions, in the store or not. */
    pooling::PromotionNotice notice() const;

    /** @return whether the servers are to be asked who leads: the store's record does not prove it.
     */
    bool wantsConfirmation(TimePoint now);

    /** The servers have proven that the primary led at that moment. */
    void onLeadershipProven(const pooling::Primary& primary, TimePoint provenAt);

    /** The primary led, and a replica was told not to receive from it, at that moment. */
    void onReceiversPaused(TimePoint at);

private:
    enum class Phase {
        Idle,
        Checking,    /**< Asks the suspected primary itself. */
        Awaiting,    /**< Waits for a better server to catch up with a misplaced primary. */
        Loading,     /**< Reads the record. */
        Claiming,    /**< Writes itself into the record. */
        Securing,    /**< Keeps the former primary from committing, and chooses. */
        Announcing,  /**< Writes the successor into the record. */
        Calling,     /**< Calls the promotion. */
        Confirming,  /**< Waits until the successor leads. */
        Closing,     /**< Writes that the promotion is over. */
        Withdrawing, /**< Writes that nothing was begun. */
    };

    bool mustRestore() const;
    bool isUnconfirmed() const;
    bool lacksRecord() const;
    bool hasLostPromotion(TimePoint now) const;
    bool isClaimable(TimePoint now) const;
    void restore(TimePoint now);
    void writeAgain(PromotionRecord record, const char* event);
    FailoverReason findReason(TimePoint now) const;
    bool isOwnTurn(FailoverReason reason, TimePoint now);
    bool hasStayingServer() const;
    LeadSuitability suitabilityOf(const ServerName& server) const;
    bool hasBetterServer(LeadSuitability suitability) const;
    static bool isStaying(const pooling::ListedServer& server);
    bool isMisplaced(TimePoint now) const;
    Duration moveDelay() const;
    void awaitSuccessor(TimePoint now);
    Duration claimPatience() const;
    void withdraw();
    void onWithdrawn(const SavedRecord& saved, TimePoint askedAt);
    void noteMoved(TimePoint now);
    void delayNextMove(TimePoint now);
    bool successorLeads();
    void begin(FailoverReason reason, TimePoint now);
    void check(TimePoint now);
    void load();
    void onLoaded(const LoadedRecord& loaded);
    void claim();
    void enterSecuring(TimePoint now);
    void secure(TimePoint now);
    void refreshRecord(TimePoint now);
    void orderFormers();
    void pauseReceivers(const CommitQuorum& quorum, TimePoint now);
    bool isGone(const pooling::ListedServer& server, const MemberLink& member, TimePoint now) const;
    bool isAddressTaken(const pooling::ListedServer& server) const;
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
    bool isSuccessorReady(TimePoint now) const;
    bool isWorthTheMove(const ServerName& server) const;
    bool awaitsBetterServer(const CommitQuorum& quorum, LeadSuitability suitability) const;
    bool isOwn(const PromotionRecord& record) const;
    bool isDriving() const;
    bool mustLeaveToHolder(TimePoint now) const;
    Term newestShownTerm() const;
    Term nextTerm() const;
    Term termToAnnounce() const;
    std::string describeMembers(const CommitQuorum& quorum, TimePoint now) const;
    void logWaiting(const CommitQuorum& quorum, TimePoint now);
    bool hasSettledList(TimePoint now) const;
    bool resumeReceivers(TimePoint now);
    void askAll(TimePoint now);
    PromotionRecord recordOfSuccessor(pooling::PromotionPhase phase) const;
    void announce(TimePoint now);
    void call(TimePoint now);
    void onCalled(PromoteOutcome outcome, TimePoint calledAt);
    void confirmSuccessor(TimePoint now);
    void closeRecord(TimePoint now);
    void save(PromotionRecord record, void (GroupFailover::*done)(const SavedRecord&, TimePoint));
    void onClaimed(const SavedRecord& saved, TimePoint askedAt);
    void onRefreshed(const SavedRecord& saved, TimePoint askedAt);
    void onAnnounced(const SavedRecord& saved, TimePoint askedAt);
    void onClosed(const SavedRecord& saved, TimePoint askedAt);
    void giveUp(const char* why, Duration pause);
    void enter(Phase phase);
    MemberLink& link(const ServerName& server);
    const pooling::ListedServer* listed(const ServerName& server) const;

    GroupName _group;
    FailoverDependencies _dependencies;
    /** Guards callbacks of the store against the object's end. */
    std::shared_ptr<bool> _alive;
    /** All servers ever listed, but those removed for long. */
    pooling::ServerDirectory::Servers _servers;
    /** When the first list with servers came. */
    std::optional<TimePoint> _listedSince;
    std::optional<pooling::Primary> _primary;
    std::optional<TimePoint> _withoutPrimarySince;
    Term _newestTerm = 0;
    /** As the store showed it last. */
    PromotionRecord _record;
    TimePoint _recordSeenAt{};
    /** The newest that any era of the store has shown. */
    PromotionRecord _newest;
    /** When the store's record was first seen to lack the newest, or not to be confirmed. */
    std::optional<TimePoint> _incompleteSince;
    TimePoint _nextWriteAgain{};
    /** Era in which the present attempt began; it ends with it. */
    std::uint64_t _attemptEra = 0;

    FailoverReason _suspicion = FailoverReason::None;
    ServerName _suspected;
    TimePoint _suspectedAt{};
    /** When receivers were last found paused by a lost promotion. */
    std::optional<TimePoint> _pausedFoundAt;

    Phase _phase = Phase::Idle;
    FailoverReason _reason = FailoverReason::None;
    /** The reason that was found last, and since when it holds. */
    FailoverReason _found = FailoverReason::None;
    TimePoint _foundSince{};
    TimePoint _phaseSince{};
    TimePoint _nextTick{};
    TimePoint _notBefore{};
    bool _busy = false;
    /** Counts attempts, so that an answer that belongs to an abandoned one changes nothing. */
    std::uint64_t _attempt = 0;
    /** Pause after a reading that the store did not answer; grows while it does not. */
    Duration _storePause{0};
    /** The server to be replaced, if it is known. */
    std::optional<ServerName> _former;
    /** Since when no former primary can acknowledge a commit. */
    std::optional<TimePoint> _securedAt;
    /** When a promotion of the successor was called for last without an answer. */
    std::optional<TimePoint> _unansweredCallAt;
    ServerName _successor;
    Term _successorTerm = 0;
    OpTime _successorPosition;
    std::map<ServerName, TimePoint> _notRunning;
    TimePoint _announcedAt{};
    /** Version of the record that announced the successor. */
    StoreVersion _announcedVersion;
    /** When this node learnt of the newest announcement; never before it was written. */
    TimePoint _announcementSeenAt{};
    TimePoint _refreshedAt{};
    TimePoint _waitingLoggedAt{};
    /** The former primary has been told to step down in this attempt. */
    bool _stopping = false;
    /** The claim of this attempt replaced a closed record: nobody else had begun anything. */
    bool _claimedClosed = false;
    std::map<ServerName, std::unique_ptr<MemberLink>> _links;
    std::uint64_t _promotions = 0;
    std::uint64_t _plannedMoves = 0;
    /** No planned move begins before, and how long the last pause was. */
    TimePoint _nextMoveAt{};
    Duration _movePause{0};
};

}  // namespace coralhoist::failover
