#include "tests/tenancy/QuotaNetwork.h"

#include <algorithm>
#include <utility>

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

constexpr Duration kQuestionDelay = milliseconds(1);
/**
 * A link that is cut, or whose other end is suspended, is closed after this time, as heartbeats
 * would do.
 */
constexpr Duration kLinkTimeout = milliseconds(500);

/**
 * Interval at which a node lists records of other kinds, by which it learns the era of the store.
 */
constexpr Duration kListEvery = milliseconds(1000);

const TenantName kTenant{"t"};

NodeName nameOf(std::size_t index) {
    return NodeName("n" + std::to_string(index));
}

void addByRank(CountersByRank& total, const CountersByRank& more) {
    for (std::size_t rank = 0; rank < total.size(); ++rank) {
        total[rank] += more[rank];
    }
}

void add(QuotaStatistics& total, const QuotaStatistics& more) {
    addByRank(total.grantedByRank, more.grantedByRank);
    addByRank(total.deferredByRank, more.deferredByRank);
    addByRank(total.refusedByRank, more.refusedByRank);
    addByRank(total.turnsByRank, more.turnsByRank);
    addByRank(total.turnsKeptByRank, more.turnsKeptByRank);
    total.ran += more.ran;
    total.unused += more.unused;
    total.lateResponses += more.lateResponses;
    total.granted += more.granted;
    total.relayed += more.relayed;
    total.declined += more.declined;
    total.ledWithCopy += more.ledWithCopy;
    total.ledWithoutCopy += more.ledWithoutCopy;
    total.standbysLost += more.standbysLost;
    total.deputized += more.deputized;
    total.grantedAsDeputy += more.grantedAsDeputy;
}

}  // namespace

