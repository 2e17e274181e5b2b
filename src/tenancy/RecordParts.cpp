#include "tenancy/RecordParts.h"

#include <algorithm>
#include <numeric>

#include "tenancy/QuotaTerms.h"
#include "tenancy/ShardContext.h"

namespace coralhoist::tenancy {
namespace {

/** @return units of the part that count at `now`, if the part was written at `writtenAt`. */
std::uint32_t countingAt(const RecordedQuota& quota, TimePoint writtenAt, TimePoint now) {
    std::uint32_t units = 0;
    for (std::size_t index = 0; index < quota.counting.size(); ++index) {
        if (writtenAt + kCountingStep * (index + 1) >= now) {
            units += quota.counting[index];
        }
    }
    return units;
}

void addAt(std::vector<std::uint32_t>& counting, std::size_t index, std::uint32_t units) {
    if (counting.size() <= index) {
        counting.resize(index + 1);
    }
    counting[index] += units;
}

/** @return the index of units that still count for the given time. */
std::size_t indexFor(Duration left) {
    return static_cast<std::size_t>(left / kCountingStep);
}

/** @return the units that count now, grouped by how long they still count. */
std::vector<std::uint32_t> agedCounting(const RecordedQuota& quota, TimePoint writtenAt,
                                        TimePoint now) {
    std::vector<std::uint32_t> aged;
    for (std::size_t index = 0; index < quota.counting.size(); ++index) {
        const Duration left = writtenAt + kCountingStep * (index + 1) - now;
        if (left >= Duration(0) && quota.counting[index] > 0) {
            addAt(aged, indexFor(left), quota.counting[index]);
        }
    }
    return aged;
}

bool allowsAnything(const DeputyPart& part) {
    return std::any_of(part.tenants.begin(), part.tenants.end(),
                       [](const auto& entry) { return entry.second.allowance > 0; });
}

/** @return whether the leader may have written the record in between. A deputy's write leaves the
 * leader's part unchanged. */
bool mayHaveWrittenLeader(const QuotaShardRecord& known, const QuotaShardRecord& read) {
    const bool isSame = known.leader == read.leader && known.standby == read.standby &&
                        known.renewals == read.renewals && known.tenants == read.tenants;
    return !isSame || (known.version != read.version && known.deputies == read.deputies);
}

}  // namespace

const DeputyPart* findPart(const std::vector<DeputyPart>& parts, const NodeIncarnation& deputy) {
    const auto found = std::find_if(parts.begin(), parts.end(), [&deputy](const DeputyPart& part) {
        return part.holder == deputy;
    });
    return found == parts.end() ? nullptr : &*found;
}

void RecordParts::onKnown(const QuotaShardRecord& record, TimePoint now) {
    if (_leaderSeenAt == TimePoint{} || mayHaveWrittenLeader(_record, record)) {
        _leaderSeenAt = now;
    }
    std::map<std::string, Seen> seen;
    for (const DeputyPart& part : record.deputies) {
        const auto before = _seen.find(part.holder.incarnation);
        const bool isKnown = before != _seen.end() && before->second.part == part;
        seen[part.holder.incarnation] = {part, isKnown ? before->second.at : now};
    }
    _seen = std::move(seen);
    _record = record;
}

TimePoint RecordParts::seenAt(const DeputyPart& part, TimePoint now) const {
    const auto found = _seen.find(part.holder.incarnation);
    return found == _seen.end() ? now : found->second.at;
}

bool RecordParts::mayGrant(const DeputyPart& part, TimePoint now) const {
    return part.grants && now - seenAt(part, now) < kShardLeaseOfOthers;
}

void RecordParts::addDeputy(ForeignUnits& units, const DeputyPart& part, const TenantName& tenant,
                            TimePoint now) const {
    const auto quota = part.tenants.find(tenant);
    if (quota == part.tenants.end()) {
        return;
    }
    units.counting += countingAt(quota->second, seenAt(part, now), now);
    units.allowed += quota->second.allowance;
    units.shares = units.shares || mayGrant(part, now);
}

ForeignUnits RecordParts::besidesLeader(const TenantName& tenant, TimePoint now) const {
    ForeignUnits units;
    for (const DeputyPart& part : _record.deputies) {
        addDeputy(units, part, tenant, now);
    }
    const auto reserved = _reserved.find(tenant);
    if (reserved != _reserved.end() && now < _reservedUntil) {
        units.allowed += reserved->second - std::min(reserved->second, units.all());
    }
    return units;
}

void RecordParts::reserveForLost(const QuotaTerms& terms, const TenantDirectory& tenants,
                                 TimePoint until) {
    _reservedUntil = until;
    _reserved.clear();
    for (const auto& [name, tenant] : tenants.all()) {
        const std::uint32_t bound = terms.bound(tenant.quota);
        const auto own = _record.tenants.find(name);
        std::uint32_t part = 0;
        if (own != _record.tenants.end()) {
            const std::vector<std::uint32_t>& counting = own->second.counting;
            part = std::accumulate(counting.begin(), counting.end(), own->second.allowance);
        }
        _reserved[name] = bound - std::min(bound, part);
    }
}

ForeignUnits RecordParts::besidesDeputy(const NodeIncarnation& deputy, const TenantName& tenant,
                                        TimePoint now) const {
    ForeignUnits units;
    for (const DeputyPart& part : _record.deputies) {
        if (part.holder != deputy) {
            addDeputy(units, part, tenant, now);
        }
    }
    const auto quota = _record.tenants.find(tenant);
    if (quota != _record.tenants.end()) {
        units.counting += countingAt(quota->second, _leaderSeenAt, now);
        units.allowed += quota->second.allowance;
    }
    units.shares = true;
    return units;
}

/** @return the part of a holder whose lease has expired, with its allowance turned into counting
 * units. */
DeputyPart RecordParts::ended(const DeputyPart& part, Duration window, TimePoint now) const {
    const TimePoint seen = seenAt(part, now);
    // No unit that the holder granted runs after its lease and the longest quota lease, and each
    // unit counts for one more window.
    const TimePoint countsUntil = seen + kShardLeaseOfOthers + kLongestQuotaLease + window;
    DeputyPart ended = part;
    ended.grants = false;
    for (auto& [tenant, quota] : ended.tenants) {
        quota.counting = agedCounting(quota, seen, now);
        if (quota.allowance > 0 && countsUntil >= now) {
            addAt(quota.counting, indexFor(countsUntil - now), quota.allowance);
        }
        quota.allowance = 0;
    }
    return ended;
}

bool RecordParts::countsNothing(const DeputyPart& part, TimePoint now) const {
    return std::all_of(part.tenants.begin(), part.tenants.end(),
                       [this, &part, now](const auto& entry) {
                           return entry.second.allowance == 0 &&
                                  countingAt(entry.second, seenAt(part, now), now) == 0;
                       });
}

std::vector<DeputyPart> RecordParts::partsForNextVersion(Duration window, TimePoint now) const {
    std::vector<DeputyPart> parts;
    for (const DeputyPart& part : _record.deputies) {
        const bool mayBeUsed = part.grants || allowsAnything(part);
        const bool isOver = now - seenAt(part, now) >= kShardLeaseOfOthers;
        if (mayBeUsed && isOver) {
            parts.push_back(ended(part, window, now));
        } else if (mayBeUsed || !countsNothing(part, now)) {
            parts.push_back(part);
        }
    }
    return parts;
}

bool RecordParts::mayJoin(const NodeIncarnation& deputy) const {
    return _record.deputies.size() < kMostDeputies || findPart(_record.deputies, deputy) != nullptr;
}

}  // namespace coralhoist::tenancy
