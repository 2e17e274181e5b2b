#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "pooling/ProofExchange.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

const GroupName kGroup{"g"};

ProxyNode node(const std::string& name, const std::string& zone) {
    return {NodeName(name), ZoneName(zone), "10.0.0.1", 7000};
}

std::vector<ProxyNode> estate(std::size_t zones, std::size_t nodesPerZone) {
    std::vector<ProxyNode> nodes;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t index = 0; index < nodesPerZone; ++index) {
            const std::string zoneName = "z" + std::to_string(zone);
            nodes.push_back(node(zoneName + "-" + std::to_string(index), zoneName));
        }
    }
    return nodes;
}

struct AskedQuestion {
    NodeName node;
    std::uint64_t number = 0;
    ProofNeed need;
};

struct GivenAnswer {
    std::uint64_t asker = 0;
    std::optional<HandedProof> proof;
};

TEST_GROUP(ProofExchange), public RecordReader, public ProofQuestions, public ProofAnswers {
    testing::ManualClock clock;
    SeededRandom random{1};
    std::vector<Callback> readings;
    std::vector<AskedQuestion> questions;
    std::vector<GivenAnswer> answers;
    std::vector<LeadershipProof> proofs;
    bool reachable = true;
    /** Nodes "b" and "c" are in the zone; one of the three nodes is its reader. */
    std::vector<ProxyNode> zone{node("a", "z"), node("b", "z"), node("c", "z")};
    std::unique_ptr<ReaderTree> tree;
    std::unique_ptr<ProofExchange> exchange;

    void readRecords(Callback callback) override {
        readings.push_back(std::move(callback));
    }
    bool canReach(const NodeName& /*node*/) const override {
        return reachable;
    }
    void askForProof(const NodeName& name, std::uint64_t question, const ProofNeed& need) override {
        questions.push_back({name, question, need});
    }
    void answerProof(std::uint64_t asker, const std::optional<HandedProof>& proof) override {
        answers.push_back({asker, proof});
    }

    /** @param reads whether the node is the one that reads the store. */
    void start(bool reads) {
        for (const ProxyNode& self : zone) {
            tree = std::make_unique<ReaderTree>(self.name, self.zone);
            tree->applyNodes(zone);
            if (tree->candidates().empty() == reads) {
                exchange = std::make_unique<ProofExchange>(
                    ProofDependencies{
                        clock, random, *this, *this, *this,
                        [this](const LeadershipProof& proof) { proofs.push_back(proof); }},
                    *tree);
                return;
            }
        }
        FAIL("no such node");
    }

    void advance(Duration span) {
        clock.advance(span);
        exchange->onTick(clock.now());
    }

    void want() {
        exchange->want();
        exchange->onTick(clock.now());
    }

    void finishReading(const std::optional<RecordVersions>& versions) {
        const Callback callback = readings.front();
        readings.erase(readings.begin());
        callback(versions ? std::optional(ListedRecords{*versions, 0}) : std::nullopt);
    }
};

TEST(ProofExchange, OneNodeOfAllReadsTheStore) {
    const std::vector<ProxyNode> nodes = estate(7, 14);
    std::size_t readers = 0;
    std::size_t askingInOtherZones = 0;
    for (const ProxyNode& self : nodes) {
        ReaderTree own(self.name, self.zone);
        own.applyNodes(nodes);
        readers += own.candidates().empty() ? 1 : 0;
        const bool elsewhere = !own.candidates().empty() &&
                               own.candidates()[0].value().substr(0, 2) != self.zone.value();
        askingInOtherZones += elsewhere ? 1 : 0;
    }
    UNSIGNED_LONGS_EQUAL(1, readers);
    // The readers of the six other zones ask the node that reads the store.
    UNSIGNED_LONGS_EQUAL(6, askingInOtherZones);
}

TEST(ProofExchange, AStoreReadIsDatedWhenItWasSent) {
    start(true);
    want();
    const TimePoint askedAt = clock.now();
    clock.advance(milliseconds(30));
    finishReading(RecordVersions{{kGroup, {0, 5}}});
    UNSIGNED_LONGS_EQUAL(1, proofs.size());
    CHECK_TRUE(proofs[0].provenAt == askedAt);
    CHECK_TRUE(proofs[0].recordVersions == (RecordVersions{{kGroup, {0, 5}}}));
}

TEST(ProofExchange, AResponseIsDatedByItsAgeBeforeTheRequest) {
    start(false);
    want();
    UNSIGNED_LONGS_EQUAL(1, questions.size());
    UNSIGNED_LONGS_EQUAL(0, readings.size());
    const TimePoint askedAt = clock.now();
    clock.advance(milliseconds(25));
    exchange->onProofAnswer(questions[0].number,
                            HandedProof{milliseconds(120), {{kGroup, {0, 5}}}});
    UNSIGNED_LONGS_EQUAL(1, proofs.size());
    CHECK_TRUE(proofs[0].provenAt == askedAt - milliseconds(120));
}

