#include <CppUTest/TestHarness.h>

#include "placement/RegionUse.h"

namespace coralhoist::placement {
namespace {

TEST_GROUP(RegionUse) {
    const locality::RegionMap regions{{{ZoneName("north-1"), RegionName("north")},
                                       {ZoneName("north-2"), RegionName("north")},
                                       {ZoneName("south-1"), RegionName("south")}}};
    RegionUse use{regions, ZoneName("north-1")};
    const GroupName group{"g"};
    const ServiceName service{"s"};
    const TenantName tenant;
    const ServerName server{"d"};

    void send(const char* zone, bool isPrimary) {
        const ZoneName place(zone);
        use.noteSent({group, service, tenant, 0, isPrimary}, {server, place, isPrimary});
    }
};

TEST(RegionUse, CountsWhereStatementsAreSent) {
    send("north-2", false);
    send("north-1", false);
    send("south-1", false);
    send("south-1", true);
    send("north-1", true);
    UNSIGNED_LONGS_EQUAL(2, use.readsHere());
    UNSIGNED_LONGS_EQUAL(1, use.readsElsewhere());
    UNSIGNED_LONGS_EQUAL(1, use.primaryHere());
    UNSIGNED_LONGS_EQUAL(1, use.primaryElsewhere());
}

TEST(RegionUse, RestrictsNothing) {
    const ZoneName far("south-1");
    CHECK_TRUE(use.mayBegin({group, service, tenant, 0, false}, {server, far, false}).isAllowed());
    CHECK_TRUE(
        use.mayContinue({group, service, tenant, 0, false}, {server, far, false}).isAllowed());
    CHECK_TRUE(use.mayForwardTo({group, service, tenant, 0, false}, far));
}

}  // namespace
}  // namespace coralhoist::placement
