/** The leader of one shard of tenants, or a deputy of it: grants their units. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "tenancy/HeldQuestions.h"
#include "tenancy/QuotaLedger.h"
#include "tenancy/RecordAllowances.h"
#include "tenancy/ShardContext.h"
#include "tenancy/UnitPacer.h"
#include "tenancy/UnitTurns.h"

namespace coralhoist::tenancy {

/** Whose part of the record a node writes. */
enum class ShardRole { Leader, Deputy };

/**
 * Grants within a tenant's bound and within the allowance that the shard's record names for it,
 * while its lease of the record lasts. A grant is answered once the standby has it, so that the
 * standby may lead at any moment without waiting; without a copy, a new leader counts what the
 * record lists and the whole allowance.
 *
 * Invariants: nothing is granted after the lease; each grant is part of what every version of the
 * record lists or allows that may be the newest; no grant is answered that a standby which some
 * version may name lacks.
 *
 * When the store has returned older, a leader whose lease lasts writes its part again and goes on:
 * nobody else can have led then. One that has lost its standby since can't know that, and ends.
 *
 * A deputy grants in the same way within its own part of the record (see `RecordParts`), without a
 * standby: if it dies, its part ends with its lease.
 */
class ShardLeader {
public:
    /**
     * A leader.
     * @param parts of the record as this node wrote it, or of a former writing of its own that is
     * in force.
     * @param leaseUntil until when it may grant.
     * @param ledgers what counts already.
     */
    ShardLeader(const ShardContext& context, RecordParts parts, TimePoint leaseUntil,
                ShardLedgers ledgers);

    /**
     * A deputy, which grants once it has written its part.
     * @param parts of the record as it was read. A part of this life of the node has to be empty.
     */
    ShardLeader(const ShardContext& context, RecordParts parts);

    /** The reply comes within the time for which questions are held. */
    void ask(const QuotaQuestion& question, QuotaReply reply);

    void onTick(TimePoint now);
    TimePoint nextTick() const;

    /** @return whether the store has returned older since this node wrote or read the record. */
    bool isOutdated() const;
    /** Ends at once, and writes nothing. */
    void abandon();

    /** @return whether another node leads, or this one has stopped as planned. */
    bool hasEnded() const { return _ended; }

    /** Questions that nobody answered here. */
    std::deque<HeldQuestion> takeHeld() { return _held.takeAll(); }

    /** A deputy grants no more, and writes so into its part. */
    void withdraw();
    /** A deputy that has withdrawn writes itself an allowance again. */
    void resume();
    bool hasWithdrawn() const { return _withdrawn; }
    /** @return whether nothing is left to write or to count. */
    bool countsNothing(TimePoint now);

    /** @return the newest version of the record that is known. */
    const RecordParts& parts() const { return _parts; }

    /** Grants no more; the standby, or whoever reads the record, may lead at once. */
    void release();

private:
    enum class StandbyState {
        None,
        Copying,    /**< All batches are on their way to it; no version of the record names it. */
        CatchingUp, /**< As before, but grants wait for it already. */
        Joining,    /**< A version of the record that names it may be in force. */
        InSync,     /**< The record names it. */
        Leaving,    /**< It may lack a batch, and the record may still name it. */
    };
    /** Units that a question gets now, and what of it is put off. */
    struct RankedGrant {
        std::uint32_t units = 0;
        /** Empty where the question names no ranks. */
        std::vector<std::uint32_t> byRank;
        std::vector<RankedRequest> putOff;
    };
    struct UnacknowledgedGrant {
        QuotaReply reply;
        QuotaAnswer answer;
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
    void answer(HeldQuestion held, TimePoint now);
    std::uint32_t freeUnits(const Tenant& tenant, TimePoint now);
    std::uint32_t grantable(const Tenant& tenant, std::uint32_t wanted, TimePoint now);
    QuotaAnswer grant(const Tenant& tenant, const QuotaQuestion& question,
                      const RankedGrant& granted, TimePoint now);
    QuotaLedger& ledgerOf(const TenantName& tenant);
    bool mayHandOn(const QuotaQuestion& question) const;
    void handOn(const HeldQuestion& held);
    void answerHeld(TimePoint now);

    bool isLimitedByAllowance(const Tenant& tenant, TimePoint now);
    std::uint32_t paced(const Tenant& tenant, std::uint32_t units, TimePoint now);
    bool knowsTurns(const QuotaQuestion& question) const;
    RankedGrant pacedByRank(const Tenant& tenant, const QuotaQuestion& question,
                            std::uint32_t units, TimePoint now);
    RankedGrant grantOf(const Tenant& tenant, const QuotaQuestion& question, std::uint32_t units,
                        TimePoint now);
    Duration putOff(const Tenant& tenant, const RankedGrant& granted, TimePoint now);
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
    /** Names this holder's batches; 0 until it has written the record itself: then nothing is
     * granted. */
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
    /** While deputies have parts, the record is not rewritten for more allowance before this. */
    TimePoint _nextAllowanceAt{};
    bool _withdrawn = false;

    StandbyState _standbyState = StandbyState::None;
    NodeLife _standby;
    /** The standby that acknowledges nothing more: probably it leads. */
    NodeName _successor;
    /** Names this copy among all of this life of the node. */
    std::uint64_t _copy = 0;
    std::uint64_t _lastUpdate = 0;
    std::uint64_t _acknowledgedUpdate = 0;
    /** Grants up to this update were answered without waiting for the standby. */
    std::uint64_t _mustCatchUpTo = 0;
    std::map<std::uint64_t, UnacknowledgedGrant> _unacknowledged;
    /** Nodes that could not be copied to, and since when. */
    std::map<NodeName, TimePoint> _failedStandbys;
    TimePoint _nextStandby{};

    bool _calling = false;
    bool _mustReload = false;
    /** The record was read, and is to be written as this node has it. */
    bool _mustRenew = false;
    /** After calls of the store that failed. */
    Duration _pause{0};
    TimePoint _notBefore{};
    TimePoint _savedAt{};
    TimePoint _offeredAt{};
    TimePoint _askedAt{};
    HeldQuestions _held;
    std::shared_ptr<bool> _alive = std::make_shared<bool>(true);
};

}  // namespace coralhoist::tenancy
