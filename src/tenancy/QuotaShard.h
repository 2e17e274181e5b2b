/** One node's role in one shard of tenants: leader, standby, deputy, or a node that forwards
 * requests to the leader. */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "tenancy/LedgerCopy.h"
#include "tenancy/QuotaRequestQueue.h"
#include "tenancy/RecordParts.h"
#include "tenancy/ShardContext.h"
#include "tenancy/ShardLeader.h"

namespace coralhoist::tenancy {

/**
 * Handles requests for units of the shard's tenants: by itself while this node leads, otherwise by
 * forwarding them to the leader or its standby. The node takes over leadership where the record
 * names no leader, a previous incarnation of this node, or a leader that can't be reached: at once
 * if this node is the leader's standby, otherwise after the leader's lease. Until then it is a
 * deputy where neither leader nor standby can be reached but the store can.
 *
 * Invariant: at most one node leads at a time, and the ledger with which a leader begins counts all
 * units that its predecessors may have granted; deputies grant within parts of the record that the
 * leader leaves them (`RecordParts`). The invariant does not depend on a node's list of peers, on
 * connections or on missing responses, but only on writing the record conditionally on the version
 * that was read.
 *
 * A store that was restored from an older copy may have lost claims, hand-overs and parts whose
 * holders continue to grant. Until none of their units counts any more, only the present leader, or
 * its standby in its place, may lead, and no node becomes a deputy (`mayLackGrants`).
 */
class QuotaShard {
public:
    explicit QuotaShard(ShardContext context)
        : _context(std::move(context)), _queue(_context.statistics.declined) {}

    /** @param reply called once, synchronously or later. */
    void ask(const QuotaRequest& request, QuotaReply reply);

    LedgerAck takeUpdate(const LedgerUpdate& update);

    void onTick(TimePoint now);
    TimePoint nextTick() const;

    /** Handles a planned shutdown: stops granting and gives up leadership. */
    void release();

    bool leads() const { return _leader && !_leader->hasEnded(); }

    /** @return whether this node grants a part of the shard's units as a deputy. */
    bool isDeputy() const { return _deputy && !_deputy->hasWithdrawn(); }

private:
    /** The record as it was last read. */
    struct KnownRecord {
        RecordParts parts;
        /** Time of the last read. */
        TimePoint loadedAt{};

        const QuotaShardRecord& record() const { return parts.record(); }
    };

    void relayOrResolveLeader(QueuedQuotaRequest queued, TimePoint now);
    bool reachesLeader() const;
    std::optional<NodeName> relayTarget() const;
    std::optional<NodeName> reachableDeputy() const;
    bool mayBeDeputy(TimePoint now) const;
    void becomeDeputy();
    void noteReach(TimePoint now);
    void tickDeputy(TimePoint now);
    bool isSilentToStandby(const QueuedQuotaRequest& queued, TimePoint now) const;
    bool canReach(const NodeIncarnation& incarnation) const;
    void relay(const NodeName& node, QueuedQuotaRequest queued);
    void resolveLeader(TimePoint now);
    void load(TimePoint now);
    void onLoaded(const LoadedShard& loaded);
    void decide(TimePoint now);
    bool isOfPresentEra() const;
    bool isWrittenInPresentEra() const;
    bool mayLeadWithCopy(TimePoint now) const;
    bool mayLeadWithoutCopy(TimePoint now) const;
    void claim(ShardLedgers ledgers, bool withCopy, TimePoint now);
    void onClaimed(const SavedShard& saved, const QuotaShardRecord& claimed, TimePoint sentAt);
    void lead(const QuotaShardRecord& record, TimePoint leaseUntil);
    ShardLedgers inheritedLedgers(TimePoint now) const;
    void requireReload(TimePoint now);
    void decline(const QueuedQuotaRequest& queued, Duration retryAfter);
    void declineQueued(Duration retryAfter);
    void dispatchQueued();
    bool waitsToBeDeputy() const;
    TimePoint deputyDue() const;
    void probeLeader(TimePoint now);
    void followSuccessor(TimePoint now);
    void probe(const NodeName& node, QuotaRequest request, QuotaReply onAnswered);

    ShardContext _context;
    std::unique_ptr<ShardLeader> _leader;
    /** A withdrawn deputy is kept until no unit that it granted counts any more. */
    std::unique_ptr<ShardLeader> _deputy;
    /** Since when the leader has been unreachable. */
    std::optional<TimePoint> _cutOffSince;
    /** Time of the next check whether the deputy is still needed. */
    TimePoint _deputyDueAt{};
    /** Time of the deputy's last probe of the leader. */
    TimePoint _leaderProbedAt{};
    /** Time when a request without units was last forwarded. */
    TimePoint _probedAt{};
    /** Tenant of the latest request. */
    TenantName _tenant;
    LedgerCopy _copy;
    std::optional<KnownRecord> _known;
    /** Ledgers that apply if the newest claim, whose outcome is unknown, was written. */
    ShardLedgers _claimedLedgers;
    bool _claimedWithCopy = false;
    bool _claimPending = false;
    /** Version that the newest claim replaces. */
    StoreVersion _claimedUnder;
    /** Time when the leader last declined a request. */
    TimePoint _leaderDeclinedAt{};
    bool _calling = false;
    bool _released = false;
    TimePoint _notBefore{};
    QuotaRequestQueue _queue;
    std::shared_ptr<bool> _alive = std::make_shared<bool>(true);
};

}  // namespace coralhoist::tenancy
