/**
 * Unit tests of the small classes: read floor, sampler, admission queue, outbox, key record,
 * refusals.
 */
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

#include "base/SystemTime.h"
#include "contract/AdmissionQueue.h"
#include "contract/BatchPlan.h"
#include "contract/MajoritySampler.h"
#include "contract/ReadFloor.h"
#include "contract/Refusals.h"
#include "contract/RequestKeyRecord.h"
#include "contract/ResponseOutbox.h"

namespace coralhoist::contract {
namespace {

using machine::ServerStatus;

TEST_GROUP(ReadFloor){};

TEST(ReadFloor, NeedsAMajority) {
    CHECK_FALSE(computeReadFloor({{false, 1, 10, 10}}, 3).has_value());
}

TEST(ReadFloor, WithAllAnswersTakesTheSecondOfThree) {
    const auto floor =
        computeReadFloor({{false, 1, 30, 30}, {true, 1, 20, 20}, {true, 1, 10, 10}}, 3);
    CHECK_TRUE((floor == OpTime{1, 20}));
}

TEST(ReadFloor, WithTwoOfThreeTakesTheLargest) {
    const auto floor = computeReadFloor({{true, 1, 20, 20}, {true, 1, 10, 10}}, 3);
    CHECK_TRUE((floor == OpTime{1, 20}));
}

TEST(ReadFloor, LaggardThatReportsTheNewTermDoesNotLowerIt) {
    // The write (1, 85) is on the old primary and on the new one.
    const auto floor =
        computeReadFloor({{false, 2, 100, 100}, {true, 2, 20, 20}, {true, 1, 90, 90}}, 3);
    CHECK_TRUE(floor->position >= 85);
}

TEST(ReadFloor, TailOfAFormerPrimaryIsCappedByTheNewOne) {
    const auto floor = computeReadFloor({{false, 1, 900, 900}, {false, 2, 100, 100}}, 3);
    CHECK_TRUE((floor == OpTime{2, 100}));
}

/**
 * Generates random histories with an acknowledged write; the read floor of any majority must cover
 * the write.
 */
TEST(ReadFloor, CoversEveryAcknowledgedWriteOfRandomHistories) {
    SeededRandom random(11);
    for (int round = 0; round < 20000; ++round) {
        const std::size_t count = 1 + 2 * random.below(3);
        const std::size_t majority = count / 2 + 1;
        const OpTime write{1 + random.below(3), 1 + random.below(50)};
        std::vector<ServerStatus> servers;
        for (std::size_t index = 0; index < count; ++index) {
            const bool holds = index < majority;
            const Term term = holds ? write.term : random.below(write.term + 1);
            const LogPosition position =
                holds ? write.position + random.below(5) : random.below(write.position + 40);
            servers.push_back({true, term, position, position});
        }
        // One server that holds the write is primary of the term: its log holds every write
        // acknowledged in that term.
        servers.front().inRecovery = false;
        while (servers.size() > majority && random.below(2) == 0) {
            servers.erase(servers.begin() +
                          static_cast<std::ptrdiff_t>(random.below(servers.size())));
        }
        const OpTime floor = *computeReadFloor(servers, count);
        CHECK_TRUE(floor.term >= write.term);
        CHECK_TRUE(floor.position >= write.position);
    }
}

TEST_GROUP(MajoritySampler){};

TEST(MajoritySampler, AnswerToAnEarlierQueryDoesNotCount) {
    const ServerName a("a");
    MajoritySampler sampler;
    sampler.setServers({a});
    sampler.takeTicket();
    sampler.onQuerySent(a);
    const SampleTicket ticket = sampler.takeTicket();
    CHECK_FALSE(sampler.wantsQuery(a));
    sampler.onAnswer(a, {false, 1, 10, 10});
    CHECK_TRUE(sampler.answersSince(ticket).empty());
    CHECK_TRUE(sampler.wantsQuery(a));
    sampler.onQuerySent(a);
    sampler.onAnswer(a, {false, 1, 20, 20});
    CHECK_EQUAL(1, sampler.answersSince(ticket).size());
    CHECK_FALSE(sampler.wantsQuery(a));
}

TEST(MajoritySampler, LateAnswerAfterAFailureIsIgnored) {
    const ServerName a("a");
    MajoritySampler sampler;
    sampler.setServers({a});
    const SampleTicket ticket = sampler.takeTicket();
    sampler.onQuerySent(a);
    sampler.onQueryFailed(a);
    sampler.onAnswer(a, {false, 1, 10, 10});
    CHECK_TRUE(sampler.answersSince(ticket).empty());
}

TEST_GROUP(AdmissionQueue) {
    AdmissionQueue queue;

    std::vector<AdmissionClass> admitted(int count) {
        std::vector<AdmissionClass> order;
        for (int index = 0; index < count; ++index) {
            const auto next = queue.next();
            if (next) {
                queue.start(*next);
                queue.finish(next->admissionClass);
                order.push_back(next->admissionClass);
            }
        }
        return order;
    }
};

TEST(AdmissionQueue, OrdinaryStatementsAreNotStarved) {
    queue.setLimits({1, 1, 100, 4});
    for (std::uint64_t id = 0; id < 20; ++id) {
        queue.push({RequestId(id), AdmissionClass::Urgent});
    }
    queue.push({RequestId(100), AdmissionClass::Ordinary});
    const auto order = admitted(5);
    CHECK_TRUE(order.back() == AdmissionClass::Ordinary);
    CHECK_EQUAL(4, std::ranges::count(order, AdmissionClass::Urgent));
}

TEST(AdmissionQueue, StatementsInTransactionsDoNotResetTheUrgentBurst) {
    queue.setLimits({1, 0, 100, 2});
    queue.push({RequestId(100), AdmissionClass::Ordinary});
    std::vector<AdmissionClass> order;
    for (std::uint64_t id = 0; id < 6 && queue.queued(AdmissionClass::Ordinary) > 0; ++id) {
        queue.push({RequestId(2 * id), AdmissionClass::Urgent});
        queue.push({RequestId(2 * id + 1), AdmissionClass::InTransaction});
        admitted(2);
    }
    CHECK_EQUAL(0, queue.queued(AdmissionClass::Ordinary));
}

TEST_GROUP(ResponseOutbox){};

TEST(ResponseOutbox, NeverReleasesTheLastPieceOfAHeldAnswer) {
    ResponseOutbox outbox;
    outbox.hold();
    outbox.add({0, std::string(100, 'a'), false}, 50);
    outbox.add({0, std::string(100, 'b'), false}, 50);
    outbox.add({0, "completion", true}, 50);
    CHECK_TRUE(outbox.hasReleased());
    STRCMP_EQUAL("completion", outbox.held().back().bytes.c_str());
    CHECK_EQUAL(200, outbox.queuedBytes());
}

TEST_GROUP(RequestKeyRecord){};

TEST(RequestKeyRecord, OutcomeSurvivesBothFormsOfTheColumn) {
    const std::vector<ResponsePiece> pieces = {{0, std::string("D\0\x05", 3), false},
                                               {1, "C", true}};
    const std::string encoded = encodeOutcome(pieces);
    CHECK_TRUE(decodeOutcome(encoded) == pieces);
    std::string text = "\\x";
    for (const char byte : encoded) {
        constexpr const char* kDigits = "0123456789abcdef";
        text += kDigits[static_cast<unsigned char>(byte) >> 4U];
        text += kDigits[static_cast<unsigned char>(byte) & 0x0fU];
    }
    CHECK_TRUE(decodeOutcome(text) == pieces);
    CHECK_FALSE(decodeOutcome(encoded.substr(0, encoded.size() - 1)).has_value());
}

TEST(RequestKeyRecord, FingerprintTellsStatementsApart) {
    StatementBatch one;
    one.steps.resize(1);
    one.steps[0].sql = "update";
    one.steps[0].parameters = {{"a", ValueFormat::Text}, {"b", ValueFormat::Text}};
    StatementBatch shifted = one;
    shifted.steps[0].parameters = {{"ab", ValueFormat::Text}, {"", ValueFormat::Text}};
    StatementBatch null = one;
    null.steps[0].parameters[1].bytes.reset();
    CHECK_TRUE(fingerprintOf(one) == fingerprintOf(one));
    const std::set<std::string> distinct = {fingerprintOf(one), fingerprintOf(shifted),
                                            fingerprintOf(null)};
    CHECK_EQUAL(3, distinct.size());
}

TEST_GROUP(Refusals){};

TEST(Refusals, TableListsEachOnceInOrder) {
    int index = 0;
    for (const RefusalEntry& entry : refusalTable()) {
        CHECK_EQUAL(index, static_cast<int>(entry.refusal));
        CHECK_EQUAL(5, std::string(entry.sqlState).size());
        ++index;
    }
    CHECK_EQUAL(static_cast<int>(Refusal::AnswerTooLargeToForward) + 1, index);
}

}  // namespace
}  // namespace coralhoist::contract
