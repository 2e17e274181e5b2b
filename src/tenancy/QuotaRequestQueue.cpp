#include "tenancy/QuotaRequestQueue.h"

#include <utility>

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

/** Longest time for which a request is queued for replication to the standby, for the store or for
 * the record. */
constexpr Duration kQueueTimeout = milliseconds(250);
constexpr std::size_t kMaxQueuedRequests = 512;
/** Retry delay that a request gets when it is declined because the queue is full or its timeout has
 * passed. */
constexpr Duration kRetryAfterQueueing = milliseconds(200);

}  // namespace

QuotaResponse declinedResponse(Duration retryAfter) {
    QuotaResponse response;
    response.declined = true;
    response.retryAfter = retryAfter;
    return response;
}

bool QueuedQuotaRequest::isOverdue(TimePoint now) const {
    return now - since >= kQueueTimeout;
}

void QuotaRequestQueue::add(QueuedQuotaRequest queued) {
    if (_requests.size() >= kMaxQueuedRequests) {
        decline(queued, kRetryAfterQueueing);
        return;
    }
    _requests.push_back(std::move(queued));
}

void QuotaRequestQueue::decline(const QueuedQuotaRequest& queued, Duration retryAfter) {
    ++_declined;
    queued.reply(declinedResponse(retryAfter));
}

void QuotaRequestQueue::declineOverdue(TimePoint now) {
    while (!_requests.empty() && _requests.front().isOverdue(now)) {
        const QueuedQuotaRequest overdue = std::move(_requests.front());
        _requests.pop_front();
        decline(overdue, kRetryAfterQueueing);
    }
}

std::deque<QueuedQuotaRequest> QuotaRequestQueue::takeAll() {
    return std::exchange(_requests, {});
}

TimePoint QuotaRequestQueue::dueAt() const {
    return _requests.empty() ? TimePoint::max() : _requests.front().since + kQueueTimeout;
}

}  // namespace coralhoist::tenancy
