#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "link/store/ObjectTable.h"
#include "tests/support/StoreVersions.h"

namespace coralhoist::store {
namespace {

using testing::at;

StoredObject object(const std::string& name, std::uint64_t version) {
    return {name, at(version), {{"v", static_cast<qint64>(version)}}};
}

TEST_GROUP(ObjectTable) {
    ObjectTable table;

    /** @return names and versions of the changes, removed ones marked. */
    std::string changesAfter(std::optional<std::uint64_t> revision) const {
        const auto position = revision ? std::optional(at(*revision)) : std::nullopt;
        const std::optional<ObjectChanges> changes = table.changesAfter(position);
        if (!changes) {
            return "none";
        }
        std::string text = changes->complete ? "all:" : "";
        for (const ObjectEvent& event : changes->events) {
            text += (event.removed ? " -" : " ") + event.object.name + "@" +
                    std::to_string(event.object.version.revision);
        }
        return text;
    }
};

TEST(ObjectTable, WhoKnowsNothingGetsAllObjects) {
    table.takeList({object("a", 3), object("b", 5)}, at(10));
    STRCMP_EQUAL("all: a@3 b@5", changesAfter(std::nullopt).c_str());
    UNSIGNED_LONGS_EQUAL(10, table.changesAfter(std::nullopt)->position.revision);
}

TEST(ObjectTable, ChangesFollowTheirVersions) {
    table.takeList({object("a", 3), object("b", 5)}, at(10));
    table.takeEvent({object("b", 14), false});
    table.takeEvent({object("a", 12), true});
    table.advanceTo(at(14));
    STRCMP_EQUAL(" -a@12 b@14", changesAfter(10).c_str());
    STRCMP_EQUAL(" b@14", changesAfter(12).c_str());
    STRCMP_EQUAL("none", changesAfter(14).c_str());
    STRCMP_EQUAL("none", changesAfter(99).c_str());
}

TEST(ObjectTable, WhatAListLacksWasRemoved) {
    table.takeList({object("a", 3), object("b", 5)}, at(10));
    table.takeList({object("b", 5)}, at(20));
    STRCMP_EQUAL(" -a@20", changesAfter(10).c_str());
    STRCMP_EQUAL("all: b@5", changesAfter(std::nullopt).c_str());
}

TEST(ObjectTable, WhoKnowsLessThanTheFirstListGetsAllObjects) {
    table.takeList({object("b", 5)}, at(10));
    STRCMP_EQUAL("all: b@5", changesAfter(9).c_str());
    STRCMP_EQUAL("none", changesAfter(10).c_str());
}

TEST(ObjectTable, NothingIsReplacedByAnOlderVersion) {
    table.takeList({object("a", 30)}, at(30));
    table.takeEvent({object("a", 20), true});
    table.takeList({object("a", 20)}, at(25));
    STRCMP_EQUAL("all: a@30", changesAfter(std::nullopt).c_str());
    UNSIGNED_LONGS_EQUAL(30, table.position().revision);
}

TEST(ObjectTable, AnObjectNewerThanAnOldListStays) {
    table.takeList({}, at(10));
    table.takeEvent({object("a", 15), false});
    table.takeList({}, at(12));
    STRCMP_EQUAL("all: a@15", changesAfter(std::nullopt).c_str());
}

TEST(ObjectTable, ForgottenRemovalsLeadToAllObjects) {
    table.takeList({object("kept", 1)}, at(1));
    constexpr std::uint64_t kMany = 1200;
    for (std::uint64_t version = 2; version < 2 + kMany; ++version) {
        table.takeEvent({object("n" + std::to_string(version), version), true});
    }
    table.advanceTo(at(2 + kMany));
    STRCMP_EQUAL("all: kept@1", changesAfter(1).c_str());
    UNSIGNED_LONGS_EQUAL(1, table.changesAfter(at(kMany))->events.size());
}

TEST(ObjectTable, OneTableTakesTheChangesOfAnother) {
    ObjectTable copy;
    table.takeList({object("a", 3), object("b", 5)}, at(10));
    copy.takeChanges(*table.changesAfter(std::nullopt));
    table.takeEvent({object("a", 12), true});
    table.takeEvent({object("c", 13), false});
    table.advanceTo(at(13));
    copy.takeChanges(*table.changesAfter(copy.position()));
    UNSIGNED_LONGS_EQUAL(13, copy.position().revision);
    const ObjectChanges all = *copy.changesAfter(std::nullopt);
    UNSIGNED_LONGS_EQUAL(2, all.events.size());
    STRCMP_EQUAL("b", all.events[0].object.name.c_str());
    STRCMP_EQUAL("c", all.events[1].object.name.c_str());
}

/** What the store gave out again means something else; what it has lost is gone. */
TEST(ObjectTable, AListOfALaterEraReplacesEverythingThoughItsRevisionsAreLower) {
    table.takeList({object("a", 30), object("lost", 31)}, at(40));
    table.takeList({{"a", {1, 20}, {}}}, {1, 25});
    STRCMP_EQUAL("all: a@20", changesAfter(std::nullopt).c_str());
    CHECK_TRUE(table.position() == (StoreVersion{1, 25}));
    CHECK_TRUE(table.isListedIn(1));
}

TEST(ObjectTable, NothingOfAnEarlierEraIsTaken) {
    table.takeList({{"a", {2, 20}, {}}}, {2, 25});
    CHECK_FALSE(table.takeList({{"a", {1, 90}, {}}, {"b", {1, 92}, {}}}, {1, 95}));
    table.takeEvent({{"b", {1, 91}, {}}, false});
    table.advanceTo({1, 99});
    STRCMP_EQUAL("all: a@20", changesAfter(std::nullopt).c_str());
    CHECK_TRUE(table.position() == (StoreVersion{2, 25}));
}

TEST(ObjectTable, AChangeOfALaterEraWaitsForItsList) {
    table.takeList({object("a", 3)}, at(10));
    table.takeEvent({{"b", {1, 4}, {}}, false});
    STRCMP_EQUAL("all: a@3", changesAfter(std::nullopt).c_str());
}

/** The position of the former era lies above that of the present one. */
TEST(ObjectTable, WhoKnowsAnEarlierEraGetsAllObjects) {
    table.takeList({{"a", {2, 20}, {}}}, {2, 25});
    const auto changes = table.changesAfter(StoreVersion{1, 99});
    CHECK_TRUE(changes.has_value());
    CHECK_TRUE(changes->complete);
}

/** @return objects that were looked at to tell ten receivers of one change among so many objects.
 */
std::uint64_t workOfOneChange(std::uint64_t objects) {
    constexpr int kReceivers = 10;
    ObjectTable table;
    std::vector<StoredObject> all;
    for (std::uint64_t version = 1; version <= objects; ++version) {
        all.push_back(object("n" + std::to_string(version), version));
    }
    table.takeList(all, at(objects));
    table.takeEvent({object("n7", objects + 1), false, nullptr});
    table.advanceTo(at(objects + 1));
    for (int receiver = 0; receiver < kReceivers; ++receiver) {
        UNSIGNED_LONGS_EQUAL(1, table.changesAfter(at(objects))->events.size());
        CHECK_FALSE(table.changesAfter(at(objects + 1)).has_value());
    }
    return table.objectsExamined();
}

TEST(ObjectTable, TheWorkOfTellingAChangeDoesNotGrowWithTheObjects) {
    UNSIGNED_LONGS_EQUAL(workOfOneChange(100), workOfOneChange(3000));
}

/** A power cut of a zone takes a third of an estate's servers with it. */
TEST(ObjectTable, TheLossOfAThirdOfTheObjectsIsToldAsChanges) {
    for (const std::uint64_t objects : {600U, 6000U}) {
        ObjectTable estate;
        std::vector<StoredObject> all;
        for (std::uint64_t version = 1; version <= objects; ++version) {
            all.push_back(object("n" + std::to_string(version), version));
        }
        estate.takeList(all, at(objects));
        const std::uint64_t lost = objects / 3;
        for (std::uint64_t index = 1; index <= lost; ++index) {
            estate.takeEvent({object("n" + std::to_string(index), objects + index), true, nullptr});
        }
        estate.advanceTo(at(objects + lost));
        const ObjectChanges changes = *estate.changesAfter(at(objects));
        CHECK_FALSE(changes.complete);
        UNSIGNED_LONGS_EQUAL(lost, changes.events.size());
    }
}

}  // namespace
}  // namespace coralhoist::store
