/** Questions for units that wait for a copy, for the store, or to learn who leads. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "tenancy/QuotaMessages.h"

namespace coralhoist::tenancy {

/** @return an answer without units. */
QuotaAnswer declinedAnswer(Duration retryAfter);

/** A question that waits for an answer. */
struct HeldQuestion {
    QuotaQuestion question;
    QuotaReply reply;
    TimePoint since{};

    /** @return whether it has waited for as long as it may. */
    bool isOverdue(TimePoint now) const;
};

/** Bounded in number and time: what does not fit or waits for too long is declined. */
class HeldQuestions {
public:
    /** @param declined counts what is declined; outlives the questions. */
    explicit HeldQuestions(std::uint64_t& declined) : _declined(declined) {}

    /** Holds the question, or declines it. */
    void hold(HeldQuestion held);
    void decline(const HeldQuestion& held, Duration retryAfter);
    void declineOverdue(TimePoint now);

    /** @return all questions, which are held no longer. A reply may bring the next question, so
     * they are taken before any is answered. */
    std::deque<HeldQuestion> takeAll();

    const std::deque<HeldQuestion>& all() const { return _questions; }
    bool empty() const { return _questions.empty(); }

    /** @return when the first of them is to be declined; far away while there is none. */
    TimePoint dueAt() const;

private:
    std::uint64_t& _declined;
    std::deque<HeldQuestion> _questions;
};

}  // namespace coralhoist::tenancy
