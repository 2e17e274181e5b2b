/** The parts of a shard's record as read by one node, which determine what the shard's leader and
 * its deputies may grant at a time. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/Time.h"
#include "tenancy/QuotaShardRecord.h"
#include "tenancy/QuotaTerms.h"
#include "tenancy/TenantDirectory.h"

namespace coralhoist::tenancy {

/** Most deputies of a shard, and so the number of network partitions beside the leader's in which
 * units are granted. */
constexpr std::size_t kMostDeputies = 3;

/** Units of one tenant's bound that other holders of parts may have. */
struct ForeignUnits {
    /** Units that still count. */
    std::uint32_t counting = 0;
    /** Units that the other holders may still grant. */
    std::uint32_t allowed = 0;
    /** Another holder has received requests for the tenant and may write itself an allowance. */
    bool shares = false;

    std::uint32_t all() const { return counting + allowed; }
};

/**
 * The record of a shard holds the leader's part and the parts of deputies. A part lists units that
 * counted when it was written, and an allowance for each tenant. Versions form a total order, since
 * each write names the version that it replaces.
 *
 * INVARIANT, for each tenant and at each moment, in the newest version: the units that the holder
 * of a part has granted and that may still run are within the sum of the part's counting units, by
 * their age, and its allowance; and either
 * - the sum of all parts, counting units by age and allowances, is within the bound, or
 * - only one part allows anything, and its holder keeps its ledger and the counting units of all
 *   other parts within the bound at each grant.
 * The units of all holders together are therefore within the bound under any failure.
 *
 * The invariant holds because
 * - a holder grants only within its lease, within its allowance under each version that may be the
 *   newest (`RecordAllowances`), and while its ledger and the parts of others in the newest version
 *   that it knows are within the bound;
 * - a writer limits its own allowance to what the parts of all others leave in the version that it
 *   replaces. Only a leader may allow itself more, and only where no other part allows anything:
 *   counted units expire while it grants, and its ledger accounts for that. A deputy never allows
 *   itself more;
 * - a writer leaves the parts of others as they are, with two exceptions that preserve the sum: in
 *   a part whose holder's lease has certainly expired, the allowance becomes counting units for the
 *   longest time for which such a unit can count; a part that no longer allows or counts anything
 *   is removed.
 * A new leader takes over the part of the previous leader.
 *
 * The age of a deputy's counting units and its lease are measured from the time at which this node
 * first saw this write of the part.
 *
 * A store that was restored from an older copy may have lost parts whose holders continue to grant.
 * All parts of the newest version together were within the bound, so the unknown parts were within
 * what the leader's own part left of it. A leader reserves that remainder for them until none of
 * their units counts any more.
 */
class RecordParts {
public:
    /** Called when this node has read or written the record. */
    void onKnown(const QuotaShardRecord& record, TimePoint now);

    /** Called when the store was restored from an older copy. The given version replaces the known
     * version, and the known content is kept. */
    void replaceVersion(const StoreVersion& version) { _record.version = version; }

    /** Reserves what the leader's part leaves of each tenant's bound, because the store may have
     * lost other parts. */
    void reserveForLost(const QuotaTerms& terms, const TenantDirectory& tenants, TimePoint until);

    /** @return when the leader's newest write was first seen. */
    TimePoint leaderSeenAt() const { return _leaderSeenAt; }

    /** @return whether the deputy may be granting from its part because its lease may still be
     * valid. */
    bool mayGrant(const DeputyPart& part, TimePoint now) const;

    /** @return the units that others than the leader of the known record have, including units
     * reserved for lost parts. */
    ForeignUnits besidesLeader(const TenantName& tenant, TimePoint now) const;

    /** @return the units that others than the given deputy have in the known record. */
    ForeignUnits besidesDeputy(const NodeIncarnation& deputy, const TenantName& tenant,
                               TimePoint now) const;

    /** @return the deputies' parts for the next version. Parts whose lease has certainly expired
     * are reduced to counting units, and parts that neither allow nor count anything are removed. A
     * part that already only counts is copied unchanged, since its steps would be rounded up on
     * each rewrite. */
    std::vector<DeputyPart> partsForNextVersion(Duration window, TimePoint now) const;

    /** @return whether the record has room for the deputy's part or already holds it. */
    bool mayJoin(const NodeIncarnation& deputy) const;

    const QuotaShardRecord& record() const { return _record; }

private:
    struct Seen {
        DeputyPart part;
        TimePoint at{};
    };

    TimePoint seenAt(const DeputyPart& part, TimePoint now) const;
    void addDeputy(ForeignUnits& units, const DeputyPart& part, const TenantName& tenant,
                   TimePoint now) const;
    DeputyPart ended(const DeputyPart& part, Duration window, TimePoint now) const;
    bool countsNothing(const DeputyPart& part, TimePoint now) const;

    QuotaShardRecord _record;
    /** Units that holders of lost parts may have, and the time until which they are reserved. */
    std::map<TenantName, std::uint32_t> _reserved;
    TimePoint _reservedUntil{};
    TimePoint _leaderSeenAt{};
    /** Deputies' parts and when they were first seen, by the deputy's incarnation. */
    std::map<std::string, Seen> _seen;
};

/** @return the deputy's part, or null. */
const DeputyPart* findPart(const std::vector<DeputyPart>& parts, const NodeIncarnation& deputy);

}  // namespace coralhoist::tenancy
