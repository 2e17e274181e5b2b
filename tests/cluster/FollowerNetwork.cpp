#include "tests/cluster/FollowerNetwork.h"

#include <algorithm>
#include <chrono>

#include "cluster/StoreFollower.h"
#include "link/store/EraNotingCaller.h"
#include "platform/StoreProtocol.h"

namespace coralhoist::cluster {
namespace {

using std::chrono::milliseconds;
using store::FeedAnswer;
using store::FeedQuestion;
using store::ObjectEvent;
using store::StoredObject;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kLinkDelay = milliseconds(2);
/** A link on which a question stays unanswered is given up by its heartbeats. */
constexpr Duration kLinkTimeout = milliseconds(850);
/** A node is in contact with the store after so long without trouble. */
constexpr Duration kContact = milliseconds(4000);
constexpr std::size_t kZones = 3;

/** The shortest time in which a change of the settings must be in force on any deployment, and the
 * time within which a draining server gets nothing more. Promotions have no bound of their own. */
const std::vector<BoundedKind> kKinds{{"config", milliseconds(3000)},
                                      {"servers", milliseconds(7000)},
                                      {"promotions", milliseconds(7000)}};

NodeName nameOf(std::size_t index) {
    return NodeName("n" + std::to_string(index));
}

ZoneName zoneOf(std::size_t index) {
    return ZoneName("z" + std::to_string(index % kZones));
}

std::int64_t inMilliseconds(Duration span) {
    return std::chrono::duration_cast<milliseconds>(span).count();
}

/** The object of each kind. */
constexpr const char* kObject = "main";

/** Remembers the highest number that a kind's writer has given. */
class NumberSink final : public store::WatchSink {
public:
    void onList(const std::vector<StoredObject>& objects,
                const StoreVersion& /*version*/) override {
        std::for_each(objects.begin(), objects.end(),
                      [this](const StoredObject& object) { note(object); });
    }
    void onEvent(const ObjectEvent& event) override { note(event.object); }
    void onReachable(bool /*reachable*/) override {}

