/**
 * Guards against statements without a response at the end of a planned stop. A read that two
 * servers had refused for lack of capacity was waiting for its next attempt when the process
 * exited, so its connection was closed without a response. The end of the process depended on the
 * time alone: statements that were received but not sent got no "not run", and statements that were
 * sent got no reply with their real state.
 */
#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "PoolerFixture.h"
#include "pooling/PlannedStop.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kGrace = seconds(6);
constexpr Duration kStep = milliseconds(50);
constexpr int kTenths = 10;

/** Behaviour of the servers from a given time on. */
enum class Servers { Answer, Shed, Slow, Silent };

/** The caller connections that a planned stop sees. */
class OpenSessions final : public CallerFrontend {
public:
    explicit OpenSessions(const PoolerFixture& fixture) : _fixture(fixture) {}

    void stopListening() override { listens = false; }
    void passOnWaiting() override {}
    std::size_t openCount() const override {
        return std::count_if(sessions.begin(), sessions.end(), [this](SessionId session) {
            const auto& closed = _fixture.closedSessions;
            return std::find(closed.begin(), closed.end(), session) == closed.end();
        });
    }

    bool listens = true;
    std::vector<SessionId> sessions;

private:
    const PoolerFixture& _fixture;
};

/**
 * A node that stops while one caller sends its next statement as soon as the last one is answered.
 */
class BusyStop {
public:
    explicit BusyStop(const std::string& service) : _session(fixture.session(service)) {
        open.sessions.push_back(_session);
        fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
    }

    /**
     * Lets the caller send until the process ends.
     * @param change time from which the servers behave as given.
     */
    void run(StatementVerb verb, Servers servers, Duration change) {
        stop.begin(kGrace);
        for (Duration elapsed{0}; elapsed < kGrace; elapsed += kStep) {
            sendNext(verb);
            treat(elapsed < change ? Servers::Answer : servers);
            fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
            fixture.advance(kStep);
            fixture.openConnections();
            if (stop.advance()) {
                ended = true;
                return;
            }
        }
    }

    std::size_t unanswered() const { return _submitted - fixture.replies.size(); }

    PoolerFixture fixture;
    OpenSessions open{fixture};
    PlannedStop stop{fixture.clock, fixture.pooler, open};
    bool ended = false;

private:
    void sendNext(StatementVerb verb) {
        if (unanswered() > 0 || open.openCount() == 0) {
            return;
        }
        fixture.submit(_session, verb, verb == StatementVerb::Write ? "WRITE k v" : "READ k");
        ++_submitted;
    }

    void treat(Servers servers) {
        const auto sentFor = fixture.clock.now() - _slowSince;
        while (fixture.pendingCount() > 0) {
            if (fixture.pending().command.kind == ServerCommand::Kind::Rollback) {
                fixture.acknowledge();
            } else if (servers == Servers::Answer) {
                fixture.succeed();
            } else if (servers == Servers::Shed) {
                fixture.refuse(StatementFault::Busy);
            } else if (servers == Servers::Slow && sentFor >= kSlow) {
                fixture.succeed();
                _slowSince = fixture.clock.now();
            } else {
                return;
            }
        }
        _slowSince = fixture.clock.now();
    }

    static constexpr Duration kSlow = milliseconds(700);
    SessionId _session;
    std::size_t _submitted = 0;
    TimePoint _slowSince{};
};

void checkEachIsAnswered(StatementVerb verb, Servers servers) {
    for (int tenth = 0; tenth < kTenths; ++tenth) {
        BusyStop run(verb == StatementVerb::Write ? "current" : "own");
        run.run(verb, servers, kGrace * tenth / kTenths);
        CHECK_TRUE(run.ended);
        LONGS_EQUAL(0, run.unanswered());
    }
}

TEST_GROUP(PlannedStop){};

TEST(PlannedStop, EachReadIsAnsweredWhereServersShed) {
    checkEachIsAnswered(StatementVerb::Read, Servers::Shed);
}

