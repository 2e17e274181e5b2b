#include "tenancy/ShardLeader.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/Log.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

/** Retry delay for requests to a leader that can't respond now. */
constexpr Duration kRetryAfterDecline = milliseconds(200);
constexpr Duration kLongestRetry = std::chrono::seconds(1);
/** Longest retry delay where ranks matter. All units that count now have expired after one window.
 */
constexpr Duration kLongestDeferral = std::chrono::seconds(5);
/** A tenant whose count exceeds this share of its bound uses most of its quota. */
constexpr double kScarceAbove = 0.75;
/** The record is rewritten when no more than this share of a tenant's allowance is left. */
constexpr double kAllowanceLow = 0.3;

/** @return the units that the request asks for, the most urgent rank first. */
std::vector<RankedRequest> wishesOf(const QuotaRequest& request) {
    const auto wanted = [&request](std::size_t index) {
        return index < request.wantedByRank.size() ? request.wantedByRank[index] : 0;
    };
    std::vector<RankedRequest> wishes;
    for (std::uint32_t rank = 0; rank < settings::kAdmissionRanks; ++rank) {
        const RankedRequest wish{rank, wanted(rank), wanted(settings::kAdmissionRanks + rank),
                                 wanted(2 * settings::kAdmissionRanks + rank)};
        if (wish.units() > 0) {
            wishes.push_back(wish);
        }
    }
    return wishes;
}

/** @return how long the requested units are usable. */
Duration usableFor(const QuotaRequest& request) {
    return std::min(request.usableFor, kLongestQuotaLease);
}

}  // namespace

ShardLeader::ShardLeader(const ShardContext& context, RecordParts parts, TimePoint leaseUntil,
                         ShardLedgers ledgers)
    : _context(context),
      _role(ShardRole::Leader),
      _parts(std::move(parts)),
      // A version that this node has only read may be a deputy's write, and its token then
      // identifies the deputy's batches.
      _term(context.clock.now() < leaseUntil ? _parts.record().version.token() : 0),
      _leaseUntil(leaseUntil),
      _ledgers(std::move(ledgers)),
      _allowances(_parts.record().tenants),
      _savedAt(leaseUntil - kShardLease),
      _askedAt(context.clock.now()),
      _queue(context.statistics.declined) {}

bool ShardLeader::mayGrant(TimePoint now) const {
    return !_ended && !_withdrawn && now < _leaseUntil && _standbyState != StandbyState::Leaving;
}

QuotaLedger& ShardLeader::ledgerOf(const TenantName& tenant) {
    return _ledgers.try_emplace(tenant, _context.windowOf(tenant)).first->second;
}

void ShardLeader::ask(const QuotaRequest& request, QuotaReply reply) {
    const TimePoint now = _context.clock.now();
    _askedAt = now;
    for (const BatchSettlement& settlement : request.settled) {
        const std::uint32_t unused = ledgerOf(request.tenant).settle(settlement, now);
        _pacers[request.tenant].giveBack(unused);
    }
    if (request.wanted > 0 && _context.tenants().find(request.tenant) != nullptr) {
        // A deputy writes allowances only for tenants for which it has received requests; the
        // ledger marks them.
        ledgerOf(request.tenant);
    }
    QueuedQuotaRequest queued{request, std::move(reply), now};
    if (mayGrant(now)) {
        answer(std::move(queued), now);
    } else if (mayForward(request)) {
        forwardToSuccessor(queued);
    } else {
        _queue.add(std::move(queued));
    }
    if (wantsSave(now)) {
        save(now);
    }
}

bool ShardLeader::mayForward(const QuotaRequest& request) const {
    return !_successor.value().empty() && _standbyState == StandbyState::Leaving &&
           request.hops < kMostQuotaHops;
}

/** Forwards the request to the probable new leader. While this node can't write the record, it
 * can't read from it who leads either. */
