/**
 * Shares tenants' quotas among all nodes: requests units for this node and grants units to others.
 */
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/Time.h"
#include "pooling/ExecutorPlacement.h"
#include "tenancy/QuotaCalls.h"
#include "tenancy/QuotaLease.h"
#include "tenancy/QuotaMessages.h"
#include "tenancy/QuotaShard.h"
#include "tenancy/QuotaTerms.h"
#include "tenancy/RankTerms.h"
#include "tenancy/TenantDirectory.h"
#include "tenancy/UnitTurns.h"

namespace coralhoist::tenancy {

/** Collaborators of a quota exchange. All of them must outlive it. */
struct QuotaDependencies {
    const Clock& clock;
    QuotaRequestSender& questions;
    QuotaResponseSender& answers;
    QuotaShardStore& store;
    const StoreEra& era;
    NodeIncarnation self;
    ZoneName zone;
    /** Called when units of a tenant have arrived, or when it is known that no units will arrive.
     */
    std::function<void(const TenantName&)> onChange;
};

/** Statements of one tenant and rank that are queued for a unit at this node. */
struct QueuedStatements {
    std::uint32_t count = 1;
    std::uint32_t rank = 0;
    /** Number of these statements that can use a unit only immediately, not later. */
    std::uint32_t immediateOnly = 0;
};

/** Result of a request for a unit. */
struct QuotaDecision {
    enum class Kind {
        Granted,
        Waiting, /**< A response is pending; `retryAfter` is the longest time to wait for it. */
        Turn,    /**< A unit will be available after `retryAfter` and must be requested then. */
        Refused, /**< `retryAfter` is the time after which a retry may succeed. */
    };
    Kind kind = Kind::Granted;
    Duration retryAfter{0};
    /**
     * Only for `Turn`: the number of statements of the rank that have a turn. Other queued
     * statements can't expect a unit before `othersAfter`.
     */
    std::uint32_t turns = 0;
    Duration othersAfter{0};
};

/**
 * Tenants are distributed over shards. Each shard has one leader at a time, which proves its
 * leadership by its record in the store. The leader grants a few units at a time, depending on how
 * many the requesting node uses; a node runs nothing without a unit. No statement causes a call to
 * the store.
 */
class QuotaExchange final : public QuotaEvents {
public:
    QuotaExchange(QuotaDependencies dependencies, QuotaTerms terms);

    void applyNodes(const std::vector<pooling::ProxyNode>& nodes);
    void applyTenants(std::shared_ptr<const TenantDirectory> tenants);

    /**
     * Sets the rank settings that apply from now on, including to the units that this node grants.
     */
    void applyRanks(const RankTerms& ranks) { _ranks = ranks; }

    /**
     * Takes one unit of the tenant if one is available.
     * @param waiting all queued statements, including the one that the unit is for.
     */
    QuotaDecision take(const TenantName& tenant, const QueuedStatements& waiting);

    /**
     * Requests units as `take` does, but takes none.
     * @return Granted if there are as many units as queued statements and they stay usable for a
     * moment.
     */
    QuotaDecision look(const TenantName& tenant, const QueuedStatements& waiting);

    /**
     * Takes a unit that this node holds; `look` must have found it in the same iteration of the
     * event loop.
     * @return whether there was one.
     */
    bool takeHeld(const TenantName& tenant);

    /**
     * Starts a planned shutdown: other nodes take over the leadership of this node's shards at
     * once.
     */
    void beginLeaving();

    void onTick(TimePoint now);
    TimePoint nextTick() const;

    void onQuotaRequest(std::uint64_t asker, const QuotaRequest& question) override;
    void onQuotaResponse(std::uint64_t question,
                         const std::optional<QuotaResponse>& answer) override;
    void onLedgerUpdate(std::uint64_t asker, const LedgerUpdate& update) override;
    void onLedgerAck(std::uint64_t question, const std::optional<LedgerAck>& ack) override;

    const QuotaStatistics& statistics() const { return _statistics; }

