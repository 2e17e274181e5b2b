#include <CppUTest/TestHarness.h>

#include "pooling/ServerDirectory.h"
#include "pooling/ServerIncarnation.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::seconds;

const GroupName kGroup{"g"};

TEST_GROUP(ServerDirectory) {
    testing::ManualClock clock;
    ServerDirectory directory;

    static ServerAnnouncement incarnation(std::int64_t startedAt, std::uint64_t version,
                                          const char* group = "g") {
        ServerAnnouncement announcement;
        announcement.address.group = GroupName(group);
        announcement.address.server = incarnationName("s1", startedAt);
        announcement.version.revision = version;
        return announcement;
    }
    bool put(const ServerAnnouncement& announcement) {
        return directory.put(announcement, clock.now());
    }
    bool isListed(std::int64_t startedAt, const GroupName& group = kGroup) const {
        const auto& servers = directory.serversOf(group);
        const auto found = servers.find(incarnationName("s1", startedAt));
        return found != servers.end() && !found->second.removed;
    }
};

TEST(ServerDirectory, ARestartedServerIsADifferentServer) {
    CHECK_TRUE(put(incarnation(100, 5)));
    CHECK_TRUE(put(incarnation(200, 6)));
    CHECK_FALSE(isListed(100));
    CHECK_TRUE(isListed(200));
    STRCMP_EQUAL("s1", idOf(incarnationName("s1", 200)).c_str());
}

/** Clocks are not trusted: a later incarnation may report an earlier start time. */
TEST(ServerDirectory, TheOrderOfStartTimesIsIgnored) {
    put(incarnation(200, 5));
    CHECK_TRUE(put(incarnation(100, 6)));
    CHECK_TRUE(isListed(100));
    CHECK_FALSE(isListed(200));
}

/** The store may carry out a write seconds after it was sent, under a higher version. */
TEST(ServerDirectory, ALateEntryOfAFormerIncarnationReplacesNoLaterOne) {
    put(incarnation(100, 5));
    put(incarnation(200, 6));
    CHECK_FALSE(put(incarnation(100, 7)));
    CHECK_TRUE(isListed(200));
    directory.replaceAll({incarnation(100, 7)}, {0, 8}, clock.now());
    CHECK_TRUE(isListed(200));
    CHECK_FALSE(isListed(100));
    CHECK_FALSE(put(incarnation(100, 4)));
    CHECK_TRUE(put(incarnation(200, 9)));
}

TEST(ServerDirectory, AnOlderEntryOfAnotherIncarnationChangesNothing) {
    put(incarnation(200, 6));
    CHECK_FALSE(put(incarnation(100, 5)));
    CHECK_TRUE(isListed(200));
    CHECK_FALSE(isListed(100));
}

TEST(ServerDirectory, ARemovedIdRemovesWhicheverIncarnationIsListed) {
    put(incarnation(100, 5));
    put(incarnation(200, 6));
    CHECK_TRUE(directory.remove(ServerName("s1"), {0, 7}, clock.now()));
    CHECK_FALSE(isListed(200));
    CHECK_TRUE(directory.groupOf(ServerName("s1")) == kGroup);
}

TEST(ServerDirectory, AListWithoutTheServerRemovesIt) {
    put(incarnation(100, 5));
    directory.replaceAll({}, {0, 6}, clock.now());
    CHECK_FALSE(isListed(100));
}

TEST(ServerDirectory, AServerThatChangesItsGroupLeavesTheFormerOne) {
    put(incarnation(100, 5));
    CHECK_TRUE(put(incarnation(100, 6, "h")));
    CHECK_FALSE(isListed(100));
    CHECK_TRUE(isListed(100, GroupName("h")));
}

TEST(ServerDirectory, IncarnationsAreForgottenAfterAWhile) {
    put(incarnation(100, 5));
    put(incarnation(200, 6));
    clock.advance(seconds(16));
    directory.expire(clock.now(), seconds(15));
    UNSIGNED_LONGS_EQUAL(1, directory.serversOf(kGroup).size());
}

/** Guards against a crash of every proxy after a server has started again and left at once: both
 * incarnations are forgotten in one step. */
