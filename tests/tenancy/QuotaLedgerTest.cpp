#include <CppUTest/TestHarness.h>

#include "tenancy/LedgerCopy.h"
#include "tenancy/QuotaLease.h"
#include "tenancy/QuotaLedger.h"
#include "tenancy/QuotaTerms.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(5);
Duration windowOf(const TenantName& /*tenant*/) {
    return kWindow;
}
constexpr BatchId kFirst{7, 1};
constexpr BatchId kSecond{7, 2};

TEST_GROUP(QuotaTerms) {
    QuotaTerms terms{kWindow, 0.1, 20};
};

TEST(QuotaTerms, TheBoundIsThatOfTheRule) {
    UNSIGNED_LONGS_EQUAL(185, terms.bound({25, 25}));
    UNSIGNED_LONGS_EQUAL(20, terms.bound({0, 0}));
}

TEST(QuotaTerms, ATenantThatSendsItsRateAndBurstIsWithinTheBoundDuringTheLease) {
    const double span = std::chrono::duration<double>(terms.window + terms.lease()).count();
    for (const TenantQuota& quota : {TenantQuota{1, 0}, TenantQuota{25, 25}, TenantQuota{900, 9}}) {
        CHECK_TRUE(quota.ratePerSecond * span + quota.burst <= terms.bound(quota));
    }
}

TEST_GROUP(QuotaLedger) {
    TimePoint start{std::chrono::hours(1)};
    QuotaLedger ledger{kWindow};
};

TEST(QuotaLedger, ABatchCountsUntilAWindowAfterItsLastPossibleUse) {
    ledger.add(kFirst, 3, start + milliseconds(500));
    UNSIGNED_LONGS_EQUAL(3, ledger.counted(start + milliseconds(5500)));
    UNSIGNED_LONGS_EQUAL(0, ledger.counted(start + milliseconds(5501)));
}

TEST(QuotaLedger, UnusedUnitsStopCountingOnceSettled) {
    ledger.add(kFirst, 3, start + milliseconds(500));
    ledger.settle({kFirst, 1, milliseconds(100)}, start + milliseconds(600));
    UNSIGNED_LONGS_EQUAL(1, ledger.counted(start + milliseconds(600)));
    // The unit ran at 500 ms at the latest.
    UNSIGNED_LONGS_EQUAL(1, ledger.counted(start + milliseconds(5500)));
    UNSIGNED_LONGS_EQUAL(0, ledger.counted(start + milliseconds(5501)));
}

TEST(QuotaLedger, ASettlementThatComesLateOrTwiceAddsNothing) {
    ledger.add(kFirst, 3, start + milliseconds(500));
    ledger.add(kSecond, 5, start + seconds(4));
    ledger.settle({kFirst, 0, milliseconds(0)}, start + seconds(1));
    ledger.settle({kFirst, 0, milliseconds(0)}, start + seconds(1));
    UNSIGNED_LONGS_EQUAL(5, ledger.counted(start + seconds(1)));
    ledger.settle({kFirst, 3, milliseconds(0)}, start + seconds(8));
    UNSIGNED_LONGS_EQUAL(5, ledger.counted(start + seconds(8)));
    UNSIGNED_LONGS_EQUAL(0, ledger.counted(start + seconds(10)));
}

TEST(QuotaLedger, ASettlementCannotRaiseWhatABatchCounts) {
    ledger.add(kFirst, 3, start);
    ledger.settle({kFirst, 9, milliseconds(0)}, start + seconds(2));
    UNSIGNED_LONGS_EQUAL(3, ledger.counted(start + seconds(2)));
    UNSIGNED_LONGS_EQUAL(0, ledger.counted(start + milliseconds(5001)));
}

TEST(QuotaLedger, ReportsWhenUnitsBecomeFree) {
    ledger.add(kFirst, 3, start);
    ledger.add(kSecond, 3, start + seconds(1));
    CHECK_TRUE(ledger.untilFreed(3, start) == seconds(5));
    CHECK_TRUE(ledger.untilFreed(4, start) == seconds(6));
}

TEST_GROUP(LedgerCopy) {
    TimePoint start{std::chrono::hours(1)};
    LedgerCopy copy;

    static LedgerUpdate update(std::uint64_t number, bool whole, std::uint32_t units,
                               std::uint64_t sequence = 1) {
        LedgerUpdate result;
        result.leaderIncarnation = "n1/5";
        result.copy = number;
        result.sequence = sequence;
        result.whole = whole;
        result.batches.push_back({TenantName("t"), {7, units}, units, milliseconds(500)});
        return result;
    }
    std::uint32_t counted() {
        ShardLedgers ledgers = copy.ledgers();
        return ledgers.at(TenantName("t")).counted(start);
    }
};

