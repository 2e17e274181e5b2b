/** How the leader of a shard, or a deputy, writes its own part of the record beside the parts of
 * others. */
#include <algorithm>
#include <utility>

#include "base/Log.h"
#include "tenancy/ShardLeader.h"

namespace coralhoist::tenancy {

ShardLeader::ShardLeader(const ShardContext& context, RecordParts parts)
    : _context(context),
      _role(ShardRole::Deputy),
      _parts(std::move(parts)),
      _term(0),
      _allowances(RecordedQuotas{}),
      _mustRenew(true),
      _askedAt(context.clock.now()),
      _queue(context.statistics.declined) {}

const RecordedQuotas& ShardLeader::ownQuotasOf(const QuotaShardRecord& record) const {
    static const RecordedQuotas kNone;
    if (_role == ShardRole::Leader) {
        return record.tenants;
    }
    const DeputyPart* part = findPart(record.deputies, _context.self);
    return part == nullptr ? kNone : part->tenants;
}

/** @return this node's part in the newest known version. */
const RecordedQuotas& ShardLeader::ownQuotas() const {
    return ownQuotasOf(_parts.record());
}

/** @return units of the tenant's bound that others have in the newest known version. */
ForeignUnits ShardLeader::foreignUnits(const TenantName& tenant, TimePoint now) const {
    return _role == ShardRole::Leader ? _parts.besidesLeader(tenant, now)
                                      : _parts.besidesDeputy(_context.self, tenant, now);
}

/** @return whether the tenant has the allowance that this node's part can give it for now: the part
 * names the tenant and may not yet be rewritten for a larger allowance. */
bool ShardLeader::hasOwnAllowance(const TenantName& tenant, TimePoint now) const {
    return !_calling && now < _nextAllowanceAt && ownQuotas().contains(tenant);
}

bool ShardLeader::wantsAllowance(TimePoint now) const {
    return _needsAllowance && !_withdrawn && now >= _nextAllowanceAt;
}

/** @return whether the record in force lets this deputy grant. */
bool ShardLeader::hasPart() const {
    const DeputyPart* part = findPart(_parts.record().deputies, _context.self);
    return _role == ShardRole::Deputy && part != nullptr && part->grants;
}

/** @return whether another reachable deputy wrote its part first and serves the nodes that reach
 * this one. Two parts in one partition would leave each of them too little. */
bool ShardLeader::isSecondDeputy() const {
    const TimePoint now = _context.clock.now();
    const std::vector<DeputyPart>& deputies = _parts.record().deputies;
    return !hasPart() &&
           std::any_of(deputies.begin(), deputies.end(), [this, now](const DeputyPart& part) {
               return part.holder != _context.self && _parts.mayGrant(part, now) &&
                      _context.calls.canReach(part.holder.node);
           });
}

void ShardLeader::writeOwnPart(QuotaShardRecord& attempted, TimePoint now) {
    if (_role == ShardRole::Leader) {
        if (isCaughtUp()) {
            _standbyState = StandbyState::Joining;
        }
        const bool isNamed =
            _standbyState == StandbyState::Joining || _standbyState == StandbyState::InSync;
        attempted.standby = isNamed ? _standby : NodeIncarnation{};
        attempted.tenants = leaderQuotas(_context, _parts, _ledgers, now);
        ++attempted.renewals;
        return;
    }
    DeputyPart own{_context.self, !_withdrawn, attempted.version.token(), {}};
    own.tenants =
        _withdrawn ? countedQuotas(_ledgers, now) : deputyQuotas(_context, _parts, _ledgers, now);
    std::erase_if(attempted.deputies,
                  [&own](const DeputyPart& part) { return part.holder == own.holder; });
    attempted.deputies.push_back(std::move(own));
}

void ShardLeader::withdraw() {
    if (_withdrawn) {
        return;
    }
    _withdrawn = true;
    _mustRenew = false;
    LogEvent("tenancy", LogLevel::Info, "quota.deputy_ended").field("shard", _context.shard);
    for (const QueuedQuotaRequest& queued : _queue.takeAll()) {
        _queue.decline(queued, Duration(0));
    }
    onTick(_context.clock.now());
}

void ShardLeader::resume() {
    _withdrawn = false;
    _mustRenew = true;
    _askedAt = _context.clock.now();
}

bool ShardLeader::countsNothing(TimePoint now) {
    const bool isOver = !_calling && (!hasPart() || now >= _leaseUntil);
    return isOver && countedQuotas(_ledgers, now).empty();
}

}  // namespace coralhoist::tenancy
