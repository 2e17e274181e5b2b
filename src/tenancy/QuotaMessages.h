/** Messages that nodes exchange about tenants' quotas, and the interfaces that carry them. */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::tenancy {

/** Identifies the units of one grant. */
struct BatchId {
    /** Version of the shard's record under which the granting node became leader. */
    std::uint64_t term = 0;
    std::uint64_t number = 0;

    bool operator==(const BatchId&) const = default;
    bool operator<(const BatchId& other) const {
        return std::tie(term, number) < std::tie(other.term, other.number);
    }
};

/** Final usage of a batch of which no more units will run. A settlement never changes, so it may be
 * sent repeatedly. */
struct BatchSettlement {
    BatchId batch;
    /** Units that ran. */
    std::uint32_t used = 0;
    /** Age of the last use when the settlement was sent, measured from the start of the last unit
     * that ran. */
    Duration lastUseAge{0};

    bool operator==(const BatchSettlement&) const = default;
};

/** Asks the leader of a tenant's shard for units that the requesting node may run. */
struct QuotaRequest {
    TenantName tenant;
    /** Requested units. A request for 0 units only settles batches. */
    std::uint32_t wanted = 0;
    /** The requesting node uses no unit later than this time after it sent the request. */
    Duration usableFor{0};
    /** Number of nodes that forwarded the request. */
    std::uint32_t hops = 0;
    /** The leader did not respond to the request. A standby that receives no updates from the
     * leader either may take over. */
    bool leaderSilent = false;
    std::vector<BatchSettlement> settled;
    /** Requested units by rank, starting at rank 0; empty where ranks don't matter. The list has
     * three parts, each with an entry for every possible rank: units that may be deferred to a
     * later time slot, units whose time slot has come, and units that are of no use later. */
    std::vector<std::uint32_t> wantedByRank = {};

    bool operator==(const QuotaRequest&) const = default;
};

/** Response to a quota request. */
struct QuotaResponse {
    /** Nothing was granted, because no leader could be reached or the leader can't be sure that it
     * still leads. */
    bool declined = false;
    BatchId batch;
    std::uint32_t granted = 0;
    /** Time after which the rest could be granted, or after which to retry. */
    Duration retryAfter{0};
    /** The tenant uses most of its quota. */
    bool scarce = false;
    /** The leader that granted the units, and its standby. Both are empty in a declined response,
     * and the standby is empty when there is none. */
    NodeName leader;
    NodeName standby;
    /** Granted units by rank, starting at rank 0; empty where the request named no ranks. */
    std::vector<std::uint32_t> grantedByRank = {};

    bool operator==(const QuotaResponse&) const = default;
};

/** Receives the response to a request. Called exactly once, either synchronously or later. */
using QuotaReply = std::function<void(const QuotaResponse&)>;

/** A batch as replicated to a standby. */
struct CopiedBatch {
    TenantName tenant;
    BatchId batch;
    std::uint32_t units = 0;
    /** Longest time for which the batch's units may still be used, measured when the message was
     * sent. A negative value means that the units can't be used any more but still count against
     * the quota. */
    Duration usableFor{0};

    bool operator==(const CopiedBatch&) const = default;
};

/** Replicates changes of a leader's ledgers to its standby. */
struct LedgerUpdate {
    std::uint32_t shard = 0;
    /** Incarnation of the leader, and the number of the copy among the copies that this incarnation
     * has begun. */
    std::string leaderIncarnation;
    std::uint64_t copy = 0;
    /** Number of the update within its copy, starting at 1. The standby accepts no update after a
     * gap. */
    std::uint64_t sequence = 0;
    /** The update lists all counted batches and starts a new copy. */
    bool whole = false;
    /** The leader has stopped granting, so the standby may take over. */
    bool released = false;
    /** The leader can't write the record, so the standby may take over if it can write the record.
     */
    bool offered = false;
    std::vector<CopiedBatch> batches;

    bool operator==(const LedgerUpdate&) const = default;
};

/** Response to a ledger update. */
struct LedgerAck {
    /** The standby has added the batches to its copy. */
    bool accepted = false;
    /** Incarnation of the standby. */
    std::string incarnation;

    bool operator==(const LedgerAck&) const = default;
};

/** Sends requests to other nodes. No call delivers a response before the call returns. */
class QuotaRequestSender {
public:
    virtual ~QuotaRequestSender() = default;

    /** @return whether the node appears to be reachable. */
    virtual bool canReach(const NodeName& node) const = 0;

    /** Exactly one onQuotaResponse call follows. It carries no response when the link is lost. */
    virtual void sendQuotaRequest(const NodeName& node, std::uint64_t requestId,
                                  const QuotaRequest& request) = 0;

    /** Exactly one onLedgerAck call follows. It carries no acknowledgement when the link is lost.
     * Updates arrive in order. */
    virtual void updateLedger(const NodeName& node, std::uint64_t requestId,
                              const LedgerUpdate& update) = 0;
};

/** Sends responses to other nodes. */
class QuotaResponseSender {
public:
    virtual ~QuotaResponseSender() = default;

    virtual void sendQuotaResponse(std::uint64_t requester, const QuotaResponse& response) = 0;
    virtual void acknowledgeLedger(std::uint64_t requester, const LedgerAck& ack) = 0;
};

/** Receives requests and responses from other nodes. */
class QuotaEvents {
public:
    virtual ~QuotaEvents() = default;

    virtual void onQuotaRequest(std::uint64_t requester, const QuotaRequest& request) = 0;
    virtual void onQuotaResponse(std::uint64_t requestId,
                                 const std::optional<QuotaResponse>& response) = 0;
    virtual void onLedgerUpdate(std::uint64_t requester, const LedgerUpdate& update) = 0;
    virtual void onLedgerAck(std::uint64_t requestId, const std::optional<LedgerAck>& ack) = 0;
};

}  // namespace coralhoist::tenancy