class QuotaNetwork::Node final : public QuotaRequestSender,
                                 public QuotaResponseSender,
                                 public QuotaShardStore {
public:
    Node(QuotaNetwork& network, std::size_t index) : _network(network), _index(index) {
        for (std::size_t other = 0; other < network._nodeCount; ++other) {
            listed.insert(other);
        }
        start();
    }

    void start() {
        ++incarnation;
        running = true;
        frozen = false;
        leaving = false;
        _unanswered.clear();
        _askers.clear();
        _lostUntil.clear();
        exchange.reset();
        _era = std::make_unique<StoreEra>(_network._clock);
        noteEra(_network._store.era());
        exchange = std::make_unique<QuotaExchange>(
            QuotaDependencies{
                _network._clock,
                *this,
                *this,
                *this,
                *_era,
                {nameOf(_index), nameOf(_index).value() + "/" + std::to_string(incarnation)},
                ZoneName("z" + std::to_string(_index % 3)),
                [this](const TenantName& tenant) {
                    if (gate) {
                        gate->gate().onQuotaChange(tenant);
                    }
                }},
            _network._terms);
        applyNodes();
        applyQuota();
        if (_network._catalog) {
            const auto seed = static_cast<unsigned>(_index + 1000 * incarnation);
            gate = std::make_unique<GatedNode>(_network._clock, *exchange, _network._served,
                                               _network._runs, tenants(), _network._catalog, seed);
        }
    }

    std::shared_ptr<const TenantDirectory> tenants() const {
        Tenant tenant;
        tenant.name = kTenant;
        tenant.quota = _network._quota;
        tenant.credentials = {CredentialDigest::of("key")};
        return std::make_shared<TenantDirectory>(1, std::vector<Tenant>{tenant},
                                                 std::set<ServiceName>{});
    }

    void applyNodes() {
        std::vector<pooling::ProxyNode> nodes;
        for (const std::size_t other : listed) {
            nodes.push_back({nameOf(other), ZoneName("z" + std::to_string(other % 3)), "h", 1});
        }
        exchange->applyNodes(nodes);
    }

    void applyQuota() { exchange->applyTenants(tenants()); }

    bool isActive() const { return running && !frozen; }

    bool canReach(const NodeName& node) const override {
        const std::size_t other = _network.indexOf(node);
        const auto lost = _lostUntil.find(other);
        return listed.contains(other) && !_network._nodes[other]->leaving &&
               (lost == _lostUntil.end() || _network._clock.now() >= lost->second);
    }

    void sendQuotaRequest(const NodeName& node, std::uint64_t number,
                          const QuotaRequest& asked) override {
        Packet packet = packetTo(node, number);
        packet.kind = Packet::Kind::Question;
        packet.question = asked;
        ask(std::move(packet));
    }

    void updateLedger(const NodeName& node, std::uint64_t number,
                      const LedgerUpdate& update) override {
        Packet packet = packetTo(node, number);
        packet.kind = Packet::Kind::Update;
        packet.update = update;
        ask(std::move(packet));
    }

    void sendQuotaResponse(std::uint64_t asker, const QuotaResponse& answer) override {
        Packet packet = answerTo(asker);
        packet.kind = Packet::Kind::Answer;
        packet.answer = answer;
        _network.send(std::move(packet), answerDelay);
    }

    void acknowledgeLedger(std::uint64_t asker, const LedgerAck& ack) override {
        Packet packet = answerTo(asker);
        packet.kind = Packet::Kind::Ack;
        packet.ack = ack;
        _network.send(std::move(packet), answerDelay);
    }

    /**
     * Lists records of other kinds, from which a starting node learns whether the store was
     * restored.
     */
    void noteEra(std::uint64_t era) {
        _era->note(era, "store");
        _era->noteWritten(_network._store.firstEra());
    }

    void load(std::uint32_t shard, std::function<void(const LoadedShard&)> callback) override {
        _network._store.load(_index, shard,
                             whileAlive<LoadedShard>([this, callback](const LoadedShard& loaded) {
                                 noteEra(loaded.record.version.era);
                                 callback(loaded);
                             }));
    }

    void save(std::uint32_t shard, const QuotaShardRecord& record,
              std::function<void(const SavedShard&)> callback) override {
        _network._store.save(_index, shard, record,
                             whileAlive<SavedShard>([this, callback](const SavedShard& saved) {
                                 noteEra(saved.version.era);
                                 callback(saved);
                             }));
    }

    /** Handles a request of another node. */
    void onQuestion(const Packet& packet) {
        const std::uint64_t asker = ++_lastAsker;
        _askers[asker] = packet;
        if (packet.kind == Packet::Kind::Update) {
            if (leaving) {
                acknowledgeLedger(asker, {});
            } else {
                exchange->onLedgerUpdate(asker, packet.update);
            }
        } else if (leaving) {
            sendQuotaResponse(asker, declinedResponse(Duration(0)));
        } else {
            exchange->onQuotaRequest(asker, packet.question);
        }
    }

    void onAnswer(const Packet& packet) {
        _unanswered.erase(packet.number);
        if (packet.kind == Packet::Kind::Ack) {
            exchange->onLedgerAck(packet.number, packet.ack);
        } else {
            exchange->onQuotaResponse(packet.number, packet.answer);
        }
    }

    /** Closes links on which a response has been pending for the link timeout. */
    void giveUpLinks() {
        const TimePoint now = _network._clock.now();
        std::set<std::size_t> lost;
        for (const auto& [number, packet] : _unanswered) {
            const Node& other = *_network._nodes[packet.to];
            const bool refused = !other.running || other.incarnation != packet.targetIncarnation;
            const bool silent = !_network.isConnected(_index, packet.to) || other.frozen;
            if (refused || (silent && now - _sentAt[number] >= kLinkTimeout)) {
                lost.insert(packet.to);
            }
        }
        for (const std::size_t node : lost) {
            lose(node, now);
        }
    }

    void step() {
        const TimePoint now = _network._clock.now();
        if (now >= _nextList && !_network._store.isCut(_index)) {
            _nextList = now + kListEvery;
            noteEra(_network._store.era());
        }
        if (exchange->nextTick() <= now) {
            exchange->onTick(now);
        }
        if (gate) {
            gate->step(now);
        }
        if (!_unanswered.empty()) {
            giveUpLinks();
        }
    }

    std::unique_ptr<QuotaExchange> exchange;
    std::unique_ptr<GatedNode> gate;
    std::set<std::size_t> listed;
    std::uint64_t incarnation = 0;
    bool running = false;
    bool frozen = false;
    bool leaving = false;
    Duration answerDelay = milliseconds(1);
    /** Messages that arrived while the node was suspended. */
    std::vector<Packet> unread;
    std::vector<std::function<void()>> unreadStore;

private:
    Packet packetTo(const NodeName& node, std::uint64_t number) const {
        Packet packet;
        packet.from = _index;
        packet.to = _network.indexOf(node);
        packet.number = number;
        packet.incarnation = incarnation;
        packet.targetIncarnation = _network._nodes[packet.to]->incarnation;
        return packet;
    }

    Packet answerTo(std::uint64_t asker) {
        const Packet asked = _askers.at(asker);
        _askers.erase(asker);
        Packet packet;
        packet.from = _index;
        packet.to = asked.from;
        packet.number = asked.number;
        packet.incarnation = asked.incarnation;
        return packet;
    }

    void ask(Packet packet) {
        _unanswered[packet.number] = packet;
        _sentAt[packet.number] = _network._clock.now();
        _network.send(std::move(packet), kQuestionDelay);
    }

    void lose(std::size_t node, TimePoint now) {
        _lostUntil[node] = now + milliseconds(200);
        std::vector<Packet> lost;
        for (const auto& [number, packet] : _unanswered) {
            if (packet.to == node) {
                lost.push_back(packet);
            }
        }
        for (const Packet& packet : lost) {
            _unanswered.erase(packet.number);
            _sentAt.erase(packet.number);
            if (packet.kind == Packet::Kind::Update) {
                exchange->onLedgerAck(packet.number, std::nullopt);
            } else {
                exchange->onQuotaResponse(packet.number, std::nullopt);
            }
        }
        // If the other node is reachable, a new connection opens after 200 ms. Otherwise the link
        // stays closed until the node is reachable again.
        if (!_network.isConnected(_index, node)) {
            _lostUntil[node] = TimePoint::max();
        }
    }

    /**
     * Wraps the callback so that it is not called after this incarnation has ended, and is deferred
     * while the node is suspended.
     */
    template <typename Answer>
    std::function<void(const Answer&)> whileAlive(std::function<void(const Answer&)> callback) {
        return
            [this, calledIn = incarnation, callback = std::move(callback)](const Answer& answer) {
                if (calledIn != incarnation || !running) {
                    return;
                }
                if (frozen) {
                    unreadStore.push_back([callback, answer] { callback(answer); });
                    return;
                }
                callback(answer);
            };
    }

    friend class QuotaNetwork;

    QuotaNetwork& _network;
    std::size_t _index;
    std::unique_ptr<StoreEra> _era;
    TimePoint _nextList{};
    std::map<std::uint64_t, Packet> _askers;
    std::uint64_t _lastAsker = 0;
    std::map<std::uint64_t, Packet> _unanswered;
    std::map<std::uint64_t, TimePoint> _sentAt;
    /** Closed links by the index of the other node, and when each link is usable again. */
    std::map<std::size_t, TimePoint> _lostUntil;
};