void ShardLeader::forwardToSuccessor(const QueuedQuotaRequest& queued) {
    ++_context.statistics.relayed;
    QuotaRequest request = queued.request;
    ++request.hops;
    _context.calls.ask(_successor, request,
                       [reply = queued.reply](const std::optional<QuotaResponse>& response) {
                           reply(response.value_or(declinedResponse(kRetryAfterDecline)));
                       });
}

/** @return units that the tenant's bound leaves beside the parts of others. */
std::uint32_t ShardLeader::freeUnits(const Tenant& tenant, TimePoint now) {
    const std::uint32_t bound = _context.terms.bound(tenant.quota);
    const std::uint32_t others = foreignUnits(tenant.name, now).all();
    return bound - std::min(bound, ledgerOf(tenant.name).counted(now) + others);
}

/** @return the requested units, limited by what bound and allowance leave. */
std::uint32_t ShardLeader::grantable(const Tenant& tenant, std::uint32_t wanted, TimePoint now) {
    const std::uint32_t free = freeUnits(tenant, now);
    const std::uint32_t left = _allowances.left(tenant.name);
    const auto own = ownQuotas().find(tenant.name);
    const bool isNamed = own != ownQuotas().end();
    const std::uint32_t allowed = isNamed ? own->second.allowance : 0;
    if (!isNamed) {
        // The pause applies only to allowances that are used up. A tenant's first allowance is
        // written without waiting.
        _nextAllowanceAt = TimePoint{};
    }
    _needsAllowance = _needsAllowance || (free > 0 && left <= allowed * kAllowanceLow);
    return std::min({wanted, free, left});
}

/** @return the units that are granted now. Pacing spreads a flood of requests over time. */
std::uint32_t ShardLeader::paced(const Tenant& tenant, std::uint32_t units, TimePoint now) {
    return std::min(units, _pacers[tenant.name].available(_context.terms, tenant.quota, now));
}

/** @return whether ranks matter to both the request and this node. */
bool ShardLeader::usesRanks(const QuotaRequest& request) const {
    return !request.wantedByRank.empty() && _context.ranks != nullptr &&
           _context.ranks->ranksDiffer;
}

ShardLeader::RankedGrant ShardLeader::grantOf(const Tenant& tenant, const QuotaRequest& request,
                                              std::uint32_t units, TimePoint now) {
    if (usesRanks(request)) {
        return pacedByRank(tenant, request, units, now);
    }
    return {paced(tenant, units, now), {}, {}};
}

/** @param units most units to grant, by ledger and allowance. */
ShardLeader::RankedGrant ShardLeader::pacedByRank(const Tenant& tenant, const QuotaRequest& request,
                                                  std::uint32_t units, TimePoint now) {
    UnitPacer& pacer = _pacers[tenant.name];
    UnitTurns& turns = _turns[tenant.name];
    pacer.available(_context.terms, tenant.quota, now);
    QuotaStatistics& statistics = _context.statistics;
    RankedGrant granted;
    granted.byRank.resize(settings::kAdmissionRanks);
    PacedUnits paced = pacer.paced();
    // After a change of leader, the bound may leave fewer units than the token bucket. The order of
    // ranks applies to these units in the same way.
    const std::uint32_t left = std::min(freeUnits(tenant, now), _allowances.left(tenant.name));
    paced.tokens = std::min<double>(paced.tokens, left);
    for (const RankedRequest& asked : wishesOf(request)) {
        const std::uint32_t inTurn = turns.claim(asked.rank, asked.inTurn, now);
        // Units whose reservation is unknown here, as with a new leader, count as new requests.
        const std::uint32_t fresh = asked.fresh + asked.inTurn - inTurn;
        const RankedRequest wish{asked.rank, fresh, inTurn, asked.immediateOnly};
        turns.noteDemand(wish.rank, wish.fresh + wish.immediateOnly, now);
        const std::uint32_t most = units - granted.units;
        const std::uint32_t taken = std::min(most, turns.grantable(wish, paced, now));
        granted.units += taken;
        granted.byRank[wish.rank] = taken;
        paced.tokens -= taken;
        statistics.grantedByRank[wish.rank] += taken;
        statistics.turnsByRank[wish.rank] += wish.inTurn;
        statistics.turnsKeptByRank[wish.rank] += std::min(taken, wish.inTurn);
        if (taken < wish.units()) {
            granted.deferred.push_back(wish.without(taken));
        }
    }
    return granted;
}

