#include "cluster/NodeRegistry.h"

#include <algorithm>
#include <utility>

namespace coralhoist::cluster {
namespace {

/** A registration is written again after this time, and counts for the second one. */
constexpr Duration kRefreshEvery = std::chrono::seconds(60);
constexpr Duration kCountsFor = std::chrono::seconds(200);
constexpr Duration kRetryPause = std::chrono::seconds(1);
constexpr Duration kTimeout = std::chrono::milliseconds(800);
constexpr int kSuccess = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

}  // namespace

NodeRegistry::NodeRegistry(socket::HttpClient& client, const store::ObjectProtocol& protocol,
                           const ClusterCodec& codec, const Clock& clock, NodeName self)
    : _client(client),
      _protocol(protocol),
      _codec(codec),
      _clock(clock),
      _self(std::move(self)),
      _nextCall(clock.now()),
      _alive(std::make_shared<bool>(true)) {}

NodeRegistry::~NodeRegistry() = default;

void NodeRegistry::see(const store::StoredObject& object) {
    Registration& registration = _nodes[object.name];
    if (object.version > registration.version) {
        registration = {object.version, _clock.now()};
    }
}

void NodeRegistry::onList(const std::vector<store::StoredObject>& objects) {
    std::map<std::string, Registration> known = std::exchange(_nodes, {});
    for (const store::StoredObject& object : objects) {
        const auto before = known.find(object.name);
        if (before != known.end()) {
            _nodes.insert(*before);
        }
        see(object);
    }
}

void NodeRegistry::onEvent(const store::ObjectEvent& event) {
    if (event.removed) {
        _nodes.erase(event.object.name);
        return;
    }
    see(event.object);
}

std::size_t NodeRegistry::nodeCount() const {
    const TimePoint now = _clock.now();
    const auto counted = std::count_if(_nodes.begin(), _nodes.end(), [&](const auto& entry) {
        return entry.first != _self.value() && now - entry.second.seenAt < kCountsFor;
    });
    return static_cast<std::size_t>(counted) + 1;
}

void NodeRegistry::onTick(TimePoint now) {
    if (_running || now < _nextCall) {
        return;
    }
    const auto own = _nodes.find(_self.value());
    const std::string kind = _codec.kinds().nodes;
    store::StoredObject object;
    object.name = _self.value();
    object.version = own == _nodes.end() ? 0 : own->second.version;
    socket::HttpCall call = object.version == 0 ? _protocol.createCall(kind, object)
                                                : _protocol.replaceCall(kind, object);
    call.timeout = kTimeout;
    _running = true;
    _nextCall = now + kRetryPause;
    _client.call(call,
                 [this, alive = std::weak_ptr<bool>(_alive)](const socket::HttpAnswer& answer) {
                     if (!alive.expired()) {
                         onAnswer(answer);
                     }
                 });
}

void NodeRegistry::onAnswer(const socket::HttpAnswer& answer) {
    _running = false;
    if (answer.outcome != socket::HttpAnswer::Outcome::Answered) {
        return;
    }
    const bool written = answer.status == kSuccess || answer.status == kCreated;
    if (written || answer.status == kConflict) {
        // A conflict shows the registration of an earlier life, which counts as well.
        if (const auto object = _protocol.readObject(answer.body)) {
            see(*object);
        }
        _nextCall = _clock.now() + kRefreshEvery;
    } else if (answer.status == kNotFound) {
        _nodes.erase(_self.value());
    }
}

}  // namespace coralhoist::cluster
