#include <CppUTest/TestHarness.h>

#include "pooling/SlotTimeEstimates.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(SlotTimeEstimates) {
    SlotTimeEstimates estimates;
    ServiceName service{"orders"};
};

TEST(SlotTimeEstimates, AnUnknownServiceIsExpectedToTakeNoTime) {
    CHECK(estimates.expected(service, UnitKind::Read) == Duration(0));
}

TEST(SlotTimeEstimates, KindsOfAServiceAreKeptApart) {
    estimates.add(service, UnitKind::Read, milliseconds(5));
    estimates.add(service, UnitKind::Transaction, milliseconds(50));
    CHECK(estimates.expected(service, UnitKind::Read) == milliseconds(5));
    CHECK(estimates.expected(service, UnitKind::Transaction) == milliseconds(50));
}

TEST(SlotTimeEstimates, AnUnobservedKindIsExpectedToTakeAsLongAsTheLongest) {
    estimates.add(service, UnitKind::Read, milliseconds(5));
    estimates.add(service, UnitKind::Transaction, milliseconds(50));
    CHECK(estimates.expected(service, UnitKind::Write) == milliseconds(50));
}

TEST(SlotTimeEstimates, FollowsWhatIsObserved) {
    estimates.add(service, UnitKind::Read, milliseconds(5));
    for (int index = 0; index < 100; ++index) {
        estimates.add(service, UnitKind::Read, milliseconds(20));
    }
    CHECK(estimates.expected(service, UnitKind::Read) > milliseconds(19));
    CHECK(estimates.expected(service, UnitKind::Read) <= milliseconds(20));
}

}  // namespace
}  // namespace coralhoist::pooling
