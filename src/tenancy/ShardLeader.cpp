#include "tenancy/ShardLeader.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/Log.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

/** When to ask again a leader that can't answer now. */
constexpr Duration kRetryAfterDecline = milliseconds(200);
constexpr Duration kLongestRetry = std::chrono::seconds(1);
/** The same where ranks matter: after a window all that counts now has ended. */
constexpr Duration kLongestPutOff = std::chrono::seconds(5);
/** A tenant of which more than this part of its bound counts uses most of its quota. */
constexpr double kScarceAbove = 0.75;
/** The record is written anew when a tenant has so small a part of its allowance left. */
constexpr double kAllowanceLow = 0.3;

/** @return what the question wants, the most urgent rank first. */
std::vector<RankedRequest> wishesOf(const QuotaQuestion& question) {
    const auto wanted = [&question](std::size_t index) {
        return index < question.wantedByRank.size() ? question.wantedByRank[index] : 0;
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

/** @return how long the units that are asked for are usable. */
Duration usableFor(const QuotaQuestion& question) {
    return std::min(question.usableFor, kLongestQuotaLease);
}

}  // namespace

ShardLeader::ShardLeader(const ShardContext& context, RecordParts parts, TimePoint leaseUntil,
                         ShardLedgers ledgers)
    : _context(context),
      _role(ShardRole::Leader),
      _parts(std::move(parts)),
      // A version that was only read may be a deputy's writing, which names that one's batches.
      _term(context.clock.now() < leaseUntil ? _parts.record().version.token() : 0),
      _leaseUntil(leaseUntil),
      _ledgers(std::move(ledgers)),
      _allowances(_parts.record().tenants),
      _savedAt(leaseUntil - kShardLease),
      _askedAt(context.clock.now()),
      _held(context.statistics.declined) {}

bool ShardLeader::mayGrant(TimePoint now) const {
    return !_ended && !_withdrawn && now < _leaseUntil && _standbyState != StandbyState::Leaving;
}

QuotaLedger& ShardLeader::ledgerOf(const TenantName& tenant) {
    return _ledgers.try_emplace(tenant, _context.windowOf(tenant)).first->second;
}

void ShardLeader::ask(const QuotaQuestion& question, QuotaReply reply) {
    const TimePoint now = _context.clock.now();
    _askedAt = now;
    for (const BatchSettlement& settlement : question.settled) {
        const std::uint32_t unused = ledgerOf(question.tenant).settle(settlement, now);
        _pacers[question.tenant].giveBack(unused);
    }
    if (question.wanted > 0 && _context.tenants().find(question.tenant) != nullptr) {
        // A deputy writes allowances of those that it was asked for.
        ledgerOf(question.tenant);
    }
    HeldQuestion held{question, std::move(reply), now};
    if (mayGrant(now)) {
        answer(std::move(held), now);
    } else if (mayHandOn(question)) {
        handOn(held);
    } else {
        _held.hold(std::move(held));
    }
    if (wantsSave(now)) {
        save(now);
    }
}

bool ShardLeader::mayHandOn(const QuotaQuestion& question) const {
    return !_successor.value().empty() && _standbyState == StandbyState::Leaving &&
           question.hops < kMostQuotaHops;
}

/** While this node can't write the record it can't learn who leads either. */
void ShardLeader::handOn(const HeldQuestion& held) {
    ++_context.statistics.relayed;
    QuotaQuestion question = held.question;
    ++question.hops;
    _context.calls.ask(_successor, question,
                       [reply = held.reply](const std::optional<QuotaAnswer>& answer) {
                           reply(answer.value_or(declinedAnswer(kRetryAfterDecline)));
                       });
}

/** @return units that the tenant's bound leaves beside the parts of others. */
std::uint32_t ShardLeader::freeUnits(const Tenant& tenant, TimePoint now) {
    const std::uint32_t bound = _context.terms.bound(tenant.quota);
    const std::uint32_t others = foreignUnits(tenant.name, now).all();
    return bound - std::min(bound, ledgerOf(tenant.name).counted(now) + others);
}

/** @return units that bound and allowance leave. */
std::uint32_t ShardLeader::grantable(const Tenant& tenant, std::uint32_t wanted, TimePoint now) {
    const std::uint32_t free = freeUnits(tenant, now);
    const std::uint32_t left = _allowances.left(tenant.name);
    const auto own = ownQuotas().find(tenant.name);
    const bool isNamed = own != ownQuotas().end();
    const std::uint32_t allowed = isNamed ? own->second.allowance : 0;
    if (!isNamed) {
        // The pause is for allowances that are used up: a tenant's first one waits for none.
        _nextAllowanceAt = TimePoint{};
    }
    _needsAllowance = _needsAllowance || (free > 0 && left <= allowed * kAllowanceLow);
    return std::min({wanted, free, left});
}

/** @return units that are granted now, so that a flood is spread over time. */
std::uint32_t ShardLeader::paced(const Tenant& tenant, std::uint32_t units, TimePoint now) {
    return std::min(units, _pacers[tenant.name].available(_context.terms, tenant.quota, now));
}

/** @return whether ranks matter to the question and to this node. */
bool ShardLeader::knowsTurns(const QuotaQuestion& question) const {
    return !question.wantedByRank.empty() && _context.ranks != nullptr &&
           _context.ranks->ranksDiffer;
}

ShardLeader::RankedGrant ShardLeader::grantOf(const Tenant& tenant, const QuotaQuestion& question,
                                              std::uint32_t units, TimePoint now) {
    if (knowsTurns(question)) {
        return pacedByRank(tenant, question, units, now);
    }
    return {paced(tenant, units, now), {}, {}};
}

/** @param units what ledger and allowance leave. */
ShardLeader::RankedGrant ShardLeader::pacedByRank(const Tenant& tenant,
                                                  const QuotaQuestion& question,
                                                  std::uint32_t units, TimePoint now) {
    UnitPacer& pacer = _pacers[tenant.name];
    UnitTurns& turns = _turns[tenant.name];
    pacer.available(_context.terms, tenant.quota, now);
    QuotaStatistics& statistics = _context.statistics;
    RankedGrant granted;
    granted.byRank.resize(settings::kAdmissionRanks);
    PacedUnits paced = pacer.paced();
    // After a loss of the leader the bound leaves less than the bucket: the same order holds then.
    const std::uint32_t left = std::min(freeUnits(tenant, now), _allowances.left(tenant.name));
    paced.tokens = std::min<double>(paced.tokens, left);
    for (const RankedRequest& asked : wishesOf(question)) {
        const std::uint32_t inTurn = turns.claim(asked.rank, asked.inTurn, now);
        // Who has no turn here, as with a new leader, is a new one.
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
            granted.putOff.push_back(wish.without(taken));
        }
    }
    return granted;
}

