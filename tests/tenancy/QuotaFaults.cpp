#include "tests/tenancy/QuotaFaults.h"

#include <algorithm>
#include <array>

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortest{50};
constexpr milliseconds kLongest{7000};

}  // namespace

QuotaFaults::QuotaFaults(QuotaNetwork& network, std::size_t nodes, std::mt19937& random)
    : _network(network), _nodes(nodes), _random(random) {}

std::size_t QuotaFaults::anyNode() {
    return std::uniform_int_distribution<std::size_t>(0, _nodes - 1)(_random);
}

/** Prefers the leading node, because its faults matter most. */
std::size_t QuotaFaults::leaderOrAny() {
    const std::vector<std::size_t> leaders = _network.leaders();
    return leaders.empty() || _random() % 3 == 0 ? anyNode() : leaders[_random() % leaders.size()];
}

std::set<std::size_t> QuotaFaults::anyNodes() {
    std::set<std::size_t> nodes;
    const std::size_t count = 1 + _random() % _nodes;
    for (std::size_t drawn = 0; drawn < count; ++drawn) {
        nodes.insert(anyNode());
    }
    return nodes;
}

void QuotaFaults::note(const char* what, Duration now, Duration length) {
    _story += std::string(what) + " at " +
              std::to_string(std::chrono::duration_cast<milliseconds>(now).count()) + " for " +
              std::to_string(std::chrono::duration_cast<milliseconds>(length).count()) + "; ";
}

void QuotaFaults::begin(Duration now) {
    static constexpr std::array<Kind, 15> kKinds{
        &QuotaFaults::slowAnswers, &QuotaFaults::slowNodes,
        &QuotaFaults::kill,        &QuotaFaults::killMany,
        &QuotaFaults::restart,     &QuotaFaults::freeze,
        &QuotaFaults::leave,       &QuotaFaults::cutOff,
        &QuotaFaults::cutLinks,    &QuotaFaults::cutFromEachOther,
        &QuotaFaults::hideNodes,   &QuotaFaults::storeDown,
        &QuotaFaults::storeSlow,   &QuotaFaults::storeLosesAnswers,
        &QuotaFaults::storeCut};
    const Duration length = anyLength();
    (this->*kKinds[_random() % kKinds.size()])(now, length);
}

Duration QuotaFaults::anyLength() {
    return std::uniform_int_distribution<int>(static_cast<int>(kShortest.count()),
                                              static_cast<int>(kLongest.count()))(_random) *
           milliseconds(1);
}

void QuotaFaults::beginBesideCut(Duration now) {
    static constexpr std::array<Kind, 16> kKinds{
        &QuotaFaults::slowAnswers,   &QuotaFaults::slowNodes,
        &QuotaFaults::kill,          &QuotaFaults::freeze,
        &QuotaFaults::leave,         &QuotaFaults::cutLinks,
        &QuotaFaults::hideNodes,     &QuotaFaults::storeDown,
        &QuotaFaults::storeSlow,     &QuotaFaults::storeLosesAnswers,
        &QuotaFaults::storeCut,      &QuotaFaults::killDeputy,
        &QuotaFaults::freezeDeputy,  &QuotaFaults::freezeDeputy,
        &QuotaFaults::restartDeputy, &QuotaFaults::cutIntoSides};
    const Duration length = anyLength();
    (this->*kKinds[_random() % kKinds.size()])(now, length);
}

void QuotaFaults::step(Duration now) {
    while (!_heals.empty() && _heals.begin()->first <= now) {
        const auto action = _heals.extract(_heals.begin());
        action.mapped()();
    }
}

void QuotaFaults::healAll() {
    step(Duration::max());
}

void QuotaFaults::slowAnswers(Duration now, Duration length) {
    const milliseconds delay(std::uniform_int_distribution<int>(2, 900)(_random));
    note(("answers " + std::to_string(delay.count()) + " ms").c_str(), now, length);
    _network.setAnswerDelay(delay);
    heal(now + length, [this] { _network.setAnswerDelay(milliseconds(1)); });
}

void QuotaFaults::slowNodes(Duration now, Duration length) {
    note("slow nodes", now, length);
    for (const std::size_t node : anyNodes()) {
        _network.setAnswerDelay(node, milliseconds(_random() % 700));
    }
    heal(now + length, [this] { _network.setAnswerDelay(milliseconds(1)); });
}

void QuotaFaults::kill(Duration now, Duration length) {
    const std::size_t node = leaderOrAny();
    if (!_network.isRunning(node)) {
        return;
    }
    note("kill", now, length);
    _network.stop(node);
    heal(now + length, [this, node] { _network.restart(node); });
}

void QuotaFaults::killMany(Duration now, Duration length) {
    note("kill many", now, length);
    for (const std::size_t node : anyNodes()) {
        if (_network.isRunning(node)) {
            _network.stop(node);
        }
        heal(now + length, [this, node] { _network.restart(node); });
    }
}

void QuotaFaults::restart(Duration now, Duration /*length*/) {
    note("restart", now, Duration(0));
    _network.restart(leaderOrAny());
}

void QuotaFaults::freeze(Duration now, Duration length) {
    const std::size_t node = leaderOrAny();
    if (!_network.isRunning(node)) {
        return;
    }
    note("freeze", now, length);
    _network.setFrozen(node, true);
    heal(now + length, [this, node] { _network.setFrozen(node, false); });
}

