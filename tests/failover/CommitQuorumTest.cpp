#include <CppUTest/TestHarness.h>

#include "failover/CommitQuorum.h"

namespace coralhoist::failover {
namespace {

const ServerName kFirst("first");
const ServerName kSecond("second");
const ServerName kThird("third");

MemberView unknown(const ServerName& server) {
    return {server, MemberRole::Unknown, 0, {}, false};
}

MemberView member(const ServerName& server, MemberRole role, LogPosition position, Term term = 1) {
    return {server, role, term, {term, position}, true};
}

TEST_GROUP(CommitQuorum){};

TEST(CommitQuorum, ASilentMemberAndAReceiverMayAcknowledge) {
    const CommitQuorum quorum({unknown(kFirst), member(kSecond, MemberRole::Following, 5),
                               member(kThird, MemberRole::Paused, 5)},
                              kFirst);
    CHECK_TRUE(quorum.mayAcknowledge());
}

TEST(CommitQuorum, ASilentMemberAloneCannotAcknowledge) {
    const CommitQuorum quorum({unknown(kFirst), member(kSecond, MemberRole::Paused, 5),
                               member(kThird, MemberRole::Paused, 4)},
                              kFirst);
    CHECK_FALSE(quorum.mayAcknowledge());
    CHECK_TRUE(quorum.holdsAllCommits(kSecond));
    // The commit at 5 may be on the first and the second server; the third lacks it.
    CHECK_FALSE(quorum.holdsAllCommits(kThird));
}

TEST(CommitQuorum, TwoSilentMembersMayHaveAcknowledgedWhatTheThirdLacks) {
    const CommitQuorum quorum(
        {unknown(kFirst), unknown(kSecond), member(kThird, MemberRole::Paused, 9)}, kFirst);
    CHECK_TRUE(quorum.mayAcknowledge());
    CHECK_FALSE(quorum.holdsAllCommits(kThird));
}

TEST(CommitQuorum, ALogAsLongAsThatOfTheFormerLeaderHasAllCommits) {
    const CommitQuorum quorum({member(kFirst, MemberRole::Following, 7),
                               member(kSecond, MemberRole::Following, 7), unknown(kThird)},
                              kFirst);
    CHECK_FALSE(quorum.mayAcknowledge());
    CHECK_TRUE(quorum.reachesFormerLeader(kSecond));
    CHECK_TRUE(quorum.holdsAllCommits(kSecond));
}

TEST(CommitQuorum, ALogBehindTheFormerLeaderNeedsReportsOfAllOtherMembers) {
    const CommitQuorum silent({member(kFirst, MemberRole::Following, 7),
                               member(kSecond, MemberRole::Following, 6), unknown(kThird)},
                              kFirst);
    CHECK_FALSE(silent.holdsAllCommits(kSecond));
    const CommitQuorum reported(
        {member(kFirst, MemberRole::Following, 7), member(kSecond, MemberRole::Following, 6),
         member(kThird, MemberRole::Following, 5)},
        kFirst);
    CHECK_TRUE(reported.isBehind(kSecond));
    CHECK_TRUE(reported.holdsAllCommits(kSecond));
    CHECK_FALSE(reported.holdsAllCommits(kThird));
}

TEST(CommitQuorum, AnOldPrimaryThatSteppedDownProvesNothing) {
    // The second server leads the newest term and is unreachable; the first led an older term.
    const CommitQuorum quorum({member(kFirst, MemberRole::Following, 7), unknown(kSecond),
                               member(kThird, MemberRole::Following, 3)},
                              kSecond);
    CHECK_TRUE(quorum.formerLeader() == nullptr);
    CHECK_TRUE(quorum.mayAcknowledge());
}

TEST(CommitQuorum, AMemberOfALaterTermShowsThatTheLeaderIsAnotherOne) {
    const CommitQuorum quorum({member(kFirst, MemberRole::Following, 7, 2),
                               member(kSecond, MemberRole::Following, 7, 3), unknown(kThird)},
                              kFirst);
    CHECK_TRUE(quorum.formerLeader() == nullptr);
    CHECK_TRUE(quorum.mayAcknowledge());
}

TEST(CommitQuorum, ALaterTermOutranksALongerLog) {
    const CommitQuorum quorum({member(kFirst, MemberRole::Following, 90, 1),
                               member(kSecond, MemberRole::Following, 80, 2),
                               member(kThird, MemberRole::Following, 79, 2)},
                              ServerName());
    CHECK_FALSE(quorum.mayAcknowledge());
    CHECK_TRUE(quorum.holdsAllCommits(kSecond));
    CHECK_TRUE(quorum.isBehind(kThird));
    CHECK_FALSE(quorum.holdsAllCommits(kFirst));
}

TEST(CommitQuorum, ADepartedMemberNeitherLeadsNorReceivesButMayHoldCommits) {
    const CommitQuorum quorum({unknown(kFirst),
                               {kSecond, MemberRole::Departed, 0, {}, false},
                               member(kThird, MemberRole::Paused, 9)},
                              kFirst);
    CHECK_FALSE(quorum.mayAcknowledge());
    CHECK_FALSE(quorum.holdsAllCommits(kThird));
    const CommitQuorum alone(
        {{kSecond, MemberRole::Departed, 0, {}, false}, member(kThird, MemberRole::Paused, 9)},
        kFirst);
    CHECK_TRUE(alone.holdsAllCommits(kThird));
}

TEST(CommitQuorum, APositionReportedWhileCommitsWereAcknowledgedIsNoUpperBound) {
    MemberView unsettled = member(kThird, MemberRole::Following, 6);
    unsettled.isUpperBound = false;
    const CommitQuorum quorum({member(kFirst, MemberRole::Following, 7),
                               member(kSecond, MemberRole::Following, 6), unsettled},
                              kFirst);
    CHECK_FALSE(quorum.mayAcknowledge());
    CHECK_FALSE(quorum.holdsAllCommits(kSecond));
}

}  // namespace
}  // namespace coralhoist::failover