/** @return after which time the bound leaves so many units. */
Duration ShardLeader::untilFree(const Tenant& tenant, std::uint32_t units, TimePoint now) {
    const std::uint32_t free = freeUnits(tenant, now);
    return units > free ? ledgerOf(tenant.name).untilFreed(units - free, now) : Duration(0);
}

/**
 * What is put off gets a turn behind those of its rank and of more urgent ones, unless it lies so
 * far away that nobody waits for it.
 * @return the time of the most urgent one.
 */
Duration ShardLeader::putOff(const Tenant& tenant, const RankedGrant& granted, TimePoint now) {
    UnitTurns& turns = _turns[tenant.name];
    std::optional<Duration> first;
    for (const RankedRequest& wish : granted.putOff) {
        const std::uint32_t before = turns.scheduledUpTo(wish.rank, now);
        const Duration paced = turns.untilGranted(wish, _pacers[tenant.name].paced(), now);
        const Duration freed = untilFree(tenant, wish.units() + before, now);
        const Duration until = std::max(paced, freed);
        const bool isWaitedFor = until <= _context.ranks->maxTurnWait[wish.rank];
        const std::uint32_t waiting = isWaitedFor ? wish.units() - wish.immediateOnly : 0;
        if (waiting > 0) {
            turns.addTurn(wish.rank, waiting, now + until);
        }
        _context.statistics.putOffByRank[wish.rank] += waiting;
        _context.statistics.turnedAwayByRank[wish.rank] += wish.units() - waiting;
        first = first.value_or(until);
    }
    return std::min(first.value_or(Duration(0)), kLongestPutOff);
}

