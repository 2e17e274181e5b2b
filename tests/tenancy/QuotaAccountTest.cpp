#include <CppUTest/TestHarness.h>

#include "tenancy/QuotaAccount.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TenantQuota kQuota{100, 50};

QuotaQuestion wanting(std::uint32_t units, std::uint32_t returned = 0) {
    return {TenantName("t"), units, returned};
}

TEST_GROUP(QuotaAccount) {
    QuotaTerms terms{seconds(5), 0.1, 20};
    TimePoint start{std::chrono::hours(1)};
};

TEST(QuotaAccount, StartsAlmostEmptySinceAnotherAccountMayHaveGrantedTheBurst) {
    QuotaAccount account(terms, start);
    const QuotaAnswer answer = account.grant(kQuota, wanting(50), start);
    LONGS_EQUAL(5, answer.granted);
    CHECK_TRUE(answer.scarce);
    CHECK_TRUE(answer.retryAfter > milliseconds(385) && answer.retryAfter < milliseconds(395));
}

TEST(QuotaAccount, BurstRateAndStartMakeUpTheBound) {
    const double span = std::chrono::duration<double>(terms.window + terms.lease()).count();
    DOUBLES_EQUAL(625, terms.bound(kQuota), 1e-9);
    DOUBLES_EQUAL(625, terms.burst(kQuota) + terms.start() + terms.rate(kQuota) * span, 1e-9);
}

TEST(QuotaAccount, GrantsNoMoreThanRateAndBurst) {
    QuotaAccount account(terms, start);
    account.grant(kQuota, wanting(1000), start);
    std::uint32_t granted = 0;
    for (int tenth = 1; tenth <= 52; ++tenth) {
        granted += account.grant(kQuota, wanting(1000), start + tenth * milliseconds(100)).granted;
    }
    CHECK_TRUE(granted > 590);
    CHECK_TRUE(granted <= 607);
    LONGS_EQUAL(12, account.grant(kQuota, wanting(1000), start + seconds(60)).granted);
}

TEST(QuotaAccount, UnitsThatExpiredUnusedCanBeGrantedAgain) {
    QuotaAccount account(terms, start);
    account.grant(kQuota, wanting(1000), start);
    LONGS_EQUAL(0, account.grant(kQuota, wanting(4), start).granted);
    LONGS_EQUAL(3, account.grant(kQuota, wanting(4, 3), start).granted);
}

TEST(QuotaAccount, ATenantBelowItsQuotaIsNotScarce) {
    QuotaAccount account(terms, start);
    account.grant(kQuota, wanting(1), start);
    CHECK_FALSE(account.grant(kQuota, wanting(4), start + seconds(5)).scarce);
}

TEST(QuotaAccount, AQuotaOfZeroLeavesTheSlackAlone) {
    QuotaAccount account(terms, start);
    LONGS_EQUAL(5, account.grant({0, 0}, wanting(100), start).granted);
    LONGS_EQUAL(0, account.grant({0, 0}, wanting(100), start + milliseconds(10)).granted);
}

}  // namespace
}  // namespace coralhoist::tenancy
