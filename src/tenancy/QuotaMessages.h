/** What nodes tell each other of tenants' quotas, and the interfaces that carry it. */
#pragma once

#include <cstdint>
#include <optional>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::tenancy {

/** Asks the node that accounts for a tenant for units that the asking node may run. */
struct QuotaQuestion {
    TenantName tenant;
    /** Units wanted; 0 only asks for a sign of life. */
    std::uint32_t wanted = 0;
    /** Units of earlier answers that expired unused. */
    std::uint32_t returned = 0;

    bool operator==(const QuotaQuestion&) const = default;
};

/** Answer of the node that was asked. */
struct QuotaAnswer {
    /** The node does not account for the tenant now: another one does, or it can't be sure. */
    bool declined = false;
    /** Units that may be run within the lease time from the moment of asking. */
    std::uint32_t granted = 0;
    /** When the rest could be granted. */
    Duration retryAfter{0};
    /** The tenant uses most of what it may. */
    bool scarce = false;

    bool operator==(const QuotaAnswer&) const = default;
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
};

/** Answers other nodes. */
class QuotaAnswers {
public:
    virtual ~QuotaAnswers() = default;

    virtual void answerQuota(std::uint64_t asker, const QuotaAnswer& answer) = 0;
};

/** Receives questions and answers of other nodes. */
class QuotaEvents {
public:
    virtual ~QuotaEvents() = default;

    virtual void onQuotaAsked(std::uint64_t asker, const QuotaQuestion& question) = 0;
    virtual void onQuotaAnswer(std::uint64_t question,
                               const std::optional<QuotaAnswer>& answer) = 0;
};

}  // namespace coralhoist::tenancy
