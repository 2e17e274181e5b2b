#include <CppUTest/TestHarness.h>

#include <random>

#include "link/forwarding/UnitCodec.h"

namespace coralhoist::forwarding {
namespace {

using pooling::ShapeKind;
using pooling::StatementFault;
using pooling::StatementVerb;
using std::chrono::milliseconds;

UnitMessage request() {
    UnitMessage message;
    message.kind = UnitMessage::Kind::Request;
    message.unit = UnitId(42);
    message.statement.statement = {"id1", StatementVerb::Execute, "EXECUTE p 5 x", "p",
                                   "5 x", ShapeKind::Read};
    message.statement.values = {{"a", "1"}, {"b", ""}};
    message.statement.shape = pooling::PreparedShape{ShapeKind::Write, "q2c", "ignored"};
    pooling::UnitOpening opening;
    opening.service = ServiceName("lepu270");
    opening.group = GroupName("ledger");
    opening.settings.readRouting = settings::ReadRouting::Replica;
    opening.settings.priority = settings::Priority::Urgent;
    opening.settings.maxStaleness = milliseconds(1500);
    opening.settings.statementTimeout = milliseconds(780);
    opening.settings.latencyObjective = milliseconds(150);
    opening.settings.idleInTransactionTimeout = milliseconds(4000);
    opening.ownFloor = {3, 1207};
    opening.begin = pooling::Statement{
        "id0", StatementVerb::BeginReadOnly, "BEGIN READ", {}, {}, ShapeKind::Read};
    message.opening = opening;
    return message;
}

UnitMessage answer() {
    UnitMessage message;
    message.kind = UnitMessage::Kind::Answer;
    message.unit = UnitId(7);
    message.result.result.rows = {"row one", std::string("\0\r\n", 3)};
    message.result.result.signature = "7.1f3";
    message.result.result.state = pooling::SessionState::InTransaction;
    message.result.ownFloor = {4, 9};
    return message;
}

std::string bytesOf(const UnitMessage& message) {
    std::string bytes;
    encode(bytes, message);
    return bytes;
}

UnitMessage decoded(std::string bytes) {
    auto taken = takeMessage(bytes);
    CHECK_TRUE(taken && taken->isOk());
    CHECK_TRUE(bytes.empty());
    return std::move(*taken).value();
}

TEST_GROUP(UnitCodec){};

TEST(UnitCodec, ARequestArrivesAsItWasSent) {
    const UnitMessage sent = request();
    const UnitMessage got = decoded(bytesOf(sent));
    CHECK_TRUE(got.kind == UnitMessage::Kind::Request);
    CHECK_TRUE(got.unit == sent.unit);
    STRCMP_EQUAL("EXECUTE p 5 x", got.statement.statement.text.c_str());
    STRCMP_EQUAL("p", got.statement.statement.name.c_str());
    STRCMP_EQUAL("5 x", got.statement.statement.argument.c_str());
    CHECK_TRUE(got.statement.values == sent.statement.values);
    CHECK_TRUE(got.statement.shape->kind == ShapeKind::Write);
    STRCMP_EQUAL("q2c", got.statement.shape->shape.c_str());
    CHECK_TRUE(got.opening->service == sent.opening->service);
    CHECK_TRUE(got.opening->group == sent.opening->group);
    const settings::ServiceSettings& settings = got.opening->settings;
    CHECK_TRUE(settings.readRouting == settings::ReadRouting::Replica);
    CHECK_TRUE(settings.priority == settings::Priority::Urgent);
    CHECK_TRUE(settings.maxStaleness == sent.opening->settings.maxStaleness);
    CHECK_TRUE(settings.statementTimeout == milliseconds(780));
    CHECK_TRUE(settings.latencyObjective == milliseconds(150));
    CHECK_TRUE(settings.idleInTransactionTimeout == milliseconds(4000));
    CHECK_TRUE(got.opening->ownFloor == sent.opening->ownFloor);
    CHECK_TRUE(got.opening->begin->verb == StatementVerb::BeginReadOnly);
}

TEST(UnitCodec, AnAnswerArrivesAsItWasSent) {
    const UnitMessage got = decoded(bytesOf(answer()));
    CHECK_TRUE(got.kind == UnitMessage::Kind::Answer);
    CHECK_TRUE(got.result.result.rows == answer().result.result.rows);
    STRCMP_EQUAL("7.1f3", got.result.result.signature.c_str());
    CHECK_TRUE(got.result.result.state == pooling::SessionState::InTransaction);
    CHECK_TRUE(got.result.result.succeeded());
    CHECK_TRUE(got.result.ownFloor == (OpTime{4, 9}));
}

TEST(UnitCodec, EveryFaultArrivesAsItWasSent) {
    for (std::size_t fault = 0; fault < pooling::kStatementFaults; ++fault) {
        UnitMessage message = answer();
        message.result.result.error =
            pooling::StatementError{static_cast<StatementFault>(fault), "why"};
        const UnitMessage got = decoded(bytesOf(message));
        CHECK_TRUE(got.result.result.error->fault == static_cast<StatementFault>(fault));
    }
}

TEST(UnitCodec, MessagesWithoutContentKeepTheirKind) {
    using Kind = UnitMessage::Kind;
    for (const Kind kind :
         {Kind::Declined, Kind::Ended, Kind::HeartbeatAsked, Kind::Heartbeat, Kind::Leaving}) {
        UnitMessage message;
        message.kind = kind;
        message.unit = UnitId(9);
        CHECK_TRUE(decoded(bytesOf(message)).kind == kind);
    }
}

TEST(UnitCodec, AnIncompleteFrameWaits) {
    const std::string whole = bytesOf(request());
    for (std::size_t size = 0; size < whole.size(); ++size) {
        std::string part = whole.substr(0, size);
        CHECK_FALSE(takeMessage(part).has_value());
        UNSIGNED_LONGS_EQUAL(size, part.size());
    }
}

TEST(UnitCodec, TwoFramesComeOneAfterTheOther) {
    std::string bytes = bytesOf(request()) + bytesOf(answer());
    CHECK_TRUE(takeMessage(bytes)->value().kind == UnitMessage::Kind::Request);
    CHECK_TRUE(takeMessage(bytes)->value().kind == UnitMessage::Kind::Answer);
    CHECK_TRUE(bytes.empty());
}

TEST(UnitCodec, LengthsOutOfBoundsAndUnknownNumbersAreRefused) {
    std::string empty(4, '\0');
    CHECK_FALSE(takeMessage(empty)->isOk());
    std::string huge("\x7f\xff\xff\xff", 4);
    CHECK_FALSE(takeMessage(huge)->isOk());
    UnitMessage badVerb = request();
    badVerb.statement.statement.verb = static_cast<StatementVerb>(99);
    std::string bytes = bytesOf(badVerb);
    CHECK_FALSE(takeMessage(bytes)->isOk());
    UnitMessage badFault = answer();
    badFault.result.result.error = pooling::StatementError{static_cast<StatementFault>(99), ""};
    bytes = bytesOf(badFault);
    CHECK_FALSE(takeMessage(bytes)->isOk());
}

TEST(UnitCodec, DamagedFramesNeverEndTheProcess) {
    std::mt19937 random(7);  // NOLINT: the seed is fixed so that the test repeats itself.
    const std::string whole = bytesOf(request());
    int refused = 0;
    for (int round = 0; round < 4000; ++round) {
        std::string bytes = whole;
        for (int change = 0; change < 3; ++change) {
            bytes[4 + random() % (bytes.size() - 4)] = static_cast<char>(random());
        }
        const auto taken = takeMessage(bytes);
        CHECK_TRUE(taken.has_value());
        refused += taken->isOk() ? 0 : 1;
    }
    CHECK(refused > 0);
}

}  // namespace
}  // namespace coralhoist::forwarding
