#include <CppUTest/TestHarness.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTcpSocket>
#include <functional>

#include "link/session/CallerListener.h"
#include "platform/CallerWire.h"
#include "tests/support/ManualClock.h"
#include "tests/tenancy/InstantShardStore.h"

namespace coralhoist::session {
namespace {

using std::chrono::milliseconds;

constexpr const char* kHost = "127.0.0.1";

/** No server can be reached. */
class NoServers final : public pooling::ServerConnector {
public:
    ConnectionId open(const pooling::ServerAddress& /*address*/, const TenantName& /*tenant*/,
                      pooling::ServerEvents& /*events*/) override {
        return ConnectionId(1);
    }
    void send(ConnectionId /*connection*/,
              const std::vector<pooling::ServerCommand>& /*commands*/) override {}
    void close(ConnectionId /*connection*/) override {}
};

/** There are no other nodes. */
class NoQuotaLinks final : public tenancy::QuotaRequestSender, public tenancy::QuotaResponseSender {
public:
    bool canReach(const NodeName& /*node*/) const override { return false; }
    void sendQuotaRequest(const NodeName& /*node*/, std::uint64_t /*question*/,
                          const tenancy::QuotaRequest& /*asked*/) override {}
    void updateLedger(const NodeName& /*node*/, std::uint64_t /*question*/,
                      const tenancy::LedgerUpdate& /*update*/) override {}
    void sendQuotaResponse(std::uint64_t /*asker*/,
                           const tenancy::QuotaResponse& /*answer*/) override {}
    void acknowledgeLedger(std::uint64_t /*asker*/, const tenancy::LedgerAck& /*ack*/) override {}
};

TEST_GROUP(CallerListener), public pooling::PoolerOutput {
    int count = 1;
    char name[8] = "test";
    char* arguments[1] = {name};
    QCoreApplication application{count, arguments};
    testing::ManualClock clock;
    NoServers servers;
    socket::SocketPoller poller;
    platform_adapter::CallerWire wire;
    pooling::StatementPooler pooler{clock, servers, *this, {}};
    NoQuotaLinks quotaLinks;
    tenancy::InstantShardStore quotaStore;
    StoreEra era{clock};
    tenancy::QuotaExchange quotas{{clock,
                                   quotaLinks,
                                   quotaLinks,
                                   quotaStore,
                                   era,
                                   {NodeName("n1"), "n1/1"},
                                   ZoneName("z"),
                                   [](const TenantName& /*tenant*/) {}},
                                  {}};
    tenancy::TenantGate gate{clock, pooler, quotas, [this] { return clock.now(); }, {}};
    CallerListener listener{poller, wire, pooler, gate, clock, 10};
    QTcpSocket caller;
    QByteArray received;

    void setup() override {
        CHECK_TRUE(listener.listen(kHost, 0).isOk());
        caller.connectToHost(kHost, listener.port());
        waitFor([this] { return listener.connectionCount() == 1; });
    }

    void reply(SessionId session, pooling::StatementResult result) override {
        listener.reply(session, result);
    }
    void closeSession(SessionId session) override {
        listener.closeSession(session);
    }
    void wantLeadershipProof(const GroupName& /*group*/) override {}
    void suspectPrimary(const GroupName& /*group*/, const ServerName& /*server*/,
                        pooling::SuspicionReason /*reason*/) override {}

    void waitFor(const std::function<bool()>& condition) {
        while (!condition()) {
            QCoreApplication::processEvents(QEventLoop::AllEvents);
            received += caller.readAll();
        }
    }

    /** Sends bytes and waits until the listener has had them. */
    void send(const char* bytes) {
        caller.write(bytes);
        waitFor([this] { return caller.bytesToWrite() == 0; });
    }

    void expect(const char* bytes) {
        waitFor([this, bytes] { return received.size() >= static_cast<int>(strlen(bytes)); });
        STRCMP_EQUAL(bytes, received.constData());
        received.clear();
    }

    void publishService() {
        auto catalog = std::make_shared<pooling::ServiceCatalog>();
        catalog->services[ServiceName("db")] = {GroupName("g"), settings::ServiceSettings{}};
        pooler.applyCatalog(catalog);
    }
};

/** Found in incident inc-dc8f: a restarted proxy told a caller that its database was unknown. */
TEST(CallerListener, NoServiceIsUnknownBeforeTheSettingsAreKnown) {
    send("CONNECT db who\r\n");
    publishService();
    listener.startServing();
    expect("READY I -\r\n");
}

TEST(CallerListener, AConnectionThatWaitsTooLongIsToldToComeBack) {
    send("CONNECT db who\r\n");
    clock.advance(milliseconds(601));
    listener.onTick(clock.now());
    expect("ERROR RETRY not ready yet; come back in 1000 ms\r\n");
}

TEST(CallerListener, AnUnknownServiceIsRefusedOnceTheSettingsAreKnown) {
    listener.startServing();
    send("CONNECT db who\r\n");
    expect("ERROR NODB no such database\r\n");
    waitFor([this] { return caller.state() == QAbstractSocket::UnconnectedState; });
}

TEST(CallerListener, AnswersStatementsThatCameInOnePacketInOrder) {
    publishService();
    listener.startServing();
    send("CONNECT db who\r\nQUERY 1 SET a 1\r\nQUERY 2 BEGIN\r\nQUERY 3 ROLLBACK\r\nNOISE\r\n");
    expect(
        "READY I -\r\nCOMPLETE -\r\nREADY I -\r\nCOMPLETE -\r\nREADY T -\r\nCOMPLETE -\r\n"
        "READY I -\r\nERROR MALFORMED unknown message\r\nREADY I -\r\n");
}

TEST(CallerListener, ACallerThatSaysGoodbyeIsClosed) {
    publishService();
    listener.startServing();
    send("CONNECT db who\r\nBYE\r\n");
    waitFor([this] { return caller.state() == QAbstractSocket::UnconnectedState; });
    UNSIGNED_LONGS_EQUAL(0, pooler.sessionCount());
}

}  // namespace
}  // namespace coralhoist::session
