#include "tenancy/QuotaExchange.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "pooling/NodeRanking.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

/**
 * Fraction of the units' usable time for which units are requested in advance. With a larger
 * fraction, more units would expire unused.
 */
constexpr double kPrefetchShare = 0.6;
/**
 * In addition to the usual lease time, units stay usable for this multiple of the time that the
 * latest response took.
 */
constexpr int kResponseTimeMultiple = 2;
/**
 * A statement waits at most this long for the response to the request that was sent for it or
 * before it. Responses from a loaded machine are slow, and take twice as long because the standby
 * answers the leader first.
 */
constexpr Duration kResponseTimeout = milliseconds(700);
/**
 * After this time since the latest request, the timeout for a response starts anew for new
 * statements.
 */
constexpr Duration kTimeoutRestartAfter = std::chrono::seconds(1);
/**
 * A node that declined is not asked again before this time has passed: it has just started, is
 * shutting down, or can't reach the store. Another node may be able to answer.
 */
constexpr Duration kUnavailableFor = milliseconds(500);
/**
 * If services have different ranks, the leader is asked again after this time, however late a unit
 * was announced: nodes may settle their batches early, and more urgent demand may end.
 */
constexpr Duration kAskAgainAfter = milliseconds(100);
/**
 * A leader that has not answered for this long is suspected of being unreachable. Responses take
 * less time, except from nodes under load; a superfluous probe costs only a message.
 */
constexpr Duration kSuspectAfter = milliseconds(50);
/** Minimum interval between probes for a shard, because many responses are late under overload. */
constexpr Duration kProbeEvery = std::chrono::seconds(2);
/**
 * Number of first nodes in the shard's order that are probed in addition to the standby: enough
 * that at least one of them is probably on this side of a network partition.
 */
constexpr std::size_t kProbedNodes = 4;
/** A unit that `look` has found is taken within this time, unless the process was suspended. */
constexpr Duration kTakenWithin = milliseconds(20);
/** Delay after which a caller should retry while no leader answers. */
constexpr Duration kRetryWithoutAnswer = milliseconds(300);

}  // namespace

QuotaExchange::QuotaExchange(QuotaDependencies dependencies, QuotaTerms terms)
    : _dependencies(std::move(dependencies)),
      _terms(terms),
      _startedAt(_dependencies.clock.now()),
      _calls(_dependencies.questions),
      _tenants(std::make_shared<TenantDirectory>()),
      _nodes{{_dependencies.self.node, _dependencies.zone, {}, 0}} {}

void QuotaExchange::applyNodes(const std::vector<pooling::ProxyNode>& nodes) {
    _nodes = {{_dependencies.self.node, _dependencies.zone, {}, 0}};
    for (const pooling::ProxyNode& node : nodes) {
        if (node.name != _dependencies.self.node && node.port != 0) {
            _nodes.push_back(node);
        }
    }
    _orders.clear();
}

void QuotaExchange::applyTenants(std::shared_ptr<const TenantDirectory> tenants) {
    _tenants = std::move(tenants);
    std::erase_if(_accounts,
                  [this](const auto& entry) { return _tenants->find(entry.first) == nullptr; });
}

/** @return all nodes, in the order for the shard that all nodes compute identically. */
const std::vector<pooling::ProxyNode>& QuotaExchange::orderOf(std::uint32_t shard) {
    const auto [entry, added] = _orders.try_emplace(shard);
    if (added) {
        std::map<NodeName, pooling::ProxyNode> byName;
        std::vector<NodeName> names;
        for (const pooling::ProxyNode& node : _nodes) {
            byName[node.name] = node;
            names.push_back(node.name);
        }
        for (const NodeName& name : pooling::rankedNodes("quota/" + std::to_string(shard), names)) {
            entry->second.push_back(byName[name]);
        }
    }
    return entry->second;
}

QuotaShard& QuotaExchange::shardOf(std::uint32_t shard) {
    std::unique_ptr<QuotaShard>& entry = _shards[shard];
    if (!entry) {
        entry = std::make_unique<QuotaShard>(ShardContext{
            shard, _dependencies.self, _startedAt, _terms, _dependencies.clock, _calls,
            _dependencies.store, _dependencies.era, _statistics, _lastCopy,
            [this]() -> const TenantDirectory& { return *_tenants; },
            [this, shard]() -> const std::vector<pooling::ProxyNode>& { return orderOf(shard); },
            _dependencies.zone, &_ranks});
        if (_leaving) {
            entry->release();
        }
    }
    return *entry;
}

