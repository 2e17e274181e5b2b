/**
 * Seeded random series of faults of one group, judged by the commits that promoted servers lack.
 *
 * Members leave as planned, are lost for good, restart with their logs, receive nothing and go
 * silent, and nodes restart at any moment, while callers write and pause. By hand:
 * CORALHOIST_PROMOTION_RUNS runs from the seed CORALHOIST_PROMOTION_SEED.
 */
#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>
#include <functional>

#include "FailoverFixture.h"

namespace coralhoist::pooled {
namespace {

using pooling::SuspicionReason;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kRuns = 40;
constexpr std::uint64_t kFirstSeed = 1;
constexpr Duration kSpan = seconds(45);
/** Servers that do not run refuse connections; dark ones stay silent. */
constexpr Duration kSuspicionInterval = milliseconds(100);

std::uint64_t given(const char* name, std::uint64_t standard) {
    const char* value = std::getenv(name);
    return value != nullptr ? std::strtoull(value, nullptr, 10) : standard;
}

/** One run: a group of three servers that are replaced as they leave, and two nodes. */
class RandomPromotions {
public:
    explicit RandomPromotions(std::uint64_t seed) : _random(seed) {
        watchPrimary();
        writeAndPause();
        if (std::getenv("CORALHOIST_PROMOTION_TRACE") != nullptr) {
            tracePromotions();
        }
        for (TimePoint at = _fixture.queue.now() + seconds(1); at < _end;
             at += milliseconds(300 + _random.below(4000))) {
            _fixture.queue.after(at - _fixture.queue.now(), [this] { disturb(); });
        }
        _fixture.run(kSpan);
    }

    std::size_t violations() const { return _fixture.judge.violations().size(); }
    std::uint64_t promotions() const { return _fixture.group.promotions(); }

private:
    void after(Duration delay, std::function<void()> action) {
        _fixture.queue.after(delay, std::move(action));
    }

    Duration between(int least, int most) {
        return milliseconds(least) +
               milliseconds(_random.below(static_cast<std::uint64_t>(most - least) + 1));
    }

    /** Prints what was done, with CORALHOIST_PROMOTION_TRACE. */
    void trace(const char* what, const LogServer* server = nullptr) {
        if (std::getenv("CORALHOIST_PROMOTION_TRACE") != nullptr) {
            std::printf(
                "%9.3f %s %s",
                std::chrono::duration<double>(_fixture.queue.now().time_since_epoch()).count(),
                what, server == nullptr ? "" : server->name.value().c_str());
            for (const auto& each : _fixture.group.servers()) {
                std::printf(" [%s%s%s %llu.%llu]", each->name.value().c_str(),
                            each->primary ? " leads" : "",
                            each->left      ? " left"
                            : each->running ? ""
                                            : " down",
                            static_cast<unsigned long long>(each->received().term),
                            static_cast<unsigned long long>(each->received().position));
            }
            std::printf("\n");
        }
    }

    void tracePromotions() {
        if (_fixture.group.promotions() != _traced) {
            _traced = _fixture.group.promotions();
            trace("promoted");
            for (const std::string& violation : _fixture.judge.violations()) {
                std::printf("  %s\n", violation.c_str());
            }
        }
        after(milliseconds(2), [this] { tracePromotions(); });
    }

    bool chance(std::uint64_t percent) { return _random.below(100) < percent; }

    /** Nodes suspect a primary that does not run or that they do not reach. */
    void watchPrimary() {
        for (std::size_t index = 0; index < _fixture.nodes.size(); ++index) {
            FailoverNode& node = _fixture.nodes[index];
            const LogServer* primary =
                node.primary ? _fixture.group.find(node.primary->server) : nullptr;
            if (primary == nullptr) {
                continue;
            }
            if (!primary->running) {
                _fixture.suspect(index, SuspicionReason::Unreachable);
            } else if (node.connector->faults().cut.contains(primary->name)) {
                _fixture.suspect(index, SuspicionReason::Silent);
            }
        }
        after(kSuspicionInterval, [this] { watchPrimary(); });
    }

    void writeAndPause() {
        if (!_pausing) {
            _fixture.commitOne();
        }
        if (_random.below(400) == 0) {
            _pausing = !_pausing;
        }
        after(milliseconds(12), [this] { writeAndPause(); });
    }

    LogServer* anyServer(bool primary) {
        std::vector<LogServer*> found;
        for (const auto& server : _fixture.group.servers()) {
            if (!server->left && server->running && server->primary == primary) {
                found.push_back(server.get());
            }
        }
        return found.empty() ? nullptr : found[_random.below(found.size())];
    }