TEST(ServerDirectory, IncarnationsThatEndTogetherAreForgottenTogether) {
    put(incarnation(100, 5));
    put(incarnation(200, 6));
    directory.remove(ServerName("s1"), {0, 7}, clock.now());
    clock.advance(seconds(16));
    directory.expire(clock.now(), seconds(15));
    UNSIGNED_LONGS_EQUAL(0, directory.serversOf(kGroup).size());
    CHECK_TRUE(directory.groupOf(ServerName("s1")) == GroupName());
    CHECK_TRUE(put(incarnation(300, 8)));
    CHECK_TRUE(isListed(300));
}

/** An entry without a start time, under the id of a server that reports one, is by another writer.
 */
TEST(ServerDirectory, AnEntryOfAnotherWriterNamesNoServerAndEndsNoLife) {
    put(incarnation(100, 5));
    ServerAnnouncement foreign = incarnation(100, 6);
    foreign.address.server = ServerName("s1");
    CHECK_TRUE(put(foreign));
    CHECK_FALSE(isListed(100));
    UNSIGNED_LONGS_EQUAL(1, directory.serversOf(kGroup).size());
    CHECK_TRUE(put(incarnation(100, 7)));
    CHECK_TRUE(isListed(100));
}

TEST(ServerDirectory, AnOlderEntryOfAnotherWriterChangesNothing) {
    put(incarnation(100, 5));
    ServerAnnouncement foreign = incarnation(100, 4);
    foreign.address.server = ServerName("s1");
    CHECK_FALSE(put(foreign));
    CHECK_TRUE(isListed(100));
}

TEST_GROUP(ServerDirectoryReturn) {
    ServerDirectory directory;
    testing::ManualClock clock;
    const ServerName server{"s1"};

    ServerAnnouncement announcement(StoreVersion version, std::uint64_t sequence, bool draining) {
        ServerAnnouncement result;
        result.address.group = kGroup;
        result.address.server = server;
        result.version = version;
        result.sequence = sequence;
        result.draining = draining;
        return result;
    }
    const ListedServer& listed() const {
        return directory.serversOf(kGroup).at(server);
    }
};

/** The store returns the entry that the server had written before it announced that it drains. */
TEST(ServerDirectoryReturn, ADrainingServerKeepsDrainingAfterTheStoreReverted) {
    directory.put(announcement({1, 50}, 9, true), clock.now());
    directory.replaceAll({announcement({2, 40}, 7, false)}, {2, 45}, clock.now());
    CHECK_TRUE(listed().announcement.draining);
    CHECK_FALSE(listed().removed);
    CHECK_TRUE(directory.put(announcement({2, 46}, 10, false), clock.now()));
    CHECK_FALSE(listed().announcement.draining);
}

TEST(ServerDirectoryReturn, AServerThatTheStoreLostHasTimeToWriteItsEntryAgain) {
    directory.put(announcement({1, 50}, 9, false), clock.now());
    directory.replaceAll({}, {2, 40}, clock.now());
    CHECK_FALSE(listed().removed);
    clock.advance(std::chrono::milliseconds(1999));
    directory.takeChanged();
    directory.removeUnconfirmed(clock.now());
    CHECK_TRUE(directory.takeChanged().empty());
    clock.advance(std::chrono::milliseconds(1));
    directory.removeUnconfirmed(clock.now());
    CHECK_TRUE(directory.takeChanged() == std::set<GroupName>{kGroup});
    CHECK_TRUE(listed().removed);
}

TEST(ServerDirectoryReturn, AServerThatWroteItsEntryAgainStays) {
    directory.put(announcement({1, 50}, 9, false), clock.now());
    directory.replaceAll({}, {2, 40}, clock.now());
    directory.put(announcement({2, 41}, 9, false), clock.now());
    clock.advance(std::chrono::seconds(3));
    directory.takeChanged();
    directory.removeUnconfirmed(clock.now());
    CHECK_TRUE(directory.takeChanged().empty());
    directory.remove(server, {2, 42}, clock.now());
    CHECK_TRUE(listed().removed);
}

