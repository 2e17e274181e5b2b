/**
 * Load on eight poolers that execute one group and exchange load reports over a simulated network.
 */
#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdio>
#include <deque>
#include <memory>
#include <set>
#include <utility>

#include "pooling/StatementPooler.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kExecutors = 8;
constexpr std::uint32_t kSlots = 6;
constexpr std::size_t kQueue = 12;
constexpr Duration kSlotTime = milliseconds(20);
constexpr Duration kStep = milliseconds(1);

/**
 * A primary with a few slots and a short FIFO queue; it refuses statements that find the queue
 * full.
 */
class OverloadedServer {
public:
    struct Job {
        std::size_t executor = 0;
        ConnectionId connection;
        TimePoint until{};
    };

    /** @return whether the statement was accepted. */
    bool arrive(std::size_t executor, ConnectionId connection, TimePoint now) {
        ++arrivals;
        if (_waiting.size() >= kQueue) {
            ++refused;
            return false;
        }
        _waiting.push_back({executor, connection, {}});
        begin(now);
        return true;
    }

    /** @return the statements that have ended by now. */
    std::vector<Job> finish(TimePoint now) {
        std::vector<Job> done;
        while (!_running.empty() && _running.front().until <= now) {
            done.push_back(_running.front());
            _running.pop_front();
        }
        begin(now);
        return done;
    }

    std::size_t inflight() const { return _waiting.size() + _running.size(); }

    std::size_t arrivals = 0;
    std::size_t refused = 0;

private:
    void begin(TimePoint now) {
        while (_running.size() < kSlots && !_waiting.empty()) {
            _running.push_back(_waiting.front());
            _running.back().until = now + kSlotTime;
            _waiting.pop_front();
        }
    }

    std::deque<Job> _waiting;
    std::deque<Job> _running;
};

NodeName nodeName(std::size_t index) {
    return NodeName("n" + std::to_string(index));
}

ZoneName zoneName(std::size_t index) {
    return ZoneName("z" + std::to_string(index / 2));
}

/** An executor with its connections, its callers and its load reporter. */
class Executor final : public ServerConnector, public PoolerOutput, public LoadReporter {
public:
    Executor(std::size_t index, const Clock& clock) : pooler(clock, *this, *this, knobsOf(index)) {}

    ConnectionId open(const ServerAddress& /*address*/, const TenantName& /*tenant*/,
                      ServerEvents& /*events*/) override {
        opening.emplace_back(++_lastConnection);
        return opening.back();
    }
    void send(ConnectionId connection, const std::vector<ServerCommand>& commands) override {
        for (std::size_t count = 0; count < commands.size(); ++count) {
            sent.push_back(connection);
        }
    }
    void close(ConnectionId connection) override { std::erase(opening, connection); }

    void reply(SessionId session, StatementResult result) override {
        replies.emplace_back(session, result.succeeded());
    }
    void closeSession(SessionId /*session*/) override {}
    void wantLeadershipProof(const GroupName& /*group*/) override {}
    void suspectPrimary(const GroupName& /*group*/, const ServerName& /*server*/,
                        SuspicionReason /*reason*/) override {}
    void sendLoadReport(const NodeName& node, const LoadReport& report) override {
        told.emplace_back(node, report);
    }

    static PoolerKnobs knobsOf(std::size_t index) {
        PoolerKnobs knobs;
        knobs.node = nodeName(index);
        knobs.zone = zoneName(index);
        knobs.connectionsPerServer = 30;
        return knobs;
    }

    StatementPooler pooler;
    std::vector<ConnectionId> opening;
    std::vector<ConnectionId> sent;
    std::vector<std::pair<SessionId, bool>> replies;
    std::vector<std::pair<NodeName, LoadReport>> told;
    std::map<SessionId, TimePoint> askedAt;
    /** Number of statements that arrive in each step. */
    double perStep = 0;
    double owed = 0;
    std::size_t asked = 0;
    std::size_t inTime = 0;
    bool alive = true;

private:
    std::uint64_t _lastConnection = 0;
};

