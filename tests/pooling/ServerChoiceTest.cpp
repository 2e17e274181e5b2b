#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <functional>
#include <random>

#include "pooling/ServerChoice.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

ServerCandidate usual() {
    ServerCandidate candidate;
    candidate.unitTime = milliseconds(20);
    candidate.concurrency = 6;
    return candidate;
}

TEST_GROUP(ServerChoice) {
    std::vector<ServerCandidate> candidates{usual(), usual()};

    std::optional<std::size_t> chosen(Duration maximumWait = Duration(0)) {
        return ServerChoice::choose(candidates, maximumWait).index;
    }
};

TEST(ServerChoice, NoServerIsNoCandidate) {
    candidates.clear();
    const ServerChosen result = ServerChoice::choose(candidates, Duration(0));
    CHECK(result.index == std::nullopt);
    CHECK_FALSE(result.anyCandidate);
}

TEST(ServerChoice, TheSoonerCompletionIsTaken) {
    candidates[0].slowness = 2;
    CHECK(chosen() == 1);
}

TEST(ServerChoice, WhatIsInFlightCounts) {
    candidates[0].inflight = 3;
    CHECK(chosen() == 1);
}

TEST(ServerChoice, AConnectionToBeOpenedCounts) {
    candidates[0].connecting = milliseconds(15);
    CHECK(chosen() == 1);
}

TEST(ServerChoice, ASuspectIsTakenWhenThereIsNoOther) {
    candidates[0].suspect = true;
    candidates[1].slowness = 5;
    CHECK(chosen() == 1);
    candidates.pop_back();
    CHECK(chosen() == 0);
}

TEST(ServerChoice, AFullServerIsNotTaken) {
    candidates[0].hasRoom = false;
    CHECK(chosen() == 1);
    candidates[1].hasRoom = false;
    const ServerChosen result = ServerChoice::choose(candidates, Duration(0));
    CHECK(result.index == std::nullopt);
    CHECK(result.anyCandidate);
}

TEST(ServerChoice, AnEjectedServerIsNotTakenThoughTheOthersAreFull) {
    candidates[0].standing = ServerStanding::Ejected;
    candidates[1].hasRoom = false;
    CHECK(chosen() == std::nullopt);
}

TEST(ServerChoice, AnEjectedServerRunsWhatNoOtherCan) {
    candidates[0].standing = ServerStanding::Ejected;
    candidates[1].readyIn = milliseconds(500);
    CHECK(chosen() == 0);
}

TEST(ServerChoice, ASlowServerTakesWhatFindsNoRoomElsewhere) {
    candidates[0].standing = ServerStanding::Slow;
    CHECK(chosen() == 1);
    candidates[1].hasRoom = false;
    CHECK(chosen() == 0);
}

TEST(ServerChoice, AUnitWaitsForAReplicaThatCompletesItSooner) {
    candidates[0].slowness = 3;
    candidates[1].readyIn = milliseconds(30);
    const ServerChosen result = ServerChoice::choose(candidates, milliseconds(100));
    CHECK(result.index == std::nullopt);
    CHECK(result.replicaIn == milliseconds(30));
}

TEST(ServerChoice, AUnitWaitsNoLongerThanItMay) {
    candidates[0].slowness = 3;
    candidates[1].readyIn = milliseconds(30);
    CHECK(chosen(milliseconds(20)) == 0);
}

TEST(ServerChoice, AUnitDoesNotWaitWhereAnotherServerIsSooner) {
    candidates[1].readyIn = milliseconds(30);
    CHECK(chosen(milliseconds(100)) == 0);
}

/**
 * A load on one primary and two replicas with six slots each: short statements that only the
 * primary can run, and long reads that any server can run. One replica runs everything at half the
 * speed.
 */
class UnevenLoad {
public:
    using Policy = std::function<std::size_t(const UnevenLoad&, Duration readTime)>;

    /** What is known about a server while the load runs. */
    struct Server {
        double speed = 1;
        std::vector<double> freeAt = std::vector<double>(6, 0.0);
        std::vector<double> ends;
        double latency = 15;
        double slowness = 1;
    };

    /** @return the share of all statements that end within the objective, in milliseconds. */
    double shareInTime(const Policy& policy, double objective) {
        std::exponential_distribution<double> gap(arrivals);
        std::uniform_real_distribution<double> part(0, 1);
        int inTime = 0;
        for (int index = 0; index < kStatements; ++index) {
            now += gap(random);
            const bool isRead = part(random) < 0.7;
            const double work = (isRead ? 40.0 : 9.0) * (0.5 + part(random));
            const std::size_t chosen = isRead ? policy(*this, _readTime) : 0;
            inTime += run(servers[chosen], work, isRead) <= objective ? 1 : 0;
        }
        return static_cast<double>(inTime) / kStatements;
    }

