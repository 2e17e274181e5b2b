#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "pooling/LeadershipTracker.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(LeadershipTracker) {
    LeadershipTracker tracker;
    TimePoint start{std::chrono::hours(1)};

    void announcePrimary(const std::string& name) {
        announcePrimaries({name});
    }

    /** All of the named servers claim to be the primary; no other server is listed. */
    void announcePrimaries(const std::vector<std::string>& names) {
        ServerDirectory directory;
        for (const std::string& name : names) {
            ServerAnnouncement announcement;
            announcement.address = {GroupName("g"), ServerName(name), "10.0.0.1", 1};
            announcement.role = ServerRole::Primary;
            announcement.version.revision = 1;
            directory.put(announcement, {});
        }
        tracker.onDirectory(directory.serversOf(GroupName("g")), start);
    }

    void record(PromotionPhase phase, const std::string& successor, Term term,
                std::uint64_t version, TimePoint at) {
        PromotionNotice notice;
        notice.phase = phase;
        notice.successor = ServerName(successor);
        notice.term = term;
        notice.version.revision = version;
        tracker.onNotice(notice, at);
    }
};

TEST(LeadershipTracker, AStartWaitsForTheLeaseWithoutAProof) {
    announcePrimary("s1");
    CHECK_FALSE(tracker.mayWrite(start + milliseconds(499)));
    CHECK_TRUE(tracker.mayWrite(start + kLeadershipLease));
}

TEST(LeadershipTracker, AClosedRecordLetsAStartReadAndWriteAtOnce) {
    announcePrimary("s1");
    tracker.confirmByRecord({0, 0}, start);
    CHECK_TRUE(tracker.mayWrite(start));
    CHECK_TRUE(tracker.isCertainFor(start + kLeadershipLease));
    CHECK_FALSE(tracker.isCertainFor(start + kLeadershipLease + milliseconds(1)));
}

TEST(LeadershipTracker, ARecordThatIsNotTheNewestProvesNothing) {
    announcePrimary("s1");
    PromotionNotice notice;
    notice.version.revision = 7;
    tracker.onNotice(notice, start);
    tracker.confirmByRecord({0, 6}, start);
    CHECK_FALSE(tracker.mayWrite(start));
    CHECK_FALSE(tracker.isCertainFor(start));
}

/** The store has reverted to an older state, and may have lost a later announcement. */
TEST(LeadershipTracker, ARecordThatIsNotConfirmedProvesNothing) {
    announcePrimary("s1");
    PromotionNotice notice;
    notice.version = {2, 7};
    notice.isConfirmed = false;
    tracker.onNotice(notice, start);
    tracker.confirmByRecord({2, 7}, start);
    CHECK_FALSE(tracker.mayWrite(start));
    CHECK_FALSE(tracker.isCertainFor(start));
}

TEST(LeadershipTracker, AnAnnouncementThatIsStillOpenProvesNothing) {
    announcePrimary("s1");
    PromotionNotice notice;
    notice.version.revision = 7;
    notice.phase = PromotionPhase::Promoting;
    notice.successor = ServerName("s1");
    notice.term = 2;
    tracker.onNotice(notice, start);
    tracker.confirmByRecord({0, 7}, start);
    CHECK_FALSE(tracker.mayWrite(start + milliseconds(499)));
    CHECK_FALSE(tracker.isCertainFor(start));
}

TEST(LeadershipTracker, AnOldPrimaryIsNotTakenWhenTheSuccessorLeavesTheList) {
    announcePrimaries({"s1", "s2"});
    tracker.onPosition(ServerName("s1"), OpTime{1, 50}, start);
    record(PromotionPhase::None, "s2", 2, 7, start);
    CHECK_TRUE(tracker.primary().has_value());
    STRCMP_EQUAL("s2", tracker.primary()->server.value().c_str());
    announcePrimaries({"s1"});
    CHECK_FALSE(tracker.primary().has_value());
}

TEST(LeadershipTracker, AServerThatHasShownNoTermIsNotTakenForASuccessorThatLeft) {
    announcePrimaries({"s1", "s2"});
    record(PromotionPhase::None, "s2", 2, 7, start);
    // The platform may have given the successor a later term than the one recorded.
    tracker.onPosition(ServerName("s2"), OpTime{3, 60}, start);
    STRCMP_EQUAL("s2", tracker.primary()->server.value().c_str());
    announcePrimaries({"s1"});
    CHECK_FALSE(tracker.primary().has_value());
}

TEST(LeadershipTracker, ALeaderOfALaterTermThatTheRecordDoesNotNameIsNotTaken) {
    announcePrimaries({"s1", "s2"});
    record(PromotionPhase::None, "s2", 2, 7, start);
    tracker.onPosition(ServerName("s1"), OpTime{3, 60}, start);
    tracker.confirmByRecord({0, 7}, start);
    CHECK_FALSE(tracker.mayWrite(start + kLeadershipLease));
    CHECK_FALSE(tracker.isCertainFor(start));
}

TEST(LeadershipTracker, AnAnnouncementOfThePresentPrimaryWaitsForTheLease) {
    announcePrimary("s1");
    record(PromotionPhase::None, "s1", 1, 5, start);
    tracker.confirmByRecord({0, 5}, start);
    CHECK_TRUE(tracker.mayWrite(start));
    // Another server may have led since without this node noticing, and reads may still rely on
    // proofs of its leadership.
    const TimePoint announced = start + std::chrono::seconds(5);
    record(PromotionPhase::Promoting, "s1", 3, 9, announced);
    CHECK_FALSE(tracker.mayWrite(announced + milliseconds(499)));
    CHECK_TRUE(tracker.mayWrite(announced + kLeadershipLease));
}

}  // namespace
}  // namespace coralhoist::pooling
