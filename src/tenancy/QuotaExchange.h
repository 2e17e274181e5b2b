/** Shares tenants' quotas among all nodes: takes units for this one, and grants them to others. */
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

/** What an exchange is made of. All outlive it. */
struct QuotaDependencies {
    const Clock& clock;
    QuotaRequestSender& questions;
    QuotaResponseSender& answers;
    QuotaShardStore& store;
    const StoreEra& era;
    NodeIncarnation self;
    ZoneName zone;
    /** Told that units of a tenant have come, or that none will. */
    std::function<void(const TenantName&)> onChange;
};

/** Statements of one tenant and rank that wait for a unit at this node. */
struct WaitingStatements {
    std::uint32_t count = 1;
    std::uint32_t rank = 0;
    /** Those of them for which a unit is of no use later. */
    std::uint32_t nowOnly = 0;
};

/** Whether a unit may run. */
struct QuotaVerdict {
    enum class Kind {
        Granted,
        Waiting, /**< An answer is under way; `retryAfter` is the longest wait for it. */
        Turn,    /**< A unit will be there after `retryAfter`, and is asked for then. */
        Refused, /**< `retryAfter` says when a repetition has a chance. */
    };
    Kind kind = Kind::Granted;
    Duration retryAfter{0};
    /** Turn only: statements of the rank that have a turn; others that wait have none to expect
     * before `othersAfter`. */
    std::uint32_t turns = 0;
    Duration othersAfter{0};
};

/**
 * Tenants are spread over shards, and each shard has one leader at a time, proven by its record in
 * the store. The leader grants a few units at a time, by what the asking node uses; a node runs
 * nothing without a unit. No call of the store is made for a statement.
 */
class QuotaExchange final : public QuotaEvents {
public:
    QuotaExchange(QuotaDependencies dependencies, QuotaTerms terms);

    void applyNodes(const std::vector<pooling::ProxyNode>& nodes);
    void applyTenants(std::shared_ptr<const TenantDirectory> tenants);

    /** Takes what ranks mean from now on, also to what this node grants. */
    void applyRanks(const RankTerms& ranks) { _ranks = ranks; }

    /**
     * Takes one unit of the tenant, if there is one.
     * @param waiting all that wait, with the one for which the unit is.
     */
    QuotaVerdict take(const TenantName& tenant, const WaitingStatements& waiting);

    /**
     * Asks for units as `take` does, but takes none.
     * @return Granted where as many are at hand as are waited for, usable for a moment longer.
     */
    QuotaVerdict look(const TenantName& tenant, const WaitingStatements& waiting);

    /** Takes a unit that is at hand; `look` has said so in this round of the event loop.
     * @return whether there was one. */
    bool takeHeld(const TenantName& tenant);

    /** A planned stop: others lead this node's shards at once. */
    void beginLeaving();

    void onTick(TimePoint now);
    TimePoint nextTick() const;

    void onQuotaRequest(std::uint64_t asker, const QuotaRequest& question) override;
    void onQuotaResponse(std::uint64_t question,
                         const std::optional<QuotaResponse>& answer) override;
    void onLedgerUpdate(std::uint64_t asker, const LedgerUpdate& update) override;
    void onLedgerAck(std::uint64_t question, const std::optional<LedgerAck>& ack) override;

    const QuotaStatistics& statistics() const { return _statistics; }

