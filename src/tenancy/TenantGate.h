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
#include <utility>

#include "admission/FirstAttempt.h"
#include "base/Log.h"
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
    /** By rank: statements refused by quota; those that waited for their turn, and of these those
     * that got their unit. */
    CountersByRank refusedQuotaByRank{};
    CountersByRank waitedForTurnByRank{};
    CountersByRank turnsKeptByRank{};
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
 *
 * Where services have several ranks, what lies beyond a quota waits for its turn while that leaves
 * it in time for its service's objective, the most urgent rank first and within it whoever asked
 * first, refusals included: callers come back on the same session soon after a refusal, whatever
 * they were told, and a lottery would serve the late ones. What has no prospect is refused at once,
 * with the time at which it would have one.
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
        /** The statement that waits for a unit of the quota, its rank, and since when. */
        std::optional<pooling::Statement> waiting;
        std::uint32_t rank = 0;
        TimePoint waitingSince{};
        /** It has been told a turn. */
        bool hasTurn = false;
        /** When the caller first asked for what it asks now, and what was refused last. */
        TimePoint firstArrival{};
        admission::FirstAttempt firstAsking;
    };
    /** Statements of a tenant that have the same rank. */
    using RankedTenant = std::pair<TenantName, std::uint32_t>;
    using Queue = std::deque<SessionId>;

    bool knowsSettings(TimePoint now) const;
    std::optional<pooling::StatementError> checkAccess(SessionId id, GatedSession& session);
    std::optional<pooling::StatementError> resolve(SessionId id, GatedSession& session);
    bool beginsUnit(SessionId id, const pooling::Statement& statement) const;
    void takeRanks();
    void hold(SessionId id, GatedSession& session, pooling::Statement statement);
    void leaveQueue(SessionId id, const GatedSession& session);
    void admitWaiting(const TenantName& tenant);
    void admitRank(const RankedTenant& key);
    bool awaitTurn(const RankedTenant& key, const QuotaVerdict& verdict);
    bool mayWait(const GatedSession& session) const;
    bool isInUse(const GatedSession& session, TimePoint turn) const;
    TimePoint longestWaitEnd(const GatedSession& session) const;
    bool endOverdue(const RankedTenant& key, const QuotaVerdict& verdict);
    WaitingStatements waitingIn(const RankedTenant& key, const Queue& queue) const;
    std::optional<SessionId> withoutProspect(const Queue& queue, const QuotaVerdict& verdict) const;
    void passOn(SessionId id, GatedSession& session);
    void turnAway(SessionId id, GatedSession& session, Duration retryAfter);
    pooling::StatementError refuseUnknownService(const ServiceName& service);
    void describeRefusal(LogEvent& line, const GatedSession& session,
                         const pooling::Statement& statement,
                         const pooling::StatementError& error) const;
    void logTurnedAway(const GatedSession& session, const pooling::Statement& statement,
                       const pooling::StatementError& error) const;
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
    std::shared_ptr<const pooling::ServiceCatalog> _catalog;
    RankTerms _ranks;
    /** Sessions whose statements wait for a unit, in the order in which their callers first asked.
     */
    std::map<RankedTenant, Queue> _waiting;
    /** When statements that wait are looked at again without being called. */
    std::map<RankedTenant, TimePoint> _due;
    GateStatistics _statistics;
};

}  // namespace coralhoist::tenancy
