/**
 * Replicas that restart during a promotion forget the order not to receive.
 *
 * The former primary runs, but the promoting node does not reach it. A replica that restarts
 * receives from it again, and commits that nodes without news of the promotion pass on within their
 * lease must be in the successor's log.
 */
#include <CppUTest/TestHarness.h>

#include "FailoverFixture.h"
#include "pooling/LeadershipTracker.h"

namespace coralhoist::pooled {
namespace {

using pooling::PromotionPhase;
using pooling::SuspicionReason;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ForgottenPause) {
    FailoverFixture fixture;

    /** The promoting node loses the primary, which reaches both replicas. */
    void losePrimary() {
        fixture.commit(10);
        fixture.nodes[0].connector->faults().cut.insert(fixture.server(0).name);
        fixture.suspect(0, SuspicionReason::Silent);
        while (fixture.record().phase == PromotionPhase::None) {
            fixture.run(milliseconds(2));
        }
    }
};

/** Guards against a choice that precedes the end of the leases of nodes without news. */
TEST(ForgottenPause, TheSuccessorIsChosenAfterTheLeasesHaveExpired) {
    losePrimary();
    const TimePoint claimed = fixture.queue.now();
    while (fixture.record().phase != PromotionPhase::Promoting) {
        fixture.run(milliseconds(2));
        CHECK_TRUE(fixture.queue.now() - claimed < seconds(2));
    }
    CHECK_TRUE(fixture.queue.now() - claimed >= pooling::kLeadershipLease);
    CHECK_TRUE(fixture.record().leasesExpired);
}

/**
 * Guards against a successor that lacks a commit of a restarted replica. Each replica in turn
 * restarts right after the claim, so that it receives from the former primary for a moment.
 */
TEST(ForgottenPause, CommitsWithinTheLeaseAreInTheSuccessorsLog) {
    for (const std::size_t restarting : {1, 2}) {
        for (int after = 0; after < 400; after += 20) {
            FailoverFixture one;
            one.commit(10);
            one.nodes[0].connector->faults().cut.insert(one.server(0).name);
            one.suspect(0, SuspicionReason::Silent);
            while (one.record().phase == PromotionPhase::None) {
                one.run(milliseconds(2));
            }
            one.run(milliseconds(after));
            one.group.crash(one.server(restarting));
            one.group.restart(one.server(restarting));
            one.commit(10);
            one.run(seconds(6));
            CHECK_FALSE(one.server(0).primary);
            UNSIGNED_LONGS_EQUAL(0, one.judge.violations().size());
        }
    }
}

/** Guards against a wait where the former primary has stepped down and nothing is left to expire.
 */
TEST(ForgottenPause, APrimaryThatSteppedDownNeedsNoWait) {
    fixture.commit(10);
    fixture.server(0).draining = true;
    const TimePoint began = fixture.queue.now();
    while (fixture.group.promotions() == 0) {
        fixture.run(milliseconds(2));
        CHECK_TRUE(fixture.queue.now() - began < seconds(2));
    }
    CHECK_FALSE(fixture.record().leasesExpired);
}

}  // namespace
}  // namespace coralhoist::pooled