TEST(LedgerCopy, HoldsAllBatchesOfTheLeader) {
    CHECK_TRUE(copy.apply(update(1, true, 3), windowOf, start));
    CHECK_TRUE(copy.apply(update(1, false, 4, 2), windowOf, start));
    UNSIGNED_LONGS_EQUAL(7, counted());
    CHECK_TRUE(copy.isOf("n1/5"));
}

TEST(LedgerCopy, AMessageOfAnOlderCopyChangesNothing) {
    copy.apply(update(2, true, 3), windowOf, start);
    CHECK_FALSE(copy.apply(update(1, true, 1), windowOf, start));
    CHECK_FALSE(copy.apply(update(1, false, 2, 2), windowOf, start));
    UNSIGNED_LONGS_EQUAL(3, counted());
}

TEST(LedgerCopy, AnUpdateAfterOneThatWasLostIsNotAcknowledged) {
    copy.apply(update(1, true, 3), windowOf, start);
    CHECK_FALSE(copy.apply(update(1, false, 5, 3), windowOf, start));
    CHECK_TRUE(copy.apply(update(1, false, 4, 2), windowOf, start));
    CHECK_FALSE(copy.apply(update(1, false, 4, 2), windowOf, start));
    UNSIGNED_LONGS_EQUAL(7, counted());
}

TEST(LedgerCopy, UpdatesWithoutTheWholeLedgerAreNotAcknowledged) {
    CHECK_FALSE(copy.apply(update(1, false, 3), windowOf, start));
    CHECK_FALSE(copy.isOf("n1/5"));
}

TEST(LedgerCopy, NothingIsAcknowledgedOnceItIsSealed) {
    copy.apply(update(1, true, 3), windowOf, start);
    copy.seal();
    CHECK_FALSE(copy.apply(update(1, false, 4, 2), windowOf, start));
    CHECK_FALSE(copy.apply(update(2, true, 4), windowOf, start));
    UNSIGNED_LONGS_EQUAL(3, counted());
}

TEST_GROUP(QuotaLease) {
    TimePoint start{std::chrono::hours(1)};
    QuotaLease lease;

    static QuotaResponse granted(const BatchId& batch, std::uint32_t units) {
        QuotaResponse answer;
        answer.batch = batch;
        answer.granted = units;
        return answer;
    }
};

TEST(QuotaLease, UsesEachUnitOnceAndInTime) {
    lease.add(granted(kFirst, 2), start + milliseconds(500), start);
    CHECK_TRUE(lease.takeUnit(start));
    CHECK_FALSE(lease.takeUnit(start + milliseconds(500)));
    UNSIGNED_LONGS_EQUAL(1, lease.takeUnused());
}

TEST(QuotaLease, UnitsThatArriveTooLateAreSettledAsUnused) {
    lease.add(granted(kFirst, 2), start + milliseconds(500), start + milliseconds(700));
    CHECK_FALSE(lease.takeUnit(start + milliseconds(700)));
    const auto settled = lease.settlements(start + milliseconds(700));
    UNSIGNED_LONGS_EQUAL(1, settled.size());
    UNSIGNED_LONGS_EQUAL(0, settled[0].used);
}

TEST(QuotaLease, SettlesEndedBatchesUntilTheLeaderHasAcknowledgedThem) {
    lease.add(granted(kFirst, 2), start + milliseconds(500), start);
    lease.add(granted(kSecond, 1), start + milliseconds(600), start);
    lease.takeUnit(start);
    CHECK_TRUE(lease.settlements(start).empty());
    lease.takeUnit(start + milliseconds(100));
    const auto settled = lease.settlements(start + milliseconds(300));
    UNSIGNED_LONGS_EQUAL(1, settled.size());
    CHECK_TRUE(settled[0] == (BatchSettlement{kFirst, 2, milliseconds(200)}));
    UNSIGNED_LONGS_EQUAL(1, lease.settlements(start + milliseconds(400)).size());
    lease.forget(settled);
    CHECK_TRUE(lease.settlements(start + milliseconds(400)).empty());
}

}  // namespace
}  // namespace coralhoist::tenancy