/** The network of load reports, the server and the callers. Each step takes one millisecond. */
TEST_GROUP(SharedServers) {
    testing::ManualClock clock;
    GroupName group{"g"};
    OverloadedServer server;
    std::vector<std::unique_ptr<Executor>> executors;
    std::set<std::pair<std::size_t, std::size_t>> cut;
    Duration reportDelay = milliseconds(1);
    /** Reports in transit: arrival time and receiver of each. */
    std::deque<std::pair<TimePoint, std::pair<std::size_t, LoadReport>>> delayed;
    std::size_t reports = 0;
    std::size_t mostInflight = 0;

    void start(bool shared) {
        for (std::size_t index = 0; index < kExecutors; ++index) {
            executors.push_back(std::make_unique<Executor>(index, clock));
            if (shared) {
                executors.back()->pooler.setLoadReporter(*executors.back());
            }
            setKnownNodes(index, shared ? kExecutors : 1);
            applyGroup(executors.back()->pooler);
        }
        play(milliseconds(1000));
    }

    /** Sets the first `count` nodes as the nodes that the executor knows. */
    void setKnownNodes(std::size_t index, std::size_t count) {
        std::vector<ProxyNode> nodes;
        for (std::size_t other = 0; other < count; ++other) {
            nodes.push_back({nodeName(other), zoneName(other), "10.0.0.1", 1});
        }
        executors[index]->pooler.applyNodes(count > 1 ? nodes : std::vector<ProxyNode>{});
    }

    void applyGroup(StatementPooler & pooler) {
        auto catalog = std::make_shared<ServiceCatalog>();
        settings::ServiceSettings service;
        service.statementTimeout = milliseconds(1000);
        service.latencyObjective = milliseconds(400);
        catalog->services[ServiceName("s")] = {group, service};
        settings::GroupSettings settings;
        settings.connectionsPerServer = 400;
        catalog->groups[group] = settings;
        pooler.applyCatalog(catalog);
        ServerDirectory directory;
        ServerAnnouncement primary;
        primary.address = {group, ServerName("s1"), "10.0.1.1", 1};
        primary.slots = kSlots;
        primary.role = ServerRole::Primary;
        primary.version.revision = 1;
        directory.put(primary, clock.now());
        pooler.applyDirectory(directory);
    }

    /** Sets the number of statements per second at each executor. */
    void demand(const std::array<double, kExecutors>& perSecond) {
        for (std::size_t index = 0; index < kExecutors; ++index) {
            executors[index]->perStep = perSecond[index] / 1000;
        }
    }

    void play(Duration span) {
        for (const TimePoint end = clock.now() + span; clock.now() < end;) {
            clock.advance(kStep);
            step();
        }
    }

    void step() {
        const TimePoint now = clock.now();
        for (const OverloadedServer::Job& job : server.finish(now)) {
            answer(job.executor, job.connection, true);
        }
        deliverReports(now);
        for (std::size_t index = 0; index < kExecutors; ++index) {
            if (executors[index]->alive) {
                stepOf(index, now);
            }
        }
        mostInflight = std::max(mostInflight, server.inflight());
    }

    void deliverReports(TimePoint now) {
        while (!delayed.empty() && delayed.front().first <= now) {
            const auto [to, report] = delayed.front().second;
            delayed.pop_front();
            executors[to]->pooler.onLoadReport(report);
        }
    }

    void stepOf(std::size_t index, TimePoint now) {
        Executor& executor = *executors[index];
        executor.pooler.confirmLeadership(group, now);
        for (const ConnectionId id : std::exchange(executor.opening, {})) {
            executor.pooler.onOpened(id, {1, 1});
        }
        executor.pooler.onTick();
        for (executor.owed += executor.perStep; executor.owed >= 1; --executor.owed) {
            ask(executor, now);
        }
        for (const ConnectionId id : std::exchange(executor.sent, {})) {
            if (!server.arrive(index, id, now)) {
                answer(index, id, false);
            }
        }
        takeReplies(executor, now);
        for (const auto& [node, report] : std::exchange(executor.told, {})) {
            tell(index, node, report, now);
        }
    }

    void tell(std::size_t from, const NodeName& node, const LoadReport& report, TimePoint now) {
        for (std::size_t to = 0; to < kExecutors; ++to) {
            if (nodeName(to) == node && executors[to]->alive && !cut.contains({from, to})) {
                ++reports;
                delayed.push_back({now + reportDelay, {to, report}});
            }
        }
    }

    void ask(Executor & executor, TimePoint now) {
        const SessionId session = executor.pooler.openSession(ServiceName("s"));
        executor.askedAt[session] = now;
        ++executor.asked;
        Statement statement;
        statement.id = "r" + std::to_string(session.value());
        statement.verb = StatementVerb::Read;
        statement.text = "SELECT";
        executor.pooler.submit(session, statement);
    }

    void answer(std::size_t index, ConnectionId connection, bool succeeded) {
        StatementResult result;
        result.position = OpTime{1, 1};
        if (succeeded) {
            result.signature = "sig";
        } else {
            result.error = StatementError{StatementFault::Busy, "full"};
        }
        if (executors[index]->alive) {
            executors[index]->pooler.onResult(connection, std::move(result));
        }
    }

    void takeReplies(Executor & executor, TimePoint now) {
        for (const auto& [session, succeeded] : std::exchange(executor.replies, {})) {
            const Duration took = now - executor.askedAt[session];
            executor.inTime += succeeded && took <= milliseconds(400) ? 1 : 0;
            executor.askedAt.erase(session);
            executor.pooler.endSession(session);
        }
    }

    std::size_t inTimeOf(std::size_t first, std::size_t last) const {
        std::size_t sum = 0;
        for (std::size_t index = first; index <= last; ++index) {
            sum += executors[index]->inTime;
        }
        return sum;
    }

    std::size_t sharing() const {
        std::size_t count = 0;
        for (const auto& executor : executors) {
            count += executor->pooler.statistics().groupsSharing;
        }
        return count;
    }

    void forgetCounts() {
        server.arrivals = 0;
        server.refused = 0;
        mostInflight = 0;
        reports = 0;
        for (const auto& executor : executors) {
            executor->asked = 0;
            executor->inTime = 0;
        }
    }

    double refusedPart() const {
        return static_cast<double>(server.refused) / static_cast<double>(server.arrivals);
    }

    void print(const char* title) const {
        std::printf(
            "\n%s: arrivals %zu refused %zu (%.2f%%) most in flight %zu in time %zu "
            "reports %zu sharing %zu\n",
            title, server.arrivals, server.refused, 100 * refusedPart(), mostInflight,
            inTimeOf(0, kExecutors - 1), reports, sharing());
    }
};