/** @return the time after which the bound leaves the given number of units. */
Duration ShardLeader::untilFree(const Tenant& tenant, std::uint32_t units, TimePoint now) {
    const std::uint32_t free = freeUnits(tenant, now);
    return units > free ? ledgerOf(tenant.name).untilFreed(units - free, now) : Duration(0);
}

/**
 * Reserves a later time slot for deferred units, behind those of the same rank and of more urgent
 * ones. No slot is reserved when it would lie beyond the longest time for which a request of the
 * rank waits.
 * @return the time until the most urgent deferred units can be granted.
 */
Duration ShardLeader::defer(const Tenant& tenant, const RankedGrant& granted, TimePoint now) {
    UnitTurns& turns = _turns[tenant.name];
    std::optional<Duration> first;
    for (const RankedRequest& wish : granted.deferred) {
        const std::uint32_t before = turns.scheduledUpTo(wish.rank, now);
        const Duration paced = turns.untilGranted(wish, _pacers[tenant.name].paced(), now);
        const Duration freed = untilFree(tenant, wish.units() + before, now);
        const Duration until = std::max(paced, freed);
        const bool isWaitedFor = until <= _context.ranks->maxTurnWait[wish.rank];
        const std::uint32_t waiting = isWaitedFor ? wish.units() - wish.immediateOnly : 0;
        if (waiting > 0) {
            turns.addTurn(wish.rank, waiting, now + until);
        }
        _context.statistics.deferredByRank[wish.rank] += waiting;
        _context.statistics.refusedByRank[wish.rank] += wish.units() - waiting;
        first = first.value_or(until);
    }
    return std::min(first.value_or(Duration(0)), kLongestDeferral);
}

void ShardLeader::answer(QueuedQuotaRequest queued, TimePoint now) {
    const QuotaRequest& request = queued.request;
    const Tenant* tenant = _context.tenants().find(request.tenant);
    if (tenant == nullptr) {
        _queue.decline(queued, kRetryAfterDecline);
        return;
    }
    const std::uint32_t allowed = grantable(*tenant, request.wanted, now);
    const bool isLimited = isLimitedByAllowance(*tenant, now);
    if (allowed == 0 && request.wanted > 0 && isLimited && !hasOwnAllowance(tenant->name, now)) {
        _queue.add(std::move(queued));
        return;
    }
    const RankedGrant ranked = grantOf(*tenant, request, allowed, now);
    const std::uint32_t units = ranked.units;
    const QuotaResponse granted = grant(*tenant, request, ranked, now);
    ++_context.statistics.granted;
    if (units == 0 || _standbyState == StandbyState::None) {
        queued.reply(granted);
        return;
    }
    LedgerUpdate update;
    update.batches.push_back({request.tenant, granted.batch, units, usableFor(request)});
    if (_standbyState == StandbyState::Copying) {
        sendUpdate(std::move(update), std::nullopt);
        queued.reply(granted);
    } else {
        sendUpdate(std::move(update), UnacknowledgedGrant{std::move(queued.reply), granted});
    }
}

/** @return whether the tenant's bound leaves units but the record's allowance does not. */
bool ShardLeader::isLimitedByAllowance(const Tenant& tenant, TimePoint now) {
    return _allowances.left(tenant.name) == 0 && freeUnits(tenant, now) > 0;
}

