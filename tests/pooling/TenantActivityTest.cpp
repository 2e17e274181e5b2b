#include <CppUTest/TestHarness.h>

#include "pooling/TenantActivity.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::seconds;

TEST_GROUP(TenantActivity) {
    TenantActivity activity;
    TimePoint now{std::chrono::hours(1)};
};

TEST(TenantActivity, GrowsWithEachStatementAndFades) {
    DOUBLES_EQUAL(0, activity.of(TenantName("a"), now), 1e-9);
    activity.note(TenantName("a"), now);
    activity.note(TenantName("a"), now);
    DOUBLES_EQUAL(2, activity.of(TenantName("a"), now), 1e-9);
    const double later = activity.of(TenantName("a"), now + seconds(5));
    CHECK_TRUE(later > 0.7 && later < 0.75);
}

}  // namespace
}  // namespace coralhoist::pooling
