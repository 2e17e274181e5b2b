#include "tenancy/TenantGate.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "base/Log.h"

namespace coralhoist::tenancy {
namespace {

using pooling::Statement;
using pooling::StatementError;
using pooling::StatementFault;
using pooling::StatementVerb;

/**
 * Fraction of the revocation bound for which settings are trusted. The rest covers a statement that
 * has arrived but was not read yet, and one iteration of the event loop.
 */
constexpr double kTrustedShare = 0.9;
/** Retry delay for callers of a node with outdated settings; another node may have newer ones. */
constexpr Duration kRetryWithOutdatedSettings = std::chrono::milliseconds(500);

/**
 * If a session repeats a refused statement within this time, it is treated as a retry of that
 * statement.
 */
constexpr Duration kRetryMatchWindow = std::chrono::seconds(2);
/**
 * Allowance added to the longest useful wait, because the leader's response takes up part of a wait
 * that is judged useful when the response arrives.
 */
constexpr Duration kAnswerMargin = std::chrono::milliseconds(30);
/**
 * A statement waits no longer than this or its rank's longest wait for a turn, whichever is longer.
 * This is the time for which a late response is awaited.
 */
constexpr Duration kLongestWait = std::chrono::milliseconds(700);

/**
 * If a caller has spent more than this fraction of its rank's longest wait before its retry, the
 * statement would be late after the longest wait for a turn.
 */
constexpr double kMaxElapsedShare = 0.25;

StatementError outdatedSettingsError() {
    return pooling::notRun("settings not confirmed", kRetryWithOutdatedSettings);
}

std::int64_t inMilliseconds(Duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace

TenantGate::TenantGate(const Clock& clock, pooling::StatementPooler& pooler, QuotaExchange& quotas,
                       std::function<TimePoint()> settingsKnownAt, SettingsBounds bounds)
    : _clock(clock),
      _pooler(pooler),
      _quotas(quotas),
      _settingsKnownAt(std::move(settingsKnownAt)),
      _applied(bounds.applied),
      _oldestSettings(std::chrono::duration_cast<Duration>(bounds.revocation * kTrustedShare)),
      _tenants(std::make_shared<TenantDirectory>()) {}

void TenantGate::applyTenants(std::shared_ptr<const TenantDirectory> tenants) {
    _tenants = std::move(tenants);
    refreshRanks();
}

/** Derives the ranks from the pooler's services. */
void TenantGate::refreshRanks() {
    const std::shared_ptr<const pooling::ServiceCatalog> catalog = _pooler.catalog();
    if (catalog == _catalog) {
        return;
    }
    _catalog = catalog;
    _ranks = RankTerms::of(*catalog);
    _quotas.applyRanks(_ranks);
}

bool TenantGate::knowsSettings(TimePoint now) const {
    return _oldestSettings == Duration(0) || now - _settingsKnownAt() <= _oldestSettings;
}

SessionOpening TenantGate::openSession(const ServiceName& service, const std::string& credential) {
    if (!_pooler.hasService(service)) {
        return {std::nullopt, refuseUnknownService(service)};
    }
    GatedSession session;
    session.service = service;
    session.credential = CredentialDigest::of(credential);
    session.resolvedVersion = _tenants->version();
    if (_tenants->requiresCredential(service)) {
        const Tenant* tenant = _tenants->findByCredential(session.credential);
        if (tenant == nullptr) {
            // Outdated settings may lack a credential that was added.
            const bool known = knowsSettings(_clock.now());
            ++(known ? _statistics.refusedCredential : _statistics.refusedOldSettings);
            return {std::nullopt,
                    known ? StatementError{StatementFault::Unauthorized, "unknown credential"}
                          : outdatedSettingsError()};
        }
        session.tenant = tenant->name;
    }
    const SessionId id = _pooler.openSession(service, session.tenant);
    _sessions[id] = std::move(session);
    return {id, std::nullopt};
}

/** @return the reason why the statement must not run, if any. */
std::optional<StatementError> TenantGate::checkAccess(SessionId id, GatedSession& session) {
    if (!_tenants->requiresCredential(session.service)) {
        return std::nullopt;
    }
    if (!knowsSettings(_clock.now())) {
        ++_statistics.refusedOldSettings;
        return outdatedSettingsError();
    }
    return resolve(id, session);
}

/** Looks up the tenant that holds the session's credential now. */
std::optional<StatementError> TenantGate::resolve(SessionId id, GatedSession& session) {
    if (session.resolvedVersion == _tenants->version()) {
        return std::nullopt;
    }
    const Tenant* tenant = _tenants->findByCredential(session.credential);
    if (tenant == nullptr) {
        ++_statistics.refusedCredential;
        return StatementError{StatementFault::Unauthorized, "the credential is no longer valid"};
    }
    const bool changed = tenant->name != session.tenant;
    if (changed && _pooler.stateOfSession(id) == pooling::SessionState::InTransaction) {
        return StatementError{StatementFault::Aborted, "the credential has changed hands"};
    }
    if (changed) {
        session.tenant = tenant->name;
        _pooler.setTenant(id, session.tenant);
    }
    session.resolvedVersion = _tenants->version();
    return std::nullopt;
}

/** A single statement or a transaction is one unit, which is counted at its first statement. */
bool TenantGate::beginsUnit(SessionId id, const Statement& statement) const {
    switch (statement.verb) {
        case StatementVerb::Begin:
        case StatementVerb::BeginReadOnly:
        case StatementVerb::Read:
        case StatementVerb::Write:
        case StatementVerb::Execute:
            return _pooler.stateOfSession(id) == pooling::SessionState::Idle;
        case StatementVerb::Commit:
        case StatementVerb::Rollback:
        case StatementVerb::Set:
        case StatementVerb::Prepare:
        case StatementVerb::Close:
            return false;
    }
    return false;
}

void TenantGate::submit(SessionId id, Statement statement) {
    const auto found = _sessions.find(id);
    if (found == _sessions.end()) {
        return;
    }
    GatedSession& session = found->second;
    // A rollback and a statement in a failed transaction run nothing at a server.
    const bool endsOnly = statement.verb == StatementVerb::Rollback ||
                          _pooler.stateOfSession(id) == pooling::SessionState::Failed;
    if (!endsOnly) {
        if (std::optional<StatementError> error = checkAccess(id, session)) {
            refuse(id, session, statement, std::move(*error));
            return;
        }
    }
    const bool needsUnit = !session.tenant.value().empty() && beginsUnit(id, statement);
    if (!needsUnit || _pooler.isStopping()) {
        _pooler.submit(id, std::move(statement));
        return;
    }
    const TenantName tenant = session.tenant;
    enqueue(id, session, std::move(statement));
    admitWaiting(tenant);
}

/**
 * Queues the statement behind those of its rank that have a turn or whose callers asked earlier.
 */
void TenantGate::enqueue(SessionId id, GatedSession& session, Statement statement) {
    refreshRanks();
    const TimePoint now = _clock.now();
    session.firstArrival = now;
    if (session.firstAsking.remembers(now)) {
        session.firstArrival = session.firstAsking.of(contentHash(statement), now).value_or(now);
    }
    session.waitingSince = now;
    session.hasTurn = false;
    const pooling::CatalogEntry* entry = _catalog->find(session.service);
    session.rank = _ranks.ranksDiffer && entry != nullptr ? rankOf(entry->settings) : 0;
    _pooler.expectStatement(id);
    session.waiting = std::move(statement);
    Queue& queue = _waiting[{session.tenant, session.rank}];
    const auto later = std::find_if(queue.begin(), queue.end(), [&](SessionId other) {
        const GatedSession& waiting = _sessions.at(other);
        return !waiting.hasTurn && waiting.firstArrival > session.firstArrival;
    });
    queue.insert(later, id);
}

void TenantGate::leaveQueue(SessionId id, const GatedSession& session) {
    const auto queue = _waiting.find({session.tenant, session.rank});
    if (session.waiting && queue != _waiting.end()) {
        std::erase(queue->second, id);
    }
}

void TenantGate::refuse(SessionId id, const GatedSession& session, const Statement& statement,
                        StatementError error) {
    const bool inTransaction = _pooler.stateOfSession(id) != pooling::SessionState::Idle;
    LogEvent line("tenancy", LogLevel::Warning, "request.refused");
    describeRefusal(line, session, statement, error);
    if (inTransaction) {
        error.fault = StatementFault::Aborted;
    }
    _pooler.refuse(id, statement, std::move(error));
}

/** Outdated settings may lack a service that was added, so it is not reported as unknown. */
StatementError TenantGate::refuseUnknownService(const ServiceName& service) {
    const Duration age = _clock.now() - _settingsKnownAt();
    const bool known = _applied == Duration(0) || age <= _applied;
    StatementError error = known
                               ? StatementError{StatementFault::UnknownDatabase, "no such database"}
                               : outdatedSettingsError();
    _statistics.refusedOldSettings += known ? 0 : 1;
    LogEvent("session", LogLevel::Warning, "session.refused")
        .field("service", service)
        .field("fault", describe(error.fault))
        .field("settings_version", _tenants->version())
        .field("settings_age_ms", inMilliseconds(age));
    return error;
}

/** Adds the log fields that all refusals have in common. */
void TenantGate::describeRefusal(LogEvent& line, const GatedSession& session,
                                 const Statement& statement, const StatementError& error) const {
    line.field("request", statement.id)
        .field("service", session.service)
        .field("tenant", session.tenant)
        .field("fault", describe(error.fault))
        .field("why", error.message)
        .field("settings_version", _tenants->version())
        .field("settings_age_ms", inMilliseconds(_clock.now() - _settingsKnownAt()));
}

/**
 * Logs a refusal by quota, and whether the statement had no turn or missed its turn.
 */
void TenantGate::logQuotaRefusal(const GatedSession& session, const Statement& statement,
                                 const StatementError& error) const {
    const TimePoint now = _clock.now();
    LogEvent line("tenancy", LogLevel::Warning, "request.refused");
    describeRefusal(line, session, statement, error);
    line.field("rank", session.rank)
        .field("turn", session.hasTurn ? "missed" : "none")
        .field("waited_ms", inMilliseconds(now - session.waitingSince))
        .field("first_asked_ms", inMilliseconds(now - session.firstArrival));
}

/**
 * Passes statements of the tenant to the pooler while there are units, the most urgent rank first.
 */
void TenantGate::admitWaiting(const TenantName& tenant) {
    for (std::uint32_t rank = 0; rank < settings::kAdmissionRanks; ++rank) {
        admitRank({tenant, rank});
    }
}

/** Passes statements of one rank to the pooler, in the order in which their callers first asked. */
void TenantGate::admitRank(const RankedTenant& key) {
    // A reply may cause the caller to send its next statement, and so a reentrant call of this
    // method.
    for (auto queue = _waiting.find(key); queue != _waiting.end(); queue = _waiting.find(key)) {
        if (queue->second.empty()) {
            _waiting.erase(queue);
            _due.erase(key);
            return;
        }
        const SessionId id = queue->second.front();
        const QuotaDecision decision = _quotas.take(key.first, waitingIn(key, queue->second));
        if (decision.kind == QuotaDecision::Kind::Waiting) {
            if (refuseOverdue(key, decision)) {
                continue;
            }
            ++_statistics.waitedForQuota;
            return;
        }
        if (decision.kind == QuotaDecision::Kind::Turn) {
            if (awaitTurn(key, decision)) {
                return;
            }
            continue;
        }
        queue->second.pop_front();
        GatedSession& session = _sessions.at(id);
        if (decision.kind == QuotaDecision::Kind::Granted) {
            submitQueued(id, session);
        } else {
            refuseQueued(id, session, decision.retryAfter);
        }
    }
}

/**
 * @return the time until which the statement waits at most, whatever the responses say meanwhile.
 */
TimePoint TenantGate::longestWaitEnd(const GatedSession& session) const {
    return session.waitingSince +
           std::max(_ranks.maxTurnWait[session.rank] + kAnswerMargin, kLongestWait);
}

/**
 * Refuses a statement that has waited for too long. Each response may name a later turn, because
 * more urgent ranks come first; a statement waits through several responses no longer than for a
 * single late one.
 * @return whether a statement was refused, which changes the queue.
 */
bool TenantGate::refuseOverdue(const RankedTenant& key, const QuotaDecision& decision) {
    const TimePoint now = _clock.now();
    Queue& queue = _waiting.at(key);
    TimePoint due = now + decision.retryAfter;
    for (const SessionId id : queue) {
        GatedSession& session = _sessions.at(id);
        if (longestWaitEnd(session) <= now) {
            std::erase(queue, id);
            refuseQueued(id, session, decision.retryAfter);
            return true;
        }
        due = std::min(due, longestWaitEnd(session));
    }
    _due[key] = due;
    return false;
}

QueuedStatements TenantGate::waitingIn(const RankedTenant& key, const Queue& queue) const {
    QueuedStatements waiting;
    waiting.count = static_cast<std::uint32_t>(queue.size());
    waiting.rank = key.second;
    for (const SessionId id : queue) {
        const GatedSession& session = _sessions.at(id);
        waiting.immediateOnly +=
            _ranks.ranksDiffer && !session.hasTurn && !mayWait(session) ? 1 : 0;
    }
    return waiting;
}

/**
 * @return whether the statement can wait for a turn as long as others of its rank and still meet
 * its objective.
 */
bool TenantGate::mayWait(const GatedSession& session) const {
    const Duration elapsed = session.waitingSince - session.firstArrival;
    return elapsed <= _ranks.maxTurnWait[session.rank] * kMaxElapsedShare;
}

/** @return whether a unit that is granted at the given time is still of use to the caller. */
bool TenantGate::isUsefulAt(const GatedSession& session, TimePoint turn) const {
    return turn <= session.waitingSince + _ranks.maxTurnWait[session.rank] + kAnswerMargin;
}

/** @return a session whose queued statement will not get a unit in time, if there is one. */
std::optional<SessionId> TenantGate::findUnservable(const Queue& queue,
                                                    const QuotaDecision& decision) const {
    for (const SessionId id : queue) {
        const GatedSession& session = _sessions.at(id);
        if (!session.hasTurn && !mayWait(session)) {
            return id;
        }
    }
    if (queue.size() > decision.turns) {
        return queue.back();
    }
    const bool isTooLate =
        !isUsefulAt(_sessions.at(queue.front()), _clock.now() + decision.retryAfter);
    return isTooLate ? std::optional(queue.front()) : std::nullopt;
}

/**
 * Lets the statements wait for their turns, except one that has none or whose turn comes too late.
 * @return false if such a statement was refused, which changes the queue.
 */
bool TenantGate::awaitTurn(const RankedTenant& key, const QuotaDecision& decision) {
    Queue& queue = _waiting.at(key);
    if (const std::optional<SessionId> unservable = findUnservable(queue, decision)) {
        const bool isTooLate = queue.size() <= decision.turns;
        std::erase(queue, *unservable);
        refuseQueued(*unservable, _sessions.at(*unservable),
                     isTooLate ? decision.retryAfter : decision.othersAfter);
        return false;
    }
    for (const SessionId id : queue) {
        GatedSession& session = _sessions.at(id);
        _statistics.waitedForTurnByRank[key.second] += session.hasTurn ? 0 : 1;
        session.hasTurn = true;
    }
    _due[key] = _clock.now() + decision.retryAfter;
    return true;
}

/** Passes the session's queued statement to the pooler. */
void TenantGate::submitQueued(SessionId id, GatedSession& session) {
    _statistics.turnsKeptByRank[session.rank] += session.hasTurn ? 1 : 0;
    _pooler.submit(id, *std::exchange(session.waiting, std::nullopt));
}

/** Refuses the session's queued statement. */
void TenantGate::refuseQueued(SessionId id, GatedSession& session, Duration retryAfter) {
    const Statement statement = *std::exchange(session.waiting, std::nullopt);
    const Duration asked = _clock.now() - session.firstArrival;
    session.firstAsking.noteRefused(contentHash(statement), session.firstArrival,
                                    asked + kRetryMatchWindow);
    ++_statistics.refusedQuota;
    ++_statistics.refusedQuotaByRank[session.rank];
    const StatementError error = pooling::notRun("quota of the tenant is used up", retryAfter);
    logQuotaRefusal(session, statement, error);
    _pooler.refuse(id, statement, error);
}

void TenantGate::onQuotaChange(const TenantName& tenant) {
    admitWaiting(tenant);
}

void TenantGate::passOnWaiting() {
    for (const auto& [key, queue] : std::exchange(_waiting, {})) {
        for (const SessionId id : queue) {
            const auto found = _sessions.find(id);
            if (found != _sessions.end() && found->second.waiting) {
                _pooler.submit(id, *std::exchange(found->second.waiting, std::nullopt));
            }
        }
    }
    _due.clear();
}

void TenantGate::endSession(SessionId id) {
    const auto found = _sessions.find(id);
    if (found != _sessions.end()) {
        leaveQueue(id, found->second);
    }
    _sessions.erase(id);
    _pooler.endSession(id);
}

void TenantGate::onTick(TimePoint now) {
    std::set<TenantName> due;
    for (const auto& [key, at] : _due) {
        if (at <= now) {
            due.insert(key.first);
        }
    }
    for (const TenantName& tenant : due) {
        admitWaiting(tenant);
    }
}

std::optional<TimePoint> TenantGate::nextTick() const {
    std::optional<TimePoint> next;
    for (const auto& [key, at] : _due) {
        next = std::min(next.value_or(at), at);
    }
    return next;
}

}  // namespace coralhoist::tenancy