QuotaNetwork::QuotaNetwork(std::size_t nodes, TenantQuota quota, QuotaTerms terms, unsigned seed,
                           std::shared_ptr<const pooling::ServiceCatalog> catalog)
    : _store(_clock, seed),
      _nodeCount(nodes),
      _quota(quota),
      _terms(terms),
      _catalog(std::move(catalog)) {
    for (std::size_t index = 0; index < nodes; ++index) {
        _nodes.push_back(std::make_unique<Node>(*this, index));
    }
}

QuotaNetwork::~QuotaNetwork() = default;

std::size_t QuotaNetwork::indexOf(const NodeName& name) const {
    return static_cast<std::size_t>(std::stoul(name.value().substr(1)));
}

bool QuotaNetwork::isConnected(std::size_t left, std::size_t right) const {
    return _cut.contains(left) == _cut.contains(right) &&
           !_cutLinks.contains(std::minmax(left, right));
}

void QuotaNetwork::cut(const std::set<std::size_t>& nodes) {
    cutFromEachOther(nodes);
    for (std::size_t node = 0; node < _nodeCount; ++node) {
        _store.setCut(node, nodes.contains(node));
    }
}

void QuotaNetwork::setLinkCut(std::size_t left, std::size_t right, bool cut) {
    if (cut) {
        _cutLinks.insert(std::minmax(left, right));
    } else {
        _cutLinks.erase(std::minmax(left, right));
    }
}

