#include <CppUTest/TestHarness.h>

#include <string>

#include "pooling/OwnCommitFloors.h"

namespace coralhoist::pooling {
namespace {

TEST_GROUP(OwnCommitFloors) {
    OwnCommitFloors floors;

    static GroupName numbered(std::size_t number) {
        return GroupName("g" + std::to_string(number));
    }
};

TEST(OwnCommitFloors, KeepsAPositionForEachGroup) {
    floors.raise(GroupName("g"), {3, 50});
    floors.raise(GroupName("h"), {1, 7});
    CHECK_TRUE(floors.floorOf(GroupName("g")) == (OpTime{3, 50}));
    CHECK_TRUE(floors.floorOf(GroupName("h")) == (OpTime{1, 7}));
    CHECK_TRUE(floors.floorOf(GroupName("other")) == OpTime{});
}

TEST(OwnCommitFloors, APositionIsNeverLowered) {
    floors.raise(GroupName("g"), {3, 50});
    floors.raise(GroupName("g"), {2, 90});
    floors.raise(GroupName("g"), {});
    CHECK_TRUE(floors.floorOf(GroupName("g")) == (OpTime{3, 50}));
}

/** Guards against a session that keeps a position for every group that it ever used, and against
 * one that takes a dropped position for no commit at all. */
TEST(OwnCommitFloors, DropsTheLeastRecentGroupAndSaysSo) {
    for (std::size_t number = 0; number < OwnCommitFloors::kMaximumGroups; ++number) {
        floors.raise(numbered(number), {1, number + 1});
    }
    floors.raise(numbered(0), {1, 90});
    CHECK_FALSE(floors.mayLackCommits(GroupName("other")));
    floors.raise(GroupName("other"), {1, 1});
    CHECK_TRUE(floors.floorOf(numbered(1)) == OpTime{});
    CHECK_TRUE(floors.mayLackCommits(numbered(1)));
    CHECK_FALSE(floors.mayLackCommits(numbered(0)));
    CHECK_FALSE(floors.mayLackCommits(GroupName("other")));
}

}  // namespace
}  // namespace coralhoist::pooling
