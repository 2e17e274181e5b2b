#include <CppUTest/TestHarness.h>

#include "lab/soak/QuotaJudge.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TenantName kTenant{"t"};
/** (1 x 5 + 1) x 1.1 + 20. */
const std::map<TenantName, tenancy::TenantQuota> kQuotas{{kTenant, {1, 1}}};
constexpr std::uint64_t kBound = 26;

TEST_GROUP(QuotaJudge) {
    testing::ManualClock clock;
    QuotaJudge judge{{seconds(5), 0.1, 20}, clock};
    std::uint64_t units = 0;

    std::string send() {
        ++units;
        const std::string statement = "s" + std::to_string(units);
        judge.onSent(statement, kTenant, units);
        return statement;
    }
    void run(const std::string& statement) {
        judge.onArrived(statement);
        judge.onRan(statement);
    }
    void sendAndRun(std::uint64_t count) {
        for (std::uint64_t sent = 0; sent < count; ++sent) {
            run(send());
        }
    }
};

TEST(QuotaJudge, CountsUnitsOfAWindow) {
    sendAndRun(kBound);
    CHECK_TRUE(judge.violations(kQuotas).empty());
    clock.advance(milliseconds(5000));
    sendAndRun(1);
    LONGS_EQUAL(1, judge.violations(kQuotas).size());
}

TEST(QuotaJudge, AWindowEnds) {
    sendAndRun(kBound);
    clock.advance(milliseconds(5001));
    sendAndRun(kBound);
    CHECK_TRUE(judge.violations(kQuotas).empty());
}

TEST(QuotaJudge, AUnitCountsOnceHoweverManyStatementsOfItRun) {
    judge.onSent("a", kTenant, 1);
    judge.onSent("b", kTenant, 1);
    run("a");
    run("b");
    run("b");
    LONGS_EQUAL(1, judge.busiestWindow(kTenant));
}

TEST(QuotaJudge, WhatDidNotRunOrWasSentEarlierDoesNotCount) {
    judge.onArrived(send());
    const std::string early = send();
    clock.advance(milliseconds(1));
    sendAndRun(1);
    clock.advance(milliseconds(5000));
    run(early);
    LONGS_EQUAL(1, judge.busiestWindow(kTenant));
}

}  // namespace
}  // namespace coralhoist::soak
