/** What nodes tell each other of tenants' quotas, and the interfaces that carry it. */
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

/** Names the units of one grant. */
struct BatchId {
    /** Version of the shard's record under which the granting leader began to lead. */
    std::uint64_t term = 0;
    std::uint64_t number = 0;

    bool operator==(const BatchId&) const = default;
    bool operator<(const BatchId& other) const {
        return std::tie(term, number) < std::tie(other.term, other.number);
    }
};

/** What became of a batch of which nothing will run any more. Final, and so told again at will. */
struct BatchSettlement {
    BatchId batch;
    /** Units that ran. */
    std::uint32_t used = 0;
    /** Time since the last of them began, when this was sent. */
    Duration lastUseAge{0};

    bool operator==(const BatchSettlement&) const = default;
};

/** Asks the leader of a tenant's shard for units that the asking node may run. */
struct QuotaQuestion {
    TenantName tenant;
    /** Units wanted; 0 only settles batches. */
    std::uint32_t wanted = 0;
    /** The asking node uses no unit later than this after it sent the question. */
    Duration usableFor{0};
    /** Nodes that handed the question on. */
    std::uint32_t hops = 0;
    /** The leader did not answer it: a standby that does not hear from it either may lead. */
    bool leaderSilent = false;
    std::vector<BatchSettlement> settled;
    /** The units wanted by rank, from 0 on; empty where ranks don't matter. Three parts, each with
     * an entry for every rank that there may be: units that may wait for a turn, units whose turn
     * has come, and units that are of no use later. */
    std::vector<std::uint32_t> wantedByRank = {};

    bool operator==(const QuotaQuestion&) const = default;
};

/** Answer to a question. */
struct QuotaAnswer {
    /** Nothing was granted: no leader could be asked, or it can't be sure that it leads. */
    bool declined = false;
    BatchId batch;
    std::uint32_t granted = 0;
    /** When the rest could be granted, or when to ask again. */
    Duration retryAfter{0};
    /** The tenant uses most of what it may. */
    bool scarce = false;
    /** The leader that granted, and its standby; empty when declined or there is none. */
    NodeName leader;
    NodeName standby;
    /** The units granted by rank, from 0 on; empty where the question named none. */
    std::vector<std::uint32_t> grantedByRank = {};

    bool operator==(const QuotaAnswer&) const = default;
};

/** Takes the answer to a question; called once, at once or later. */
using QuotaReply = std::function<void(const QuotaAnswer&)>;

/** A batch as a standby keeps it. */
struct CopiedBatch {
    TenantName tenant;
    BatchId batch;
    std::uint32_t units = 0;
    /** Longest time for which its units may still be used, when this was sent; below 0 when they
     * only count. */
    Duration usableFor{0};

    bool operator==(const CopiedBatch&) const = default;
};

/** Keeps a standby's copy of a leader's ledgers up to date. */
struct LedgerUpdate {
    std::uint32_t shard = 0;
    /** Life of the leader, and which of its copies this is. */
    std::string leaderLife;
    std::uint64_t copy = 0;
    /** Counts the updates of a copy from 1 on: none may lack. */
    std::uint64_t sequence = 0;
    /** The batches are all that count; the copy begins anew. */
    bool whole = false;
    /** The leader grants no more: the standby may lead. */
    bool released = false;
    /** The leader can't write the record: the standby may lead if it can. */
    bool offered = false;
    std::vector<CopiedBatch> batches;

    bool operator==(const LedgerUpdate&) const = default;
};

/** Answer to an update. */
struct LedgerAck {
    /** The batches are part of the copy now. */
    bool accepted = false;
    /** Life of the standby. */
    std::string life;

    bool operator==(const LedgerAck&) const = default;
};

/** Asks other nodes. No call delivers an answer before it returns. */
class QuotaQuestions {
public:
    virtual ~QuotaQuestions() = default;

    /** @return whether the node seems to answer now. */
    virtual bool canReach(const NodeName& node) const = 0;

    /** One onQuotaAnswer follows, without an answer when the link is lost. */
    virtual void askForQuota(const NodeName& node, std::uint64_t question,
                             const QuotaQuestion& asked) = 0;

    /** One onLedgerAck follows, without one when the link is lost. Updates arrive in order. */
    virtual void updateLedger(const NodeName& node, std::uint64_t question,
                              const LedgerUpdate& update) = 0;
};

/** Answers other nodes. */
class QuotaAnswers {
public:
    virtual ~QuotaAnswers() = default;

    virtual void answerQuota(std::uint64_t asker, const QuotaAnswer& answer) = 0;
    virtual void acknowledgeLedger(std::uint64_t asker, const LedgerAck& ack) = 0;
};

/** Receives questions and answers of other nodes. */
class QuotaEvents {
public:
    virtual ~QuotaEvents() = default;

    virtual void onQuotaAsked(std::uint64_t asker, const QuotaQuestion& question) = 0;
    virtual void onQuotaAnswer(std::uint64_t question,
                               const std::optional<QuotaAnswer>& answer) = 0;
    virtual void onLedgerUpdate(std::uint64_t asker, const LedgerUpdate& update) = 0;
    virtual void onLedgerAck(std::uint64_t question, const std::optional<LedgerAck>& ack) = 0;
};

}  // namespace coralhoist::tenancy
