/** Shares tenants' quotas among all nodes: grants units to others, and takes units for this one. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "pooling/ExecutorPlacement.h"
#include "tenancy/QuotaAccount.h"
#include "tenancy/QuotaMessages.h"
#include "tenancy/TenantDirectory.h"

namespace coralhoist::tenancy {

/** What an exchange is made of. All outlive it. */
struct QuotaDependencies {
    const Clock& clock;
    QuotaQuestions& questions;
    QuotaAnswers& answers;
    NodeName self;
    /** @return a time not later than the moment up to which this node knows the settings. */
    std::function<TimePoint()> settingsKnownAt;
    /** Told that units of a tenant have come, or that none will. */
    std::function<void(const TenantName&)> onChange;
};

/** Whether a unit may run. */
struct QuotaVerdict {
    enum class Kind {
        Granted,
        Waiting, /**< An answer is under way; `retryAfter` is the longest wait for it. */
        Refused, /**< `retryAfter` says when a repetition has a chance. */
    };
    Kind kind = Kind::Granted;
    Duration retryAfter{0};
};

/** Counters, for metrics. */
struct QuotaStatistics {
    /** Units that ran by a grant of the accounting node. */
    std::uint64_t ranGranted = 0;
    /** Units that ran while no accounting node answered. */
    std::uint64_t ranWithoutAccount = 0;
    /** Units that were returned unused, and those of them whose lease had ended a lease ago. */
    std::uint64_t returned = 0;
    std::uint64_t returnedLate = 0;
    /** Accounts that this node opened, and those that it took up after another node's turn. */
    std::uint64_t accountsOpened = 0;
    std::uint64_t accountsReset = 0;
};

/**
 * One node accounts for a tenant: the first in the order of their hashes that can be reached. It
 * keeps a token bucket and grants a few units at a time, by what the asking node uses; a grant ends
 * after the lease time. So the sum of all nodes is bounded whatever becomes of nodes and messages.
 *
 * Invariants: a unit is used at most once, and within the lease time from the moment of asking. A
 * node grants only while its settings are known to be young and while it can't reach a node that
 * ranks before it; so a node that is cut off from the store stops before it is replaced for long.
 *
 * A node that hears of no accounting node goes on for a few seconds at the rate that it had, or at
 * half of it when the tenant was near its quota.
 */
class QuotaExchange final : public QuotaEvents {
public:
    QuotaExchange(QuotaDependencies dependencies, QuotaTerms terms);

    void applyNodes(const std::vector<pooling::ProxyNode>& nodes);
    void applyTenants(std::shared_ptr<const TenantDirectory> tenants);

    /**
     * Takes one unit of the tenant, if there is one.
     * @param waiting statements of the tenant that wait for a unit here, with this one.
     */
    QuotaVerdict take(const TenantName& tenant, std::uint32_t waiting);

    void onQuotaAsked(std::uint64_t asker, const QuotaQuestion& question) override;
    void onQuotaAnswer(std::uint64_t question, const std::optional<QuotaAnswer>& answer) override;

    const QuotaStatistics& statistics() const { return _statistics; }

private:
    /** Units of one answer. */
    struct Batch {
        std::uint32_t units = 0;
        TimePoint expiresAt{};
    };
    /** What this node may still run of one tenant. */
    struct Lease {
        /** Granted units, those that expire first in front. */
        std::deque<Batch> batches;
        /** Units that expired and were not told yet, and when the first of them did. */
        std::uint32_t expired = 0;
        TimePoint expiredSince{};
        /** Smoothed units a second that this node ran, and when that was counted. */
        double rate = 0;
        TimePoint ratedAt{};
        /** The account was empty: it is not asked again before. */
        TimePoint emptyUntil{};
        bool scarce = false;
        /** When an accounting node was heard last, and the rate at that time. */
        TimePoint heardAt{};
        double rateWhenHeard = 0;
        /** Units that may run without one, and since when they are counted. */
        double allowance = 0;
        TimePoint allowedAt{};
        std::optional<std::uint64_t> question;
        TimePoint askedAt{};
        /** A node declined: none is asked before. */
        TimePoint declinedUntil{};
    };

    static void expire(Lease& lease, TimePoint now);
    static std::uint32_t unitsOf(const Lease& lease);
    static void noteUse(Lease& lease, TimePoint now);
    std::uint32_t unitsAhead(const Lease& lease, TimePoint now) const;
    std::optional<NodeName> accountant(const TenantName& tenant) const;
    void ask(const TenantName& tenant, Lease& lease, std::uint32_t wanted, TimePoint now);
    void takeAnswer(Lease& lease, const QuotaAnswer& answer, TimePoint now) const;
    QuotaAnswer grantHere(const QuotaQuestion& question, TimePoint now);
    std::optional<NodeName> betterRanked(const TenantName& tenant) const;
    static double allowedRate(const Lease& lease);
    static bool takeAllowance(Lease& lease, TimePoint now);
    const std::vector<NodeName>& ranking(const TenantName& tenant) const;

    QuotaDependencies _dependencies;
    QuotaTerms _terms;
    std::shared_ptr<const TenantDirectory> _tenants;
    std::vector<NodeName> _nodes;
    mutable std::map<TenantName, std::vector<NodeName>> _rankings;
    std::map<TenantName, Lease> _leases;
    std::map<TenantName, QuotaAccount> _accounts;
    std::map<std::uint64_t, TenantName> _questions;
    std::uint64_t _lastQuestion = 0;
    QuotaStatistics _statistics;
};

}  // namespace coralhoist::tenancy