    std::size_t inflight(std::size_t index) const {
        const std::vector<double>& ends = servers[index].ends;
        return static_cast<std::size_t>(
            std::count_if(ends.begin(), ends.end(), [this](double end) { return end > now; }));
    }

    static constexpr double kConcurrency = 9;

    std::array<Server, 3> servers;
    std::mt19937 random;
    double now = 0;
    /** Mean number of statements that arrive per millisecond. */
    double arrivals = 0;

private:
    static constexpr int kStatements = 20000;

    /** @return the time until the statement's response; the estimates are updated with it. */
    double run(Server& server, double work, bool isRead) {
        const auto slot = std::min_element(server.freeAt.begin(), server.freeAt.end());
        const double end = std::max(now, *slot) + work / server.speed;
        *slot = end;
        std::erase_if(server.ends, [this](double other) { return other <= now; });
        server.ends.push_back(end);
        const double took = end - now;
        server.latency += (took - server.latency) / 6;
        if (isRead) {
            const double usual = static_cast<double>(_readTime.count()) / 1e6;
            server.slowness += (took / usual - server.slowness) / 6;
            _readTime += Duration(static_cast<Duration::rep>((took - usual) * 1e6 / 16));
        }
        return took;
    }

    Duration _readTime = milliseconds(40);
};

std::size_t byCompletion(const UnevenLoad& load, Duration readTime) {
    std::vector<ServerCandidate> candidates(3);
    for (std::size_t index = 0; index < 3; ++index) {
        candidates[index].unitTime = readTime;
        candidates[index].slowness = load.servers[index].slowness;
        candidates[index].inflight = static_cast<double>(load.inflight(index));
        candidates[index].concurrency = UnevenLoad::kConcurrency;
    }
    candidates[0].penalty = milliseconds(10);
    return *ServerChoice::choose(candidates, Duration(0)).index;
}

std::size_t byPenalties(const UnevenLoad& load, Duration /*readTime*/) {
    std::size_t best = 0;
    double least = 0;
    for (std::size_t index = 0; index < 3; ++index) {
        const double cost = load.servers[index].latency +
                            8.0 * static_cast<double>(load.inflight(index)) +
                            (index == 0 ? 10.0 : 0.0);
        if (index == 0 || cost < least) {
            best = index;
            least = cost;
        }
    }
    return best;
}

/** Chooses two servers at random and takes the one that has less in flight. */
std::size_t byTwoChoices(const UnevenLoad& load, Duration /*readTime*/) {
    static std::mt19937 random{11};
    const std::size_t first = random() % 3;
    const std::size_t second = (first + 1 + random() % 2) % 3;
    return load.inflight(first) <= load.inflight(second) ? first : second;
}

/** @return the share of statements in time, as the mean of several random loads. */
double play(const UnevenLoad::Policy& policy, double lastSpeed, double arrivals) {
    constexpr unsigned kLoads = 8;
    double sum = 0;
    for (unsigned seed = 1; seed <= kLoads; ++seed) {
        UnevenLoad load;
        load.random.seed(seed);
        load.arrivals = arrivals;
        load.servers[2].speed = lastSpeed;
        sum += load.shareInTime(policy, 100);
    }
    return sum / kLoads;
}

/** @param allowance difference that chance alone makes between policies of equal quality. */
void compare(double lastSpeed, double arrivals, double allowance = 0) {
    const double completion = play(byCompletion, lastSpeed, arrivals);
    const double penalties = play(byPenalties, lastSpeed, arrivals);
    const double twoChoices = play(byTwoChoices, lastSpeed, arrivals);
    const SimpleString figures = StringFromFormat(
        "completion %.4f, penalties %.4f, two choices %.4f", completion, penalties, twoChoices);
    CHECK_TEXT(completion >= penalties - allowance, figures.asCharString());
    CHECK_TEXT(completion >= twoChoices - allowance, figures.asCharString());
}

TEST_GROUP(UnevenLoad){};

TEST(UnevenLoad, OneSlowReplicaNearTheLimitOfAllServers) {
    compare(0.5, 0.46);
}

TEST(UnevenLoad, OneSlowReplica) {
    compare(0.5, 0.38);
}

TEST(UnevenLoad, WhereServersAreAlikeNothingIsLost) {
    compare(1, 0.5, 0.001);
}

}  // namespace
}  // namespace coralhoist::pooling