Duration QuotaExchange::usableFor(const TenantName& tenant, const Account& account) const {
    const Tenant* known = _tenants->find(tenant);
    const Duration lease = known == nullptr ? _terms.lease() : _terms.leaseOf(known->quota);
    return std::min(lease + account.answerTime * kResponseTimeMultiple, kLongestQuotaLease);
}

void QuotaExchange::ask(const TenantName& tenant, Account& account, const RequestPlan& plan,
                        TimePoint now) {
    const std::uint32_t rank = plan.units.rank;
    RankAccount& ranked = account.ranks[rank];
    const PendingRequest pending{++_lastQuestion, now, rank, plan.waiting,
                                 plan.units.immediateOnly};
    ranked.pending = pending;
    if (!ranked.unansweredSince || now - ranked.lastAskedAt >= kTimeoutRestartAfter) {
        ranked.unansweredSince = now;
    }
    ranked.lastAskedAt = now;
    // Drops turns whose time has passed: no statement waits for them any more.
    ranked.turns.erase(ranked.turns.begin(), ranked.turns.upper_bound(now));
    QuotaRequest question;
    question.tenant = tenant;
    question.wanted = plan.units.units();
    if (_ranks.ranksDiffer) {
        constexpr std::size_t kRanks = settings::kAdmissionRanks;
        question.wantedByRank.resize(3 * kRanks);
        question.wantedByRank[rank] = plan.units.fresh;
        question.wantedByRank[kRanks + rank] = plan.units.inTurn;
        question.wantedByRank[2 * kRanks + rank] = plan.units.immediateOnly;
    }
    question.usableFor = usableFor(tenant, account);
    question.leaderSilent = !_leaders.contains(quotaShardOf(tenant));
    question.settled = account.lease.settlements(now);
    _statistics.unused += account.lease.takeUnused();
    _sending = true;
    send(quotaShardOf(tenant), question,
         [this, alive = std::weak_ptr<bool>(_alive), tenant, pending,
          question](const QuotaResponse& answer) {
             if (!alive.expired()) {
                 onAnswer(tenant, pending, question, answer);
             }
         });
    _sending = false;
}

/**
 * @return the leader that last answered; otherwise its standby or the first usable node in the
 * shard's order, which finds the leader; nothing if that node is this one.
 */
std::optional<NodeName> QuotaExchange::remoteTarget(std::uint32_t shard, TimePoint now) {
    std::erase_if(_unavailableSince,
                  [now](const auto& entry) { return now - entry.second >= kUnavailableFor; });
    for (const auto* names : {&_leaders, &_standbys}) {
        const auto known = names->find(shard);
        if (known != names->end() && isUsable(known->second)) {
            return known->second;
        }
    }
    for (const pooling::ProxyNode& node : orderOf(shard)) {
        if (node.name == _dependencies.self.node) {
            return std::nullopt;
        }
        if (isUsable(node.name)) {
            return node.name;
        }
    }
    return std::nullopt;
}

bool QuotaExchange::isUsable(const NodeName& node) const {
    return node != _dependencies.self.node && _calls.canReach(node) &&
           !_unavailableSince.contains(node);
}

/** Marks the leader as unresponsive, so that its standby, if it has one, is asked next. */
void QuotaExchange::markLeaderUnresponsive(std::uint32_t shard, TimePoint now) {
    if (const auto leader = _leaders.extract(shard)) {
        _unavailableSince[leader.mapped()] = now;
    }
}

void QuotaExchange::send(std::uint32_t shard, const QuotaRequest& question, QuotaReply reply) {
    const auto own = _shards.find(shard);
    const bool leads = own != _shards.end() && own->second->leads();
    const TimePoint now = _dependencies.clock.now();
    const std::optional<NodeName> target = leads ? std::nullopt : remoteTarget(shard, now);
    if (!target) {
        shardOf(shard).ask(question, std::move(reply));
        return;
    }
    const auto probed = _probedAt.find(shard);
    const bool isProbed = probed != _probedAt.end() && now - probed->second < kProbeEvery;
    if (!isProbed) {
        _suspectAt.try_emplace(shard, now + kSuspectAfter);
    }
    _calls.ask(*target, question,
               [this, alive = std::weak_ptr<bool>(_alive), shard, node = *target,
                reply = std::move(reply)](const std::optional<QuotaResponse>& answer) {
                   if (alive.expired()) {
                       return;
                   }
                   _suspectAt.erase(shard);
                   const QuotaResponse taken = answer.value_or(declinedResponse(Duration(0)));
                   if (taken.declined) {
                       _unavailableSince[node] = _dependencies.clock.now();
                       _leaders.erase(shard);
                   }
                   reply(taken);
               });
}