QuotaResponse ShardLeader::grant(const Tenant& tenant, const QuotaRequest& request,
                                 const RankedGrant& granted, TimePoint now) {
    const std::uint32_t units = granted.units;
    QuotaLedger& ledger = ledgerOf(tenant.name);
    QuotaResponse response;
    response.leader = _context.self.node;
    response.standby = _standbyState == StandbyState::InSync ? _standby.node : NodeName();
    response.granted = units;
    response.grantedByRank = granted.byRank;
    if (units > 0) {
        response.batch = {_term, ++_lastBatch};
        ledger.add(response.batch, units, now + usableFor(request));
        _allowances.take(tenant.name, units);
        _context.statistics.grantedAsDeputy += _role == ShardRole::Deputy ? units : 0;
        _pacers[tenant.name].take(units);
    }
    response.scarce = ledger.counted(now) > kScarceAbove * _context.terms.bound(tenant.quota);
    const std::uint32_t missing = request.wanted - units;
    // While the record is being written for a new allowance, the rest may be available at once, so
    // no retry delay is set.
    if (missing > 0 && !isLimitedByAllowance(tenant, now)) {
        if (!granted.deferred.empty()) {
            response.retryAfter = defer(tenant, granted, now);
            response.scarce = true;
            return response;
        }
        const Duration paced = _pacers[tenant.name].untilAvailable(missing);
        const Duration freed = untilFree(tenant, missing, now);
        response.retryAfter = std::min(std::max(paced, freed), kLongestRetry);
    } else if (missing > 0 && hasOwnAllowance(tenant.name, now)) {
        response.retryAfter = std::max(Duration(0), _nextAllowanceAt - now);
    }
    return response;
}

void ShardLeader::answerQueued(TimePoint now) {
    for (QueuedQuotaRequest& queued : _queue.takeAll()) {
        if (mayGrant(now)) {
            answer(std::move(queued), now);
        } else {
            _queue.add(std::move(queued));
        }
    }
}

void ShardLeader::abandon() {
    for (const QueuedQuotaRequest& queued : _queue.takeAll()) {
        _queue.decline(queued, Duration(0));
    }
    end();
}

void ShardLeader::end() {
    _ended = true;
    _copy = 0;
    for (auto& [number, grant] : std::exchange(_unacknowledged, {})) {
        ++_context.statistics.declined;
        grant.reply(declinedResponse(kRetryAfterDecline));
    }
    LogEvent("tenancy", LogLevel::Info, "quota.leadership_ended").field("shard", _context.shard);
}

void ShardLeader::release() {
    if (_ended) {
        return;
    }
    if (_role == ShardRole::Deputy) {
        withdraw();
        return;
    }
    const TimePoint now = _context.clock.now();
    if (_standbyState == StandbyState::InSync) {
        LedgerUpdate update;
        update.released = true;
        sendUpdate(std::move(update), std::nullopt);
    } else if (!_calling && !isOutdated()) {
        // No other node has a copy of the counted units, so the record must list them.
        QuotaShardRecord released = _parts.record();
        released.writtenIn = released.version.era;
        released.leader = {};
        released.standby = {};
        released.tenants = countedQuotas(_ledgers, now);
        ++released.renewals;
        _context.store.save(_context.shard, released, [](const SavedShard& /*saved*/) {
            // If the write fails, the lease expires by itself.
        });
    }
    end();
}

void ShardLeader::onTick(TimePoint now) {
    if (_ended) {
        return;
    }
    const bool standbyGone = _standbyState != StandbyState::None &&
                             _standbyState != StandbyState::Leaving &&
                             !_context.calls.canReach(_standby.node);
    if (standbyGone) {
        loseStandby();
        return;
    }
    if (wantsToOffer(now)) {
        offerLead(now);
    }
    const bool mayHaveStandby = _role == ShardRole::Leader && now < _leaseUntil;
    if (_standbyState == StandbyState::None && mayHaveStandby && now >= _nextStandby) {
        chooseStandby(now);
    }
    answerQueued(now);
    if (wantsSave(now)) {
        save(now);
    }
    _queue.declineOverdue(now);
}

}  // namespace coralhoist::tenancy
