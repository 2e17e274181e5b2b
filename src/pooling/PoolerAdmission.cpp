/**
 * Admission: how long a statement is held, which statements are refused early, and when refused
 * callers should retry.
 */
#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

constexpr std::uint32_t kPercent = 100;
/**
 * Retry delay for a refused caller while no forecast is known: after a promotion, or when a queue
 * has advanced.
 */
constexpr std::chrono::milliseconds kRetryDelayAfterPromotion{500};
constexpr std::chrono::milliseconds kRetryDelayAfterOverload{100};
/**
 * Minimum slot time that is assumed for a statement, also while none of its kind has been observed.
 */
constexpr Duration kMinimumSlotTime = std::chrono::milliseconds(15);
/**
 * A statement that its caller retries near the end of the statement timeout is held beyond that
 * timeout by a fraction (1/n) of the timeout: the retry shows that the caller has not abandoned the
 * statement.
 */
constexpr int kRetryHoldDivisor = 10;
/**
 * A late retry is held at least for the time that a proof of leadership or a new connection takes.
 */
constexpr Duration kMinimumHold = std::chrono::milliseconds(50);
/**
 * Number of statement timeouts for which a refused statement is recognized as the same one when it
 * is retried.
 */
constexpr int kRefusalKeptForTimeouts = 2;
/**
 * Obstacles that a free slot does not remove: statements with these obstacles are not in a queue.
 */
constexpr std::array<std::string_view, 3> kObstaclesWithoutQueue{"no_primary", "promotion_settling",
                                                                 "leadership_unproven"};

std::string_view obstacleWithoutQueue(const Operation& operation) {
    const auto found = std::find(kObstaclesWithoutQueue.begin(), kObstaclesWithoutQueue.end(),
                                 operation.lastObstacle);
    return found == kObstaclesWithoutQueue.end() ? std::string_view() : *found;
}

}  // namespace

/** Sets the deadlines of a statement that has arrived: a retry counts from its first arrival. */
void StatementPooler::setTimes(PooledSession& session) {
    Operation& operation = *session.operation;
    const TimePoint now = operation.arrivedAt;
    const Duration timeout = session.settings.statementTimeout;
    const Duration waited = std::exchange(session.waited, Duration(0));
    const std::optional<TimePoint> first =
        session.firstAsking.remembers(now)
            ? session.firstAsking.of(contentHash(operation.statement), now)
            : std::nullopt;
    operation.firstRequestedAt = first.value_or(now - waited);
    operation.deadline = now + timeout;
    operation.usefulUntil = operation.firstRequestedAt + timeout;
    if (const auto usefulFor = std::exchange(session.usefulFor, std::nullopt)) {
        operation.usefulUntil = now + *usefulFor;
    } else if (operation.firstRequestedAt < now) {
        operation.usefulUntil =
            std::max(operation.usefulUntil,
                     std::min(now, operation.usefulUntil) + timeout / kRetryHoldDivisor);
    }
    if (first) {
        ++_statistics.retriesAfterRefusal;
    }
    const Duration shortened = timeout * (kPercent - std::min(_knobs.holdPercent, kPercent));
    operation.holdUntil =
        std::max(std::min(latestStart(session), operation.usefulUntil - shortened / kPercent),
                 std::min(now + kMinimumHold, operation.deadline));
}

/** @return the latest time at which the statement can be sent and still be answered in time. */
TimePoint StatementPooler::latestStart(const PooledSession& session) {
    const Duration slotTime =
        groupOf(session).slotTimes.expected(session.service, unitKindOf(session));
    return session.operation->usefulUntil - std::max(slotTime, kMinimumSlotTime);
}

/**
 * Records the statement if it was refused, so that a retry of it is recognized, or records that the
 * statement succeeded.
 */
void StatementPooler::noteAsked(PooledSession& session, const StatementResult& result) {
    const Operation& operation = *session.operation;
    if (!result.error) {
        session.firstAsking.noteSucceeded();
    } else if (result.error->fault == StatementFault::Busy) {
        session.firstAsking.noteRefused(
            contentHash(operation.statement), operation.firstRequestedAt,
            session.settings.statementTimeout * kRefusalKeptForTimeouts);
    }
}

admission::StatementClass StatementPooler::statementClassOf(const PooledSession& session) {
    return {session.service, static_cast<std::uint32_t>(unitKindOf(session))};
}

TimePoint StatementPooler::onTimeUntil(const PooledSession& session) const {
    return session.operation->firstRequestedAt +
           std::chrono::duration_cast<Duration>(session.settings.latencyObjective *
                                                _knobs.onTimeShare);
}

void StatementPooler::noteStarted(GroupState& group, const PooledSession& session) {
    if (session.operation->unit) {
        return;
    }
    const bool late = _clock.now() >= onTimeUntil(session);
    group.admission.noteStart(statementClassOf(session),
                              late ? admission::Lane::Late : admission::Lane::OnTime);
}

/** Refuses those of the group's queued statements that are not expected to start in time. */
void StatementPooler::refuseByForecast(GroupState& group) {
    const TimePoint now = _clock.now();
    if (group.waiting.empty() || !group.admission.isReviewDue(now)) {
        return;
    }
    std::vector<admission::QueuedStatement> applicants;
    for (const SessionId id : group.waiting.order(now)) {
        const PooledSession* session = findSession(id);
        if (session != nullptr && isQueued(*session)) {
            const Operation& operation = *session->operation;
            applicants.push_back({id, statementClassOf(*session), onTimeUntil(*session),
                                  latestStart(*session), obstacleWithoutQueue(operation)});
        }
    }
    for (const admission::ForecastRefusal& refusal : group.admission.review(now, applicants)) {
        PooledSession& session = _sessions.at(refusal.session);
        group.waiting.remove(refusal.session);
        session.operation->forecast = refusal.forecast;
        ++_statistics.refusedByForecast;
        refuseQueued(session, refusal.retryAfter);
    }
}

/** Refuses a statement that was not sent, and tells the caller when a retry may succeed. */
void StatementPooler::refuseAsBusy(PooledSession& session) {
    GroupState& group = groupOf(session);
    const bool withoutPrimary =
        !group.leadership.primary() || group.leadership.notice().phase != PromotionPhase::None;
    const auto pause = withoutPrimary ? kRetryDelayAfterPromotion : kRetryDelayAfterOverload;
    const TimePoint now = _clock.now();
    const bool queued = obstacleWithoutQueue(*session.operation).empty() && !withoutPrimary;
    session.operation->forecast =
        group.admission.waitOfNewStatement(statementClassOf(session), now);
    group.waiting.remove(session.id);
    refuseQueued(session, queued ? group.admission.nextRetryDelay(now, statementClassOf(session),
                                                                  session.operation->forecast)
                                 : pause);
}

void StatementPooler::refuseQueued(PooledSession& session, Duration retryAfter) {
    if (session.transaction.phase != TransactionPhase::None) {
        failTransaction(session);
    }
    replyError(session, notRun(session.operation->lastObstacle, retryAfter));
}

}  // namespace coralhoist::pooling