/**
 * Probes the nodes that may act for an unresponsive leader. Each of them checks now whether it
 * reaches the leader, so that broken links are detected concurrently and not one after another.
 */
void QuotaExchange::probe(std::uint32_t shard) {
    const auto tenant =
        std::find_if(_accounts.begin(), _accounts.end(),
                     [shard](const auto& entry) { return quotaShardOf(entry.first) == shard; });
    if (tenant == _accounts.end()) {
        return;
    }
    QuotaRequest question;
    question.tenant = tenant->first;
    std::set<NodeName> probed;
    if (const auto standby = _standbys.find(shard); standby != _standbys.end()) {
        probed.insert(standby->second);
    }
    const std::vector<pooling::ProxyNode>& order = orderOf(shard);
    for (std::size_t index = 0; index < std::min(kProbedNodes, order.size()); ++index) {
        probed.insert(order[index].name);
    }
    for (const NodeName& node : probed) {
        if (node == _dependencies.self.node) {
            shardOf(shard).ask(question, [](const QuotaResponse& /*answer*/) {});
        } else if (_calls.canReach(node)) {
            _calls.ask(node, question,
                       [this, alive = std::weak_ptr<bool>(_alive),
                        shard](const std::optional<QuotaResponse>& answer) {
                           if (!alive.expired() && answer) {
                               onProbed(shard, *answer);
                           }
                       });
        }
    }
}

/**
 * Records the node that grants units in place of the unresponsive leader; it is asked next if the
 * leader is lost.
 */
void QuotaExchange::onProbed(std::uint32_t shard, const QuotaResponse& answer) {
    const auto leader = _leaders.find(shard);
    const bool isOther = leader == _leaders.end() || leader->second != answer.leader;
    if (!answer.declined && !answer.leader.value().empty() && isOther) {
        _standbys[shard] = answer.leader;
    }
}

/** If a newer request is still pending, the unanswered time starts when that request was sent. */
void QuotaExchange::noteAnswered(RankAccount& account, const PendingRequest& pending) {
    const bool isNewest = !account.pending || account.pending->number == pending.number;
    account.unansweredSince = isNewest ? std::nullopt : std::optional(account.pending->at);
}

void QuotaExchange::onAnswer(const TenantName& tenant, const PendingRequest& pending,
                             const QuotaRequest& question, const QuotaResponse& answer) {
    const auto found = _accounts.find(tenant);
    if (found == _accounts.end()) {
        return;
    }
    Account& account = found->second;
    RankAccount& ranked = account.ranks[pending.rank];
    const TimePoint now = _dependencies.clock.now();
    const std::uint32_t shard = quotaShardOf(tenant);
    if (answer.declined) {
        _leaders.erase(shard);
        if (answer.retryAfter > Duration(0)) {
            _standbys.erase(shard);
            noteAnswered(ranked, pending);
        }
    } else {
        _leaders[shard] = answer.leader;
        if (answer.standby.value().empty()) {
            _standbys.erase(shard);
        } else {
            _standbys[shard] = answer.standby;
        }
        noteAnswered(ranked, pending);
        account.answerTime = now - pending.at;
        account.lease.forget(question.settled);
        account.lease.add(answer, pending.at + question.usableFor, now);
        if (answer.granted > 0 && now >= pending.at + question.usableFor) {
            ++_statistics.lateResponses;
        }
    }
    // A response to an outdated request only adds units.
    if (ranked.pending && ranked.pending->number == pending.number) {
        ranked.pending.reset();
        ranked.notBefore = TimePoint{};
        ranked.retryAt = TimePoint{};
        if (answer.declined || answer.granted < question.wanted) {
            noteMissing(ranked, pending, answer, now);
        }
        account.scarce = answer.scarce;
    }
    if (!_sending) {
        _dependencies.onChange(tenant);
    }
}

