#include <CppUTest/TestHarness.h>

#include "warmup/ColdServers.h"

namespace coralhoist::warmup {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GroupName kGroup{"g"};
const ServerName kServer{"s1"};

}  // namespace

TEST_GROUP(ColdServers) {
    ColdServers servers;
    TimePoint start{std::chrono::hours(1)};

    void setup() override {
        servers.applyGroups({{kGroup, {10, seconds(6)}}}, start);
    }

    void receiveEntry(Duration coldFor, std::uint64_t version, TimePoint now,
                      bool draining = false) {
        pooling::ListedServer listed;
        listed.announcement.address.server = kServer;
        listed.announcement.address.group = kGroup;
        listed.announcement.coldFor = coldFor;
        listed.announcement.draining = draining;
        listed.announcement.version = {0, version};
        servers.applyServers(kGroup, {{kServer, listed}}, now);
    }

    bool isColdAt(Duration later) const {
        return servers.isCold(kGroup, kServer, start + later);
    }
};

TEST(ColdServers, AServerIsColdForTheTimeInItsEntryFromItsReceipt) {
    receiveEntry(seconds(4), 1, start);
    CHECK_TRUE(isColdAt(milliseconds(3999)));
    CHECK_FALSE(isColdAt(seconds(4)));
    CHECK_TRUE(servers.nextWarm() == start + seconds(4));
}

TEST(ColdServers, AServerThatHasBecomeWarmIsReturnedOnce) {
    receiveEntry(seconds(4), 1, start);
    UNSIGNED_LONGS_EQUAL(0, servers.takeWarmed(start + seconds(3)).size());
    UNSIGNED_LONGS_EQUAL(1, servers.takeWarmed(start + seconds(4)).size());
    UNSIGNED_LONGS_EQUAL(0, servers.takeWarmed(start + seconds(5)).size());
    CHECK_TRUE(servers.nextWarm() == TimePoint::max());
}

TEST(ColdServers, ReceivingTheSameVersionAgainProlongsNothing) {
    receiveEntry(seconds(4), 1, start);
    receiveEntry(seconds(4), 1, start + seconds(3));
    CHECK_FALSE(isColdAt(seconds(4)));
}

TEST(ColdServers, ANewerVersionWithAShorterTimeApplies) {
    receiveEntry(seconds(4), 1, start);
    receiveEntry(Duration(0), 2, start + seconds(1));
    CHECK_FALSE(isColdAt(seconds(1)));
}

TEST(ColdServers, AServerThatRestartsUnderItsNameIsColdAgain) {
    receiveEntry(Duration(0), 1, start);
    receiveEntry(seconds(6), 2, start + seconds(10));
    CHECK_TRUE(isColdAt(seconds(15)));
    CHECK_FALSE(isColdAt(seconds(16)));
}

TEST(ColdServers, AServerThatWasLostIsColdUntilItsEntryTellsOtherwise) {
    receiveEntry(Duration(0), 1, start);
    servers.noteLost(kGroup, kServer, start);
    CHECK_TRUE(isColdAt(seconds(100)));
    receiveEntry(Duration(0), 2, start + seconds(2));
    CHECK_FALSE(isColdAt(seconds(2)));
}

TEST(ColdServers, AServerThatWasLostIsColdForAWholeStartFromItsFirstConnection) {
    receiveEntry(Duration(0), 1, start);
    servers.noteLost(kGroup, kServer, start);
    servers.noteOpened(kGroup, kServer, start + seconds(20));
    servers.noteOpened(kGroup, kServer, start + seconds(25));
    CHECK_TRUE(isColdAt(milliseconds(25999)));
    CHECK_FALSE(isColdAt(seconds(26)));
}

TEST(ColdServers, NoServerIsColdWhereTheSettingsHaveNoRate) {
    servers.applyGroups({}, start);
    receiveEntry(seconds(4), 1, start);
    servers.noteLost(kGroup, kServer, start);
    CHECK_FALSE(isColdAt(Duration(0)));
    UNSIGNED_LONGS_EQUAL(0, servers.coldCount(start));
}

TEST(ColdServers, AServerListedBeforeTheSettingsHadARateIsReturnedWhenItBecomesWarm) {
    servers.applyGroups({}, start);
    receiveEntry(seconds(4), 1, start);
    servers.applyGroups({{kGroup, {10, seconds(6)}}}, start + seconds(1));
    CHECK_TRUE(servers.nextWarm() == start + seconds(4));
    UNSIGNED_LONGS_EQUAL(1, servers.takeWarmed(start + seconds(4)).size());
}

TEST(ColdServers, AWarmServerThatDrainsTakesNoWork) {
    receiveEntry(Duration(0), 1, start);
    CHECK_TRUE(servers.hasWarm(kGroup, start));
    receiveEntry(Duration(0), 2, start, true);
    CHECK_FALSE(servers.hasWarm(kGroup, start));
    UNSIGNED_LONGS_EQUAL(0, servers.servingCount(kGroup));
}

}  // namespace coralhoist::warmup
