/** Decides which server of a group is treated as its primary, and whether its leadership is
 * certain. */
#pragma once

#include <map>
#include <optional>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/StoreVersion.h"
#include "base/Time.h"
#include "pooling/ServerDirectory.h"

namespace coralhoist::pooling {

/**
 * How long evidence of a primary's leadership is valid: a read that arrives within this time may
 * run at that primary, and a commit whose response arrives within this time may be passed on. A
 * promotion is recorded, and the former primary is kept from committing, before the successor is
 * promoted; and no node commits at a successor before this time has passed since the node learned
 * of the promotion, unless the announcement says that it had passed before. So no commit of the
 * successor precedes a read that relies on the evidence. A former primary that could not be reached
 * may commit until this time has passed; the successor is chosen after that, so that it has these
 * commits.
 */
constexpr Duration kLeadershipLease = std::chrono::milliseconds(500);

/** The server that is treated as the primary. */
struct Primary {
    ServerName server;
    /** Highest term that the server reported; 0 while it has reported none. */
    Term term = 0;

    bool operator==(const Primary&) const = default;
};

/** Progress of a group's promotion, from the record in the store. */
enum class PromotionPhase {
    None,      /**< No promotion is under way. */
    Preparing, /**< The former primary is being kept from committing. */
    Promoting, /**< The successor is chosen and may start to lead at any moment. */
};

/** The content of the store's record of a group's promotions. */
struct PromotionNotice {
    PromotionPhase phase = PromotionPhase::None;
    /** Successor chosen by the newest promotion; empty before the first promotion. */
    ServerName successor;
    /** Term of the newest promotion, finished or not; 0 before the first promotion. */
    Term term = 0;
    /** Version of the record; a later one is higher. */
    StoreVersion version;
    /** Position of the successor's log when it was chosen; term 0 when it is not known. */
    OpTime base{};
    /** Whether it is certain that no server but the successor was promoted last. After the store
     * has reverted to an older state this is uncertain until the servers have shown it. */
    bool isConfirmed = true;
    /** The successor was announced when no proof that an earlier primary led was valid any more. */
    bool leasesExpired = false;

    bool operator==(const PromotionNotice&) const = default;
};

/** @return whether the later notice announces a successor that the earlier one does not. */
bool announcesNewSuccessor(const PromotionNotice& before, const PromotionNotice& after);

/**
 * Leadership of one group. Invariants: the newest known term never decreases; a server that has
 * reported only a lower term is not treated as the primary; once a promotion is recorded, only its
 * successor is treated as the primary. A leader that the record does not name was promoted by a
 * call that took effect late: the record proves nothing about it, and it may lack commits of the
 * successor.
 */
class LeadershipTracker {
public:
    /** Updates the announcements of the group's servers. */
    void onDirectory(const ServerDirectory::Servers& servers, TimePoint now);

    /** A server reported a position of its log. */
    void onPosition(const ServerName& server, OpTime position, TimePoint now);

    /** A server refused a write or a transaction because it is not the primary. */
    void onReadOnly(const ServerName& server, TimePoint now);

    /** The store's record, read by a call that was sent at askedAt. */
    void onNotice(const PromotionNotice& notice, TimePoint now);

    /**
     * The primary's leadership was certain at a moment.
     * @param at a time not later than the moment to which the proof refers.
     */
    void confirm(const Primary& primary, TimePoint at);

    /**
     * The store returned this version of the record at a moment. A record is closed only when its
     * announcement is older than the lease, so by then every proof that an earlier primary led has
     * expired, and writes may be sent to the primary at once. The call has no effect when the
     * record shows a promotion under way, is not the newest one known or is not confirmed.
     * @param recordVersion version of the record; a version that does not exist when there was no
     * record.
     * @param at a time not later than that moment.
     */
    void confirmByRecord(const StoreVersion& recordVersion, TimePoint at);

    /** @return the primary; nothing while none is known. */
    const std::optional<Primary>& primary() const { return _primary; }

    /** @return whether reads that arrived at this time may run at the primary. */
    bool isCertainFor(TimePoint arrivedAt) const;

    /** @return whether statements that commit may be sent to the primary. */
    bool mayWrite(TimePoint now) const;

    /**
     * @return whether a promotion became known after that moment: then a server's response to a
     * statement sent before it carries no information about the present leader and its log.
     */
    bool isPromotedSince(TimePoint sentAt) const { return _recordedAt && sentAt < *_recordedAt; }

    /**
     * The successor of the newest promotion has a commit of another server only if the commit's
     * position has the term of the last position in the successor's log at the time when the
     * successor was chosen, and is not above that last position.
     * @param sentAt when the commit was sent to the server that acknowledged it.
     * @return whether the commit at that position may be lost.
     */
    bool mayLackCommit(const ServerName& server, TimePoint sentAt, OpTime position) const;

    /**
     * @return whether the successor of the newest promotion had the commit at that position when it
     * was chosen, so that every later leader has it.
     */
    bool isInSuccessorsLog(OpTime position) const {
        return _notice.term > 0 && position.term == _notice.base.term && position <= _notice.base;
    }

    /** @return the earliest time at which mayWrite() may become true. */
    TimePoint writableFrom() const { return _writableFrom; }

    const PromotionNotice& notice() const { return _notice; }
    Term newestTerm() const { return _newestTerm; }

private:
    struct Claim {
        /** Whether the server's announcement has not been removed. */
        bool listed = false;
        /** Whether the server announces itself as the primary. */
        bool claims = false;
        StoreVersion version;
        Term term = 0;
        /** Version of the claim that the server itself has contradicted. */
        StoreVersion refutedVersion;
        TimePoint refutedUntil{};
    };

    Duration leaseAfterAnnouncement() const;
    void choose(TimePoint now);
    bool isUsable(const ServerName& server, const Claim& claim, TimePoint now) const;
    bool mayLeadNewestTerm(const Claim& claim) const;

    std::map<ServerName, Claim> _claims;
    std::optional<Primary> _primary;
    std::optional<TimePoint> _confirmedAt;
    PromotionNotice _notice;
    /** When this node first saw the successor of the newest announcement. */
    std::optional<TimePoint> _announcedAt;
    /** When this node first saw the newest promotion, announced or finished. */
    std::optional<TimePoint> _recordedAt;
    Term _newestTerm = 0;
    TimePoint _writableFrom{};
};

}  // namespace coralhoist::pooling