void QuotaNetwork::stop(std::size_t node) {
    add(_ended, _nodes[node]->exchange->statistics());
    _nodes[node]->running = false;
    _nodes[node]->unread.clear();
    _nodes[node]->unreadStore.clear();
    _nodes[node]->gate.reset();
    _nodes[node]->exchange.reset();
}

void QuotaNetwork::start(std::size_t node) {
    _nodes[node]->start();
}

void QuotaNetwork::restart(std::size_t node) {
    if (isRunning(node)) {
        stop(node);
    }
    start(node);
}

bool QuotaNetwork::isRunning(std::size_t node) const {
    return _nodes[node]->running;
}

void QuotaNetwork::setFrozen(std::size_t index, bool frozen) {
    Node& node = *_nodes[index];
    node.frozen = frozen;
    if (frozen || !node.running) {
        return;
    }
    for (const Packet& packet : std::exchange(node.unread, {})) {
        deliver(packet);
    }
    for (const auto& callback : std::exchange(node.unreadStore, {})) {
        callback();
    }
}

void QuotaNetwork::beginLeaving(std::size_t node) {
    _nodes[node]->leaving = true;
    _nodes[node]->exchange->beginLeaving();
}

void QuotaNetwork::setAnswerDelay(Duration delay) {
    for (const std::unique_ptr<Node>& node : _nodes) {
        node->answerDelay = delay;
    }
}

void QuotaNetwork::setAnswerDelay(std::size_t node, Duration delay) {
    _nodes[node]->answerDelay = delay;
}

void QuotaNetwork::setListed(std::size_t node, const std::set<std::size_t>& listed) {
    _nodes[node]->listed = listed;
    if (isRunning(node)) {
        _nodes[node]->applyNodes();
    }
}

void QuotaNetwork::showEras() {
    _store.showEras();
    for (const std::unique_ptr<Node>& node : _nodes) {
        node->noteEra(_store.era());
    }
}

void QuotaNetwork::setQuota(TenantQuota quota) {
    _quota = quota;
    for (const std::unique_ptr<Node>& node : _nodes) {
        if (node->running) {
            node->applyQuota();
        }
    }
}

std::vector<std::size_t> QuotaNetwork::leaders() const {
    std::vector<std::size_t> result;
    for (std::size_t node = 0; node < _nodeCount; ++node) {
        if (_nodes[node]->running && _nodes[node]->exchange->shardsLed() > 0) {
            result.push_back(node);
        }
    }
    return result;
}

std::vector<std::size_t> QuotaNetwork::deputies() const {
    std::vector<std::size_t> result;
    for (std::size_t node = 0; node < _nodeCount; ++node) {
        if (_nodes[node]->running && _nodes[node]->exchange->shardsAsDeputy() > 0) {
            result.push_back(node);
        }
    }
    return result;
}

QuotaStatistics QuotaNetwork::statistics() const {
    QuotaStatistics total = _ended;
    for (const std::unique_ptr<Node>& node : _nodes) {
        if (node->running) {
            add(total, node->exchange->statistics());
        }
    }
    return total;
}

void QuotaNetwork::send(Packet packet, Duration delay) {
    _packets.emplace(_clock.now() + delay, std::move(packet));
}