    std::uint64_t newest = 0;

private:
    void note(const StoredObject& object) {
        const auto number = static_cast<std::uint64_t>(object.content["version"].toInteger());
        newest = std::max(newest, number);
    }
};

}  // namespace

class FollowerNetwork::Node final : public store::FeedQuestions,
                                    public store::FeedAnswers,
                                    public socket::HttpCaller {
public:
    Node(FollowerNetwork& network, std::size_t index) : _network(network), _index(index) {}

    void start() {
        ++life;
        frozen = false;
        _unread.clear();
        _askers.clear();
        _asked.reset();
        troubledAt = _network._queue.now();
        _follower.reset();
        _client = std::make_unique<SimulatedStoreClient>(_network._store, _network._queue);
        _client->setTrouble(storeTrouble);
        _era = std::make_unique<StoreEra>(_network._queue);
        _caller = std::make_unique<store::EraNotingCaller>(*this, _protocol, *_era);
        _readers = std::make_unique<pooling::ReaderTree>(nameOf(_index), zoneOf(_index),
                                                         _network._regions);
        std::vector<pooling::ProxyNode> nodes;
        for (std::size_t other = 0; other < _network.nodeCount(); ++other) {
            nodes.push_back({nameOf(other), zoneOf(other), "h", 1});
        }
        _readers->applyNodes(nodes);
        sinks.clear();
        std::vector<FollowedKind> kinds;
        for (const BoundedKind& kind : kKinds) {
            store::WatchTiming timing;
            timing.wait = milliseconds(3000);
            sinks[kind.name] = std::make_unique<NumberSink>();
            kinds.push_back({kind.name, timing, kind.bound, *sinks[kind.name]});
        }
        _follower = std::make_unique<StoreFollower>(
            FollowerDependencies{_network._queue, _network._random, *_caller, _protocol, *this,
                                 *this, *_era, *_readers, nameOf(_index)},
            kinds);
    }

    /** Runs now, or when the node goes on; never after a restart. */
    void run(const std::function<void()>& action) {
        if (frozen) {
            _unread.push_back(action);
        } else {
            action();
        }
    }

    void setFrozen(bool value) {
        frozen = value;
        troubledAt = _network._queue.now();
        if (!frozen) {
            for (const auto& action : std::exchange(_unread, {})) {
                action();
            }
        }
    }

    void call(const socket::HttpCall& call, socket::HttpCallback callback) override {
        _network._crossingCalls += _network.areFar(_index, 0) ? 1 : 0;
        _client->call(call, [this, asked = life,
                             callback = std::move(callback)](const socket::HttpAnswer& answer) {
            run([this, asked, callback, answer] {
                if (asked == life) {
                    callback(answer);
                }
            });
        });
    }

    bool canReach(const NodeName& node) const override {
        const auto lost = _lostUntil.find(node);
        return lost == _lostUntil.end() || _network._queue.now() >= lost->second;
    }

    void askForChanges(const NodeName& node, std::uint64_t number,
                       const FeedQuestion& asked) override {
        const auto target = static_cast<std::size_t>(std::stoul(node.value().substr(1)));
        _asked = Asked{number, node, _network._queue.now()};
        if (!_network.isLinked(_index, target)) {
            return;
        }
        _network._queue.after(
            _network.delayBetween(_index, target),
            [this, target, number, asked, from = life, targetLife = _network._nodes[target]->life] {
                Node& other = *_network._nodes[target];
                if (other.life == targetLife && _network.isLinked(_index, target)) {
                    other.run([this, &other, number, asked, from, targetLife] {
                        if (other.life == targetLife) {
                            other.onAsked(_index, from, number, asked);
                        }
                    });
                }
            });
    }

    void onAsked(std::size_t from, std::uint64_t fromLife, std::uint64_t number,
                 const FeedQuestion& asked) {
        const std::uint64_t asker = ++_lastAsker;
        _askers[asker] = {from, fromLife, number};
        _follower->onFeedAsked(asker, asked);
    }

    void answerFeed(std::uint64_t asker, const std::optional<FeedAnswer>& answer) override {
        const Asker asked = _askers.at(asker);
        _askers.erase(asker);
        _network._crossingAnswers += _network.areFar(_index, asked.node) ? 1 : 0;
        _network._queue.after(_network.delayBetween(_index, asked.node), [this, asked, answer] {
            Node& other = *_network._nodes[asked.node];
            if (other.life == asked.life && _network.isLinked(_index, asked.node)) {
                other.run([&other, asked, answer] {
                    if (other.life == asked.life) {
                        other.onAnswer(asked.number, answer);
                    }
                });
            }
        });
    }

    void onAnswer(std::uint64_t number, const std::optional<FeedAnswer>& answer) {
        if (_asked && _asked->number == number) {
            _asked.reset();
        }
        _follower->onFeedAnswer(number, answer);
    }

    void step(TimePoint now) {
        if (frozen) {
            return;
        }
        _client->onTick(now);
        if (_asked && now - _asked->at >= kLinkTimeout) {
            const Asked lost = *std::exchange(_asked, std::nullopt);
            _lostUntil[lost.node] = now + kLinkTimeout;
            _follower->onFeedAnswer(lost.number, std::nullopt);
        }
        if (const auto next = _follower->nextTick(); next && *next <= now) {
            _follower->onTick(now);
        }
    }

    void setStoreTrouble(StoreTrouble trouble) {
        troubledAt = _network._queue.now();
        storeTrouble = trouble;
        _client->setTrouble(trouble);
    }

    SimulatedStoreClient& client() { return *_client; }

    /** @return since when the node has been without trouble of its own. */
    TimePoint calmSince() const {
        return frozen || storeTrouble != StoreTrouble::None ? TimePoint::max() : troubledAt;
    }
    std::size_t index() const { return _index; }

    std::map<std::string, std::unique_ptr<NumberSink>> sinks;
    std::uint64_t life = 0;
    bool frozen = false;
    StoreTrouble storeTrouble = StoreTrouble::None;
    /** When the node started, or when trouble of its own began or ended last. */
    TimePoint troubledAt{};

private:
    struct Asked {
        std::uint64_t number = 0;
        NodeName node;
        TimePoint at{};
    };
    struct Asker {
        std::size_t node = 0;
        std::uint64_t life = 0;
        std::uint64_t number = 0;
    };

    FollowerNetwork& _network;
    std::size_t _index;
    platform_adapter::StoreProtocol _protocol;
    std::unique_ptr<SimulatedStoreClient> _client;
    std::unique_ptr<StoreEra> _era;
    std::unique_ptr<store::EraNotingCaller> _caller;
    std::unique_ptr<pooling::ReaderTree> _readers;
    std::unique_ptr<StoreFollower> _follower;
    /** What came while the node stood still. */
    std::vector<std::function<void()>> _unread;
    std::optional<Asked> _asked;
    std::map<NodeName, TimePoint> _lostUntil;
    std::map<std::uint64_t, Asker> _askers;
    std::uint64_t _lastAsker = 0;
};

FollowerNetwork::FollowerNetwork(std::size_t nodes, unsigned seed, locality::RegionMap regions)
    : _random(seed), _regions(std::move(regions)), _start(_queue.now()), _troubledAt(_queue.now()) {
    for (const BoundedKind& kind : kKinds) {
        change(kind.name);
    }
    for (std::size_t index = 0; index < nodes; ++index) {
        _nodes.push_back(std::make_unique<Node>(*this, index));
    }
    for (const auto& node : _nodes) {
        node->start();
    }
}

FollowerNetwork::~FollowerNetwork() = default;

void FollowerNetwork::at(Duration time, std::function<void()> action) {
    _queue.at(_start + time, std::move(action));
}

void FollowerNetwork::run(Duration span) {
    const TimePoint end = _queue.now() + span;
    while (_queue.now() < end) {
        _queue.runFor(kStep);
        for (const auto& node : _nodes) {
            node->step(_queue.now());
        }
        judge();
    }
}

void FollowerNetwork::change(const std::string& kind) {
    _changes[kind].push_back({++_lastNumber, _queue.now()});
    _store.put(kind, kObject, _lastNumber);
}

void FollowerNetwork::returnStore(Duration age, Duration rewrittenAfter) {
    _troubledAt = _queue.now();
    _store.returnOlder(age);
    std::erase_if(_changes["promotions"], [this](const Change& change) {
        return change.number > _store.numberOf("promotions", kObject);
    });
    for (const char* kind : {"config", "servers"}) {
        _queue.after(rewrittenAfter, [this, kind] { writeAgain(kind); });
    }
}

/** A writer that finds its newest change lost makes it again. */
void FollowerNetwork::writeAgain(const std::string& kind) {
    const std::uint64_t newest = _changes[kind].back().number;
    if (_store.numberOf(kind, kObject) < newest) {
        _store.put(kind, kObject, newest);
    }
}

void FollowerNetwork::setStoreTrouble(StoreTrouble trouble) {
    _troubledAt = _queue.now();
    _store.setTrouble(trouble);
}

void FollowerNetwork::setStoreTrouble(std::size_t node, StoreTrouble trouble) {
    _nodes[node]->setStoreTrouble(trouble);
}

void FollowerNetwork::setThrottledKind(const std::string& kind, bool throttled) {
    _kindTroubledAt[kind] = _queue.now();
    _store.setThrottledKind(kind, throttled);
    if (throttled) {
        _throttledKinds.insert(kind);
    } else {
        _throttledKinds.erase(kind);
    }
}

void FollowerNetwork::silenceConnections(std::size_t node) {
    _nodes[node]->client().silenceConnections();
}

void FollowerNetwork::setFrozen(std::size_t node, bool frozen) {
    _nodes[node]->setFrozen(frozen);
}

void FollowerNetwork::restart(std::size_t node) {
    _nodes[node]->start();
}

void FollowerNetwork::setLinkCut(std::size_t left, std::size_t right, bool cut) {
    const auto link = std::minmax(left, right);
    if (cut) {
        _cutLinks.insert(link);
    } else {
        _cutLinks.erase(link);
    }
}

bool FollowerNetwork::isLinked(std::size_t left, std::size_t right) const {
    return !_cutLinks.contains(std::minmax(left, right)) && !(_regionCut && areFar(left, right));
}

bool FollowerNetwork::areFar(std::size_t left, std::size_t right) const {
    return _regions.hasSeveralRegions() && !_regions.areInOneRegion(zoneOf(left), zoneOf(right));
}

Duration FollowerNetwork::delayBetween(std::size_t left, std::size_t right) const {
    return areFar(left, right) ? _crossing : kLinkDelay;
}

void FollowerNetwork::setRegionCut(bool cut) {
    _regionCut = cut;
    for (const auto& node : _nodes) {
        if (areFar(node->index(), 0)) {
            node->setStoreTrouble(cut ? StoreTrouble::Silent : StoreTrouble::None);
        }
    }
}

void FollowerNetwork::judge() {
    if (_store.trouble() != StoreTrouble::None || _queue.now() - _troubledAt < kContact) {
        return;
    }
    for (const auto& node : _nodes) {
        for (const BoundedKind& kind : kKinds) {
            const bool troubled = _throttledKinds.contains(kind.name) ||
                                  _queue.now() - _kindTroubledAt[kind.name] < kContact;
            const TimePoint calm = node->calmSince();
            if (!troubled && calm != TimePoint::max() && _queue.now() - calm >= kContact) {
                judge(*node, kind);
            }
        }
    }
}

void FollowerNetwork::judge(const Node& node, const BoundedKind& kind) {
    const std::uint64_t known = node.sinks.at(kind.name)->newest;
    const auto& changes = _changes[kind.name];
    const auto unknown =
        std::find_if(changes.begin(), changes.end(),
                     [known](const Change& change) { return change.number > known; });
    if (unknown == changes.end()) {
        return;
    }
    const Duration late = _queue.now() - unknown->at;
    Duration& worst = _worst[kind.name];
    worst = std::max(worst, late);
    if (late > kind.bound && _reported.insert({node.index(), kind.name}).second) {
        _violations += kind.name + " of n" + std::to_string(node.index()) + " at " +
                       std::to_string(inMilliseconds(_queue.now() - _start)) +
                       " ms lacks a change of " + std::to_string(inMilliseconds(late)) +
                       " ms before\n";
    }
}

Duration FollowerNetwork::worstDelay(const std::string& kind) const {
    const auto worst = _worst.find(kind);
    return worst == _worst.end() ? Duration(0) : worst->second;
}

}  // namespace coralhoist::cluster