    /** @return shards that this node leads. */
    std::size_t shardsLed() const;
    /** @return shards of which this node is a deputy. */
    std::size_t shardsAsDeputy() const;

private:
    /** A question that was sent and is waited for. */
    struct Asked {
        std::uint64_t number = 0;
        TimePoint at{};
        std::uint32_t rank = 0;
        /** Statements that wait for it, or for their turn; other units are asked ahead. */
        std::uint32_t waiting = 0;
        /** Units of now only that were asked for. */
        std::uint32_t nowOnly = 0;
    };
    /** Units to ask for, and how many of them are waited for, now or until their turn. */
    struct Wish {
        RankedWish units;
        std::uint32_t waiting = 0;
    };
    /** What this node does about one rank of a tenant. */
    struct RankAccount {
        std::optional<Asked> asked;
        /** Since when no answer has come to any question. */
        std::optional<TimePoint> unansweredSince;
        TimePoint lastAskedAt{};
        /** No units are to be had: the leader is not asked again before. */
        TimePoint notBefore{};
        /** The same for units of now only. */
        TimePoint nowNotBefore{};
        /** When a caller that is refused should come back. */
        TimePoint comeBackAt{};
        /** When units that were put off will be there, one entry for each. */
        std::multiset<TimePoint> turns;
    };
    /** What this node does about one tenant. */
    struct Account {
        QuotaLease lease;
        std::array<RankAccount, settings::kAdmissionRanks> ranks;
        bool scarce = false;
        /** Time that the newest answer took. */
        Duration answerTime{0};
    };

    Duration usableFor(const TenantName& tenant, const Account& account) const;
    Wish wishOf(const TenantName& tenant, Account& account, const WaitingStatements& waiting,
                TimePoint usedAt, TimePoint now) const;
    void ask(const TenantName& tenant, Account& account, const Wish& wish, TimePoint now);
    void giveUpLate(const TenantName& tenant, RankAccount& account, TimePoint now);
    void noteMissing(RankAccount& account, const Asked& asked, const QuotaResponse& answer,
                     TimePoint now);
    QuotaVerdict lookFor(const TenantName& tenant, const WaitingStatements& waiting,
                         TimePoint usedAt, TimePoint now);
    static QuotaVerdict prospectOf(const RankAccount& account, TimePoint now);
    std::optional<NodeName> remoteTarget(std::uint32_t shard, TimePoint now);
    bool isUsable(const NodeName& node) const;
    void noteSilence(std::uint32_t shard, TimePoint now);
    void probe(std::uint32_t shard);
    void onProbed(std::uint32_t shard, const QuotaResponse& answer);
    void send(std::uint32_t shard, const QuotaRequest& question, QuotaReply reply);
    static void noteAnswered(RankAccount& account, const Asked& asked);
    void onAnswer(const TenantName& tenant, const Asked& asked, const QuotaRequest& question,
                  const QuotaResponse& answer);
    QuotaShard& shardOf(std::uint32_t shard);
    const std::vector<pooling::ProxyNode>& orderOf(std::uint32_t shard);

    QuotaDependencies _dependencies;
    QuotaTerms _terms;
    TimePoint _startedAt;
    QuotaCalls _calls;
    QuotaStatistics _statistics;
    std::shared_ptr<const TenantDirectory> _tenants;
    /** All nodes, and their order for each shard. */
    std::vector<pooling::ProxyNode> _nodes;
    std::map<std::uint32_t, std::vector<pooling::ProxyNode>> _orders;
    std::map<std::uint32_t, std::unique_ptr<QuotaShard>> _shards;
    /** Leaders that answered last, and their standbys. */
    std::map<std::uint32_t, NodeName> _leaders;
    std::map<std::uint32_t, NodeName> _standbys;
    /** Nodes that could not help lately, and when they said so. */
    std::map<NodeName, TimePoint> _unhelpful;
    /** By shard with an unanswered question: when its leader is suspected to be out of reach. */
    std::map<std::uint32_t, TimePoint> _suspectAt;
    /** By shard: when other nodes were last asked who grants its units. */
    std::map<std::uint32_t, TimePoint> _probedAt;
    std::map<TenantName, Account> _accounts;
    RankTerms _ranks;
    std::uint64_t _lastQuestion = 0;
    std::uint64_t _lastCopy = 0;
    bool _leaving = false;
    /** A question is being sent: its answer may come at once. */
    bool _sending = false;
    std::shared_ptr<bool> _alive = std::make_shared<bool>(true);
};

}  // namespace coralhoist::tenancy
