#include "tenancy/TenantGate.h"

#include <algorithm>
#include <utility>

#include "base/Log.h"

namespace coralhoist::tenancy {
namespace {

using pooling::Statement;
using pooling::StatementError;
using pooling::StatementFault;
using pooling::StatementVerb;

/** Part of the revocation bound for which settings are trusted. The rest covers a statement that
 * has come but was not read yet, and a step of the event loop. */
constexpr double kTrustedShare = 0.9;
/** When a caller of a node with old settings should come back; another node may do better. */
constexpr Duration kRetryWithOldSettings = std::chrono::milliseconds(500);

StatementError oldSettings() {
    return pooling::notRun("settings not confirmed", kRetryWithOldSettings);
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
            // Settings that are too old may lack a credential that was added.
            const bool known = knowsSettings(_clock.now());
            ++(known ? _statistics.refusedCredential : _statistics.refusedOldSettings);
            return {std::nullopt,
                    known ? StatementError{StatementFault::Unauthorized, "unknown credential"}
                          : oldSettings()};
        }
        session.tenant = tenant->name;
    }
    const SessionId id = _pooler.openSession(service, session.tenant);
    _sessions[id] = std::move(session);
    return {id, std::nullopt};
}

/** @return why the statement must not run. */
std::optional<StatementError> TenantGate::checkAccess(SessionId id, GatedSession& session) {
    if (!_tenants->requiresCredential(session.service)) {
        return std::nullopt;
    }
    if (!knowsSettings(_clock.now())) {
        ++_statistics.refusedOldSettings;
        return oldSettings();
    }
    return resolve(id, session);
}

/** Finds who holds the session's credential now. */
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

/** A single statement or a transaction is one unit, counted with its first statement. */
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
    // What rolls back or has failed already runs nothing at a server.
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
    _pooler.expectStatement(id);
    session.waiting = std::move(statement);
    const TenantName tenant = session.tenant;
    _waiting[tenant].push_back(id);
    admitWaiting(tenant);
}

void TenantGate::refuse(SessionId id, const GatedSession& session, const Statement& statement,
                        StatementError error) {
    const bool inTransaction = _pooler.stateOfSession(id) != pooling::SessionState::Idle;
    logRefusal(session, statement, error, _clock.now() - _settingsKnownAt());
    if (inTransaction) {
        error.fault = StatementFault::Aborted;
    }
    _pooler.refuse(id, statement, std::move(error));
}

/** Settings past their bound may lack a service that was added: then it is not called unknown. */
StatementError TenantGate::refuseUnknownService(const ServiceName& service) {
    const Duration age = _clock.now() - _settingsKnownAt();
    const bool known = _applied == Duration(0) || age <= _applied;
    StatementError error =
        known ? StatementError{StatementFault::UnknownDatabase, "no such database"} : oldSettings();
    _statistics.refusedOldSettings += known ? 0 : 1;
    LogEvent("session", LogLevel::Warning, "session.refused")
        .field("service", service)
        .field("fault", describe(error.fault))
        .field("settings_version", _tenants->version())
        .field("settings_age_ms", inMilliseconds(age));
    return error;
}

void TenantGate::logRefusal(const GatedSession& session, const Statement& statement,
                            const StatementError& error, Duration settingsAge) const {
    LogEvent("tenancy", LogLevel::Warning, "request.refused")
        .field("request", statement.id)
        .field("service", session.service)
        .field("tenant", session.tenant)
        .field("fault", describe(error.fault))
        .field("why", error.message)
        .field("settings_version", _tenants->version())
        .field("settings_age_ms", inMilliseconds(settingsAge));
}

/** Passes statements of the tenant on while there are units, in the order in which they came. */
void TenantGate::admitWaiting(const TenantName& tenant) {
    // A reply may bring the caller's next statement, and with it another call of this method.
    for (auto queue = _waiting.find(tenant); queue != _waiting.end();
         queue = _waiting.find(tenant)) {
        if (queue->second.empty()) {
            _waiting.erase(queue);
            _due.erase(tenant);
            return;
        }
        const SessionId id = queue->second.front();
        const auto found = _sessions.find(id);
        if (found == _sessions.end() || !found->second.waiting) {
            queue->second.pop_front();
            continue;
        }
        const auto waiting = static_cast<std::uint32_t>(queue->second.size());
        const QuotaVerdict verdict = _quotas.take(tenant, waiting);
        if (verdict.kind == QuotaVerdict::Kind::Waiting) {
            ++_statistics.waitedForQuota;
            _due[tenant] = _clock.now() + verdict.retryAfter;
            return;
        }
        queue->second.pop_front();
        passOn(id, found->second, verdict);
    }
}

/** The statement of the session that waited for a unit goes on, or ends. */
void TenantGate::passOn(SessionId id, GatedSession& session, const QuotaVerdict& verdict) {
    Statement statement = *std::exchange(session.waiting, std::nullopt);
    if (verdict.kind == QuotaVerdict::Kind::Granted) {
        _pooler.submit(id, std::move(statement));
        return;
    }
    ++_statistics.refusedQuota;
    refuse(id, session, statement,
           pooling::notRun("quota of the tenant is used up", verdict.retryAfter));
}

void TenantGate::onQuotaChange(const TenantName& tenant) {
    admitWaiting(tenant);
}

void TenantGate::passOnWaiting() {
    for (const auto& [tenant, queue] : std::exchange(_waiting, {})) {
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
    _sessions.erase(id);
    _pooler.endSession(id);
}

void TenantGate::onTick(TimePoint now) {
    std::vector<TenantName> due;
    for (const auto& [tenant, at] : _due) {
        if (at <= now) {
            due.push_back(tenant);
        }
    }
    for (const TenantName& tenant : due) {
        admitWaiting(tenant);
    }
}

std::optional<TimePoint> TenantGate::nextTick() const {
    std::optional<TimePoint> next;
    for (const auto& [tenant, at] : _due) {
        next = std::min(next.value_or(at), at);
    }
    return next;
}

}  // namespace coralhoist::tenancy