    void disturb() {
        switch (_random.below(9)) {
            case 0:
                return leave();
            case 1:
                return loseForGood();
            case 2:
                return goDark(anyServer(true), between(500, 9000));
            case 3:
                return goDark(anyServer(false), between(300, 5000));
            case 4:
            case 5:
                return deafen();
            case 6:
                return crash(anyServer(true), between(100, 8000));
            case 7:
                return crash(anyServer(false), between(100, 5000));
            default:
                return restartNodes();
        }
    }

    std::size_t present() {
        std::size_t count = 0;
        for (const auto& server : _fixture.group.servers()) {
            count += server->left || server->draining ? 0 : 1;
        }
        return count;
    }

    void replaceSoon() {
        after(between(0, 6000), [this] {
            _fixture.group.join();
            for (const LogServer* dark : _dark) {
                _fixture.group.setIsolated(dark->name, true);
            }
            trace("a server joins");
        });
    }

    void leave() {
        LogServer* server = anyServer(false);
        if (server == nullptr || present() < 3) {
            return;
        }
        server->draining = true;
        trace("announces its end", server);
        after(between(500, 3000), [this, server] {
            _fixture.group.leave(*server);
            trace("has left", server);
        });
        replaceSoon();
    }

    void loseForGood() {
        LogServer* server = anyServer(chance(30));
        if (server == nullptr || present() < 3 || server->draining) {
            return;
        }
        _fixture.group.leave(*server);
        trace("is lost for good", server);
        replaceSoon();
    }

    void goDark(LogServer* server, Duration time) {
        if (server == nullptr || !_dark.insert(server).second) {
            return;
        }
        setDark(*server, true);
        trace("goes dark", server);
        after(time, [this, server] {
            _dark.erase(server);
            setDark(*server, false);
            trace("is back", server);
        });
    }

    void setDark(LogServer& server, bool dark) {
        _fixture.group.setIsolated(server.name, dark);
        for (FailoverNode& node : _fixture.nodes) {
            if (dark) {
                node.connector->faults().cut.insert(server.name);
            } else {
                node.connector->faults().cut.erase(server.name);
            }
        }
        if (dark && chance(50)) {
            const ServerName name = server.name;
            after(milliseconds(3600), [this, name, &server] {
                if (_dark.contains(&server)) {
                    _fixture.removed[name] = _fixture.queue.now();
                }
            });
        } else if (!dark) {
            _fixture.removed.erase(server.name);
        }
    }

    void deafen() {
        LogServer* server = anyServer(false);
        if (server == nullptr) {
            return;
        }
        server->deaf = true;
        trace("receives nothing", server);
        after(between(500, 8000), [this, server] {
            server->deaf = false;
            trace("receives again", server);
        });
    }

    void crash(LogServer* server, Duration time) {
        if (server == nullptr || server->draining) {
            return;
        }
        _fixture.group.crash(*server);
        trace("crashes", server);
        after(time, [this, server] {
            _fixture.group.restart(*server);
            trace("runs again", server);
        });
    }

    void restartNodes() {
        const bool both = chance(40);
        trace(both ? "nodes restart" : "a node may restart");
        for (std::size_t node = 0; node < _fixture.nodes.size(); ++node) {
            if (both || chance(50)) {
                _fixture.restart(node);
            }
        }
    }

    SeededRandom _random;
    FailoverFixture _fixture{2};
    TimePoint _end = _fixture.queue.now() + kSpan;
    bool _pausing = false;
    std::set<LogServer*> _dark;
    std::uint64_t _traced = 0;
};

TEST_GROUP(RandomPromotion){};

/** Guards against any order of departures and silences in which a promotion loses commits. */
TEST(RandomPromotion, NoOrderOfDeparturesLosesACommit) {
    const std::uint64_t runs = given("CORALHOIST_PROMOTION_RUNS", kRuns);
    const std::uint64_t first = given("CORALHOIST_PROMOTION_SEED", kFirstSeed);
    std::uint64_t promotions = 0;
    std::uint64_t broken = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const RandomPromotions run(seed);
        promotions += run.promotions();
        if (run.violations() > 0) {
            ++broken;
            std::printf("seed %llu: commits lost\n", static_cast<unsigned long long>(seed));
        }
    }
    std::printf("%llu runs, %llu promotions, %llu runs with lost commits\n",
                static_cast<unsigned long long>(runs), static_cast<unsigned long long>(promotions),
                static_cast<unsigned long long>(broken));
    UNSIGNED_LONGS_EQUAL(0, broken);
}

}  // namespace
}  // namespace coralhoist::pooled