TEST(ProofExchange, ASilentNodeIsPassedOverAndTheStoreIsRead) {
    start(false);
    want();
    advance(milliseconds(39));
    UNSIGNED_LONGS_EQUAL(0, readings.size());
    advance(milliseconds(1));
    UNSIGNED_LONGS_EQUAL(1, readings.size());
    // The late response of the passed-over node is ignored.
    exchange->onProofAnswer(questions[0].number, HandedProof{milliseconds(0), {{kGroup, {0, 5}}}});
    UNSIGNED_LONGS_EQUAL(0, proofs.size());
    finishReading(RecordVersions{});
    UNSIGNED_LONGS_EQUAL(1, proofs.size());
    advance(milliseconds(60));
    want();
    const bool asksTheSame = questions.size() == 2 && questions[1].node == questions[0].node;
    CHECK_FALSE(asksTheSame);
}

TEST(ProofExchange, ANodeWithoutAProofIsPassedOverAtOnce) {
    start(false);
    want();
    exchange->onProofAnswer(questions[0].number, std::nullopt);
    UNSIGNED_LONGS_EQUAL(1, readings.size());
}

TEST(ProofExchange, ARecentProofIsPassedOnWithItsAge) {
    start(true);
    want();
    finishReading(RecordVersions{{kGroup, {0, 5}}});
    clock.advance(milliseconds(200));
    exchange->onProofAsked({71, {{0, 5}, milliseconds(300)}});
    exchange->onTick(clock.now());
    UNSIGNED_LONGS_EQUAL(1, answers.size());
    CHECK_TRUE(answers[0].proof == (HandedProof{milliseconds(200), {{kGroup, {0, 5}}}}));
    UNSIGNED_LONGS_EQUAL(0, readings.size());
}

TEST(ProofExchange, AProofThatIsTooOldForTheAskerIsReadAnew) {
    start(true);
    want();
    finishReading(RecordVersions{{kGroup, {0, 5}}});
    clock.advance(milliseconds(200));
    exchange->onProofAsked({71, {{0, 5}, milliseconds(150)}});
    exchange->onTick(clock.now());
    UNSIGNED_LONGS_EQUAL(0, answers.size());
    UNSIGNED_LONGS_EQUAL(1, readings.size());
    clock.advance(milliseconds(4));
    finishReading(RecordVersions{{kGroup, {0, 5}}});
    CHECK_TRUE(answers.at(0).proof == (HandedProof{milliseconds(4), {{kGroup, {0, 5}}}}));
}

TEST(ProofExchange, AProofWithoutTheNewestRecordOfTheAskerIsReadAnew) {
    start(true);
    want();
    finishReading(RecordVersions{{kGroup, {0, 5}}});
    clock.advance(milliseconds(5));
    exchange->onProofAsked({71, {{0, 6}, milliseconds(300)}});
    exchange->onTick(clock.now());
    UNSIGNED_LONGS_EQUAL(0, answers.size());
    UNSIGNED_LONGS_EQUAL(1, readings.size());
    finishReading(RecordVersions{{kGroup, {0, 6}}});
    CHECK_TRUE(answers.at(0).proof == (HandedProof{milliseconds(0), {{kGroup, {0, 6}}}}));
}

TEST(ProofExchange, ManyRequestersCostOneStoreRead) {
    start(true);
    for (std::uint64_t asker = 1; asker <= 40; ++asker) {
        exchange->onProofAsked({asker, {{0, 0}, milliseconds(300)}});
        exchange->onTick(clock.now());
    }
    UNSIGNED_LONGS_EQUAL(1, readings.size());
    finishReading(RecordVersions{});
    UNSIGNED_LONGS_EQUAL(40, answers.size());
}

TEST(ProofExchange, ARequestForOthersRequiresAYoungerProof) {
    start(false);
    exchange->onProofAsked({71, {{0, 9}, milliseconds(300)}});
    exchange->onTick(clock.now());
    CHECK_TRUE(questions.at(0).need == (ProofNeed{{0, 9}, milliseconds(150)}));
}

TEST(ProofExchange, WaitingRequestersAreNotifiedOfAFailureAtOnce) {
    start(true);
    exchange->onProofAsked({71, {{0, 0}, milliseconds(300)}});
    exchange->onTick(clock.now());
    finishReading(std::nullopt);
    UNSIGNED_LONGS_EQUAL(1, answers.size());
    CHECK_FALSE(answers[0].proof.has_value());
    CHECK_TRUE(exchange->hasFailed());
}

TEST(ProofExchange, ASilentStoreIsReadAtGrowingIntervals) {
    start(true);
    std::size_t asked = 0;
    for (int step = 0; step < 300; ++step) {
        want();
        while (!readings.empty()) {
            ++asked;
            finishReading(std::nullopt);
        }
        clock.advance(milliseconds(10));
    }
    // The test spans three seconds: pauses of 30 to 60 ms grow to pauses of 250 to 500 ms.
    CHECK_TRUE(asked >= 6);
    CHECK_TRUE(asked <= 16);
}

TEST(ProofExchange, ReadsThatAProofDidNotHelpDoNotAskWithoutPause) {
    start(true);
    want();
    finishReading(RecordVersions{});
    want();
    UNSIGNED_LONGS_EQUAL(0, readings.size());
    // A newly learned record ends the pause.
    exchange->noteRecord({0, 7});
    exchange->onTick(clock.now());
    UNSIGNED_LONGS_EQUAL(1, readings.size());
}

}  // namespace
}  // namespace coralhoist::pooling
