/** Queue of quota requests that wait for replication to the standby, for the store, or until the
 * shard's leader is known. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "tenancy/QuotaMessages.h"

namespace coralhoist::tenancy {

/** @return a response that declines the request and grants no units. */
QuotaResponse declinedResponse(Duration retryAfter);

/** A queued request and the callback for its response. */
struct QueuedQuotaRequest {
    QuotaRequest request;
    QuotaReply reply;
    TimePoint since{};

    /** @return whether the request has reached its queueing timeout. */
    bool isOverdue(TimePoint now) const;
};

/** A queue that is bounded in length and in waiting time. Requests that don't fit or wait for too
 * long are declined. */
class QuotaRequestQueue {
public:
    /** @param declined counter of declined requests; must outlive the queue. */
    explicit QuotaRequestQueue(std::uint64_t& declined) : _declined(declined) {}

    /** Queues the request, or declines it when the queue is full. */
    void add(QueuedQuotaRequest queued);
    void decline(const QueuedQuotaRequest& queued, Duration retryAfter);
    void declineOverdue(TimePoint now);

    /** Removes and returns all queued requests. A reply callback may submit the next request at
     * once, so the requests are removed before any of them is answered. */
    std::deque<QueuedQuotaRequest> takeAll();

    const std::deque<QueuedQuotaRequest>& all() const { return _requests; }
    bool empty() const { return _requests.empty(); }

    /** @return when the oldest request reaches its timeout; `TimePoint::max()` for an empty queue.
     */
    TimePoint dueAt() const;

private:
    std::uint64_t& _declined;
    std::deque<QueuedQuotaRequest> _requests;
};

}  // namespace coralhoist::tenancy