/** Twice the capacity of the server's slots, most of it in one zone. */
constexpr std::array<double, kExecutors> kUneven{200, 160, 50, 50, 40, 40, 30, 30};

TEST(SharedServers, WithoutSharesExecutorsOvershootTogether) {
    start(false);
    demand(kUneven);
    play(milliseconds(6000));
    print("before");
    CHECK_TRUE(refusedPart() > 0.01);
    UNSIGNED_LONGS_EQUAL(0, sharing());
}

TEST(SharedServers, WithSharesTheServerRefusesLessThanOneInAHundred) {
    start(true);
    demand(kUneven);
    play(milliseconds(6000));
    print("after");
    CHECK_TRUE(refusedPart() < 0.01);
}

TEST(SharedServers, AnExecutorWhoseLinksAreCutKeepsToItsSafeShare) {
    start(true);
    demand(kUneven);
    play(milliseconds(3000));
    for (std::size_t other = 1; other < kExecutors; ++other) {
        cut.insert({0, other});
        cut.insert({other, 0});
    }
    play(CapacityShares::kReportAge);
    forgetCounts();
    play(milliseconds(3000));
    print("cut");
    CHECK_TRUE(refusedPart() < 0.01);
    UNSIGNED_LONGS_EQUAL(kExecutors, sharing());
    // An equal share is 38 statements a second; the other executors use the rest.
    CHECK_TRUE(executors[0]->inTime < 150);
    CHECK_TRUE(inTimeOf(1, 7) > 700);
}

TEST(SharedServers, AKilledExecutorCostsItsEqualPartUntilItIsKnownToBeGone) {
    start(true);
    demand(kUneven);
    play(milliseconds(3000));
    executors[0]->alive = false;
    play(CapacityShares::kReportAge);
    forgetCounts();
    play(milliseconds(2000));
    print("killed, still counted");
    CHECK_TRUE(refusedPart() < 0.01);
    // Seven eighths of nine statements in flight still keep six slots busy: 300 statements a
    // second.
    CHECK_TRUE(inTimeOf(1, 7) > 560);
}

TEST(SharedServers, ReportsThatStopComingLeaveEqualParts) {
    start(true);
    demand(kUneven);
    play(milliseconds(3000));
    for (std::size_t from = 0; from < kExecutors; ++from) {
        for (std::size_t to = 0; to < kExecutors; ++to) {
            cut.insert({from, to});
        }
    }
    play(CapacityShares::kReportAge);
    forgetCounts();
    play(milliseconds(3000));
    print("no reports");
    CHECK_TRUE(refusedPart() < 0.01);
    UNSIGNED_LONGS_EQUAL(0, reports);
}

TEST(SharedServers, TwoViewsOfWhoExecutesDoLittleHarm) {
    start(true);
    for (std::size_t index = 0; index < 4; ++index) {
        setKnownNodes(index, 4);
    }
    demand(kUneven);
    play(milliseconds(4000));
    print("two views");
    CHECK_TRUE(refusedPart() < 0.05);
    for (std::size_t index = 0; index < 4; ++index) {
        setKnownNodes(index, kExecutors);
    }
    play(milliseconds(500));
    forgetCounts();
    play(milliseconds(3000));
    print("one view");
    CHECK_TRUE(refusedPart() < 0.01);
}

TEST(SharedServers, AnIdleZoneReleasesItsShareWithinASecond) {
    start(true);
    demand({200, 160, 30, 30, 20, 20, 20, 20});
    play(milliseconds(3000));
    demand({0, 0, 30, 30, 20, 20, 20, 360});
    play(milliseconds(1000));
    forgetCounts();
    play(milliseconds(1000));
    print("zone emptied");
    CHECK_TRUE(refusedPart() < 0.01);
    // The full capacity of the slots is 300 statements a second.
    CHECK_TRUE(server.arrivals > 280);
}

TEST(SharedServers, LoadWithinCapacityCausesNoReports) {
    start(true);
    demand({40, 30, 30, 30, 30, 20, 20, 20});
    play(milliseconds(3000));
    UNSIGNED_LONGS_EQUAL(0, reports);
    UNSIGNED_LONGS_EQUAL(0, sharing());
    UNSIGNED_LONGS_EQUAL(0, server.refused);
}

}  // namespace
}  // namespace coralhoist::pooling
