#include "tenancy/QuotaExchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/Log.h"
#include "pooling/NodeRanking.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/** Time over which the rate of a tenant at this node is smoothed. */
constexpr Duration kRateSpan = std::chrono::seconds(1);
/** Part of the lease time for which units are asked ahead: more would expire unused. */
constexpr double kAskedAhead = 0.75;
/** An answer takes about 2 ms between zones; a node that has not answered by then is busy. */
constexpr Duration kAnswerPatience = milliseconds(60);
/** After a node declined, none is asked for so long. The others would decline as well, since one
 * that ranks before them is there; asking them in turn took 145 s of processor time in place of 100
 * s on a day on which the store is down for 4 s, over 83 nodes (one play each). */
constexpr Duration kDeclinedPause = milliseconds(100);
/** A node whose settings are older than this may be cut off, and grants nothing: settings reach
 * each node within 2.1 s. */
constexpr Duration kOldestSettings = milliseconds(2500);
/** A node goes on without an accounting node for so long. A store that is away for 4.5 s stops all
 * accounts after 2.5 s. */
constexpr Duration kAllowedFor = milliseconds(3500);
/** The rate that goes on is measured over a second: of few units it is often too low. */
constexpr double kAllowedShare = 1.5;
constexpr double kAllowedBesides = 1.0;
constexpr double kAllowedShareWhenScarce = 0.5;
/** When a caller without an allowance should come back: about when the next node accounts. */
constexpr Duration kRetryWithoutAccount = milliseconds(300);

}  // namespace

QuotaExchange::QuotaExchange(QuotaDependencies dependencies, QuotaTerms terms)
    : _dependencies(std::move(dependencies)),
      _terms(terms),
      _tenants(std::make_shared<TenantDirectory>()) {}

void QuotaExchange::applyNodes(const std::vector<pooling::ProxyNode>& nodes) {
    _nodes = {_dependencies.self};
    for (const pooling::ProxyNode& node : nodes) {
        if (node.name != _dependencies.self && node.port != 0) {
            _nodes.push_back(node.name);
        }
    }
    _rankings.clear();
}

void QuotaExchange::applyTenants(std::shared_ptr<const TenantDirectory> tenants) {
    _tenants = std::move(tenants);
    const auto isGone = [this](const auto& entry) {
        return _tenants->find(entry.first) == nullptr;
    };
    std::erase_if(_leases, isGone);
    std::erase_if(_accounts, isGone);
}

const std::vector<NodeName>& QuotaExchange::ranking(const TenantName& tenant) const {
    const auto [entry, added] = _rankings.try_emplace(tenant);
    if (added) {
        entry->second = pooling::rankedNodes(tenant.value(), _nodes);
    }
    return entry->second;
}

void QuotaExchange::expire(Lease& lease, TimePoint now) {
    while (!lease.batches.empty() && now >= lease.batches.front().expiresAt) {
        if (lease.expired == 0) {
            lease.expiredSince = lease.batches.front().expiresAt;
        }
        lease.expired += lease.batches.front().units;
        lease.batches.pop_front();
    }
}

std::uint32_t QuotaExchange::unitsOf(const Lease& lease) {
    std::uint32_t units = 0;
    for (const Batch& batch : lease.batches) {
        units += batch.units;
    }
    return units;
}

void QuotaExchange::noteUse(Lease& lease, TimePoint now) {
    const double fading = std::exp(-(Seconds(now - lease.ratedAt) / Seconds(kRateSpan)));
    lease.rate = lease.rate * fading + 1 / Seconds(kRateSpan).count();
    lease.ratedAt = now;
}

/** @return how many units this node will probably use before they expire. */
std::uint32_t QuotaExchange::unitsAhead(const Lease& lease, TimePoint now) const {
    const double fading = std::exp(-(Seconds(now - lease.ratedAt) / Seconds(kRateSpan)));
    const double ahead = lease.rate * fading * Seconds(_terms.lease()).count() * kAskedAhead;
    return static_cast<std::uint32_t>(std::ceil(ahead));
}

/** @return the first node of the ranking that can be asked now; this one when it ranks first. */
std::optional<NodeName> QuotaExchange::accountant(const TenantName& tenant) const {
    for (const NodeName& node : ranking(tenant)) {
        if (node == _dependencies.self || _dependencies.questions.canReach(node)) {
            return node;
        }
    }
    return std::nullopt;
}

void QuotaExchange::ask(const TenantName& tenant, Lease& lease, std::uint32_t wanted,
                        TimePoint now) {
    const std::optional<NodeName> node = accountant(tenant);
    if (lease.question || !node || now < lease.declinedUntil) {
        return;
    }
    if (lease.expired > 0) {
        _statistics.returned += lease.expired;
        _statistics.returnedLate += now - lease.expiredSince > _terms.lease() ? lease.expired : 0;
    }
    const QuotaQuestion question{tenant, wanted, std::exchange(lease.expired, 0)};
    lease.askedAt = now;
    if (*node != _dependencies.self) {
        lease.question = ++_lastQuestion;
        _questions[*lease.question] = tenant;
        _dependencies.questions.askForQuota(*node, *lease.question, question);
        return;
    }
    takeAnswer(lease, grantHere(question, now), now);
}

