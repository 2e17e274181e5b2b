/**
 * Parsing of status query results, and the backoff when a server's answer is not a valid status.
 */
#include <CppUTest/TestHarness.h>

#include "FakeBackend.h"
#include "contract/StatusQuery.h"

namespace coralhoist::contract {
namespace {

CommandOutcome answer(const std::string& received, const std::string& replayed) {
    CommandOutcome outcome;
    outcome.rows.push_back({{"t", "3", received, replayed}});
    return outcome;
}

TEST_GROUP(StatusQuery){};

TEST(StatusQuery, PositionsMayBeNumbersOrLogSequenceNumbers) {
    const auto status = readStatus(answer("16/B374D848", "4096"));
    CHECK_TRUE(status.has_value());
    CHECK_TRUE(status->receivedPosition == 0x16'B374'D848);
    CHECK_TRUE(status->replayedPosition == 4096);
    CHECK_FALSE(readStatus(answer("16/B374D8480", "1")).has_value());
    CHECK_FALSE(readStatus(answer("/", "1")).has_value());
}

TEST(StatusQuery, ServerWithUnreadableStatusIsNotAskedInATightLoop) {
    ExecutorFixture fixture;
    fixture.backend.answers[kStatusQuery] = answer("nonsense", "nonsense");
    fixture.submit("select", StatementKind::Read);
    const std::size_t before = fixture.backend.statusQueries;
    fixture.advance(std::chrono::seconds(2));
    const std::size_t asked = fixture.backend.statusQueries - before;
    CHECK_TRUE(asked > 0);
    CHECK_TRUE(asked < 100);
}

}  // namespace
}  // namespace coralhoist::contract