/**
 * Lets statements wait for units that will be available soon enough. For the others, no request is
 * sent until the units could come within the longest wait.
 */
void QuotaExchange::noteMissing(RankAccount& account, const PendingRequest& pending,
                                const QuotaResponse& answer, TimePoint now) {
    const Duration maxTurnWait = _ranks.maxTurnWait[pending.rank];
    account.retryAt = now + answer.retryAfter;
    if (pending.immediateOnly > 0) {
        account.immediateNotBefore = std::min(account.retryAt, now + kAskAgainAfter);
    }
    if (maxTurnWait == Duration(0) || answer.retryAfter > maxTurnWait) {
        const TimePoint inReach = account.retryAt - maxTurnWait;
        account.notBefore =
            maxTurnWait == Duration(0) ? inReach : std::min(inReach, now + kAskAgainAfter);
        return;
    }
    const std::uint32_t granted = std::min(pending.waiting, answer.granted);
    for (std::uint32_t unit = granted; unit < pending.waiting; ++unit) {
        account.turns.insert(account.retryAt);
    }
}

void QuotaExchange::abandonTimedOutRequest(const TenantName& tenant, RankAccount& account,
                                           TimePoint now) {
    if (account.pending && now - account.pending->at >= kResponseTimeout) {
        account.pending.reset();
        account.notBefore = now;
        account.retryAt = now;
        markLeaderUnresponsive(quotaShardOf(tenant), now);
    }
}

/** Units that expire before the time of use are not counted. */
QuotaExchange::RequestPlan QuotaExchange::planRequest(const TenantName& tenant, Account& account,
                                                      const QueuedStatements& waiting,
                                                      TimePoint usedAt, TimePoint now) const {
    const RankAccount& ranked = account.ranks[waiting.rank];
    const Duration span =
        std::chrono::duration_cast<Duration>(usableFor(tenant, account) * kPrefetchShare);
    const std::uint32_t ahead = account.scarce ? 0 : account.lease.unitsAhead(span, now);
    const std::uint32_t units = std::min(account.lease.units(now), account.lease.unitsAt(usedAt));
    const std::uint32_t immediateOnly =
        now >= ranked.immediateNotBefore ? waiting.immediateOnly : 0;
    const std::uint32_t count = waiting.count - (waiting.immediateOnly - immediateOnly);
    const std::uint32_t lacking = count - std::min(count, units);
    const auto due = static_cast<std::uint32_t>(
        std::distance(ranked.turns.begin(), ranked.turns.upper_bound(now)));
    const std::uint32_t expected = units + static_cast<std::uint32_t>(ranked.turns.size());
    RequestPlan plan;
    plan.units.rank = waiting.rank;
    plan.units.inTurn = std::min(due, lacking);
    if (now >= ranked.notBefore && expected < count + ahead / 2) {
        const std::uint32_t more = count + ahead - expected;
        plan.units.immediateOnly = std::min(immediateOnly, more);
        plan.units.fresh = more - plan.units.immediateOnly;
    }
    const std::uint32_t mayWait = plan.units.inTurn + plan.units.fresh;
    plan.waiting = std::min(mayWait, lacking - std::min(lacking, plan.units.immediateOnly));
    return plan;
}

/** @return the decision for a statement that finds no unit: to wait for a response, to wait for its
 * turn, or a refusal. */
QuotaDecision QuotaExchange::decisionWithoutUnit(const RankAccount& account, TimePoint now) {
    if (account.pending && now - *account.unansweredSince < kResponseTimeout) {
        return {QuotaDecision::Kind::Waiting, *account.unansweredSince + kResponseTimeout - now};
    }
    const bool knowsTime = now < account.retryAt;
    const Duration others = knowsTime ? account.retryAt - now : kRetryWithoutAnswer;
    if (!account.pending && !account.turns.empty()) {
        return {QuotaDecision::Kind::Turn, std::max(Duration(0), *account.turns.begin() - now),
                static_cast<std::uint32_t>(account.turns.size()), others};
    }
    return {QuotaDecision::Kind::Refused, others};
}

QuotaDecision QuotaExchange::take(const TenantName& tenant, const QueuedStatements& waiting) {
    const TimePoint now = _dependencies.clock.now();
    const QuotaDecision withoutUnit = lookFor(tenant, waiting, now, now);
    if (_accounts[tenant].lease.takeUnit(now)) {
        ++_statistics.ran;
        return {QuotaDecision::Kind::Granted, {}};
    }
    return withoutUnit;
}