void QuotaNetwork::step() {
    _clock.advance(milliseconds(1));
    _store.step();
    for (const std::unique_ptr<Node>& node : _nodes) {
        if (node->isActive()) {
            node->step();
        }
        // Connections to nodes that are reachable again open after a short time.
        for (auto& [other, until] : node->_lostUntil) {
            if (until == TimePoint::max() && isConnected(node->_index, other)) {
                until = _clock.now() + milliseconds(200);
            }
        }
    }
    while (!_packets.empty() && _packets.begin()->first <= _clock.now()) {
        const Packet packet = _packets.extract(_packets.begin()).mapped();
        if (!isConnected(packet.from, packet.to) || !_nodes[packet.to]->running) {
            continue;
        }
        if (_nodes[packet.to]->frozen) {
            _nodes[packet.to]->unread.push_back(packet);
        } else {
            deliver(packet);
        }
    }
    runWaiting();
}

void QuotaNetwork::deliver(const Packet& packet) {
    Node& node = *_nodes[packet.to];
    const bool isAnswer = packet.kind == Packet::Kind::Answer || packet.kind == Packet::Kind::Ack;
    if (!isAnswer) {
        if (packet.targetIncarnation == node.incarnation) {
            node.onQuestion(packet);
        }
    } else if (packet.incarnation == node.incarnation) {
        node.onAnswer(packet);
    }
}

void QuotaNetwork::runWaiting() {
    for (const std::size_t node : std::exchange(_waiting, {})) {
        submit(node);
    }
}

QuotaDecision QuotaNetwork::look(std::size_t node, std::uint32_t count) {
    QueuedStatements waiting;
    waiting.count = count;
    return _nodes[node]->exchange->look(kTenant, waiting);
}

void QuotaNetwork::takeHeld(std::size_t node) {
    if (_nodes[node]->exchange->takeHeld(kTenant)) {
        _runs.push_back(_clock.now());
    }
}

void QuotaNetwork::ask(std::size_t node, std::uint32_t rank) {
    if (_nodes[node]->isActive()) {
        _nodes[node]->gate->ask(rank);
    }
}

void QuotaNetwork::leave(std::size_t node) {
    if (_nodes[node]->isActive()) {
        _nodes[node]->gate->leave();
    }
}

GateStatistics QuotaNetwork::gateStatistics() const {
    GateStatistics total;
    for (const std::unique_ptr<Node>& node : _nodes) {
        if (!node->running) {
            continue;
        }
        const GateStatistics& more = node->gate->gate().statistics();
        total.refusedQuota += more.refusedQuota;
        addByRank(total.refusedQuotaByRank, more.refusedQuotaByRank);
        addByRank(total.waitedForTurnByRank, more.waitedForTurnByRank);
        addByRank(total.turnsKeptByRank, more.turnsKeptByRank);
    }
    return total;
}

void QuotaNetwork::submit(std::size_t index) {
    Node& node = *_nodes[index];
    if (!node.running) {
        return;
    }
    if (node.frozen) {
        _waiting.push_back(index);
        return;
    }
    switch (node.exchange->take(kTenant, {}).kind) {
        case QuotaDecision::Kind::Granted:
            _runs.push_back(_clock.now());
            ++_outcomes[index].ran;
            return;
        case QuotaDecision::Kind::Waiting:
        case QuotaDecision::Kind::Turn:
            _waiting.push_back(index);
            return;
        case QuotaDecision::Kind::Refused:
            ++_refused;
            ++_outcomes[index].refused;
            return;
    }
}

QuotaNetwork::NodeOutcome QuotaNetwork::outcomeAt(std::size_t node) const {
    const auto found = _outcomes.find(node);
    return found == _outcomes.end() ? NodeOutcome{} : found->second;
}

std::size_t QuotaNetwork::busiestWindow() const {
    return busiestWindowSince(TimePoint::min());
}

std::size_t QuotaNetwork::busiestWindowSince(TimePoint begin) const {
    // The test determines the window independently: the check must not depend on the code under
    // test.
    const Duration window = _quota.mostInSecond ? std::chrono::seconds(1) : _terms.window;
    std::size_t busiest = 0;
    std::size_t first = 0;
    while (first < _runs.size() && _runs[first] < begin) {
        ++first;
    }
    for (std::size_t last = first; last < _runs.size(); ++last) {
        while (_runs[last] - _runs[first] >= window) {
            ++first;
        }
        busiest = std::max(busiest, last - first + 1);
    }
    return busiest;
}

}  // namespace coralhoist::tenancy
