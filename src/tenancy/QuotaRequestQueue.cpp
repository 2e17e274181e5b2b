#include "tenancy/QuotaRequestQueue.h"

#include <utility>

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

/** Longest time for which a request is queued for replication to the standby, for the store or for
 * the record. */
constexpr Duration kHeldFor = milliseconds(250);
constexpr std::size_t kMaxQueuedRequests = 512;
/** Retry delay that a request gets when it is declined because the queue is full or its timeout has
 * passed. */
constexpr Duration kRetryAfterQueueing = milliseconds(200);

}  // namespace

QuotaResponse declinedResponse(Duration retryAfter) {
    QuotaResponse answer;
    answer.declined = true;
    answer.retryAfter = retryAfter;
    return answer;
}

bool QueuedQuotaRequest::isOverdue(TimePoint now) const {
    return now - since >= kHeldFor;
}

void QuotaRequestQueue::hold(QueuedQuotaRequest held) {
    if (_questions.size() >= kMaxQueuedRequests) {
        decline(held, kRetryAfterQueueing);
        return;
    }
    _questions.push_back(std::move(held));
}

void QuotaRequestQueue::decline(const QueuedQuotaRequest& held, Duration retryAfter) {
    ++_declined;
    held.reply(declinedResponse(retryAfter));
}

void QuotaRequestQueue::declineOverdue(TimePoint now) {
    while (!_questions.empty() && _questions.front().isOverdue(now)) {
        const QueuedQuotaRequest overdue = std::move(_questions.front());
        _questions.pop_front();
        decline(overdue, kRetryAfterQueueing);
    }
}

std::deque<QueuedQuotaRequest> QuotaRequestQueue::takeAll() {
    return std::exchange(_questions, {});
}

TimePoint QuotaRequestQueue::dueAt() const {
    return _questions.empty() ? TimePoint::max() : _questions.front().since + kHeldFor;
}

}  // namespace coralhoist::tenancy
