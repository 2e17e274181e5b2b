#include <CppUTest/TestHarness.h>

#include "locality/EvacuatedZones.h"

namespace coralhoist::locality {
namespace {

using std::chrono::milliseconds;

constexpr Duration kBound = milliseconds(4000);
/** The bound without the margin. */
constexpr Duration kUsable = milliseconds(3500);

}  // namespace

TEST_GROUP(EvacuatedZones) {
    EvacuatedZones zones{kBound};
    TimePoint now{std::chrono::hours(1)};
    TimePoint provenAt = now - milliseconds(1000);
    const ZoneName first{"a"};
    const ZoneName second{"b"};

    void list(const std::map<ZoneName, StoreVersion>& shown, const StoreVersion& version) {
        zones.takeList(shown, version, provenAt, now);
    }
    void write(const ZoneName& zone, const StoreVersion& version) {
        zones.takeEvacuation(zone, version, provenAt, now);
    }
    void pass(Duration span) {
        now += span;
    }
    void check(ZoneUse use, const ZoneName& zone) {
        CHECK_TRUE(use == zones.useOf(zone, now));
    }
};

TEST(EvacuatedZones, AZoneClosesAMarginBeforeTheBoundFromWhatIsProven) {
    list({}, {0, 10});
    write(first, {0, 11});
    check(ZoneUse::Leaving, first);
    check(ZoneUse::Free, second);
    CHECK_TRUE(provenAt + kUsable == zones.nextClosing(now));
    pass(milliseconds(2499));
    check(ZoneUse::Leaving, first);
    pass(milliseconds(1));
    check(ZoneUse::Closed, first);
    CHECK_FALSE(zones.nextClosing(now).has_value());
}

TEST(EvacuatedZones, ANodeThatWasProvenNothingClosesAtOnce) {
    provenAt = TimePoint{};
    now = TimePoint(milliseconds(1));
    list({{first, {0, 11}}}, {0, 12});
    check(ZoneUse::Closed, first);
}

TEST(EvacuatedZones, AnOldProofLeavesNoTime) {
    provenAt = now - milliseconds(3600);
    write(first, {0, 11});
    check(ZoneUse::Closed, first);
}

TEST(EvacuatedZones, ALaterProofOfTheSameEvacuationGivesNoMoreTime) {
    write(first, {0, 11});
    provenAt = now;
    list({{first, {0, 11}}}, {0, 20});
    write(first, {0, 21});
    CHECK_TRUE(now - milliseconds(1000) + kUsable == zones.nextClosing(now));
}

TEST(EvacuatedZones, ItEndsByALaterListOrRemovalAlone) {
    write(first, {0, 11});
    write(second, {0, 15});
    list({}, {0, 14});
    check(ZoneUse::Free, first);
    check(ZoneUse::Leaving, second);
    zones.takeRemoval(second, {0, 13});
    check(ZoneUse::Leaving, second);
    zones.takeRemoval(second, {0, 16});
    check(ZoneUse::Free, second);
}

TEST(EvacuatedZones, WithoutNewsNothingEnds) {
    write(first, {0, 11});
    pass(std::chrono::hours(1));
    zones.noteProven(now);
    check(ZoneUse::Closed, first);
}

TEST(EvacuatedZones, ALateMessageRestoresNoEvacuation) {
    write(first, {0, 11});
    zones.takeRemoval(first, {0, 14});
    write(first, {0, 11});
    list({{first, {0, 11}}}, {0, 12});
    check(ZoneUse::Free, first);
    list({}, {0, 20});
    list({{first, {0, 15}}}, {0, 18});
    check(ZoneUse::Free, first);
}

TEST(EvacuatedZones, EachEvacuationInASeriesHasItsOwnDeadline) {
    std::uint64_t revision = 10;
    for (int round = 0; round < 3; ++round) {
        provenAt = now;
        write(first, {0, ++revision});
        check(ZoneUse::Leaving, first);
        pass(milliseconds(3000));
        zones.takeRemoval(first, {0, ++revision});
        check(ZoneUse::Free, first);
        CHECK_FALSE(zones.nextClosing(now).has_value());
    }
    provenAt = now;
    write(first, {0, ++revision});
    CHECK_TRUE(now + kUsable == zones.nextClosing(now));
    UNSIGNED_LONGS_EQUAL(7, zones.changes());
}

TEST(EvacuatedZones, AllZonesMayBeEvacuated) {
    list({{first, {0, 11}}, {second, {0, 12}}}, {0, 12});
    check(ZoneUse::Leaving, first);
    check(ZoneUse::Leaving, second);
    pass(kBound);
    check(ZoneUse::Closed, first);
    check(ZoneUse::Closed, second);
}

TEST(EvacuatedZones, AnOlderStoreWithoutItGivesNothingBackUntilProven) {
    list({{first, {1, 11}}}, {1, 20});
    pass(milliseconds(500));
    list({}, {2, 9});
    check(ZoneUse::Leaving, first);
    list({}, {2, 10});
    zones.noteProven(provenAt);
    check(ZoneUse::Leaving, first);
    pass(milliseconds(1000));
    zones.noteProven(now);
    check(ZoneUse::Free, first);
}

TEST(EvacuatedZones, WrittenAgainAfterARestoreItKeepsItsDeadline) {
    list({{first, {1, 11}}}, {1, 20});
    const auto closing = zones.nextClosing(now);
    pass(milliseconds(500));
    list({}, {2, 9});
    provenAt = now;
    write(first, {2, 10});
    pass(milliseconds(1000));
    zones.noteProven(now);
    check(ZoneUse::Leaving, first);
    CHECK_TRUE(closing == zones.nextClosing(now));
}

TEST(EvacuatedZones, ASecondRestoreRestartsTheWait) {
    list({{first, {1, 11}}}, {1, 20});
    list({}, {2, 9});
    pass(milliseconds(500));
    list({}, {3, 9});
    zones.noteProven(now - milliseconds(100));
    check(ZoneUse::Leaving, first);
    zones.noteProven(now + milliseconds(1));
    check(ZoneUse::Free, first);
}

TEST(EvacuatedZones, AnOlderStoreWithOneThatWasTakenBackShowsItUntilItIsTakenBackAgain) {
    list({{first, {1, 11}}}, {1, 20});
    zones.takeRemoval(first, {1, 21});
    check(ZoneUse::Free, first);
    list({{first, {2, 11}}}, {2, 15});
    check(ZoneUse::Leaving, first);
    zones.takeRemoval(first, {2, 16});
    check(ZoneUse::Free, first);
}

TEST(EvacuatedZones, NothingOfAnEarlierEraCounts) {
    list({{first, {2, 11}}}, {2, 15});
    list({}, {1, 99});
    zones.takeRemoval(first, {1, 99});
    check(ZoneUse::Leaving, first);
    write(second, {1, 99});
    check(ZoneUse::Free, second);
}

}  // namespace coralhoist::locality
