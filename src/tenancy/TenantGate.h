/** Decides whether a caller's statement may run: its credential, and its tenant's quota. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/Time.h"
#include "pooling/StatementPooler.h"
#include "tenancy/CredentialDigest.h"
#include "tenancy/QuotaExchange.h"
#include "tenancy/TenantDirectory.h"

namespace coralhoist::tenancy {

/** Counters, for metrics. */
struct GateStatistics {
    std::uint64_t refusedCredential = 0;
    std::uint64_t refusedQuota = 0;
    std::uint64_t refusedOldSettings = 0;
    std::uint64_t waitedForQuota = 0;
};

/** A session that was opened, or why not. */
struct SessionOpening {
    std::optional<SessionId> session;
    std::optional<pooling::StatementError> refusal;
};

/** How long settings may be relied on after they were proven. */
struct SettingsBounds {
    /** A change is in force everywhere after this time; 0: no bound. */
    Duration applied{0};
    /** A revoked credential must not run anything after this time; 0: no bound. */
    Duration revocation{0};
};

/**
 * Stands between the callers of this node and its pooler. Single-threaded, no method blocks.
 *
 * Invariants: each submit gets exactly one reply, through the pooler. A statement passes only when
 * its credential is held by a tenant in settings that are known to have been in force within the
 * revocation bound before it came; in a transaction, only while that tenant is the one that it was
 * opened for. What does not pass has not run.
 */
class TenantGate {
public:
    /**
     * @param settingsKnownAt a time not later than the moment up to which this node knows the
     *        settings, proven by answers of the store that can't be out of date.
     */
    TenantGate(const Clock& clock, pooling::StatementPooler& pooler, QuotaExchange& quotas,
               std::function<TimePoint()> settingsKnownAt, SettingsBounds bounds);

    void applyTenants(std::shared_ptr<const TenantDirectory> tenants);

    /** Opens a session, or tells why not. */
    SessionOpening openSession(const ServiceName& service, const std::string& credential);

    /** Runs a statement of a session that waits for none, or refuses it. */
    void submit(SessionId session, pooling::Statement statement);

    /** Statements that wait for a unit go to the pooler, which begins nothing new any more. */
    void passOnWaiting();

    void endSession(SessionId session);

    /** Units of the tenant have come, or none will. */
    void onQuotaChange(const TenantName& tenant);

    void onTick(TimePoint now);
    std::optional<TimePoint> nextTick() const;

    /** @return the age at which settings are too old to judge a credential by; 0: no bound. */
    Duration oldestSettings() const { return _oldestSettings; }

    const GateStatistics& statistics() const { return _statistics; }

private:
    struct GatedSession {
        ServiceName service;
        CredentialDigest credential;
        TenantName tenant;
        /** Version of the settings in which the tenant was found. */
        std::uint64_t resolvedVersion = 0;
        /** The statement that waits for a unit of the quota. */
        std::optional<pooling::Statement> waiting;
    };

    bool knowsSettings(TimePoint now) const;
    std::optional<pooling::StatementError> checkAccess(SessionId id, GatedSession& session);
    std::optional<pooling::StatementError> resolve(SessionId id, GatedSession& session);
    bool beginsUnit(SessionId id, const pooling::Statement& statement) const;
    void admitWaiting(const TenantName& tenant);
    void passOn(SessionId id, GatedSession& session, const QuotaVerdict& verdict);
    pooling::StatementError refuseUnknownService(const ServiceName& service);
    void logRefusal(const GatedSession& session, const pooling::Statement& statement,
                    const pooling::StatementError& error, Duration settingsAge) const;
    void refuse(SessionId id, const GatedSession& session, const pooling::Statement& statement,
                pooling::StatementError error);

    const Clock& _clock;
    pooling::StatementPooler& _pooler;
    QuotaExchange& _quotas;
    std::function<TimePoint()> _settingsKnownAt;
    Duration _applied;
    Duration _oldestSettings;
    std::shared_ptr<const TenantDirectory> _tenants;
    std::unordered_map<SessionId, GatedSession> _sessions;
    /** Sessions whose statements wait for a unit, in the order in which they came. */
    std::map<TenantName, std::deque<SessionId>> _waiting;
    /** When statements that wait are looked at again without being called. */
    std::map<TenantName, TimePoint> _due;
    GateStatistics _statistics;
};

}  // namespace coralhoist::tenancy