void QuotaExchange::takeAnswer(Lease& lease, const QuotaAnswer& answer, TimePoint now) const {
    if (answer.declined) {
        lease.declinedUntil = now + kDeclinedPause;
        return;
    }
    if (answer.granted > 0) {
        lease.batches.push_back({answer.granted, lease.askedAt + _terms.lease()});
        expire(lease, now);
    }
    lease.emptyUntil = answer.granted == 0 ? now + answer.retryAfter : TimePoint{};
    lease.scarce = answer.scarce;
    lease.heardAt = now;
    lease.rateWhenHeard = lease.rate;
    lease.allowance = lease.scarce ? 0 : 1;
    lease.allowedAt = now;
}

QuotaVerdict QuotaExchange::take(const TenantName& tenant, std::uint32_t waiting) {
    const TimePoint now = _dependencies.clock.now();
    Lease& lease = _leases[tenant];
    expire(lease, now);
    const std::uint32_t ahead = unitsAhead(lease, now);
    const std::uint32_t units = unitsOf(lease);
    if (now >= lease.emptyUntil && units < waiting + ahead / 2) {
        ask(tenant, lease, waiting + ahead, now);
    }
    if (!lease.batches.empty()) {
        if (--lease.batches.front().units == 0) {
            lease.batches.pop_front();
        }
        noteUse(lease, now);
        ++_statistics.ranGranted;
        return {QuotaVerdict::Kind::Granted, {}};
    }
    if (now < lease.emptyUntil) {
        return {QuotaVerdict::Kind::Refused, lease.emptyUntil - now};
    }
    if (lease.question && now - lease.askedAt < kAnswerPatience) {
        return {QuotaVerdict::Kind::Waiting, kAnswerPatience - (now - lease.askedAt)};
    }
    if (takeAllowance(lease, now)) {
        noteUse(lease, now);
        ++_statistics.ranWithoutAccount;
        return {QuotaVerdict::Kind::Granted, {}};
    }
    return {QuotaVerdict::Kind::Refused, kRetryWithoutAccount};
}

/** @return units a second that this node may run while no accounting node answers. */
double QuotaExchange::allowedRate(const Lease& lease) {
    return lease.scarce ? lease.rateWhenHeard * kAllowedShareWhenScarce
                        : lease.rateWhenHeard * kAllowedShare + kAllowedBesides;
}

/** No accounting node answers: the node goes on as it did, for a while. */
bool QuotaExchange::takeAllowance(Lease& lease, TimePoint now) {
    if (now - lease.heardAt > kAllowedFor) {
        return false;
    }
    const double rate = allowedRate(lease);
    lease.allowance = std::min(lease.allowance + Seconds(now - lease.allowedAt).count() * rate,
                               std::max(1.0, rate));
    lease.allowedAt = now;
    if (lease.allowance < 1) {
        return false;
    }
    lease.allowance -= 1;
    return true;
}

void QuotaExchange::onQuotaAnswer(std::uint64_t question,
                                  const std::optional<QuotaAnswer>& answer) {
    const auto asked = _questions.find(question);
    if (asked == _questions.end()) {
        return;
    }
    const TenantName tenant = asked->second;
    _questions.erase(asked);
    const auto found = _leases.find(tenant);
    if (found == _leases.end() || found->second.question != question) {
        return;
    }
    Lease& lease = found->second;
    lease.question.reset();
    const TimePoint now = _dependencies.clock.now();
    if (answer) {
        takeAnswer(lease, *answer, now);
    }
    _dependencies.onChange(tenant);
}

/** @return a node that ranks before this one and seems to be there. */
std::optional<NodeName> QuotaExchange::betterRanked(const TenantName& tenant) const {
    for (const NodeName& node : ranking(tenant)) {
        if (node == _dependencies.self) {
            return std::nullopt;
        }
        if (_dependencies.questions.canReach(node)) {
            return node;
        }
    }
    return std::nullopt;
}

QuotaAnswer QuotaExchange::grantHere(const QuotaQuestion& question, TimePoint now) {
    QuotaAnswer declined;
    declined.declined = true;
    if (const std::optional<NodeName> better = betterRanked(question.tenant)) {
        // Only an attempt shows whether a node that was never needed so far is there.
        _dependencies.questions.askForQuota(*better, ++_lastQuestion, {question.tenant, 0, 0});
        return declined;
    }
    const Tenant* tenant = _tenants->find(question.tenant);
    const auto [account, opened] = _accounts.try_emplace(question.tenant, _terms, now);
    if (opened) {
        ++_statistics.accountsOpened;
        LogEvent("tenancy", LogLevel::Info, "quota.account_opened")
            .field("tenant", question.tenant);
    }
    if (now - _dependencies.settingsKnownAt() > kOldestSettings || _nodes.empty()) {
        account->second.reset(now);
        ++_statistics.accountsReset;
        return declined;
    }
    if (tenant == nullptr) {
        return declined;
    }
    return account->second.grant(tenant->quota, question, now);
}

void QuotaExchange::onQuotaAsked(std::uint64_t asker, const QuotaQuestion& question) {
    _dependencies.answers.answerQuota(asker, grantHere(question, _dependencies.clock.now()));
}

}  // namespace coralhoist::tenancy