    /** @return the number of shards that this node leads. */
    std::size_t shardsLed() const;
    /** @return the number of shards for which this node is a deputy. */
    std::size_t shardsAsDeputy() const;

private:
    /** A request that was sent and whose response is pending. */
    struct PendingRequest {
        std::uint64_t number = 0;
        TimePoint at{};
        std::uint32_t rank = 0;
        /**
         * Statements that are queued for this response or for their turn; further units were
         * requested in advance.
         */
        std::uint32_t waiting = 0;
        /** Requested units that can be used only immediately. */
        std::uint32_t immediateOnly = 0;
    };
    /**
     * Units to request, and how many of them statements are queued for, now or until their turn.
     */
    struct RequestPlan {
        RankedRequest units;
        std::uint32_t waiting = 0;
    };
    /** This node's state for one rank of a tenant. */
    struct RankAccount {
        std::optional<PendingRequest> pending;
        /** Time since which no request has been answered. */
        std::optional<TimePoint> unansweredSince;
        TimePoint lastAskedAt{};
        /** No units are available: the leader is not asked again before this time. */
        TimePoint notBefore{};
        /** Units that can be used only immediately are not requested before this time. */
        TimePoint immediateNotBefore{};
        /** Time at which a refused caller should retry. */
        TimePoint retryAt{};
        /** Times at which deferred units will be available, one entry per unit. */
        std::multiset<TimePoint> turns;
    };
    /** This node's state for one tenant. */
    struct Account {
        QuotaLease lease;
        std::array<RankAccount, settings::kAdmissionRanks> ranks;
        bool scarce = false;
        /** Time that the latest response took. */
        Duration answerTime{0};
    };

    Duration usableFor(const TenantName& tenant, const Account& account) const;
    RequestPlan planRequest(const TenantName& tenant, Account& account,
                            const QueuedStatements& waiting, TimePoint usedAt, TimePoint now) const;
    void ask(const TenantName& tenant, Account& account, const RequestPlan& plan, TimePoint now);
    void abandonTimedOutRequest(const TenantName& tenant, RankAccount& account, TimePoint now);
    void noteMissing(RankAccount& account, const PendingRequest& pending,
                     const QuotaResponse& answer, TimePoint now);
    QuotaDecision lookFor(const TenantName& tenant, const QueuedStatements& waiting,
                          TimePoint usedAt, TimePoint now);
    static QuotaDecision decisionWithoutUnit(const RankAccount& account, TimePoint now);
    std::optional<NodeName> remoteTarget(std::uint32_t shard, TimePoint now);
    bool isUsable(const NodeName& node) const;
    void markLeaderUnresponsive(std::uint32_t shard, TimePoint now);
    void probe(std::uint32_t shard);
    void onProbed(std::uint32_t shard, const QuotaResponse& answer);
    void send(std::uint32_t shard, const QuotaRequest& question, QuotaReply reply);
    static void noteAnswered(RankAccount& account, const PendingRequest& pending);
    void onAnswer(const TenantName& tenant, const PendingRequest& pending,
                  const QuotaRequest& question, const QuotaResponse& answer);
    QuotaShard& shardOf(std::uint32_t shard);
    const std::vector<pooling::ProxyNode>& orderOf(std::uint32_t shard);

    QuotaDependencies _dependencies;
    QuotaTerms _terms;
    TimePoint _startedAt;
    QuotaCalls _calls;
    QuotaStatistics _statistics;
    std::shared_ptr<const TenantDirectory> _tenants;
    /** All nodes, and their ranked order for each shard. */
    std::vector<pooling::ProxyNode> _nodes;
    std::map<std::uint32_t, std::vector<pooling::ProxyNode>> _orders;
    std::map<std::uint32_t, std::unique_ptr<QuotaShard>> _shards;
    /** The leaders that last answered, and their standbys, by shard. */
    std::map<std::uint32_t, NodeName> _leaders;
    std::map<std::uint32_t, NodeName> _standbys;
    /** Nodes that recently declined or failed to answer, and when they did so. */
    std::map<NodeName, TimePoint> _unavailableSince;
    /**
     * By shard with an unanswered request: when its leader becomes suspected of being unreachable.
     */
    std::map<std::uint32_t, TimePoint> _suspectAt;
    /** By shard: when other nodes were last probed for the node that grants its units. */
    std::map<std::uint32_t, TimePoint> _probedAt;
    std::map<TenantName, Account> _accounts;
    RankTerms _ranks;
    std::uint64_t _lastQuestion = 0;
    std::uint64_t _lastCopy = 0;
    bool _leaving = false;
    /** A request is being sent; its response may arrive synchronously. */
    bool _sending = false;
    std::shared_ptr<bool> _alive = std::make_shared<bool>(true);
};

}  // namespace coralhoist::tenancy
