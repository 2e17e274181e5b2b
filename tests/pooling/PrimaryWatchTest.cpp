#include <CppUTest/TestHarness.h>

#include "pooling/PrimaryWatch.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(PrimaryWatch) {
    PrimaryWatch watch;
    ServerState primary;
    const TimePoint start{std::chrono::seconds(10)};
    const Duration suspectAfter = milliseconds(400);

    void setup() override {
        primary.address.server = ServerName("s1");
    }

    std::optional<SuspicionReason> after(milliseconds time) const {
        return watch.review(primary, suspectAfter, start + time);
    }
};

TEST(PrimaryWatch, AWriteWithoutAnswerIsASign) {
    watch.noteWrite(ConnectionId(1), primary.address.server, start);
    CHECK_FALSE(after(milliseconds(700)).has_value());
    CHECK_TRUE(SuspicionReason::WritesUnanswered == after(milliseconds(701)));
    watch.noteAnswered(ConnectionId(1));
    CHECK_FALSE(after(milliseconds(900)).has_value());
}

TEST(PrimaryWatch, AWriteAtAFormerPrimaryIsIgnored) {
    watch.noteWrite(ConnectionId(1), ServerName("former"), start);
    CHECK_FALSE(after(milliseconds(2000)).has_value());
}

TEST(PrimaryWatch, SilenceIsASign) {
    primary.silentSince = start;
    CHECK_FALSE(after(milliseconds(400)).has_value());
    CHECK_TRUE(SuspicionReason::Silent == after(milliseconds(401)));
}

/** A component that is notified of silence requests the status, gets it, and does not act on the
 * primary. Reporting silence first would therefore hide that writes are unanswered. */
TEST(PrimaryWatch, UnansweredWritesAreReportedBeforeSilence) {
    primary.silentSince = start;
    watch.noteWrite(ConnectionId(1), primary.address.server, start);
    CHECK_TRUE(SuspicionReason::WritesUnanswered == after(milliseconds(701)));
}

TEST(PrimaryWatch, BrokenConnectionsInARowAreASign) {
    primary.consecutiveLosses = 5;
    primary.firstLossAt = start;
    CHECK_FALSE(after(milliseconds(500)).has_value());
    CHECK_TRUE(SuspicionReason::StatementsLost == after(milliseconds(501)));
}

TEST(PrimaryWatch, AnIdleConnectionShowsThatItIsReachable) {
    primary.unreachable = true;
    CHECK_TRUE(SuspicionReason::Unreachable == after(milliseconds(0)));
    primary.idle.emplace_back(1);
    CHECK_FALSE(after(milliseconds(0)).has_value());
}

}  // namespace
}  // namespace coralhoist::pooling
