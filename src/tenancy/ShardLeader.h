/** The leader or a deputy of one shard of tenants, which grants units of the tenants' quotas. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "tenancy/QuotaLedger.h"
#include "tenancy/QuotaRequestQueue.h"
#include "tenancy/RecordAllowances.h"
#include "tenancy/ShardContext.h"
#include "tenancy/UnitPacer.h"
#include "tenancy/UnitTurns.h"

namespace coralhoist::tenancy {

/** Role in which a node writes its part of the record. */
enum class ShardRole { Leader, Deputy };

/**
 * Grants units within a tenant's bound and within the allowance that the shard's record names for
 * the tenant, while this node's lease of the record lasts. A response with a grant is sent only
 * after the standby has acknowledged the grant, so that the standby may take over at any moment
 * without waiting. A new leader without a copy counts the units that the record lists and the whole
 * allowance.
 *
 * Invariants: nothing is granted after the lease ends; each grant is covered by what is listed or
 * allowed in every version of the record that may be the newest; no response is sent for a grant
 * that is missing at a standby which some version may name.
 *
 * When the store was restored from an older copy, a leader whose lease is valid writes its part
 * again and continues, since no other node can have led in the meantime. A leader that has lost its
 * standby since then can't know that, and stops.
 *
 * A deputy grants in the same way within its own part of the record (see `RecordParts`), but
 * without a standby: when it fails, its part expires with its lease.
 */
class ShardLeader {
public:
    /**
     * Creates a leader.
     * @param parts the parts of the record as this node wrote it, or of one of its earlier writes
     * that is in force.
     * @param leaseUntil end of the lease, after which the leader may not grant.
     * @param ledgers units that count already.
     */
    ShardLeader(const ShardContext& context, RecordParts parts, TimePoint leaseUntil,
                ShardLedgers ledgers);

    /**
     * Creates a deputy, which grants once it has written its part.
     * @param parts the parts of the record as it was read. A part of this incarnation of the node
     * has to be empty.
     */
    ShardLeader(const ShardContext& context, RecordParts parts);

    /** Handles a request. The response is sent within the queueing timeout of requests. */
    void ask(const QuotaRequest& request, QuotaReply reply);

    void onTick(TimePoint now);
    TimePoint nextTick() const;

    /** @return whether the store was restored from an older copy since this node wrote or read the
     * record. */
    bool isOutdated() const;
    /** Stops at once without writing the record. */
    void abandon();

    /** @return whether another node leads or this node has shut down as planned. */
    bool hasEnded() const { return _ended; }

    /** Removes and returns the queued requests that were not answered here. */
    std::deque<QueuedQuotaRequest> takeQueued() { return _queue.takeAll(); }

    /** Makes a deputy stop granting and record that in its part. */
    void withdraw();
    /** Makes a withdrawn deputy write itself an allowance again. */
    void resume();
    bool hasWithdrawn() const { return _withdrawn; }
    /** @return whether nothing is left to write and no unit counts any more. */
    bool countsNothing(TimePoint now);

    /** @return the parts of the newest known version of the record. */
    const RecordParts& parts() const { return _parts; }

    /** Stops granting. The standby, or any node that reads the record, may take over at once. */
    void release();

private:
    enum class StandbyState {
        None,
        Copying,    /**< All batches are being sent; no version of the record names the standby. */
        CatchingUp, /**< As Copying, but grants already wait for acknowledgements. */
        Joining,    /**< A version of the record that names the standby may be in force. */
        InSync,     /**< The record names the standby. */
        Leaving,    /**< The standby may lack a batch, and the record may still name it. */
    };
    /** Units that a request gets now, and units that are deferred. */
    struct RankedGrant {
        std::uint32_t units = 0;
        /** Empty where the request names no ranks. */
        std::vector<std::uint32_t> byRank;
        std::vector<RankedRequest> deferred;
    };
    struct UnacknowledgedGrant {
        QuotaReply reply;
        QuotaResponse response;
    };

    const RecordedQuotas& ownQuotas() const;
    ForeignUnits foreignUnits(const TenantName& tenant, TimePoint now) const;
    bool hasOwnAllowance(const TenantName& tenant, TimePoint now) const;
    bool wantsAllowance(TimePoint now) const;
    void writeOwnPart(QuotaShardRecord& attempted, TimePoint now);
    const RecordedQuotas& ownQuotasOf(const QuotaShardRecord& record) const;
    bool hasPart() const;
    bool isSecondDeputy() const;