void QuotaFaults::leave(Duration now, Duration length) {
    const std::size_t node = leaderOrAny();
    if (!_network.isRunning(node)) {
        return;
    }
    note("leave", now, length);
    _network.beginLeaving(node);
    heal(now + length, [this, node] { _network.restart(node); });
}

void QuotaFaults::cutOff(Duration now, Duration length) {
    note("cut off", now, length);
    _network.cut(anyNodes());
    heal(now + length, [this] { _network.cut({}); });
}

void QuotaFaults::cutFromEachOther(Duration now, Duration length) {
    note("cut from each other", now, length);
    _network.cutFromEachOther(anyNodes());
    heal(now + length, [this] { _network.cutFromEachOther({}); });
}

void QuotaFaults::cutLinks(Duration now, Duration length) {
    note("cut links", now, length);
    const std::size_t node = leaderOrAny();
    for (const std::size_t other : anyNodes()) {
        _network.setLinkCut(node, other, true);
        heal(now + length, [this, node, other] { _network.setLinkCut(node, other, false); });
    }
}

/** Removes some nodes from other nodes' lists, as when they have just joined. */
void QuotaFaults::hideNodes(Duration now, Duration length) {
    note("lists differ", now, length);
    for (const std::size_t node : anyNodes()) {
        _network.setListed(node, anyNodes());
        heal(now + length, [this, node] {
            std::set<std::size_t> all;
            for (std::size_t other = 0; other < _nodes; ++other) {
                all.insert(other);
            }
            _network.setListed(node, all);
        });
    }
}

void QuotaFaults::storeDown(Duration now, Duration length) {
    note("store down", now, length);
    _network.setStoreDown(true);
    heal(now + length, [this] { _network.setStoreDown(false); });
}

void QuotaFaults::returnStoreOlder(Duration now) {
    constexpr int kLongestAbsence = 3000;
    constexpr int kOldestCopy = 4000;
    const milliseconds absence(std::uniform_int_distribution<int>(2, kLongestAbsence)(_random));
    const milliseconds age(std::uniform_int_distribution<int>(0, kOldestCopy)(_random));
    note(("store returns " + std::to_string(age.count()) + " ms older").c_str(), now, absence);
    _network.setStoreDown(true);
    heal(now + absence, [this, absence, age] {
        _network.store().returnOlder(absence + age);
        _network.setStoreDown(false);
    });
}

void QuotaFaults::storeSlow(Duration now, Duration length) {
    note("store slow", now, length);
    _network.store().faults().latency = milliseconds(20 + _random() % 600);
    heal(now + length, [this] { _network.store().faults().latency = milliseconds(4); });
}

void QuotaFaults::storeLosesAnswers(Duration now, Duration length) {
    note("store loses answers", now, length);
    _network.store().faults().answersLost = 0.5;
    _network.store().faults().latest = milliseconds(_random() % 6000);
    heal(now + length, [this] { _network.store().faults().answersLost = 0; });
}

void QuotaFaults::storeCut(Duration now, Duration length) {
    note("nodes cut from the store", now, length);
    std::set<std::size_t> nodes = anyNodes();
    nodes.insert(leaderOrAny());
    for (const std::size_t node : nodes) {
        _network.setStoreCut(node, true);
        heal(now + length, [this, node] { _network.setStoreCut(node, false); });
    }
}

std::size_t QuotaFaults::deputyOrAny() {
    const std::vector<std::size_t> deputies = _network.deputies();
    return deputies.empty() ? anyNode() : deputies[_random() % deputies.size()];
}

/**
 * Partitions the network into two or three sides: each link between nodes of different sides is
 * cut.
 */
void QuotaFaults::cutIntoSides(Duration now, Duration length) {
    note("cut into sides", now, length);
    const std::size_t sides = 2 + _random() % 2;
    std::vector<std::size_t> sideOf;
    for (std::size_t node = 0; node < _nodes; ++node) {
        sideOf.push_back(_random() % sides);
    }
    for (std::size_t left = 0; left < _nodes; ++left) {
        for (std::size_t right = left + 1; right < _nodes; ++right) {
            if (sideOf[left] == sideOf[right]) {
                continue;
            }
            _network.setLinkCut(left, right, true);
            heal(now + length, [this, left, right] { _network.setLinkCut(left, right, false); });
        }
    }
}

void QuotaFaults::killDeputy(Duration now, Duration length) {
    const std::size_t node = deputyOrAny();
    if (!_network.isRunning(node)) {
        return;
    }
    note("kill deputy", now, length);
    _network.stop(node);
    heal(now + length, [this, node] { _network.restart(node); });
}

void QuotaFaults::freezeDeputy(Duration now, Duration length) {
    const std::size_t node = deputyOrAny();
    if (!_network.isRunning(node)) {
        return;
    }
    note("freeze deputy", now, length);
    _network.setFrozen(node, true);
    heal(now + length, [this, node] { _network.setFrozen(node, false); });
}

void QuotaFaults::restartDeputy(Duration now, Duration /*length*/) {
    note("restart deputy", now, Duration(0));
    _network.restart(deputyOrAny());
}

}  // namespace coralhoist::tenancy
