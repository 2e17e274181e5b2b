#include "tests/tenancy/QuotaNetwork.h"

#include <algorithm>
#include <utility>

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

constexpr Duration kQuestionDelay = milliseconds(1);
/** A link that is cut is noticed after this time, as by its heartbeats. */
constexpr Duration kLinkTimeout = milliseconds(500);

NodeName nameOf(std::size_t index) {
    return NodeName("n" + std::to_string(index));
}

void add(QuotaStatistics& total, const QuotaStatistics& more) {
    total.ranGranted += more.ranGranted;
    total.ranWithoutAccount += more.ranWithoutAccount;
    total.returned += more.returned;
    total.returnedLate += more.returnedLate;
    total.accountsOpened += more.accountsOpened;
    total.accountsReset += more.accountsReset;
}

}  // namespace

class QuotaNetwork::Node final : public QuotaQuestions, public QuotaAnswers {
public:
    Node(QuotaNetwork& network, std::size_t index) : _network(network), _index(index) { start(); }

    void start() {
        ++life;
        unanswered.clear();
        exchange = std::make_unique<QuotaExchange>(
            QuotaDependencies{_network._clock, *this, *this, nameOf(_index),
                              [this] { return settingsKnownAt; },
                              [](const TenantName& /*tenant*/) {}},
            _network._terms);
        std::vector<pooling::ProxyNode> nodes;
        for (std::size_t other = 0; other < _network._nodeCount; ++other) {
            nodes.push_back({nameOf(other), ZoneName("z"), "h", 1});
        }
        exchange->applyNodes(nodes);
        Tenant tenant;
        tenant.name = TenantName("t");
        tenant.quota = _network._quota;
        exchange->applyTenants(std::make_shared<TenantDirectory>(1, std::vector<Tenant>{tenant},
                                                                 std::set<ServiceName>{}));
    }

    bool canReach(const NodeName& node) const override {
        const auto since = unreachableSince.find(_network.indexOf(node));
        return since == unreachableSince.end() ||
               _network._clock.now() - since->second < kLinkTimeout;
    }
    void askForQuota(const NodeName& node, std::uint64_t question,
                     const QuotaQuestion& asked) override {
        unanswered[question] = _network.indexOf(node);
        _network._packets.emplace(
            _network._clock.now() + kQuestionDelay,
            Packet{_index, _network.indexOf(node), question, asked, {}, life});
    }
    void answerQuota(std::uint64_t asker, const QuotaAnswer& answer) override {
        const auto [to, number, askerLife] = askers.at(asker);
        _network._packets.emplace(_network._clock.now() + _network._answerDelay,
                                  Packet{_index, to, number, std::nullopt, answer, askerLife});
        askers.erase(asker);
    }

    void takeAnswer(std::uint64_t question, const QuotaAnswer& answer) {
        unanswered.erase(question);
        exchange->onQuotaAnswer(question, answer);
    }

    /** Questions to nodes that have turned out to be unreachable will not be answered. */
    void loseQuestions() {
        const std::map<std::uint64_t, std::size_t> asked = unanswered;
        for (const auto& [question, node] : asked) {
            if (!canReach(nameOf(node))) {
                unanswered.erase(question);
                exchange->onQuotaAnswer(question, std::nullopt);
            }
        }
    }

    /** Who asked what: the node, its number of the question and its life. */
    struct Asker {
        std::size_t node = 0;
        std::uint64_t number = 0;
        std::uint64_t life = 0;
    };

    std::unique_ptr<QuotaExchange> exchange;
    TimePoint settingsKnownAt{};
    std::uint64_t life = 0;
    std::map<std::uint64_t, Asker> askers;
    std::uint64_t lastAsker = 0;
    /** The node that was asked, by the number of the question. */
    std::map<std::uint64_t, std::size_t> unanswered;
    std::map<std::size_t, TimePoint> unreachableSince;

private:
    QuotaNetwork& _network;
    std::size_t _index;
};

QuotaNetwork::QuotaNetwork(std::size_t nodes, TenantQuota quota, QuotaTerms terms)
    : _nodeCount(nodes), _quota(quota), _terms(terms) {
    for (std::size_t index = 0; index < nodes; ++index) {
        _nodes.push_back(std::make_unique<Node>(*this, index));
    }
}

QuotaNetwork::~QuotaNetwork() = default;

std::size_t QuotaNetwork::indexOf(const NodeName& name) const {
    return static_cast<std::size_t>(std::stoul(name.value().substr(1)));
}

bool QuotaNetwork::isConnected(std::size_t left, std::size_t right) const {
    return _cut.contains(left) == _cut.contains(right);
}

QuotaStatistics QuotaNetwork::statistics() const {
    QuotaStatistics total = _ended;
    for (const std::unique_ptr<Node>& node : _nodes) {
        add(total, node->exchange->statistics());
    }
    return total;
}

void QuotaNetwork::restart(std::size_t node) {
    add(_ended, _nodes[node]->exchange->statistics());
    _nodes[node]->start();
    _nodes[node]->unreachableSince.clear();
}

void QuotaNetwork::step() {
    _clock.advance(milliseconds(1));
    const TimePoint now = _clock.now();
    for (std::size_t index = 0; index < _nodes.size(); ++index) {
        Node& node = *_nodes[index];
        if (!_storeDown && !_cut.contains(index)) {
            node.settingsKnownAt = now - milliseconds(500);
        }
        for (std::size_t other = 0; other < _nodes.size(); ++other) {
            if (isConnected(index, other)) {
                node.unreachableSince.erase(other);
            } else {
                node.unreachableSince.try_emplace(other, now);
            }
        }
        node.loseQuestions();
    }
    while (!_packets.empty() && _packets.begin()->first <= now) {
        const Packet packet = _packets.extract(_packets.begin()).mapped();
        if (isConnected(packet.from, packet.to)) {
            deliver(packet);
        }
    }
    for (const std::size_t node : std::exchange(_waiting, {})) {
        submit(node);
    }
}

void QuotaNetwork::deliver(const Packet& packet) {
    Node& node = *_nodes[packet.to];
    if (packet.question) {
        const std::uint64_t asker = ++node.lastAsker;
        node.askers[asker] = {packet.from, packet.number, packet.life};
        node.exchange->onQuotaAsked(asker, *packet.question);
    } else if (packet.life == node.life) {
        node.takeAnswer(packet.number, packet.answer);
    }
}

void QuotaNetwork::submit(std::size_t node) {
    switch (_nodes[node]->exchange->take(TenantName("t"), 1).kind) {
        case QuotaVerdict::Kind::Granted:
            _runs.push_back(_clock.now());
            return;
        case QuotaVerdict::Kind::Waiting:
            _waiting.push_back(node);
            return;
        case QuotaVerdict::Kind::Refused:
            return;
    }
}

std::size_t QuotaNetwork::busiestWindow() const {
    std::size_t busiest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < _runs.size(); ++last) {
        while (_runs[last] - _runs[first] >= _terms.window) {
            ++first;
        }
        busiest = std::max(busiest, last - first + 1);
    }
    return busiest;
}

}  // namespace coralhoist::tenancy
