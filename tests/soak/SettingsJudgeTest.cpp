#include <CppUTest/TestHarness.h>

#include "lab/soak/SettingsJudge.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(SettingsJudge) {
    testing::ManualClock clock;
    SettingsJudge judge{2, {}, clock};

    void setup() override {
        clock.advance(milliseconds(4000));
        judge.onAdded("a");
    }
    void answer(std::size_t proxy, bool served) {
        judge.onAnswer(proxy, "a", served, clock.now());
    }
};

TEST(SettingsJudge, ADatabaseMayBeUnknownWithinTheBoundAndNotAfterIt) {
    clock.advance(milliseconds(3000));
    answer(0, false);
    CHECK_TRUE(judge.violations().empty());
    CHECK_FALSE(judge.knownToAll().has_value());
    clock.advance(milliseconds(1));
    CHECK_TRUE(judge.knownToAll() == std::string("a"));
    answer(0, true);
    CHECK_TRUE(judge.violations().empty());
    answer(1, false);
    UNSIGNED_LONGS_EQUAL(1, judge.violations().size());
}

TEST(SettingsJudge, ADroppedDatabaseMustNotBeServedAfterTheBound) {
    judge.onDropped("a");
    clock.advance(milliseconds(3000));
    answer(0, true);
    CHECK_TRUE(judge.violations().empty());
    clock.advance(milliseconds(1));
    CHECK_TRUE(judge.droppedByAll() == std::string("a"));
    answer(0, true);
    UNSIGNED_LONGS_EQUAL(1, judge.violations().size());
}

TEST(SettingsJudge, TroubleSuspendsThePromiseForAWhileBeyondItsEnd) {
    judge.setProxyTroubled(0, true);
    clock.advance(milliseconds(5000));
    answer(0, false);
    judge.setProxyTroubled(0, false);
    clock.advance(milliseconds(3999));
    answer(0, false);
    CHECK_TRUE(judge.violations().empty());
    answer(1, false);
    UNSIGNED_LONGS_EQUAL(1, judge.violations().size());
    clock.advance(milliseconds(1));
    answer(0, false);
    UNSIGNED_LONGS_EQUAL(2, judge.violations().size());
}

TEST(SettingsJudge, TroubleOfTheStoreSuspendsItForAll) {
    judge.setStoreTroubled(true);
    judge.setStoreTroubled(true);
    judge.setStoreTroubled(false);
    clock.advance(milliseconds(9000));
    answer(0, false);
    answer(1, false);
    CHECK_TRUE(judge.violations().empty());
    UNSIGNED_LONGS_EQUAL(0, judge.judged());
}

}  // namespace
}  // namespace coralhoist::soak