    bool mayGrant(TimePoint now) const;
    void answer(QueuedQuotaRequest queued, TimePoint now);
    std::uint32_t freeUnits(const Tenant& tenant, TimePoint now);
    std::uint32_t grantable(const Tenant& tenant, std::uint32_t wanted, TimePoint now);
    QuotaResponse grant(const Tenant& tenant, const QuotaRequest& request,
                        const RankedGrant& granted, TimePoint now);
    QuotaLedger& ledgerOf(const TenantName& tenant);
    bool mayForward(const QuotaRequest& request) const;
    void forwardToSuccessor(const QueuedQuotaRequest& queued);
    void answerQueued(TimePoint now);

    bool isLimitedByAllowance(const Tenant& tenant, TimePoint now);
    std::uint32_t paced(const Tenant& tenant, std::uint32_t units, TimePoint now);
    bool usesRanks(const QuotaRequest& request) const;
    RankedGrant pacedByRank(const Tenant& tenant, const QuotaRequest& request, std::uint32_t units,
                            TimePoint now);
    RankedGrant grantOf(const Tenant& tenant, const QuotaRequest& request, std::uint32_t units,
                        TimePoint now);
    Duration defer(const Tenant& tenant, const RankedGrant& granted, TimePoint now);
    Duration untilFree(const Tenant& tenant, std::uint32_t units, TimePoint now);

    void chooseStandby(TimePoint now);
    bool wantsToOffer(TimePoint now) const;
    void offerLead(TimePoint now);
    void sendUpdate(LedgerUpdate update, std::optional<UnacknowledgedGrant> grant);
    void onAck(std::uint64_t copy, std::uint64_t update, const std::optional<LedgerAck>& ack);
    bool isCaughtUp() const;
    void loseStandby();
    void answerUnacknowledged();

    bool isIdle(TimePoint now) const;
    bool wantsSave(TimePoint now) const;
    void save(TimePoint now);
    void onSaved(const SavedShard& saved, const QuotaShardRecord& attempted, TimePoint sentAt);
    void takeRecord(const QuotaShardRecord& record, TimePoint sentAt);
    Duration nextPause();
    void reload(TimePoint now);
    void onLoaded(const LoadedShard& loaded);
    bool takeOver(const QuotaShardRecord& returned);
    void end();

    const ShardContext& _context;
    ShardRole _role;
    RecordParts _parts;
    /** Identifies this holder's batches. It is 0 until this node has written the record itself, and
     * nothing is granted before. */
    std::uint64_t _term;
    TimePoint _leaseUntil;
    ShardLedgers _ledgers;
    std::uint64_t _lastBatch = 0;
    bool _ended = false;

    std::map<TenantName, UnitPacer> _pacers;
    std::map<TenantName, UnitTurns> _turns;
    RecordAllowances _allowances;
    /** A tenant has used up most of its allowance. */
    bool _needsAllowance = false;
    /** While deputies have parts, the record is not rewritten for a larger allowance before this
     * time. */
    TimePoint _nextAllowanceAt{};
    bool _withdrawn = false;

    StandbyState _standbyState = StandbyState::None;
    NodeIncarnation _standby;
    /** The former standby that refused an update, which means that it probably leads. */
    NodeName _successor;
    /** Number of this copy among all copies of this incarnation of the node. */
    std::uint64_t _copy = 0;
    std::uint64_t _lastUpdate = 0;
    std::uint64_t _acknowledgedUpdate = 0;
    /** Grants up to this update were confirmed to their requesters without waiting for the
     * standby's acknowledgement. */
    std::uint64_t _mustCatchUpTo = 0;
    std::map<std::uint64_t, UnacknowledgedGrant> _unacknowledged;
    /** Nodes to which replication failed, and when it failed. */
    std::map<NodeName, TimePoint> _failedStandbys;
    TimePoint _nextStandby{};

    bool _calling = false;
    bool _mustReload = false;
    /** The record was read, and this node's own state must be written to it. */
    bool _mustRenew = false;
    /** Current backoff after failed store calls. */
    Duration _pause{0};
    TimePoint _notBefore{};
    TimePoint _savedAt{};
    TimePoint _offeredAt{};
    TimePoint _askedAt{};
    QuotaRequestQueue _queue;
    std::shared_ptr<bool> _alive = std::make_shared<bool>(true);
};

}  // namespace coralhoist::tenancy
