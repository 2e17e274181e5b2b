/** Admission: until when a statement is held, whose wait is too long, and when callers return. */
#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

constexpr std::uint32_t kPercent = 100;
/** When a refused caller should come back while no forecast is known: after a promotion, or when a
 * queue has moved on. */
constexpr std::chrono::milliseconds kComeBackAfterPromotion{500};
constexpr std::chrono::milliseconds kComeBackAfterOverload{100};
/** Least slot time that is assumed of a statement, also while none of its kind has been seen. */
constexpr Duration kLeastSlotTime = std::chrono::milliseconds(15);
/** A caller that comes back near the end of its timeout is held for one part in so many of the
 * timeout more: it wouldn't have come back if it had given the statement up. */
constexpr int kReturnHoldDivisor = 10;
/** A return that comes late is held at least for what a proof or a new connection takes. */
constexpr Duration kLeastHold = std::chrono::milliseconds(50);
/** Timeouts for which a refused statement is taken for the same one when it is asked again. */
constexpr int kTurnKeptFor = 2;
/** Obstacles that a free slot does not remove: statements behind them are not in a queue. */
constexpr std::array<std::string_view, 3> kObstaclesWithoutQueue{"no_primary", "promotion_settling",
                                                                 "leadership_unproven"};

std::string_view obstacleWithoutQueue(const Operation& operation) {
    const auto found = std::find(kObstaclesWithoutQueue.begin(), kObstaclesWithoutQueue.end(),
                                 operation.lastObstacle);
    return found == kObstaclesWithoutQueue.end() ? std::string_view() : *found;
}

}  // namespace

/** Sets the times of a statement that has come: a return counts from its first arrival. */
void StatementPooler::setTimes(PooledSession& session) {
    Operation& operation = *session.operation;
    const TimePoint now = operation.arrivedAt;
    const Duration timeout = session.settings.statementTimeout;
    const Duration waited = std::exchange(session.waited, Duration(0));
    const std::optional<TimePoint> first =
        session.firstAsking.remembers(now)
            ? session.firstAsking.of(contentHash(operation.statement), now)
            : std::nullopt;
    operation.firstAskedAt = first.value_or(now - waited);
    operation.deadline = now + timeout;
    operation.usefulUntil = operation.firstAskedAt + timeout;
    if (const auto usefulFor = std::exchange(session.usefulFor, std::nullopt)) {
        operation.usefulUntil = now + *usefulFor;
    } else if (operation.firstAskedAt < now) {
        operation.usefulUntil =
            std::max(operation.usefulUntil,
                     std::min(now, operation.usefulUntil) + timeout / kReturnHoldDivisor);
    }
    if (first) {
        ++_statistics.returnsInTurn;
    }
    const Duration shortened = timeout * (kPercent - std::min(_knobs.holdPercent, kPercent));
    operation.holdUntil =
        std::max(std::min(latestStart(session), operation.usefulUntil - shortened / kPercent),
                 std::min(now + kLeastHold, operation.deadline));
}

/** @return the last moment at which the statement can be sent and still be answered in time. */
TimePoint StatementPooler::latestStart(const PooledSession& session) {
    const Duration slotTime =
        groupOf(session).slotTimes.expected(session.service, unitKindOf(session));
    return session.operation->usefulUntil - std::max(slotTime, kLeastSlotTime);
}

/** Remembers what a caller may ask again, or that it has got what it asked for. */
void StatementPooler::noteAsked(PooledSession& session, const StatementResult& result) {
    const Operation& operation = *session.operation;
    if (!result.error) {
        session.firstAsking.noteSucceeded();
    } else if (result.error->fault == StatementFault::Busy) {
        session.firstAsking.noteRefused(contentHash(operation.statement), operation.firstAskedAt,
                                        session.settings.statementTimeout * kTurnKeptFor);
    }
}

admission::StatementClass StatementPooler::statementClassOf(const PooledSession& session) {
    return {session.service, static_cast<std::uint32_t>(unitKindOf(session))};
}

TimePoint StatementPooler::onTimeUntil(const PooledSession& session) const {
    return session.operation->firstAskedAt +
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

/** Refuses those of the group's waiting statements that are not expected to start in time. */
void StatementPooler::reviewWaits(GroupState& group) {
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

/** The statement was not sent: the caller is told when a repetition has a chance. */
void StatementPooler::refuseAsBusy(PooledSession& session) {
    GroupState& group = groupOf(session);
    const bool leaderless =
        !group.leadership.primary() || group.leadership.notice().phase != PromotionPhase::None;
    const auto pause = leaderless ? kComeBackAfterPromotion : kComeBackAfterOverload;
    const TimePoint now = _clock.now();
    const bool queued = obstacleWithoutQueue(*session.operation).empty() && !leaderless;
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