void ShardLeader::answer(HeldQuestion held, TimePoint now) {
    const QuotaQuestion& question = held.question;
    const Tenant* tenant = _context.tenants().find(question.tenant);
    if (tenant == nullptr) {
        _held.decline(held, kRetryAfterDecline);
        return;
    }
    const std::uint32_t allowed = grantable(*tenant, question.wanted, now);
    const bool isLimited = isLimitedByAllowance(*tenant, now);
    if (allowed == 0 && question.wanted > 0 && isLimited && !hasOwnAllowance(tenant->name, now)) {
        _held.hold(std::move(held));
        return;
    }
    const RankedGrant ranked = grantOf(*tenant, question, allowed, now);
    const std::uint32_t units = ranked.units;
    const QuotaAnswer granted = grant(*tenant, question, ranked, now);
    ++_context.statistics.granted;
    if (units == 0 || _standbyState == StandbyState::None) {
        held.reply(granted);
        return;
    }
    LedgerUpdate update;
    update.batches.push_back({question.tenant, granted.batch, units, usableFor(question)});
    if (_standbyState == StandbyState::Copying) {
        sendUpdate(std::move(update), std::nullopt);
        held.reply(granted);
    } else {
        sendUpdate(std::move(update), UnacknowledgedGrant{std::move(held.reply), granted});
    }
}

/** @return whether the tenant's bound leaves units, but the record's allowance does not. */
bool ShardLeader::isLimitedByAllowance(const Tenant& tenant, TimePoint now) {
    return _allowances.left(tenant.name) == 0 && freeUnits(tenant, now) > 0;
}

QuotaAnswer ShardLeader::grant(const Tenant& tenant, const QuotaQuestion& question,
                               const RankedGrant& granted, TimePoint now) {
    const std::uint32_t units = granted.units;
    QuotaLedger& ledger = ledgerOf(tenant.name);
    QuotaAnswer answer;
    answer.leader = _context.self.node;
    answer.standby = _standbyState == StandbyState::InSync ? _standby.node : NodeName();
    answer.granted = units;
    answer.grantedByRank = granted.byRank;
    if (units > 0) {
        answer.batch = {_term, ++_lastBatch};
        ledger.add(answer.batch, units, now + usableFor(question));
        _allowances.take(tenant.name, units);
        _context.statistics.grantedAsDeputy += _role == ShardRole::Deputy ? units : 0;
        _pacers[tenant.name].take(units);
    }
    answer.scarce = ledger.counted(now) > kScarceAbove * _context.terms.bound(tenant.quota);
    const std::uint32_t missing = question.wanted - units;
    // While the record is written for a new allowance, the rest may be had at once.
    if (missing > 0 && !isLimitedByAllowance(tenant, now)) {
        if (!granted.putOff.empty()) {
            answer.retryAfter = putOff(tenant, granted, now);
            answer.scarce = true;
            return answer;
        }
        const Duration paced = _pacers[tenant.name].untilAvailable(missing);
        const Duration freed = untilFree(tenant, missing, now);
        answer.retryAfter = std::min(std::max(paced, freed), kLongestRetry);
    } else if (missing > 0 && hasOwnAllowance(tenant.name, now)) {
        answer.retryAfter = std::max(Duration(0), _nextAllowanceAt - now);
    }
    return answer;
}

void ShardLeader::answerHeld(TimePoint now) {
    for (HeldQuestion& held : _held.takeAll()) {
        if (mayGrant(now)) {
            answer(std::move(held), now);
        } else {
            _held.hold(std::move(held));
        }
    }
}

void ShardLeader::abandon() {
    for (const HeldQuestion& held : _held.takeAll()) {
        _held.decline(held, Duration(0));
    }
    end();
}

void ShardLeader::end() {
    _ended = true;
    _copy = 0;
    for (auto& [number, grant] : std::exchange(_unacknowledged, {})) {
        ++_context.statistics.declined;
        grant.reply(declinedAnswer(kRetryAfterDecline));
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
        // Nobody else knows what counts, so the record says it.
        QuotaShardRecord released = _parts.record();
        released.writtenIn = released.version.era;
        released.leader = {};
        released.standby = {};
        released.tenants = countedQuotas(_ledgers, now);
        ++released.renewals;
        _context.store.save(_context.shard, released, [](const SavedShard& /*saved*/) {
            // Where it fails, the lease ends by itself.
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
    answerHeld(now);
    if (wantsSave(now)) {
        save(now);
    }
    _held.declineOverdue(now);
}

}  // namespace coralhoist::tenancy
