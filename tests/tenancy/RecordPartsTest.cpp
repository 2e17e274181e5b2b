#include <CppUTest/TestHarness.h>

#include <numeric>

#include "tenancy/RecordAllowances.h"
#include "tenancy/RecordParts.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TenantName kTenant{"t"};
constexpr Duration kWindow = seconds(5);

std::uint32_t sumOf(const std::vector<std::uint32_t>& units) {
    return std::accumulate(units.begin(), units.end(), 0U);
}

TEST_GROUP(RecordParts) {
    const TimePoint start{std::chrono::hours(1)};
    const NodeIncarnation deputy{NodeName("n3"), "n3/1"};
    RecordParts parts;

    QuotaShardRecord recordWithDeputy() const {
        QuotaShardRecord record;
        record.version.revision = 7;
        record.leader = {NodeName("n1"), "n1/1"};
        record.tenants[kTenant] = {{0, 40}, 30};
        record.deputies.push_back({deputy, true, 1, {{kTenant, {{0, 4}, 20}}}});
        return record;
    }
};

TEST(RecordParts, OthersHaveTheirCountingUnitsByAgeAndTheirAllowances) {
    parts.onKnown(recordWithDeputy(), start);
    UNSIGNED_LONGS_EQUAL(24, parts.besidesLeader(kTenant, start).all());
    UNSIGNED_LONGS_EQUAL(70, parts.besidesDeputy(deputy, kTenant, start).all());
    UNSIGNED_LONGS_EQUAL(24, parts.besidesLeader(kTenant, start + seconds(1)).all());
    const TimePoint later = start + milliseconds(1001);
    UNSIGNED_LONGS_EQUAL(20, parts.besidesLeader(kTenant, later).all());
    UNSIGNED_LONGS_EQUAL(30, parts.besidesDeputy(deputy, kTenant, later).all());
}

TEST(RecordParts, APartIsUnchangedWhileItsLeaseMayBeValid) {
    parts.onKnown(recordWithDeputy(), start);
    const std::vector<DeputyPart> cleared =
        parts.partsForNextVersion(kWindow, start + milliseconds(6599));
    CHECK_TRUE(cleared == recordWithDeputy().deputies);
}

TEST(RecordParts, AnExpiredPartCountsItsAllowanceForAsLongAsItsUnitsMayRun) {
    parts.onKnown(recordWithDeputy(), start);
    const TimePoint lapsed = start + milliseconds(6600);
    QuotaShardRecord record = recordWithDeputy();
    record.deputies = parts.partsForNextVersion(kWindow, lapsed);
    record.version.revision = 8;
    CHECK_FALSE(record.deputies.at(0).grants);
    UNSIGNED_LONGS_EQUAL(0, record.deputies[0].tenants.at(kTenant).allowance);
    UNSIGNED_LONGS_EQUAL(20, sumOf(record.deputies[0].tenants.at(kTenant).counting));
    // The newest unit may run for 2 s and counts for one more window.
    parts.onKnown(record, lapsed);
    const TimePoint end = lapsed + kLongestQuotaLease + kWindow;
    UNSIGNED_LONGS_EQUAL(20, parts.besidesLeader(kTenant, end).all());
    LONGS_EQUAL(1, parts.partsForNextVersion(kWindow, end).size());
    LONGS_EQUAL(0, parts.partsForNextVersion(kWindow, end + milliseconds(501)).size());
}

TEST(RecordParts, ARenewalOfAPartRestartsItsLease) {
    parts.onKnown(recordWithDeputy(), start);
    QuotaShardRecord renewed = recordWithDeputy();
    renewed.version.revision = 8;
    renewed.deputies[0].replacedVersion = 2;
    parts.onKnown(renewed, start + seconds(6));
    CHECK_TRUE(parts.partsForNextVersion(kWindow, start + seconds(12)) == renewed.deputies);
}

TEST(RecordParts, ADeputysWriteDoesNotRenewTheLeadersLease) {
    parts.onKnown(recordWithDeputy(), start);
    QuotaShardRecord next = recordWithDeputy();
    next.version.revision = 8;
    next.deputies[0].replacedVersion = 2;
    parts.onKnown(next, start + seconds(1));
    CHECK_TRUE(parts.leaderSeenAt() == start);
    ++next.version.revision;
    parts.onKnown(next, start + seconds(2));
    CHECK_TRUE(parts.leaderSeenAt() == start + seconds(2));
}

TEST(RecordParts, AcceptsThreeDeputiesAtMost) {
    QuotaShardRecord record = recordWithDeputy();
    record.deputies.push_back({{NodeName("n4"), "n4/1"}, true, 1, {}});
    parts.onKnown(record, start);
    CHECK_TRUE(parts.mayJoin({NodeName("n6"), "n6/1"}));
    record.deputies.push_back({{NodeName("n5"), "n5/1"}, false, 1, {}});
    parts.onKnown(record, start);
    CHECK_FALSE(parts.mayJoin({NodeName("n6"), "n6/1"}));
    CHECK_TRUE(parts.mayJoin(deputy));
}

}  // namespace
}  // namespace coralhoist::tenancy
