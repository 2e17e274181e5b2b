/**
 * A caller kept its session busy while its node stopped as planned. Shortly before the process
 * ended it sent a read; two servers had no capacity and said so, and while the read waited for its
 * next attempt the process ended: the connection closed, and the caller had no answer at all. What
 * was taken and not sent got no "not run", and what was sent no truthful answer, because the end of
 * the process looked at the time alone. The logs showed the read refused twice by servers, and then
 * the end of the node, late, with one session open.
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

/** How servers treat statements from a given moment on. */
enum class Servers { Answer, Shed, Slow, Silent };

/** Connections of callers as a stop sees them. */
class OpenSessions final : public StopSurroundings {
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

/** A node that stops while one caller sends its next statement as soon as it has an answer. */
class BusyStop {
public:
    explicit BusyStop(const std::string& service) : _session(fixture.session(service)) {
        open.sessions.push_back(_session);
        fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
    }

    /** Lets the caller send until the process ends. @param change when servers begin to differ. */
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

/** The last answer is "not run" only where the statement never reached a server. */
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

/** Later than half of the grace nothing new is begun: another node can serve it at once. */
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
