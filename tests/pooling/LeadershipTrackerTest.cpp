#include <CppUTest/TestHarness.h>

#include "pooling/LeadershipTracker.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(LeadershipTracker) {
    LeadershipTracker tracker;
    TimePoint start{std::chrono::hours(1)};

    void announcePrimary(const std::string& name) {
        ServerDirectory directory;
        ServerAnnouncement announcement;
        announcement.address = {GroupName("g"), ServerName(name), "10.0.0.1", 1};
        announcement.role = ServerRole::Primary;
        announcement.version = 1;
        directory.put(announcement);
        tracker.onDirectory(directory.serversOf(GroupName("g")), start);
    }
};

TEST(LeadershipTracker, AStartWaitsForTheLeaseWithoutAProof) {
    announcePrimary("s1");
    CHECK_FALSE(tracker.mayWrite(start + milliseconds(499)));
    CHECK_TRUE(tracker.mayWrite(start + kLeadershipLease));
}

TEST(LeadershipTracker, AClosedRecordLetsAStartReadAndWriteAtOnce) {
    announcePrimary("s1");
    tracker.confirmByRecord(0, start);
    CHECK_TRUE(tracker.mayWrite(start));
    CHECK_TRUE(tracker.isCertainFor(start + kLeadershipLease));
    CHECK_FALSE(tracker.isCertainFor(start + kLeadershipLease + milliseconds(1)));
}

TEST(LeadershipTracker, ARecordThatIsNotTheNewestProvesNothing) {
    announcePrimary("s1");
    PromotionNotice notice;
    notice.version = 7;
    tracker.onNotice(notice, start);
    tracker.confirmByRecord(6, start);
    CHECK_FALSE(tracker.mayWrite(start));
    CHECK_FALSE(tracker.isCertainFor(start));
}

TEST(LeadershipTracker, AnAnnouncementThatIsStillOpenProvesNothing) {
    announcePrimary("s1");
    PromotionNotice notice;
    notice.version = 7;
    notice.phase = PromotionPhase::Promoting;
    notice.successor = ServerName("s1");
    notice.term = 2;
    tracker.onNotice(notice, start);
    tracker.confirmByRecord(7, start);
    CHECK_FALSE(tracker.mayWrite(start + milliseconds(499)));
    CHECK_FALSE(tracker.isCertainFor(start));
}

}  // namespace
}  // namespace coralhoist::pooling
