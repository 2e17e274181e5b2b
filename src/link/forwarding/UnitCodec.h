/** Frames of the link between two nodes, for units of work, proofs of leadership, changes of the
 * store and units of quotas: Thrift structs behind a length. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/Status.h"
#include "link/store/FeedMessages.h"
#include "pooling/LeadershipProof.h"
#include "pooling/LoadReport.h"
#include "pooling/UnitForwarding.h"
#include "tenancy/QuotaMessages.h"

namespace coralhoist::forwarding {

/** Largest frame in bytes; larger ones end the link. */
constexpr std::size_t kLargestFrame = 4U << 20U;

/** What one frame says. */
struct UnitMessage {
    enum class Kind {
        Request,        /**< `unit`, `statement`, and `opening` with the first one. */
        Answer,         /**< `unit` and `result`. */
        Declined,       /**< The node takes no new unit; nothing of `unit` has run. */
        Ended,          /**< `unit` is given up. */
        HeartbeatAsked, /**< To be answered with Heartbeat. */
        Heartbeat,
        Leaving,      /**< The sender takes no new units. */
        ProofAsked,   /**< `question` and `proofNeed`. */
        Proof,        /**< `question` and `proof`, if there is one. */
        ChangesAsked, /**< `question` and `feedQuestion`. */
        Changes,      /**< `question` and `feedAnswer`, if there is one. */
        QuotaAsked,   /**< `question` and `quotaQuestion`. */
        Quota,        /**< `question` and `quotaAnswer`. */
        LedgerUpdate, /**< `question` and `ledgerUpdate`. */
        LedgerAck,    /**< `question` and `ledgerAck`. */
        LoadTold,     /**< `loadReport`; no answer is expected. */
    };
    Kind kind = Kind::Heartbeat;
    UnitId unit;
    std::optional<pooling::UnitOpening> opening;
    pooling::UnitStatement statement;
    pooling::UnitResult result;
    /** Number that the asking node gave its question. */
    std::uint64_t question = 0;
    pooling::ProofNeed proofNeed;
    std::optional<pooling::HandedProof> proof;
    store::FeedQuestion feedQuestion;
    std::optional<store::FeedAnswer> feedAnswer;
    tenancy::QuotaRequest quotaQuestion;
    tenancy::QuotaResponse quotaAnswer;
    tenancy::LedgerUpdate ledgerUpdate;
    tenancy::LedgerAck ledgerAck;
    pooling::LoadReport loadReport;
};

/** Appends one frame. */
void encode(std::string& out, const UnitMessage& message);

/**
 * Takes the first frame from the front of the buffer.
 * @return nothing while it is incomplete; ProtocolViolation when it can't be understood.
 */
std::optional<StatusWith<UnitMessage>> takeMessage(std::string& buffer);

}  // namespace coralhoist::forwarding