/** Each of many groups has three servers. */
TEST_GROUP(ServerDirectoryAtSize) {
    testing::ManualClock clock;

    static std::vector<ServerAnnouncement> estate(int groups) {
        constexpr int kServersPerGroup = 3;
        std::vector<ServerAnnouncement> announcements;
        for (int index = 0; index < groups * kServersPerGroup; ++index) {
            ServerAnnouncement announcement;
            announcement.address.group = GroupName("g" + std::to_string(index / kServersPerGroup));
            announcement.address.server = incarnationName("i" + std::to_string(index), 100);
            announcement.version.revision = static_cast<std::uint64_t>(index) + 1;
            announcements.push_back(announcement);
        }
        return announcements;
    }
    /** @return the number of servers examined to process a list of all servers and one change of
     * each. */
    std::uint64_t workOf(int groups) const {
        ServerDirectory directory;
        std::vector<ServerAnnouncement> announcements = estate(groups);
        const std::uint64_t listed = announcements.size();
        directory.replaceAll(announcements, {0, listed}, clock.now());
        for (ServerAnnouncement& announcement : announcements) {
            announcement.version.revision += listed;
            announcement.draining = true;
            CHECK_TRUE(directory.put(announcement, clock.now()));
            CHECK_TRUE(directory.groupOf(announcement.address.server) ==
                       announcement.address.group);
            CHECK_TRUE(
                directory.remove(announcement.address.server, announcement.version, clock.now()));
        }
        return directory.serversExamined();
    }
};

TEST(ServerDirectoryAtSize, TheCostOfAnAnnouncementDoesNotGrowWithTheNumberOfServers) {
    const std::uint64_t small = workOf(10);
    CHECK(small > 0);
    UNSIGNED_LONGS_EQUAL(small * 30, workOf(300));
}

/** Entries of a list that were already known mark no group as changed. */
TEST(ServerDirectoryAtSize, AListReportsWhichGroupsItChanges) {
    ServerDirectory directory;
    std::vector<ServerAnnouncement> announcements = estate(50);
    directory.replaceAll(announcements, {0, 150}, clock.now());
    UNSIGNED_LONGS_EQUAL(50, directory.takeChanged().size());
    announcements[6].draining = true;
    announcements[6].version.revision = 151;
    announcements.pop_back();
    directory.replaceAll(announcements, {0, 152}, clock.now());
    CHECK_TRUE(directory.takeChanged() == (std::set<GroupName>{GroupName("g2"), GroupName("g49")}));
}

/** A server may receive another group's address and start again there. */
TEST(ServerDirectoryAtSize, ALifeThatEndsInOneGroupByAStartInAnotherChangesBoth) {
    ServerDirectory directory;
    const std::vector<ServerAnnouncement> announcements = estate(2);
    directory.replaceAll(announcements, {0, 6}, clock.now());
    directory.takeChanged();
    ServerAnnouncement moved = announcements.front();
    moved.address.group = GroupName("g1");
    moved.address.server = incarnationName("i0", 200);
    moved.version.revision = 7;
    CHECK_TRUE(directory.put(moved, clock.now()));
    CHECK_TRUE(directory.takeChanged() == (std::set<GroupName>{GroupName("g0"), GroupName("g1")}));
}

TEST(ServerDirectoryAtSize, AServerThatExpiredIsNoLongerFound) {
    ServerDirectory directory;
    const std::vector<ServerAnnouncement> announcements = estate(2);
    directory.replaceAll(announcements, {0, 6}, clock.now());
    const ServerName& server = announcements.front().address.server;
    directory.remove(server, {0, 7}, clock.now());
    clock.advance(std::chrono::seconds(16));
    directory.expire(clock.now(), std::chrono::seconds(15));
    CHECK_TRUE(directory.groupOf(server) == GroupName());
    CHECK_FALSE(directory.remove(server, {0, 8}, clock.now()));
    ServerAnnouncement again = announcements.front();
    again.version.revision = 9;
    CHECK_TRUE(directory.put(again, clock.now()));
    CHECK_TRUE(directory.groupOf(server) == again.address.group);
}

}  // namespace
}  // namespace coralhoist::pooling
