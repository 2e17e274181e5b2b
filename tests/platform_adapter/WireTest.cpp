#include <CppUTest/TestHarness.h>

#include <random>

#include "platform/CallerWire.h"
#include "platform/ServerWire.h"
#include "platform/WireWords.h"

namespace coralhoist::platform_adapter {
namespace {

using pooling::ServerCommand;
using pooling::SessionState;
using pooling::ShapeKind;
using pooling::StatementFault;
using pooling::StatementVerb;
using session::CallerMessage;
using session::ServerMessage;

CallerMessage readCaller(const std::string& line) {
    const CallerWire wire;
    auto decoded = wire.decode(line + "\r\n");
    CHECK_TRUE(decoded.has_value());
    UNSIGNED_LONGS_EQUAL(line.size() + 2, decoded->bytes);
    return decoded->message;
}

ServerMessage readServer(const std::string& line) {
    const ServerWire wire;
    auto decoded = wire.decode(line + "\r\n");
    CHECK_TRUE(decoded.has_value());
    return decoded->message;
}

std::string encode(const ServerCommand& command) {
    const ServerWire wire;
    std::string out;
    wire.encode(out, command);
    return out;
}

TEST_GROUP(CallerWire){};

TEST(CallerWire, ReadsConnectAndBye) {
    const CallerMessage connect = readCaller("CONNECT lepu270 u3f1");
    CHECK_TRUE(connect.kind == CallerMessage::Kind::Connect);
    STRCMP_EQUAL("lepu270", connect.database.c_str());
    CHECK_TRUE(readCaller("BYE").kind == CallerMessage::Kind::Goodbye);
}

TEST(CallerWire, ReadsStatementsWithTheirTextUnchanged) {
    const CallerMessage write = readCaller("QUERY 5c0e WRITE 1a4 some data  kept");
    CHECK_TRUE(write.kind == CallerMessage::Kind::Query);
    CHECK_TRUE(write.statement.verb == StatementVerb::Write);
    STRCMP_EQUAL("5c0e", write.statement.id.c_str());
    STRCMP_EQUAL("WRITE 1a4 some data  kept", write.statement.text.c_str());
}

TEST(CallerWire, ReadsBothKindsOfBegin) {
    CHECK_TRUE(readCaller("QUERY 1 BEGIN").statement.verb == StatementVerb::Begin);
    CHECK_TRUE(readCaller("QUERY 1 BEGIN READ").statement.verb == StatementVerb::BeginReadOnly);
    CHECK_TRUE(readCaller("QUERY 1 BEGIN OTHER").kind == CallerMessage::Kind::Malformed);
}

TEST(CallerWire, ReadsPreparedStatements) {
    const CallerMessage prepare = readCaller("QUERY 1 PREPARE s1 WRITE q2c");
    CHECK_TRUE(prepare.statement.verb == StatementVerb::Prepare);
    CHECK_TRUE(prepare.statement.shapeKind == ShapeKind::Write);
    STRCMP_EQUAL("s1", prepare.statement.name.c_str());
    STRCMP_EQUAL("q2c", prepare.statement.argument.c_str());
    const CallerMessage execute = readCaller("QUERY 1 EXECUTE s1 1a4 xk  q");
    STRCMP_EQUAL("s1", execute.statement.name.c_str());
    STRCMP_EQUAL("1a4 xk  q", execute.statement.argument.c_str());
    CHECK_TRUE(readCaller("QUERY 1 PREPARE s1 OTHER q").kind == CallerMessage::Kind::Malformed);
}

TEST(CallerWire, SaysWhatIsMalformed) {
    CHECK_TRUE(readCaller("HELLO").kind == CallerMessage::Kind::Malformed);
    CHECK_TRUE(readCaller("QUERY 1").kind == CallerMessage::Kind::Malformed);
    CHECK_TRUE(readCaller("QUERY 1 DANCE").kind == CallerMessage::Kind::Malformed);
    CHECK_TRUE(readCaller("").kind == CallerMessage::Kind::Malformed);
}

TEST(CallerWire, WaitsForTheEndOfALineUpToItsLimit) {
    const CallerWire wire;
    CHECK_FALSE(wire.decode("QUERY 1 READ 1\r").has_value());
    const std::string long_(kLongestMessage + 1, 'x');
    CHECK_TRUE(wire.decode(long_)->message.kind == CallerMessage::Kind::TooLarge);
}

TEST(CallerWire, WritesResultsAndErrors) {
    const CallerWire wire;
    std::string out;
    pooling::StatementResult result;
    result.rows = {"a b", "c"};
    result.signature = "7.1";
    result.state = SessionState::InTransaction;
    wire.encodeResult(out, result);
    STRCMP_EQUAL("ROW a b\r\nROW c\r\nCOMPLETE 7.1\r\nREADY T -\r\n", out.c_str());
    out.clear();
    pooling::StatementResult failed;
    failed.error = pooling::StatementError{StatementFault::InDoubt, "why"};
    wire.encodeResult(out, failed);
    STRCMP_EQUAL("ERROR INDOUBT why\r\nREADY I -\r\n", out.c_str());
    out.clear();
    wire.encodeReady(out);
    STRCMP_EQUAL("READY I -\r\n", out.c_str());
}

TEST_GROUP(ServerWire){};

TEST(ServerWire, WritesCallersStatementsWithTheirCondition) {
    ServerCommand command;
    command.id = "5c0e";
    command.text = "READ 1a4";
    command.after = OpTime{3, 1207};
    STRCMP_EQUAL("QUERY 5c0e AFTER 3.1207 READ 1a4\r\n", encode(command).c_str());
}

TEST(ServerWire, WritesTheProxysOwnCommandsUnderItsOwnId) {
    ServerCommand command;
    command.kind = ServerCommand::Kind::Pause;
    command.term = 4;
    STRCMP_EQUAL("QUERY - PAUSE 4\r\n", encode(command).c_str());
    command.kind = ServerCommand::Kind::StepDown;
    STRCMP_EQUAL("QUERY - STEPDOWN 4\r\n", encode(command).c_str());
    command.kind = ServerCommand::Kind::Status;
    STRCMP_EQUAL("QUERY - STATUS\r\n", encode(command).c_str());
    command.kind = ServerCommand::Kind::Prepare;
    command.name = "p1";
    command.argument = "q2c";
    command.shapeKind = ShapeKind::Write;
    STRCMP_EQUAL("QUERY - PREPARE p1 WRITE q2c\r\n", encode(command).c_str());
}

TEST(ServerWire, WritesRenamedExecutesUnderTheCallersId) {
    ServerCommand command;
    command.kind = ServerCommand::Kind::Execute;
    command.id = "7";
    command.name = "p1";
    command.argument = "1a4 data";
    STRCMP_EQUAL("QUERY 7 EXECUTE p1 1a4 data\r\n", encode(command).c_str());
}

TEST(ServerWire, ConnectsToTheServerThatItExpects) {
    const ServerWire wire;
    std::string out;
    wire.encodeConnect(out, {GroupName("huvo11a"), ServerName("i-7f"), "10.0.0.1", 1},
                       TenantName());
    STRCMP_EQUAL("CONNECT huvo11a coralhoist i-7f\r\n", out.c_str());
    out.clear();
    wire.encodeConnect(out, {GroupName("huvo11a"), ServerName("i-7f"), "10.0.0.1", 1},
                       TenantName("miny"));
    STRCMP_EQUAL("CONNECT huvo11a miny i-7f\r\n", out.c_str());
}

TEST(ServerWire, ReadsAnswers) {
    const ServerMessage ready = readServer("READY E 3.1209");
    CHECK_TRUE(ready.kind == ServerMessage::Kind::Ready);
    CHECK_TRUE(ready.state == SessionState::Failed);
    CHECK_TRUE((ready.position == OpTime{3, 1209}));
    CHECK_TRUE((readServer("READY I -").position == OpTime{}));
    STRCMP_EQUAL("", readServer("COMPLETE -").text.c_str());
    STRCMP_EQUAL("7.1f3", readServer("COMPLETE 7.1f3").text.c_str());
    const ServerMessage error = readServer("ERROR READONLY i-7f");
    CHECK_TRUE(error.error.fault == StatementFault::ReadOnly);
    STRCMP_EQUAL("i-7f", error.error.message.c_str());
    CHECK_TRUE(readServer("NOISE").kind == ServerMessage::Kind::Malformed);
}

TEST(ServerWire, AnUnknownErrorMakesNoPromise) {
    CHECK_TRUE(readServer("ERROR NEWWORD x").error.fault == StatementFault::Failed);
}

TEST(ServerWire, ReadsReports) {
    const auto report = readReport("replica 3 3.1209 4 12 2 17");
    CHECK_TRUE(report.has_value());
    CHECK_FALSE(report->primary);
    UNSIGNED_LONGS_EQUAL(3, report->term);
    UNSIGNED_LONGS_EQUAL(1209, report->received.position);
    UNSIGNED_LONGS_EQUAL(4, report->heldTerm);
    CHECK_FALSE(readReport("emperor 3 3.1 0 0 0 0").has_value());
    CHECK_FALSE(readReport("").has_value());
}

TEST(ServerWire, EveryFaultHasAWordOfItsOwn) {
    for (const StatementFault fault :
         {StatementFault::Busy, StatementFault::Aborted, StatementFault::Lagging,
          StatementFault::ReadOnly, StatementFault::WrongServer, StatementFault::ConnectionLimit,
          StatementFault::Failed, StatementFault::UnknownName, StatementFault::Timeout,
          StatementFault::Unauthorized, StatementFault::UnknownDatabase, StatementFault::TooLarge,
          StatementFault::Malformed, StatementFault::InDoubt}) {
        CHECK_TRUE(faultOf(wordOf(fault)) == fault);
    }
}

/** Bytes without sense, and lines cut and joined at random: nothing reads beyond its buffer. */
TEST(ServerWire, BothCodecsBearAnyBytes) {
    const CallerWire callers;
    const ServerWire servers;
    const std::string alphabet = "QUERYREADYCONNECTCOMPLETE -.0123456789 \r\n\t\xff";
    std::mt19937 random(20261202);
    for (int round = 0; round < 20000; ++round) {
        std::string bytes;
        const std::size_t length = random() % 60;
        for (std::size_t index = 0; index < length; ++index) {
            bytes += alphabet[random() % alphabet.size()];
        }
        if (const auto decoded = callers.decode(bytes)) {
            CHECK(decoded->bytes > 0 && decoded->bytes <= bytes.size());
        }
        if (const auto decoded = servers.decode(bytes)) {
            CHECK(decoded->bytes > 0 && decoded->bytes <= bytes.size());
        }
        readReport(bytes);
    }
}

}  // namespace
}  // namespace coralhoist::platform_adapter
