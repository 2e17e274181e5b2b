/**
 * The record of a group's promotions in the platform's store, and the interfaces that promotions
 * need.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/StoreOutcome.h"
#include "base/StoreVersion.h"
#include "base/Time.h"
#include "pooling/LeadershipTracker.h"

namespace coralhoist::failover {

/**
 * One group's record. A node that changes the record under its version holds the group's promotion;
 * the version is the fencing token, because it grows with every change.
 */
struct PromotionRecord {
    /** Any other departed server counts as one whose commits are not bounded. */
    static constexpr std::size_t kRememberedDepartures = 16;

    pooling::PromotionPhase phase = pooling::PromotionPhase::None;
    /** Process that last changed the record; names one incarnation of a node. */
    std::string holder;
    /** Successor of the newest promotion that was announced. */
    ServerName successor;
    /** Term of the newest promotion that was announced. */
    Term term = 0;
    /**
     * Position of that successor's log when it was chosen. All commits acknowledged in earlier
     * terms are at or below this position, so a server whose log does not reach it may lack some of
     * them.
     */
    OpTime base;
    /**
     * Counts the holder's writes. The store treats a write of unchanged content as no change and
     * does not raise the version, so without this counter no other node could see that the holder
     * still drives the promotion.
     */
    std::uint64_t renewals = 0;
    /**
     * Servers that were listed when that successor was announced, and those that have begun to
     * leave since. Their logs may hold commits although no list names them any more: announcements
     * expire, and a node that has just started would take the remaining servers for the whole
     * group.
     */
    std::vector<ServerName> members;
    /**
     * Servers that have ended and whose commits are all at or below `base` or `departedBound`, the
     * latest last; at most kRememberedDepartures.
     */
    std::vector<ServerName> departed;
    /**
     * Last position of the leader's log, reported after the servers that left since the
     * announcement had ended. A server whose log does not reach it may lack their commits.
     */
    OpTime departedBound;
    /**
     * Era of the store in which the record was written; a claim of an earlier era belongs to no
     * node.
     */
    std::uint64_t writtenIn = 0;
    /**
     * Era in which the named successor was certain to be the newest: it was announced in that era,
     * or the servers showed that it led when no promotion of an earlier era could take effect any
     * more.
     */
    std::uint64_t confirmedIn = 0;
    /**
     * The successor was announced when no proof that an earlier primary led was valid any more, so
     * that nodes need not wait before they write to it.
     */
    bool leasesExpired = false;
    /** Version in the store; a version that does not exist if there is no record. */
    StoreVersion version;

    bool operator==(const PromotionRecord&) const = default;

    /** @return whether the record is a valid claim of its holder in that era. */
    bool isClaimOf(std::uint64_t era) const { return version.exists() && writtenIn == era; }

    /** @return whether only the named successor can have been promoted last. */
    bool isConfirmedIn(std::uint64_t era) const { return version.era == era && confirmedIn == era; }

    /** @return the part of the record that the pooler needs. */
    pooling::PromotionNotice notice() const {
        return {phase, successor, term, version, base, isConfirmedIn(version.era), leasesExpired};
    }
};

/**
 * Compares the newest record that a node knows with the record shown by a store that may have been
 * restored from an older copy.
 * @return whether the store lacks a state that the node knows.
 */
bool isLater(const PromotionRecord& known, const PromotionRecord& shown);

/** Result of a load. */
struct LoadedRecord {
    StoreOutcome outcome = StoreOutcome::Unavailable;
    PromotionRecord record;
};

/** Result of a save. */
struct SavedRecord {
    StoreOutcome outcome = StoreOutcome::Unavailable;
    /** Version of the record after a successful save. */
    StoreVersion version;
};

/**
 * The store of the promotion records. Each callback is called once, after the call that requested
 * it has returned, on the same thread.
 */
class PromotionStore {
public:
    virtual ~PromotionStore() = default;

    virtual void load(const GroupName& group,
                      std::function<void(const LoadedRecord&)> callback) = 0;

    /** Writes the record if the store has the version that the record names. */
    virtual void save(const GroupName& group, const PromotionRecord& record,
                      std::function<void(const SavedRecord&)> callback) = 0;
};

/** The outcome of a promotion call. */
enum class PromoteOutcome {
    Accepted,    /**< The server leads already or will lead soon. */
    NotRunning,  /**< The server is not running. */
    Unavailable, /**< Nothing was done. */
    Unknown,     /**< The call may have been carried out, or may be later. */
};

/** @return the name for log lines. */
const char* describe(PromoteOutcome outcome);

/** A request to promote an announced successor. */
struct PromotionCall {
    GroupName group;
    ServerName successor;
    /** Token of the version of the record that announced this promotion. */
    std::uint64_t fence = 0;
    /**
     * The call leaves this node before this time or never. The platform may compare no tokens, so a
     * call that leaves after another node has taken the record over would undo that node's
     * promotion.
     */
    TimePoint sendBy{};
};

/** Requests promotions from the platform. */
class PromotionCaller {
public:
    virtual ~PromotionCaller() = default;

    /** A call that was not sent in time ends as Unavailable. */
    virtual void promote(const PromotionCall& call,
                         std::function<void(PromoteOutcome)> callback) = 0;
};

/** A server's report on itself. */
struct ServerReport {
    bool primary = false;
    Term term = 0;
    /** Last position that the server has received. */
    OpTime received;
    /** Term up to which a replica is ordered not to receive; 0 while it receives. */
    Term heldTerm = 0;
};

/** Parses the row with which a server responds to Status, Pause and StepDown. */
using ReportParser = std::function<std::optional<ServerReport>(const std::string& row)>;

}  // namespace coralhoist::failover
