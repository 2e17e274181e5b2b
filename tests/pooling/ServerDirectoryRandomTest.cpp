/**
 * Random sequences of what a store may show: servers that appear, change, start again under their
 * id, move between groups, leave and return, by lists and by single entries, in any order of
 * versions. No sequence may end the process or list two incarnations of a server.
 */
#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdlib>
#include <map>
#include <string>

#include "base/SystemTime.h"
#include "pooling/ServerDirectory.h"
#include "pooling/ServerIncarnation.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Steps in one test run; CORALHOIST_DIRECTORY_STEPS overrides it. */
constexpr std::uint64_t kDefaultSteps = 50000;
constexpr std::uint64_t kStepsPerSeed = 2000;
constexpr std::uint64_t kIds = 4;
constexpr std::uint64_t kIncarnations = 5;
constexpr std::uint64_t kGroups = 2;
constexpr Duration kRetention = seconds(15);

std::uint64_t steps() {
    const char* text = std::getenv("CORALHOIST_DIRECTORY_STEPS");
    return text != nullptr ? std::strtoull(text, nullptr, 10) : kDefaultSteps;
}

/** One directory and a store that shows it anything. */
class RandomStore {
public:
    explicit RandomStore(std::uint64_t seed) : _random(seed) {}

    void step() {
        _clock.advance(milliseconds(_random.below(400)));
        switch (_random.below(12)) {
            case 0:
                _clock.advance(seconds(_random.below(20)));
                break;
            case 1:
                list();
                break;
            case 2:
                _era += _random.below(8) == 0 ? 1 : 0;
                _directory.removeUnconfirmed(_clock.now());
                break;
            case 3:
            case 4:
                _directory.expire(_clock.now(), kRetention);
                break;
            case 5:
            case 6:
            case 7:
                _directory.remove(drawName(), drawVersion(), _clock.now());
                break;
            default:
                _directory.put(drawEntry(std::to_string(_random.below(kIds))), _clock.now());
                break;
        }
        check();
    }

private:
    StoreVersion drawVersion() {
        const std::uint64_t back = _random.below(6);
        _revision += _random.below(3);
        return {_era, _revision > back ? _revision - back : 1};
    }

    ServerName drawName(const std::string& id) {
        const std::uint64_t incarnation = _random.below(kIncarnations);
        return incarnation == 0 ? ServerName(id)
                                : incarnationName(id, static_cast<std::int64_t>(incarnation));
    }

    ServerName drawName() { return drawName(std::to_string(_random.below(kIds))); }

    ServerAnnouncement drawEntry(const std::string& id) {
        ServerAnnouncement entry;
        entry.address.group = GroupName("g" + std::to_string(_random.below(kGroups)));
        entry.address.server = drawName(id);
        entry.draining = _random.below(4) == 0;
        entry.sequence = _random.below(10);
        entry.version = drawVersion();
        return entry;
    }

    void list() {
        std::vector<ServerAnnouncement> entries;
        for (std::uint64_t id = 0; id < kIds; ++id) {
            if (_random.below(2) == 0) {
                entries.push_back(drawEntry(std::to_string(id)));
            }
        }
        _directory.replaceAll(entries, drawVersion(), _clock.now());
    }

    void check() const {
        std::map<std::string, int> listed;
        for (const auto& [group, servers] : _directory.groups()) {
            for (const auto& [name, server] : servers) {
                listed[idOf(name)] += server.removed ? 0 : 1;
                CHECK_FALSE(_directory.groupOf(name) == GroupName());
            }
        }
        for (const auto& [id, count] : listed) {
            CHECK(count <= 1);
        }
        for (std::uint64_t id = 0; id < kIds; ++id) {
            const std::string name = std::to_string(id);
            const bool isKnown = !(_directory.groupOf(ServerName(name)) == GroupName());
            CHECK_EQUAL(listed.contains(name), isKnown);
        }
    }

    SeededRandom _random;
    testing::ManualClock _clock;
    ServerDirectory _directory;
    std::uint64_t _era = 0;
    std::uint64_t _revision = 1;
};

TEST_GROUP(ServerDirectoryRandom){};

TEST(ServerDirectoryRandom, NoSequenceOfEntriesEndsTheProcess) {
    const std::uint64_t seeds = (steps() + kStepsPerSeed - 1) / kStepsPerSeed;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RandomStore store(seed);
        for (std::uint64_t step = 0; step < kStepsPerSeed; ++step) {
            store.step();
        }
    }
}

}  // namespace
}  // namespace coralhoist::pooling
