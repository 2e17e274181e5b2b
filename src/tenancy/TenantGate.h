/** Decides by credential and tenant quota whether a caller's statement may run. */
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
    /**
     * By rank: statements refused by quota, statements that waited for their turn, and those of the
     * latter that got their unit.
     */
    CountersByRank refusedQuotaByRank{};
    CountersByRank waitedForTurnByRank{};
    CountersByRank turnsKeptByRank{};
};

/** An opened session, or the reason for refusing it. */
struct SessionOpening {
    std::optional<SessionId> session;
    std::optional<pooling::StatementError> refusal;
};

/** How long settings may be relied on after they were last confirmed. */
struct SettingsBounds {
    /** Time after which a change is in force on all nodes; 0 means no bound. */
    Duration applied{0};
    /** Time after which a revoked credential must not run anything; 0 means no bound. */
    Duration revocation{0};
};

/**
 * Admission control between this node's callers and its pooler. Single-threaded; no method blocks.
 *
 * Invariants: each submitted statement gets exactly one reply, through the pooler. A statement
 * passes only if its credential is held by a tenant in settings that are known to have been in
 * force within the revocation bound before the statement arrived; in a transaction, only while that
 * tenant is the one for which the transaction was opened. A statement that does not pass has not
 * run.
 *
 * If services have several ranks, statements beyond a quota wait for their turn as long as they can
 * still meet their service's objective. The most urgent rank comes first, and within a rank the
 * caller that asked first, where attempts that were refused count as well: callers retry on the
 * same session soon after a refusal, whatever delay they were given, and a random order would favor
 * late callers. A statement that can't get a unit in time is refused at once, with the time at
 * which it could get one.
 */
class TenantGate {
public:
    /**
     * @param settingsKnownAt returns a time not later than the moment up to which this node knows
     * the settings, proven by responses of the store that can't be stale.
     */
    TenantGate(const Clock& clock, pooling::StatementPooler& pooler, QuotaExchange& quotas,
               std::function<TimePoint()> settingsKnownAt, SettingsBounds bounds);

    void applyTenants(std::shared_ptr<const TenantDirectory> tenants);

    /** Opens a session, or returns the reason for refusing it. */
    SessionOpening openSession(const ServiceName& service, const std::string& credential);

    /** Runs or refuses a statement of a session that has no queued statement. */
    void submit(SessionId session, pooling::Statement statement);

    /** Passes all queued statements to the pooler, which begins no new work any more. */
    void passOnWaiting();

    void endSession(SessionId session);

    /** Called when units of the tenant have arrived, or when it is known that no units will arrive.
     */
    void onQuotaChange(const TenantName& tenant);

    void onTick(TimePoint now);
    std::optional<TimePoint> nextTick() const;

    /** @return the maximum age of settings for checking a credential; 0 means no bound. */
    Duration oldestSettings() const { return _oldestSettings; }

    const GateStatistics& statistics() const { return _statistics; }

private:
    struct GatedSession {
        ServiceName service;
        CredentialDigest credential;
        TenantName tenant;
        /** Version of the settings in which the tenant was looked up. */
        std::uint64_t resolvedVersion = 0;
        /**
         * The statement that is queued for a unit of the quota, its rank, and since when it is
         * queued.
         */
        std::optional<pooling::Statement> waiting;
        std::uint32_t rank = 0;
        TimePoint waitingSince{};
        /** The queued statement has been given a turn. */
        bool hasTurn = false;
        /**
         * When the caller first sent the current statement, and which statement was last refused.
         */
        TimePoint firstArrival{};
        admission::FirstAttempt firstAsking;
    };
    /** Identifies the statements of a tenant that have the same rank. */
    using RankedTenant = std::pair<TenantName, std::uint32_t>;
    using Queue = std::deque<SessionId>;

    bool knowsSettings(TimePoint now) const;
    std::optional<pooling::StatementError> checkAccess(SessionId id, GatedSession& session);
    std::optional<pooling::StatementError> resolve(SessionId id, GatedSession& session);
    bool beginsUnit(SessionId id, const pooling::Statement& statement) const;
    void refreshRanks();
    void enqueue(SessionId id, GatedSession& session, pooling::Statement statement);
    void leaveQueue(SessionId id, const GatedSession& session);
    void admitWaiting(const TenantName& tenant);
    void admitRank(const RankedTenant& key);
    bool awaitTurn(const RankedTenant& key, const QuotaDecision& decision);
    bool mayWait(const GatedSession& session) const;
    bool isUsefulAt(const GatedSession& session, TimePoint turn) const;
    TimePoint longestWaitEnd(const GatedSession& session) const;
    bool refuseOverdue(const RankedTenant& key, const QuotaDecision& decision);
    QueuedStatements waitingIn(const RankedTenant& key, const Queue& queue) const;
    std::optional<SessionId> findUnservable(const Queue& queue,
                                            const QuotaDecision& decision) const;
    void submitQueued(SessionId id, GatedSession& session);
    void refuseQueued(SessionId id, GatedSession& session, Duration retryAfter);
    pooling::StatementError refuseUnknownService(const ServiceName& service);
    void describeRefusal(LogEvent& line, const GatedSession& session,
                         const pooling::Statement& statement,
                         const pooling::StatementError& error) const;
    void logQuotaRefusal(const GatedSession& session, const pooling::Statement& statement,
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
    /**
     * Sessions whose statements are queued for a unit, in the order in which their callers first
     * asked.
     */
    std::map<RankedTenant, Queue> _waiting;
    /** Times at which queued statements are checked again, even if no event occurs. */
    std::map<RankedTenant, TimePoint> _due;
    GateStatistics _statistics;
};

}  // namespace coralhoist::tenancy