TEST(PlannedStop, EachWriteIsAnsweredWhereServersShed) {
    checkEachIsAnswered(StatementVerb::Write, Servers::Shed);
}

TEST(PlannedStop, EachReadIsAnsweredWhereServersAreSlow) {
    checkEachIsAnswered(StatementVerb::Read, Servers::Slow);
}

TEST(PlannedStop, EachWriteIsAnsweredWhereServersAreSlow) {
    checkEachIsAnswered(StatementVerb::Write, Servers::Slow);
}

TEST(PlannedStop, EachReadIsAnsweredWhereServersAreSilent) {
    checkEachIsAnswered(StatementVerb::Read, Servers::Silent);
}

TEST(PlannedStop, EachWriteIsAnsweredWhereServersAreSilent) {
    checkEachIsAnswered(StatementVerb::Write, Servers::Silent);
}

/** The last reply is "not run" only if the statement never reached a server. */
TEST(PlannedStop, AWriteThatWasSentIsNotCalledNotRun) {
    BusyStop run("current");
    run.run(StatementVerb::Write, Servers::Silent, kGrace * 4 / kTenths);
    CHECK_TRUE(run.ended);
    for (const RecordedReply& reply : run.fixture.replies) {
        if (reply.result.error && reply.result.error->fault == StatementFault::Busy) {
            STRCMP_CONTAINS("the node is stopping", reply.result.error->message.c_str());
        }
    }
    const bool anyInDoubt = std::any_of(
        run.fixture.replies.begin(), run.fixture.replies.end(), [](const RecordedReply& reply) {
            return reply.result.error && reply.result.error->fault == StatementFault::InDoubt;
        });
    CHECK_TRUE(anyInDoubt);
}

/**
 * In the second half of the grace period no new work is begun: another node can serve it at once.
 */
TEST(PlannedStop, AStatementNearTheEndIsRefusedAtOnce) {
    PoolerFixture fixture;
    OpenSessions open(fixture);
    PlannedStop stop(fixture.clock, fixture.pooler, open);
    const SessionId session = fixture.session("own");
    open.sessions.push_back(session);
    stop.begin(kGrace);
    fixture.submit(session, StatementVerb::Begin, "BEGIN");
    fixture.clock.advance(kGrace * 6 / kTenths);
    stop.advance();
    const SessionId late = fixture.session("own");
    const std::size_t replies = fixture.replies.size();
    fixture.submit(late, StatementVerb::Read, "READ k");
    LONGS_EQUAL(replies + 1, fixture.replies.size());
    CHECK_TRUE(StatementFault::Busy == fixture.replies.back().result.error->fault);
    LONGS_EQUAL(0, fixture.pendingCount());
    CHECK_TRUE(late == fixture.closedSessions.back());
}

TEST(PlannedStop, AnOpenTransactionHasHalfOfTheGrace) {
    PoolerFixture fixture;
    OpenSessions open(fixture);
    PlannedStop stop(fixture.clock, fixture.pooler, open);
    const SessionId session = fixture.session("current");
    open.sessions.push_back(session);
    fixture.submit(session, StatementVerb::Begin, "BEGIN");
    fixture.submit(session, StatementVerb::Write, "WRITE k v");
    fixture.acknowledge(SessionState::InTransaction);
    fixture.succeed({1, 100}, SessionState::InTransaction);
    stop.begin(kGrace);
    fixture.clock.advance(kGrace * 4 / kTenths);
    stop.advance();
    LONGS_EQUAL(0, fixture.closedSessions.size());
    CHECK_TRUE(SessionState::InTransaction == fixture.pooler.stateOfSession(session));
    fixture.clock.advance(kGrace * 2 / kTenths);
    stop.advance();
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    CHECK_TRUE(StatementFault::Aborted == fixture.replies.back().result.error->fault);
    CHECK_TRUE(ServerCommand::Kind::Rollback == fixture.pending().command.kind);
}

}  // namespace
}  // namespace coralhoist::pooling
