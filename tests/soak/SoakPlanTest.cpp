#include <CppUTest/TestHarness.h>

#include <set>
#include <sstream>

#include "lab/soak/FaultHealing.h"
#include "lab/soak/ServerSlots.h"
#include "lab/soak/SoakCases.h"
#include "lab/soak/SoakPlan.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(SoakPlan){};

TEST(SoakPlan, IsTheSameForTheSameSeed) {
    const std::vector<PlannedFault> one = drawPlan(7, seconds(20));
    const std::vector<PlannedFault> other = drawPlan(7, seconds(20));
    CHECK_EQUAL(one.size(), other.size());
    for (std::size_t index = 0; index < one.size(); ++index) {
        CHECK(one[index].at == other[index].at);
        CHECK(one[index].fault == other[index].fault);
        CHECK(one[index].lasts == other[index].lasts);
        CHECK(one[index].target == other[index].target);
    }
}

TEST(SoakPlan, HasEachKindOverSomeSeedsAndKeepsToItsTime) {
    std::set<SoakFault> kinds;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const PlannedFault& planned : drawPlan(seed, seconds(20))) {
            CHECK(planned.at < seconds(20));
            CHECK(planned.fault < SoakFault::Count);
            kinds.insert(planned.fault);
        }
    }
    LONGS_EQUAL(static_cast<long>(SoakFault::Count), static_cast<long>(kinds.size()));
}

TEST_GROUP(ServerSlots) {
    ServerSlots slots;
    int served = 0;

    void acquire() {
        slots.acquire([this] { ++served; });
    }
};

TEST(ServerSlots, CommandsBeyondTheSlotsWaitAndFurtherOnesAreRefused) {
    ServerLoad load;
    load.slots = 1;
    load.longestQueue = 1;
    slots.setLoad(load);
    acquire();
    CHECK_FALSE(slots.isQueueFull());
    acquire();
    LONGS_EQUAL(1, served);
    CHECK_TRUE(slots.isQueueFull());
    slots.release();
    LONGS_EQUAL(2, served);
    CHECK_FALSE(slots.isQueueFull());
}

TEST(ServerSlots, MoreSlotsServeTheQueueAtOnce) {
    ServerLoad load;
    load.slots = 1;
    slots.setLoad(load);
    acquire();
    acquire();
    acquire();
    LONGS_EQUAL(1, served);
    slots.setLoad({});
    LONGS_EQUAL(3, served);
}

TEST_GROUP(FaultHealing) {
    simulation::EventQueue queue;
    FaultHealing healing{queue};
    int healed = 0;
};

TEST(FaultHealing, EachFaultIsHealedOnce) {
    healing.after(milliseconds(100), [this] { ++healed; });
    healing.after(milliseconds(300), [this] { ++healed; });
    queue.runFor(milliseconds(200));
    LONGS_EQUAL(1, healed);
    healing.healAll();
    LONGS_EQUAL(2, healed);
    queue.runFor(milliseconds(200));
    LONGS_EQUAL(2, healed);
}

TEST_GROUP(SoakCases){};

TEST(SoakCases, ReadsCasesAndPassesOverComments) {
    std::istringstream text("# cause of the next one\n12 15 4\n\n13 20 12  # open\n");
    const auto cases = readCases(text);
    CHECK_TRUE(cases.has_value());
    LONGS_EQUAL(2, cases->size());
    LONGS_EQUAL(12, cases->front().seed);
    LONGS_EQUAL(20, cases->back().seconds);
    LONGS_EQUAL(12, cases->back().proxies);
}

TEST(SoakCases, RefusesALineThatIsNoCase) {
    for (const char* line : {"12 15\n", "12 15 4 9\n", "x 15 4\n", "12 0 4\n"}) {
        std::istringstream text(line);
        CHECK_FALSE(readCases(text).has_value());
    }
}

}  // namespace
}  // namespace coralhoist::soak