QuotaDecision QuotaExchange::look(const TenantName& tenant, const QueuedStatements& waiting) {
    if (_tenants->find(tenant) == nullptr) {
        return {QuotaDecision::Kind::Refused, kRetryWithoutAnswer};
    }
    const TimePoint now = _dependencies.clock.now();
    // Counts units that are usable a moment later, so that a unit has not expired when it is taken.
    const TimePoint usedAt = now + kTakenWithin;
    const QuotaDecision withoutUnit = lookFor(tenant, waiting, usedAt, now);
    const bool isAtHand = _accounts[tenant].lease.unitsAt(usedAt) >= waiting.count;
    return isAtHand ? QuotaDecision{QuotaDecision::Kind::Granted, {}} : withoutUnit;
}

bool QuotaExchange::takeHeld(const TenantName& tenant) {
    const auto account = _accounts.find(tenant);
    const bool isTaken =
        account != _accounts.end() && account->second.lease.takeUnit(_dependencies.clock.now());
    _statistics.ran += isTaken ? 1 : 0;
    return isTaken;
}

/**
 * Requests the missing units.
 * @return the decision for a statement that finds no unit.
 */
QuotaDecision QuotaExchange::lookFor(const TenantName& tenant, const QueuedStatements& waiting,
                                     TimePoint usedAt, TimePoint now) {
    Account& account = _accounts[tenant];
    QueuedStatements counted = waiting;
    counted.rank = _ranks.ranksDiffer ? waiting.rank : 0;
    RankAccount& ranked = account.ranks[counted.rank];
    abandonTimedOutRequest(tenant, ranked, now);
    if (!ranked.pending) {
        const RequestPlan plan = planRequest(tenant, account, counted, usedAt, now);
        if (plan.units.units() > 0) {
            ask(tenant, account, plan, now);
        }
    }
    return decisionWithoutUnit(ranked, now);
}

void QuotaExchange::beginLeaving() {
    _leaving = true;
    for (const auto& [number, shard] : _shards) {
        shard->release();
    }
}

void QuotaExchange::onTick(TimePoint now) {
    const std::map<std::uint32_t, TimePoint> suspects = _suspectAt;
    for (const auto& [shard, due] : suspects) {
        if (due <= now) {
            _suspectAt.erase(shard);
            _probedAt[shard] = now;
            probe(shard);
        }
    }
    for (const auto& [number, shard] : _shards) {
        if (shard->nextTick() <= now) {
            shard->onTick(now);
        }
    }
}

TimePoint QuotaExchange::nextTick() const {
    TimePoint next = TimePoint::max();
    for (const auto& [shard, due] : _suspectAt) {
        next = std::min(next, due);
    }
    for (const auto& [number, shard] : _shards) {
        next = std::min(next, shard->nextTick());
    }
    return next;
}

std::size_t QuotaExchange::shardsLed() const {
    return static_cast<std::size_t>(std::count_if(
        _shards.begin(), _shards.end(), [](const auto& entry) { return entry.second->leads(); }));
}

std::size_t QuotaExchange::shardsAsDeputy() const {
    return static_cast<std::size_t>(
        std::count_if(_shards.begin(), _shards.end(),
                      [](const auto& entry) { return entry.second->isDeputy(); }));
}

void QuotaExchange::onQuotaRequest(std::uint64_t asker, const QuotaRequest& question) {
    shardOf(quotaShardOf(question.tenant))
        .ask(question,
             [this, alive = std::weak_ptr<bool>(_alive), asker](const QuotaResponse& answer) {
                 if (!alive.expired()) {
                     _dependencies.answers.sendQuotaResponse(asker, answer);
                 }
             });
}

void QuotaExchange::onQuotaResponse(std::uint64_t question,
                                    const std::optional<QuotaResponse>& answer) {
    _calls.onAnswer(question, answer);
}

void QuotaExchange::onLedgerUpdate(std::uint64_t asker, const LedgerUpdate& update) {
    _dependencies.answers.acknowledgeLedger(asker, shardOf(update.shard).takeUpdate(update));
}

void QuotaExchange::onLedgerAck(std::uint64_t question, const std::optional<LedgerAck>& ack) {
    _calls.onAck(question, ack);
}

}  // namespace coralhoist::tenancy
