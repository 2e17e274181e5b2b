#include "tenancy/QuotaRequestQueue.h"

#include <utility>

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

/** Longest time for which a request is queued for replication to the standby, for the store or for
 * the record. */
constexpr Duration kHeldFor = milliseconds(250);
constexpr std::size_t kMostHeld = 512;
/** Retry delay that a request gets when it is declined because the queue is full or its timeout has
 * passed. */
constexpr Duration kRetryAfterHeld = milliseconds(200);

}  // namespace

QuotaAnswer declinedAnswer(Duration retryAfter) {
    QuotaAnswer answer;
    answer.declined = true;
    answer.retryAfter = retryAfter;
    return answer;
}

bool HeldQuestion::isOverdue(TimePoint now) const {
    return now - since >= kHeldFor;
}

void HeldQuestions::hold(HeldQuestion held) {
    if (_questions.size() >= kMostHeld) {
        decline(held, kRetryAfterHeld);
        return;
    }
    _questions.push_back(std::move(held));
}

void HeldQuestions::decline(const HeldQuestion& held, Duration retryAfter) {
    ++_declined;
    held.reply(declinedAnswer(retryAfter));
}

void HeldQuestions::declineOverdue(TimePoint now) {
    while (!_questions.empty() && _questions.front().isOverdue(now)) {
        const HeldQuestion overdue = std::move(_questions.front());
        _questions.pop_front();
        decline(overdue, kRetryAfterHeld);
    }
}

std::deque<HeldQuestion> HeldQuestions::takeAll() {
    return std::exchange(_questions, {});
}

TimePoint HeldQuestions::dueAt() const {
    return _questions.empty() ? TimePoint::max() : _questions.front().since + kHeldFor;
}

}  // namespace coralhoist::tenancy
