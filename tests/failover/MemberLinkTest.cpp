#include <CppUTest/TestHarness.h>

#include <vector>

#include "failover/MemberLink.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::failover {
namespace {

using pooling::ServerCommand;
using std::chrono::milliseconds;

/** Records what is sent; the test reports connections as open. */
class RecordedConnector final : public pooling::ServerConnector {
public:
    ConnectionId open(const pooling::ServerAddress& /*address*/, const TenantName& /*tenant*/,
                      pooling::ServerEvents& events) override {
        opening = &events;
        return ConnectionId(++last);
    }

    void send(ConnectionId /*connection*/, const std::vector<ServerCommand>& commands) override {
        sent.insert(sent.end(), commands.begin(), commands.end());
    }

    void close(ConnectionId /*connection*/) override {}

    void finishOpening() { opening->onOpened(ConnectionId(last), {1, 1}); }

    pooling::ServerEvents* opening = nullptr;
    std::uint64_t last = 0;
    std::vector<ServerCommand> sent;
};

TEST_GROUP(MemberLink) {
    testing::ManualClock clock;
    RecordedConnector connector;
    ReportParser parser = [](const std::string& /*row*/) { return ServerReport{}; };
    MemberLink link{{GroupName("g"), ServerName("s1"), "10.0.0.1", 1}, clock, connector, parser};
};

/** Guards against an order that a frozen node sends when it goes on: another node may have taken
 * the promotion over, and a late Resume would let a replica receive that must not. */
TEST(MemberLink, AnOrderIsNotSentWhenItsConnectionOpensTooLate) {
    link.order(ServerCommand::Kind::Resume, 0, clock.now() + milliseconds(500));
    link.queryStatus();
    clock.advance(milliseconds(500));
    connector.finishOpening();
    UNSIGNED_LONGS_EQUAL(1, connector.sent.size());
    CHECK_TRUE(connector.sent[0].kind == ServerCommand::Kind::Status);
}

TEST(MemberLink, AnOrderWithoutAResponseIsNotSentAgainTooLate) {
    link.order(ServerCommand::Kind::Pause, 4, clock.now() + milliseconds(500));
    connector.finishOpening();
    UNSIGNED_LONGS_EQUAL(1, connector.sent.size());
    connector.opening->onLost(ConnectionId(connector.last));
    clock.advance(milliseconds(500));
    link.queryStatus();
    connector.finishOpening();
    UNSIGNED_LONGS_EQUAL(2, connector.sent.size());
    CHECK_TRUE(connector.sent[1].kind == ServerCommand::Kind::Status);
}

/** Guards against an expired order that keeps a later one of its kind from being sent. */
TEST(MemberLink, ALaterOrderReplacesOneThatWaits) {
    link.order(ServerCommand::Kind::Pause, 4, clock.now() + milliseconds(500));
    clock.advance(milliseconds(400));
    link.order(ServerCommand::Kind::Pause, 6, clock.now() + milliseconds(500));
    clock.advance(milliseconds(400));
    connector.finishOpening();
    UNSIGNED_LONGS_EQUAL(1, connector.sent.size());
    UNSIGNED_LONGS_EQUAL(6, connector.sent[0].term);
}

TEST(MemberLink, AnExpiredOrderOpensNoConnection) {
    link.order(ServerCommand::Kind::Pause, 4, clock.now() + milliseconds(500));
    connector.opening->onOpenFailed(ConnectionId(connector.last), std::nullopt);
    clock.advance(milliseconds(500));
    link.onTick(clock.now());
    UNSIGNED_LONGS_EQUAL(1, connector.last);
}

}  // namespace
}  // namespace coralhoist::failover
